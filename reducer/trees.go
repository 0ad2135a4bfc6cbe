package reducer

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/admission"
)

// precedence returns the order of a caller's request among those that reach the same
// services. Within a rank a hash decides, so that the same trees go first at each of their
// calls.
func (p *calls) precedence(c *call) jackdawbridge.Precedence {
	return admission.NewPrecedence(c.rank(), 0, uint8(xxhash.Sum64String(string(c.request.ID()))))
}

// childPrecedence returns the precedence of the next call of a run. It rises with each call
// that the run has behind it: a second try of the last one gains a whole request, and one
// of the first gains only the chance to need more. Where runs make a single call, nothing
// is distinguished.
func (p *runs) childPrecedence(u *run) jackdawbridge.Precedence {
	own, calls := u.envelope.Precedence(), p.callCounts[classOf(u.envelope)].Round()
	left := admission.MaxLeft
	if calls > 1 {
		left = max(calls-u.served-1, 0)
	}
	return admission.NewPrecedence(own.Rank(), left, own.Order())
}

// countCalls adds the calls of a run that was served to the average of its class. A run
// with an error answer may have ended before its last call.
func (p *runs) countCalls(u *run) {
	if u.status < http.StatusInternalServerError {
		p.callCounts[classOf(u.envelope)].Add(u.served)
	}
}

const (
	// A call is sent to the same upstream once more after repeatDelayMin and up to
	// repeatDelayJitter milliseconds more, in which slots of its backend server become free.
	repeatDelayMin    = 2 * jackdawbridge.Millis(1)
	repeatDelayJitter = 10 // ms
)

// maxRepeats is the number of times that a call is sent once more to an upstream whose
// backend server has rejected it, after its retry allowance is used up. Four of them
// carry nine in ten calls through a service that rejects half of what arrives.
const maxRepeats = 4

// mayRepeat reports whether a call without a retry allowance may be sent once more to the
// upstream that has rejected it. The allowance bounds the upstreams that a request reaches;
// a send to the same one needs only the grant of the service.
func (p *calls) mayRepeat(c *call, reason jackdawbridge.Reason, feedback *jackdawbridge.Feedback) bool {
	return decidesRetries(reason, feedback) && feedback.RetryGranted() && c.repeats < maxRepeats &&
		c.deadline > p.r.now+repeatDelayMin+repeatDelayJitter
}

// repeat sends a call to the same upstream once more after a short delay.
func (p *calls) repeat(c *call) {
	c.repeats++
	c.repeating = true
	c.stage = stageBackoff
	p.backoffs.Set(c.id, p.r.now+repeatDelayMin+jackdawbridge.Millis(p.r.routes.random.Uint64()%repeatDelayJitter))
	p.r.fx.Log(jackdawbridge.PartRetry, "request sent to the same upstream again after its backend server rejected it").About(c.request.ID(), c.target).
		Int("attempt", int64(c.attempt)).Int("repeats", int64(c.repeats))
}

// pick selects the upstream of the next attempt.
func (p *calls) pick(c *call) (jackdawbridge.Peer, bool) {
	if c.repeating {
		c.repeating = false
		return p.r.routes.find(c.envelope.Service(), c.target)
	}
	return p.r.routes.pick(c.envelope.Service(), c.rank(), c.target, classOf(c.envelope))
}

// find returns an upstream of a service that accepts requests.
func (p *routes) find(service jackdawbridge.ServiceName, node jackdawbridge.Node) (jackdawbridge.Peer, bool) {
	s := p.subset(service)
	for _, list := range [2][]upstream{s.local, s.remote} {
		for i := range list {
			o := list[i].observation
			if list[i].peer.Node() == node {
				return list[i].peer, o.inFlight < maxInFlight && !o.reachability.unreachable && !o.ejected(p.r.now)
			}
		}
	}
	return jackdawbridge.Peer{}, false
}

// decidesRetries reports whether the node of the service has decided about a second try
// of a failed attempt. Nodes that report no usage leave it to the caller's node.
func decidesRetries(reason jackdawbridge.Reason, feedback *jackdawbridge.Feedback) bool {
	usage := feedback.Usage()
	return reason == jackdawbridge.BackendFull && usage.Len() > 0
}

// retryGranted reports whether a call that has reached a backend server may be sent to
// another one. Its service decides if it has answered, and otherwise the budget that
// this node has for the service.
func (p *calls) retryGranted(c *call, reason jackdawbridge.Reason, feedback *jackdawbridge.Feedback) bool {
	if decidesRetries(reason, feedback) {
		return feedback.RetryGranted()
	}
	return p.retryBudgets.allows(c.envelope.Service())
}

// routeKey returns the key of the route of a call.
func (c *call) routeKey() admission.RouteKey {
	return admission.NewRouteKey(c.envelope.Service(), c.route.Prefix())
}

// refusesTree reports whether a service that the calls of a request reach has no room for
// it, and logs which.
func (p *calls) refusesTree(c *call) bool {
	threshold, service := p.forecast.Threshold(p.r.now, c.routeKey())
	if admission.EntryPrecedence(c.envelope.Precedence()) >= threshold {
		return false
	}
	p.refusedTrees[c.rank()]++
	p.r.fx.Log(jackdawbridge.PartCall, "request refused before any work: a service that it reaches has no room").About(c.request.ID(), c.target).
		Str("binding", string(service)).Int("precedence", int64(admission.EntryPrecedence(c.envelope.Precedence()))).Int("threshold", int64(threshold))
	return true
}

// treeRetryAfter returns the time after which a refused tree may find room. It is spread, so
// that the requests that are refused together do not come back together.
func (p *calls) treeRetryAfter() jackdawbridge.Millis {
	return shedRetryAfter + jackdawbridge.Millis(p.r.routes.random.Uint64()%uint64(shedRetryAfter))
}

// learnUsage adds what an attempt used to that of the run for which the backend server
// made the call.
func (p *calls) learnUsage(c *call, feedback *jackdawbridge.Feedback, served bool) {
	usage := feedback.Usage()
	p.forecast.Observe(p.r.now, &usage)
	if served && c.route != nil && c.envelope.Depth() == 0 {
		p.forecast.Learn(c.routeKey(), &usage)
	}
	if !c.child {
		return
	}
	if u, ok := p.r.runs.active[c.parent]; ok {
		u.usage.Merge(&usage)
		if served {
			u.served++
		}
	}
}

// grantRetry reports whether a request that the backend server has rejected may be sent to
// another one.
func (p *runs) grantRetry(u *run, reason jackdawbridge.Reason) bool {
	if reason != jackdawbridge.BackendFull {
		return false
	}
	if !p.tries.Reject(p.r.now, u.envelope.Precedence()) {
		p.triesDenied++
		return false
	}
	p.triesGranted++
	return true
}

// usage returns what a request has used of this service and of those that it called, with
// what this service admits.
func (p *runs) usage(u *run) jackdawbridge.Usage {
	usage := u.usage
	calls, work := 0, jackdawbridge.Millis(0)
	if u.state != runWaiting {
		calls, work = 1, max(p.r.now-u.began-u.childTime, 0)
	}
	usage.Add(jackdawbridge.NewServiceUsage(u.envelope.Service(), calls, work).
		WithThresholds(p.threshold(), p.tries.Threshold(p.r.now)).
		WithRejected(p.tries.Rejected(p.r.now)))
	return usage
}

// threshold returns the precedence below which this service has no room for new trees.
func (p *runs) threshold() jackdawbridge.Precedence {
	return p.gate.Threshold(p.r.now, p.limiter.Limit(), p.queue.Level(p.r.now) > 0)
}
