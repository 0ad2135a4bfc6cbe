package reducer

import (
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// Bounds on control traffic. The stated target gives the number of bytes. The numbers
// of messages follow from the intervals: membership and settings send as many at
// every fleet size, and a node answers vote requests of at most 64 holders and
// requests votes from 5 witnesses every 2 s.
const (
	maxControlBytes    = 14_000 // per node and second
	maxControlMessages = 11     // per node and second, without votes
	maxControlVotes    = (jackdawbridge.RangeCount + 5) / 2
)

// TestMembershipCost guards against control traffic per node that grows with the
// size of the fleet. One account must not be served without confirmation, so that the
// messages that confirm the tables count as well.
func TestMembershipCost(t *testing.T) {
	for _, size := range []int{8, 32, 128} {
		h := newHarness()
		if _, err := h.configure("account atlas 100 100 one:1000 refuse\nroute balancedesk /balance high idempotent\nkey k1 atlas"); err != nil {
			t.Fatal(err)
		}
		h.startFleet("n", "one", size, "balancedesk", "")
		if got := h.converge(30 * jackdawbridge.Second); got != "converged" {
			t.Fatalf("%d nodes: %s", size, got)
		}
		h.run(30 * jackdawbridge.Second)
		const seconds = 60
		for _, name := range h.nodeNames {
			h.nodes[name].messagesSent, h.nodes[name].votesSent, h.nodes[name].bytesSent = 0, 0, 0
		}
		h.run(seconds * jackdawbridge.Second)
		sent, votes, bytes := 0, 0, 0
		for _, name := range h.nodeNames {
			sent = max(sent, h.nodes[name].messagesSent-h.nodes[name].votesSent)
			votes = max(votes, h.nodes[name].votesSent)
			bytes = max(bytes, h.nodes[name].bytesSent)
		}
		t.Logf("%d nodes: at most %.1f messages, %.1f votes and %d bytes per node and second",
			size, float64(sent)/seconds, float64(votes)/seconds, bytes/seconds)
		if sent > maxControlMessages*seconds || votes > maxControlVotes*seconds || bytes > maxControlBytes*seconds {
			t.Errorf("%d nodes: a node sent %d messages, %d votes and %d bytes in %d s: want at most %d, %d and %d per second",
				size, sent, votes, bytes, seconds, maxControlMessages, maxControlVotes, maxControlBytes)
		}
	}
}

// TestUpstreamsAllocateNothing guards against allocations in the lookup of upstreams
// on the call path.
func TestUpstreamsAllocateNothing(t *testing.T) {
	h := newHarness()
	h.startFleet("n", "one", 8, "balancedesk", "")
	h.startFleet("m", "two", 8, "balancedesk", "")
	h.run(10 * jackdawbridge.Second)
	list := make([]jackdawbridge.Peer, 0, 64)
	members := &h.nodes["n1"].reducer.members
	allocs := testing.AllocsPerRun(100, func() { list = members.upstreams(list[:0], "balancedesk") })
	if allocs != 0 || len(list) < 8 {
		t.Errorf("%v allocations for %d upstreams: want 0 for at least 8", allocs, len(list))
	}
}

// TestIdleStepAllocatesNothing guards against work of membership and settings in
// each step of the call path when they have nothing to do.
func TestIdleStepAllocatesNothing(t *testing.T) {
	h := newHarness()
	h.startFleet("n", "one", 8, "balancedesk", "")
	h.run(10 * jackdawbridge.Second)
	n := h.nodes["n1"]
	tick := jackdawbridge.NewTick(n.reducer.now)
	allocs := testing.AllocsPerRun(100, func() {
		n.fx.Reset()
		n.reducer.Apply(tick, &n.fx)
	})
	if allocs != 0 || len(n.fx.All()) != 0 {
		t.Errorf("%v allocations and %d effects in a step with nothing to do: want none", allocs, len(n.fx.All()))
	}
}

// TestSpreadOfAnnouncement guards against an announcement of draining that reaches
// the other nodes later than after 2 s, in a large fleet or while one message in five
// is lost.
func TestSpreadOfAnnouncement(t *testing.T) {
	for _, percent := range []int{0, 20} {
		for _, size := range []int{8, 32, 128} {
			h := newHarness()
			h.startFleet("n", "one", size, "balancedesk", "")
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

// TestDetectionOfSilence guards against a crash that is detected too late when no
// refused connection proves it. The bound is 3 s until some node probes the member,
// 1 s for the probe, the suspicion timeout, and 2 s to spread the result.
func TestDetectionOfSilence(t *testing.T) {
	for _, size := range []int{8, 32, 128} {
		h := newHarness()
		h.startFleet("n", "one", size, "balancedesk", "")
		h.run(30 * jackdawbridge.Second)
		bound := h.nodes["n0"].reducer.members.suspicionTimeout() + 6*jackdawbridge.Second
		h.kill("n3")
		began := h.now
		got := h.converge(bound)
		t.Logf("%d nodes: %s %d ms after the crash, want at most %d", size, got, h.now-began, bound)
		if got != "converged" {
			t.Errorf("%d nodes: %s", size, got)
		}
	}
}

// TestOlderProcessStops guards against two processes of one instance that both
// continue to act. The older one must exit when it learns of the newer one.
func TestOlderProcessStops(t *testing.T) {
	h := newHarness()
	h.startFleet("n", "one", 3, "balancedesk", "")
	h.run(5 * jackdawbridge.Second)
	n := h.nodes["n1"]
	newer := jackdawbridge.NewPeer(jackdawbridge.NewNode("n1", uint64(h.now)+1), "one", n.peer.Addresses())
	frame := jackdawbridge.NewFrame(newer, jackdawbridge.Digest{}, jackdawbridge.NewProbe(1, nil))
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewReceived(at, frame) })
	h.run(10 * jackdawbridge.Second)
	if !n.exited {
		t.Errorf("the older process is still in state %s, want it to have exited", n.reducer.self.State())
	}
}

// TestLookups guards against lookups that return members which have ended, and
// against an unchanged generation when the set of upstreams has changed.
func TestLookups(t *testing.T) {
	h := newHarness()
	h.startFleet("n", "one", 4, "balancedesk", "")
	h.run(5 * jackdawbridge.Second)
	members := &h.nodes["n0"].reducer.members
	node, generation := h.nodes["n2"].peer.Node(), members.generation("balancedesk")
	if peer, ok := members.peer(node); !ok || !members.alive(node) || peer.Service() != "balancedesk" || len(members.random(8)) != 3 {
		t.Errorf("n2 is in the view: %v, alive: %v, other members: %d; want true, true, 3", ok, members.alive(node), len(members.random(8)))
	}
	h.kill("n2")
	h.reportRefused("n0", "n2")
	if members.alive(node) || members.generation("balancedesk") == generation || len(members.random(8)) != 2 {
		t.Errorf("n2 is alive after its end: %v, other members: %d; want false, 2 and a new generation", members.alive(node), len(members.random(8)))
	}
}
