// Package clock reads the time of the system.
package clock

import (
	"sync"
	"time"

	"github.com/jackdawbridge/jackdawbridge"
)

// Linux stops the monotonic clock while a machine is suspended. The wall clock
// moving further than this between two readings is taken for that. Smaller
// differences are corrections of the wall clock, which are ignored.
const suspended = time.Second

// System is the clock of the system. It starts at wall time, advances with the
// monotonic clock and never goes back. It is safe for concurrent use.
type System struct {
	read func() (wall, mono time.Duration)

	mu   sync.Mutex
	wall time.Duration // of the last reading, since the Unix epoch
	mono time.Duration // of the last reading, since an arbitrary instant
	now  time.Duration // since the Unix epoch
}

var _ jackdawbridge.Clock = (*System)(nil)

// New returns a clock that starts at the present wall time.
func New() *System {
	began := time.Now()
	return start(func() (wall, mono time.Duration) {
		now := time.Now()
		return time.Duration(now.UnixNano()), now.Sub(began)
	})
}

func start(read func() (wall, mono time.Duration)) *System {
	wall, mono := read()
	return &System{read: read, wall: wall, mono: mono, now: wall}
}

// Now returns the current instant.
func (s *System) Now() jackdawbridge.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	wall, mono := s.read()
	passed := mono - s.mono
	if ahead := wall - s.wall - passed; ahead > suspended {
		passed += ahead
	}
	s.wall, s.mono = wall, mono
	s.now += max(passed, 0)
	return jackdawbridge.Millis(s.now.Milliseconds())
}
