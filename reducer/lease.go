package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// leaseTime is how long a vote is valid for a holder, counted from the moment at
	// which the holder sent the request.
	leaseTime = 6 * jackdawbridge.Second
	// leaseMargin covers the drift between the clocks of two nodes over leaseTime.
	leaseMargin = jackdawbridge.Second
	// renewInterval is the time between two rounds of VoteRequests while the lease is
	// valid.
	renewInterval = 2 * jackdawbridge.Second
	// regainInterval is the time between two rounds of VoteRequests without a lease.
	regainInterval = 500 * jackdawbridge.Millis(1)
	// takeoverAfter is how long a new process waits for the record to name it before
	// it takes over the ranges of the earlier process of its instance.
	takeoverAfter = 5 * jackdawbridge.Second
	// releaseLimit bounds how long an exiting node waits until the record names new
	// holders for its ranges.
	releaseLimit = 10 * jackdawbridge.Second
)

// lease is this node's right to act for its ranges. It is valid while a majority of
// the witnesses has voted for it within leaseTime.
type lease struct {
	votes         map[jackdawbridge.Node]jackdawbridge.Millis    // when the newest vote of each witness at the record's epoch was requested
	end           jackdawbridge.Millis                           // end of the lease
	endAtEpoch    jackdawbridge.Millis                           // end of the lease by votes at the record's epoch alone
	due           jackdawbridge.Millis                           // when to send VoteRequests again
	held          [jackdawbridge.RangeCount]bool                 // ranges gained and not lost since
	first         [jackdawbridge.RangeCount]bool                 // ranges that no other node held before, by the first record
	since         [jackdawbridge.RangeCount]jackdawbridge.Millis // when each range was gained
	uninterrupted bool                                           // whether no other node can have acted for the held ranges before the last record was adopted
}

func newLease() lease {
	return lease{votes: make(map[jackdawbridge.Node]jackdawbridge.Millis)}
}

// holds reports whether this node may act for a range of its data centre now, and
// returns when it gained the range.
func (p *authority) holds(i int) (since jackdawbridge.Millis, ok bool) {
	return p.lease.since[i], p.lease.held[i] && p.usable(i)
}

// firstHolder reports whether no other node can have acted for a range before this
// one.
func (p *authority) firstHolder(i int) bool { return p.lease.first[i] }

// successor returns the new holder of a range and the epoch of the record that names
// it. It returns false if the new holder is not live, or if another node may have
// acted for the range, so that this node's state of the range may be out of date.
func (p *authority) successor(i int) (peer jackdawbridge.Peer, epoch uint64, ok bool) {
	if !p.lease.uninterrupted || p.localRanges.Holder(i) == p.self() {
		return jackdawbridge.Peer{}, 0, false
	}
	node := p.localRanges.Holder(i)
	peer, ok = p.r.livePeer(node.Instance())
	return peer, p.localRanges.Epoch(), ok && peer.Node() == node
}

// usable reports whether the record and the votes permit this node to act for a
// range. No node may act for a range that a pending change moves.
func (p *authority) usable(i int) bool {
	if p.localRanges == nil || p.stopped || p.localRanges.Pending() && moved(p.localRanges, i) {
		return false
	}
	if p.localRanges.Holder(i) == p.self() {
		return p.r.now < p.lease.end
	}
	return p.replaces(i) && p.r.now < p.lease.endAtEpoch
}

// replaces reports whether the recorded holder of a range is an earlier process of
// this instance.
func (p *authority) replaces(i int) bool {
	h := p.localRanges.Holder(i)
	return h.Instance() == p.self().Instance() && h.Incarnation() < p.self().Incarnation()
}

// isNamed reports whether the record names this node as holder or witness.
func (p *authority) isNamed() bool { return slices.Contains(named(p.localRanges), p.self()) }

