package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// leaseTime is how long a holder acts on a vote, from before it asked.
	leaseTime = 6 * jackdawbridge.Second
	// leaseMargin covers the drift between two clocks over a lease.
	leaseMargin = jackdawbridge.Second
	// renewInterval is the time between two requests for votes.
	renewInterval = 2 * jackdawbridge.Second
	// regainInterval is the same without a lease.
	regainInterval = 500 * jackdawbridge.Millis(1)
	// takeoverAfter is how long a new process waits for a changed record before
	// it takes over the ranges of the process it replaces.
	takeoverAfter = 5 * jackdawbridge.Second
	// releaseLimit bounds how long a leaving node waits for its successors.
	releaseLimit = 10 * jackdawbridge.Second
)

// lease is what lets this node act for its ranges.
type lease struct {
	votes   map[jackdawbridge.Node]jackdawbridge.Millis // when the newest vote was asked for, at the epoch of the record
	until   jackdawbridge.Millis                        // end of the right to act
	current jackdawbridge.Millis                        // the same by votes at the epoch of the record only
	due     jackdawbridge.Millis                        // of the next request for votes
	held    [jackdawbridge.RangeCount]bool              // taken over and not lost since
	first   [jackdawbridge.RangeCount]bool              // held since the first record
	since   [jackdawbridge.RangeCount]jackdawbridge.Millis
	kept    bool // nobody else can have acted before the last record was learned
}

func newLease() lease {
	return lease{votes: make(map[jackdawbridge.Node]jackdawbridge.Millis)}
}

// holds reports whether this node may act for a range of its data centre at
// this instant, and since when.
func (p *authority) holds(i int) (since jackdawbridge.Millis, ok bool) {
	return p.lease.since[i], p.lease.held[i] && p.usable(i)
}

// first reports whether nobody can have acted for a range before this node.
func (p *authority) first(i int) bool { return p.lease.first[i] }

// successor returns the node that follows this one in a range, with the epoch of
// its record, if the state that this node keeps for the range is still true.
func (p *authority) successor(i int) (peer jackdawbridge.Peer, epoch uint64, ok bool) {
	if !p.lease.kept || p.own.Holder(i) == p.self() {
		return jackdawbridge.Peer{}, 0, false
	}
	node := p.own.Holder(i)
	peer, ok = p.r.located(node.Instance())
	return peer, p.own.Epoch(), ok && peer.Node() == node
}

// usable reports whether the record and the votes let this node act for a range.
// A range that a pending change moves is not in use.
func (p *authority) usable(i int) bool {
	if p.own == nil || p.stopped || p.own.Pending() && moved(p.own, i) {
		return false
	}
	if p.own.Holder(i) == p.self() {
		return p.r.now < p.lease.until
	}
	return p.replaces(i) && p.r.now < p.lease.current
}

// replaces reports whether the record names an earlier process of this instance.
func (p *authority) replaces(i int) bool {
	h := p.own.Holder(i)
	return h.Instance() == p.self().Instance() && h.Incarnation() < p.self().Incarnation()
}

// isNamed reports whether the record names this node.
func (p *authority) isNamed() bool { return slices.Contains(named(p.own), p.self()) }

// wants reports whether this node asks for votes.
func (p *authority) wants() bool {
	if p.own == nil || p.stopped {
		return false
	}
	for i := range jackdawbridge.RangeCount {
		if p.own.Holder(i) == p.self() || p.replaces(i) && p.r.now >= p.started+takeoverAfter {
			return true
		}
	}
	return false
}

// vouched takes the vote of a witness.
func (p *authority) vouched(from jackdawbridge.Peer, m *jackdawbridge.Vouched) {
	if p.own == nil || m.Epoch() != p.own.Epoch() || m.Asked() < p.started || m.Asked() > p.r.now {
		return
	}
	if slices.Contains(p.own.Witnesses(), from.Node()) {
		p.lease.vote(p, from.Node(), m.Asked())
	}
}

// vote counts a vote: the lease ends when the majority's oldest vote does.
func (l *lease) vote(p *authority, witness jackdawbridge.Node, asked jackdawbridge.Millis) {
	l.votes[witness] = max(l.votes[witness], asked)
	var times [maxWitnesses]jackdawbridge.Millis
	sorted := times[:0]
	for _, at := range l.votes {
		sorted = append(sorted, at)
	}
	slices.Sort(sorted)
	need := len(p.own.Witnesses())/2 + 1
	if len(sorted) < need {
		return
	}
	l.current = sorted[len(sorted)-need] + leaseTime
	l.until = max(l.until, l.current)
	l.gain(p)
}

// gain takes over the ranges that this node may act for from now on.
func (l *lease) gain(p *authority) {
	for i := range l.held {
		if l.held[i] || !p.usable(i) {
			continue
		}
		l.held[i] = true
		l.since[i] = p.r.now
		l.first[i] = p.own.Epoch() == 1 && p.own.Holder(i) == p.self()
		p.r.shares.gained(i)
		p.r.once.gained(i)
	}
}

// follow drops what a new record takes away. A range is kept if nobody else can
// have acted for it: the lease still runs, or the record before names this node
// too and no epoch lies between.
func (l *lease) follow(p *authority, old *jackdawbridge.Ranges) {
	now := p.own
	fresh := old == nil || now.Epoch() != old.Epoch()
	l.kept = old != nil && now.Epoch() <= old.Epoch()+1 || p.r.now < l.until
	if fresh {
		clear(l.votes)
		l.current = 0
		l.due = p.r.now
	}
	for i := range l.held {
		if l.held[i] && (!l.kept || now.Holder(i) != p.self() && !p.replaces(i)) {
			l.held[i] = false
			p.r.shares.lost(i)
			p.r.once.lost(i)
		}
	}
	l.gain(p)
}

// lapse ends the lease at once.
func (l *lease) lapse(p *authority) {
	clear(l.votes)
	l.until, l.current, l.due = 0, 0, p.r.now
}

func (l *lease) wake(p *authority) jackdawbridge.Millis {
	if !p.wants() {
		return never
	}
	return l.due
}

// tick asks the witnesses for their votes.
func (l *lease) tick(p *authority) {
	if p.r.now < l.due || !p.wants() {
		return
	}
	l.due = p.r.now + renewInterval
	if p.r.now >= l.until {
		l.due = p.r.now + regainInterval
	}
	for _, node := range p.own.Witnesses() {
		if node == p.self() {
			if p.mayVouch(p.r.self, p.own.Epoch()) {
				l.vote(p, node, p.r.now)
			}
			continue
		}
		if peer, ok := p.r.located(node.Instance()); ok && peer.Node() == node {
			p.r.send(peer, jackdawbridge.NewVouch(p.own.Epoch(), p.r.now))
		}
	}
}
