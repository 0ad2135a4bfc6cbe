package picker

import "github.com/jackdawbridge/jackdawbridge"

// maxSlotsRatio bounds how much more an upstream gets for announcing more slots
// than another. What is announced may be wrong; own observations decide.
const maxSlotsRatio = 2

// Observed picks the better of two random candidates by own observations. It
// believes announced slots only up to a factor.
type Observed struct{}

// NewObserved returns a picker that compares two random candidates.
func NewObserved() Observed { return Observed{} }

// Pick returns the index of the chosen candidate.
func (Observed) Pick(candidates []jackdawbridge.Candidate, draw uint64) int {
	n := uint64(len(candidates))
	if n == 1 {
		return 0
	}
	first := draw % n
	second := (first + 1 + (draw>>32)%(n-1)) % n
	a, b := candidates[first], candidates[second]
	if cost(b, believed(b, a)) < cost(a, believed(a, b)) {
		return int(second)
	}
	return int(first)
}

// believed returns the slots of c as far as they are believed beside another.
func believed(c, other jackdawbridge.Candidate) int {
	return min(c.Slots(), maxSlotsRatio*other.Slots())
}
