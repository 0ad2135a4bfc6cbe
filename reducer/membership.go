package reducer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// failedRetention is how long a member that stopped answering is kept, so that
	// this node finds it again after a partition. It is above the hour that a
	// partition may last.
	failedRetention = 2 * 60 * 60 * jackdawbridge.Second
	// exitedRetention is how long a process that has exited is kept, so that a
	// late rumor does not add it again.
	exitedRetention = 10 * 60 * jackdawbridge.Second
	// maxDeadMembers bounds the failed and exited members that are kept. It also
	// bounds pending probes: a node with that many refuses to relay further ones.
	maxDeadMembers = 4096
	// leaveFanout is the number of members that a leaving node sends a Leave to.
	// Rumors carry it to the others.
	leaveFanout = 8
)

// member holds what this node has learned about a peer.
type member struct {
	peer       jackdawbridge.Peer
	liveness   jackdawbridge.Liveness // Dead with PeerLeft: the process is proven to have exited
	lastSeen   jackdawbridge.Millis   // when the member last sent a message or answered a probe; reset when it joins and after a freeze
	notifiedAt jackdawbridge.Millis   // when the member was last notified that it is suspect or dead
	suspicion                         // valid while the member is suspect
	position   int                    // index in the memberList that holds the member
}

// exited reports whether the process is proven to have exited.
func (m *member) exited() bool {
	return m.liveness == jackdawbridge.Dead && m.peer.State() == jackdawbridge.PeerLeft
}

// live reports whether the member is alive or suspect.
func (m *member) live() bool { return m.liveness != jackdawbridge.Dead }

// precedence orders states of liveness for the same version of a peer: the
// higher one wins. A proven exit is above a death inferred from silence.
func precedence(peer jackdawbridge.Peer, liveness jackdawbridge.Liveness) int {
	if liveness == jackdawbridge.Dead && peer.State() == jackdawbridge.PeerLeft {
		return int(jackdawbridge.Dead) + 1
	}
	return int(liveness)
}

// memberList is a list of members with constant-time removal.
type memberList []*member

func (l *memberList) add(m *member) {
	m.position = len(*l)
	*l = append(*l, m)
}

// swap exchanges two members.
func (l memberList) swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].position = i
	l[j].position = j
}

