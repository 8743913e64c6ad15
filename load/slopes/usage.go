package slopes

import (
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used so far, or 0 if
// the system does not report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the memory of this process's live objects and stacks, in
// bytes.
func liveMemory() float64 {
	debug.FreeOSMemory()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTimeOf returns the processor time that this process uses while f runs.
func cpuTimeOf(f func()) time.Duration {
	runtime.GC()
	before := cpuTime()
	f()
	return cpuTime() - before
}

// micros returns a duration in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
