package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// probeInterval is the time between two probes of a node.
	probeInterval = jackdawbridge.Second
	// deadAfter is the silence after which a member counts as lost.
	deadAfter = 5 * jackdawbridge.Second
)

// member is a peer as this node knows it.
type member struct {
	peer  jackdawbridge.Peer
	heard jackdawbridge.Millis
}

// members is the part that knows the other nodes.
type members struct {
	r     *Reducer
	joins []jackdawbridge.Peer
	known map[jackdawbridge.Instance]*member // without this node
	due   jackdawbridge.Millis               // of the next probes
}

func newMembers(r *Reducer, joins []jackdawbridge.Peer) members {
	return members{r: r, joins: joins, known: make(map[jackdawbridge.Instance]*member)}
}

// announce makes a change of this node known to the others.
func (r *Reducer) announce(self jackdawbridge.Peer) {
	r.self = self.WithVersion(self.Version() + 1)
	r.members.due = r.now
}

// upstreams adds the members that serve a service to a list.
func (p *members) upstreams(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	if p.r.self.Service() == service && p.r.self.State() == jackdawbridge.PeerServing {
		list = append(list, p.r.self)
	}
	for _, m := range p.known {
		if m.peer.Service() == service && m.peer.State() == jackdawbridge.PeerServing {
			list = append(list, m.peer)
		}
	}
	return list
}

// heard takes note of a sign of life.
func (p *members) heard(from jackdawbridge.Peer) {
	m, ok := p.known[from.Node().Instance()]
	if !ok {
		m = &member{peer: from}
		p.known[from.Node().Instance()] = m
		p.r.fx.Log(jackdawbridge.PartMember, "joined").About("", from.Node())
	}
	if from.Node().Incarnation() < m.peer.Node().Incarnation() {
		return
	}
	if from.Node() == m.peer.Node() && from.Version() < m.peer.Version() {
		return
	}
	m.peer = from
	m.heard = p.r.now
}

// refused takes the proof that the process of a node has ended.
func (p *members) refused(node jackdawbridge.Node) {
	m, ok := p.known[node.Instance()]
	if !ok || m.peer.Node() != node {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "lost, its host refuses connections").About("", node)
	p.drop(node)
}

// left takes the farewell of a node.
func (p *members) left(from jackdawbridge.Peer) {
	p.r.fx.Log(jackdawbridge.PartMember, "left").About("", from.Node())
	p.drop(from.Node())
}

func (p *members) drop(node jackdawbridge.Node) {
	delete(p.known, node.Instance())
	p.r.routes.forget(node)
	p.r.authority.gone(node)
}

// sample returns up to n random members.
func (p *members) sample(n int) []jackdawbridge.Peer {
	var peers []jackdawbridge.Peer
	for _, m := range p.known {
		if len(peers) == n {
			break
		}
		peers = append(peers, m.peer)
	}
	return peers
}

// probe answers a probe.
func (p *members) probe(from jackdawbridge.Peer, m *jackdawbridge.Probe) {
	p.r.send(from, jackdawbridge.NewProbeAck(m.Sequence(), nil))
}

func (p *members) probeAck(jackdawbridge.Peer, *jackdawbridge.ProbeAck) {}

func (p *members) probeVia(jackdawbridge.Peer, *jackdawbridge.ProbeVia) {}

// received takes the members that a peer knows, or sends the own ones.
func (p *members) received(from jackdawbridge.Peer, m *jackdawbridge.Members) {
	if m.Request() {
		rumors := make([]jackdawbridge.Rumor, 0, len(p.known))
		for _, k := range p.known {
			rumors = append(rumors, jackdawbridge.NewRumor(k.peer, jackdawbridge.Alive))
		}
		p.r.send(from, jackdawbridge.NewMembers(rumors))
		return
	}
	for _, rumor := range m.Rumors() {
		peer := rumor.Peer()
		if _, ok := p.known[peer.Node().Instance()]; !ok && peer.Node() != p.r.self.Node() {
			p.heard(peer)
		}
	}
}

func (p *members) seedLoaded(*jackdawbridge.StoreLoaded) {}

func (p *members) seedSwapped(*jackdawbridge.StoreSwapped) {}

// depart tells the other nodes that this one ends.
func (p *members) depart() {
	for _, m := range p.known {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
}

// thaw forgets how long the others were silent after the process was frozen.
func (p *members) thaw() {
	for _, m := range p.known {
		m.heard = p.r.now
	}
}

func (p *members) wake() jackdawbridge.Millis { return p.due }

// tick probes the others and drops those that are silent.
func (p *members) tick() {
	if p.r.now < p.due {
		return
	}
	p.due = p.r.now + probeInterval
	for _, m := range p.known {
		if p.r.now-m.heard > deadAfter {
			p.r.fx.Warn(jackdawbridge.PartMember, "lost, silent").About("", m.peer.Node())
			delete(p.known, m.peer.Node().Instance())
			p.r.routes.forget(m.peer.Node())
			continue
		}
		p.r.send(m.peer, jackdawbridge.NewProbe(0, nil))
	}
	for _, peer := range p.joins {
		p.r.send(peer, jackdawbridge.NewMembersRequest())
	}
}