func (l *memberList) remove(m *member) {
	last := len(*l) - 1
	(*l)[last].position = m.position
	(*l)[m.position] = (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
}

// members is the membership part: it tracks the other nodes with a SWIM-style
// failure detector.
type members struct {
	r           *Reducer
	known       map[jackdawbridge.Instance]*member                      // members of this node's data centre, without this node
	live        memberList                                              // alive and suspect
	failed      memberList                                              // dead because they answered no probe; exit not proven
	expiry      heap.Heap[jackdawbridge.Instance, jackdawbridge.Millis] // when each dead member is dropped
	services    serviceIndex
	liveChanged bool    // the set of live members changed in this step
	hashRank    int     // number of live members whose instance name has a lower hash
	relayFrom   *member // member from which this node requests confirmations of the tables, nil if unknown or none
	replaced    bool    // a newer process has this node's instance name
	prober      prober
	rumors      rumors
	seeds       seeds
	remote      remoteCentres
}

func newMembers(r *Reducer, joins []jackdawbridge.Peer) members {
	p := members{
		r: r, known: make(map[jackdawbridge.Instance]*member), services: newServiceIndex(),
		prober: newProber(), seeds: newSeeds(joins), remote: newRemoteCentres(r),
	}
	p.services.set(r.self, r.self.State().AcceptsRequests())
	return p
}

// announce publishes a changed description of this node under a new version.
func (r *Reducer) announce(self jackdawbridge.Peer) {
	r.self = self.WithVersion(self.Version() + 1)
	r.members.services.set(r.self, r.self.State().AcceptsRequests())
	r.members.rumors.add(r.self.Node().Instance(), true)
}

// size returns the number of live members of this data centre, this node included.
func (p *members) size() int { return len(p.live) + 1 }

// scale returns the number of bits of the size: its binary logarithm, rounded
// down, plus 1. Suspicion timeouts and rumor counts grow with it.
func (p *members) scale() int { return bits.Len(uint(p.size())) }

// peer returns the description of this node or of a member, which may be dead.
func (p *members) peer(node jackdawbridge.Node) (jackdawbridge.Peer, bool) {
	if node == p.r.self.Node() {
		return p.r.self, true
	}
	m := p.find(node.Instance())
	if m == nil || m.peer.Node() != node {
		return jackdawbridge.Peer{}, false
	}
	return m.peer, true
}

func (p *members) find(instance jackdawbridge.Instance) *member {
	if m, ok := p.known[instance]; ok {
		return m
	}
	return p.remote.known[instance]
}

// alive reports whether this node counts a process as running and reachable.
func (p *members) alive(node jackdawbridge.Node) bool {
	if node == p.r.self.Node() {
		return true
	}
	m := p.find(node.Instance())
	return m != nil && m.peer.Node() == node && m.live() && !p.remote.unreachable(m.peer.DataCentre())
}

// inDataCentre returns the live members of a data centre that this node has
// learned of, this node included. Of an unreachable data centre it returns none.
func (p *members) inDataCentre(dc jackdawbridge.DataCentre) []jackdawbridge.Peer {
	list := p.live
	var peers []jackdawbridge.Peer
	if dc == p.r.self.DataCentre() {
		peers = append(peers, p.r.self)
	} else {
		list = p.remote.members(dc)
	}
	for _, m := range list {
		peers = append(peers, m.peer)
	}
	return peers
}

// random returns up to n random live members of this data centre, without
// this node.
func (p *members) random(n int) []jackdawbridge.Peer {
	picked := make([]jackdawbridge.Peer, 0, n)
	for _, m := range p.sample(p.live, n, nil) {
		picked = append(picked, m.peer)
	}
	return picked
}

// sample returns up to n distinct random members of a list other than excluded. A
// list of at most 2n members is read in order from a random start, since random
// draws from it would often repeat.
func (p *members) sample(list memberList, n int, excluded *member) []*member {
	picked := make([]*member, 0, n)
	if len(list) == 0 {
		return picked
	}
	if len(list) <= 2*n {
		start := p.draw(len(list))
		for i := range list {
			if m := list[(start+i)%len(list)]; m != excluded && len(picked) < n {
				picked = append(picked, m)
			}
		}
		return picked
	}
	for len(picked) < n {
		m := list[p.draw(len(list))]
		fresh := m != excluded
		for _, other := range picked {
			fresh = fresh && other != m
		}
		if fresh {
			picked = append(picked, m)
		}
	}
	return picked
}

// countLowerHashes returns the number of live members whose instance name has a
// lower hash than this node's. The members with the lowest hashes watch the
// platform's tables and keep the seed records, so that only a few nodes call the
// platform regularly.
func (p *members) countLowerHashes() int {
	ownHash := xxhash.Sum64String(string(p.r.self.Node().Instance()))
	lower := 0
	for _, m := range p.live {
		if xxhash.Sum64String(string(m.peer.Node().Instance())) < ownHash {
			lower++
		}
	}
	return lower
}

// parent returns the member from which this node requests confirmations of the tables:
// its parent in a tree in which the members are ordered by the hashes of their instance
// names, and each has relayFanout children. The root has none.
func (p *members) parent() (jackdawbridge.Peer, bool) {
	if p.hashRank == 0 || len(p.live) == 0 {
		return jackdawbridge.Peer{}, false
	}
	if p.relayFrom == nil {
		hash := func(m *member) uint64 { return xxhash.Sum64String(string(m.peer.Node().Instance())) }
		sorted := slices.SortedFunc(slices.Values(p.live), func(a, b *member) int { return cmp.Compare(hash(a), hash(b)) })
		p.relayFrom = sorted[(p.hashRank-1)/relayFanout]
	}
	return p.relayFrom.peer, true
}

// draw returns a random number in [0, n).
func (p *members) draw(n int) int { return int(p.r.random.Uint64() % uint64(n)) }

// jitter returns a random duration from 0.5 to 1.5 times span.
func (p *members) jitter(span jackdawbridge.Millis) jackdawbridge.Millis {
	return span/2 + jackdawbridge.Millis(p.draw(int(span)+1))
}

// upstreams appends the members that serve a service to list: first those of
// this data centre, then those of other data centres that are reachable.
func (p *members) upstreams(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	return p.remote.upstreams(p.services.append(list, service), service)
}

// generation returns a number that changes whenever the members of this data
// centre that serve a service change. Callers use it to invalidate data derived
// from these members.
func (p *members) generation(service jackdawbridge.ServiceName) uint64 {
	return p.services.generation(service)
}

// observe records that a message arrived from a peer, which shows that the peer is
// running.
func (p *members) observe(from jackdawbridge.Peer) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.remote.observe(from)
		return
	}
	p.learn(from, jackdawbridge.Alive)
	m, ok := p.known[from.Node().Instance()]
	if !ok || m.peer.Node() != from.Node() || m.exited() {
		return
	}
	m.lastSeen = p.r.now
	if m.liveness != jackdawbridge.Alive {
		p.requestRefutation(m)
	}
}

