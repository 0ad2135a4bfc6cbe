package jackdawbridge

import "context"

// Reducer makes every decision of a node. It is not safe for concurrent use.
type Reducer interface {
	// Apply updates the state with one event and adds the resulting effects.
	Apply(event Event, effects *Effects)
	// NextTick returns the time at which the next Tick is due.
	NextTick() Millis
}

// Store is the client of the platform's key-value service.
type Store interface {
	// Load reads a record. A record that does not exist has version 0. The error is
	// ErrInvalid if the value of the record cannot be decoded or is not valid.
	Load(ctx context.Context, name RecordName) (Record, error)
	// Check is Load for a caller that has the record at the given version. If the
	// record still has that version, it returns an unchanged record without its value.
	Check(ctx context.Context, name RecordName, version uint64) (Record, error)
	// Scan reads all records whose names begin with a prefix. A record that cannot be
	// decoded or is not valid has a version and no value.
	Scan(ctx context.Context, prefix RecordName) ([]Record, error)
	// Swap is a compare-and-swap: it writes a record if the record has the
	// given version, 0 for a record that does not exist, and returns the new
	// version. A nil value removes the record. With a lease above 0 the platform
	// removes the record when the lease expires.
	// The error is ErrConflict if the record has another version.
	Swap(ctx context.Context, name RecordName, version uint64, value Value, lease Millis) (uint64, error)
	// Watch blocks until the version of a record differs from the given one and
	// returns the record.
	Watch(ctx context.Context, name RecordName, version uint64) (Record, error)
	// Era returns the highest era that an answer of the store has named, 0 for a store
	// without eras. A store that comes back from an older copy of its records starts a new
	// era. Versions of different eras differ, and a Swap from a version of another era
	// changes nothing.
	Era() uint64
}

// Transport carries messages between nodes.
type Transport interface {
	// Send queues a frame and does not block. Delivery is not guaranteed.
	Send(to Peer, frame Frame) error
	// Close stops the transport and releases its resources.
	Close() error
}

// Codec encodes and decodes frames, the heads of requests and answers, and stored
// values. Decoding fails on any input that violates an invariant of the types, except for an
// entry of a table: it is left out as an omission of the table.
type Codec interface {
	EncodeFrame(frame Frame) ([]byte, error)
	DecodeFrame(data []byte) (Frame, error)
	EncodeForwardedRequest(request ForwardedRequest) ([]byte, error)
	DecodeForwardedRequest(data []byte) (ForwardedRequest, error)
	EncodeReply(reply Reply) ([]byte, error)
	DecodeReply(data []byte) (Reply, error)
	EncodeValue(value Value) ([]byte, error)
	DecodeValue(name RecordName, data []byte) (Value, error)
}

// Candidate describes an upstream to a Picker.
type Candidate struct {
	busy                int     // last known count of running and waiting requests
	latency             Millis  // smoothed latency of this node's calls without queueing, at least 1
	consecutiveFailures int     // consecutive failures of this node's calls
	slots               int     // concurrent requests that the upstream accepts, at least 1
	remote              bool    // in another data centre
	own                 float64 // expected time of the request there in ms, 0 if unknown
	work                float64 // expected time in ms of the requests that run and wait there; the slots share it
}

// NewCandidate returns a candidate in the local data centre.
func NewCandidate(busy int, latency Millis, consecutiveFailures, slots int) Candidate {
	return Candidate{busy: busy, latency: max(latency, 1), consecutiveFailures: consecutiveFailures, slots: max(slots, 1)}
}

// WithLatency returns c with the given latency, at least 1.
func (c Candidate) WithLatency(latency Millis) Candidate {
	c.latency = max(latency, 1)
	return c
}

// WithRemote returns c marked as being in another data centre, or in the local one.
func (c Candidate) WithRemote(remote bool) Candidate {
	c.remote = remote
	return c
}

// WithEstimate returns c with the expected time in ms of the request at the upstream and of
// the work that the upstream still has to do, both at its present pace.
func (c Candidate) WithEstimate(own, work float64) Candidate {
	c.own, c.work = max(own, 0), max(work, 0)
	return c
}

// Own returns the expected time of the request at the upstream in ms, 0 if unknown.
func (c Candidate) Own() float64 { return c.own }

// Work returns the expected time in ms of the requests that run and wait at the upstream.
func (c Candidate) Work() float64 { return c.work }

// Busy returns the last known count of requests that run or wait at the upstream.
func (c Candidate) Busy() int { return c.busy }

// Latency returns the smoothed latency of this node's calls to the upstream,
// without the time that they waited in its queue.
func (c Candidate) Latency() Millis { return c.latency }

// ConsecutiveFailures returns how many calls of this node to the upstream failed in a
// row.
func (c Candidate) ConsecutiveFailures() int { return c.consecutiveFailures }

// Slots returns how many concurrent requests the upstream accepts.
func (c Candidate) Slots() int { return c.slots }

