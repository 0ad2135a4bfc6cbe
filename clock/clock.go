// Package clock provides a clock that is monotonic and includes the time during which the
// machine was suspended.
package clock

import (
	"sync"
	"time"

	"github.com/jackdawbridge/jackdawbridge"
)

// maxClockDrift is how far the wall clock may move relative to the monotonic clock between
// two readings before the clock checks for a suspension. The monotonic clock stops while a
// machine is suspended, but a wall clock that was set causes the same difference.
const maxClockDrift = 100 * time.Millisecond

// System is a clock that starts at the wall time. It advances with the monotonic clock and
// by the time during which the machine was suspended, and never goes back. Corrections of
// the wall clock do not change it. It is safe for concurrent use.
type System struct {
	read func() (wall, mono time.Duration) // reads the wall clock and the monotonic clock
	boot func() time.Duration              // like mono, but includes the time of suspensions

	mu        sync.Mutex
	wall      time.Duration // last reading of the wall clock, since the Unix epoch
	mono      time.Duration // last reading of the monotonic clock, since an arbitrary instant
	suspended time.Duration // boot minus mono after the last suspension that was detected
	now       time.Duration // time of this clock, since the Unix epoch
}

var _ jackdawbridge.Clock = (*System)(nil)

// New returns a clock that starts at the current wall time.
func New() *System {
	began := time.Now()
	return newSystem(func() (wall, mono time.Duration) {
		now := time.Now()
		return time.Duration(now.UnixNano()), now.Sub(began)
	}, bootTime)
}

// newSystem returns a clock that reads its time from read and boot.
func newSystem(read func() (wall, mono time.Duration), boot func() time.Duration) *System {
	wall, mono := read()
	return &System{read: read, boot: boot, wall: wall, mono: mono, suspended: boot() - mono, now: wall}
}

// Now returns the current instant.
func (s *System) Now() jackdawbridge.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	wall, mono := s.read()
	passed := mono - s.mono
	if ahead := wall - s.wall - passed; ahead > maxClockDrift || ahead < -maxClockDrift {
		passed += s.newSuspension(mono)
	}
	s.wall, s.mono = wall, mono
	s.now += max(passed, 0)
	return jackdawbridge.Millis(s.now.Milliseconds())
}

// newSuspension returns how long the machine was suspended since the last suspension that
// was detected, or 0 if that is less than maxClockDrift.
func (s *System) newSuspension(mono time.Duration) time.Duration {
	total := s.boot() - mono
	since := total - s.suspended
	if since < maxClockDrift { // not exact, because the two clocks are read one after the other
		return 0
	}
	s.suspended = total
	return since
}
