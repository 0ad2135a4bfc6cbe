package jackdawbridge

// Request is a call as it arrives at the entry node: from a caller, usually with a
// key, or from the local backend server, usually with a token.
type Request struct {
	id             RequestID
	service        ServiceName
	method         string
	path           string
	query          string
	key            KeyHash   // zero without a key
	hasKey         bool      // the request carries a key
	token          Token     // zero without a token
	idempotencyKey string    // empty without an idempotency key
	budget         Millis    // time until the deadline, above 0
	maybeInternal  bool      // the local backend server may have sent it without a token
	parent         RequestID // request for which the local backend server seems to make this one, or ""
	bodyDigest     uint64    // 0 if unknown
}

// NewRequest returns a request without a key that must be answered within the budget.
func NewRequest(id RequestID, service ServiceName, method, path string, budget Millis) *Request {
	return &Request{id: id, service: service, method: method, path: path, budget: budget}
}

// WithKey sets the hash of the caller's key and returns r.
func (r *Request) WithKey(hash KeyHash) *Request {
	r.key = hash
	r.hasKey = true
	return r
}

// WithQuery sets the raw query and returns r.
func (r *Request) WithQuery(query string) *Request {
	r.query = query
	return r
}

// WithToken sets the backend server's token and returns r.
func (r *Request) WithToken(token Token) *Request {
	r.token = token
	return r
}

// WithIdempotencyKey sets the idempotency key and returns r.
func (r *Request) WithIdempotencyKey(key string) *Request {
	r.idempotencyKey = key
	return r
}

// WithBodyDigest sets the digest of the body and returns r.
func (r *Request) WithBodyDigest(digest uint64) *Request {
	r.bodyDigest = digest
	return r
}

// WithMaybeInternal marks r as a request that the local backend server may have sent
// without a token, on behalf of a request that it runs, and returns r. The parent is
// the id of that request if it can be derived from r, or "".
func (r *Request) WithMaybeInternal(parent RequestID) *Request {
	r.maybeInternal, r.parent = true, parent
	return r
}

// Parent returns the id of the request on whose behalf the local backend server seems
// to have sent r, or "".
func (r *Request) Parent() RequestID { return r.parent }

// MaybeInternal reports whether the local backend server may have sent r without a
// token.
func (r *Request) MaybeInternal() bool { return r.maybeInternal }

// ID returns the id of r.
func (r *Request) ID() RequestID { return r.id }

// Service returns the service that r calls.
func (r *Request) Service() ServiceName { return r.service }

// Method returns the method of r.
func (r *Request) Method() string { return r.method }

// Path returns the path of r within its service.
func (r *Request) Path() string { return r.path }

// Query returns the raw query of r, without the question mark.
func (r *Request) Query() string { return r.query }

// Key returns the hash of the key of r, and whether r carries a key.
func (r *Request) Key() (KeyHash, bool) { return r.key, r.hasKey }

// Token returns the token of r, zero if it has none.
func (r *Request) Token() Token { return r.token }

// IdempotencyKey returns the idempotency key of r, or "".
func (r *Request) IdempotencyKey() string { return r.idempotencyKey }

// Budget returns the time from the arrival of r to its deadline.
func (r *Request) Budget() Millis { return r.budget }

// BodyDigest returns the digest of the body of r, 0 if unknown.
func (r *Request) BodyDigest() uint64 { return r.bodyDigest }

// MaxDepth is the greatest depth of a call below the caller's request, which has
// depth 0.
const MaxDepth = 13

// Envelope is the metadata of a request that nodes exchange when they forward it.
type Envelope struct {
	id             RequestID
	account        AccountName
	service        ServiceName
	criticality    Criticality
	paidPriority   bool   // the account has paid priority
	idempotent     bool   // may run more than once
	budget         Millis // time until the deadline
	retryAllowance int    // retries that this call and the calls below it may still use
	depth          int    // 0 for a caller's request, at most MaxDepth
	fingerprint    Fingerprint
	exclusive      bool   // suspected of crashing backend servers, so it runs while nothing else does
	sender         Node   // entry node of the attempt
	sent           Millis // by the sender's clock
	objective      Millis // time left of the latency objective, 0 if unknown or passed
	precedence     Precedence
	repeated       bool // another send of this request, or of the one for which it is made, reached a backend server
}

