// Package node holds the processes of a pool: entries that schedule their
// callers' jobs and agents that run tasks at endpoints under leases. The
// decisions are in the packages scheduler and worker; this one owns sockets,
// timers and goroutines.
package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads a steady clock that, unlike the runtime's, goes on while the
// machine is suspended: leases and silences must not be extended by a pause.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without the clock can fail here, and no deadline could be
		// kept on it.
		panic("node: no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
