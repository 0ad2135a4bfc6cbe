package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxRumors bounds the rumors in a message: 6 of at most 130 bytes leave room
	// for the sender, the digest and the seal in a datagram of 1,200 bytes.
	maxRumors = 6
	// rumorFactor times the logarithm of the number of members is how many times a
	// node sends each rumor. The SWIM paper shows that 3 reaches all members with
	// high probability.
	rumorFactor = 3
	// rumorFanout is the number of members to which a node sends an urgent change in
	// each of roundCount rounds. One round of 4 misses 1 member in 50; two miss
	// 1 in 3,000, or 1 in 600 when one message in five is lost.
	rumorFanout = 4
	roundCount  = 2
	// maxListedFailed bounds the failed members in a full list. They are listed so
	// that a node that was frozen or partitioned learns of a failed rack without
	// probing each of the rack's members.
	maxListedFailed = 256
	// rumorRoundInterval is the least time between two rounds of rumors from a node.
	// It bounds the messages sent in a burst of changes, and is short enough for a
	// rumor to travel 8 hops within 1 s.
	rumorRoundInterval = 100 * jackdawbridge.Millis(1)
	// successionTime is how long after its start a process that learns of a higher
	// incarnation takes that for its predecessor's. Later it is a newer process.
	successionTime = 3 * jackdawbridge.Second
	// refutationInterval is the least time between two messages in which a node
	// notifies the same member that it is suspect or dead.
	refutationInterval = jackdawbridge.Second / 2
)

// rumors holds the instances whose state this node still has to pass on. The
// state itself is read when a message is sent, so that a message never has an
// outdated state.
type rumors struct {
	pending     heap.Heap[jackdawbridge.Instance, int] // instances by the number of times that their state was sent
	roundsLeft  int                                    // urgent rounds still to send, at most roundCount
	roundSentAt jackdawbridge.Millis                   // when the last round was sent
}

// add queues the state of a member to be passed on with probes. If it is urgent,
// pending rumors are also sent in rounds, without waiting for the next probe.
func (q *rumors) add(instance jackdawbridge.Instance, urgent bool) {
	q.pending.Set(instance, 0)
	if urgent {
		q.roundsLeft = roundCount
	}
}

func (q *rumors) wake() jackdawbridge.Millis {
	if q.roundsLeft > 0 {
		return q.roundSentAt + rumorRoundInterval
	}
	return never
}

// rumorAbout returns the current state of this node or of a member as a rumor.
func (p *members) rumorAbout(instance jackdawbridge.Instance) (jackdawbridge.Rumor, bool) {
	if instance == p.r.self.Node().Instance() {
		return jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive), true
	}
	m, ok := p.known[instance]
	if !ok {
		return jackdawbridge.Rumor{}, false
	}
	return jackdawbridge.NewRumor(m.peer, m.liveness), true
}

