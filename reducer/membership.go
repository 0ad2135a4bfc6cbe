package reducer

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// failedRetention is how long a member that stopped answering is kept, so that
	// this node finds it again after a partition. It is above the hour that a
	// partition may last.
	lostFor = 2 * 60 * 60 * jackdawbridge.Second
	// exitedRetention is how long a process that has exited is kept, so that a
	// late rumor does not add it again.
	endedFor = 10 * 60 * jackdawbridge.Second
	// maxDeadMembers bounds the failed and exited members that are kept. A node with
	// as many pending probes refuses to relay further ones.
	maxGone = 4096
	// leaveFanout is the number of members that a leaving node sends a Leave to.
	// Rumors carry it to the others.
	leaveFanout = 8
)

// member holds what this node has learned about a peer.
type member struct {
	peer      jackdawbridge.Peer
	belief    jackdawbridge.Suspicion // Dead with PeerLeft: the process is proven to have exited
	heard     jackdawbridge.Millis    // last message from the member, or answer to a probe of it
	told      jackdawbridge.Millis    // when it was last notified that it is suspect or dead
	suspicion                         // valid while the member is suspect
	position  int                     // index in the memberList that holds the member
}

// exited reports whether the process is proven to have exited.
func (m *member) ended() bool {
	return m.belief == jackdawbridge.Dead && m.peer.State() == jackdawbridge.PeerLeft
}

// live reports whether the member is alive or suspect.
func (m *member) live() bool { return m.belief != jackdawbridge.Dead }

// precedence orders states of liveness for the same version of a peer: the
// higher one wins. A proven exit is above a death inferred from silence.
func rank(peer jackdawbridge.Peer, belief jackdawbridge.Suspicion) int {
	if belief == jackdawbridge.Dead && peer.State() == jackdawbridge.PeerLeft {
		return int(jackdawbridge.Dead) + 1
	}
	return int(belief)
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
	r       *Reducer
	known   map[jackdawbridge.Instance]*member                      // members of this node's data centre, without this node
	live    memberList                                              // alive and suspect
	lost    memberList                                              // dead because they did not answer, exit not proven
	gone    heap.Heap[jackdawbridge.Instance, jackdawbridge.Millis] // when each dead member is dropped
	roster  roster
	dirty   bool // the set of live members changed in this step
	place   int  // number of live members whose instance name has a lower hash
	zombie  bool // a newer process has this node's instance name
	prober  prober
	rumors  rumors
	seeds   seeds
	regions regions
}

func newMembers(r *Reducer, joins []jackdawbridge.Peer) members {
	p := members{
		r: r, known: make(map[jackdawbridge.Instance]*member), roster: newRoster(),
		prober: newProber(), seeds: newSeeds(joins), regions: newRegions(r),
	}
	p.roster.set(r.self, r.self.State().Upstream())
	return p
}

// announce publishes a changed description of this node under a new version.
func (r *Reducer) announce(self jackdawbridge.Peer) {
	r.self = self.WithVersion(self.Version() + 1)
	r.members.roster.set(r.self, r.self.State().Upstream())
	r.members.rumors.add(r.self.Node().Instance(), true)
}

// size returns the number of live members of this data centre, this node included.
func (p *members) size() int { return len(p.live) + 1 }

// scale returns the binary logarithm of the size, rounded to a whole number of
// at least 1. Timeouts and rumor counts grow with it.
func (p *members) scale() int { return bits.Len(uint(p.size())) }

// peer returns the description of a member, dead members included.
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
	return p.regions.known[instance]
}

// alive reports whether a process counts as running and reachable.
func (p *members) alive(node jackdawbridge.Node) bool {
	if node == p.r.self.Node() {
		return true
	}
	m := p.find(node.Instance())
	return m != nil && m.peer.Node() == node && m.live() && !p.regions.cut(m.peer.DataCentre())
}

