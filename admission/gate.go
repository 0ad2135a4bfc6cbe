package admission

import "github.com/jackdawbridge/jackdawbridge"

const (
	// hashBits is the number of bits of a precedence by which trees of a rank are
	// ordered at their entry nodes.
	hashBits = leftShift
	// raisePart and lowerPart are the divisors of the work above and below the room that
	// a window adds to the threshold and takes from it. A tree whose first call is refused
	// would have sent its last one up to a second later, so that larger steps swing.
	raisePart = 24
	lowerPart = 4
	// maxFall is the greatest step down in a window, in precedence: a quarter of a rank.
	maxFall = 64
	// roomPercent is the part of its room that a service fills before its gate closes
	// further, in percent.
	roomPercent = 105
)

// EntryPrecedence returns the precedence by which the request of a call is ordered at its
// entry node. It is the same for all calls of a tree.
func EntryPrecedence(p jackdawbridge.Precedence) jackdawbridge.Precedence {
	return jackdawbridge.NewPrecedence(p.Rank(), p.Order()<<(8-hashBits))
}

// Gate computes the precedence below which a service has no room for new trees, from the
// work that arrives at one of its nodes and the room there. Both are in slot milliseconds,
// because the calls of one tree may take ten times as much as those of another. Calls of
// trees that have begun are not refused by it.
type Gate struct {
	began     jackdawbridge.Millis // start of the current window
	arrived   histogram            // work that arrived in the current window
	demand    histogram            // average of arrived in a window, in 1/one
	work      int                  // sum of arrived
	average   int                  // average of work, in 1/one
	room      int                  // in a window, in 1/one
	each      Average              // work of a call
	threshold int                  // in precedence, 0 to MaxPrecedence
}

// Done adds the work of a call that has ended.
func (g *Gate) Done(work jackdawbridge.Millis) {
	g.each.Add(int(min(max(work, 0), jackdawbridge.Millis(1)<<20)))
}

// Arrive adds a call that arrives at the service.
func (g *Gate) Arrive(p jackdawbridge.Precedence) {
	work := max(g.each.Round(), 1)
	g.work += work
	g.arrived.add(EntryPrecedence(p), work)
}

// Threshold returns the precedence below which the service has no room. slots is the
// number of calls that run at once, and full reports whether calls wait for them.
func (g *Gate) Threshold(at jackdawbridge.Millis, slots int, full bool) jackdawbridge.Precedence {
	for n := 0; at-g.began >= window; n++ {
		if n == maxWindows {
			g.began = at
			break
		}
		g.began += window
		g.endWindow(slots, full)
	}
	return jackdawbridge.Precedence(g.threshold)
}

// endWindow adds the window to the averages and moves the threshold.
func (g *Gate) endWindow(slots int, full bool) {
	g.demand.fade(&g.arrived)
	g.average += (g.work*one - g.average) / fadeDivisor
	g.work = 0
	g.room = max(slots, 1) * int(window) * one * roomPercent / 100
	if excess := g.average - g.room; excess > 0 && full {
		g.threshold = g.demand.above(g.threshold, excess/raisePart)
		return
	}
	spare := g.room - g.average
	if full || spare <= 0 {
		return
	}
	g.threshold = max(g.threshold-min(g.demand.width(g.threshold, spare/lowerPart), maxFall), 0)
}

// Load returns the work that arrives, in permille of the room.
func (g *Gate) Load() int { return g.average * 1000 / max(g.room, 1) }
