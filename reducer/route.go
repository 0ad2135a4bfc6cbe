package reducer

import "github.com/jackdawbridge/jackdawbridge"

// maxCandidates bounds the upstreams of a service that a node sends to.
const maxCandidates = 16

// observation is what this node has seen of an upstream.
type observation struct {
	inFlight int
	latency  jackdawbridge.Millis // smoothed, 0 when unknown
	failures int                  // in a row
}

// routes is the part that chooses upstreams.
type routes struct {
	r          *Reducer
	picker     jackdawbridge.Picker
	seen       map[jackdawbridge.Node]*observation
	candidates []jackdawbridge.Candidate // reused by each pick
	peers      []jackdawbridge.Peer      // reused by each pick
}

func newRoutes(r *Reducer, picker jackdawbridge.Picker) routes {
	return routes{r: r, picker: picker, seen: make(map[jackdawbridge.Node]*observation)}
}

// pick chooses an upstream of a service, another than last if there is one.
func (p *routes) pick(service jackdawbridge.ServiceName, last jackdawbridge.Node) (jackdawbridge.Peer, bool) {
	p.peers = p.r.members.upstreams(p.peers[:0], service)
	p.candidates = p.candidates[:0]
	n := 0
	for _, peer := range p.peers {
		if peer.Node() == last && len(p.peers) > 1 {
			continue
		}
		p.peers[n] = peer
		n++
		o := p.observed(peer.Node())
		p.candidates = append(p.candidates, jackdawbridge.NewCandidate(o.inFlight, o.latency, o.failures, max(peer.Slots(), 1), 1000))
	}
	if n == 0 {
		return jackdawbridge.Peer{}, false
	}
	return p.peers[p.picker.Pick(p.candidates, p.r.random.Uint64())], true
}

func (p *routes) observed(node jackdawbridge.Node) *observation {
	o, ok := p.seen[node]
	if !ok {
		o = &observation{}
		p.seen[node] = o
	}
	return o
}

// began takes note of an attempt that goes to an upstream.
func (p *routes) began(node jackdawbridge.Node) { p.observed(node).inFlight++ }

// ended takes note of how an attempt at an upstream ended.
func (p *routes) ended(node jackdawbridge.Node, latency jackdawbridge.Millis, outcome jackdawbridge.Outcome, _ jackdawbridge.Reason) {
	o := p.observed(node)
	o.inFlight = max(o.inFlight-1, 0)
	if outcome != jackdawbridge.Served {
		o.failures++
		return
	}
	o.failures = 0
	o.latency += (latency - o.latency) / 8
}

// forget drops what was seen of a node that is gone.
func (p *routes) forget(node jackdawbridge.Node) { delete(p.seen, node) }

// learn takes note of the admission level of an upstream.
func (p *routes) learn(jackdawbridge.Node, jackdawbridge.ServiceName, jackdawbridge.Level) {}

// sheds reports whether a request is below the admission level of its service.
func (p *routes) sheds(jackdawbridge.Envelope) bool { return false }
