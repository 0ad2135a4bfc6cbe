package jackdawbridge

// Feedback is what an upstream's node tells an entry node with each answer and
// each refusal.
type Feedback struct {
	level     Level // admission level of the upstream
	unused    int   // retries that the upstream gives back
	occupancy Occupancy
	waited    Millis // before the request was run or refused
}

// NewFeedback returns a feedback with the admission level of an upstream and the
// retries that it gives back.
func NewFeedback(level Level, unused int) Feedback { return Feedback{level: level, unused: unused} }

// WithOccupancy returns f with how busy the upstream is, and for how long the
// request has waited there.
func (f Feedback) WithOccupancy(occupancy Occupancy, waited Millis) Feedback {
	f.occupancy, f.waited = occupancy, waited
	return f
}

// Level returns the admission level of the upstream.
func (f Feedback) Level() Level { return f.level }

// Unused returns the retries that the upstream gives back.
func (f Feedback) Unused() int { return f.unused }

// Occupancy returns how busy the upstream is, zero if that is unknown.
func (f Feedback) Occupancy() Occupancy { return f.occupancy }

// Waited returns the time that the request has waited at the upstream.
func (f Feedback) Waited() Millis { return f.waited }

// Occupancy is how busy an upstream is.
type Occupancy struct {
	busy  int // requests that run and wait
	limit int // requests that may run at once, 0 if the occupancy is unknown
}

// NewOccupancy returns the occupancy of an upstream that runs at most limit
// requests at once.
func NewOccupancy(busy, limit int) Occupancy { return Occupancy{busy: busy, limit: limit} }

// Busy returns the requests that run and wait.
func (o Occupancy) Busy() int { return o.busy }

// Limit returns the requests that may run at once, 0 if the occupancy is unknown.
func (o Occupancy) Limit() int { return o.limit }
