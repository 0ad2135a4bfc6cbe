package reducer

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/queue"
)

// Delays and limits of the fake link, the fake platform and the fake backend
// servers, and the virtual time at which a harness starts.
const (
	linkDelay      jackdawbridge.Millis = 1
	storeDelay     jackdawbridge.Millis = 3
	storeTimeout   jackdawbridge.Millis = 500
	watchTimeout   jackdawbridge.Millis = 30_000
	connectTimeout jackdawbridge.Millis = 200
	backendRestart jackdawbridge.Millis = 300
	harnessOrigin  jackdawbridge.Millis = 1_000_000_000
)

// scheduledAction is an action that is scheduled for an instant of virtual time.
type scheduledAction struct {
	at       jackdawbridge.Millis
	sequence int
	do       func()
}

// timeline is a heap of actions, ordered by time and then by the order in which
// they were scheduled.
type timeline []scheduledAction

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(scheduledAction)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// execution records one run of a request by a fake backend server.
type execution struct {
	at          jackdawbridge.Millis // start of the run
	node        string
	request     jackdawbridge.RequestID
	account     jackdawbridge.AccountName
	idempotency string
	idempotent  bool
}

// result is the outcome of a request as its caller sees it.
type result struct {
	at      jackdawbridge.Millis
	served  bool
	status  int
	refusal jackdawbridge.Refusal
	request jackdawbridge.RequestID
}

// fakeRun links a run at an upstream's node to the attempt that caused it.
type fakeRun struct {
	origin   *fakeNode
	call     jackdawbridge.CallID
	attempt  int
	envelope jackdawbridge.Envelope
	request  *jackdawbridge.Request
	status   int  // of the backend server's answer
	ended    bool // the backend server finished or abandoned the run
}

// fakeNode is a reducer with a fake runtime and a fake backend server around it.
type fakeNode struct {
	name          string
	h             *harness
	peer          jackdawbridge.Peer
	reducer       *Reducer
	fx            jackdawbridge.Effects
	alive         bool
	started       jackdawbridge.Millis // virtual time
	frozen        bool
	pendingEvents []func(at jackdawbridge.Millis) jackdawbridge.Event // arrived while the process was frozen
	nextTick      jackdawbridge.Millis                                // virtual time of the scheduled tick, 0 if none is
	load          jackdawbridge.BackendLoad                           // reported by the backend server, zero for none
	serviceTime   jackdawbridge.Millis                                // how long a run takes
	resets        bool                                                // the backend server resets the connection of each run
	cold          jackdawbridge.Millis                                // how long the backend server is cold after it comes back from a crash
	requests      map[jackdawbridge.CallID]*jackdawbridge.Request
	runs          map[jackdawbridge.CallID]*fakeRun
	admitted      map[jackdawbridge.CallID]bool
	attempts      map[fakeAttempt]fakeTarget
	backend       *fakeBackend         // nil if each run is answered after serviceTime
	status        int                  // of the last answer from an upstream
	exclusivePath string               // path whose requests must run exclusively
	transferTime  jackdawbridge.Millis // from a run's answer until its transfer to the entry node has finished
	exited        bool
	crashes       int // of the backend server
	acknowledged  int // announcements of the backend server
	storeRequests int // requests to the platform
	messagesSent  int
	votesSent     int                  // of messagesSent, those that request or cast a vote for a lease
	bytesSent     int                  // estimated size of the messages sent
	clockSkew     jackdawbridge.Millis // added to virtual time in this process's clock
}

