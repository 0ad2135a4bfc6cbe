package reducer

import "github.com/jackdawbridge/jackdawbridge"

// retryAllowance is the number of retries that a caller's request may cause
// over its whole call tree.
const retryAllowance = 2

const (
	// pauseMin and pauseSpan bound the wait before a retry after a refusal for
	// overload. The wait is jittered so that retries do not come in step.
	pauseMin  = 10 * jackdawbridge.Millis(1)
	pauseSpan = 30
)

// subtreeAllowance returns how many of the retries left go down with an
// attempt. The entry keeps one for itself.
func subtreeAllowance(left int) int { return max(left-1, 0) }

// mayRetry reports whether a failed attempt may be sent again.
func (p *calls) mayRetry(c *call, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) bool {
	if c.allowance < 1 || c.deadline <= p.r.now {
		return false
	}
	if outcome != jackdawbridge.NotRun && !c.envelope.Idempotent() {
		return false
	}
	if seen(outcome, reason) && !p.budgets.allows(c.envelope.Service()) {
		return false
	}
	switch reason {
	case jackdawbridge.Overloaded:
		return !p.sheds(c) && c.deadline > p.r.now+pauseMin+pauseSpan
	case jackdawbridge.Draining, jackdawbridge.BackendDown, jackdawbridge.NotReady, jackdawbridge.BackendFull,
		jackdawbridge.UpstreamFailed:
		return true
	}
	// Another upstream would refuse for the same reason.
	return false
}

// seen reports whether a backend server may have seen an attempt that failed.
func seen(outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) bool {
	return outcome != jackdawbridge.NotRun || reason == jackdawbridge.BackendFull
}

// retry sends a call again, after a pause if the upstream was overloaded.
func (p *calls) retry(c *call, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) {
	c.allowance--
	if seen(outcome, reason) {
		p.budgets.spend(c.envelope.Service())
	}
	p.r.fx.Log(jackdawbridge.PartRetry, "retries").About(c.request.ID(), c.target).Str("reason", reason.String()).Str("outcome", outcome.String()).
		Int("attempt", int64(c.attempt)).Int("left", int64(c.allowance))
	if reason != jackdawbridge.Overloaded {
		p.forward(c)
		return
	}
	c.stage = stagePause
	p.pauses.Set(c.id, p.r.now+pauseMin+jackdawbridge.Millis(p.r.routes.random.Uint64()%pauseSpan))
}

// resume sends the calls again whose pause is over.
func (p *calls) resume() {
	for {
		id, ok := p.pauses.PopUntil(p.r.now)
		if !ok {
			return
		}
		p.forward(p.active[id])
	}
}

// levelKey returns the key of the admission level that holds for a call.
func (c *call) levelKey() levelKey { return levelKey{c.envelope.Service(), c.route.Prefix()} }

// sheds reports whether a call is below the admission level of its route.
func (p *calls) sheds(c *call) bool {
	return p.r.routes.sheds(c.levelKey(), c.rank(), c.envelope.Bought())
}

func (c *call) rank() jackdawbridge.Level {
	return jackdawbridge.Rank(c.envelope.Criticality(), c.envelope.Bought())
}

// learn takes note of the admission level that came with an answer. It goes on
// to the entry of a backend server's call with the answer of the run.
func (p *calls) learn(c *call, level jackdawbridge.Level) {
	p.r.routes.learn(c.target, c.levelKey(), level)
	if !c.child {
		if c.internal() {
			p.r.runs.below.learn(p.r.now, level)
		}
		return
	}
	if u, ok := p.r.runs.active[c.parent]; ok {
		u.level = max(u.level, level)
	}
}

// lend takes the part of a run's retries that one of its own calls gets: half
// of what is left, rounded up.
func (u *run) lend() int {
	part := (u.allowance + 1) / 2
	u.allowance -= part
	return part
}
