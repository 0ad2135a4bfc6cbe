package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxRumors bounds the rumors of a message: 6 of at most 130 bytes leave room
	// for the sender, the digest and the seal in a datagram of 1200 bytes.
	maxRumors = 6
	// rumorFactor times the logarithm of the size is how often a node sends a
	// rumor. SWIM shows that 3 reaches all members with high probability.
	rumorFactor = 3
	// rumorFanout is the number of members that are told of a change at once, in
	// each of waveCount waves. One wave of 4 misses 1 member in 50; two miss 1 in
	// 3,000, or 1 in 600 when one message in five is lost.
	rumorFanout = 4
	waveCount   = 2
	// maxListedLost bounds the lost members in a full list. They let a node that
	// was frozen or cut off learn of a lost rack without probing each member.
	maxListedLost = 256
	// flushInterval is the least time between two waves of a node. It bounds the
	// messages in a burst of changes and lets 8 hops pass within 1 s.
	flushInterval = 100 * jackdawbridge.Millis(1)
	// tellInterval is the least time between two notes to a suspected member.
	tellInterval = jackdawbridge.Second / 2
)

// rumors holds what this node still has to pass on. A rumor is the belief that
// the table of members holds when the rumor is sent, so it is never outdated.
type rumors struct {
	pending heap.Heap[jackdawbridge.Instance, int] // by times sent
	waves   int                                    // to send at once, at most waveCount
	flushed jackdawbridge.Millis                   // when the last wave went out
}

// add queues the belief about a member to be passed on.
func (q *rumors) add(instance jackdawbridge.Instance, urgent bool) {
	q.pending.Set(instance, 0)
	if urgent {
		q.waves = waveCount
	}
}

func (q *rumors) wake() jackdawbridge.Millis {
	if q.waves > 0 {
		return q.flushed + flushInterval
	}
	return never
}

// rumorAbout returns the present belief about a member.
func (p *members) rumorAbout(instance jackdawbridge.Instance) (jackdawbridge.Rumor, bool) {
	if instance == p.r.self.Node().Instance() {
		return jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive), true
	}
	m, ok := p.known[instance]
	if !ok {
		return jackdawbridge.Rumor{}, false
	}
	return jackdawbridge.NewRumor(m.peer, m.belief), true
}

// gossip returns the rumors for one message, those sent least often first. A
// message to a suspected member tells it so.
func (p *members) gossip(to *member) []jackdawbridge.Rumor {
	var list []jackdawbridge.Rumor
	if to != nil && to.belief != jackdawbridge.Alive {
		list = append(list, jackdawbridge.NewRumor(to.peer, to.belief))
	}
	type sending struct {
		instance jackdawbridge.Instance
		times    int
	}
	var sent [maxRumors]sending
	n := 0
	for len(list) < maxRumors {
		instance, times, ok := p.rumors.pending.Min()
		if !ok {
			break
		}
		p.rumors.pending.Remove(instance)
		rumor, ok := p.rumorAbout(instance)
		if !ok {
			continue
		}
		list = append(list, rumor)
		sent[n] = sending{instance, times + 1}
		n++
	}
	limit := rumorFactor * p.scale()
	for _, s := range sent[:n] {
		if s.times < limit {
			p.rumors.pending.Set(s.instance, s.times)
		}
	}
	return list
}

// flush tells a few members of changes at once. Each of them does the same.
func (p *members) flush() {
	if p.rumors.waves == 0 || p.r.now < p.rumors.flushed+flushInterval {
		return
	}
	p.rumors.waves--
	p.rumors.flushed = p.r.now
	list := p.gossip(nil)
	for _, m := range p.sample(p.live, rumorFanout, nil) {
		p.r.send(m.peer, jackdawbridge.NewMembers(list))
	}
}

// spread takes piggybacked rumors.
func (p *members) spread(from jackdawbridge.Peer, list []jackdawbridge.Rumor) {
	version := p.r.self.Version()
	for _, rumor := range list {
		if rumor.Peer().Node().IsZero() {
			p.r.fx.Warn(jackdawbridge.PartMember, "rumor names no node").About("", from.Node())
			continue
		}
		if rumor.Peer().DataCentre() != p.r.self.DataCentre() {
			p.regions.listed(rumor)
			continue
		}
		p.learn(rumor.Peer(), rumor.Suspicion())
	}
	if p.r.self.Version() != version {
		p.r.send(from, jackdawbridge.NewMembers([]jackdawbridge.Rumor{jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive)}))
	}
}

// aboutSelf refutes what others believe of this node. A node that others take
// to have ended drops its leases and tokens, since others may hold them by now.
func (p *members) aboutSelf(peer jackdawbridge.Peer, belief jackdawbridge.Suspicion) {
	self := p.r.self
	if peer.Node().Incarnation() > self.Node().Incarnation() {
		p.superseded(peer)
		return
	}
	if peer.Node() != self.Node() || belief == jackdawbridge.Alive || peer.Version() < self.Version() || p.r.drain.exited {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "refutes a belief about this node").Str("belief", belief.String())
	p.prober.strain()
	if rank(peer, belief) > int(jackdawbridge.Dead) {
		p.r.shares.thaw()
		p.r.authority.thaw()
	}
	p.r.announce(self.WithVersion(peer.Version()))
}

// superseded stops this node when a newer process runs in its slot.
func (p *members) superseded(by jackdawbridge.Peer) {
	if p.zombie {
		return
	}
	p.zombie = true
	p.r.fx.Warn(jackdawbridge.PartMember, "a newer process runs in this slot, stops").About("", by.Node())
	p.r.shares.thaw()
	p.r.authority.thaw()
	p.r.drain.begin()
}

// received takes the members that a peer knows, or sends the own ones.
func (p *members) received(from jackdawbridge.Peer, m *jackdawbridge.Members) {
	if !m.Request() {
		if from.DataCentre() != p.r.self.DataCentre() {
			p.regions.refreshed(from, m.Rumors())
			return
		}
		p.spread(from, m.Rumors())
		return
	}
	if from.DataCentre() != p.r.self.DataCentre() {
		p.r.send(from, jackdawbridge.NewMembers(p.regions.offer(from, m.Services())))
		return
	}
	list := make([]jackdawbridge.Rumor, 0, p.size())
	list = append(list, jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive))
	for _, k := range p.live {
		list = append(list, jackdawbridge.NewRumor(k.peer, k.belief))
	}
	for _, k := range p.sample(p.lost, maxListedLost, nil) {
		list = append(list, jackdawbridge.NewRumor(k.peer, k.belief))
	}
	p.r.send(from, jackdawbridge.NewMembers(p.regions.appendKnown(list)))
}
