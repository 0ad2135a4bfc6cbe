package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// witnessLimit is the time since its last successful read of the record from the
	// platform after which a witness no longer votes.
	witnessLimit = 2 * 60 * 60 * jackdawbridge.Second
	// witnessInterval is the time after its last successful read at which a witness
	// reads the record again.
	witnessInterval = 10 * 60 * jackdawbridge.Second
	// unseenPredecessorAfter is the time from the start of this process after which a
	// newer process of a recorded instance proves that its predecessor exited even if
	// this node has never seen the predecessor. Without this rule, a data centre that
	// restarts as a whole would wait for voteLimit.
	unseenPredecessorAfter = 10 * jackdawbridge.Second
	// maxExitedNodes bounds the nodes kept as proven to have exited.
	maxExitedNodes = 512
)

// witness is the state that a witness keeps in addition to the record. A witness
// votes only at the epoch of its newest record, and that epoch never decreases.
type witness struct {
	takeover jackdawbridge.Millis // when this node last voted for a process that replaces a holder; 0 if never
}

// isWitness reports whether the record names this node as a witness.
func (p *authority) isWitness() bool {
	return p.localRanges != nil && slices.Contains(p.localRanges.Witnesses(), p.self())
}

// voteRequested answers the VoteRequest of a holder with a vote if this node may vote
// for it, or with the record if the holder's is older.
func (p *authority) voteRequested(from jackdawbridge.Peer, m *jackdawbridge.VoteRequest) {
	if from.DataCentre() != p.r.self.DataCentre() || p.localRanges == nil {
		return
	}
	if m.Epoch() < p.localRanges.Epoch() {
		p.r.send(from, jackdawbridge.NewRangesUpdate(from.DataCentre(), p.version, p.localRanges))
		return
	}
	if p.mayVote(from, m.Epoch()) {
		p.r.send(from, jackdawbridge.NewVote(m.Epoch(), m.RequestedAt()))
	}
}

// mayVote reports whether this node may vote for a holder at an epoch. A process that
// replaces a recorded holder must have the addresses of its predecessor. mayVote
// records the time of such a vote, since the vote delays promises (see
// prepareRequested).
func (p *authority) mayVote(holder jackdawbridge.Peer, epoch uint64) bool {
	if p.localRanges == nil || p.localRanges.Epoch() != epoch || !p.isWitness() {
		return false
	}
	if p.confirmed == 0 || p.r.now-p.confirmed >= witnessLimit {
		return false
	}
	node := holder.Node()
	recorded, replaces := false, false
	for i := range jackdawbridge.RangeCount {
		h := p.localRanges.Holder(i)
		recorded = recorded || h == node
		replaces = replaces || h.Instance() == node.Instance() && h.Incarnation() < node.Incarnation()
	}
	if replaces {
		old, ok := p.recordedPeers[node.Instance()]
		if !ok || old.Addresses() != holder.Addresses() {
			return false
		}
		p.witness.takeover = p.r.now
	}
	return recorded || replaces
}

// prepareRequested adopts a pending record and promises to vote at no earlier epoch
// and to act for no range that the record moves. A witness that has voted for a
// process that replaces a holder promises only after that vote has expired, since the
// change may rely on the proof that the replaced process has exited.
func (p *authority) prepareRequested(from jackdawbridge.Peer, m *jackdawbridge.PrepareRequest) {
	if m.DataCentre() != p.r.self.DataCentre() {
		return
	}
	p.adopt(m.Ranges(), m.Version())
	if p.localRanges.Epoch() == m.Ranges().Epoch() && !sameRanges(p.localRanges, m.Ranges()) {
		p.r.send(from, jackdawbridge.NewRangesUpdate(from.DataCentre(), p.version, p.localRanges))
		return
	}
	if p.canPromise(m.Ranges().Epoch()) {
		p.r.send(from, jackdawbridge.NewPromise(m.Ranges().Epoch()))
	}
}

// canPromise reports whether this node can promise to vote at no epoch before the
// given one.
func (p *authority) canPromise(epoch uint64) bool {
	voteExpired := p.witness.takeover == 0 || p.r.now >= p.witness.takeover+leaseTime+leaseMargin
	return p.localRanges != nil && p.localRanges.Epoch() >= epoch && voteExpired
}

// exitedNodes is the set of nodes that are proven to have exited.
type exitedNodes struct {
	known map[jackdawbridge.Node]bool // at most maxExitedNodes
	order []jackdawbridge.Node        // keys of known, oldest first
}

func newExitedNodes() exitedNodes { return exitedNodes{known: make(map[jackdawbridge.Node]bool)} }

// add adds a node and reports whether it was new. A full set drops its oldest node.
func (n *exitedNodes) add(node jackdawbridge.Node) bool {
	if n.known[node] {
		return false
	}
	if len(n.order) >= maxExitedNodes {
		delete(n.known, n.order[0])
		n.order = slices.Delete(n.order, 0, 1)
	}
	n.known[node] = true
	n.order = append(n.order, node)
	return true
}

// nodeExited records that a node is proven to have exited.
func (p *authority) nodeExited(node jackdawbridge.Node) {
	if !p.exitedNodes.add(node) {
		return
	}
	p.due = p.r.now
	p.change.check = p.r.now
}

// exited reports whether a node is the zero Node or is proven to have exited.
func (p *authority) exited(node jackdawbridge.Node) bool {
	return node.IsZero() || p.exitedNodes.known[node]
}

// detectRestart takes a newer process of a recorded instance as proof that the
// recorded process exited, if both have the same addresses. A process with other
// addresses is no proof: it may run on a second host that was given the same name.
func (p *authority) detectRestart(from jackdawbridge.Peer) {
	old, ok := p.recordedPeers[from.Node().Instance()]
	if ok && old.Node().Incarnation() < from.Node().Incarnation() && old.Addresses() == from.Addresses() {
		p.nodeExited(old.Node())
	}
}

// rememberPeers keeps the addresses of the nodes that the record names, and detects
// restarts among them. An instance's newer process proves the exit of a recorded
// process that this node has never seen once unseenPredecessorAfter has passed.
func (p *authority) rememberPeers() {
	if p.localRanges == nil {
		return
	}
	for _, node := range namedOrFormer(p.localRanges) {
		peer, ok := p.r.livePeer(node.Instance())
		if !ok {
			continue
		}
		p.detectRestart(peer)
		switch {
		case peer.Node() == node:
			p.recordedPeers[node.Instance()] = peer
		case p.recordedPeers[node.Instance()].Node() != node && peer.Node().Incarnation() > node.Incarnation() && p.r.now >= p.r.started+unseenPredecessorAfter:
			p.nodeExited(node)
		}
	}
	if len(p.recordedPeers) > 4*jackdawbridge.RangeCount {
		keep := namedOrFormer(p.localRanges)
		for instance, peer := range p.recordedPeers {
			if !slices.Contains(keep, peer.Node()) {
				delete(p.recordedPeers, instance)
			}
		}
	}
}
