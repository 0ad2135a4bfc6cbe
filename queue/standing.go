package queue

import "github.com/jackdawbridge/jackdawbridge"

const (
	// standingInterval is the time in which a burst must drain; a queue that is
	// never empty for so long is a standing one (the interval of CoDel).
	standingInterval = 100 * jackdawbridge.Millis(1)
	// clearIntervals is how many intervals in a row must see an empty queue
	// before it no longer counts as standing, so that the state does not flap.
	clearIntervals = 2
)

// standing tells a standing queue from a burst, and keeps the least rank that
// was admitted in the last interval.
type standing struct {
	on       bool
	ends     jackdawbridge.Millis // of the current interval
	empty    bool                 // the queue was empty in the current interval
	clear    int                  // intervals in a row that saw an empty queue
	current  jackdawbridge.Level  // least rank admitted in this interval, 0 for none
	previous jackdawbridge.Level  // in the last interval that admitted any
}

// roll closes the interval if it has ended.
func (s *standing) roll(at jackdawbridge.Millis, length int) {
	if at < s.ends {
		return
	}
	// Intervals without any event saw the queue as it is now.
	passed := min((at-s.ends)/standingInterval, clearIntervals)
	for range passed + 1 {
		s.close(length)
	}
	s.ends = at + standingInterval
	s.empty = length == 0
}

func (s *standing) close(length int) {
	if s.empty {
		s.clear++
		s.on = s.on && s.clear < clearIntervals
	} else {
		s.clear = 0
		s.on = true
	}
	if s.current != 0 {
		s.previous = s.current
	}
	s.current = 0
	s.empty = length == 0
}

// admitted takes note of a call that was admitted.
func (s *standing) admitted(rank jackdawbridge.Level) {
	if s.current == 0 || rank < s.current {
		s.current = rank
	}
}

// level returns the least rank that is admitted, 0 for any.
func (s *standing) level() jackdawbridge.Level {
	switch {
	case !s.on:
		return 0
	case s.previous == 0 || s.current != 0 && s.current < s.previous:
		return s.current
	}
	return s.previous
}
