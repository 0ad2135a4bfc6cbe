package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, including the time during which
// it was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // all current kernels have this clock; without it suspensions are not detected
	}
	return time.Duration(t.Nano())
}