// harness runs a few reducers in virtual time over a fake link and a fake
// platform. A run is deterministic.
type harness struct {
	options          []datadriven.CmdArg  // of nodes that are started from now on
	linger           jackdawbridge.Millis // how long a process takes calls after its exit was requested
	now              jackdawbridge.Millis
	timeline         timeline
	sequence         int
	nodes            map[string]*fakeNode
	nodeNames        []string
	store            *fakeStore
	cuts             map[[2]string]bool                                // one way: from, to
	published        map[jackdawbridge.RecordName]*jackdawbridge.Table // newest revision
	previous         map[jackdawbridge.RecordName]*jackdawbridge.Table // revision before the newest
	whole            *jackdawbridge.Table                              // the table of the last omit with the entry
	onChange         func(name jackdawbridge.RecordName, revision uint64, entries []jackdawbridge.Entry)
	lastFaultChange  jackdawbridge.Millis               // when a fault last began or ended
	nodeFaults       map[string]jackdawbridge.Millis    // when a node was last started, or kept from running or from the platform
	clockSkews       map[string]jackdawbridge.Millis    // of the clocks of new processes
	messageDelays    map[[2]string]jackdawbridge.Millis // of messages, one way: from, to
	droppedMessages  map[string]bool                    // messages to drop, by type and receiver
	byAddress        bool                               // a process gets the requests that were forwarded to earlier processes of its instance
	falseEndReported bool                               // a node received a report that a live process has ended
	onSend           func(from, to *fakeNode, frame jackdawbridge.Frame) linkFault
	afterStep        func(*fakeNode)                 // called after the effects of an event have been executed
	onAdmit          func(jackdawbridge.AccountName) // called when a request passes the rate limit of its account
	nextCall         jackdawbridge.CallID
	executions       []execution
	results          map[jackdawbridge.RequestID]result
	trace            []string
	config           []jackdawbridge.Entry
	keys             []jackdawbridge.Entry
	strategies       func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue)
	withoutTrace     bool // record no trace and no executions, and pass results to onResult only
	onResult         func(n *fakeNode, call jackdawbridge.CallID, end result)
	onForward        func(*fakeNode, *jackdawbridge.Forward)
	onEvent          func(*fakeNode, jackdawbridge.Event)                            // called before the event is applied; may kill or freeze the node
	onEffect         func(*fakeNode, jackdawbridge.Effect)                           // called before the effect is executed
	onHop            func(*fakeNode) jackdawbridge.Millis                            // returns the extra delay of a request or an answer between nodes
	onRun            func(*fakeNode, jackdawbridge.CallID, jackdawbridge.Token) bool // returns true if it acts as the backend server
}

// linkFault describes what the link does to a frame: drop it, deliver it twice
// or delay it.
type linkFault struct {
	drop   bool
	repeat bool
	delay  jackdawbridge.Millis
}

func newHarness() *harness {
	h := &harness{
		now: harnessOrigin, nodes: make(map[string]*fakeNode), cuts: make(map[[2]string]bool),
		published:       make(map[jackdawbridge.RecordName]*jackdawbridge.Table),
		previous:        make(map[jackdawbridge.RecordName]*jackdawbridge.Table),
		results:         make(map[jackdawbridge.RequestID]result),
		droppedMessages: make(map[string]bool),
		messageDelays:   make(map[[2]string]jackdawbridge.Millis),
		clockSkews:      make(map[string]jackdawbridge.Millis),
		nodeFaults:      make(map[string]jackdawbridge.Millis),
		strategies: func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
			return picker.NewCompletion(), limiter.NewAdaptive(1), queue.NewPriority(64)
		},
	}
	h.store = &fakeStore{h: h, records: make(map[jackdawbridge.RecordName]jackdawbridge.Record)}
	return h
}

func (h *harness) after(delay jackdawbridge.Millis, do func()) {
	h.sequence++
	heap.Push(&h.timeline, scheduledAction{at: h.now + delay, sequence: h.sequence, do: do})
}

// run advances virtual time by span and performs the actions scheduled in it.
func (h *harness) run(span jackdawbridge.Millis) {
	end := h.now + span
	for len(h.timeline) > 0 && h.timeline[0].at <= end {
		next := heap.Pop(&h.timeline).(scheduledAction)
		h.now = next.at
		next.do()
	}
	h.now = end
}

// start starts a process of an instance and kills an earlier process of it that
// is still alive. Each process has a higher incarnation than the one before.
func (h *harness) start(name string, dc jackdawbridge.DataCentre, joins ...string) *fakeNode {
	index := slices.Index(h.nodeNames, name)
	first := index < 0
	if index >= 0 && h.nodes[name].alive {
		h.kill(name)
	}
	if index < 0 {
		h.nodeNames = append(h.nodeNames, name)
		index = len(h.nodeNames) - 1
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), 7000)
	clockSkew := h.clockSkews[name]
	node := jackdawbridge.NewNode(jackdawbridge.Instance(name), uint64(h.now+clockSkew))
	peer := jackdawbridge.NewPeer(node, dc, jackdawbridge.NewAddresses(address, address, address))
	var peers []jackdawbridge.Peer
	for _, j := range joins {
		peers = append(peers, h.nodes[j].peer)
	}
	p, l, q := h.strategies()
	options := NewOptions(peer, sha256.Sum256([]byte(node.String())), p, l, q)
	if first {
		options = options.WithFirstStart()
	}
	r, err := New(h.now+clockSkew, h.applyOptions(options).WithJoins(peers))
	if err != nil {
		panic(err)
	}
	n := &fakeNode{
		name: name, h: h, peer: peer, reducer: r, alive: true, started: h.now, serviceTime: 5, clockSkew: clockSkew,
		requests: make(map[jackdawbridge.CallID]*jackdawbridge.Request),
		admitted: make(map[jackdawbridge.CallID]bool),
		runs:     make(map[jackdawbridge.CallID]*fakeRun),
		attempts: make(map[fakeAttempt]fakeTarget),
	}
	h.nodes[name] = n
	h.lastFaultChange = h.now
	h.nodeFaults[name] = h.now
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewTick(at) })
	return n
}