// requestRefutation notifies a member that this node counts it as suspect or
// dead, so that the member can refute it.
func (p *members) requestRefutation(m *member) {
	if p.r.now-m.notifiedAt < refutationInterval {
		return
	}
	m.notifiedAt = p.r.now
	p.r.send(m.peer, jackdawbridge.NewMembers([]jackdawbridge.Rumor{jackdawbridge.NewRumor(m.peer, m.liveness)}))
}

// learn updates a member of this data centre if the given state is newer than the
// recorded one. States are ordered by incarnation, version and liveness, so all
// nodes converge to the same state whatever the order in which rumors arrive.
func (p *members) learn(peer jackdawbridge.Peer, liveness jackdawbridge.Liveness) {
	instance := peer.Node().Instance()
	if instance == p.r.self.Node().Instance() {
		p.refute(peer, liveness)
		return
	}
	m, ok := p.known[instance]
	if !ok {
		if liveness == jackdawbridge.Dead && peer.State() != jackdawbridge.PeerLeft {
			return
		}
		m = &member{liveness: jackdawbridge.Dead}
		p.known[instance] = m
		p.setLiveness(m, peer, liveness)
		return
	}
	switch old := m.peer.Node(); {
	case peer.Node().Incarnation() < old.Incarnation():
		return
	case peer.Node().Incarnation() > old.Incarnation():
		p.r.fx.Log(jackdawbridge.PartMember, "peer restarted with a newer incarnation").About("", peer.Node())
		p.unlist(m)
		m.lastSeen = p.r.now
		if !m.exited() {
			p.processExited(old)
		}
		m.liveness = jackdawbridge.Dead
		p.setLiveness(m, peer, liveness)
		return
	}
	if peer.Version() < m.peer.Version() || peer.Version() == m.peer.Version() && precedence(peer, liveness) <= precedence(m.peer, m.liveness) {
		return
	}
	p.unlist(m)
	p.setLiveness(m, peer, liveness)
}

// unlist removes a member from the list that holds it.
func (p *members) unlist(m *member) {
	if m.live() {
		p.live.remove(m)
	} else if p.expiry.Remove(m.peer.Node().Instance()) && !m.exited() {
		p.failed.remove(m)
	}
}

