package reducer

import (
	"fmt"

	"github.com/jackdawbridge/jackdawbridge"
)

// fleet starts many nodes of a data centre that join through one, or the first,
// half a second apart in groups of 8, with a backend server each if a service
// is given.
func (h *harness) fleet(prefix string, dc jackdawbridge.DataCentre, count int, service, join string) {
	if join == "" {
		join = prefix + "0"
	}
	for i := range count {
		h.after(jackdawbridge.Millis(i/8)*500, func() {
			name := fmt.Sprint(prefix, i)
			var joins []string
			if name != join {
				joins = []string{join}
			}
			h.start(name, dc, joins...)
			if service != "" {
				h.announce(name, jackdawbridge.ServiceName(service), 4, false)
			}
		})
	}
	h.run(jackdawbridge.Millis(count/8)*500 + 1)
}

// refusals lets a node learn that connections to another are refused.
func (h *harness) refusals(at, target string) {
	node := h.nodes[target].peer.Node()
	h.nodes[at].apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewPeerRefused(at, node) })
}

func (n *fakeNode) up() bool { return n.alive && !n.frozen }

// linked reports whether frames pass between two nodes in both directions.
func (h *harness) linked(a, b string) bool { return h.reaches(a, b) && h.reaches(b, a) }

// disagreement returns where a node's view of its data centre differs from the
// processes that run and that it can reach, or "".
func (h *harness) disagreement() string {
	for _, name := range h.order {
		n := h.nodes[name]
		if !n.up() {
			continue
		}
		live := make(map[jackdawbridge.Node]jackdawbridge.Peer)
		for _, peer := range n.reducer.members.inDataCentre(n.peer.DataCentre()) {
			live[peer.Node()] = peer
		}
		for _, other := range h.order {
			o := h.nodes[other]
			if o.peer.DataCentre() != n.peer.DataCentre() {
				continue
			}
			want := o.up() && h.linked(name, other)
			got, ok := live[o.peer.Node()]
			if ok != want {
				return fmt.Sprintf("%s takes %s to be live: %v, want %v", name, other, ok, want)
			}
			if ok && (got.State() != o.reducer.self.State() || got.Service() != o.reducer.self.Service()) {
				return fmt.Sprintf("%s takes %s to be %s, want %s", name, other, got.State(), o.reducer.self.State())
			}
			delete(live, o.peer.Node())
		}
		for node := range live {
			return fmt.Sprintf("%s knows %s, which does not run", name, node)
		}
	}
	return ""
}

// converge lets time pass until all views are right, within a bound.
func (h *harness) converge(within jackdawbridge.Millis) string {
	const pace = 250
	for range within / pace {
		h.run(pace)
		if h.disagreement() == "" {
			return "converged"
		}
	}
	return h.disagreement()
}

// upstreams returns how many upstreams of a service a node knows, and how many
// of them do not serve.
func (h *harness) upstreams(name string, service jackdawbridge.ServiceName) string {
	peers, wrong := h.nodes[name].reducer.members.upstreams(nil, service), 0
	for _, peer := range peers {
		if n := h.byNode(peer.Node()); n == nil || !n.alive || n.reducer.self.State() != jackdawbridge.PeerServing {
			wrong++
		}
	}
	return fmt.Sprintf("upstreams: %d, of which do not serve: %d", len(peers), wrong)
}

// seedHolders returns the number of seed records of a data centre, and whether
// every one names a live process.
func (h *harness) seedHolders(dc jackdawbridge.DataCentre) string {
	records, dead := 0, 0
	for i := range seedSlots {
		if seed, ok := h.store.records[seedName(dc, i)].Value().(*jackdawbridge.Seed); ok {
			records++
			if n := h.byNode(seed.Peer().Node()); n == nil || !n.alive {
				dead++
			}
		}
	}
	return fmt.Sprintf("records: %d, of dead nodes: %d", records, dead)
}

// The estimated sizes of encoded parts, in bytes.
const (
	frameBytes = 60 // digest and seal
	peerBytes  = 60 // numbers, addresses and tags
	entryBytes = 60 // a key with its hash
)

func peerSize(peer jackdawbridge.Peer) int {
	return peerBytes + len(peer.Node().Instance()) + len(peer.DataCentre()) + len(peer.Service())
}

// frameSize returns the estimated encoded size of a frame.
func frameSize(frame jackdawbridge.Frame) int {
	size := frameBytes + peerSize(frame.From())
	var rumors []jackdawbridge.Rumor
	switch m := frame.Message().(type) {
	case *jackdawbridge.Probe:
		rumors = m.Rumors()
	case *jackdawbridge.ProbeAck:
		rumors = m.Rumors()
	case *jackdawbridge.ProbeVia:
		size += peerSize(m.Target())
	case *jackdawbridge.Members:
		rumors = m.Rumors()
	case *jackdawbridge.Delta:
		size += entryBytes * len(m.Entries())
	}
	for _, r := range rumors {
		size += 3 + peerSize(r.Peer())
	}
	return size
}
