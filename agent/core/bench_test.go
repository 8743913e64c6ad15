package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// BenchmarkTask measures the acceptance and the end of one task with several
// endpoints and owners, while the journal holds ended starts.
func BenchmarkTask(b *testing.B) {
	for _, remembered := range []int{0, 10_000, 100_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			o := testOptions()
			o.JournalStarts = remembered
			d := newDriver(o)
			for i := range 4 {
				d.announce(fmt.Sprintf("e%d", i), 8)
			}
			d.connectOwners(1, 2, 3)
			seq := uint64(0)
			task := func() {
				seq++
				d.start(1, seq, 10)
				d.end(1, seq, 0)
			}
			for range remembered {
				task()
			}
			b.ReportAllocs()
			for b.Loop() {
				task()
				d.core.journal.trim(d.now)
			}
		})
	}
}

// BenchmarkJournal reports the memory of one ended start without an answer.
func BenchmarkJournal(b *testing.B) {
	const starts = 100_000
	for b.Loop() {
		o := testOptions()
		o.JournalStarts = starts
		before := heap()
		j := newJournal(o, testStartTime)
		for i := range uint64(starts) {
			start := &message.Start{
				Service: testService, ID: message.StartID{Owner: 1, Seq: i}, Endpoint: "press-12",
				Job: message.JobKey{Team: "press", Caller: "runner-7", Job: fmt.Sprintf("%016x", i/100)},
			}
			e := j.add(testStartTime, start)
			j.end(testStartTime.Add(time.Second), e, message.TaskResult{Endpoint: "press-12"})
		}
		b.ReportMetric(float64(heap()-before)/starts, "B/entry")
		runtime.KeepAlive(j)
	}
}

// BenchmarkIdleTick measures a tick without work. An agent has four ticks per
// heartbeat interval.
func BenchmarkIdleTick(b *testing.B) {
	d := newDriver(testOptions())
	d.announce("e1", 8)
	d.connectOwners(1, 2, 3)
	for b.Loop() {
		d.now = d.now.Add(time.Millisecond)
		d.step(Tick{})
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
