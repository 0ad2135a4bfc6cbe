package queue

import "github.com/jackdawbridge/jackdawbridge"

const (
	// standingInterval is the time in which a burst must drain. A queue that is never
	// empty during that time is a standing queue (the interval of CoDel).
	standingInterval = 100 * jackdawbridge.Millis(1)
	// clearIntervals is the number of consecutive intervals in each of which the
	// queue must have been empty before it no longer counts as standing, so that the
	// state does not flap.
	clearIntervals = 2
)

// standing distinguishes a standing queue from a burst, and records the lowest ranks that
// were admitted in the current interval and before it.
type standing struct {
	on                 bool                 // the queue is a standing one
	intervalEnd        jackdawbridge.Millis // end of the current interval
	wasEmpty           bool                 // the queue was empty at some time in the current interval
	emptyIntervals     int                  // consecutive intervals in each of which the queue was empty at some time
	lowestRank         jackdawbridge.Level  // lowest rank admitted in this interval, 0 for none
	previousLowestRank jackdawbridge.Level  // lowest rank admitted in the last complete interval with an admission
}

// advance closes the current interval if it has ended. The queue now holds length calls.
func (s *standing) advance(at jackdawbridge.Millis, length int) {
	if at < s.intervalEnd {
		return
	}
	// In intervals without any event the queue was as it is now.
	passed := min((at-s.intervalEnd)/standingInterval, clearIntervals)
	for range passed + 1 {
		s.closeInterval(length)
	}
	s.intervalEnd = at + standingInterval
	s.wasEmpty = length == 0
}

// closeInterval updates the state at the end of an interval. The queue holds length calls
// at the start of the next one.
func (s *standing) closeInterval(length int) {
	if s.wasEmpty {
		s.emptyIntervals++
		s.on = s.on && s.emptyIntervals < clearIntervals
	} else {
		s.emptyIntervals = 0
		s.on = true
	}
	if s.lowestRank != 0 {
		s.previousLowestRank = s.lowestRank
	}
	s.lowestRank = 0
	s.wasEmpty = length == 0
}

// admitted records the rank of an admitted call.
func (s *standing) admitted(rank jackdawbridge.Level) {
	if s.lowestRank == 0 || rank < s.lowestRank {
		s.lowestRank = rank
	}
}

// level returns the lowest rank that was admitted recently if the queue is a standing one,
// and 0 if it is not or none was admitted.
func (s *standing) level() jackdawbridge.Level {
	switch {
	case !s.on:
		return 0
	case s.previousLowestRank == 0 || s.lowestRank != 0 && s.lowestRank < s.previousLowestRank:
		return s.lowestRank
	}
	return s.previousLowestRank
}
