package jackdawbridge

// Outcome is what is known about the execution of a call that ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Served means that a backend server answered. A finished call or run is Served
	// only if its whole answer was forwarded.
	Served Outcome = iota
	// NotRun means that no byte of the request reached a backend server.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome in lower case.
func (o Outcome) String() string { return enumName(o, "served", "not-run", "unknown") }

// Reason is the reason why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	NoReason Reason = iota
	NotReady
	UnknownService
	UnknownRoute
	MissingKey
	InvalidKey
	Unconfirmed // the platform has not confirmed the account's keys for too long
	InvalidToken
	TooDeep // the depth would exceed MaxDepth
	OverRate
	Overloaded
	DeadlinePassed
	NoUpstream
	UpstreamFailed
	Draining
	Quarantined
	AlreadyRunning  // a request with the same idempotency key is running
	AlreadyRan      // a request with the same idempotency key was answered
	InDoubt         // the idempotency key may have been used without a record of it
	HomeUnreachable // the holder of the account's or the idempotency key's range was not reached
	BadInput
	BackendDown
	Cancelled
	UpstreamsFull // each upstream of the service already has as many calls as connections
	BackendFull   // the backend server received the request but did not run it
	Warming       // the backend server is cold and gets no more requests now
	Misconfigured // the part of the configuration that covers the request cannot be used
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return enumName(r, "none", "not ready", "unknown service", "unknown route", "missing key",
		"invalid key", "unconfirmed key", "invalid token", "too deep", "over rate", "overloaded",
		"deadline passed", "no upstream", "upstream failed", "draining", "quarantined",
		"already running", "already ran", "in doubt", "home unreachable", "bad input",
		"backend server down", "cancelled", "upstreams full", "backend server full", "backend server cold", "misconfigured")
}

// Refusal is the answer to a request that was not served.
type Refusal struct {
	reason     Reason
	outcome    Outcome // NotRun or Unknown
	retryAfter Millis  // 0 if unknown
	status     int     // of the earlier run, for AlreadyRan
}

// NotRunRefusal returns the refusal of a request that did not run.
func NotRunRefusal(reason Reason) Refusal { return Refusal{reason: reason, outcome: NotRun} }

// UnknownRefusal returns the refusal of a request that may have run.
func UnknownRefusal(reason Reason) Refusal { return Refusal{reason: reason, outcome: Unknown} }

// WithRetryAfter returns r with the time after which a retry may succeed.
func (r Refusal) WithRetryAfter(after Millis) Refusal {
	r.retryAfter = after
	return r
}

// WithStatus returns r with the status of the earlier run.
func (r Refusal) WithStatus(status int) Refusal {
	r.status = status
	return r
}

// Reason returns the reason of r.
func (r Refusal) Reason() Reason { return r.reason }

// Outcome returns NotRun or Unknown.
func (r Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns the time after which a retry may succeed, 0 if unknown.
func (r Refusal) RetryAfter() Millis { return r.retryAfter }

// Status returns the status of the earlier run, if the reason is AlreadyRan.
func (r Refusal) Status() int { return r.status }

// Level is the rank of a request, or the admission level of an upstream: the lowest
// rank that it admits. More important requests have a higher rank. Ranks start at 1;
// level 0 admits all.
type Level uint8

// Rank returns the rank of a request. Critical requests have the highest ranks, then
// those of accounts with paid priority, then all others. Critical requests are ranked
// by paid priority, the requests of the other groups by criticality.
func Rank(c Criticality, paidPriority bool) Level {
	switch {
	case c == Critical && paidPriority:
		return MaxRank
	case c == Critical:
		return CriticalRank
	case paidPriority:
		return PaidRank + Level(c)
	}
	return Level(c) + 1
}

const (
	// PaidRank is the lowest rank of requests with paid priority.
	PaidRank = Level(Critical) + 1
	// CriticalRank is the lowest rank of critical requests.
	CriticalRank = PaidRank + Level(Critical)
	// MaxRank is the highest rank: critical requests with paid priority.
	MaxRank = CriticalRank + 1
)
