package reducer

import (
	"fmt"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/queue"
	"pgregory.net/rapid"
)

// callTree runs requests with random call trees through a few nodes.
type callTree struct {
	*harness
	t         *rapid.T
	calls     int // made by the caller and by backend servers
	attempts  int // of all calls
	callsLeft int // how many more calls may be made
	depth     int // of the deepest run
}

// newCallTree starts nodes that each have a backend server of the service "s".
func newCallTree(t *rapid.T, nodes, slots int) *callTree {
	h := newHarness()
	h.strategies = func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewCompletion(), limiter.NewAdaptive(1), queue.NewPriority(64)
	}
	if _, err := h.configure("account a 1000 1000 one:1000\nroute s /idempotent high idempotent\nroute s /once critical\nkey k a"); err != nil {
		t.Fatal(err)
	}
	for i := range nodes {
		name := fmt.Sprint("n", i)
		if i == 0 {
			h.start(name, "one")
		} else {
			h.start(name, "one", "n0")
		}
		h.announce(name, "s", slots, false)
	}
	h.run(3 * jackdawbridge.Second)
	return &callTree{harness: h, t: t, callsLeft: 60}
}

// TestAllowanceBoundsTree guards against retries that multiply over a call tree, as
// they do if each node retries without regard to the others. The attempts of a request
// may exceed its calls by at most the retry allowance, at any depth and fan-out and for
// any outcome of the attempts.
func TestAllowanceBoundsTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCallTree(t, 4, 64)
		transferTime := jackdawbridge.Millis(rapid.SampledFrom([]int{0, 200}).Draw(t, "transfer time"))
		for _, name := range w.nodeNames {
			w.nodes[name].transferTime = transferTime
		}
		chain := rapid.Bool().Draw(t, "chain") // one call at each depth down to the greatest
		w.onRun = func(n *fakeNode, id jackdawbridge.CallID, token jackdawbridge.Token) bool {
			w.serve(n, id, token, chain)
			return true
		}
		w.onForward = func(*fakeNode, *jackdawbridge.Forward) { w.attempts++ }
		w.makeCall(w.nodes["n0"], jackdawbridge.Token{})
		w.run(20 * jackdawbridge.Second)
		if w.attempts > w.calls+defaultRetryAllowance {
			t.Fatalf("%d attempts for %d calls: want at most %d more", w.attempts, w.calls, defaultRetryAllowance)
		}
		if w.depth > jackdawbridge.MaxDepth {
			t.Fatalf("a run at depth %d: want at most %d", w.depth, jackdawbridge.MaxDepth)
		}
		w.requireIdle(t)
	})
}

// makeCall makes a call at a node.
func (w *callTree) makeCall(n *fakeNode, token jackdawbridge.Token) {
	w.calls++
	w.callsLeft--
	path := rapid.SampledFrom([]string{"/idempotent", "/once"}).Draw(w.t, "path")
	request := jackdawbridge.NewRequest("r", "s", "POST", path, 5000).WithKey(keyHash("k"))
	n.arrive(request.WithToken(token))
}

// serve acts as the backend server for a run. It makes up to three calls, or exactly
// one with chain, each after a random delay, and makes none once callsLeft is 0. It
// answers or fails the run after another random delay, possibly before the calls.
func (w *callTree) serve(n *fakeNode, id jackdawbridge.CallID, token jackdawbridge.Token, chain bool) {
	u := n.runs[id]
	w.depth = max(w.depth, u.envelope.Depth())
	fanOut := 1
	if !chain {
		fanOut = rapid.IntRange(0, 3).Draw(w.t, "fan-out")
	}
	for range fanOut {
		delay := jackdawbridge.Millis(rapid.IntRange(1, 200).Draw(w.t, "delay"))
		w.after(delay, func() {
			if w.callsLeft > 0 {
				w.makeCall(n, token)
			}
		})
	}
	end := rapid.SampledFrom([]string{"served", "not-run", "unknown"}).Draw(w.t, "end")
	if chain && u.envelope.Depth() < jackdawbridge.MaxDepth {
		end = rapid.SampledFrom([]string{"served", "served", "unknown"}).Draw(w.t, "end of chain")
	}
	span := jackdawbridge.Millis(rapid.IntRange(30, 400).Draw(w.t, "span"))
	w.after(span, func() {
		if u.ended {
			return
		}
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			switch end {
			case "not-run":
				return jackdawbridge.NewRunFinished(at, id, jackdawbridge.NotRun, 0)
			case "unknown":
				return jackdawbridge.NewRunFinished(at, id, jackdawbridge.Unknown, 0)
			}
			return jackdawbridge.NewRunAnswered(at, id, 200)
		})
	})
}

// requireIdle fails the test if a node keeps any state of calls or runs after all
// calls have ended.
func (w *callTree) requireIdle(t *rapid.T) {
	for _, name := range w.nodeNames {
		r := w.nodes[name].reducer
		got := []int{
			r.runs.running, len(r.runs.active), len(r.runs.tokens), r.runs.queue.Len(),
			len(r.calls.active), r.calls.backoffs.Len(), r.calls.deadlines.Len(), r.runs.deadlines.Len(),
		}
		for i, n := range got {
			if n != 0 {
				t.Fatalf("node %s has %v (running, runs, tokens, queue; calls, backoffs, call deadlines, run deadlines) after all calls have ended: want 0 at index %d", name, got, i)
			}
		}
		for node, o := range r.routes.observations {
			if o.inFlight != 0 {
				t.Fatalf("node %s counts %d calls in flight at %s after all have ended: want none", name, o.inFlight, node)
			}
		}
	}
}