// applyOptions returns options with those that a script has set.
func (h *harness) applyOptions(options Options) Options {
	for _, a := range h.options {
		n := 0
		if len(a.Vals) > 0 {
			n, _ = strconv.Atoi(a.Vals[0])
		}
		switch a.Key {
		case "floors":
			options = options.WithFloors()
		case "drain":
			options = options.WithDrainPeriod(jackdawbridge.Millis(n))
		case "stop":
			options = options.WithStopLimit(jackdawbridge.Millis(n))
		case "grace":
			options = options.WithGracePeriod(jackdawbridge.Millis(n))
		case "apply":
			options = options.WithApplyLimit(jackdawbridge.Millis(n))
		case "confirm":
			options = options.WithConfirmInterval(jackdawbridge.Millis(n))
		case "retries":
			options = options.WithRetryBudget(0, n)
		case "linger":
			h.linger = jackdawbridge.Millis(n)
		default:
			panic("unknown option " + a.Key)
		}
	}
	return options
}

// apply applies one event to the node's reducer and executes the effects. A frozen
// node receives the event when it resumes; a process that has ended ignores it.
func (n *fakeNode) apply(event func(at jackdawbridge.Millis) jackdawbridge.Event) {
	if !n.alive {
		return
	}
	if n.frozen {
		n.pendingEvents = append(n.pendingEvents, event)
		return
	}
	e := event(n.h.now + n.clockSkew)
	if n.h.onEvent != nil {
		n.h.onEvent(n, e)
		if !n.up() {
			n.apply(event)
			return
		}
	}
	n.fx.Reset()
	n.reducer.Apply(e, &n.fx)
	for _, effect := range n.fx.All() {
		if n.h.onEffect != nil {
			n.h.onEffect(n, effect)
		}
		n.execute(effect)
	}
	n.schedule()
	if n.h.afterStep != nil {
		n.h.afterStep(n)
	}
}

// endAt ends the process at the given time, or later when no calls and runs are left.
func (n *fakeNode) endAt(at jackdawbridge.Millis) {
	if n.h.now >= at && n.reducer.drain.inProgress() == 0 {
		n.alive = false
		return
	}
	n.h.after(max(at-n.h.now, 1), func() { n.endAt(at) })
}

func (n *fakeNode) schedule() {
	at := max(n.reducer.NextTick()-n.clockSkew, n.h.now+1)
	if n.nextTick != 0 && n.nextTick <= at {
		return
	}
	n.nextTick = at
	n.h.after(at-n.h.now, func() {
		if n.nextTick != at {
			return
		}
		n.nextTick = 0
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewTick(at) })
	})
}

func (n *fakeNode) execute(effect jackdawbridge.Effect) {
	switch e := effect.(type) {
	case *jackdawbridge.Forward:
		n.forward(e)
	case *jackdawbridge.Run:
		n.run(e)
	case *jackdawbridge.Deliver:
		n.deliver(e)
	case *jackdawbridge.Refuse:
		n.refuse(e)
	case *jackdawbridge.Cancel:
		n.cancel(e)
	case *jackdawbridge.Withdraw:
		n.withdraw()
	case *jackdawbridge.Send:
		n.send(e.To(), e.Frame())
	case *jackdawbridge.Load:
		n.storeRequests++
		n.h.store.load(n, e.Name())
	case *jackdawbridge.LoadTables:
		n.storeRequests += 2
		n.h.store.loadTables(n, e)
	case *jackdawbridge.Scan:
		n.storeRequests++
		n.h.store.scan(n, e.Prefix())
	case *jackdawbridge.Watch:
		n.storeRequests++
		n.h.store.watch(n, e.Name(), e.Version())
	case *jackdawbridge.Swap:
		n.storeRequests++
		n.h.store.swap(n, e.Name(), e.Version(), e.Value(), e.Lease())
	case *jackdawbridge.Log:
		if n.h.withoutTrace {
			return
		}
		n.h.trace = append(n.h.trace, n.formatLog(e))
	case *jackdawbridge.Acknowledge:
		n.acknowledged++
	case *jackdawbridge.Exit:
		n.exited = true
		n.endAt(n.h.now + n.h.linger)
	}
}

