package reducer

import (
	"maps"
	"slices"
	"strconv"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/admission"
	"github.com/jackdawbridge/jackdawbridge/heap"
	"github.com/jackdawbridge/jackdawbridge/pool"
)

// runState is the progress of a forwarded request at the upstream's node.
type runState uint8

const (
	runWaiting  runState = iota // in the queue
	runRunning                  // sent to the backend server
	runAnswered                 // the answer is being passed to the entry node
)

// run is a forwarded request at the upstream's node.
type run struct {
	id            jackdawbridge.CallID
	envelope      jackdawbridge.Envelope
	arrived       jackdawbridge.Millis
	deadline      jackdawbridge.Millis
	state         runState
	token         jackdawbridge.Token  // identifies the run in calls of the backend server; set while the request runs
	began         jackdawbridge.Millis // when the request was sent to the backend server
	inFlight      int                  // requests running when this one began, itself included
	allowance     int                  // retries left for calls that the backend server makes for this run
	level         jackdawbridge.Level  // highest admission level in the answers to those calls
	status        int                  // status of the answer
	firstChild    *call                // head of the list of those calls in progress
	children      int                  // number of those calls in progress
	childrenSince jackdawbridge.Millis // when children last rose above 0
	childTime     jackdawbridge.Millis // total time with calls in progress before childrenSince
	usage         jackdawbridge.Usage  // of those calls, from their answers
	served        int                  // those calls that were served
	expected      jackdawbridge.Millis // expected own time, as counted in the work of the backend server
}

// runs is the part that admits forwarded requests to the local backend server. A run
// counts as running from the time it is sent to the backend server until it has
// ended, including the time while its answer is passed on.
type runs struct {
	r             *Reducer
	limiter       jackdawbridge.Limiter
	queue         jackdawbridge.Queue
	active        map[jackdawbridge.CallID]*run    // waiting and running
	tokens        map[jackdawbridge.Token]*run     // running only
	requests      map[jackdawbridge.RequestID]*run // running only, the newest run of each request
	running       int                              // number of running requests; above the limiter's limit only after that was lowered, or for an exclusive request
	deadlines     heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]
	free          *pool.Pool[run]
	transits      transits
	unlinkedLevel learnedLevel                        // level of the services that the backend server calls without naming a run
	nextExclusive *run                                // exclusive request that waits until nothing else runs
	exclusive     *run                                // exclusive request that is running
	runTimes      [jackdawbridge.MaxClass + 1]runTime // typical run time of each class
	tries         *admission.Tries
	gate          admission.Gate
	triesGranted  int // second tries of calls that the backend server rejected
	triesDenied   int
	callCounts    [jackdawbridge.MaxClass + 1]admission.Average // calls made by a run of each class that was served
	work          backendWork
	breaker       breaker
}

func newRuns(r *Reducer, limiter jackdawbridge.Limiter, queue jackdawbridge.Queue) runs {
	return runs{
		r: r, limiter: limiter, queue: queue, transits: make(transits),
		active:   make(map[jackdawbridge.CallID]*run),
		tokens:   make(map[jackdawbridge.Token]*run),
		requests: make(map[jackdawbridge.RequestID]*run),
		free:     pool.New[run](64),
		tries:    admission.NewTries(defaultRetryPermille, defaultRetryBurst),
	}
}

// announced updates the state of the local backend server and announces it to the
// peers.
func (p *runs) announced(e *jackdawbridge.BackendAnnounced, draining bool) {
	state := p.r.drain.state()
	if draining {
		state = jackdawbridge.PeerDraining
		p.r.drain.recordBackendDrain()
	} else {
		p.r.drain.recordState(state)
	}
	p.r.warmup.announced(e)
	self := p.r.self.WithBackend(e.Service(), p.r.warmup.slots(), e.Conns()).WithState(state)
	if self == p.r.self {
		return
	}
	p.limiter.Resize(e.Slots())
	p.r.fx.Log(jackdawbridge.PartAdmit, "backend server announced itself").Str("service", string(e.Service())).
		Int("slots", int64(e.Slots())).Str("state", state.String())
	p.r.announce(self)
}

