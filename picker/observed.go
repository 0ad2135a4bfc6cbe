package picker

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxSlotsRatio bounds the advantage that an upstream has for announcing more
	// slots than another. Announced slots may be wrong; this node's observations
	// decide.
	maxSlotsRatio = 2
	// Traffic between data centres has a price, so the local candidate is chosen if its
	// cost is at most freeFactor times that of the remote one. The factor is busyFactor
	// instead if more than the fraction busyFraction of the local candidate's slots would
	// be busy with the call.
	freeFactor   = 4
	busyFactor   = 1.2
	busyFraction = 0.7
)

// Observed picks the best of two random candidates of the local data centre and two of
// the others. When it compares two candidates, it counts the announced slots of each only
// up to a multiple of the other's.
type Observed struct{}

// NewObserved returns a picker that compares up to four random candidates.
func NewObserved() Observed { return Observed{} }

// Pick returns the index of the chosen candidate.
func (Observed) Pick(candidates []jackdawbridge.Candidate, draw uint64) int {
	local := better(candidates, false, uint32(draw))
	remote := better(candidates, true, uint32(draw>>32))
	switch {
	case local < 0:
		return remote
	case remote < 0:
		return local
	}
	a, b := candidates[local], candidates[remote]
	factor := float64(freeFactor)
	if float64(a.Busy()+1) > busyFraction*float64(a.Slots()) {
		factor = busyFactor
	}
	if factor*cost(b, cappedSlots(b, a)) < cost(a, cappedSlots(a, b)) {
		return remote
	}
	return local
}

// better compares two random candidates and returns the index of the better one. It
// considers only remote candidates if remote is set, and only local ones otherwise. It
// returns -1 if there are none.
func better(candidates []jackdawbridge.Candidate, remote bool, draw uint32) int {
	n := uint32(0)
	for _, c := range candidates {
		if c.Remote() == remote {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	first := draw % n
	i := nth(candidates, remote, first)
	if n == 1 {
		return i
	}
	j := nth(candidates, remote, (first+1+(draw>>16)%(n-1))%n)
	if a, b := candidates[i], candidates[j]; cost(b, cappedSlots(b, a)) < cost(a, cappedSlots(a, b)) {
		return j
	}
	return i
}

// nth returns the index of the n-th remote or local candidate, counted from 0.
func nth(candidates []jackdawbridge.Candidate, remote bool, n uint32) int {
	for i, c := range candidates {
		if c.Remote() != remote {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// cappedSlots returns the announced slots of c, but at most maxSlotsRatio times those of
// the candidate with which it is compared.
func cappedSlots(c, other jackdawbridge.Candidate) int {
	return min(c.Slots(), maxSlotsRatio*other.Slots())
}
