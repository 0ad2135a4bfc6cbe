// Package picker chooses among the upstreams of a service.
package picker

import "github.com/jackdawbridge/jackdawbridge"

// TwoChoices picks the better of two random candidates (Mitzenmacher, 2001).
type TwoChoices struct{}

// NewTwoChoices returns a picker that compares two random candidates.
func NewTwoChoices() TwoChoices { return TwoChoices{} }

// Pick returns the index of the chosen candidate.
func (TwoChoices) Pick(candidates []jackdawbridge.Candidate, draw uint64) int {
	n := uint64(len(candidates))
	if n == 1 {
		return 0
	}
	first := draw % n
	second := (first + 1 + (draw>>32)%(n-1)) % n
	if cost(candidates[second], candidates[second].Slots()) < cost(candidates[first], candidates[first].Slots()) {
		return int(second)
	}
	return int(first)
}

const (
	// failureCost is what one failure in a row weighs against one busy slot.
	failureCost = 4
	// idleCost is what an idle upstream counts as, in parts of its slots. Below it
	// the time of a call decides: the fastest of several idle upstreams is used up
	// to a part of its slots before the others get any.
	idleCost = 0.3
)

// cost returns what a call at c is expected to cost with the given slots. With
// all slots busy it is in proportion to the time until the call ends.
func cost(c jackdawbridge.Candidate, slots int) float64 {
	busy := float64(c.Busy()+1+failureCost*c.ConsecutiveFailures()) / float64(slots)
	return (idleCost + busy) * float64(c.Latency())
}
