package reducer

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"

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
	h.falseProof = h.falseProof || h.nodes[target].alive
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

// grant publishes keys of an account.
func (h *harness) grant(key, account string, count int) error {
	entries := make([]jackdawbridge.Entry, 0, count)
	for i := range count {
		name := key
		if count > 1 {
			name = fmt.Sprint(key, i)
		}
		k, err := jackdawbridge.NewKey(keyHash(name), jackdawbridge.AccountName(account), "")
		if err != nil {
			return err
		}
		entries = append(entries, jackdawbridge.KeyEntry(k))
	}
	h.change(jackdawbridge.KeysTable, entries...)
	return nil
}

// damage puts a record of the platform into a state that must not come into
// force, or repairs it.
func (h *harness) damage(name jackdawbridge.RecordName, state string) (string, error) {
	h.store.unreadable = ""
	current := h.published[name]
	switch state {
	case "older":
		h.store.put(name, h.previous[name], 0)
	case "foreign":
		foreign, err := jackdawbridge.NewTable(current.Revision()+1, "foreign", []jackdawbridge.Entry{jackdawbridge.Tombstone("other/x")})
		if err != nil {
			return "", err
		}
		h.store.put(name, foreign, 0)
	case "unreadable":
		h.store.put(name, current, 0)
		h.store.unreadable = name
	case "missing":
		h.store.put(name, nil, 0)
	case "good":
		h.store.put(name, current, 0)
	default:
		return "", fmt.Errorf("unknown state %q", state)
	}
	return "", nil
}

// lacks returns a live node that has not the newest revisions in force, or "".
func (h *harness) lacks() string {
	for _, name := range h.order {
		n := h.nodes[name]
		if !n.up() {
			continue
		}
		for _, table := range []jackdawbridge.RecordName{jackdawbridge.ConfigTable, jackdawbridge.KeysTable} {
			want, got := h.published[table].Revision(), n.reducer.settings.revision(table)
			if got != want || !n.reducer.settings.ready() {
				return fmt.Sprintf("%s has %s %d in force, ready: %v, want %d", name, table, got, n.reducer.settings.ready(), want)
			}
		}
	}
	return ""
}

// inForce lets time pass until the newest revisions are in force at all live
// nodes, within a bound.
func (h *harness) inForce(within jackdawbridge.Millis) string {
	const pace = 100
	for range within / pace {
		h.run(pace)
		if h.lacks() == "" {
			return "in force"
		}
	}
	return h.lacks()
}

// revisions returns the revisions that a node has in force.
func (h *harness) revisions(name string) string {
	digest := h.nodes[name].reducer.Digest()
	return fmt.Sprintf("config %d, keys %d, ready %v", digest.Config(), digest.Keys(), h.nodes[name].reducer.settings.ready())
}

// keyOf returns the hash in the name of the entry of a key.
func keyOf(name string) (jackdawbridge.KeyHash, bool) {
	var hash jackdawbridge.KeyHash
	rest, ok := strings.CutPrefix(name, keyPrefix)
	if !ok {
		return hash, false
	}
	n, err := hex.Decode(hash[:], []byte(rest))
	return hash, err == nil && n == len(hash)
}

// watchers returns the live members of a data centre that watch the platform.
func (h *harness) watchers(dc jackdawbridge.DataCentre) []string {
	var names []string
	for _, name := range h.order {
		if n := h.nodes[name]; n.up() && n.peer.DataCentre() == dc && n.reducer.settings.watches() {
			names = append(names, name)
		}
	}
	return names
}

// oldestConfirmation tells whether every live node has been confirmed within
// the limit, with a margin.
func (h *harness) oldestConfirmation() string {
	oldest := jackdawbridge.Millis(0)
	for _, n := range h.nodes {
		if n.up() {
			oldest = max(oldest, n.reducer.settings.confirmedAge())
		}
	}
	if oldest < unconfirmedLimit/2 {
		return "below half of the limit"
	}
	return fmt.Sprintf("%d ms", oldest)
}

// lose drops the given share of the frames, in percent, by a fixed sequence.
func (h *harness) lose(percent int) { h.disorder(percent, 0, 0) }

// disorder drops, repeats and delays the given shares of the frames, in percent,
// by a fixed sequence. A delay is up to 10 s.
func (h *harness) disorder(lost, repeated, late int) {
	random := rand.New(rand.NewPCG(1, uint64(lost)))
	h.onSend = func(*fakeNode, *fakeNode, jackdawbridge.Frame) linkFault {
		fault := linkFault{drop: random.IntN(100) < lost, repeat: random.IntN(100) < repeated}
		if random.IntN(100) < late {
			fault.delay = jackdawbridge.Millis(random.IntN(10_000))
		}
		return fault
	}
}