// NewEnvelope returns the envelope of a caller's request.
func NewEnvelope(id RequestID, account AccountName, service ServiceName, criticality Criticality, budget Millis) Envelope {
	return Envelope{id: id, account: account, service: service, criticality: criticality, budget: budget}
}

// WithService returns e for a call of the given service.
func (e Envelope) WithService(service ServiceName) Envelope {
	e.service = service
	return e
}

// WithPaidPriority returns e with or without paid priority.
func (e Envelope) WithPaidPriority(paidPriority bool) Envelope {
	e.paidPriority = paidPriority
	return e
}

// WithCriticality returns e with the given criticality.
func (e Envelope) WithCriticality(criticality Criticality) Envelope {
	e.criticality = criticality
	return e
}

// WithIdempotent returns e marked as idempotent or not.
func (e Envelope) WithIdempotent(idempotent bool) Envelope {
	e.idempotent = idempotent
	return e
}

// WithBudget returns e with the given time until the deadline.
func (e Envelope) WithBudget(budget Millis) Envelope {
	e.budget = budget
	return e
}

// WithRetryAllowance returns e with the given number of retries that may still be
// used.
func (e Envelope) WithRetryAllowance(retryAllowance int) Envelope {
	e.retryAllowance = retryAllowance
	return e
}

// WithDepth returns e at the given depth.
func (e Envelope) WithDepth(depth int) Envelope {
	e.depth = depth
	return e
}

// WithFingerprint returns e with the fingerprint of its request, and whether the
// request is exclusive: it must run while nothing else does.
func (e Envelope) WithFingerprint(f Fingerprint, exclusive bool) Envelope {
	e.fingerprint = f
	e.exclusive = exclusive
	return e
}

// WithObjective returns e with the time that is left of the latency objective.
func (e Envelope) WithObjective(left Millis) Envelope {
	e.objective = max(left, 0)
	return e
}

// WithSent returns e with the node that sends it and the time of sending by that
// node's clock.
func (e Envelope) WithSent(sender Node, at Millis) Envelope {
	e.sender = sender
	e.sent = at
	return e
}

// WithPrecedence returns e with the order of the request among those that compete for the
// same service.
func (e Envelope) WithPrecedence(precedence Precedence) Envelope {
	e.precedence = precedence
	return e
}

// WithRepeated returns e marked as a repetition of a request that reached a backend server
// before, or of a call for such a repetition.
func (e Envelope) WithRepeated(repeated bool) Envelope {
	e.repeated = repeated
	return e
}

// Precedence returns the order of the request among those that compete for the same service.
func (e Envelope) Precedence() Precedence { return e.precedence }

// Repeated reports whether another send of the request, or of the one for which it is made,
// reached a backend server.
func (e Envelope) Repeated() bool { return e.repeated }

// Sender returns the node that sent e.
func (e Envelope) Sender() Node { return e.sender }

// Sent returns when e was sent, by the sender's clock.
func (e Envelope) Sent() Millis { return e.sent }

// ID returns the id of the request.
func (e Envelope) ID() RequestID { return e.id }

// Account returns the client account, empty on open routes.
func (e Envelope) Account() AccountName { return e.account }

// Service returns the service that the request is sent to.
func (e Envelope) Service() ServiceName { return e.service }

// Criticality returns the criticality of the request.
func (e Envelope) Criticality() Criticality { return e.criticality }

// PaidPriority reports whether the account has paid priority.
func (e Envelope) PaidPriority() bool { return e.paidPriority }

// Idempotent reports whether the request may run more than once.
func (e Envelope) Idempotent() bool { return e.idempotent }

// Budget returns the time until the deadline, counted from when e was created.
func (e Envelope) Budget() Millis { return e.budget }

// RetryAllowance returns how many retries this call and the calls below it may still
// use.
func (e Envelope) RetryAllowance() int { return e.retryAllowance }

// Depth returns the depth of the call below the caller's request.
func (e Envelope) Depth() int { return e.depth }

// Fingerprint returns the fingerprint of the request.
func (e Envelope) Fingerprint() Fingerprint { return e.fingerprint }

// Objective returns the time that is left of the latency objective, 0 if unknown or
// passed. Answers after it are worth less.
func (e Envelope) Objective() Millis { return e.objective }

// Exclusive reports whether the request must run while nothing else does.
func (e Envelope) Exclusive() bool { return e.exclusive }
