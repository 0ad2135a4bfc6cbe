package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, with the time that it
// was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // no kernel of today lacks this clock; suspensions are not seen then
	}
	return time.Duration(t.Nano())
}
