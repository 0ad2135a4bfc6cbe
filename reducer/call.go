package reducer

import (
	"maps"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/admission"
	"github.com/jackdawbridge/jackdawbridge/heap"
	"github.com/jackdawbridge/jackdawbridge/pool"
)

// maxCalls is the maximum number of calls in progress at an entry node.
const maxCalls = 16384

// stage is the progress of a call at its entry node.
type stage uint8

const (
	stageToken    stage = iota // waits for a token of its client account
	stageOnce                  // waits until the start is recorded under its idempotency key
	stageForward               // an attempt is in progress
	stageBackoff               // waits before a retry
	stageAnswered              // the answer is being passed to the caller
)

// call is a request in progress at its entry node.
type call struct {
	id               jackdawbridge.CallID
	request          *jackdawbridge.Request
	envelope         jackdawbridge.Envelope // budget and retry allowance are set at each attempt
	arrived          jackdawbridge.Millis
	deadline         jackdawbridge.Millis
	stage            stage
	attempt          int                  // number of attempts sent
	target           jackdawbridge.Node   // upstream of the last attempt
	sent             jackdawbridge.Millis // when the last attempt was sent
	allowance        int                  // retries left, without those passed to the attempt in progress
	passedRetries    int                  // retries passed to the attempt in progress
	parent           jackdawbridge.CallID // run for which the backend server made this call
	child            bool                 // parent is set
	inheritedRetries bool                 // the allowance was taken from the parent and returns to it
	next             *call                // next call of the same run
	previous         *call                // previous call of the same run
	route            *jackdawbridge.Route // route that covers the request
	config, keys     uint64               // revisions of the tables by which the request was decided
	startRecorded    bool                 // the start is recorded under the idempotency key
	maybeRan         bool                 // an attempt may have run
	repeats          int                  // sends to the same upstream after it rejected the call, at most maxRepeats
	repeating        bool                 // the next send goes to the same upstream
	status           int                  // status of the answer that is passed on
}

// calls is the part that handles requests at their entry node.
type calls struct {
	r                *Reducer
	active           map[jackdawbridge.CallID]*call // at most maxCalls
	defaultAllowance int                            // retry allowance of a caller's request whose route sets none
	retryBudgets     retryBudgets
	forecast         *admission.Forecast
	refusedTrees     [jackdawbridge.MaxRank + 1]int // requests refused for a service behind the first one, by rank
	deadlines        heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]
	backoffs         heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis] // ends of the waits before retries
	free             *pool.Pool[call]
}

func newCalls(r *Reducer) calls {
	return calls{r: r, defaultAllowance: defaultRetryAllowance, retryBudgets: newRetryBudgets(), forecast: admission.NewForecast(), active: make(map[jackdawbridge.CallID]*call), free: pool.New[call](64)}
}

// arrive validates a new request and begins to process it.
func (p *calls) arrive(e *jackdawbridge.CallArrived) {
	request := e.Request()
	if len(p.active) >= maxCalls {
		p.r.fx.Refuse(e.Call(), jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded), jackdawbridge.Feedback{})
		return
	}
	c := p.free.Take()
	c.id = e.Call()
	c.request = request
	c.arrived = p.r.now
	c.deadline = p.r.now + request.Budget()
	p.active[c.id] = c
	p.deadlines.Set(c.id, c.deadline)
	if p.r.drain.refusesCalls() {
		p.refuse(c, jackdawbridge.NotRunRefusal(jackdawbridge.Draining))
		return
	}
	switch reason := p.identify(c); reason {
	case jackdawbridge.NoReason:
		p.admit(c)
	case jackdawbridge.Misconfigured: // until a change of the configuration is in force
		p.refuse(c, jackdawbridge.NotRunRefusal(reason).WithRetryAfter(p.r.settings.applyLimit()))
	default:
		p.refuse(c, jackdawbridge.NotRunRefusal(reason))
	}
}

