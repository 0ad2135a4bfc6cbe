package jackdawbridge

// StartRequest requests that the holder of an idempotency key's range records the
// start of a request.
type Begin struct {
	request RequestID
	account AccountName
	key     string
}

// NewStartRequest returns the request to record a start.
func NewBegin(request RequestID, account AccountName, key string) *Begin {
	return &Begin{request: request, account: account, key: key}
}

// Request returns the id of the request that is to start.
func (r *Begin) Request() RequestID { return r.request }

// Account returns the client account of the request.
func (r *Begin) Account() AccountName { return r.account }

// Key returns the idempotency key.
func (r *Begin) Key() string { return r.key }

// StartResponse answers a StartRequest.
type Begun struct {
	request RequestID
	key     string
	refused bool
	refusal Refusal // when refused
}

// NewStartAccepted returns the answer that the request may start.
func NewBegun(request RequestID, key string) *Begun {
	return &Begun{request: request, key: key}
}

// NewStartRefused returns the answer that the request must not start.
func NewBegunRefused(request RequestID, key string, refusal Refusal) *Begun {
	return &Begun{request: request, key: key, refused: true, refusal: refusal}
}

// Request returns the id of the request in the StartRequest.
func (r *Begun) Request() RequestID { return r.request }

// Key returns the idempotency key.
func (r *Begun) Key() string { return r.key }

// Refusal returns why the request must not start. It reports false if the request may
// start.
func (r *Begun) Refusal() (Refusal, bool) { return r.refusal, r.refused }

// Completion reports the outcome of a request to the holder of its idempotency key's
// range.
type Ended struct {
	request RequestID
	account AccountName
	key     string
	outcome Outcome
	status  int // if served
}

// NewCompletion returns the report of a request's outcome.
func NewEnded(request RequestID, account AccountName, key string, outcome Outcome, status int) *Ended {
	return &Ended{request: request, account: account, key: key, outcome: outcome, status: status}
}

// Request returns the id of the request.
func (c *Ended) Request() RequestID { return c.request }

// Account returns the client account of the request.
func (c *Ended) Account() AccountName { return c.account }

// Key returns the idempotency key.
func (c *Ended) Key() string { return c.key }

// Outcome returns the outcome of the request.
func (c *Ended) Outcome() Outcome { return c.outcome }

// Status returns the status of the answer, if served.
func (c *Ended) Status() int { return c.status }

// CrashReport lists the requests that were in flight when a backend server crashed,
// or requests among them that have since run to their end and so are cleared of
// causing the crash.
type Crash struct {
	node         Node   // node whose backend server crashed
	sequence     uint64 // number of the crash at that node
	age          Millis // time since the crash
	cleared      bool   // the requests ran to their end after the crash
	fingerprints []Fingerprint
}

// NewCrashReport returns the report of a crash and the requests in flight.
func NewCrash(node Node, sequence uint64, age Millis, fingerprints []Fingerprint) *Crash {
	return &Crash{node: node, sequence: sequence, age: age, fingerprints: fingerprints}
}

// NewCrashCleared returns the report that requests which were in flight at a crash
// have since run to their end.
func NewCleared(node Node, sequence uint64, fingerprints []Fingerprint) *Crash {
	return &Crash{node: node, sequence: sequence, cleared: true, fingerprints: fingerprints}
}

// Node returns the node whose backend server crashed.
func (c *Crash) Node() Node { return c.node }

// Sequence returns the number of the crash at its node.
func (c *Crash) Sequence() uint64 { return c.sequence }

// Age returns the time since the crash.
func (c *Crash) Age() Millis { return c.age }

// Cleared reports whether the requests ran to their end after the crash.
func (c *Crash) Cleared() bool { return c.cleared }

// Fingerprints returns the fingerprints of the requests.
func (c *Crash) Fingerprints() []Fingerprint { return c.fingerprints }

func (*Begin) message() {}
func (*Begun) message() {}
func (*Ended) message() {}
func (*Crash) message() {}
