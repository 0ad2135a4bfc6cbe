package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// probeInterval is the time between two probes of a healthy node.
	probeInterval = jackdawbridge.Second
	// directTimeout is how long a healthy node waits for the answer to a probe
	// before it asks others to probe. Nodes of a data centre are 0.5 ms apart.
	directTimeout = 200 * jackdawbridge.Millis(1)
	// relayTimeout is how long a node waits for the answer to a probe that it
	// makes for another.
	relayTimeout = 2 * jackdawbridge.Second
	// indirectProbes is the number of members asked to probe for this node.
	indirectProbes = 3
	// maxStrain bounds by how much a node that doubts itself slows its probes and
	// suspicions: 1+3 times. A higher bound delays the detection of a lost rack.
	maxStrain = 3
	// suspicionUnit times the logarithm of the size is how long a suspect has to
	// refute. A rumor reaches all members in about that many waves.
	suspicionUnit = jackdawbridge.Second
	// minSuspicion lets a suspect answer 6 repeated probes in the smallest fleet.
	minSuspicion = 3 * jackdawbridge.Second
	// reprobeInterval is the time between the probes of a suspect.
	reprobeInterval = jackdawbridge.Second / 2
	// hearsayFactor times the time to refute is how long a node waits before it
	// probes a suspect that only others accuse: the accuser may have died.
	hearsayFactor = 2
	// lostInterval is the time between two attempts to reach a lost member.
	lostInterval = 5 * jackdawbridge.Second
	// healingInterval replaces it for healingSpan after a lost member came back,
	// since others are likely to come back as well.
	healingInterval = jackdawbridge.Second / 4
	healingSpan     = 15 * jackdawbridge.Second
	// resyncRounds is how often a node asks for full lists after a freeze, each
	// time indirectProbes members, some of which may have ended meanwhile.
	resyncRounds = 3
	// lateTick is the delay of a tick from which a node doubts its own clock.
	lateTick = jackdawbridge.Second / 2
)

// suspicion is what this node itself holds against a suspect.
type suspicion struct {
	accused bool                 // own probes got no answer
	since   jackdawbridge.Millis // of the accusation, or of the rumor
}

// probePurpose tells what a probe is for.
type probePurpose uint8

const (
	probeMember  probePurpose = iota // of the own data centre
	probeRelay                       // for another node
	probeRegion                      // of another data centre
	probeReach                       // of an upstream that is silent
	probeConfirm                     // only the digest of the answer matters
)

// pendingProbe is a probe that is not answered yet.
type pendingProbe struct {
	target   jackdawbridge.Peer
	purpose  probePurpose
	sent     jackdawbridge.Millis
	indirect bool               // others were asked
	origin   jackdawbridge.Peer // for a relayed probe
	sequence uint64             // of the origin
}

// prober holds the probes of this node.
type prober struct {
	due      jackdawbridge.Millis // of the next probe, 0 before the first
	next     int                  // position of the next target in the list of live members
	sequence uint64               // of the last probe; starts at random, so that answers to an earlier process match nothing
	pending  map[uint64]*pendingProbe
	deadline heap.Heap[uint64, jackdawbridge.Millis]
	suspects heap.Heap[jackdawbridge.Instance, jackdawbridge.Millis] // next step on each suspect
	health   int                                                     // 0 when sound, up to maxStrain
	lostDue  jackdawbridge.Millis
	healing  jackdawbridge.Millis // when a lost member last came back
	resync   jackdawbridge.Peer   // whose members are to be read, zero if none
	resynced jackdawbridge.Millis
	rounds   int                  // of requests for full lists, left after a freeze
	roundDue jackdawbridge.Millis // of the next one
}

func newProber() prober { return prober{pending: make(map[uint64]*pendingProbe)} }

// strain lowers the trust in the own observations.
func (b *prober) strain() { b.health = min(b.health+1, maxStrain) }

// relax raises the trust in the own observations.
func (b *prober) relax() { b.health = max(b.health-1, 0) }

// stretch returns a span as long as the own health requires.
func (b *prober) stretch(span jackdawbridge.Millis) jackdawbridge.Millis {
	return span * jackdawbridge.Millis(1+b.health)
}

// healed takes note that a lost member came back.
func (b *prober) healed(at jackdawbridge.Millis, peer jackdawbridge.Peer) {
	b.healing = at
	b.lostDue = min(b.lostDue, at+healingInterval)
	if at-b.resynced > 2*probeInterval {
		b.resynced = at
		b.resync = peer
	}
}