// inDataCentre returns the live members of a data centre that this node has
// learned of. This node is included.
func (p *members) inDataCentre(dc jackdawbridge.DataCentre) []jackdawbridge.Peer {
	list := p.live
	var peers []jackdawbridge.Peer
	if dc == p.r.self.DataCentre() {
		peers = append(peers, p.r.self)
	} else {
		list = p.regions.members(dc)
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

// sample returns up to n distinct random members of a list, never the one given
// as without. It walks a list of at most 2n members from a random start, since
// drawing without repetition would take many attempts there.
func (p *members) sample(list memberList, n int, without *member) []*member {
	picked := make([]*member, 0, n)
	if len(list) == 0 {
		return picked
	}
	if len(list) <= 2*n {
		start := p.draw(len(list))
		for i := range list {
			if m := list[(start+i)%len(list)]; m != without && len(picked) < n {
				picked = append(picked, m)
			}
		}
		return picked
	}
	for len(picked) < n {
		m := list[p.draw(len(list))]
		fresh := m != without
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
// platform and keep the seed records; all others need not call the platform.
func (p *members) ranking() int {
	ownHash := xxhash.Sum64String(string(p.r.self.Node().Instance()))
	lower := 0
	for _, m := range p.live {
		if xxhash.Sum64String(string(m.peer.Node().Instance())) < ownHash {
			lower++
		}
	}
	return lower
}

// draw returns a random number in [0, n).
func (p *members) draw(n int) int { return int(p.r.random.Uint64() % uint64(n)) }

// jitter returns a random duration between 0.5 and 1.5 times span.
func (p *members) jitter(span jackdawbridge.Millis) jackdawbridge.Millis {
	return span/2 + jackdawbridge.Millis(p.draw(int(span)+1))
}

// upstreams appends the members that serve a service to list: first those of
// this data centre, then those of other data centres that are reachable.
func (p *members) upstreams(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	return p.regions.upstreams(p.roster.append(list, service), service)
}

// generation returns a number that changes whenever the members of this data
// centre that serve a service change. Callers use it to invalidate what they
// derived from these members.
func (p *members) generation(service jackdawbridge.ServiceName) uint64 {
	return p.roster.generation(service)
}

// seen records that a message arrived from a peer, which proves that it is alive.
func (p *members) heard(from jackdawbridge.Peer) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.regions.heard(from)
		return
	}
	p.learn(from, jackdawbridge.Alive)
	m, ok := p.known[from.Node().Instance()]
	if !ok || m.peer.Node() != from.Node() || m.ended() {
		return
	}
	m.heard = p.r.now
	if m.belief != jackdawbridge.Alive {
		p.tell(m)
	}
}

// requestRefutation notifies a member that this node counts it as suspect or
// dead, so that it can refute that.
func (p *members) tell(m *member) {
	if p.r.now-m.told < tellInterval {
		return
	}
	m.told = p.r.now
	p.r.send(m.peer, jackdawbridge.NewMembers([]jackdawbridge.Rumor{jackdawbridge.NewRumor(m.peer, m.belief)}))
}

// learn updates a member of this data centre if the given state is newer than the
// recorded one. States are ordered by incarnation, version and liveness, so all
// nodes converge to the same state whatever the order in which rumors arrive.
func (p *members) learn(peer jackdawbridge.Peer, belief jackdawbridge.Suspicion) {
	instance := peer.Node().Instance()
	if instance == p.r.self.Node().Instance() {
		p.aboutSelf(peer, belief)
		return
	}
	m, ok := p.known[instance]
	if !ok {
		if belief == jackdawbridge.Dead && peer.State() != jackdawbridge.PeerLeft {
			return
		}
		m = &member{belief: jackdawbridge.Dead}
		p.known[instance] = m
		p.settle(m, peer, belief)
		return
	}
	switch old := m.peer.Node(); {
	case peer.Node().Incarnation() < old.Incarnation():
		return
	case peer.Node().Incarnation() > old.Incarnation():
		p.r.fx.Log(jackdawbridge.PartMember, "peer restarted with a newer incarnation").About("", peer.Node())
		p.unlist(m)
		m.heard = p.r.now
		if !m.ended() {
			p.ends(old)
		}
		m.belief = jackdawbridge.Dead
		p.settle(m, peer, belief)
		return
	}
	if peer.Version() < m.peer.Version() || peer.Version() == m.peer.Version() && rank(peer, belief) <= rank(m.peer, m.belief) {
		return
	}
	p.unlist(m)
	p.settle(m, peer, belief)
}

// unlist removes a member from the list that holds it.
func (p *members) unlist(m *member) {
	if m.live() {
		p.live.remove(m)
	} else if p.gone.Remove(m.peer.Node().Instance()) && !m.ended() {
		p.lost.remove(m)
	}
}

// setLiveness sets the state of a member that is in no list and adds it to the
// list for that state.
func (p *members) settle(m *member, peer jackdawbridge.Peer, belief jackdawbridge.Suspicion) {
	before, was := m.peer, m.belief
	m.peer, m.belief = peer, belief
	urgent := was == jackdawbridge.Dead || belief != jackdawbridge.Alive || was == jackdawbridge.Suspect || before.State() != peer.State()
	p.roster.set(peer, m.live() && peer.State().Upstream())
	p.rumors.add(peer.Node().Instance(), urgent)
	if m.live() {
		p.live.add(m)
		// Random positions, since nodes that learned of the members in the same
		// order would otherwise all probe the same member at the same time.
		p.live.swap(m.position, p.draw(len(p.live)))
		p.suspect(m)
		if was == jackdawbridge.Dead {
			m.heard = p.r.now
			p.dirty = true
			p.r.fx.Log(jackdawbridge.PartMember, "peer joined").About("", peer.Node())
			if before.Node() == peer.Node() {
				p.prober.healed(p.r.now, peer)
			}
		}
		return
	}
	p.bury(m)
	if was != jackdawbridge.Dead {
		p.dirty = true
		p.r.routes.forget(peer.Node())
	}
	switch {
	case m.ended():
		p.r.fx.Log(jackdawbridge.PartMember, "peer process has exited").About("", peer.Node())
		p.r.authority.gone(peer.Node())
	default:
		p.r.fx.Warn(jackdawbridge.PartMember, "peer declared dead: no answer to probes").About("", peer.Node())
	}
}

// keepDead schedules when a dead member is dropped. Above maxDeadMembers it drops
// those that are scheduled first.
func (p *members) bury(m *member) {
	instance := m.peer.Node().Instance()
	if m.ended() {
		p.gone.Set(instance, p.r.now+endedFor)
	} else {
		p.gone.Set(instance, p.r.now+lostFor)
		p.lost.add(m)
	}
	for p.gone.Len() > maxGone {
		oldest, _, _ := p.gone.Min()
		p.forget(oldest)
	}
}

// forget drops a dead member completely.
func (p *members) forget(instance jackdawbridge.Instance) {
	m := p.known[instance]
	p.unlist(m)
	delete(p.known, instance)
}

// processExited notifies the other parts of a process that is proven to have
// exited.
func (p *members) ends(node jackdawbridge.Node) {
	p.dirty = true
	p.r.routes.forget(node)
	p.r.authority.gone(node)
}

// connectionRefused handles a refused connection: it proves that the process of
// the node has exited.
func (p *members) refused(node jackdawbridge.Node) {
	m := p.find(node.Instance())
	if m == nil || m.peer.Node() != node || m.ended() {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "peer declared dead: its host refuses connections").About("", node)
	p.left(m.peer)
}

// left handles the Leave of a node, or the proof that it has exited.
func (p *members) left(from jackdawbridge.Peer) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.regions.ended(from.Node())
		return
	}
	p.learn(from.WithState(jackdawbridge.PeerLeft), jackdawbridge.Dead)
}

