package reducer

import (
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// newConfiguredHarness returns a harness with an account that has the given number
// of keys.
func newConfiguredHarness(t *testing.T, keys int) *harness {
	t.Helper()
	h := newHarness()
	if _, err := h.configure("account atlas 100 100 one:1000\nroute balancedesk /balance high idempotent"); err != nil {
		t.Fatal(err)
	}
	if err := h.publishKeys("k", "atlas", keys); err != nil {
		t.Fatal(err)
	}
	return h
}

// TestPlatformRequestsPerChange guards against a number of requests to the platform
// that grows with the nodes of a data centre. At each change every watcher is
// answered and watches again. In addition both tables are read periodically.
func TestPlatformRequestsPerChange(t *testing.T) {
	const changes = 10
	for _, size := range []int{8, 32} {
		h := newConfiguredHarness(t, 4)
		h.startFleet("n", "one", size, "balancedesk", "")
		h.run(60 * jackdawbridge.Second)
		count := func(change bool) (requests, watches int) {
			requests, watches = h.store.reads+h.store.writes, h.store.watches
			for range changes {
				if change {
					h.change(jackdawbridge.ConfigTable, h.config...)
				}
				h.run(12 * jackdawbridge.Second)
			}
			return h.store.reads + h.store.writes - requests, h.store.watches - watches
		}
		idle, _ := count(false)
		busy, watches := count(true)
		if got := h.outdatedNode(); got != "" {
			t.Fatal(got)
		}
		t.Logf("%d nodes: %d requests to the platform in 120 s without a change, %d with %d changes, of which %d watches", size, idle, busy, changes, watches)
		if watches != watchers*changes {
			t.Errorf("%d nodes: %d watches of the platform for %d changes: want %d per change", size, watches, changes, watchers)
		}
		// 2 watchers read 2 tables every 15 s, 3 holders of seed records renew them
		// every 10 s, and 3 members may each check a seed record, at least 7.5 s apart.
		const background = 2*2*9 + 3*13 + 3*16
		if idle > background || busy > background+watchers*changes {
			t.Errorf("%d nodes: %d requests to the platform in 120 s without changes and %d with: want at most %d and %d", size, idle, busy, background, background+watchers*changes)
		}
	}
}

// TestSpreadOfChange guards against the withdrawal of a key that is in force too late
// at some node, also while one message in five is lost.
func TestSpreadOfChange(t *testing.T) {
	const changes = 8
	for _, percent := range []int{0, 20} {
		for _, size := range []int{8, 32, 128} {
			h := newConfiguredHarness(t, 4)
			h.startFleet("n", "one", size, "balancedesk", "")
			h.run(30 * jackdawbridge.Second)
			h.lose(percent)
			worst := jackdawbridge.Millis(0)
			for range changes {
				h.run(3 * jackdawbridge.Second)
				began := h.now
				h.change(jackdawbridge.KeysTable, jackdawbridge.Tombstone(jackdawbridge.KeyEntryName(keyHash("k1"))))
				for h.outdatedNode() != "" && h.now-began < 2*spreadLimit {
					h.run(10)
				}
				worst = max(worst, h.now-began)
			}
			t.Logf("%d nodes, %d%% lost: in force everywhere after at most %d ms", size, percent, worst)
			if worst > spreadLimit {
				t.Errorf("%d nodes, %d%% lost: in force after %d ms: want at most %d", size, percent, worst, spreadLimit)
			}
		}
	}
}

// TestIdentifyAllocatesNothing guards against allocations when a request's account
// is identified on the call path.
func TestIdentifyAllocatesNothing(t *testing.T) {
	h := newConfiguredHarness(t, 1000)
	h.startFleet("n", "one", 2, "balancedesk", "")
	h.run(2 * jackdawbridge.Second)
	settings := &h.nodes["n1"].reducer.settings
	service, ok := settings.service("balancedesk")
	if !ok {
		t.Fatal("service balancedesk is not configured")
	}
	route := service.Route("GET", "/balance")
	request := jackdawbridge.NewRequest("r", "balancedesk", "GET", "/balance", 1000)
	request.WithKey(keyHash("k7"))
	allocs := testing.AllocsPerRun(100, func() {
		if account, _, reason := settings.identify(request, route); account != "atlas" {
			t.Fatalf("identified %q: %s", account, reason)
		}
	})
	if allocs != 0 {
		t.Errorf("%v allocations for an identified request: want 0", allocs)
	}
}

// TestDeltaBounds guards against table deltas that grow without bound, and against a
// delta for a node that is so far behind that a tombstone which it needs may have been
// dropped. In both cases the whole table must be sent.
func TestDeltaBounds(t *testing.T) {
	for _, c := range []struct {
		name  string
		keys  int
		later int  // changes published after the node's revision
		whole bool // the whole table must be sent
	}{
		{"one change", 1000, 1, false},
		{"many changed entries", 1, 300, true},
		{"far behind", 1, 600, true},
	} {
		h := newConfiguredHarness(t, c.keys)
		h.startFleet("n", "one", 2, "balancedesk", "")
		h.run(2 * jackdawbridge.Second)
		since := h.published[jackdawbridge.KeysTable].Revision()
		for i := range c.later {
			key := "x"
			if !c.whole || c.name != "far behind" {
				key += string(rune('a' + i))
			}
			if err := h.publishKeys(key, "atlas", 1); err != nil {
				t.Fatal(err)
			}
		}
		h.run(2 * jackdawbridge.Second)
		var sent *jackdawbridge.TableDelta
		h.onSend = func(_, _ *fakeNode, frame jackdawbridge.Frame) linkFault {
			if d, ok := frame.Message().(*jackdawbridge.TableDelta); ok {
				sent = d
			}
			return linkFault{}
		}
		pull := jackdawbridge.NewFrame(h.nodes["n0"].reducer.self, jackdawbridge.Digest{}, jackdawbridge.NewPull(jackdawbridge.KeysTable, since))
		h.nodes["n1"].apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewReceived(at, pull) })
		if sent == nil || (sent.Since() == 0) != c.whole || !c.whole && len(sent.Entries()) != c.later {
			t.Errorf("%s: got %+v, want the whole table: %v", c.name, sent, c.whole)
		}
	}
}
