package reducer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/estimate"
)

const (
	// maxCandidates is the maximum number of upstreams of a service that a node sends
	// to in the local data centre, and also in all other data centres together.
	maxCandidates = 16
	// maxInFlight is the maximum number of calls of a node at one upstream. It equals
	// the length of an upstream's queue. A lower limit would refuse calls regardless
	// of their rank before the queue could shed by rank.
	maxInFlight = 1024
	// subsetInterval is how long a subset is used before it is selected again. The
	// members change rarely, and a call must not scan all of them.
	subsetInterval = 200 * jackdawbridge.Millis(1)
	// slowStartTime is how long the slow start of a new upstream takes until all of
	// its slots are used.
	slowStartTime = 5 * jackdawbridge.Second
	// slowStartPermille is the part of the slots, in permille, that is used from the
	// beginning.
	slowStartPermille = 50
	// avoidTime is how long another data centre is avoided after a connection to it
	// failed. A network partition makes all of its upstreams fail, and each attempt
	// costs a connection timeout and a retry of the request.
	avoidTime = jackdawbridge.Second
	// fullSlotShare is the part of its slots, in permille, that an upstream receives
	// after its slow start.
	fullSlotShare = 1000
)

// upstream is a node to which the calls of a service may be sent.
type upstream struct {
	peer        jackdawbridge.Peer
	observation *observation
	score       uint64 // rendezvous hash
}

// subset holds the upstreams of a service that this node sends to.
type subset struct {
	due    jackdawbridge.Millis // when the subset is selected again
	mean   estimate.Service     // expected time of requests
	local  []upstream           // in the local data centre, by descending score, at most maxCandidates
	remote []upstream           // in other data centres, by descending score, at most maxCandidates
}

// routes is the part that chooses upstreams.
type routes struct {
	r              *Reducer
	picker         jackdawbridge.Picker
	random         *rand.PCG // separate from the source of the other parts, so that their draws do not change routes
	observations   map[jackdawbridge.Node]*observation
	subsets        map[jackdawbridge.ServiceName]*subset
	levels         map[levelKey]*learnedLevel                        // at most maxLevels
	splits         map[*jackdawbridge.Route]*weightedSplit           // routes with several destinations, at most maxSplits
	reachDue       jackdawbridge.Millis                              // when upstreams that do not answer are checked next
	anyUnreachable bool                                              // some upstream was unreachable at the last check
	avoidedUntil   map[jackdawbridge.DataCentre]jackdawbridge.Millis // end of the time for which a data centre is avoided
	candidates     []jackdawbridge.Candidate                         // reused by each pick
	chosen         []*upstream                                       // reused by each pick, one for each candidate
	peers          []jackdawbridge.Peer                              // reused by each selection of a subset
	expected       jackdawbridge.Millis                              // expected time of the last picked request at its upstream, 0 if unknown
	estimated      int64                                             // picks by expected completion
}

func newRoutes(r *Reducer, picker jackdawbridge.Picker) routes {
	return routes{
		r: r, picker: picker, random: rand.NewPCG(r.random.Uint64(), r.random.Uint64()),
		observations: make(map[jackdawbridge.Node]*observation),
		subsets:      make(map[jackdawbridge.ServiceName]*subset),
		levels:       make(map[levelKey]*learnedLevel),
		splits:       make(map[*jackdawbridge.Route]*weightedSplit),
		avoidedUntil: make(map[jackdawbridge.DataCentre]jackdawbridge.Millis),
	}
}

// pick selects an upstream of a service for a request of the given rank. It
// returns last, the upstream of the previous attempt, only if there is no other.
func (p *routes) pick(service jackdawbridge.ServiceName, rank jackdawbridge.Level, last jackdawbridge.Node, class int) (jackdawbridge.Peer, bool) {
	s := p.subset(service)
	p.candidates, p.chosen = p.candidates[:0], p.chosen[:0]
	panicMode := p.inPanic(s)
	// Upstreams without a standing queue are preferred, then those that also admit
	// lower ranks, then those that admit at least a part of the request's rank, then
	// all that can accept a request, including those in avoided data centres.
	levels := [...]jackdawbridge.Level{0, max(rank, 1) - 1, rank, jackdawbridge.MaxRank}
	for _, level := range levels {
		if p.collect(s.local, last, panicMode, level)+p.collect(s.remote, last, panicMode, level) > 0 {
			break
		}
	}
	if len(p.chosen) == 0 {
		p.fallback(s, last)
	}
	if len(p.chosen) == 0 {
		return jackdawbridge.Peer{}, false
	}
	p.fillLatencies()
	p.fillEstimates(&s.mean, class)
	i := p.picker.Pick(p.candidates, p.random.Uint64())
	p.picked(p.candidates[i])
	u := p.chosen[i]
	u.observation.picked(p.r.now)
	return u.peer, true
}

