package reducer

import (
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// The bounds of the stated target for control.
const (
	maxControlBytes    = 14_000 // per node and second
	maxControlMessages = 11     // per node and second: 14 KB in datagrams of 1200 bytes
)

// TestMembershipCost guards against control traffic of a node that grows with
// the size of the fleet, with the confirmations that an account asks for.
func TestMembershipCost(t *testing.T) {
	for _, size := range []int{8, 32, 128} {
		h := newHarness()
		if _, err := h.configure("account atlas 100 100 one:1000 refuse\nroute balancedesk /balance high idempotent\nkey k1 atlas"); err != nil {
			t.Fatal(err)
		}
		h.fleet("n", "one", size, "balancedesk", "")
		if got := h.converge(30 * jackdawbridge.Second); got != "converged" {
			t.Fatalf("%d nodes: %s", size, got)
		}
		h.run(30 * jackdawbridge.Second)
		const seconds = 60
		for _, name := range h.order {
			h.nodes[name].sent, h.nodes[name].bytes = 0, 0
		}
		h.run(seconds * jackdawbridge.Second)
		sent, bytes := 0, 0
		for _, name := range h.order {
			sent = max(sent, h.nodes[name].sent)
			bytes = max(bytes, h.nodes[name].bytes)
		}
		t.Logf("%d nodes: at most %.1f messages and %d bytes per node and second", size, float64(sent)/seconds, bytes/seconds)
		if sent > maxControlMessages*seconds || bytes > maxControlBytes*seconds {
			t.Errorf("%d nodes: a node sent %d messages and %d bytes in %d s: want at most %d and %d a second",
				size, sent, bytes, seconds, maxControlMessages, maxControlBytes)
		}
	}
}

// TestUpstreamsAllocateNothing guards against allocations and scans on the call
// path.
func TestUpstreamsAllocateNothing(t *testing.T) {
	h := newHarness()
	h.fleet("n", "one", 8, "balancedesk", "")
	h.fleet("m", "two", 8, "balancedesk", "")
	h.run(10 * jackdawbridge.Second)
	list := make([]jackdawbridge.Peer, 0, 64)
	members := &h.nodes["n1"].reducer.members
	allocs := testing.AllocsPerRun(100, func() { list = members.upstreams(list[:0], "balancedesk") })
	if allocs != 0 || len(list) < 8 {
		t.Errorf("%v allocations for %d upstreams: want 0 for at least 8", allocs, len(list))
	}
}

// TestIdleStepAllocatesNothing guards against a cost of membership and settings
// in each step of the call path, when nothing of theirs is due.
func TestIdleStepAllocatesNothing(t *testing.T) {
	h := newHarness()
	h.fleet("n", "one", 8, "balancedesk", "")
	h.run(10 * jackdawbridge.Second)
	n := h.nodes["n1"]
	tick := jackdawbridge.NewTick(n.reducer.now)
	allocs := testing.AllocsPerRun(100, func() {
		n.fx.Reset()
		n.reducer.Apply(tick, &n.fx)
	})
	if allocs != 0 || len(n.fx.All()) != 0 {
		t.Errorf("%v allocations and %d effects in a step with nothing due: want none", allocs, len(n.fx.All()))
	}
}

// TestSpreadOfAnnouncement guards against a draining backend server that other
// nodes learn of too late.
func TestSpreadOfAnnouncement(t *testing.T) {
	for _, percent := range []int{0, 20} {
		for _, size := range []int{8, 32, 128} {
			h := newHarness()
			h.fleet("n", "one", size, "balancedesk", "")
			h.run(30 * jackdawbridge.Second)
			h.lose(percent)
			h.announce("n3", "balancedesk", 4, true)
			began := h.now
			got := h.converge(2 * jackdawbridge.Second)
			t.Logf("%d nodes, %d%% lost: %s %d ms after the announcement", size, percent, got, h.now-began)
			if got != "converged" {
				t.Errorf("%d nodes, %d%% lost: %s", size, percent, got)
			}
		}
	}
}

// TestDetectionOfSilence guards against a crash without proof that is found too
// late. The bound is 3 s until some node probes the member, 1 s for the probe,
// the time to refute, and 2 s for the news.
func TestDetectionOfSilence(t *testing.T) {
	for _, size := range []int{8, 32, 128} {
		h := newHarness()
		h.fleet("n", "one", size, "balancedesk", "")
		h.run(30 * jackdawbridge.Second)
		bound := h.nodes["n0"].reducer.members.patience() + 6*jackdawbridge.Second
		h.kill("n3")
		began := h.now
		got := h.converge(bound)
		t.Logf("%d nodes: %s %d ms after the crash, want at most %d", size, got, h.now-began, bound)
		if got != "converged" {
			t.Errorf("%d nodes: %s", size, got)
		}
	}
}

// TestOlderProcessStops guards against two processes in one slot that both go
// on to act.
func TestOlderProcessStops(t *testing.T) {
	h := newHarness()
	h.fleet("n", "one", 3, "balancedesk", "")
	h.run(5 * jackdawbridge.Second)
	n := h.nodes["n1"]
	newer := jackdawbridge.NewPeer(jackdawbridge.NewNode("n1", uint64(h.now)+1), "one", n.peer.Addresses())
	frame := jackdawbridge.NewFrame(newer, jackdawbridge.Digest{}, jackdawbridge.NewProbe(1, nil))
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewReceived(at, frame) })
	h.run(10 * jackdawbridge.Second)
	if !n.exited {
		t.Errorf("the older process is %s, want it to have ended", n.reducer.self.State())
	}
}

// TestLookups guards against other parts being handed members that are gone, or
// an outdated set of upstreams.
func TestLookups(t *testing.T) {
	h := newHarness()
	h.fleet("n", "one", 4, "balancedesk", "")
	h.run(5 * jackdawbridge.Second)
	members := &h.nodes["n0"].reducer.members
	node, generation := h.nodes["n2"].peer.Node(), members.generation("balancedesk")
	if peer, ok := members.peer(node); !ok || !members.alive(node) || peer.Service() != "balancedesk" || len(members.random(8)) != 3 {
		t.Errorf("n2 is known: %v, alive: %v, of %d members", ok, members.alive(node), len(members.random(8)))
	}
	h.kill("n2")
	h.refusals("n0", "n2")
	if members.alive(node) || members.generation("balancedesk") == generation || len(members.random(8)) != 2 {
		t.Errorf("n2 is alive: %v, of %d members, after its end", members.alive(node), len(members.random(8)))
	}
}
