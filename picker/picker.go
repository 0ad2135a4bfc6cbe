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

// failureCost is what one failure in a row weighs against one call in flight.
const failureCost = 4

// cost returns what a call at c is expected to cost with the given slots.
func cost(c jackdawbridge.Candidate, slots int) float64 {
	load := float64(c.InFlight()+1+failureCost*c.Failures()) / float64(slots)
	latency := float64(max(c.Latency(), 1))
	return load * latency * 1000 / float64(c.Warmth())
}
