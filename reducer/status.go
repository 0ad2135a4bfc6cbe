package reducer

import "github.com/jackdawbridge/jackdawbridge"

var _ jackdawbridge.Inspector = (*Reducer)(nil)

// Status returns a summary of the state. A stopping node is not ready, so that
// clients move to other nodes.
func (r *Reducer) Status() jackdawbridge.Status {
	ready := r.settings.ready() && !r.drain.stopping
	return jackdawbridge.NewStatus(r.self, r.digest(), ready, r.drain.stopping).
		WithCounts(len(r.calls.active), len(r.runs.active), len(r.members.known)).
		WithQueue(r.runs.queue.Len(), r.runs.limiter.Limit()).
		WithSlowStart(r.warmup.left(), r.warmup.refused, r.evacuation.since != 0).
		WithPlacing(jackdawbridge.NewPlacing(r.routes.estimated, r.runs.work.estimate.Clamped(), r.runs.work.expected, r.runs.work.actual)).
		WithTrees(r.trees()).
		WithOmitted(r.settings.config.omissions.Count()+r.settings.keys.omissions.Count(), r.settings.omitted)
}

// trees returns the decisions about call trees.
func (r *Reducer) trees() jackdawbridge.TreeCounts {
	return jackdawbridge.NewTreeCounts(r.runs.triesGranted, r.runs.triesDenied, r.calls.refusedTrees, r.calls.forecast.Evicted()).
		WithService(r.runs.threshold(), r.runs.tries.Threshold(r.now), r.runs.tries.Rejected(r.now), r.runs.gate.Load())
}
