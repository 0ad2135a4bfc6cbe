package reducer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
)

// precedence returns the order of a caller's request among those that reach the same
// services. Within a rank it is a hash of the request, so that the same trees go first
// at each of their calls.
func (p *calls) precedence(c *call) jackdawbridge.Precedence {
	return jackdawbridge.NewPrecedence(c.rank(), uint8(xxhash.Sum64String(string(c.request.ID()))))
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

// learnUsage adds what an attempt used to that of the run for which the backend server
// made the call.
func (p *calls) learnUsage(c *call, feedback *jackdawbridge.Feedback) {
	if !c.child {
		return
	}
	if u, ok := p.r.runs.active[c.parent]; ok {
		usage := feedback.Usage()
		u.usage.Merge(&usage)
	}
}

// grantRetry reports whether a request that the backend server has rejected may be sent to
// another one.
func (p *runs) grantRetry(u *run, reason jackdawbridge.Reason) bool {
	return reason == jackdawbridge.BackendFull && p.tries.Reject(p.r.now, u.envelope.Precedence())
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
		WithThresholds(0, p.tries.Threshold(p.r.now)).
		WithRejected(p.tries.Rejected(p.r.now)))
	return usage
}
