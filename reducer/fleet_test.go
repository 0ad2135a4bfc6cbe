package reducer

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// startFleet starts count nodes in a data centre, in groups of 8 that are half a
// second apart. They join through the node named join, by default the first of
// them. If a service is given, each node has a backend server of it.
func (h *harness) startFleet(prefix string, dc jackdawbridge.DataCentre, count int, service, join string) {
	if join == "none" { // all at once; they find each other through the platform
		for i := range count {
			h.start(fmt.Sprint(prefix, i), dc)
			h.announce(fmt.Sprint(prefix, i), jackdawbridge.ServiceName(service), 4, false)
		}
		return
	}
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

// reportRefused reports to the observer node that the target refuses connections. The
// observer takes that as proof that the target's process has ended.
func (h *harness) reportRefused(observer, target string) {
	node := h.nodes[target].peer.Node()
	h.falseEndReported = h.falseEndReported || h.nodes[target].alive
	h.nodes[observer].apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewPeerRefused(at, node) })
}

func (n *fakeNode) up() bool { return n.alive && !n.frozen }

// linked reports whether two nodes can send frames to each other.
func (h *harness) linked(a, b string) bool { return h.reaches(a, b) && h.reaches(b, a) }

// wrongView describes one difference between a node's view of its data centre and
// the running processes that the node can reach. It returns "" if there is none.
func (h *harness) wrongView() string {
	for _, name := range h.nodeNames {
		n := h.nodes[name]
		if !n.up() {
			continue
		}
		live := make(map[jackdawbridge.Node]jackdawbridge.Peer)
		for _, peer := range n.reducer.members.inDataCentre(n.peer.DataCentre()) {
			live[peer.Node()] = peer
		}
		for _, other := range h.nodeNames {
			o := h.nodes[other]
			if o.peer.DataCentre() != n.peer.DataCentre() {
				continue
			}
			want := o.up() && h.linked(name, other)
			got, ok := live[o.peer.Node()]
			if ok != want {
				return fmt.Sprintf("%s sees %s as live: %v, want %v", name, other, ok, want)
			}
			if ok && (got.State() != o.reducer.self.State() || got.Service() != o.reducer.self.Service()) {
				return fmt.Sprintf("%s sees %s in state %s, want %s", name, other, got.State(), o.reducer.self.State())
			}
			delete(live, o.peer.Node())
		}
		for node := range live {
			return fmt.Sprintf("%s sees %s as live, but that process does not run", name, node)
		}
	}
	return ""
}

// converge runs the nodes until no view is wrong, for at most the given time. It
// returns "converged" or a wrong view.
func (h *harness) converge(within jackdawbridge.Millis) string {
	const interval = 250
	for range within / interval {
		h.run(interval)
		if h.wrongView() == "" {
			return "converged"
		}
	}
	return h.wrongView()
}

// upstreams returns how many upstreams of a service a node has in its view, and how
// many of them do not serve.
func (h *harness) upstreams(name string, service jackdawbridge.ServiceName) string {
	peers, wrong := h.nodes[name].reducer.members.upstreams(nil, service), 0
	for _, peer := range peers {
		if n := h.byNode(peer.Node()); n == nil || !n.alive || n.reducer.self.State() != jackdawbridge.PeerServing {
			wrong++
		}
	}
	return fmt.Sprintf("upstreams: %d, of which do not serve: %d", len(peers), wrong)
}

// seedHolders returns the number of seed records of a data centre, and how many of
// them name a process that has ended.
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

// Estimated sizes of encoded parts of a message.
const (
	frameBytes = 60 // digest and seal, bytes
	peerBytes  = 60 // numbers, addresses and tags, bytes
	entryBytes = 60 // a key with its hash, bytes
)

func peerSize(peer jackdawbridge.Peer) int {
	return peerBytes + len(peer.Node().Instance()) + len(peer.DataCentre()) + len(peer.Service())
}

// frameSize returns the estimated encoded size of a frame in bytes.
func frameSize(frame jackdawbridge.Frame) int {
	size := frameBytes + peerSize(frame.From())
	var rumors []jackdawbridge.Rumor
	switch m := frame.Message().(type) {
	case *jackdawbridge.Probe:
		rumors = m.Rumors()
	case *jackdawbridge.ProbeAck:
		rumors = m.Rumors()
	case *jackdawbridge.IndirectProbe:
		size += peerSize(m.Target())
	case *jackdawbridge.Members:
		rumors = m.Rumors()
	case *jackdawbridge.TableDelta:
		size += entryBytes * len(m.Entries())
	}
	for _, r := range rumors {
		size += 3 + peerSize(r.Peer())
	}
	return size
}

