package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// witnessLimit is the age of its last own read of the platform at which a
	// witness ceases to vouch.
	witnessLimit = 2 * 60 * 60 * jackdawbridge.Second
	// witnessInterval is the time between two such reads.
	witnessInterval = 10 * 60 * jackdawbridge.Second
	// strangerAfter is when a node takes the successor of a process that it has
	// never met as proof that the process ended. Without it, a data centre that
	// restarts as a whole would wait for silentLimit.
	strangerAfter = 10 * jackdawbridge.Second
	// maxProofs bounds the ended nodes that are remembered.
	maxProofs = 512
)

// witness is what a witness has to remember besides the record it knows. It
// vouches for no epoch but that of the newest record, which never goes back.
type witness struct {
	takeover jackdawbridge.Millis // when it last vouched for a process that replaces a holder
}

// isWitness reports whether the record names this node as a witness.
func (p *authority) isWitness() bool {
	return p.own != nil && slices.Contains(p.own.Witnesses(), p.self())
}

// vouch answers a holder that wants to go on.
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

// mayVouch decides whether this node vouches for a holder at an epoch.
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

// acknowledge promises to vouch for no epoch before that of a pending record,
// and to act for no range that it moves. A witness that vouched for a process
// that replaces a holder waits until that vote has lapsed, since the change may
// rest on the proof that the replaced process is gone.
func (p *authority) acknowledge(from jackdawbridge.Peer, m *jackdawbridge.Acknowledge) {
	if m.DataCentre() != p.r.self.DataCentre() {
		return
	}
	p.adopt(m.Ranges(), m.Version())
	if p.promises(m.Ranges().Epoch()) {
		p.r.send(from, jackdawbridge.NewAcknowledged(m.Ranges().Epoch()))
	}
}

// promises reports whether this node is bound to no epoch before the given one.
func (p *authority) promises(epoch uint64) bool {
	lapsed := p.witness.takeover == 0 || p.r.now >= p.witness.takeover+leaseTime+leaseMargin
	return p.own != nil && p.own.Epoch() >= epoch && lapsed
}

// proofs remembers nodes that are proven to have ended.
type proofs struct {
	known map[jackdawbridge.Node]bool // at most maxProofs
	order []jackdawbridge.Node        // of known, oldest first
}

func newProofs() proofs { return proofs{known: make(map[jackdawbridge.Node]bool)} }

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

// gone takes note that a node is proven to have ended.
func (p *authority) gone(node jackdawbridge.Node) {
	if !p.proofs.add(node) {
		return
	}
	p.due = p.r.now
	p.change.check = p.r.now
}

// ended reports whether a node is proven to have ended, or is no node.
func (p *authority) ended(node jackdawbridge.Node) bool {
	return node.IsZero() || p.proofs.known[node]
}

// reincarnated takes a new process in the slot of a named node as proof that
// the process before it ended. Another address is no proof: it may be a second
// host that was given the same name.
func (p *authority) reincarnated(from jackdawbridge.Peer) {
	old, ok := p.slots[from.Node().Instance()]
	if ok && old.Node().Incarnation() < from.Node().Incarnation() && old.Addresses() == from.Addresses() {
		p.gone(old.Node())
	}
}

// remember keeps the addresses of the nodes that the record names.
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
