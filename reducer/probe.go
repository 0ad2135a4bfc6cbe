package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// probeInterval is the time between two probes that a healthy node sends.
	probeInterval = jackdawbridge.Second
	// directTimeout is how long a healthy node waits for the answer to a probe
	// before it requests indirect probes from other members. Nodes of a data centre
	// are 0.5 ms apart.
	directTimeout = 200 * jackdawbridge.Millis(1)
	// relayTimeout is how long a node waits for the answer to a probe that it
	// sends on behalf of another node.
	relayTimeout = 2 * jackdawbridge.Second
	// indirectProbes is the number of members from which a node requests indirect
	// probes of a target that did not answer.
	indirectProbes = 3
	// maxHealthPenalty bounds the health penalty of a node: with signs of poor local
	// health its probe interval and timeouts become up to 1+3 times as long. A higher
	// bound delays the detection of a failed rack.
	maxHealthPenalty = 3
	// suspicionTimeoutUnit times the logarithm of the number of members is how long
	// a suspect has to refute. A rumor reaches all members in about as many rounds
	// as that logarithm.
	suspicionTimeoutUnit = jackdawbridge.Second
	// minSuspicionTimeout is long enough for 6 repeated probes of a suspect in the
	// smallest fleet.
	minSuspicionTimeout = 3 * jackdawbridge.Second
	// reprobeInterval is the time between two probes of a suspect.
	reprobeInterval = jackdawbridge.Second / 2
	// reportedFactor times the suspicion timeout is how long a node waits before it
	// probes a suspect that only others reported. The probe is needed because the
	// node that reported the suspicion may have died.
	reportedFactor = 2
	// reconnectInterval is the time between two attempts to reach a failed member.
	reconnectInterval = 5 * jackdawbridge.Second
	// fastReconnectInterval replaces reconnectInterval for fastReconnectPeriod after
	// a failed member came back, since others are likely to come back as well.
	fastReconnectInterval = jackdawbridge.Second / 4
	fastReconnectPeriod   = 15 * jackdawbridge.Second
	// resyncRounds is the number of rounds in which a node requests full lists of
	// members after a freeze. Each round has indirectProbes requests, since some of
	// the members may have exited meanwhile.
	resyncRounds = 3
	// maxProbeDelay is the delay in sending a probe above which a node raises its health
	// penalty: it may be overloaded, and missing answers may be its own fault.
	maxProbeDelay = jackdawbridge.Second / 2
)

// suspicion is the state of this node's checks of a suspect.
type suspicion struct {
	verified bool                 // this node has probed the suspect and received no answer
	since    jackdawbridge.Millis // when resetSuspicion last started the timer of the suspect
}

// probePurpose is the reason for a probe. It selects what happens with the answer
// and after a timeout.
type probePurpose uint8

const (
	probeMember  probePurpose = iota // failure detection in this data centre
	probeRelay                       // indirect probe on behalf of another node
	probeRemote                      // failure detection of another data centre
	probeReach                       // an upstream that has calls in progress but sends nothing, or that is unreachable
	probeConfirm                     // requests only the digest of a peer
)

// pendingProbe is a probe that has not been answered yet.
type pendingProbe struct {
	target   jackdawbridge.Peer
	purpose  probePurpose
	sent     jackdawbridge.Millis
	indirect bool               // indirect probes of the target were requested
	origin   jackdawbridge.Peer // of a relayed probe: the node that requested it
	sequence uint64             // of a relayed probe: the origin's sequence number
}

// prober is the state of this node's failure detector.
type prober struct {
	due              jackdawbridge.Millis // time of the next probe, 0 before the first
	next             int                  // position of the next target in the list of live members
	sequence         uint64               // sequence number of the last probe; the first is random, so that answers to an earlier process match no probe
	pending          map[uint64]*pendingProbe
	deadline         heap.Heap[uint64, jackdawbridge.Millis]                 // timeout of each pending probe, by sequence number
	suspects         heap.Heap[jackdawbridge.Instance, jackdawbridge.Millis] // time of the next check of each suspect
	healthPenalty    int                                                     // 0 when healthy, at most maxHealthPenalty
	reconnectDue     jackdawbridge.Millis                                    // time of the next attempt to reach a failed member
	recoveredAt      jackdawbridge.Millis                                    // when a failed member last came back
	resync           jackdawbridge.Peer                                      // peer to request the full list from, zero if none
	resynced         jackdawbridge.Millis                                    // when resync was last set
	resyncRoundsLeft int                                                     // rounds of full list requests left after a freeze
	resyncRoundDue   jackdawbridge.Millis                                    // time of the next of these rounds
}

func newProber() prober { return prober{pending: make(map[uint64]*pendingProbe)} }

