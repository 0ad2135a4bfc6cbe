package jackdawbridge

// Feedback is the load report that an upstream's node sends to the entry node with
// each answer and each refusal.
type Feedback struct {
	level         Level // admission level of the upstream
	unusedRetries int   // retries of the call's allowance that were not used
	occupancy     Occupancy
	waited        Millis // time in the upstream's queue
	backlog       Backlog
	usage         Usage // of the request and of the calls made for it
	retryGranted  bool  // a request that the backend server rejected may be sent to another one
}

// NewFeedback returns a load report with the admission level of an upstream and the
// number of retries that the call did not use.
func NewFeedback(level Level, unusedRetries int) Feedback {
	return Feedback{level: level, unusedRetries: unusedRetries}
}

// WithOccupancy returns f with the occupancy of the upstream and the time that the
// request waited in its queue.
func (f Feedback) WithOccupancy(occupancy Occupancy, waited Millis) Feedback {
	f.occupancy, f.waited = occupancy, waited
	return f
}

// WithBacklog returns f with the work that the upstream still has to do.
func (f Feedback) WithBacklog(backlog Backlog) Feedback {
	f.backlog = backlog
	return f
}

// WithUsage returns f with what the request, with the calls made for it, used of the
// services that it reached.
func (f Feedback) WithUsage(usage Usage) Feedback {
	f.usage = usage
	return f
}

// WithRetryGranted returns f for a request that the backend server rejected, and reports
// whether the service has room for a second try elsewhere.
func (f Feedback) WithRetryGranted(granted bool) Feedback {
	f.retryGranted = granted
	return f
}

// Backlog returns the work that the upstream still has to do, zero if unknown.
func (f Feedback) Backlog() Backlog { return f.backlog }

// Usage returns what the request used of the services that it reached.
func (f Feedback) Usage() Usage { return f.usage }

// RetryGranted reports whether the service has room for a second try of a request that the
// backend server rejected.
func (f Feedback) RetryGranted() bool { return f.retryGranted }

// Level returns the admission level of the upstream.
func (f Feedback) Level() Level { return f.level }

// UnusedRetries returns how many retries of its allowance the call did not use.
func (f Feedback) UnusedRetries() int { return f.unusedRetries }

// Occupancy returns the occupancy of the upstream, zero if unknown.
func (f Feedback) Occupancy() Occupancy { return f.occupancy }

// Waited returns how long the request waited in the upstream's queue before it was
// run or refused.
func (f Feedback) Waited() Millis { return f.waited }

// Occupancy is the number of requests at an upstream and its concurrency limit.
type Occupancy struct {
	busy  int // running and waiting requests
	limit int // concurrent requests that may run, 0 if the occupancy is unknown
}

// NewOccupancy returns the occupancy of an upstream that runs at most limit
// requests at once.
func NewOccupancy(busy, limit int) Occupancy { return Occupancy{busy: busy, limit: limit} }

// Busy returns the number of running and waiting requests.
func (o Occupancy) Busy() int { return o.busy }

// Limit returns how many requests may run concurrently, 0 if the occupancy is
// unknown.
func (o Occupancy) Limit() int { return o.limit }
