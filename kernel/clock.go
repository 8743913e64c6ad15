package kernel

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
		panic("kernel: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