// rumorsFor returns the rumors for one message, those sent least often first, and
// counts them as sent. A message to a suspect or dead member begins with the state
// of that member, so that the member can refute it. The argument is nil for a
// message to several members.
func (p *members) rumorsFor(to *member) []jackdawbridge.Rumor {
	var list []jackdawbridge.Rumor
	if to != nil && to.liveness != jackdawbridge.Alive {
		list = append(list, jackdawbridge.NewRumor(to.peer, to.liveness))
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

// sendRumorRound sends pending rumors to a few random members without waiting for
// the next probe. Each receiver does the same with urgent changes that are new to
// it.
func (p *members) sendRumorRound() {
	if p.rumors.roundsLeft == 0 || p.r.now < p.rumors.roundSentAt+rumorRoundInterval {
		return
	}
	p.rumors.roundsLeft--
	p.rumors.roundSentAt = p.r.now
	list := p.rumorsFor(nil)
	for _, m := range p.sample(p.live, rumorFanout, nil) {
		p.r.send(m.peer, jackdawbridge.NewMembers(list))
	}
}

// applyRumors applies the rumors in a message. If one of them makes this node
// announce a new version of itself, the sender receives that version at once.
func (p *members) applyRumors(from jackdawbridge.Peer, list []jackdawbridge.Rumor) {
	version := p.r.self.Version()
	for _, rumor := range list {
		if rumor.Peer().Node().IsZero() {
			p.r.fx.Warn(jackdawbridge.PartMember, "dropped a rumor that names no node").About("", from.Node())
			continue
		}
		if rumor.Peer().DataCentre() != p.r.self.DataCentre() {
			p.remote.applyRumor(rumor)
			continue
		}
		p.learn(rumor.Peer(), rumor.Liveness())
	}
	if p.r.self.Version() != version {
		p.r.send(from, jackdawbridge.NewMembers([]jackdawbridge.Rumor{jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive)}))
	}
}

// refute handles a rumor about this node. If the rumor says that this process is
// suspect or dead, the node announces a newer version of itself. If the rumor says
// that the process has exited, the node also drops its leases and tokens, since
// others may hold them by now.
func (p *members) refute(peer jackdawbridge.Peer, liveness jackdawbridge.Liveness) {
	self := p.r.self
	if peer.Node().Incarnation() > self.Node().Incarnation() {
		if peer.Addresses() == self.Addresses() && p.r.now-p.r.started < successionTime && !p.r.drain.stopping {
			p.succeed(peer)
		} else {
			p.replacedBy(peer)
		}
		return
	}
	if peer.Node() != self.Node() || liveness == jackdawbridge.Alive || peer.Version() < self.Version() || p.r.drain.exited {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "refuting a rumor that this node is not alive").Str("belief", liveness.String())
	p.prober.raisePenalty()
	if precedence(peer, liveness) > int(jackdawbridge.Dead) {
		p.r.shares.resetAfterFreeze()
		p.r.authority.resetAfterFreeze()
	}
	p.r.announce(self.WithVersion(peer.Version()))
}

// succeed gives this process an incarnation above that of a predecessor, which started
// when the time of day was ahead. The predecessor has ended, since this process listens
// on its addresses.
func (p *members) succeed(predecessor jackdawbridge.Peer) {
	old := p.r.self.Node()
	p.r.fx.Warn(jackdawbridge.PartMember, "incarnation raised: an earlier process has a higher one").About("", predecessor.Node()).
		Int("incarnation", int64(old.Incarnation()))
	p.r.routes.forget(old)
	p.r.shares.resetAfterFreeze()
	p.r.authority.resetAfterFreeze()
	p.r.announce(p.r.self.WithNode(jackdawbridge.NewNode(old.Instance(), predecessor.Node().Incarnation()+1)))
}

// replacedBy drains this node after a newer process started under the same
// instance name.
func (p *members) replacedBy(by jackdawbridge.Peer) {
	if p.replaced {
		return
	}
	p.replaced = true
	p.r.fx.Warn(jackdawbridge.PartMember, "starting to drain: a newer process has this node's instance name").About("", by.Node())
	p.r.shares.resetAfterFreeze()
	p.r.authority.resetAfterFreeze()
	p.r.drain.begin()
}

// received applies a list of members from a peer, or answers a request for one.
func (p *members) received(from jackdawbridge.Peer, m *jackdawbridge.Members) {
	if !m.Request() {
		if from.DataCentre() != p.r.self.DataCentre() {
			p.remote.listReceived(from, m.Rumors())
			return
		}
		p.applyRumors(from, m.Rumors())
		return
	}
	if from.DataCentre() != p.r.self.DataCentre() {
		p.r.send(from, jackdawbridge.NewMembers(p.remote.membersFor(from, m.Services())))
		return
	}
	list := make([]jackdawbridge.Rumor, 0, p.size())
	list = append(list, jackdawbridge.NewRumor(p.r.self, jackdawbridge.Alive))
	for _, k := range p.live {
		list = append(list, jackdawbridge.NewRumor(k.peer, k.liveness))
	}
	for _, k := range p.sample(p.failed, maxListedFailed, nil) {
		list = append(list, jackdawbridge.NewRumor(k.peer, k.liveness))
	}
	p.r.send(from, jackdawbridge.NewMembers(p.remote.appendKnown(list)))
}
