package reducer

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

// leaveLimit is how long a backend server may still receive new requests after it has
// announced that it drains, or after a stop of its node was requested.
const leaveLimit = 3 * jackdawbridge.Second

// openCall is a call or a run that a node has not finished.
type openCall struct {
	id       jackdawbridge.CallID
	arrived  jackdawbridge.Millis
	deadline jackdawbridge.Millis
	run      bool // a run, not a call
}

// matrixChecks checks the invariants of the design in a matrix run, on the events
// and effects of the nodes. It includes the checkers of settings and of shares.
type matrixChecks struct {
	h         *harness
	settings  *invariantCheckers
	shares    *shareChecker
	violation string               // first violation
	faulty    bool                 // a fault has been injected
	healed    jackdawbridge.Millis // when the faults ended, 0 until then
	probes    int                  // how many times probe has sent requests to a node

	currentEvent jackdawbridge.Event                                      // the event that is being applied
	accounts     map[jackdawbridge.RequestID]jackdawbridge.AccountName    // of the key that came with the request
	hashes       map[jackdawbridge.KeyHash]jackdawbridge.AccountName      // accounts of all keys ever published
	withdrawn    map[jackdawbridge.KeyHash]jackdawbridge.Millis           // when a key was withdrawn, unless published again
	retries      map[jackdawbridge.RequestID]int                          // number of retries over the call tree
	runCounts    map[jackdawbridge.CallID]int                             // number of runs, by run and by the call that caused it
	notRun       map[jackdawbridge.CallID]bool                            // refused as not run
	ended        map[jackdawbridge.CallID]bool                            // calls that have an answer
	onceRuns     map[string]int                                           // number of runs of non-idempotent requests, see checkOnce
	openCalls    map[*fakeNode]map[jackdawbridge.CallID]*openCall         // by node
	leaving      map[*fakeNode]jackdawbridge.Millis                       // when the backend server began to leave
	children     map[jackdawbridge.CallID]func(served bool, at *fakeNode) // what to do when a fake backend server's call ends
}

func newMatrixChecks(h *harness) *matrixChecks {
	c := &matrixChecks{
		h:         h,
		accounts:  make(map[jackdawbridge.RequestID]jackdawbridge.AccountName),
		hashes:    make(map[jackdawbridge.KeyHash]jackdawbridge.AccountName),
		withdrawn: make(map[jackdawbridge.KeyHash]jackdawbridge.Millis),
		retries:   make(map[jackdawbridge.RequestID]int),
		runCounts: make(map[jackdawbridge.CallID]int),
		notRun:    make(map[jackdawbridge.CallID]bool),
		ended:     make(map[jackdawbridge.CallID]bool),
		onceRuns:  make(map[string]int),
		openCalls: make(map[*fakeNode]map[jackdawbridge.CallID]*openCall),
		leaving:   make(map[*fakeNode]jackdawbridge.Millis),
		children:  make(map[jackdawbridge.CallID]func(bool, *fakeNode)),
	}
	c.settings = h.installCheckers(c.report)
	changed := h.onChange
	h.onChange = func(name jackdawbridge.RecordName, revision uint64, entries []jackdawbridge.Entry) {
		changed(name, revision, entries)
		c.recordChange(entries)
	}
	c.shares = newShareChecker(h)
	before := h.afterStep
	h.afterStep = func(n *fakeNode) {
		before(n)
		if c.shares.violation != "" {
			c.report("shares: %s", c.shares.violation)
		}
	}
	return c
}

// report records a violation, if it is the first.
func (c *matrixChecks) report(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("%d ms: ", c.h.now-harnessOrigin) + fmt.Sprintf(format, args...)
	}
}

func (c *matrixChecks) recordChange(entries []jackdawbridge.Entry) {
	for _, e := range entries {
		hash, ok := keyOf(e.Name())
		if !ok {
			continue
		}
		if e.Removed() {
			c.withdrawn[hash] = c.h.now
			continue
		}
		c.hashes[hash] = e.Key().Account()
		delete(c.withdrawn, hash)
	}
}