// thaw drops the probes whose answers a frozen process could not take.
func (b *prober) thaw(at jackdawbridge.Millis) {
	b.strain()
	clear(b.pending)
	b.deadline = heap.Heap[uint64, jackdawbridge.Millis]{}
	b.due = at + probeInterval
	b.rounds = resyncRounds
	b.roundDue = at
}

func (b *prober) wake() jackdawbridge.Millis {
	wake := min(b.due, b.lostDue)
	if b.rounds > 0 {
		wake = min(wake, b.roundDue)
	}
	if _, at, ok := b.deadline.Min(); ok {
		wake = min(wake, at)
	}
	if _, at, ok := b.suspects.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// patience returns how long a suspect has to refute.
func (p *members) patience() jackdawbridge.Millis {
	return p.prober.stretch(max(minSuspicion, suspicionUnit*jackdawbridge.Millis(p.scale())))
}

// check sends a probe.
func (p *members) check(target jackdawbridge.Peer, probe pendingProbe, rumors []jackdawbridge.Rumor, timeout jackdawbridge.Millis) {
	b := &p.prober
	if b.sequence == 0 {
		b.sequence = p.r.random.Uint64() >> 1
	}
	b.sequence++
	probe.target = target
	probe.sent = p.r.now
	b.pending[b.sequence] = &probe
	b.deadline.Set(b.sequence, p.r.now+timeout)
	p.r.send(target, jackdawbridge.NewProbe(b.sequence, rumors))
}

// checkMember probes a member of the own data centre.
func (p *members) checkMember(m *member) {
	p.check(m.peer, pendingProbe{purpose: probeMember}, p.gossip(m), p.prober.stretch(directTimeout))
}

// probe answers a probe.
func (p *members) probe(from jackdawbridge.Peer, m *jackdawbridge.Probe) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.r.send(from, jackdawbridge.NewProbeAck(m.Sequence(), nil))
		return
	}
	p.spread(from, m.Rumors())
	p.r.send(from, jackdawbridge.NewProbeAck(m.Sequence(), p.gossip(p.known[from.Node().Instance()])))
}

// probeVia probes a member for another one.
func (p *members) probeVia(from jackdawbridge.Peer, m *jackdawbridge.ProbeVia) {
	if len(p.prober.pending) >= maxGone {
		p.r.fx.Warn(jackdawbridge.PartMember, "too many probes in progress, refuses to relay").About("", from.Node())
		return
	}
	p.check(m.Target(), pendingProbe{purpose: probeRelay, origin: from, sequence: m.Sequence()}, nil, relayTimeout)
}

// probeAck takes the answer to a probe, from its target or from a member that
// probed for this node.
func (p *members) probeAck(from jackdawbridge.Peer, digest jackdawbridge.Digest, m *jackdawbridge.ProbeAck) {
	if from.DataCentre() == p.r.self.DataCentre() {
		p.spread(from, m.Rumors())
	}
	probe, ok := p.prober.pending[m.Sequence()]
	if !ok {
		return
	}
	direct := from.Node() == probe.target.Node()
	if direct {
		p.r.settings.confirm(probe.sent, digest)
	}
	switch probe.purpose {
	case probeMember:
		p.prober.relax()
		if k, ok := p.known[probe.target.Node().Instance()]; ok && k.peer.Node() == probe.target.Node() {
			k.heard = p.r.now
		}
	case probeRelay:
		if !direct {
			return
		}
		p.r.send(probe.origin, jackdawbridge.NewProbeAck(probe.sequence, nil))
	case probeRegion, probeConfirm:
	}
	delete(p.prober.pending, m.Sequence())
	p.prober.deadline.Remove(m.Sequence())
}

// suspect sets the timer of a member that is suspected, or stops it.
func (p *members) suspect(m *member) {
	instance := m.peer.Node().Instance()
	if m.belief != jackdawbridge.Suspect {
		m.accused = false
		p.prober.suspects.Remove(instance)
		return
	}
	m.since = p.r.now
	wait := reprobeInterval
	if !m.accused {
		wait = p.patience() * hearsayFactor
	}
	p.prober.suspects.Set(instance, p.r.now+wait)
}