// identify finds the route and the client account of a request and fills in its
// envelope. It returns the reason for a refusal, or NoReason.
func (p *calls) identify(c *call) jackdawbridge.Reason {
	if !p.r.settings.ready() {
		return jackdawbridge.NotReady
	}
	c.config, c.keys = p.r.settings.config.revision(), p.r.settings.keys.revision()
	service, ok := p.r.settings.service(c.request.Service())
	if !ok {
		return p.r.settings.config.missing(jackdawbridge.UnknownService)
	}
	route := service.Route(c.request.Method(), c.request.Path())
	if route == nil {
		return jackdawbridge.UnknownRoute
	}
	if route.Closed() {
		return jackdawbridge.Misconfigured
	}
	c.route = route
	if c.request.Token() != (jackdawbridge.Token{}) {
		return p.identifyChild(c, route)
	}
	account, paid, reason := p.r.settings.identify(c.request, route)
	if reason != jackdawbridge.NoReason {
		return reason
	}
	c.allowance = p.defaultAllowance
	if route.Attempts() > 0 {
		c.allowance = route.Attempts() - 1
	}
	if route.Timeout() > 0 {
		c.deadline = min(c.deadline, p.r.now+route.Timeout())
		p.deadlines.Set(c.id, c.deadline)
	}
	c.envelope = jackdawbridge.NewEnvelope(c.request.ID(), account, p.r.routes.destination(c.request.Service(), route), route.Criticality(), c.request.Budget()).
		WithPaidPriority(paid).
		WithIdempotent(route.Idempotent())
	c.envelope = c.envelope.WithPrecedence(p.precedence(c))
	if parent, ok := p.r.runs.requests[c.request.Parent()]; ok && account == "" {
		p.linkToRun(c, parent)
	}
	return jackdawbridge.NoReason
}

// linkToRun links a call on an open route to the run whose request ID it names. The
// local backend server is assumed to make the call for that run, so the call
// inherits the rank and the deadline of the run and ends with it. A client
// that imitates such a call gains the rank of a request whose ID it has learned, and
// nothing else.
func (p *calls) linkToRun(c *call, parent *run) {
	c.child = true
	c.parent = parent.id
	p.r.runs.attach(parent, c)
	c.deadline = min(c.deadline, parent.deadline)
	p.deadlines.Set(c.id, c.deadline)
	c.envelope = c.envelope.
		WithCriticality(parent.envelope.Criticality()).
		WithPaidPriority(parent.envelope.PaidPriority()).
		WithPrecedence(p.r.runs.childPrecedence(parent)).
		WithRepeated(parent.envelope.Repeated()).
		WithDepth(min(parent.envelope.Depth()+1, jackdawbridge.MaxDepth))
}

// identifyChild fills in the envelope of a call that the backend server makes with
// the token of a request that it is running. The call inherits the account, the rank
// and the deadline of that request, and a part of its retry allowance.
func (p *calls) identifyChild(c *call, route *jackdawbridge.Route) jackdawbridge.Reason {
	parent, ok := p.r.runs.byToken(c.request.Token())
	if !ok {
		return jackdawbridge.InvalidToken
	}
	if parent.envelope.Depth() >= jackdawbridge.MaxDepth {
		return jackdawbridge.TooDeep
	}
	c.child, c.inheritedRetries = true, true
	c.parent = parent.id
	c.allowance = parent.lendRetries()
	p.r.runs.attach(parent, c)
	c.deadline = min(c.deadline, parent.deadline)
	p.deadlines.Set(c.id, c.deadline)
	c.envelope = parent.envelope.
		WithService(p.r.routes.destination(c.request.Service(), route)).
		WithDepth(parent.envelope.Depth() + 1).
		WithPrecedence(p.r.runs.childPrecedence(parent)).
		WithIdempotent(route.Idempotent())
	return jackdawbridge.NoReason
}

