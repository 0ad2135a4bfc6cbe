package jackdawbridge

import "context"

// Reducer makes every decision of a node. It is not safe for concurrent use.
type Reducer interface {
	// Apply changes the state by one event and adds the effects that follow.
	Apply(event Event, effects *Effects)
	// Wake returns when the next Tick is due.
	Wake() Millis
}

// Store is the platform's key-value service.
type Store interface {
	// Load reads a record. A record that does not exist has version 0.
	Load(ctx context.Context, name RecordName) (Record, error)
	// Swap changes a record if it has the given version, 0 for one that does
	// not exist, and returns the new version. A nil value removes the record.
	// A lease above 0 removes the record when the lease ends.
	// The error is ErrConflict if the record has another version.
	Swap(ctx context.Context, name RecordName, version uint64, value Value, lease Millis) (uint64, error)
	// Watch waits until a record has a version other than the given one and
	// returns it.
	Watch(ctx context.Context, name RecordName, version uint64) (Record, error)
}

// Transport carries messages between nodes.
type Transport interface {
	// Send sends a frame without waiting. A frame may be lost.
	Send(to Peer, frame Frame) error
	// Close ends the transport.
	Close() error
}

// Codec translates frames, the heads of requests and answers, and stored values to bytes and back.
// Decoding fails on any input that does not keep the invariants of the types.
type Codec interface {
	EncodeFrame(frame Frame) ([]byte, error)
	DecodeFrame(data []byte) (Frame, error)
	EncodePassage(passage Passage) ([]byte, error)
	DecodePassage(data []byte) (Passage, error)
	EncodeReply(reply Reply) ([]byte, error)
	DecodeReply(data []byte) (Reply, error)
	EncodeValue(value Value) ([]byte, error)
	DecodeValue(name RecordName, data []byte) (Value, error)
}

// Candidate is an upstream as a Picker sees it.
type Candidate struct {
	busy     int    // requests that run and wait there, as far as known
	latency  Millis // smoothed time of own calls without their waits, at least 1
	failures int    // own failures in a row
	slots    int    // at least 1
	far      bool   // in another data centre
}

// NewCandidate returns a candidate of the own data centre.
func NewCandidate(busy int, latency Millis, failures, slots int) Candidate {
	return Candidate{busy: busy, latency: max(latency, 1), failures: failures, slots: max(slots, 1)}
}

// WithLatency returns c with another latency.
func (c Candidate) WithLatency(latency Millis) Candidate {
	c.latency = max(latency, 1)
	return c
}

// WithDistance returns c in the own data centre or in another.
func (c Candidate) WithDistance(far bool) Candidate {
	c.far = far
	return c
}

// Busy returns the requests that run and wait, as far as known.
func (c Candidate) Busy() int { return c.busy }

// Latency returns the smoothed time of own calls without their waits.
func (c Candidate) Latency() Millis { return c.latency }

// Failures returns the own failures in a row.
func (c Candidate) Failures() int { return c.failures }

// Slots returns how many requests the upstream takes at once.
func (c Candidate) Slots() int { return c.slots }

// Far reports whether the upstream is in another data centre.
func (c Candidate) Far() bool { return c.far }

// Picker chooses among upstreams.
type Picker interface {
	// Pick returns the index of the chosen candidate. There is at least one.
	// The draw is a uniform random number.
	Pick(candidates []Candidate, draw uint64) int
}

// Sample is what a Limiter learns from one ended run.
type Sample struct {
	latency  Millis
	inFlight int // runs when this one began, itself included
	dropped  bool
	class    int // from 0 to MaxClass
}

// MaxClass is the greatest class of a Sample.
const MaxClass = (int(Critical)+1)*(MaxDepth+1) - 1

// NewSample returns the sample of a run. A dropped run ended by timeout or failure.
func NewSample(latency Millis, inFlight int, dropped bool) Sample {
	return Sample{latency: latency, inFlight: inFlight, dropped: dropped}
}

// WithClass returns s for a run of the given criticality and depth. Runs that
// agree in both tend to do the same work, so a limiter can tell a change of
// the mix from a change of the latency.
func (s Sample) WithClass(criticality Criticality, depth int) Sample {
	s.class = int(criticality)*(MaxDepth+1) + depth
	return s
}

// Class returns the number of the run's criticality and depth.
func (s Sample) Class() int { return s.class }

// Latency returns how long the run took.
func (s Sample) Latency() Millis { return s.latency }

// InFlight returns the runs when this one began, itself included.
func (s Sample) InFlight() int { return s.inFlight }

// Dropped reports whether the run ended by timeout or failure.
func (s Sample) Dropped() bool { return s.dropped }

// Limiter adapts the concurrency of a backend server.
type Limiter interface {
	// Limit returns how many runs may go on at once, from 1 to the slots.
	Limit() int
	// Observe learns from a run that ended.
	Observe(at Millis, sample Sample)
	// Resize changes the slots, at least 1.
	Resize(slots int)
}

// Waiting is a call in a Queue.
type Waiting struct {
	call     CallID
	account  AccountName
	rank     Level
	bought   bool
	depth    int
	arrived  Millis
	deadline Millis
}

// NewWaiting returns a call that waits from arrived until deadline.
func NewWaiting(call CallID, envelope Envelope, arrived, deadline Millis) Waiting {
	return Waiting{
		call: call, account: envelope.account, rank: Rank(envelope.criticality, envelope.bought),
		bought: envelope.bought, depth: envelope.depth, arrived: arrived, deadline: deadline,
	}
}

// Call returns the call.
func (w Waiting) Call() CallID { return w.call }

// Account returns the client account of the call.
func (w Waiting) Account() AccountName { return w.account }

// Rank returns the importance of the call.
func (w Waiting) Rank() Level { return w.rank }

// Bought reports whether the account has paid priority.
func (w Waiting) Bought() bool { return w.bought }

// Depth returns the depth of the call.
func (w Waiting) Depth() int { return w.depth }

// Arrived returns when the call began to wait.
func (w Waiting) Arrived() Millis { return w.arrived }

// Deadline returns when the call must be answered.
func (w Waiting) Deadline() Millis { return w.deadline }

// Queue orders the calls that wait for a slot.
type Queue interface {
	// Push adds a call. If the queue is full it returns the call that is shed
	// for it, which may be the same one.
	Push(at Millis, w Waiting) (shed Waiting, full bool)
	// Pop removes and returns the next call to run.
	Pop(at Millis) (w Waiting, ok bool)
	// Expire removes and returns a call that cannot meet its deadline any more
	// if a run takes as long as need.
	Expire(at Millis, need Millis) (w Waiting, ok bool)
	// Remove removes a call and reports whether it was waiting.
	Remove(call CallID) bool
	// Len returns how many calls wait.
	Len() int
	// Level returns the rank below which calls are not admitted at present.
	Level(at Millis) Level
}