// unavailable returns the reason why no upstream of a service can be picked.
func (p *routes) unavailable(service jackdawbridge.ServiceName) jackdawbridge.Reason {
	s := p.subset(service)
	if len(s.local)+len(s.remote) == 0 {
		return jackdawbridge.NoUpstream
	}
	return jackdawbridge.UpstreamsFull
}

// inPanic reports whether more than half of the upstreams are ejected, so that
// ejections are ignored. The fault is then more likely to be elsewhere, and the
// remaining upstreams could not carry the load.
func (p *routes) inPanic(s *subset) bool {
	ejected := 0
	for _, list := range [2][]upstream{s.local, s.remote} {
		for i := range list {
			if list[i].observation.ejected(p.r.now) {
				ejected++
			}
		}
	}
	return ejected*2 > len(s.local)+len(s.remote)
}

// collect adds the upstreams of a list that can accept a request to the candidates
// and returns their number. It skips last, full and unreachable upstreams and those
// with an admission level above level. It also skips ejected ones unless panicMode is
// set, and those in avoided data centres unless level is MaxRank.
func (p *routes) collect(list []upstream, last jackdawbridge.Node, panicMode bool, level jackdawbridge.Level) int {
	n := 0
	for i := range list {
		u := &list[i]
		o := u.observation
		switch {
		case u.peer.Node() == last,
			o.inFlight >= maxInFlight,
			o.reachability.unreachable,
			!panicMode && o.ejected(p.r.now),
			o.currentLevel(p.r.now) > level,
			level < jackdawbridge.MaxRank && p.avoids(u.peer.DataCentre()):
			continue
		}
		p.add(u)
		n++
	}
	return n
}

// avoids reports whether a connection to another data centre failed within the last
// avoidTime.
func (p *routes) avoids(dc jackdawbridge.DataCentre) bool {
	return dc != p.r.self.DataCentre() && p.r.now < p.avoidedUntil[dc]
}

// fallback adds all upstreams below maxInFlight to the candidates, whatever their
// state. It includes last only if there is no other.
func (p *routes) fallback(s *subset, last jackdawbridge.Node) {
	for _, list := range [2][]upstream{s.local, s.remote} {
		for i := range list {
			if list[i].observation.inFlight < maxInFlight && list[i].peer.Node() != last {
				p.add(&list[i])
			}
		}
	}
	if len(p.chosen) > 0 || last.IsZero() {
		return
	}
	p.fallback(s, jackdawbridge.Node{})
}

// add adds an upstream to the candidates with its load, its latency and its recent
// failures.
func (p *routes) add(u *upstream) {
	o := u.observation
	busy, limit := o.load(p.r.now, max(u.peer.Slots(), 1))
	slots := limit * o.slotShare(p.r.now) / fullSlotShare
	p.chosen = append(p.chosen, u)
	p.candidates = append(p.candidates, jackdawbridge.NewCandidate(busy, o.latencyAt(p.r.now), o.failuresAt(p.r.now), slots).
		WithRemote(u.peer.DataCentre() != p.r.self.DataCentre()))
}

// fillLatencies sets the latency of candidates without a measured one to the mean
// of the others.
func (p *routes) fillLatencies() {
	sum, known := jackdawbridge.Millis(0), jackdawbridge.Millis(0)
	for _, u := range p.chosen {
		if u.observation.latency > 0 {
			sum += u.observation.latencyAt(p.r.now)
			known++
		}
	}
	if known == 0 || int(known) == len(p.chosen) {
		return
	}
	for i, u := range p.chosen {
		if u.observation.latency == 0 {
			p.candidates[i] = p.candidates[i].WithLatency(sum / known)
		}
	}
}