// admit applies the checks that may refuse or delay a request: quarantine,
// admission level and the rate of its account.
func (p *calls) admit(c *call) {
	fingerprint := p.fingerprint(c)
	verdict := p.r.quarantine.check(fingerprint)
	if verdict == verdictRefuse {
		p.refuse(c, jackdawbridge.NotRunRefusal(jackdawbridge.Quarantined))
		return
	}
	c.envelope = c.envelope.WithFingerprint(fingerprint, verdict == verdictExclusive)
	if c.child {
		p.start(c)
		return
	}
	if !c.internal() && p.refusesTree(c) {
		p.refuse(c, jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded).WithRetryAfter(p.treeRetryAfter()))
		return
	}
	if !c.internal() && p.sheds(c) {
		p.refuse(c, jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded).WithRetryAfter(shedRetryAfter))
		return
	}
	if c.envelope.Account() == "" || p.r.settings.unlimited(c.envelope.Account()) {
		p.start(c)
		return
	}
	c.stage = stageToken
	p.r.shares.takeToken(c.id, c.envelope.Account())
}

// account returns the client account of a call, "" if it has ended.
func (p *calls) account(id jackdawbridge.CallID) jackdawbridge.AccountName {
	if c, ok := p.active[id]; ok {
		return c.envelope.Account()
	}
	return ""
}

// tokenGranted continues a call that received a token of its account.
func (p *calls) tokenGranted(id jackdawbridge.CallID) {
	if c, ok := p.active[id]; ok && c.stage == stageToken {
		p.start(c)
	}
}

// tokenDenied refuses a call that received no token.
func (p *calls) tokenDenied(id jackdawbridge.CallID, reason jackdawbridge.Reason, after jackdawbridge.Millis) {
	if c, ok := p.active[id]; ok && c.stage == stageToken {
		p.refuse(c, jackdawbridge.NotRunRefusal(reason).WithRetryAfter(after))
	}
}

// start forwards a call. If it must run at most once, its start is first recorded
// under its idempotency key.
func (p *calls) start(c *call) {
	if c.envelope.Idempotent() || c.request.IdempotencyKey() == "" {
		p.forward(c)
		return
	}
	c.stage = stageOnce
	p.r.once.requestStart(c.id, c.request.ID(), c.envelope.Account(), c.request.IdempotencyKey())
}

// startAccepted continues a call whose start is recorded under its idempotency key.
func (p *calls) startAccepted(id jackdawbridge.CallID) {
	if c, ok := p.active[id]; ok && c.stage == stageOnce {
		c.startRecorded = true
		p.forward(c)
	}
}

// startRefused refuses a call whose start was not recorded under its idempotency
// key.
func (p *calls) startRefused(id jackdawbridge.CallID, refusal jackdawbridge.Refusal) {
	if c, ok := p.active[id]; ok && c.stage == stageOnce {
		p.refuse(c, refusal)
	}
}

// forward sends the next attempt to an upstream, or refuses the call if there is none.
func (p *calls) forward(c *call) {
	target, ok := p.pick(c)
	if !ok {
		p.refuse(c, p.failure(c, p.r.routes.unavailable(c.envelope.Service())))
		return
	}
	c.stage = stageForward
	c.attempt++
	c.target = target.Node()
	c.sent = p.r.now
	c.passedRetries = subtreeAllowance(c.allowance)
	c.allowance -= c.passedRetries
	envelope := c.envelope.WithBudget(c.deadline-p.r.now).WithRetryAllowance(c.passedRetries).
		WithSent(p.r.self.Node(), p.r.now)
	if c.route.Objective() > 0 {
		envelope = envelope.WithObjective(c.arrived + c.route.Objective() - p.r.now)
	}
	if c.attempt == 1 {
		p.retryBudgets.earn(c.envelope.Service())
	}
	p.r.routes.attemptStarted(c.target)
	p.r.fx.Forward(c.id, c.attempt, target, envelope)
	p.r.fx.Log(jackdawbridge.PartRoute, "request forwarded").About(c.request.ID(), c.target).Str("service", string(c.envelope.Service())).
		Int("attempt", int64(c.attempt)).Int("config", int64(c.config)).Duration("left_ms", c.deadline-p.r.now).
		Duration("expected_ms", p.r.routes.expected)
}