// event is called before an event is applied at a node.
func (c *matrixChecks) event(n *fakeNode, e jackdawbridge.Event) {
	c.currentEvent = e
	if c.openCalls[n] == nil {
		c.openCalls[n] = make(map[jackdawbridge.CallID]*openCall)
	}
	switch e := e.(type) {
	case *jackdawbridge.CallArrived:
		c.openCalls[n][e.Call()] = &openCall{id: e.Call(), arrived: c.h.now, deadline: c.h.now + e.Request().Budget()}
		if hash, ok := e.Request().Key(); ok {
			c.accounts[e.Request().ID()] = c.hashes[hash]
		}
	case *jackdawbridge.ForwardArrived:
		c.openCalls[n][e.Call()] = &openCall{id: e.Call(), arrived: c.h.now, deadline: c.h.now + e.Envelope().Budget(), run: true}
	case *jackdawbridge.CallFinished:
		delete(c.openCalls[n], e.Call())
	case *jackdawbridge.RunFinished:
		delete(c.openCalls[n], e.Call())
	case *jackdawbridge.CallCancelled:
		delete(c.openCalls[n], e.Call())
	case *jackdawbridge.StopRequested:
		c.leave(n)
	case *jackdawbridge.BackendAnnounced:
		if e.Draining() {
			c.leave(n)
		} else if !n.reducer.drain.stopping {
			delete(c.leaving, n)
		}
	}
}

func (c *matrixChecks) leave(n *fakeNode) {
	if _, ok := c.leaving[n]; !ok {
		c.leaving[n] = c.h.now
	}
}

// effect is called before an effect of a node is executed.
func (c *matrixChecks) effect(n *fakeNode, e jackdawbridge.Effect) {
	switch e := e.(type) {
	case *jackdawbridge.Forward:
		c.checkKey(n, e)
		c.checkRetries(n, e)
		c.checkWithdrawal(n, e)
	case *jackdawbridge.Run:
		c.checkKey(n, e)
		c.checkAccount(n, e)
		c.checkLeaving(n, e)
		c.checkRan(n, e)
		c.checkOnce(n, e)
	case *jackdawbridge.Deliver:
		c.checkAnswer(n, e)
	case *jackdawbridge.Refuse:
		c.checkOrder(n, e)
		c.checkNotRun(n, e)
		delete(c.openCalls[n], e.Call())
	case *jackdawbridge.Cancel:
		// A call or run that is cancelled at or after its deadline has ended. A Refuse
		// effect or an event that reports its end need not follow.
		if o := c.openCalls[n][e.Call()]; o != nil && c.h.now >= o.deadline {
			delete(c.openCalls[n], e.Call())
		}
	case *jackdawbridge.Exit:
		c.checkStop(n)
	}
}

// checkRetries reports a caller's request that causes more retries than its
// allowance, counted over its call tree (invariant 1).
func (c *matrixChecks) checkRetries(n *fakeNode, e *jackdawbridge.Forward) {
	id := e.Envelope().ID()
	if e.Attempt() > 1 {
		c.retries[id]++
	}
	if c.retries[id] > defaultRetryAllowance {
		c.report("retries: request %s was retried %d times, last at %s", id, c.retries[id], n.name)
	}
}

// queueAgeStep is how long a request that is not critical may wait in a standing
// queue before it is refused for its age, per step of its rank.
const queueAgeStep = 100 * jackdawbridge.Millis(1)

// checkOrder reports a node that refuses a request for overload while a less
// important one waits (invariant 2). A request that is not critical may be refused
// for its age in a standing queue.
func (c *matrixChecks) checkOrder(n *fakeNode, e *jackdawbridge.Refuse) {
	u, ok := n.runs[e.Call()]
	if !ok || e.Refusal().Reason() != jackdawbridge.Overloaded {
		return
	}
	rank := jackdawbridge.Rank(u.envelope.Criticality(), u.envelope.PaidPriority())
	if o := c.openCalls[n][e.Call()]; o != nil && rank < jackdawbridge.CriticalRank && c.h.now-o.arrived > queueAgeStep*jackdawbridge.Millis(rank) {
		return
	}
	for _, w := range n.reducer.runs.active {
		if other := jackdawbridge.Rank(w.envelope.Criticality(), w.envelope.PaidPriority()); w.state == runWaiting && other < rank {
			c.report("order: %s sheds %s of rank %d while %s of rank %d waits", n.name, u.envelope.ID(), rank, w.envelope.ID(), other)
		}
	}
}

// checkAccount reports a request that runs for an account other than that of its
// key, or without a key on a route that is not open (invariant 3).
func (c *matrixChecks) checkAccount(n *fakeNode, e *jackdawbridge.Run) {
	envelope := n.runs[e.Call()].envelope
	want, keyed := c.accounts[envelope.ID()]
	if got := envelope.Account(); got != want || !keyed || got == "" {
		c.report("account: %s runs %s for account %q, but its key belongs to %q", n.name, envelope.ID(), got, want)
	}
}