// backendLost handles the loss of the local backend server. The running requests
// are suspected of having crashed it, unless they began while it was already failing,
// and the waiting ones are refused.
func (p *runs) backendLost() {
	if p.r.self.State() == jackdawbridge.PeerStarting {
		return
	}
	p.r.fx.Warn(jackdawbridge.PartAdmit, "backend server lost, waiting requests refused").Str("service", string(p.r.self.Service())).
		Int("running", int64(p.running)).Int("waiting", int64(p.queue.Len()))
	p.r.quarantine.backendCrashed(p.inFlightFingerprints())
	p.r.announce(p.r.self.WithState(jackdawbridge.PeerStarting))
	// The next backend server starts cold.
	p.limiter.Resize(1)
	p.breaker = breaker{}
	p.refuseWaiting(jackdawbridge.BackendDown)
}

// inFlightFingerprints returns the fingerprints of the running requests, without
// those that began while the backend server was already failing.
func (p *runs) inFlightFingerprints() []jackdawbridge.Fingerprint {
	var fingerprints []jackdawbridge.Fingerprint
	for _, u := range p.tokens {
		if !p.r.quarantine.failingAt(u.began) {
			fingerprints = append(fingerprints, u.envelope.Fingerprint())
		}
	}
	return fingerprints
}

// arrive runs, queues or refuses a forwarded request.
func (p *runs) arrive(e *jackdawbridge.ForwardArrived) {
	envelope := e.Envelope()
	if p.r.quarantine.check(envelope.Fingerprint()) == verdictExclusive {
		envelope = envelope.WithFingerprint(envelope.Fingerprint(), true)
	}
	u := p.free.Take()
	u.id = e.Call()
	u.envelope = envelope
	u.arrived = p.r.now
	u.deadline = p.r.now + envelope.Budget()
	u.allowance = envelope.RetryAllowance()
	p.active[u.id] = u
	u.expected = p.work.estimate.Add(classOf(envelope))
	if reason := p.check(envelope); reason != jackdawbridge.NoReason {
		p.refuse(u, jackdawbridge.NotRunRefusal(reason))
		return
	}
	p.deadlines.Set(u.id, u.deadline)
	p.gate.Arrive(envelope.Precedence())
	if p.canStartNow(u) {
		p.launch(u)
		return
	}
	shed, full := p.queue.Push(p.r.now, jackdawbridge.NewQueuedCall(u.id, envelope, p.r.now, u.deadline).WithCost(p.work.cost(u)))
	if full {
		p.refuse(p.active[shed.Call()], jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded))
	}
	p.dispatch()
}

// check returns the reason why a forwarded request cannot run here, or NoReason.
func (p *runs) check(envelope jackdawbridge.Envelope) jackdawbridge.Reason {
	switch {
	case p.r.drain.refusesRuns():
		return jackdawbridge.Draining
	case p.r.self.State() == jackdawbridge.PeerStarting:
		return jackdawbridge.BackendDown
	case envelope.Service() != p.r.self.Service():
		// The entry node sent the request to an address that belonged to another node
		// before. The service exists, so UnknownService would be wrong.
		return jackdawbridge.BackendDown
	case envelope.Depth() > jackdawbridge.MaxDepth:
		return jackdawbridge.TooDeep
	case envelope.Budget() <= 0, p.transits.delayed(p.r.now, envelope):
		return jackdawbridge.DeadlinePassed
	case p.r.quarantine.check(envelope.Fingerprint()) == verdictRefuse:
		return jackdawbridge.Quarantined
	case !p.r.warmup.allows():
		return jackdawbridge.Warming
	case !p.breaker.allows(p.r.now, envelope.Idempotent()):
		return jackdawbridge.BackendDown
	}
	return jackdawbridge.NoReason
}