// raisePenalty records a sign that this node, not its peers, may be at fault.
func (b *prober) raisePenalty() { b.healthPenalty = min(b.healthPenalty+1, maxHealthPenalty) }

// lowerPenalty records a sign that this node works well.
func (b *prober) lowerPenalty() { b.healthPenalty = max(b.healthPenalty-1, 0) }

// stretch multiplies a duration by one plus the health penalty.
func (b *prober) stretch(span jackdawbridge.Millis) jackdawbridge.Millis {
	return span * jackdawbridge.Millis(1+b.healthPenalty)
}

// recovered records that a failed member came back. It speeds up the attempts to
// reach other failed members and, unless it did so less than 2 probe intervals ago,
// schedules a request to that member for its full list.
func (b *prober) recovered(at jackdawbridge.Millis, peer jackdawbridge.Peer) {
	b.recoveredAt = at
	b.reconnectDue = min(b.reconnectDue, at+fastReconnectInterval)
	if at-b.resynced > 2*probeInterval {
		b.resynced = at
		b.resync = peer
	}
}

// resetAfterFreeze drops the probes whose answers a frozen process could not
// receive, and schedules requests for full lists.
func (b *prober) resetAfterFreeze(at jackdawbridge.Millis) {
	b.raisePenalty()
	clear(b.pending)
	b.deadline = heap.Heap[uint64, jackdawbridge.Millis]{}
	b.due = at + probeInterval
	b.resyncRoundsLeft = resyncRounds
	b.resyncRoundDue = at
}

func (b *prober) wake() jackdawbridge.Millis {
	wake := min(b.due, b.reconnectDue)
	if b.resyncRoundsLeft > 0 {
		wake = min(wake, b.resyncRoundDue)
	}
	if _, at, ok := b.deadline.Min(); ok {
		wake = min(wake, at)
	}
	if _, at, ok := b.suspects.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// suspicionTimeout returns how long a suspect has to refute.
func (p *members) suspicionTimeout() jackdawbridge.Millis {
	return p.prober.stretch(max(minSuspicionTimeout, suspicionTimeoutUnit*jackdawbridge.Millis(p.scale())))
}

// sendProbe sends a probe and records it as pending until it is answered or fails.
func (p *members) sendProbe(target jackdawbridge.Peer, probe pendingProbe, rumors []jackdawbridge.Rumor, timeout jackdawbridge.Millis) {
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

// sendMemberProbe probes a member of this data centre.
func (p *members) sendMemberProbe(m *member) {
	p.sendProbe(m.peer, pendingProbe{purpose: probeMember}, p.rumorsFor(m), p.prober.stretch(directTimeout))
}

// probe answers a probe from a peer. Probes between data centres carry no rumors.
func (p *members) probe(from jackdawbridge.Peer, m *jackdawbridge.Probe) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.r.send(from, jackdawbridge.NewProbeAck(m.Sequence(), nil))
		return
	}
	p.applyRumors(from, m.Rumors())
	p.r.send(from, jackdawbridge.NewProbeAck(m.Sequence(), p.rumorsFor(p.known[from.Node().Instance()])))
}

// relayProbe probes a target on behalf of the peer that requests it, unless too
// many probes are pending.
func (p *members) relayProbe(from jackdawbridge.Peer, m *jackdawbridge.IndirectProbe) {
	if len(p.prober.pending) >= maxDeadMembers {
		p.r.fx.Warn(jackdawbridge.PartMember, "refused to relay a probe: too many probes are pending").About("", from.Node())
		return
	}
	p.sendProbe(m.Target(), pendingProbe{purpose: probeRelay, origin: from, sequence: m.Sequence()}, nil, relayTimeout)
}

// probeAck handles the answer to a probe, from its target or from a member that
// relayed the probe.
func (p *members) probeAck(from jackdawbridge.Peer, digest jackdawbridge.Digest, m *jackdawbridge.ProbeAck) {
	if from.DataCentre() == p.r.self.DataCentre() {
		p.applyRumors(from, m.Rumors())
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
		p.prober.lowerPenalty()
		if k, ok := p.known[probe.target.Node().Instance()]; ok && k.peer.Node() == probe.target.Node() {
			k.lastSeen = p.r.now
		}
	case probeRelay:
		if !direct {
			return
		}
		p.r.send(probe.origin, jackdawbridge.NewProbeAck(probe.sequence, nil))
	case probeRemote, probeConfirm:
	}
	delete(p.prober.pending, m.Sequence())
	p.prober.deadline.Remove(m.Sequence())
}

// resetSuspicion starts the timer of a suspect anew, and stops the timer of a member
// that is not suspect.
func (p *members) resetSuspicion(m *member) {
	instance := m.peer.Node().Instance()
	if m.liveness != jackdawbridge.Suspect {
		m.verified = false
		p.prober.suspects.Remove(instance)
		return
	}
	m.since = p.r.now
	wait := reprobeInterval
	if !m.verified {
		wait = p.suspicionTimeout() * reportedFactor
	}
	p.prober.suspects.Set(instance, p.r.now+wait)
}

