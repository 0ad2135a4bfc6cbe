package reducer

import (
	"cmp"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// reachInterval is the time between two checks of the upstreams that have calls in
	// progress or are unreachable.
	reachInterval = 50 * jackdawbridge.Millis(1)
	// reachSilence is how long an upstream with calls in progress may send nothing
	// before its node is probed. Most calls to a busy upstream end sooner.
	reachSilence = 100 * jackdawbridge.Millis(1)
	// reachTimeout is how long a node waits for the answer to a probe of an upstream.
	// Data centres of a region are 0.5 ms apart; a loaded node takes tens of
	// milliseconds to answer.
	reachTimeout = 100 * jackdawbridge.Millis(1)
	// reachMisses is the number of unanswered probes in a row after which an
	// upstream counts as unreachable. With one datagram in ten lost, that happens
	// once in 125 times on a path that works.
	reachMisses = 3
	// reachRetry is the time between two probes of an unreachable upstream.
	reachRetry = 200 * jackdawbridge.Millis(1)
)

// reachability is the state of the path to an upstream. A network partition, a frozen
// process or the loss of a host causes no error, so calls would hang until their
// deadlines. Probes detect these cases sooner.
type reachability struct {
	peer        jackdawbridge.Peer
	busySince   jackdawbridge.Millis // when the number of calls in progress last rose from 0
	lastSeen    jackdawbridge.Millis // when the node last sent a message or answered a call
	probed      jackdawbridge.Millis // when the last probe was sent
	pending     bool                 // the last probe has neither been answered nor timed out
	misses      int                  // unanswered probes in a row
	unreachable bool                 // reachMisses probes were unanswered, and nothing arrived since
}

// wake returns the time of the next check of the upstreams.
func (p *routes) wake() jackdawbridge.Millis {
	if len(p.r.calls.active) > 0 || p.anyUnreachable {
		return p.reachDue
	}
	return never
}

// tickReach probes the upstreams that have calls in progress but send nothing, and
// those that count as unreachable.
func (p *routes) tickReach() {
	if p.r.now < p.reachDue {
		return
	}
	p.reachDue = p.r.now + reachInterval
	p.anyUnreachable = false
	var silent []jackdawbridge.Peer
	for node, o := range p.observations {
		w := &o.reachability
		p.anyUnreachable = p.anyUnreachable || w.unreachable
		if o.inFlight == 0 && !w.unreachable || w.pending || node == p.r.self.Node() || w.peer.Node() != node {
			continue
		}
		wait := reachTimeout
		if w.unreachable {
			wait = reachRetry
		} else if p.r.now-max(w.lastSeen, w.busySince) < reachSilence {
			continue
		}
		if p.r.now-w.probed < wait {
			continue
		}
		w.pending = true
		w.probed = p.r.now
		silent = append(silent, w.peer)
	}
	// Sorted, since the iteration order of a map is random and the reducer must be
	// deterministic.
	slices.SortFunc(silent, func(a, b jackdawbridge.Peer) int {
		return cmp.Compare(a.Node().Instance(), b.Node().Instance())
	})
	for _, peer := range silent {
		p.r.members.sendProbe(peer, pendingProbe{purpose: probeReach}, nil, reachTimeout)
	}
}

// upstreamSeen records that a message or an answer arrived from an upstream's node.
func (p *routes) upstreamSeen(node jackdawbridge.Node) {
	o, ok := p.observations[node]
	if !ok {
		return
	}
	w := &o.reachability
	if w.unreachable {
		p.r.fx.Log(jackdawbridge.PartRoute, "upstream is reachable again").About("", node).Duration("silent_ms", p.r.now-w.lastSeen)
	}
	w.lastSeen = p.r.now
	w.pending, w.misses, w.unreachable = false, 0, false
}

// upstreamProbeFailed records an unanswered probe. When the upstream then counts as
// unreachable, calls to it that may be retried are cancelled and retried.
func (p *routes) upstreamProbeFailed(node jackdawbridge.Node) {
	o, ok := p.observations[node]
	if !ok || !o.reachability.pending {
		return
	}
	w := &o.reachability
	w.pending = false
	w.misses++
	if w.unreachable || w.misses < reachMisses {
		return
	}
	w.unreachable, p.anyUnreachable = true, true
	p.r.fx.Warn(jackdawbridge.PartRoute, "upstream declared unreachable: no answer to probes").About("", node).Int("calls", int64(o.inFlight)).Duration("silent_ms", p.r.now-w.lastSeen)
	p.r.calls.retryUnreachable(node)
}

// retryUnreachable cancels and retries those calls in progress at an unreachable
// upstream that may run more than once, as long as the retry budget lasts.
func (p *calls) retryUnreachable(node jackdawbridge.Node) {
	var retryable []*call
	for _, c := range p.active {
		if c.stage == stageForward && c.target == node && p.mayRetry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed, &jackdawbridge.Feedback{}) {
			retryable = append(retryable, c)
		}
	}
	slices.SortFunc(retryable, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range retryable {
		if !p.mayRetry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed, &jackdawbridge.Feedback{}) {
			return // the retry budget is used up
		}
		p.r.routes.attemptEnded(node, p.r.now-c.sent, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed, jackdawbridge.Feedback{})
		p.r.fx.Cancel(c.id, c.attempt, jackdawbridge.UpstreamSilent)
		c.maybeRan = true
		c.allowance += c.passedRetries
		c.passedRetries = 0
		p.retry(c, jackdawbridge.Unknown, jackdawbridge.UpstreamFailed, &jackdawbridge.Feedback{})
	}
}
