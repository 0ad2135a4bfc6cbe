package reducer

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// lostFor is how long a member that fell silent is kept, so that it is found
	// again after a partition. It is above the hour that a partition may last.
	lostFor = 2 * 60 * 60 * jackdawbridge.Second
	// endedFor is how long a process that has ended is kept, so that a late
	// rumor does not bring it back.
	endedFor = 10 * 60 * jackdawbridge.Second
	// maxGone bounds the members kept that fell silent or ended.
	maxGone = 4096
	// leaveFanout is the number of members that a leaving node tells itself.
	leaveFanout = 8
)

// member is a peer as this node knows it.
type member struct {
	peer      jackdawbridge.Peer
	belief    jackdawbridge.Suspicion // dead with state left means proof that the process ended
	heard     jackdawbridge.Millis    // last sign of life that came from the member or from its prober
	told      jackdawbridge.Millis    // when it was last told that it is suspected or dead
	suspicion                         // while suspect
	position  int                     // in the list that holds the member
}

// ended reports whether the process is proven to have ended.
func (m *member) ended() bool {
	return m.belief == jackdawbridge.Dead && m.peer.State() == jackdawbridge.PeerLeft
}

// live reports whether the member takes part. A suspect does.
func (m *member) live() bool { return m.belief != jackdawbridge.Dead }

// rank orders beliefs about the same announcement. Proof is above silence.
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

