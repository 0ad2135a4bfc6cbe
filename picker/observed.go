package picker

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxSlotsRatio bounds how much more an upstream gets for announcing more slots
	// than another. What is announced may be wrong; own observations decide.
	maxSlotsRatio = 2
	// Traffic between data centres has a price. freeFactor is how much longer a call
	// may take in the own data centre than in another while slots are free there,
	// and busyFactor from busyPart of the slots on.
	freeFactor = 4
	busyFactor = 1.2
	busyPart   = 0.7
)

// Observed picks the best of two random candidates of the own data centre and two
// of the others. It believes announced slots only up to a factor.
type Observed struct{}

// NewObserved returns a picker that compares up to four random candidates.
func NewObserved() Observed { return Observed{} }

// Pick returns the index of the chosen candidate.
func (Observed) Pick(candidates []jackdawbridge.Candidate, draw uint64) int {
	near := better(candidates, false, uint32(draw))
	far := better(candidates, true, uint32(draw>>32))
	switch {
	case near < 0:
		return far
	case far < 0:
		return near
	}
	a, b := candidates[near], candidates[far]
	factor := float64(freeFactor)
	if float64(a.Busy()+1) > busyPart*float64(a.Slots()) {
		factor = busyFactor
	}
	if factor*cost(b, believed(b, a)) < cost(a, believed(a, b)) {
		return far
	}
	return near
}

// better returns the index of the better of two random candidates that are far or
// not, or -1 if there is none.
func better(candidates []jackdawbridge.Candidate, far bool, draw uint32) int {
	n := uint32(0)
	for _, c := range candidates {
		if c.Remote() == far {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	first := draw % n
	i := nth(candidates, far, first)
	if n == 1 {
		return i
	}
	j := nth(candidates, far, (first+1+(draw>>16)%(n-1))%n)
	if a, b := candidates[i], candidates[j]; cost(b, believed(b, a)) < cost(a, believed(a, b)) {
		return j
	}
	return i
}

// nth returns the index of the n-th candidate that is far or not.
func nth(candidates []jackdawbridge.Candidate, far bool, n uint32) int {
	for i, c := range candidates {
		if c.Remote() != far {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// believed returns the slots of c as far as they are believed beside another.
func believed(c, other jackdawbridge.Candidate) int {
	return min(c.Slots(), maxSlotsRatio*other.Slots())
}