// sendLeave notifies a few members, and one member of each other data centre, that
// this node exits, and deletes this node's seed records.
func (p *members) depart() {
	for _, m := range p.sample(p.live, leaveFanout, nil) {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	for _, m := range p.regions.contacts() {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	p.dropSeeds()
}

// resetAfterFreeze restarts every timer after the process was frozen: other
// members seemed silent only because this process did not run. The prober then
// requests the full list of members again.
func (p *members) thaw() {
	p.prober.thaw(p.r.now)
	for _, m := range p.live {
		m.heard = p.r.now
		p.suspect(m)
	}
	p.regions.thaw()
}

func (p *members) wake() jackdawbridge.Millis {
	wake := min(p.prober.wake(), p.rumors.wake(), p.seeds.wake(), p.regions.wake())
	if _, at, ok := p.gone.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// tick sends the probes, rumors and seed requests that are due and drops dead
// members whose retention has passed.
func (p *members) tick() {
	p.tickProbes()
	p.tickSeeds()
	p.regions.tick()
	p.flush()
	for {
		instance, at, ok := p.gone.Min()
		if !ok || at > p.r.now {
			break
		}
		p.forget(instance)
	}
	if p.dirty {
		p.dirty = false
		p.place = p.ranking()
		p.r.authority.changed()
	}
}