// needsVotes reports whether this node has ranges for which it needs a lease.
func (p *authority) needsVotes() bool {
	if p.localRanges == nil || p.stopped {
		return false
	}
	for i := range jackdawbridge.RangeCount {
		if p.localRanges.Holder(i) == p.self() || p.replaces(i) && p.r.now >= p.r.started+takeoverAfter {
			return true
		}
	}
	return false
}

// voteReceived counts the vote of a witness if it is for the record's epoch.
func (p *authority) voteReceived(from jackdawbridge.Peer, m *jackdawbridge.Vote) {
	if p.localRanges == nil || m.Epoch() != p.localRanges.Epoch() || m.RequestedAt() < p.r.started || m.RequestedAt() > p.r.now {
		return
	}
	if slices.Contains(p.localRanges.Witnesses(), from.Node()) {
		p.lease.vote(p, from.Node(), m.RequestedAt())
	}
}

// vote counts a vote. The lease ends when the oldest vote of the newest majority
// expires.
func (l *lease) vote(p *authority, witness jackdawbridge.Node, requestedAt jackdawbridge.Millis) {
	l.votes[witness] = max(l.votes[witness], requestedAt)
	var times [maxWitnesses]jackdawbridge.Millis
	sorted := times[:0]
	for _, at := range l.votes {
		sorted = append(sorted, at)
	}
	slices.Sort(sorted)
	need := len(p.localRanges.Witnesses())/2 + 1
	if len(sorted) < need {
		return
	}
	l.endAtEpoch = sorted[len(sorted)-need] + leaseTime
	l.end = max(l.end, l.endAtEpoch)
	l.gain(p)
}

// gain takes over each range that this node may act for and does not hold yet.
func (l *lease) gain(p *authority) {
	for i := range l.held {
		if l.held[i] || !p.usable(i) {
			continue
		}
		l.held[i] = true
		l.since[i] = p.r.now
		l.first[i] = p.localRanges.Epoch() == 1 && p.localRanges.Holder(i) == p.self()
		p.r.shares.gained(i)
		p.r.once.gained(i)
	}
}

// follow applies a newly adopted record. It drops the ranges that the record moves to
// other nodes, and all ranges that another node may have acted for meanwhile. No
// other node can have done so if the lease is still valid, or if the new record's
// epoch is at most one above that of the old record, by which this node held them.
func (l *lease) follow(p *authority, old *jackdawbridge.Ranges) {
	adopted := p.localRanges
	newEpoch := old == nil || adopted.Epoch() != old.Epoch()
	l.uninterrupted = old != nil && adopted.Epoch() <= old.Epoch()+1 || p.r.now < l.end
	if newEpoch {
		clear(l.votes)
		l.endAtEpoch = 0
		l.due = p.r.now
	}
	for i := range l.held {
		if l.held[i] && (!l.uninterrupted || adopted.Holder(i) != p.self() && !p.replaces(i)) {
			l.held[i] = false
			p.r.shares.lost(i)
			p.r.once.lost(i)
		}
	}
	l.gain(p)
}

// lapse ends the lease immediately.
func (l *lease) lapse(p *authority) {
	clear(l.votes)
	l.end, l.endAtEpoch, l.due = 0, 0, p.r.now
}

func (l *lease) wake(p *authority) jackdawbridge.Millis {
	if !p.needsVotes() {
		return never
	}
	return l.due
}

// tick sends VoteRequests to the witnesses when they are due.
func (l *lease) tick(p *authority) {
	if p.r.now < l.due || !p.needsVotes() {
		return
	}
	l.due = p.r.now + renewInterval
	if p.r.now >= l.end {
		l.due = p.r.now + regainInterval
	}
	for _, node := range p.localRanges.Witnesses() {
		if node == p.self() {
			if p.mayVote(p.r.self, p.localRanges.Epoch()) {
				l.vote(p, node, p.r.now)
			}
			continue
		}
		if peer, ok := p.r.livePeer(node.Instance()); ok && peer.Node() == node {
			p.r.send(peer, jackdawbridge.NewVoteRequest(p.localRanges.Epoch(), p.r.now))
		}
	}
}