// checkKey reports a message to another node or to a backend server that contains
// the hash of a key (invariant 4).
func (c *matrixChecks) checkKey(n *fakeNode, e jackdawbridge.Effect) {
	var part any
	switch e := e.(type) {
	case *jackdawbridge.Forward:
		part = e.Envelope()
	case *jackdawbridge.Run:
		part = *e
	}
	text := fmt.Sprintf("%x", part) // fields and strings in hexadecimal
	for hash := range c.hashes {
		plain := hex.EncodeToString(hash[:])
		if strings.Contains(text, plain) || strings.Contains(text, hex.EncodeToString([]byte(plain))) {
			c.report("key: %s sends the hash of a key to another process", n.name)
		}
	}
}

// checkWithdrawal reports a withdrawn key that is admitted after the limit
// (invariant 5). For an account that must not be served without confirmation the
// limit is unconfirmedLimit after the withdrawal, also during faults. For any other
// it is spreadLimit after the withdrawal and after the end of the faults.
func (c *matrixChecks) checkWithdrawal(n *fakeNode, e *jackdawbridge.Forward) {
	request := n.requests[e.Call()]
	hash, ok := request.Key()
	at, gone := c.withdrawn[hash]
	if !ok || !gone || e.Attempt() > 1 {
		return
	}
	limit := at + unconfirmedLimit
	account, found := n.reducer.settings.index.accounts[e.Envelope().Account()]
	if !found || account.ServeUnconfirmed() {
		if c.faulty && c.healed == 0 {
			return
		}
		limit = max(at, c.healed) + spreadLimit
	}
	if c.h.now > limit {
		c.report("withdrawal: %s admits a key that was withdrawn %d ms ago", n.name, c.h.now-at)
	}
}

// checkAnswer reports a caller that receives a second answer or the answer to
// another request (invariant 7).
func (c *matrixChecks) checkAnswer(n *fakeNode, e *jackdawbridge.Deliver) {
	if u, ok := n.runs[e.Call()]; ok {
		if a, is := c.currentEvent.(*jackdawbridge.RunAnswered); !is || a.Call() != e.Call() {
			c.report("answers: %s delivers an answer of run %d of %s, whose backend server has not answered", n.name, e.Call(), u.envelope.ID())
		}
		return
	}
	a, is := c.currentEvent.(*jackdawbridge.AttemptAnswered)
	if !is || a.Call() != e.Call() || a.Attempt() != e.Attempt() || a.Outcome() != jackdawbridge.Served {
		c.report("answers: %s delivers to %s the answer to another request", n.name, n.requests[e.Call()].ID())
	}
	c.recordEnd(n, e.Call())
}

func (c *matrixChecks) recordEnd(n *fakeNode, id jackdawbridge.CallID) {
	if c.ended[id] {
		c.report("answers: %s answers %s a second time", n.name, n.requests[id].ID())
	}
	c.ended[id] = true
}

// checkNotRun reports a request that is refused as not run although it has run
// (invariant 8).
func (c *matrixChecks) checkNotRun(n *fakeNode, e *jackdawbridge.Refuse) {
	id := e.Call()
	not := e.Refusal().Outcome() == jackdawbridge.NotRun
	if u, ok := n.runs[id]; ok {
		if not && c.runCounts[id] > 0 {
			c.report("not run: %s refuses %s as not run, but it has run there", n.name, u.envelope.ID())
		}
		return
	}
	c.recordEnd(n, id)
	c.notRun[id] = c.notRun[id] || not
	if not && c.runCounts[id] > 0 {
		c.report("not run: %s refuses %s as not run, but it has run", n.name, n.requests[id].ID())
	}
}

// checkRan reports a request that runs after it was refused to its caller as not
// run.
func (c *matrixChecks) checkRan(n *fakeNode, e *jackdawbridge.Run) {
	u := n.runs[e.Call()]
	c.runCounts[u.call]++
	c.runCounts[e.Call()]++
	if c.notRun[u.call] {
		c.report("not run: %s runs %s, which was refused to its caller as not run", n.name, u.envelope.ID())
	}
}

