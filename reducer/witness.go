package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// witnessLimit is the time since its last successful read of the record from the
	// platform after which a witness no longer votes.
	witnessLimit = 2 * 60 * 60 * jackdawbridge.Second
	// witnessInterval is the time after such a read at which a witness reads the
	// record again.
	witnessInterval = 10 * 60 * jackdawbridge.Second
	// unseenPredecessorAfter is the time from the start of this process after which a
	// newer process of a recorded instance proves that its predecessor ended even if
	// this node has never seen the predecessor. Without this rule, a data centre that
	// restarts as a whole would wait for voteLimit.
	strangerAfter = 10 * jackdawbridge.Second
	// maxEndedNodes bounds the nodes kept as proven to have ended.
	maxProofs = 512
)

// witness is the state that a witness keeps in addition to the record. It votes only
// at the epoch of the newest record, and that epoch never decreases.
type witness struct {
	takeover jackdawbridge.Millis // when it last voted for a process that replaces a holder
}

// isWitness reports whether the record names this node as a witness.
func (p *authority) isWitness() bool {
	return p.own != nil && slices.Contains(p.own.Witnesses(), p.self())
}

// voteRequested answers the VoteRequest of a holder with a vote if this node may vote
// for it, or with the record if the holder's is older.
func (p *authority) vouch(from jackdawbridge.Peer, m *jackdawbridge.Vouch) {
	if from.DataCentre() != p.r.self.DataCentre() || p.own == nil {
		return
	}
	if m.Epoch() < p.own.Epoch() {
		p.r.send(from, jackdawbridge.NewRangesDelta(from.DataCentre(), p.version, p.own))
		return
	}
	if p.mayVouch(from, m.Epoch()) {
		p.r.send(from, jackdawbridge.NewVouched(m.Epoch(), m.Asked()))
	}
}

// mayVote reports whether this node may vote for a holder at an epoch. A process that
// replaces a recorded holder must have the addresses of its predecessor. The takeover
// is recorded, since it delays promises (see prepareRequested).
func (p *authority) mayVouch(holder jackdawbridge.Peer, epoch uint64) bool {
	if p.own == nil || p.own.Epoch() != epoch || !p.isWitness() {
		return false
	}
	if p.confirmed == 0 || p.r.now-p.confirmed >= witnessLimit {
		return false
	}
	node := holder.Node()
	direct, replaces := false, false
	for i := range jackdawbridge.RangeCount {
		h := p.own.Holder(i)
		direct = direct || h == node
		replaces = replaces || h.Instance() == node.Instance() && h.Incarnation() < node.Incarnation()
	}
	if replaces {
		old, ok := p.slots[node.Instance()]
		if !ok || old.Addresses() != holder.Addresses() {
			return false
		}
		p.witness.takeover = p.r.now
	}
	return direct || replaces
}

// prepareRequested adopts a pending record and promises to vote at no earlier epoch and
// to act for no range that the record moves. A witness that has voted for a process
// that replaces a holder promises only after that vote has expired, since the change
// may rely on the proof that the replaced process has ended.
func (p *authority) acknowledge(from jackdawbridge.Peer, m *jackdawbridge.Acknowledge) {
	if m.DataCentre() != p.r.self.DataCentre() {
		return
	}
	p.adopt(m.Ranges(), m.Version())
	if p.promises(m.Ranges().Epoch()) {
		p.r.send(from, jackdawbridge.NewAcknowledged(m.Ranges().Epoch()))
	}
}

// canPromise reports whether this node can promise to vote at no epoch before the
// given one.
func (p *authority) promises(epoch uint64) bool {
	lapsed := p.witness.takeover == 0 || p.r.now >= p.witness.takeover+leaseTime+leaseMargin
	return p.own != nil && p.own.Epoch() >= epoch && lapsed
}

// endedNodes is the set of nodes that are proven to have ended.
type proofs struct {
	known map[jackdawbridge.Node]bool // at most maxEndedNodes
	order []jackdawbridge.Node        // keys of known, oldest first
}

func newProofs() proofs { return proofs{known: make(map[jackdawbridge.Node]bool)} }

// add adds a node and reports whether it was new. A full set drops its oldest node.
func (p *proofs) add(node jackdawbridge.Node) bool {
	if p.known[node] {
		return false
	}
	if len(p.order) >= maxProofs {
		delete(p.known, p.order[0])
		p.order = slices.Delete(p.order, 0, 1)
	}
	p.known[node] = true
	p.order = append(p.order, node)
	return true
}

// nodeEnded records that a node is proven to have ended.
func (p *authority) gone(node jackdawbridge.Node) {
	if !p.proofs.add(node) {
		return
	}
	p.due = p.r.now
	p.change.check = p.r.now
}

// ended reports whether a node is the zero Node or is proven to have ended.
func (p *authority) ended(node jackdawbridge.Node) bool {
	return node.IsZero() || p.proofs.known[node]
}

// detectRestart takes a newer process of a recorded instance as proof that the earlier
// one ended, if it has the same addresses. A process with other addresses is no
// proof: it may be a second host that was given the same name.
func (p *authority) reincarnated(from jackdawbridge.Peer) {
	old, ok := p.slots[from.Node().Instance()]
	if ok && old.Node().Incarnation() < from.Node().Incarnation() && old.Addresses() == from.Addresses() {
		p.gone(old.Node())
	}
}

// rememberPeers keeps the addresses of the nodes that the record names, and detects
// restarted ones among them.
func (p *authority) remember() {
	if p.own == nil {
		return
	}
	for _, node := range concerned(p.own) {
		peer, ok := p.r.located(node.Instance())
		if !ok {
			continue
		}
		p.reincarnated(peer)
		switch {
		case peer.Node() == node:
			p.slots[node.Instance()] = peer
		case p.slots[node.Instance()].Node() != node && peer.Node().Incarnation() > node.Incarnation() && p.r.now >= p.started+strangerAfter:
			p.gone(node)
		}
	}
	if len(p.slots) > 4*jackdawbridge.RangeCount {
		keep := concerned(p.own)
		for instance, peer := range p.slots {
			if !slices.Contains(keep, peer.Node()) {
				delete(p.slots, instance)
			}
		}
	}
}
