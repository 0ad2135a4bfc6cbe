package reducer

import (
	"fmt"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
	"pgregory.net/rapid"
)

// TestSuspensions guards against state that two timers or indexes name and that ends in
// only one of them. A clock that jumps ahead makes timers due together that otherwise
// are due one after the other. It suspends nodes that serve calls for 1 ms to an hour,
// and checks the indexes of each node after each of its events.
func TestSuspensions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.withoutTrace = true
		if _, err := h.configure("account atlas 200 40 one:500,two:500\nroute s /r high idempotent\nroute s /w critical\nkey k atlas"); err != nil {
			t.Fatal(err)
		}
		h.afterStep = func(n *fakeNode) {
			if got := n.reducer.brokenIndex(); got != "" {
				t.Fatalf("%d ms: %s: %s", h.now-harnessOrigin, n.name, got)
			}
		}
		h.startFleet("a", "one", 3, "s", "")
		h.startFleet("b", "two", 2, "s", "")
		h.run(10 * jackdawbridge.Second)
		f := &randomFaults{h: h}
		calls := 0
		call := func(t *rapid.T) *fakeNode {
			n, path := f.node(t), rapid.SampledFrom([]string{"/r", "/w"}).Draw(t, "path")
			budget := jackdawbridge.Millis(rapid.IntRange(1, 20_000).Draw(t, "budget"))
			for range rapid.IntRange(1, 40).Draw(t, "calls") {
				calls++
				request := jackdawbridge.NewRequest(jackdawbridge.RequestID(fmt.Sprint("r", calls)), "s", "GET", path, budget).WithKey(keyHash("k"))
				if path == "/w" && calls%2 == 0 {
					request.WithIdempotencyKey(uuidAt(h.now, calls))
				}
				h.call(n.name, request)
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) { call(t) },
			"freeze": func(t *rapid.T) {
				n := call(t)
				h.run(jackdawbridge.Millis(rapid.IntRange(0, 10).Draw(t, "run")))
				if n.up() {
					h.freeze(n.name, suspension(t))
				}
			},
			"crash": func(t *rapid.T) {
				if n := f.node(t); n.up() {
					n.crash()
				}
			},
			"slow":   func(t *rapid.T) { f.node(t).serviceTime = jackdawbridge.Millis(rapid.IntRange(1, 3000).Draw(t, "ms")) },
			"cut":    f.cut,
			"heal":   f.heal,
			"change": f.change,
			"run": func(t *rapid.T) {
				h.run(jackdawbridge.Millis(rapid.IntRange(1, 3000).Draw(t, "ms")))
			},
		})
	})
}

// suspension draws a time from 1 ms to an hour. Those after which a node keeps its state
// are as likely as longer ones.
func suspension(t *rapid.T) jackdawbridge.Millis {
	most := rapid.SampledFrom([]int{50, int(FreezeGap), 3_600_000}).Draw(t, "most")
	return jackdawbridge.Millis(rapid.IntRange(1, most).Draw(t, "ms"))
}

// uuidAt returns an idempotency key that was created at an instant of virtual time.
func uuidAt(at jackdawbridge.Millis, number int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", uint64(at)>>16, uint64(at)&0xffff, number)
}

// brokenIndex describes an index of the reducer that names state which has ended, or
// lacks state that it must name. It returns "" if there is none.
func (r *Reducer) brokenIndex() string {
	held, waiting, running := 0, 0, 0
	for _, t := range r.shares.accounts {
		held, waiting = held+len(t.held), waiting+len(t.waiting)
		if _, ok := r.shares.requests[t.pendingID]; t.pendingID != 0 && !ok {
			return "an account awaits the answer to a request that has ended"
		}
	}
	for _, u := range r.runs.active {
		if u.state != runWaiting {
			running++
		}
	}
	pendingDead := 0
	for _, m := range r.members.known {
		if !m.live() {
			pendingDead++
		}
	}
	for _, broken := range []string{
		mismatch("calls.deadlines", r.calls.active, &r.calls.deadlines, true),
		mismatch("calls.backoffs", r.calls.active, &r.calls.backoffs, false),
		mismatch("shares.waitEnds", r.calls.active, &r.shares.waitEnds, false),
		mismatch("runs.deadlines", r.runs.active, &r.runs.deadlines, true),
		mismatch("shares.requestExpiry", r.shares.requests, &r.shares.requestExpiry, true),
		mismatch("shares.requestTimeouts", r.shares.requests, &r.shares.requestTimeouts, false),
		mismatch("shares.grantReturns", r.shares.grantOwners, &r.shares.grantReturns, true),
		mismatch("issuer.grantExpiry", r.shares.issuer.grants, &r.shares.issuer.grantExpiry, true),
		mismatch("issuer.idle", r.shares.issuer.buckets, &r.shares.issuer.idle, true),
		mismatch("issuer.inheritedExpiry", r.shares.issuer.inheritedTokens, &r.shares.issuer.inheritedExpiry, true),
		mismatch("once.startDue", r.once.pendingStarts, &r.once.startDue, true),
		mismatch("once.completionDue", r.once.pendingCompletions, &r.once.completionDue, true),
		mismatch("prober.deadline", r.members.prober.pending, &r.members.prober.deadline, true),
		mismatch("prober.suspects", r.members.known, &r.members.prober.suspects, false),
		mismatch("members.expiry", r.members.known, &r.members.expiry, false),
		mismatch("quarantine.expiry", r.quarantine.suspects, &r.quarantine.expiry, true),
		count("shares.grantOwners", len(r.shares.grantOwners), held),
		count("shares.waitEnds", r.shares.waitEnds.Len(), waiting),
		count("runs.running", r.runs.running, running),
		count("runs.tokens", len(r.runs.tokens), running),
		count("members.expiry", r.members.expiry.Len(), pendingDead),
	} {
		if broken != "" {
			return broken
		}
	}
	return ""
}

// mismatch describes a heap that has a key which the map lacks or, if the heap must be
// complete, the reverse.
func mismatch[K comparable, V any](name string, living map[K]V, index *heap.Heap[K, jackdawbridge.Millis], complete bool) string {
	both := 0
	for key := range living {
		if index.Contains(key) {
			both++
		} else if complete {
			return fmt.Sprintf("%s lacks %v", name, key)
		}
	}
	return count(name, index.Len(), both)
}

func count(name string, got, want int) string {
	if got == want {
		return ""
	}
	return fmt.Sprintf("%s has %d entries, want %d", name, got, want)
}