// answered passes an answer to the entry node. The unused retries are returned with
// it, so calls that the backend server makes for the run afterwards have none.
func (p *runs) answered(e *jackdawbridge.RunAnswered) {
	u, ok := p.active[e.Call()]
	if !ok || u.state != runRunning {
		return
	}
	p.breaker.answered()
	u.state = runAnswered
	u.status = e.Status()
	p.reported(e.Load())
	p.r.fx.Deliver(u.id, 0, p.feedback(u, p.level(u), u.allowance))
	u.allowance = 0
}

// rejected refuses a request that the backend server did not run. The request counts
// as dropped for the limiter, because the limit admitted more requests than the
// backend server accepts.
func (p *runs) rejected(e *jackdawbridge.RunRejected) {
	u, ok := p.active[e.Call()]
	if !ok || u.state != runRunning {
		return
	}
	p.breaker.answered()
	p.reported(e.Load())
	granted := p.grantRetry(u, e.Reason())
	p.r.fx.Refuse(u.id, jackdawbridge.NotRunRefusal(e.Reason()), p.feedback(u, p.level(u), u.allowance).WithRetryGranted(granted))
	p.r.fx.Log(jackdawbridge.PartAdmit, "backend server refused a request").About(u.envelope.ID(), p.r.self.Node()).
		Str("reason", e.Reason().String()).Int("running", int64(p.running)).Int("limit", int64(p.limiter.Limit())).
		Str("second_try", strconv.FormatBool(granted)).Int("precedence", int64(u.envelope.Precedence())).
		Int("retry_threshold", int64(p.tries.Threshold(p.r.now))).Int("tries_left", int64(p.tries.Balance())).
		Int("rejected_permille", int64(p.tries.Rejected(p.r.now)))
	p.end(u, true)
	p.dispatch()
}

// finished processes the end of a run and frees its slot.
func (p *runs) finished(e *jackdawbridge.RunFinished) {
	u, ok := p.active[e.Call()]
	if !ok || u.state == runWaiting {
		return
	}
	if u.state == runRunning && e.Outcome() != jackdawbridge.Served {
		p.fail(u, e.Outcome())
	}
	switch e.Outcome() {
	case jackdawbridge.Served:
		p.countCalls(u)
		p.r.quarantine.runServed(u.envelope.Fingerprint())
	case jackdawbridge.Unknown:
		p.r.quarantine.runInterrupted(u.envelope.Fingerprint(), u.began)
	}
	p.end(u, e.Outcome() != jackdawbridge.Served)
	p.dispatch()
}

// fail refuses a run that the backend server did not answer.
func (p *runs) fail(u *run, outcome jackdawbridge.Outcome) {
	refusal := jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
	if outcome == jackdawbridge.NotRun {
		refusal = jackdawbridge.NotRunRefusal(jackdawbridge.BackendDown)
	} else if p.breaker.failed(p.r.now) {
		p.r.fx.Warn(jackdawbridge.PartAdmit, "backend server breaks off its connections: it gets trials only").Str("service", string(p.r.self.Service())).
			Int("failures", int64(p.breaker.failures)).Int("running", int64(p.running)).Int("waiting", int64(p.queue.Len()))
		p.refuseWaiting(jackdawbridge.BackendDown)
	}
	p.r.fx.Refuse(u.id, refusal, p.feedback(u, p.level(u), u.allowance))
}

// end removes a run and frees its slot. The calls that the backend server makes
// for it end as well. dropped is false only if the backend server served the request
// to its end.
func (p *runs) end(u *run, dropped bool) {
	for u.firstChild != nil {
		p.r.calls.runEnded(u.firstChild)
	}
	p.running--
	if p.exclusive == u {
		p.exclusive = nil
	}
	p.observe(u, dropped)
	delete(p.tokens, u.token)
	if p.requests[u.envelope.ID()] == u {
		delete(p.requests, u.envelope.ID())
	}
	p.forget(u)
}

// cancelled ends a request that its entry node has cancelled, or whose connection to
// the entry node is lost.
func (p *runs) cancelled(id jackdawbridge.CallID) {
	u, ok := p.active[id]
	if !ok {
		return
	}
	if u.state == runWaiting {
		p.removeWaiting(u)
		p.forget(u)
		p.dispatch()
		return
	}
	p.r.fx.Cancel(id, 0, jackdawbridge.CallerGone)
	p.end(u, true)
	p.dispatch()
}

