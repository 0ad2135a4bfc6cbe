package picker

import "github.com/jackdawbridge/jackdawbridge"

// failurePart is the part of the expected completion that one consecutive failure adds.
const failurePart = 0.25

// Completion picks the upstream where the request is expected to end first, by its own
// expected time there and the work that the upstream still has to do. Where no such
// estimate is known it picks like Observed.
//
// Entry nodes decide from reports of different ages. If each chose the best upstream, all
// of them would send to the same one until its next report, so an upstream is drawn at
// random, with a weight that falls steeply with its expected completion.
type Completion struct{ observed Observed }

// NewCompletion returns a picker that compares all candidates by expected completion.
func NewCompletion() Completion { return Completion{} }

// group is the candidates of the local data centre, or those of the others.
type group struct {
	best  int     // index of the candidate that is expected to complete first, -1 if there is none
	least float64 // its expected completion
	slots int     // most slots that are counted for a candidate of the group, maxSlotsRatio times the mean
}

// Pick returns the index of the chosen candidate.
func (p Completion) Pick(candidates []jackdawbridge.Candidate, draw uint64) int {
	if candidates[0].Own() == 0 {
		return p.observed.Pick(candidates, draw)
	}
	local, remote := newGroup(candidates, false), newGroup(candidates, true)
	if local.best < 0 || remote.best >= 0 && remoteHelps(candidates[local.best], local.least, remote.least) {
		return remote.draw(candidates, true, draw)
	}
	return local.draw(candidates, false, draw)
}

// remoteHelps reports whether the difference between the expected completions is worth the
// traffic between data centres.
func remoteHelps(local jackdawbridge.Candidate, localTime, remoteTime float64) bool {
	factor := float64(freeFactor)
	if float64(local.Busy()+1) > busyFraction*float64(local.Slots()) {
		factor = busyFactor
	}
	return float64(factor*remoteTime) < localTime
}

func newGroup(candidates []jackdawbridge.Candidate, remote bool) group {
	g, n, slots := group{best: -1}, 0, 0
	for i := range candidates {
		if candidates[i].Remote() == remote {
			n++
			slots += candidates[i].Slots()
		}
	}
	if n == 0 {
		return g
	}
	g.slots = max(maxSlotsRatio*slots/n, 1)
	for i := range candidates {
		if candidates[i].Remote() != remote {
			continue
		}
		if t := completion(&candidates[i], g.slots); g.best < 0 || t < g.least {
			g.best, g.least = i, t
		}
	}
	return g
}

// draw returns the index of a random candidate of the group.
func (g group) draw(candidates []jackdawbridge.Candidate, remote bool, draw uint64) int {
	total := 0.0
	for i := range candidates {
		if candidates[i].Remote() == remote {
			total += g.weight(&candidates[i])
		}
	}
	left := total * float64(draw>>11) / (1 << 53)
	for i := range candidates {
		if candidates[i].Remote() != remote {
			continue
		}
		if left -= g.weight(&candidates[i]); left < 0 {
			return i
		}
	}
	return g.best
}

// weight returns the weight of a candidate in the draw: the fourth power of the least
// expected completion divided by its own.
func (g group) weight(c *jackdawbridge.Candidate) float64 {
	w := g.least / completion(c, g.slots)
	w = float64(w * w)
	return float64(w * w)
}

// completion returns the expected time until a request ends at c in ms. A load of 1 stands
// for as much work as the slots do in the time of the request; before that a free slot is
// likely. The cube leaves room on a fast upstream for what the reports do not show yet.
func completion(c *jackdawbridge.Candidate, maxSlots int) float64 {
	load := (c.Work()/c.Own() + 1) / float64(min(c.Slots(), maxSlots))
	return c.Own() * (1 + float64(failurePart*float64(c.ConsecutiveFailures())) + float64(float64(load*load)*load))
}
