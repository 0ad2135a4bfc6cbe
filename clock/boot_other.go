//go:build !linux

package clock

import "time"

// bootTime returns a constant, so that suspensions of the machine are not detected.
func bootTime() time.Duration { return 0 }