func (n *fakeNode) formatLog(e *jackdawbridge.Log) string {
	parts := []string{fmt.Sprintf("%d %s %s: %s", n.h.now-harnessOrigin, n.name, e.Part(), e.Text())}
	if !e.Node().IsZero() {
		parts = append(parts, "node="+string(e.Node().Instance()))
	}
	if e.Request() != "" {
		parts = append(parts, "request="+string(e.Request()))
	}
	for _, a := range e.Attrs() {
		if a.Text() != "" {
			parts = append(parts, a.Key()+"="+a.Text())
		} else {
			parts = append(parts, fmt.Sprintf("%s=%d", a.Key(), a.Number()))
		}
	}
	return strings.Join(parts, " ")
}

func (h *harness) byNode(node jackdawbridge.Node) *fakeNode {
	n := h.nodes[string(node.Instance())]
	if n == nil || n.reducer.self.Node() != node {
		return nil
	}
	return n
}

func (h *harness) reaches(from, to string) bool { return !h.cuts[[2]string{from, to}] }

// send sends a frame over the fake link.
func (n *fakeNode) send(to jackdawbridge.Peer, frame jackdawbridge.Frame) {
	n.messagesSent++
	n.bytesSent += frameSize(frame)
	switch frame.Message().(type) {
	case *jackdawbridge.VoteRequest, *jackdawbridge.Vote:
		n.votesSent++
	}
	target := n.h.nodes[string(to.Node().Instance())]
	if target == nil || !n.h.reaches(n.name, target.name) {
		return
	}
	fault := linkFault{}
	if n.h.onSend != nil {
		fault = n.h.onSend(n, target, frame)
	}
	if fault.drop {
		return
	}
	kind := strings.TrimPrefix(fmt.Sprintf("%T", frame.Message()), "*jackdawbridge.")
	if delta, ok := frame.Message().(*jackdawbridge.TableDelta); ok && n.h.droppedMessages[kind+"/"+string(delta.Name())+" "+target.name] {
		return
	}
	if n.h.droppedMessages[kind+" "+target.name] {
		return
	}
	fault.delay += n.h.messageDelays[[2]string{n.name, target.name}]
	deliver := func() {
		// A new process may have taken over the address meanwhile.
		target := n.h.nodes[target.name]
		target.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewReceived(at, frame) })
	}
	n.h.after(linkDelay+fault.delay, deliver)
	if fault.repeat {
		n.h.after(linkDelay+fault.delay+7, deliver)
	}
}

// call sends a caller's request to a node.
func (h *harness) call(at string, request *jackdawbridge.Request) {
	h.nodes[at].arrive(request)
}

func (n *fakeNode) arrive(request *jackdawbridge.Request) jackdawbridge.CallID {
	n.h.nextCall++
	id := n.h.nextCall
	n.requests[id] = request
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
		return jackdawbridge.NewCallArrived(at, id, request)
	})
	return id
}

func (n *fakeNode) forward(e *jackdawbridge.Forward) {
	call, attempt, envelope := e.Call(), e.Attempt(), e.Envelope()
	if attempt == 1 {
		n.reportAdmission(call)
	}
	if n.h.onForward != nil {
		n.h.onForward(n, e)
	}
	if request := n.requests[call]; n.exclusivePath != "" && request.Path() == n.exclusivePath {
		envelope = envelope.WithFingerprint(envelope.Fingerprint(), true)
	}
	target := n.h.byNode(e.Target().Node())
	if n.h.byAddress {
		target = n.h.nodes[string(e.Target().Node().Instance())]
	}
	if target == nil || !target.alive {
		n.h.after(linkDelay, func() {
			n.attemptFailed(call, attempt, jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed), jackdawbridge.NewFeedback(0, envelope.RetryAllowance()), true)
		})
		return
	}
	if !n.h.reaches(n.name, target.name) || !n.h.reaches(target.name, n.name) {
		n.h.after(connectTimeout, func() {
			n.attemptFailed(call, attempt, jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed), jackdawbridge.NewFeedback(0, envelope.RetryAllowance()), false)
		})
		return
	}
	n.h.nextCall++
	id := n.h.nextCall
	target.runs[id] = &fakeRun{origin: n, call: call, attempt: attempt, envelope: envelope, request: n.requests[call], status: 200}
	n.attempts[fakeAttempt{call, attempt}] = fakeTarget{target, id}
	n.h.after(n.hopDelay()+n.h.messageDelays[[2]string{n.name, target.name}], func() {
		target.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewForwardArrived(at, id, envelope)
		})
	})
}

// hopDelay returns the delay of a request or an answer on its way to another
// node.
func (n *fakeNode) hopDelay() jackdawbridge.Millis {
	if n.h.onHop == nil {
		return linkDelay
	}
	return linkDelay + n.h.onHop(n)
}