// TestSlotsNeverLeak guards against a slot that stays occupied after its run, and
// against a run that must be exclusive but overlaps one of another request. In
// whichever order runs are answered, finished and cancelled, by the caller or at their
// deadline, no run may remain.
func TestSlotsNeverLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 16
		w := newCallTree(t, 2, slots)
		exclusive := rapid.Bool().Draw(t, "exclusive")
		if exclusive {
			for _, name := range w.nodeNames {
				w.nodes[name].exclusivePath = "/once"
			}
		}
		w.onRun = func(n *fakeNode, id jackdawbridge.CallID, token jackdawbridge.Token) bool {
			w.endRandomly(n, id, token)
			return true
		}
		w.afterStep = func(n *fakeNode) { w.requireExclusive(t, n, slots) }
		count := rapid.IntRange(1, 40).Draw(t, "calls")
		for range count {
			w.after(jackdawbridge.Millis(rapid.IntRange(0, 200).Draw(t, "at")), func() {
				n := w.nodes[rapid.SampledFrom(w.nodeNames).Draw(t, "entry")]
				path := rapid.SampledFrom([]string{"/idempotent", "/once"}).Draw(t, "path")
				budget := jackdawbridge.Millis(rapid.IntRange(1, 600).Draw(t, "budget"))
				id := n.arrive(jackdawbridge.NewRequest(jackdawbridge.RequestID(fmt.Sprint("r", w.nextCall)), "s", "POST", path, budget).WithKey(keyHash("k")))
				if rapid.Bool().Draw(t, "cancelled") {
					w.after(jackdawbridge.Millis(rapid.IntRange(0, 300).Draw(t, "cancel")), func() {
						n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewCallCancelled(at, id) })
					})
				}
			})
		}
		w.run(20 * jackdawbridge.Second)
		w.requireIdle(t)
	})
}

// endRandomly ends a run with a random sequence of events, some of them repeated or
// too late. It may make a call first.
func (w *callTree) endRandomly(n *fakeNode, id jackdawbridge.CallID, token jackdawbridge.Token) {
	if w.callsLeft > 0 && rapid.Bool().Draw(w.t, "child") {
		w.after(5, func() { w.makeCall(n, token) })
	}
	for range rapid.IntRange(0, 3).Draw(w.t, "events") {
		kind := rapid.IntRange(0, 2).Draw(w.t, "event")
		w.after(jackdawbridge.Millis(rapid.IntRange(1, 300).Draw(w.t, "when")), func() {
			n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
				switch kind {
				case 0:
					return jackdawbridge.NewRunAnswered(at, id, 200)
				case 1:
					return jackdawbridge.NewRunFinished(at, id, jackdawbridge.Unknown, 0)
				}
				return jackdawbridge.NewCallCancelled(at, id)
			})
		})
	}
}

// requireExclusive fails the test if a run that must be exclusive is not, or if there
// are more runs than slots.
func (w *callTree) requireExclusive(t *rapid.T, n *fakeNode, slots int) {
	r := n.reducer
	if r.runs.running != len(r.runs.tokens) || r.runs.running > slots {
		t.Fatalf("node has %d runs in progress and %d tokens of runs: want the same number, at most %d", r.runs.running, len(r.runs.tokens), slots)
	}
	for _, u := range r.runs.tokens {
		if !u.envelope.Exclusive() {
			continue
		}
		for _, other := range r.runs.tokens {
			if other.envelope.ID() != u.envelope.ID() {
				t.Fatalf("request %s runs at the same time as %s, which must run exclusively", other.envelope.ID(), u.envelope.ID())
			}
		}
	}
}

// TestCancellationReachesChildren guards against runs that continue after the caller
// has cancelled its request or after its deadline, because a node ends its own run but
// not the calls that the run has made. Both must end the whole call tree.
func TestCancellationReachesChildren(t *testing.T) {
	for name, cancelled := range map[string]bool{"cancelled": true, "deadline": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newCallTree(t, 3, 16)
				started := 0
				w.onRun = func(n *fakeNode, _ jackdawbridge.CallID, token jackdawbridge.Token) bool {
					if started++; started < 5 {
						w.after(5, func() { w.makeCall(n, token) })
					}
					return true
				}
				id := w.nodes["n0"].arrive(jackdawbridge.NewRequest("r", "s", "POST", "/once", 200).WithKey(keyHash("k")))
				end := 205 * jackdawbridge.Millis(1)
				if cancelled {
					end = 110
					w.after(100, func() {
						w.nodes["n0"].apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewCallCancelled(at, id) })
					})
				}
				w.run(99)
				if started != 5 {
					t.Fatalf("%d runs started before the end of the request: want 5", started)
				}
				w.run(end - 99)
				w.requireIdle(t)
			})
		})
	}
}