// subset returns the upstreams of a service and selects them again when that is
// due.
func (p *routes) subset(service jackdawbridge.ServiceName) *subset {
	s, ok := p.subsets[service]
	if !ok {
		s = &subset{}
		p.subsets[service] = s
	}
	if p.r.now >= s.due {
		p.selectSubset(s, service)
	}
	return s
}

// selectSubset selects the upstreams with the highest rendezvous hashes of this
// node's name and the upstream's. A member that joins or leaves changes at most one
// of them.
func (p *routes) selectSubset(s *subset, service jackdawbridge.ServiceName) {
	s.due = p.r.now + subsetInterval
	s.local, s.remote = s.local[:0], s.remote[:0]
	p.peers = p.r.members.upstreams(p.peers[:0], service)
	for _, peer := range p.peers {
		if p.r.settings.index.evacuated[peer.DataCentre()] {
			continue
		}
		u := upstream{peer: peer, score: upstreamScore(p.r.self.Node().Instance(), peer.Node().Instance())}
		if peer.DataCentre() == p.r.self.DataCentre() {
			s.local = append(s.local, u)
		} else {
			s.remote = append(s.remote, u)
		}
	}
	s.local = p.keepBest(s.local)
	s.remote = p.keepBest(s.remote)
}

// keepBest sorts a list by descending score, truncates it to maxCandidates and links
// the upstreams that remain to their observations.
func (p *routes) keepBest(list []upstream) []upstream {
	slices.SortFunc(list, func(a, b upstream) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.peer.Node().Instance(), b.peer.Node().Instance())
	})
	list = list[:min(len(list), maxCandidates)]
	for i := range list {
		list[i].observation = p.observationOf(list[i].peer.Node())
		list[i].observation.dc = list[i].peer.DataCentre()
		list[i].observation.reachability.peer = list[i].peer
		list[i].observation.listed(p.r.now)
	}
	return list
}

// upstreamScore returns the rendezvous hash of an upstream for a node.
func upstreamScore(node, upstream jackdawbridge.Instance) uint64 {
	h := xxhash.Sum64String(string(node))*31 + xxhash.Sum64String(string(upstream))
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	return h ^ h>>33
}

// observationOf returns the observation of a node and creates it if there is none.
func (p *routes) observationOf(node jackdawbridge.Node) *observation {
	o, ok := p.observations[node]
	if !ok {
		o = &observation{slowStartFrom: p.r.now}
		p.observations[node] = o
	}
	return o
}

// attemptStarted counts an attempt that is sent to an upstream.
func (p *routes) attemptStarted(node jackdawbridge.Node) {
	o := p.observationOf(node)
	if o.inFlight == 0 {
		o.reachability.busySince = p.r.now
	}
	o.inFlight++
}

// attemptEnded updates the observation of an upstream with the result of an
// attempt. The time that the request waited in the upstream's queue is deducted from
// the latency.
func (p *routes) attemptEnded(node jackdawbridge.Node, latency jackdawbridge.Millis, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason, feedback jackdawbridge.Feedback) {
	o, ok := p.observations[node]
	if !ok {
		return // the node has left since
	}
	o.inFlight = max(o.inFlight-1, 0)
	o.setOccupancy(p.r.now, feedback.Occupancy())
	latency = max(latency-feedback.Waited(), 0)
	if o.attemptEnded(p.r.now, latency, outcome, reason) {
		p.r.fx.Warn(jackdawbridge.PartRoute, "upstream ejected after failures").About("", node).Str("reason", reason.String()).
			Int("failures", int64(o.failures)).Duration("for_ms", o.ejectedUntil-p.r.now)
	}
	if outcome == jackdawbridge.NotRun && reason == jackdawbridge.UpstreamFailed && o.dc != p.r.self.DataCentre() {
		p.avoidedUntil[o.dc] = p.r.now + avoidTime
	}
	if reason == jackdawbridge.Draining || reason == jackdawbridge.BackendDown {
		p.refreshSubsets()
	}
}

// refreshSubsets makes every subset due to be selected again.
func (p *routes) refreshSubsets() {
	for _, s := range p.subsets {
		s.due = 0
	}
}

// forget removes the observation of a node that has left.
func (p *routes) forget(node jackdawbridge.Node) {
	delete(p.observations, node)
	p.refreshSubsets()
}