// members is the part that knows the other nodes.
type members struct {
	r       *Reducer
	known   map[jackdawbridge.Instance]*member // of the own data centre, without this node
	live    memberList                         // alive and suspect
	lost    memberList                         // dead by silence
	gone    heap.Heap[jackdawbridge.Instance, jackdawbridge.Millis]
	roster  roster
	dirty   bool // the live set changed in this step
	place   int  // of this node among the live ones by hash of name, 0 for the lowest
	zombie  bool // a newer process runs in the own slot
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

// announce makes a change of this node known to the others.
func (r *Reducer) announce(self jackdawbridge.Peer) {
	r.self = self.WithVersion(self.Version() + 1)
	r.members.roster.set(r.self, r.self.State().Upstream())
	r.members.rumors.add(r.self.Node().Instance(), true)
}

// size returns the number of live members of the own data centre with this node.
func (p *members) size() int { return len(p.live) + 1 }

// scale returns the logarithm of the size, at least 1.
func (p *members) scale() int { return bits.Len(uint(p.size())) }

// peer returns a member as it announced itself, dead members included.
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

// alive reports whether a process is taken to be running and reachable.
func (p *members) alive(node jackdawbridge.Node) bool {
	if node == p.r.self.Node() {
		return true
	}
	m := p.find(node.Instance())
	return m != nil && m.peer.Node() == node && m.live() && !p.regions.cut(m.peer.DataCentre())
}

// inDataCentre returns the live members of a data centre that are known, this
// node included.
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

// random returns up to n live members of the own data centre without this node.
func (p *members) random(n int) []jackdawbridge.Peer {
	picked := make([]jackdawbridge.Peer, 0, n)
	for _, m := range p.sample(p.live, n, nil) {
		picked = append(picked, m.peer)
	}
	return picked
}

// sample returns up to n different members of a list without the given one.
// Below twice n members it walks the list from a random place.
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

// ranking returns how many live members come before this node by hash of name.
// Few nodes have duties towards the platform: those that come first.
func (p *members) ranking() int {
	own := xxhash.Sum64String(string(p.r.self.Node().Instance()))
	before := 0
	for _, m := range p.live {
		if xxhash.Sum64String(string(m.peer.Node().Instance())) < own {
			before++
		}
	}
	return before
}

// draw returns a random number from 0 to n-1.
func (p *members) draw(n int) int { return int(p.r.random.Uint64() % uint64(n)) }

// jitter returns a random span from half of the given one to one and a half.
func (p *members) jitter(span jackdawbridge.Millis) jackdawbridge.Millis {
	return span/2 + jackdawbridge.Millis(p.draw(int(span)+1))
}

// upstreams adds the members that serve a service to a list: first those of the
// own data centre, then those of others that can be reached.
func (p *members) upstreams(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	return p.regions.upstreams(p.roster.append(list, service), service)
}

// generation returns a number that changes whenever the local members that
// serve a service change, so that a caller may keep what it derived from them.
func (p *members) generation(service jackdawbridge.ServiceName) uint64 {
	return p.roster.generation(service)
}

// heard takes note of a sign of life.
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

// tell lets a member know that it is suspected or dead, so that it refutes.
func (p *members) tell(m *member) {
	if p.r.now-m.told < tellInterval {
		return
	}
	m.told = p.r.now
	p.r.send(m.peer, jackdawbridge.NewMembers([]jackdawbridge.Rumor{jackdawbridge.NewRumor(m.peer, m.belief)}))
}

// learn takes a belief about a member of the own data centre if it is newer
// than the present one. Incarnation, version and belief order all beliefs, so
// every node ends with the same one whatever the order of arrival.
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
		p.r.fx.Log(jackdawbridge.PartMember, "restarted").About("", peer.Node())
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

// unlist takes a member out of the list that holds it.
func (p *members) unlist(m *member) {
	if m.live() {
		p.live.remove(m)
	} else if p.gone.Remove(m.peer.Node().Instance()) && !m.ended() {
		p.lost.remove(m)
	}
}

// settle gives a member, which is in no list, its new belief.
func (p *members) settle(m *member, peer jackdawbridge.Peer, belief jackdawbridge.Suspicion) {
	before, was := m.peer, m.belief
	m.peer, m.belief = peer, belief
	urgent := was == jackdawbridge.Dead || belief != jackdawbridge.Alive || was == jackdawbridge.Suspect || before.State() != peer.State()
	p.roster.set(peer, m.live() && peer.State().Upstream())
	p.rumors.add(peer.Node().Instance(), urgent)
	if m.live() {
		p.live.add(m)
		// Nodes that learned of the members in the same order would probe the same
		// one at a time otherwise.
		p.live.swap(m.position, p.draw(len(p.live)))
		p.suspect(m)
		if was == jackdawbridge.Dead {
			m.heard = p.r.now
			p.dirty = true
			p.r.fx.Log(jackdawbridge.PartMember, "joined").About("", peer.Node())
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
		p.r.fx.Log(jackdawbridge.PartMember, "ended").About("", peer.Node())
		p.r.authority.gone(peer.Node())
	default:
		p.r.fx.Warn(jackdawbridge.PartMember, "lost, silent").About("", peer.Node())
	}
}

// bury keeps a dead member for a while and forgets the oldest beyond the bound.
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

// forget drops a dead member.
func (p *members) forget(instance jackdawbridge.Instance) {
	m := p.known[instance]
	p.unlist(m)
	delete(p.known, instance)
}

// ends reports a process that is proven to have ended.
func (p *members) ends(node jackdawbridge.Node) {
	p.dirty = true
	p.r.routes.forget(node)
	p.r.authority.gone(node)
}

// refused takes the proof that the process of a node has ended.
func (p *members) refused(node jackdawbridge.Node) {
	m := p.find(node.Instance())
	if m == nil || m.peer.Node() != node || m.ended() {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartMember, "lost, its host refuses connections").About("", node)
	p.left(m.peer)
}

// left takes the farewell of a node, or the proof that it ended.
func (p *members) left(from jackdawbridge.Peer) {
	if from.DataCentre() != p.r.self.DataCentre() {
		p.regions.ended(from.Node())
		return
	}
	p.learn(from.WithState(jackdawbridge.PeerLeft), jackdawbridge.Dead)
}

// depart tells the other nodes that this one ends.
func (p *members) depart() {
	for _, m := range p.sample(p.live, leaveFanout, nil) {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	for _, m := range p.regions.contacts() {
		p.r.send(m.peer, jackdawbridge.NewLeave())
	}
	p.dropSeeds()
}

// thaw restarts every timer after the process was frozen: the silence of the
// others was this node's own. The view is read again from live members.
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

// tick does what is due: probes, rumors, seeds and what lapses.
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