// setLiveness sets the state of a member that is in no list and adds it to the
// list for that state.
func (p *members) setLiveness(m *member, peer jackdawbridge.Peer, liveness jackdawbridge.Liveness) {
	oldPeer, oldLiveness := m.peer, m.liveness
	m.peer, m.liveness = peer, liveness
	urgent := oldLiveness == jackdawbridge.Dead || liveness != jackdawbridge.Alive || oldLiveness == jackdawbridge.Suspect || oldPeer.State() != peer.State()
	p.services.set(peer, m.live() && peer.State().AcceptsRequests())
	p.rumors.add(peer.Node().Instance(), urgent)
	if m.live() {
		p.live.add(m)
		// The position is random, since nodes that learned of the members in the
		// same order would otherwise all probe the same member at the same time.
		p.live.swap(m.position, p.draw(len(p.live)))
		p.resetSuspicion(m)
		if oldLiveness == jackdawbridge.Dead {
			m.lastSeen = p.r.now
			p.liveChanged = true
			p.r.fx.Log(jackdawbridge.PartMember, "peer joined").About("", peer.Node())
			if oldPeer.Node() == peer.Node() {
				p.prober.recovered(p.r.now, peer)
			}
		}
		return
	}
	p.keepDead(m)
	if oldLiveness != jackdawbridge.Dead {
		p.liveChanged = true
		p.r.routes.forget(peer.Node())
	}
	switch {
	case m.exited():
		p.r.fx.Log(jackdawbridge.PartMember, "peer process has exited").About("", peer.Node())
		p.r.authority.nodeExited(peer.Node())
	default:
		p.r.fx.Warn(jackdawbridge.PartMember, "peer declared dead: no answer to probes").About("", peer.Node())
	}
}

// keepDead schedules when a dead member is dropped. If more than maxDeadMembers
// are kept, it drops those that would expire first.
func (p *members) keepDead(m *member) {
	instance := m.peer.Node().Instance()
	if m.exited() {
		p.expiry.Set(instance, p.r.now+exitedRetention)
	} else {
		p.expiry.Set(instance, p.r.now+failedRetention)
		p.failed.add(m)
	}
	for p.expiry.Len() > maxDeadMembers {
		oldest, _, _ := p.expiry.Min()
		p.forget(oldest)
	}
}

// forget removes a dead member.
func (p *members) forget(instance jackdawbridge.Instance) {
	m := p.known[instance]
	p.unlist(m)
	delete(p.known, instance)
}

// processExited notifies the reducer's other parts that a process is proven to
// have exited.
func (p *members) processExited(node jackdawbridge.Node) {
	p.liveChanged = true
	p.r.routes.forget(node)
	p.r.authority.nodeExited(node)
}

// connectionRefused handles a refused connection, which proves that the process of
// the node has exited.
func (p *members) connectionRefused(node jackdawbridge.Node) {
	m := p.find(node.Instance())
	if m == nil || m.peer.Node() != node || m.exited() {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "peer declared dead: its host refuses connections").About("", node)
	p.left(m.peer)
}

// left handles a Leave from a peer, or the proof that its process has exited.
func (p *members) left(from jackdawbridge.Peer) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.remote.exited(from.Node())
		return
	}
	p.learn(from.WithState(jackdawbridge.PeerLeft), jackdawbridge.Dead)
}

// sendLeave notifies a few members, and one member of each other data centre, that
// this node exits, and deletes this node's seed records.
func (p *members) sendLeave() {
	for _, m := range p.sample(p.live, leaveFanout, nil) {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	for _, m := range p.remote.contacts() {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	p.removeSeeds()
}

// resetAfterFreeze restarts every timer after the process was frozen: other
// members may have seemed silent only because this process did not run. The
// prober also requests full lists of members again.
func (p *members) resetAfterFreeze() {
	p.prober.resetAfterFreeze(p.r.now)
	for _, m := range p.live {
		m.lastSeen = p.r.now
		p.resetSuspicion(m)
	}
	p.remote.resetAfterFreeze()
}

func (p *members) wake() jackdawbridge.Millis {
	wake := min(p.prober.wake(), p.rumors.wake(), p.seeds.wake(), p.remote.wake())
	if _, at, ok := p.expiry.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// tick sends the probes, rumors and seed requests that are due and drops dead
// members whose retention has passed.
func (p *members) tick() {
	p.tickProbes()
	p.tickSeeds()
	p.remote.tick()
	p.sendRumorRound()
	for {
		instance, at, ok := p.expiry.Min()
		if !ok || at > p.r.now {
			break
		}
		p.forget(instance)
	}
	if p.liveChanged {
		p.liveChanged = false
		p.hashRank, p.relayFrom = p.countLowerHashes(), nil
		p.r.authority.membershipChanged()
	}
}