// Remote reports whether the upstream is in another data centre.
func (c Candidate) Remote() bool { return c.remote }

// Picker chooses the upstream for an attempt.
type Picker interface {
	// Pick returns the index of the chosen candidate. Candidates must not be
	// empty; draw is a uniformly distributed random number.
	Pick(candidates []Candidate, draw uint64) int
}

// Sample is the measurement of one finished run, for a Limiter.
type Sample struct {
	latency  Millis
	inFlight int  // concurrent runs when this one started, including itself
	dropped  bool // timed out or failed
	class    int  // combines criticality and depth, from 0 to MaxClass
}

// MaxClass is the highest class of a Sample.
const MaxClass = (int(Critical)+1)*(MaxDepth+1) - 1

// NewSample returns the sample of a run. The run is dropped if it timed out or
// failed.
func NewSample(latency Millis, inFlight int, dropped bool) Sample {
	return Sample{latency: latency, inFlight: inFlight, dropped: dropped}
}

// WithClass returns s for a run of the given criticality and depth. Runs that
// have both in common tend to do similar work, so a limiter that compares runs of
// the same class does not mistake a change of the request mix for a change of the
// latency.
func (s Sample) WithClass(criticality Criticality, depth int) Sample {
	s.class = int(criticality)*(MaxDepth+1) + depth
	return s
}

// Class returns the number that stands for the run's criticality and depth.
func (s Sample) Class() int { return s.class }

// Latency returns how long the run took.
func (s Sample) Latency() Millis { return s.latency }

// InFlight returns how many runs were in progress when this one started,
// including itself.
func (s Sample) InFlight() int { return s.inFlight }

// Dropped reports whether the run timed out or failed.
func (s Sample) Dropped() bool { return s.dropped }

// Limiter adapts the number of concurrent requests to what a backend server
// sustains.
type Limiter interface {
	// Limit returns how many concurrent runs are allowed, from 1 to the slots.
	Limit() int
	// Observe updates the limit with the sample of a finished run.
	Observe(at Millis, sample Sample)
	// Resize changes the number of slots, at least 1.
	Resize(slots int)
}

// QueuedCall is a call that waits in a Queue.
type QueuedCall struct {
	call         CallID
	account      AccountName
	rank         Level
	paidPriority bool
	depth        int // below the caller's request
	precedence   Precedence
	arrived      Millis // when the call was added to the queue
	deadline     Millis // when the call must be answered
	cost         Millis // expected work, at least 1
}

// NewQueuedCall returns a call that has waited since arrived and must be answered
// by the deadline.
func NewQueuedCall(call CallID, envelope Envelope, arrived, deadline Millis) QueuedCall {
	return QueuedCall{
		call: call, account: envelope.account, rank: Rank(envelope.criticality, envelope.paidPriority),
		paidPriority: envelope.paidPriority, depth: envelope.depth, precedence: envelope.precedence,
		arrived: arrived, deadline: deadline, cost: 1,
	}
}

// WithCost returns c with the work that it is expected to cause, at least 1. Calls of
// unknown work all cost 1.
func (c QueuedCall) WithCost(cost Millis) QueuedCall {
	c.cost = max(cost, 1)
	return c
}

// Cost returns the work that the call is expected to cause, at least 1.
func (c QueuedCall) Cost() Millis { return c.cost }

// Call returns the call.
func (c QueuedCall) Call() CallID { return c.call }

// Account returns the client account of the call.
func (c QueuedCall) Account() AccountName { return c.account }

// Rank returns the rank of the call; a higher rank is more important.
func (c QueuedCall) Rank() Level { return c.rank }

// PaidPriority reports whether the account has paid priority.
func (c QueuedCall) PaidPriority() bool { return c.paidPriority }

// Depth returns the depth of the call below the caller's request.
func (c QueuedCall) Depth() int { return c.depth }

// Precedence returns the order of the call's request among those that compete for the same
// service.
func (c QueuedCall) Precedence() Precedence { return c.precedence }

// Arrived returns when the call was added to the queue.
func (c QueuedCall) Arrived() Millis { return c.arrived }

// Deadline returns the time by which the call must be answered.
func (c QueuedCall) Deadline() Millis { return c.deadline }

// Queue holds the calls that wait for a slot and orders them.
type Queue interface {
	// Push adds a call. If the queue is full, it returns the call that is shed to
	// make room, which may be the new call itself.
	Push(at Millis, call QueuedCall) (shed QueuedCall, full bool)
	// Pop removes and returns the next call to run.
	Pop(at Millis) (call QueuedCall, ok bool)
	// Expire removes and returns a call that has less than minTimeLeft until its
	// deadline, or that has waited too long.
	Expire(at Millis, minTimeLeft Millis) (call QueuedCall, ok bool)
	// Remove removes a call and reports whether it was in the queue.
	Remove(call CallID) bool
	// Len returns the number of waiting calls.
	Len() int
	// Level returns the admission level: calls of a lower rank are not admitted
	// at the given time.
	Level(at Millis) Level
}