// probeFailed handles a probe that was answered neither directly nor through other
// members. A failed probe of a member raises the health penalty, and makes the member
// a suspect unless it has sent a message since.
func (p *members) probeFailed(probe *pendingProbe) {
	if probe.purpose == probeReach {
		p.r.routes.upstreamProbeFailed(probe.target.Node())
		return
	}
	if probe.purpose == probeRemote {
		p.remote.probeFailed(probe.target.DataCentre())
		return
	}
	m, ok := p.known[probe.target.Node().Instance()]
	if probe.purpose != probeMember || !ok || m.peer.Node() != probe.target.Node() || !m.live() || m.verified {
		return
	}
	p.prober.raisePenalty()
	if m.lastSeen > probe.sent {
		return
	}
	m.verified = true
	if m.liveness == jackdawbridge.Suspect {
		p.resetSuspicion(m)
		return
	}
	p.r.fx.Log(jackdawbridge.PartMember, "suspecting peer: direct and indirect probes are unanswered").About("", m.peer.Node())
	p.learn(m.peer, jackdawbridge.Suspect)
}

// checkSuspect probes a suspect again, or declares it dead. A node declares a member
// dead only on its own evidence: the node's probes were unanswered for the whole
// suspicion timeout.
func (p *members) checkSuspect(instance jackdawbridge.Instance) {
	m, ok := p.known[instance]
	if !ok || m.liveness != jackdawbridge.Suspect {
		return
	}
	switch {
	case m.verified && m.lastSeen > m.since:
		m.verified = false
		p.resetSuspicion(m)
	case m.verified && p.r.now-m.since >= p.suspicionTimeout():
		p.learn(m.peer, jackdawbridge.Dead)
	case m.verified:
		p.sendMemberProbe(m)
		p.prober.suspects.Set(instance, p.r.now+reprobeInterval)
	default:
		p.sendMemberProbe(m)
		p.resetSuspicion(m)
	}
}

// tickProbes sends the probes that are due and handles those that timed out.
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
		p.probeTimedOut(sequence)
	}
	for {
		instance, ok := b.suspects.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.checkSuspect(instance)
	}
	if p.r.now >= b.due {
		if p.r.now-b.due > maxProbeDelay {
			b.raisePenalty()
		}
		b.due = p.r.now + b.stretch(probeInterval)
		if m := p.nextTarget(); m != nil {
			p.sendMemberProbe(m)
		}
	}
	p.tickReconnect()
}

// probeTimedOut requests indirect probes if a direct probe of a member timed out.
// Every other probe that times out has failed.
func (p *members) probeTimedOut(sequence uint64) {
	b := &p.prober
	probe := b.pending[sequence]
	if probe.purpose != probeMember || probe.indirect {
		delete(b.pending, sequence)
		p.probeFailed(probe)
		return
	}
	probe.indirect = true
	b.deadline.Set(sequence, max(probe.sent+b.stretch(probeInterval), p.r.now+1))
	for _, relay := range p.sample(p.live, indirectProbes, p.known[probe.target.Node().Instance()]) {
		p.r.send(relay.peer, jackdawbridge.NewIndirectProbe(sequence, probe.target))
	}
}

// nextTarget returns the next member to probe, nil if there is none. It returns each
// member once, in random order, before any member again, which bounds the time to
// detect a crash.
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

// tickReconnect requests full lists after a partition or a freeze, and tries to
// reach a random failed member, so that a partition heals without the platform.
func (p *members) tickReconnect() {
	b := &p.prober
	if !b.resync.Node().IsZero() {
		p.r.send(b.resync, jackdawbridge.NewMembersRequest())
		b.resync = jackdawbridge.Peer{}
	}
	if b.resyncRoundsLeft > 0 && p.r.now >= b.resyncRoundDue {
		b.resyncRoundsLeft--
		b.resyncRoundDue = p.r.now + probeInterval
		for _, m := range p.sample(p.live, indirectProbes, nil) {
			p.r.send(m.peer, jackdawbridge.NewMembersRequest())
		}
	}
	if p.r.now < b.reconnectDue {
		return
	}
	b.reconnectDue = p.r.now + p.jitter(reconnectInterval)
	if b.recoveredAt > 0 && p.r.now-b.recoveredAt < fastReconnectPeriod {
		b.reconnectDue = p.r.now + p.jitter(fastReconnectInterval)
	}
	if len(p.failed) > 0 {
		p.requestRefutation(p.failed[p.draw(len(p.failed))])
	}
}
