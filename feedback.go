package jackdawbridge

// Feedback is the load report that an upstream's node sends to the entry node with
// each answer and each refusal.
type Feedback struct {
	level         Level // admission level of the upstream
	unusedRetries int   // retries of the call's allowance that were not used
	occupancy     Occupancy
	waited        Millis // time in the upstream's queue
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
