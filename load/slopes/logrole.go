package slopes

import (
	"context"
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/entry"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/transport"
)

const (
	// logIdleTime is long enough for several lease renewals of each member.
	logIdleTime = 12 * time.Second
	// timedChanges is the number of configuration changes that are timed.
	timedChanges = 5
)

// idleLog measures what entries without agents write to the log, and the time
// until all of them have applied a configuration change. All entries run in this
// process.
func (h *harness) idleLog() error {
	appends := Series{Name: LogIdleAppends, Driver: "members", Unit: "appends/min"}
	bytes := Series{Name: LogIdleBytes, Driver: "members", Unit: "B/min"}
	cpu := Series{Name: LogIdleCPU, Driver: "members", Unit: "us/s", Note: "all entries together, each reading all records"}
	inForce := Series{Name: ConfigInForce, Driver: "members", Unit: "ms", Note: "wall time from the operator's call until all entries have the change"}
	for _, members := range []int{1, 4, 8} {
		if err := h.measureLog(members, &appends, &bytes, &cpu, &inForce); err != nil {
			return err
		}
	}
	h.add(appends, bytes, cpu, inForce)
	return nil
}

func (h *harness) measureLog(members int, appends, bytes, cpu, inForce *Series) error {
	log := memory.New(memory.Options{})
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return err
	}
	defer func() { _ = network.Close() }()
	var entries []*entry.Entry
	for i := range members {
		e, err := startEntry(fmt.Sprint("entry-", i), network, log, "127.0.0.1:0", "")
		if err != nil {
			return err
		}
		defer e.Kill()
		entries = append(entries, e)
	}
	joined := func() bool {
		for _, e := range entries {
			if !e.Ready() || len(e.Members()) < members {
				return false
			}
		}
		return true
	}
	if err := waitFor("members", joined); err != nil {
		return err
	}
	size := float64(members)
	records, written, used, err := logUsageDuring(log, func() { time.Sleep(logIdleTime) })
	if err != nil {
		return err
	}
	minutes := logIdleTime.Minutes()
	appends.Points = append(appends.Points, summarize(size, []float64{float64(records) / minutes}))
	bytes.Points = append(bytes.Points, summarize(size, []float64{float64(written) / minutes}))
	cpu.Points = append(cpu.Points, summarize(size, []float64{micros(used) / logIdleTime.Seconds()}))
	var waits []float64
	for i := range timedChanges {
		began := time.Now()
		if err := configureAll(entries, fmt.Sprint("service-", i)); err != nil {
			return err
		}
		waits = append(waits, float64(time.Since(began).Microseconds())/1000)
	}
	inForce.Points = append(inForce.Points, summarize(size, waits))
	return nil
}

// logUsageDuring returns the records and bytes that were appended to the log, and
// the processor time that this process used, while f ran.
func logUsageDuring(log sharedlog.Log, f func()) (records, bytes int, cpu time.Duration, err error) {
	ctx := context.Background()
	before, err := log.Bounds(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	used := cpuTime()
	f()
	used = cpuTime() - used
	after, err := log.Bounds(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	written, err := log.Read(ctx, before.Next, int(after.Next-before.Next))
	for _, record := range written {
		bytes += len(record.Data)
	}
	return len(written), bytes, used, err
}

// configureAll configures a service and waits until all entries have applied the
// change.
func configureAll(entries []*entry.Entry, service string) error {
	if err := configure(entries[0], service); err != nil {
		return err
	}
	for end := time.Now().Add(conditionTimeout); ; time.Sleep(time.Millisecond) {
		unknown := 0
		for _, e := range entries {
			if e.Classify(service, new(message.Task)) != nil {
				unknown++
			}
		}
		if unknown == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out: %d entries have not applied the configuration of %s", unknown, service)
		}
	}
}