// checkOnce reports a non-idempotent request that runs twice (invariant 9). Requests
// with the same idempotency key count as one.
func (c *matrixChecks) checkOnce(n *fakeNode, e *jackdawbridge.Run) {
	u := n.runs[e.Call()]
	if u.envelope.Idempotent() {
		return
	}
	id := fmt.Sprint(u.call)
	if text := u.origin.requests[u.call].IdempotencyKey(); text != "" {
		id = string(u.envelope.Account()) + " " + text
	}
	if c.onceRuns[id]++; c.onceRuns[id] > 1 {
		c.report("once: %s runs %s, which has run before", n.name, u.envelope.ID())
	}
}

// checkLeaving reports a backend server that receives a new request more than
// leaveLimit after it began to leave (invariant 10).
func (c *matrixChecks) checkLeaving(n *fakeNode, e *jackdawbridge.Run) {
	since, ok := c.leaving[n]
	if o := c.openCalls[n][e.Call()]; ok && o != nil && o.arrived > since+leaveLimit {
		c.report("leaving: %s runs %s, which arrived %d ms after the backend server began to leave", n.name, n.runs[e.Call()].envelope.ID(), o.arrived-since)
	}
}

// checkStop reports a process that exits while it has unfinished calls or runs
// (invariant 11).
func (c *matrixChecks) checkStop(n *fakeNode) {
	for _, id := range slices.Sorted(maps.Keys(c.openCalls[n])) {
		o := c.openCalls[n][id]
		c.report("stop: %s exits with an unfinished call %d (run: %v) that arrived %d ms ago", n.name, o.id, o.run, c.h.now-o.arrived)
	}
}

// serve acts as the backend server for a request that makes a further call: its path
// is "/tree/" followed by the service of that call. It returns false for any other
// request.
func (c *matrixChecks) serve(n *fakeNode, id jackdawbridge.CallID, token jackdawbridge.Token) bool {
	u := n.runs[id]
	service, ok := strings.CutPrefix(u.request.Path(), "/tree/")
	if !ok {
		return false
	}
	c.h.executions = append(c.h.executions, execution{at: c.h.now, node: n.name, request: u.envelope.ID(), account: u.envelope.Account()})
	answer := func(at *fakeNode) {
		if !u.ended && at.alive {
			at.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewRunAnswered(at, id, 200) })
		}
	}
	c.h.after(n.serviceTime, func() {
		if u.ended || !n.alive {
			return
		}
		child := jackdawbridge.NewRequest(u.request.ID()+".child", jackdawbridge.ServiceName(service), "GET", "/child", 1000)
		c.children[c.h.nextCall+1] = func(_ bool, at *fakeNode) { c.h.after(1, func() { answer(at) }) }
		n.arrive(child.WithToken(token))
	})
	return true
}

// childEnded continues the run that made a call which has ended.
func (c *matrixChecks) childEnded(n *fakeNode, call jackdawbridge.CallID, end result) {
	if then, ok := c.children[call]; ok {
		delete(c.children, call)
		then(end.served, n)
	}
}

// probe sends a read and a write request to each node that should serve. It
// describes the first request that is not served, or returns "".
func (c *matrixChecks) probe() string {
	var ids []jackdawbridge.RequestID
	for _, name := range c.h.nodeNames {
		n := c.h.nodes[name]
		if _, leaving := c.leaving[n]; !n.up() || leaving {
			continue
		}
		c.probes++
		id := jackdawbridge.RequestID(fmt.Sprintf("probe-%s-%d", name, c.probes))
		ids = append(ids, id+"r", id+"w")
		c.h.call(name, jackdawbridge.NewRequest(id+"r", "desk", "GET", "/read", 1000).WithKey(keyHash("probe")))
		c.h.call(name, jackdawbridge.NewRequest(id+"w", "desk", "POST", "/write", 1000).WithKey(keyHash("probe")).WithIdempotencyKey(c.newKey()))
	}
	c.h.run(1100)
	for _, id := range ids {
		if r := c.h.results[id]; !r.served {
			return fmt.Sprintf("%s is not served: %s", id, r.refusal.Reason())
		}
	}
	return ""
}

// newKey returns a new idempotency key, a UUID with the present time.
func (c *matrixChecks) newKey() string {
	u := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(c.probes >> 8), 15: byte(c.probes)}
	for i := range 6 {
		u[i] = byte(c.h.now >> (40 - 8*i))
	}
	return u.String()
}

// summary returns the number of requests of the exchange for each outcome, without
// those of probe.
func (c *matrixChecks) summary() string {
	maps.DeleteFunc(c.h.results, func(id jackdawbridge.RequestID, _ result) bool { return strings.HasPrefix(string(id), "probe-") })
	return c.h.summary()
}
