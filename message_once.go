package jackdawbridge

// StartRequest is sent to the holder of an idempotency key's range before a request
// starts. The holder records the start or refuses it.
type StartRequest struct {
	request RequestID
	account AccountName
	key     string
}

// NewStartRequest returns the request to record a start.
func NewStartRequest(request RequestID, account AccountName, key string) *StartRequest {
	return &StartRequest{request: request, account: account, key: key}
}

// Request returns the id of the request that is to start.
func (r *StartRequest) Request() RequestID { return r.request }

// Account returns the client account of the request.
func (r *StartRequest) Account() AccountName { return r.account }

// Key returns the idempotency key.
func (r *StartRequest) Key() string { return r.key }

// StartResponse answers a StartRequest.
type StartResponse struct {
	request RequestID
	key     string
	refused bool
	refusal Refusal // if refused
}

// NewStartAccepted returns the answer that the request may start.
func NewStartAccepted(request RequestID, key string) *StartResponse {
	return &StartResponse{request: request, key: key}
}

// NewStartRefused returns the answer that the request must not start.
func NewStartRefused(request RequestID, key string, refusal Refusal) *StartResponse {
	return &StartResponse{request: request, key: key, refused: true, refusal: refusal}
}

// Request returns the id of the request in the StartRequest.
func (r *StartResponse) Request() RequestID { return r.request }

// Key returns the idempotency key.
func (r *StartResponse) Key() string { return r.key }

// Refusal returns why the request must not start. It reports false if the request may
// start.
func (r *StartResponse) Refusal() (Refusal, bool) { return r.refusal, r.refused }

// Completion reports the outcome of a request to the holder of its idempotency key's
// range.
type Completion struct {
	request RequestID
	account AccountName
	key     string
	outcome Outcome
	status  int // if served
}

// NewCompletion returns the report of a request's outcome.
func NewCompletion(request RequestID, account AccountName, key string, outcome Outcome, status int) *Completion {
	return &Completion{request: request, account: account, key: key, outcome: outcome, status: status}
}

// Request returns the id of the request.
func (c *Completion) Request() RequestID { return c.request }

// Account returns the client account of the request.
func (c *Completion) Account() AccountName { return c.account }

// Key returns the idempotency key.
func (c *Completion) Key() string { return c.key }

// Outcome returns the outcome of the request.
func (c *Completion) Outcome() Outcome { return c.outcome }

// Status returns the status of the answer, if served.
func (c *Completion) Status() int { return c.status }

// CrashReport lists the requests that were in flight when a backend server crashed,
// or requests among them that have since run to their end and so are cleared of
// causing the crash.
type CrashReport struct {
	node         Node   // node whose backend server crashed
	sequence     uint64 // number of the crash at that node
	age          Millis // time since the crash
	cleared      bool   // the requests ran to their end after the crash
	fingerprints []Fingerprint
}

// NewCrashReport returns the report of a crash and the requests in flight.
func NewCrashReport(node Node, sequence uint64, age Millis, fingerprints []Fingerprint) *CrashReport {
	return &CrashReport{node: node, sequence: sequence, age: age, fingerprints: fingerprints}
}

// NewCrashCleared returns the report that requests which were in flight at a crash
// have since run to their end.
func NewCrashCleared(node Node, sequence uint64, fingerprints []Fingerprint) *CrashReport {
	return &CrashReport{node: node, sequence: sequence, cleared: true, fingerprints: fingerprints}
}

// Node returns the node whose backend server crashed.
func (c *CrashReport) Node() Node { return c.node }

// Sequence returns the number of the crash at its node.
func (c *CrashReport) Sequence() uint64 { return c.sequence }

// Age returns the time since the crash.
func (c *CrashReport) Age() Millis { return c.age }

// Cleared reports whether the requests ran to their end after the crash.
func (c *CrashReport) Cleared() bool { return c.cleared }

// Fingerprints returns the fingerprints of the requests.
func (c *CrashReport) Fingerprints() []Fingerprint { return c.fingerprints }

func (*StartRequest) message()  {}
func (*StartResponse) message() {}
func (*Completion) message()    {}
func (*CrashReport) message()   {}
