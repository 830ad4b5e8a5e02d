package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine has started, including the time in which
// it was suspended (CLOCK_BOOTTIME).
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Duration(t.Nano())
}
