//go:build !linux

package clock

import "time"

// bootTime returns a constant: suspensions are not seen.
func bootTime() time.Duration { return 0 }