func (n *fakeNode) attemptFailed(call jackdawbridge.CallID, attempt int, refusal jackdawbridge.Refusal, feedback jackdawbridge.Feedback, refused bool) {
	delete(n.attempts, fakeAttempt{call, attempt})
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
		return jackdawbridge.NewAttemptFailed(at, call, attempt, refusal, feedback, refused)
	})
}

// kill ends a process. Attempts that it was running fail with an unknown outcome
// at their entry nodes.
func (h *harness) kill(name string) {
	n := h.nodes[name]
	h.lastFaultChange = h.now
	n.alive = false
	for _, id := range slices.Sorted(maps.Keys(n.runs)) {
		u, ok := n.runs[id]
		if !ok || u.ended { // the end of an earlier run may end others
			continue
		}
		u.ended = true
		h.after(linkDelay, func() {
			u.origin.attemptFailed(u.call, u.attempt, jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed), jackdawbridge.Feedback{}, false)
		})
	}
}

// crash ends the backend server of a node and restarts it after backendRestart.
// The node sees the connections of the runs break before it sees the loss of the
// backend server.
func (n *fakeNode) crash() {
	n.crashes++
	for _, id := range slices.Sorted(maps.Keys(n.runs)) {
		u, ok := n.runs[id]
		if !ok || u.ended { // the end of an earlier run may end others
			continue
		}
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewRunFinished(at, id, jackdawbridge.Unknown, 0)
		})
	}
	n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewBackendLost(at) })
	service, slots := n.reducer.self.Service(), n.reducer.self.Slots()
	n.h.after(backendRestart, func() {
		n.h.announceAs(n.name, service, slots, "", jackdawbridge.NewBackendProcess("", 0, uint64(n.h.now)), n.cold)
	})
}

// freeze suspends a process for a span. Events that arrive meanwhile are applied
// when it resumes.
func (h *harness) freeze(name string, span jackdawbridge.Millis) {
	n := h.nodes[name]
	n.frozen = true
	h.lastFaultChange = h.now
	h.nodeFaults[name] = h.now + span
	h.after(span, func() {
		h.lastFaultChange = h.now
		n.frozen = false
		pending := n.pendingEvents
		n.pendingEvents = nil
		for _, event := range pending {
			n.apply(event)
		}
	})
}

// cut interrupts the link from one node to another, or restores it if on is
// false. The other direction is not affected.
func (h *harness) cut(from, to string, on bool) {
	h.cuts[[2]string{from, to}] = on
	h.lastFaultChange = h.now
}

// announce reports to a node an announcement of its backend server, newer than the ones
// before.
func (h *harness) announce(name string, service jackdawbridge.ServiceName, slots int, draining bool) {
	state := ""
	if draining {
		state = "draining"
	}
	h.announceAs(name, service, slots, state, jackdawbridge.NewBackendProcess("", 0, uint64(h.now)), 0)
}

// announceAs reports an announcement of a process of the backend server, which accepts
// eight connections per slot and stays cold for the given time. The state is draining or left,
// or empty while it serves.
func (h *harness) announceAs(name string, service jackdawbridge.ServiceName, slots int, state string, process jackdawbridge.BackendProcess, cold jackdawbridge.Millis) {
	h.nodes[name].apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
		e := jackdawbridge.NewBackendAnnounced(at, service, slots, slots*8, state == "draining").WithProcess(process).WithReceipt(1).WithSlowStartLeft(cold)
		if state == "left" {
			return e.WithLeft()
		}
		return e
	})
}

// publish writes h.config and h.keys to the platform as new revisions.
func (h *harness) publish() {
	h.change(jackdawbridge.ConfigTable, h.config...)
	h.change(jackdawbridge.KeysTable, h.keys...)
}

// change writes a new revision of a table, with the given entries changed, to the
// platform.
func (h *harness) change(name jackdawbridge.RecordName, entries ...jackdawbridge.Entry) {
	old := h.published[name]
	if old == nil {
		old, _ = jackdawbridge.NewTable(0, "", nil)
	}
	revision := old.Revision() + 1
	changed := make([]jackdawbridge.Entry, 0, len(entries))
	for _, e := range entries {
		changed = append(changed, e.WithRevision(revision))
	}
	table, err := old.Merge(revision, fmt.Sprint("change-", revision), changed)
	if err != nil {
		panic(err)
	}
	h.previous[name] = old
	h.published[name] = table
	h.store.put(name, table, 0)
	if h.onChange != nil {
		h.onChange(name, revision, entries)
	}
}