// answered processes the answer to an attempt, or its failure: it passes the answer
// on, sends the call again, or refuses it.
func (p *calls) answered(e *jackdawbridge.AttemptAnswered) {
	c, ok := p.active[e.Call()]
	if !ok || c.stage != stageForward || e.Attempt() != c.attempt {
		return
	}
	feedback := e.Feedback()
	p.r.routes.attemptEnded(c.target, p.r.now-c.sent, e.Outcome(), e.Reason(), feedback)
	p.r.routes.workReported(c, feedback.Backlog())
	if e.Outcome() == jackdawbridge.Served {
		p.r.routes.upstreamSeen(c.target)
	}
	p.learn(c, feedback.Level())
	p.learnUsage(c, &feedback, e.Outcome() == jackdawbridge.Served)
	if e.ConnectionRefused() {
		p.r.members.connectionRefused(c.target)
	}
	c.allowance += min(feedback.UnusedRetries(), c.passedRetries)
	c.passedRetries = 0
	if e.Outcome() == jackdawbridge.Served {
		c.stage = stageAnswered
		c.status = e.Status()
		p.r.fx.Deliver(c.id, c.attempt, jackdawbridge.Feedback{})
		p.logEnd("request answered by the upstream", c).Int("status", int64(c.status))
		return
	}
	c.maybeRan = c.maybeRan || e.Outcome() == jackdawbridge.Unknown
	if p.mayRetry(c, e.Outcome(), e.Reason(), &feedback) {
		p.retry(c, e.Outcome(), e.Reason(), &feedback)
		return
	}
	p.refuse(c, p.failure(c, e.Reason()))
}

// finished ends a call after its answer was passed to the caller, completely or
// not.
func (p *calls) finished(e *jackdawbridge.CallFinished) {
	c, ok := p.active[e.Call()]
	if !ok {
		return
	}
	outcome := jackdawbridge.Served
	if !e.Complete() {
		outcome = jackdawbridge.Unknown
	}
	p.end(c, outcome)
}

// cancelled ends a call that its caller has cancelled, or whose caller has
// disconnected.
func (p *calls) cancelled(id jackdawbridge.CallID) {
	c, ok := p.active[id]
	if !ok {
		return
	}
	p.cancelAttempt(c, jackdawbridge.CallerGone)
	p.logEnd("request cancelled by the caller", c)
	p.end(c, p.failure(c, jackdawbridge.Cancelled).Outcome())
}

// refuse answers a call with a refusal and ends it.
func (p *calls) refuse(c *call, refusal jackdawbridge.Refusal) {
	p.r.fx.Refuse(c.id, refusal, jackdawbridge.Feedback{})
	p.logEnd("request refused", c).Str("reason", refusal.Reason().String()).Str("outcome", refusal.Outcome().String()).
		Duration("retry_after_ms", refusal.RetryAfter()).Int("level", int64(p.r.routes.levelOf(c)))
	p.end(c, refusal.Outcome())
}

// logEnd adds a log line about the end of a call, with the values that determined
// how it was handled.
func (p *calls) logEnd(text string, c *call) *jackdawbridge.Log {
	return p.r.fx.Log(jackdawbridge.PartCall, text).About(c.request.ID(), c.target).
		Str("account", string(c.envelope.Account())).Str("service", string(c.envelope.Service())).
		Int("config", int64(c.config)).Int("keys", int64(c.keys)).
		Int("attempts", int64(c.attempt)).Duration("took_ms", p.r.now-c.arrived)
}

// failure returns the refusal of a call that received no answer. Its outcome is
// NotRun only if no attempt can have run.
func (p *calls) failure(c *call, reason jackdawbridge.Reason) jackdawbridge.Refusal {
	if c.maybeRan || c.stage == stageAnswered {
		return jackdawbridge.UnknownRefusal(reason)
	}
	return jackdawbridge.NotRunRefusal(reason)
}