// withdrawn refuses a request that its entry node has withdrawn, unless it is running.
func (p *runs) withdrawn(id jackdawbridge.CallID) {
	u, ok := p.active[id]
	if !ok || u.state != runWaiting {
		return
	}
	p.removeWaiting(u)
	p.refuse(u, jackdawbridge.NotRunRefusal(jackdawbridge.Draining))
	p.dispatch()
}

// abandon refuses the running requests, whose outcomes stay unknown. It is called before
// the exit of the process. Answers that are being passed on are not interrupted.
func (p *runs) abandon() {
	for _, id := range slices.Sorted(maps.Keys(p.active)) {
		u, ok := p.active[id]
		if !ok || u.state != runRunning {
			continue
		}
		p.r.fx.Cancel(u.id, 0, jackdawbridge.ProcessStops)
		p.r.fx.Refuse(u.id, jackdawbridge.UnknownRefusal(jackdawbridge.Draining), p.feedback(u, p.level(u), 0))
		p.end(u, true)
	}
}

// refuse refuses a request that did not run and removes it.
func (p *runs) refuse(u *run, refusal jackdawbridge.Refusal) {
	if refusal.Reason() == jackdawbridge.Warming {
		p.r.warmup.refused++
	}
	p.r.fx.Refuse(u.id, refusal, p.feedback(u, p.queue.Level(p.r.now), u.envelope.RetryAllowance()))
	p.r.fx.Log(jackdawbridge.PartAdmit, "request refused").About(u.envelope.ID(), p.r.self.Node()).
		Str("reason", refusal.Reason().String()).Duration("waited_ms", p.r.now-u.arrived).Int("waiting", int64(p.queue.Len())).
		Int("running", int64(p.running)).Int("limit", int64(p.limiter.Limit())).Int("level", int64(p.queue.Level(p.r.now)))
	p.forget(u)
}

// refuseWaiting refuses all waiting requests.
func (p *runs) refuseWaiting(reason jackdawbridge.Reason) {
	if u := p.nextExclusive; u != nil {
		p.nextExclusive = nil
		p.refuse(u, jackdawbridge.NotRunRefusal(reason))
	}
	for {
		w, ok := p.queue.Pop(p.r.now)
		if !ok {
			return
		}
		p.refuse(p.active[w.Call()], jackdawbridge.NotRunRefusal(reason))
	}
}

func (p *runs) forget(u *run) {
	delete(p.active, u.id)
	p.work.estimate.Remove(u.expected)
	p.deadlines.Remove(u.id)
	p.free.Put(u)
}

// wake returns the next deadline of a request, or the time of the next check of the
// queue if that is earlier.
func (p *runs) wake() jackdawbridge.Millis {
	next := never
	if _, at, ok := p.deadlines.Min(); ok {
		next = at
	}
	if p.queue.Len() > 0 {
		next = min(next, p.r.now+expireInterval)
	}
	return next
}

// tick ends the requests whose deadline has passed and checks the queue for
// requests to refuse.
func (p *runs) tick() {
	for {
		id, ok := p.deadlines.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.timeout(p.active[id])
	}
	p.expire()
}

// timeout ends a request whose deadline has passed.
func (p *runs) timeout(u *run) {
	if u.state == runWaiting {
		p.removeWaiting(u)
		p.refuse(u, jackdawbridge.NotRunRefusal(jackdawbridge.DeadlinePassed))
		p.dispatch()
		return
	}
	p.r.fx.Cancel(u.id, 0, jackdawbridge.DeadlineReached)
	if u.state == runRunning {
		p.r.fx.Refuse(u.id, jackdawbridge.UnknownRefusal(jackdawbridge.DeadlinePassed), p.feedback(u, p.level(u), 0))
	}
	p.end(u, true)
	p.dispatch()
}
