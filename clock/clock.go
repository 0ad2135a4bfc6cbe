// Package clock reads the time of the system.
package clock

import (
	"sync"
	"time"

	"github.com/jackdawbridge/jackdawbridge"
)

// doubtful is how far the wall clock may move from the monotonic clock between
// two readings until the clock looks for a suspension. The monotonic clock
// stops while a machine is suspended; a wall clock that was set looks the same.
const doubtful = 100 * time.Millisecond

// System is the clock of the system. It starts at wall time, advances with the
// monotonic clock and the time that the machine was suspended, and never goes
// back. Corrections of the wall clock do not move it. It is safe for concurrent
// use.
type System struct {
	read func() (wall, mono time.Duration)
	boot func() time.Duration // counts the time of suspensions as well

	mu        sync.Mutex
	wall      time.Duration // of the last reading, since the Unix epoch
	mono      time.Duration // of the last reading, since an arbitrary instant
	suspended time.Duration // in all, since the machine was started
	now       time.Duration // since the Unix epoch
}

var _ jackdawbridge.Clock = (*System)(nil)

// New returns a clock that starts at the present wall time.
func New() *System {
	began := time.Now()
	return start(func() (wall, mono time.Duration) {
		now := time.Now()
		return time.Duration(now.UnixNano()), now.Sub(began)
	}, bootTime)
}

func start(read func() (wall, mono time.Duration), boot func() time.Duration) *System {
	wall, mono := read()
	return &System{read: read, boot: boot, wall: wall, mono: mono, suspended: boot() - mono, now: wall}
}

// Now returns the current instant.
func (s *System) Now() jackdawbridge.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	wall, mono := s.read()
	passed := mono - s.mono
	if ahead := wall - s.wall - passed; ahead > doubtful || ahead < -doubtful {
		passed += s.suspension(mono)
	}
	s.wall, s.mono = wall, mono
	s.now += max(passed, 0)
	return jackdawbridge.Millis(s.now.Milliseconds())
}

// suspension returns for how long the machine was suspended since the last look.
func (s *System) suspension(mono time.Duration) time.Duration {
	total := s.boot() - mono
	since := total - s.suspended
	if since < doubtful { // the two clocks are read one after the other
		return 0
	}
	s.suspended = total
	return since
}