// publishKeys publishes count keys of an account, numbered if there are several.
func (h *harness) publishKeys(key, account string, count int) error {
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

// setRecordState replaces a record of the platform by one that must not come into
// force, or restores the newest table if the state is "good".
func (h *harness) setRecordState(name jackdawbridge.RecordName, state string) (string, error) {
	h.store.unreadable = ""
	h.store.damagedAt = h.now
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
	case "odd": // written by another program
		h.store.put(name, jackdawbridge.NewDepartures([]jackdawbridge.DepartedProcess{{}}), 0)
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

// outdatedNode describes a running node that does not have the newest revisions in
// force. It returns "" if there is none.
func (h *harness) outdatedNode() string {
	for _, name := range h.nodeNames {
		n := h.nodes[name]
		if !n.up() {
			continue
		}
		for _, table := range []jackdawbridge.RecordName{jackdawbridge.ConfigTable, jackdawbridge.KeysTable} {
			want, got := h.published[table].Revision(), n.reducer.settings.revision(table)
			if got != want || !n.reducer.settings.ready() {
				return fmt.Sprintf("%s has %s revision %d in force (ready: %v), want %d", name, table, got, n.reducer.settings.ready(), want)
			}
		}
	}
	return ""
}

// waitInForce runs the nodes until all of them have the newest revisions in force,
// for at most the given time. It returns "in force" or a node that is outdated.
func (h *harness) waitInForce(within jackdawbridge.Millis) string {
	const interval = 100
	for range within / interval {
		h.run(interval)
		if h.outdatedNode() == "" {
			return "in force"
		}
	}
	return h.outdatedNode()
}

// revisions returns the revisions that a node has in force.
func (h *harness) revisions(name string) string {
	digest := h.nodes[name].reducer.Digest()
	return fmt.Sprintf("config %d, keys %d, ready %v", digest.Config(), digest.Keys(), h.nodes[name].reducer.settings.ready())
}

// keyOf returns the key hash in the name of a key's table entry. It returns false
// for the name of any other entry.
func keyOf(name string) (jackdawbridge.KeyHash, bool) {
	var hash jackdawbridge.KeyHash
	rest, ok := strings.CutPrefix(name, keyPrefix)
	if !ok {
		return hash, false
	}
	n, err := hex.Decode(hash[:], []byte(rest))
	return hash, err == nil && n == len(hash)
}

// watchers returns the running nodes of a data centre that watch the platform.
func (h *harness) watchers(dc jackdawbridge.DataCentre) []string {
	var names []string
	for _, name := range h.nodeNames {
		if n := h.nodes[name]; n.up() && n.peer.DataCentre() == dc && n.reducer.settings.watches() {
			names = append(names, name)
		}
	}
	return names
}

// lowestRanks returns the running nodes of a data centre whose rank by the hash of their
// names is below the given one.
func (h *harness) lowestRanks(dc jackdawbridge.DataCentre, below int) []string {
	var names []string
	for _, name := range h.nodeNames {
		if n := h.nodes[name]; n.up() && n.peer.DataCentre() == dc && n.reducer.members.hashRank < below {
			names = append(names, name)
		}
	}
	return names
}

// oldestConfirmation returns the age of the oldest confirmation of the tables at a
// running node. It returns a fixed text for ages below half of unconfirmedLimit, so
// that scripts need not state a number.
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

// lose drops the given percentage of frames, drawn with a fixed seed.
func (h *harness) lose(percent int) { h.setLinkFaults(percent, 0, 0) }

// setLinkFaults drops, repeats and delays the given percentages of frames, drawn
// with a fixed seed. A delay is shorter than 10 s.
func (h *harness) setLinkFaults(lost, repeated, late int) {
	random := rand.New(rand.NewPCG(1, uint64(lost)))
	h.onSend = func(*fakeNode, *fakeNode, jackdawbridge.Frame) linkFault {
		fault := linkFault{drop: random.IntN(100) < lost, repeat: random.IntN(100) < repeated}
		if random.IntN(100) < late {
			fault.delay = jackdawbridge.Millis(random.IntN(10_000))
		}
		return fault
	}
}
