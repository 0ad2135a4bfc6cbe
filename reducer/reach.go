package reducer

import (
	"cmp"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// reachInterval is the time between two looks at the upstreams with calls in
	// progress.
	reachInterval = 50 * jackdawbridge.Millis(1)
	// reachSilence is how long an upstream with calls in progress may send nothing
	// before its node is probed. Most calls of a busy upstream end sooner.
	reachSilence = 100 * jackdawbridge.Millis(1)
	// reachTimeout is how long a probe waits for its answer. Data centres of a
	// region are 0.5 ms apart; a loaded node needs tens of milliseconds.
	reachTimeout = 100 * jackdawbridge.Millis(1)
	// reachMisses is how many probes in a row stay unanswered until an upstream
	// counts as unreachable. With one datagram in ten lost, a good path fails once
	// in 125 times.
	reachMisses = 3
	// reachRetry is the time between two probes of an unreachable upstream.
	reachRetry = 200 * jackdawbridge.Millis(1)
)

// reach is what a node knows of the path to an upstream. A cut, a frozen process
// and a lost host are silent: connections hang there until their deadlines.
type reach struct {
	peer    jackdawbridge.Peer
	busy    jackdawbridge.Millis // since when there are calls in progress
	heard   jackdawbridge.Millis // last answer to a call or a probe
	probed  jackdawbridge.Millis // when the last probe went out
	pending bool                 // it has not been answered
	misses  int                  // probes in a row without an answer
	lost    bool                 // the upstream counts as unreachable
}

// wake returns when the upstreams are looked at next.
func (p *routes) wake() jackdawbridge.Millis {
	if len(p.r.calls.active) > 0 || p.anyLost {
		return p.reachDue
	}
	return never
}

// tickReach probes the upstreams that are silent although they have calls in
// progress, and those that count as unreachable.
func (p *routes) tickReach() {
	if p.r.now < p.reachDue {
		return
	}
	p.reachDue = p.r.now + reachInterval
	p.anyLost = false
	var silent []jackdawbridge.Peer
	for node, o := range p.seen {
		w := &o.reach
		p.anyLost = p.anyLost || w.lost
		if o.inFlight == 0 && !w.lost || w.pending || node == p.r.self.Node() || w.peer.Node() != node {
			continue
		}
		wait := reachTimeout
		if w.lost {
			wait = reachRetry
		} else if p.r.now-max(w.heard, w.busy) < reachSilence {
			continue
		}
		if p.r.now-w.probed < wait {
			continue
		}
		w.pending = true
		w.probed = p.r.now
		silent = append(silent, w.peer)
	}
	// The map's order is random, and the steps of a node must not be.
	slices.SortFunc(silent, func(a, b jackdawbridge.Peer) int {
		return cmp.Compare(a.Node().Instance(), b.Node().Instance())
	})
	for _, peer := range silent {
		p.r.members.check(peer, pendingProbe{purpose: probeReach}, nil, reachTimeout)
	}
}

// reached takes note of a sign of life of an upstream's node.
func (p *routes) reached(node jackdawbridge.Node) {
	o, ok := p.seen[node]
	if !ok {
		return
	}
	w := &o.reach
	if w.lost {
		p.r.fx.Log(jackdawbridge.PartRoute, "reachable again").About("", node).Span("silent_ms", p.r.now-w.heard)
	}
	w.heard = p.r.now
	w.pending, w.misses, w.lost = false, 0, false
}

// missed takes note of a probe without an answer. Calls that may run again are
// taken back from an upstream that cannot be reached.
func (p *routes) missed(node jackdawbridge.Node) {
	o, ok := p.seen[node]
	if !ok || !o.reach.pending {
		return
	}
	w := &o.reach
	w.pending = false
	w.misses++
	if w.lost || w.misses < reachMisses {
		return
	}
	w.lost, p.anyLost = true, true
	p.r.fx.Warn(jackdawbridge.PartRoute, "unreachable").About("", node).Int("calls", int64(o.inFlight)).Span("silent_ms", p.r.now-w.heard)
	p.r.calls.unreachable(node)
}

// unreachable sends the calls again that wait for a lost upstream and may run
// more than once.
func (p *calls) unreachable(node jackdawbridge.Node) {
	var waiting []*call
	for _, c := range p.active {
		if c.stage == stageForward && c.target == node && p.mayRetry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range waiting {
		if !p.mayRetry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed) {
			return // the budget is used up
		}
		p.r.routes.ended(node, p.r.now-c.sent, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed, jackdawbridge.Feedback{})
		p.r.fx.Cancel(c.id, c.attempt)
		c.doubtful = true
		c.allowance += c.given
		c.given = 0
		p.retry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed)
	}
}
