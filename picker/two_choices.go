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
	// failureCost is the number of busy slots that one consecutive failure counts as.
	failureCost = 4
	// idleLoad is the load of an idle upstream, as a fraction of its slots. It makes
	// the latency decide while load is low: the fastest of several idle upstreams is
	// used up to a fraction of its slots before the others receive calls.
	idleLoad = 0.3
)

// cost returns the expected cost of a call to c if it has the given slots. When all slots
// are busy it is proportional to the time until the call ends.
func cost(c jackdawbridge.Candidate, slots int) float64 {
	busy := float64(c.Busy()+1+failureCost*c.ConsecutiveFailures()) / float64(slots)
	return (idleLoad + busy) * float64(c.Latency())
}