// unanswered takes note that a probe failed in every way.
func (p *members) unanswered(probe *pendingProbe) {
	if probe.purpose == probeReach {
		p.r.routes.missed(probe.target.Node())
		return
	}
	if probe.purpose == probeRegion {
		p.regions.unanswered(probe.target.DataCentre())
		return
	}
	m, ok := p.known[probe.target.Node().Instance()]
	if probe.purpose != probeMember || !ok || m.peer.Node() != probe.target.Node() || !m.live() || m.accused {
		return
	}
	p.prober.strain()
	if m.heard > probe.sent {
		return
	}
	m.accused = true
	if m.belief == jackdawbridge.Suspect {
		p.suspect(m)
		return
	}
	p.r.fx.Log(jackdawbridge.PartMember, "suspects, probes are unanswered").About("", m.peer.Node())
	p.learn(m.peer, jackdawbridge.Suspect)
}

// pursue does the next step on a suspect. A node declares a member dead only on
// its own evidence: its probes were unanswered for the whole time to refute.
func (p *members) pursue(instance jackdawbridge.Instance) {
	m, ok := p.known[instance]
	if !ok || m.belief != jackdawbridge.Suspect {
		return
	}
	switch {
	case m.accused && m.heard > m.since:
		m.accused = false
		p.suspect(m)
	case m.accused && p.r.now-m.since >= p.patience():
		p.learn(m.peer, jackdawbridge.Dead)
	case m.accused:
		p.checkMember(m)
		p.prober.suspects.Set(instance, p.r.now+reprobeInterval)
	default:
		p.checkMember(m)
		p.suspect(m)
	}
}

// tickProbes sends the probes that are due and looks at those not answered.
func (p *members) tickProbes() {
	b := &p.prober
	if b.due == 0 {
		b.due = p.r.now + jackdawbridge.Millis(p.draw(int(probeInterval)))
	}
	for {
		sequence, ok := b.deadline.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.overdue(sequence)
	}
	for {
		instance, ok := b.suspects.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.pursue(instance)
	}
	if p.r.now >= b.due {
		if p.r.now-b.due > lateTick {
			b.strain()
		}
		b.due = p.r.now + b.stretch(probeInterval)
		if m := p.nextTarget(); m != nil {
			p.checkMember(m)
		}
	}
	p.tickLost()
}

// overdue asks others to probe a member, or gives a probe up.
func (p *members) overdue(sequence uint64) {
	b := &p.prober
	probe := b.pending[sequence]
	if probe.purpose != probeMember || probe.indirect {
		delete(b.pending, sequence)
		p.unanswered(probe)
		return
	}
	probe.indirect = true
	b.deadline.Set(sequence, max(probe.sent+b.stretch(probeInterval), p.r.now+1))
	for _, helper := range p.sample(p.live, indirectProbes, p.known[probe.target.Node().Instance()]) {
		p.r.send(helper.peer, jackdawbridge.NewProbeVia(sequence, probe.target))
	}
}

// nextTarget returns the member to probe. Each is probed once in a random order
// before any is probed again, which bounds the time to find a crash.
func (p *members) nextTarget() *member {
	b := &p.prober
	if len(p.live) == 0 {
		return nil
	}
	if b.next >= len(p.live) {
		b.next = 0
		for i := len(p.live) - 1; i > 0; i-- {
			p.live.swap(i, p.draw(i+1))
		}
	}
	m := p.live[b.next]
	b.next++
	return m
}

// tickLost reads full lists after a partition or a freeze, and tries to
// reach a lost member, so that a partition heals without the platform.
func (p *members) tickLost() {
	b := &p.prober
	if !b.resync.Node().IsZero() {
		p.r.send(b.resync, jackdawbridge.NewMembersRequest())
		b.resync = jackdawbridge.Peer{}
	}
	if b.rounds > 0 && p.r.now >= b.roundDue {
		b.rounds--
		b.roundDue = p.r.now + probeInterval
		for _, m := range p.sample(p.live, indirectProbes, nil) {
			p.r.send(m.peer, jackdawbridge.NewMembersRequest())
		}
	}
	if p.r.now < b.lostDue {
		return
	}
	b.lostDue = p.r.now + p.jitter(lostInterval)
	if b.healing > 0 && p.r.now-b.healing < healingSpan {
		b.lostDue = p.r.now + p.jitter(healingInterval)
	}
	if len(p.lost) > 0 {
		p.tell(p.lost[p.draw(len(p.lost))])
	}
}
