// Package node implements the processes of a pool: entries, which schedule their
// callers' jobs, and agents, which run tasks at endpoints under leases. The
// decisions are made in the packages scheduler and executor; this package
// owns sockets, timers and goroutines.
package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot reads a monotonic clock that, unlike the runtime's, advances while the
// machine is suspended: a suspension must not extend leases and heartbeat
// timeouts. It panics if the kernel has no such clock.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This fails only on a kernel without the clock, on which no deadline could
		// be kept.
		panic("node: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
