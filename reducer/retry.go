package reducer

import "github.com/jackdawbridge/jackdawbridge"

// defaultRetryAllowance is the number of retries that a caller's request may cause
// in its whole call tree if its route sets no number of attempts.
const defaultRetryAllowance = 2

const (
	// A retry after a refusal for overload waits for backoffMin and up to
	// backoffJitter milliseconds more, so that retries of many calls do not arrive at
	// the same time.
	backoffMin    = 10 * jackdawbridge.Millis(1)
	backoffJitter = 30 // ms
)

// subtreeAllowance returns how many of a call's remaining retries are passed on with
// an attempt. The entry node keeps one for itself.
func subtreeAllowance(left int) int { return max(left-1, 0) }

// mayRetry reports whether a call may be sent again after an attempt that failed.
func (p *calls) mayRetry(c *call, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason, feedback *jackdawbridge.Feedback) bool {
	if c.deadline <= p.r.now || p.r.drain.withdrawn {
		return false
	}
	if outcome != jackdawbridge.NotRun && !c.envelope.Idempotent() {
		return false
	}
	if c.allowance < 1 {
		return p.mayRepeat(c, reason, feedback)
	}
	if reachedBackend(outcome, reason) && !p.retryGranted(c, reason, feedback) {
		return false
	}
	switch reason {
	case jackdawbridge.Overloaded:
		return !p.sheds(c) && c.deadline > p.r.now+backoffMin+backoffJitter
	case jackdawbridge.Draining, jackdawbridge.BackendDown, jackdawbridge.NotReady, jackdawbridge.BackendFull,
		jackdawbridge.UpstreamFailed, jackdawbridge.Warming:
		return true
	}
	// Another upstream would refuse for the same reason.
	return false
}

// reachedBackend reports whether a failed attempt may have reached a backend
// server.
func reachedBackend(outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) bool {
	return outcome != jackdawbridge.NotRun || reason == jackdawbridge.BackendFull
}

// retry sends a call again, after a backoff if the upstream was overloaded.
func (p *calls) retry(c *call, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason, feedback *jackdawbridge.Feedback) {
	if reachedBackend(outcome, reason) {
		c.envelope = c.envelope.WithRepeated(true)
		if !decidesRetries(reason, feedback) {
			p.retryBudgets.spend(c.envelope.Service())
		}
	}
	if c.allowance < 1 {
		p.repeat(c)
		return
	}
	c.allowance--
	p.r.fx.Log(jackdawbridge.PartRetry, "request sent again after a failed attempt").About(c.request.ID(), c.target).Str("reason", reason.String()).Str("outcome", outcome.String()).
		Int("attempt", int64(c.attempt)).Int("left", int64(c.allowance))
	if reason != jackdawbridge.Overloaded {
		p.forward(c)
		return
	}
	c.stage = stageBackoff
	p.backoffs.Set(c.id, p.r.now+backoffMin+jackdawbridge.Millis(p.r.routes.random.Uint64()%backoffJitter))
}

// resume resends the calls whose backoff is over.
func (p *calls) resume() {
	for {
		id, ok := p.backoffs.PopUntil(p.r.now)
		if !ok {
			return
		}
		p.forward(p.active[id])
	}
}

// levelKey returns the key of the admission level that applies to a call.
func (c *call) levelKey() levelKey { return levelKey{c.envelope.Service(), c.route.Prefix()} }

// sheds reports whether a call is below the admission level of its route.
func (p *calls) sheds(c *call) bool {
	return p.r.routes.sheds(c.levelKey(), c.rank(), c.envelope.PaidPriority())
}

// rank returns the rank of a call, which upstreams compare with their admission
// level.
func (c *call) rank() jackdawbridge.Level {
	return jackdawbridge.Rank(c.envelope.Criticality(), c.envelope.PaidPriority())
}

// learn records the admission level that came with an answer. If the backend
// server made the call for a run, the level is also reported with the answer of
// that run, so that it reaches the entry node of the whole call tree. If the run of
// an internal call is not known, the level is reported with the answers of all runs.
func (p *calls) learn(c *call, level jackdawbridge.Level) {
	p.r.routes.learn(c.target, c.levelKey(), level)
	if !c.child {
		if c.internal() {
			p.r.runs.unlinkedLevel.learn(p.r.now, level)
		}
		return
	}
	if u, ok := p.r.runs.active[c.parent]; ok {
		u.level = max(u.level, level)
	}
}

// lendRetries deducts half of the run's remaining retries, rounded up, and returns
// them as the allowance of a call that the backend server makes for the run.
func (u *run) lendRetries() int {
	part := (u.allowance + 1) / 2
	u.allowance -= part
	return part
}
