package jackdawbridge

// Request is a call as it arrives at the entry node: from a caller with a key,
// or from the node's own backend server with a token.
type Request struct {
	id          RequestID
	service     ServiceName
	method      string
	path        string
	key         KeyHash   // zero without a key
	keyed       bool      // a key came with the request
	token       Token     // zero for callers
	idempotency string    // idempotency key, empty without one
	budget      Millis    // time left to the deadline, above 0
	untied      bool      // may be a call of the own backend server that brings no token
	parent      RequestID // that the own backend server seems to make the call for, if untied
	body        uint64    // digest of the body, 0 when unknown
}

// NewRequest returns a request without a key that must be answered within budget.
func NewRequest(id RequestID, service ServiceName, method, path string, budget Millis) *Request {
	return &Request{id: id, service: service, method: method, path: path, budget: budget}
}

// WithKey sets the hash of the caller's key and returns r.
func (r *Request) WithKey(hash KeyHash) *Request {
	r.key = hash
	r.keyed = true
	return r
}

// WithToken sets the backend server's token and returns r.
func (r *Request) WithToken(token Token) *Request {
	r.token = token
	return r
}

// WithIdempotency sets the idempotency key and returns r.
func (r *Request) WithIdempotency(key string) *Request {
	r.idempotency = key
	return r
}

// WithBody sets the digest of the body and returns r.
func (r *Request) WithBody(digest uint64) *Request {
	r.body = digest
	return r
}

// WithUntied marks r as one that the own backend server may have sent for a
// request that it runs, without a token, and returns r. The parent is the id of
// that request as far as the call tells, or empty.
func (r *Request) WithUntied(parent RequestID) *Request {
	r.untied, r.parent = true, parent
	return r
}

// Parent returns the id of the request for which the own backend server seems to
// have sent r, or "".
func (r *Request) Parent() RequestID { return r.parent }

// Untied reports whether the own backend server may have sent r without a token.
func (r *Request) Untied() bool { return r.untied }

// ID returns the id of r.
func (r *Request) ID() RequestID { return r.id }

// Service returns the service that r calls.
func (r *Request) Service() ServiceName { return r.service }

// Method returns the method of r.
func (r *Request) Method() string { return r.method }

// Path returns the path of r below its service.
func (r *Request) Path() string { return r.path }

// Key returns the hash of the key of r, and whether r has one.
func (r *Request) Key() (KeyHash, bool) { return r.key, r.keyed }

// Token returns the token of r, zero for callers.
func (r *Request) Token() Token { return r.token }

// Idempotency returns the idempotency key of r, or "".
func (r *Request) Idempotency() string { return r.idempotency }

// Budget returns the time that r had left when it arrived.
func (r *Request) Budget() Millis { return r.budget }

// Body returns the digest of the body of r, 0 when it is unknown.
func (r *Request) Body() uint64 { return r.body }

// MaxDepth is the greatest depth of a call below the caller's request.
const MaxDepth = 13

// Envelope is what a forwarded request carries from node to node.
type Envelope struct {
	id          RequestID
	account     AccountName
	service     ServiceName
	criticality Criticality
	bought      bool   // the account has paid priority
	idempotent  bool   // may run more than once
	budget      Millis // time left to the deadline
	allowance   int    // retries left for the call tree below
	depth       int    // 0 for a caller's request, at most MaxDepth
	fingerprint Fingerprint
	alone       bool   // suspected of crashing backend servers, runs alone
	sender      Node   // entry node of the attempt
	sent        Millis // by the sender's clock
	objective   Millis // left of the time within which an answer is worth most, 0 if unknown or over
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

// WithBought returns e with or without paid priority.
func (e Envelope) WithBought(bought bool) Envelope {
	e.bought = bought
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

// WithBudget returns e with the given time left.
func (e Envelope) WithBudget(budget Millis) Envelope {
	e.budget = budget
	return e
}

// WithAllowance returns e with the given retries left.
func (e Envelope) WithAllowance(allowance int) Envelope {
	e.allowance = allowance
	return e
}

// WithDepth returns e at the given depth.
func (e Envelope) WithDepth(depth int) Envelope {
	e.depth = depth
	return e
}

// WithFingerprint returns e with the fingerprint of its request, and whether
// the request must run alone.
func (e Envelope) WithFingerprint(f Fingerprint, alone bool) Envelope {
	e.fingerprint = f
	e.alone = alone
	return e
}

// WithObjective returns e with what is left of the time within which an answer
// is worth most.
func (e Envelope) WithObjective(left Millis) Envelope {
	e.objective = max(left, 0)
	return e
}

// WithSent returns e with the node that sends it and when, by its clock.
func (e Envelope) WithSent(sender Node, at Millis) Envelope {
	e.sender = sender
	e.sent = at
	return e
}

// Sender returns the node that sent e.
func (e Envelope) Sender() Node { return e.sender }

// Sent returns when e was sent, by the clock of its sender.
func (e Envelope) Sent() Millis { return e.sent }

// ID returns the id of the request.
func (e Envelope) ID() RequestID { return e.id }

// Account returns the client account, empty on open routes.
func (e Envelope) Account() AccountName { return e.account }

// Service returns the called service.
func (e Envelope) Service() ServiceName { return e.service }

// Criticality returns the criticality of the request.
func (e Envelope) Criticality() Criticality { return e.criticality }

// Bought reports whether the account has paid priority.
func (e Envelope) Bought() bool { return e.bought }

// Idempotent reports whether the request may run more than once.
func (e Envelope) Idempotent() bool { return e.idempotent }

// Budget returns the time left to the deadline when the envelope was made.
func (e Envelope) Budget() Millis { return e.budget }

// Allowance returns the retries left for the call tree below.
func (e Envelope) Allowance() int { return e.allowance }

// Depth returns the depth of the call.
func (e Envelope) Depth() int { return e.depth }

// Fingerprint returns the fingerprint of the request.
func (e Envelope) Fingerprint() Fingerprint { return e.fingerprint }

// Objective returns what is left of the time within which an answer is worth
// most, 0 if that is unknown or over.
func (e Envelope) Objective() Millis { return e.objective }

// Alone reports whether the request must run alone.
func (e Envelope) Alone() bool { return e.alone }