// cancelAttempt cancels the attempt in progress, if any, and records that it may have
// run.
func (p *calls) cancelAttempt(c *call, cause jackdawbridge.CancelCause) {
	if c.stage != stageForward && c.stage != stageAnswered {
		return
	}
	if c.stage == stageForward {
		p.r.routes.attemptEnded(c.target, p.r.now-c.sent, jackdawbridge.Unknown, jackdawbridge.Cancelled, jackdawbridge.Feedback{})
	}
	c.maybeRan = true
	p.r.fx.Cancel(c.id, c.attempt, cause)
}

// end removes a call and reports its end to the parts that keep state for it.
func (p *calls) end(c *call, outcome jackdawbridge.Outcome) {
	if c.stage == stageToken {
		p.r.shares.cancelWait(c.id, c.envelope.Account())
	}
	if c.stage == stageOnce || c.startRecorded {
		p.r.once.reportCompletion(c.request.ID(), c.envelope.Account(), c.request.IdempotencyKey(), outcome, c.status)
	}
	if c.stage == stageBackoff {
		p.backoffs.Remove(c.id)
	}
	if c.child {
		p.r.runs.detach(c)
	}
	delete(p.active, c.id)
	p.deadlines.Remove(c.id)
	p.free.Put(c)
}

// wake returns the next deadline of a call, or the next end of a backoff if that is
// earlier.
func (p *calls) wake() jackdawbridge.Millis {
	next := never
	if _, at, ok := p.deadlines.Min(); ok {
		next = at
	}
	if _, at, ok := p.backoffs.Min(); ok {
		next = min(next, at)
	}
	return next
}

// tick ends the calls whose deadline has passed and then resends those whose
// backoff is over.
func (p *calls) tick() {
	defer p.resume()
	for {
		id, ok := p.deadlines.PopUntil(p.r.now)
		if !ok {
			return
		}
		p.timeout(p.active[id])
	}
}

// runEnded ends a call whose run has ended.
func (p *calls) runEnded(c *call) {
	answered := c.stage == stageAnswered
	p.cancelAttempt(c, jackdawbridge.ParentEnded)
	if answered {
		p.end(c, jackdawbridge.Unknown)
		return
	}
	p.refuse(c, p.failure(c, jackdawbridge.Cancelled))
}

// withdraw refuses the calls that no upstream's node has: those that wait for a token,
// for the record of their start or for a retry. It is called when the node sends no more
// requests to upstreams, because its process exits soon.
func (p *calls) withdraw() {
	for _, id := range slices.Sorted(maps.Keys(p.active)) {
		c, ok := p.active[id]
		if !ok || c.stage == stageForward || c.stage == stageAnswered {
			continue
		}
		p.refuse(c, p.failure(c, jackdawbridge.Draining))
	}
}

// abandon refuses the calls whose attempts have no answer, and whose outcomes stay
// unknown. It is called before the exit of the process. Answers that are being passed on
// are not interrupted.
func (p *calls) abandon() {
	for _, id := range slices.Sorted(maps.Keys(p.active)) {
		c, ok := p.active[id]
		if !ok || c.stage == stageAnswered {
			continue
		}
		p.cancelAttempt(c, jackdawbridge.ProcessStops)
		p.refuse(c, p.failure(c, jackdawbridge.Draining))
	}
}

// timeout ends a call whose deadline has passed. An answer that is being passed
// on is truncated.
func (p *calls) timeout(c *call) {
	answered := c.stage == stageAnswered
	p.cancelAttempt(c, jackdawbridge.DeadlineReached)
	if answered {
		p.end(c, jackdawbridge.Unknown)
		return
	}
	p.refuse(c, p.failure(c, jackdawbridge.DeadlinePassed))
}

// internal reports whether a call is assumed to be made by the local backend server
// for a request that it is running: the route is open and the call may come from that
// server. Refusing the call would waste the work already done for that request.
func (c *call) internal() bool { return c.request.MaybeInternal() && c.envelope.Account() == "" }
