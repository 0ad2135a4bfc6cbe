package jackdawbridge

// Outcome tells what is known of a call that ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Served means that a backend server answered in full.
	Served Outcome = iota
	// NotRun means that no byte of the request reached a backend server.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the outcome in lower case.
func (o Outcome) String() string { return nameOf(o, "served", "not-run", "unknown") }

// Reason tells why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	NoReason Reason = iota
	NotReady
	UnknownService
	UnknownRoute
	MissingKey
	InvalidKey
	Unconfirmed
	InvalidToken
	TooDeep
	OverRate
	Overloaded
	DeadlinePassed
	NoUpstream
	UpstreamFailed
	Draining
	Quarantined
	AlreadyRunning
	AlreadyRan
	InDoubt
	HomeUnreachable
	BadInput
	BackendDown
	Cancelled
	UpstreamsFull // all upstreams of the service have as many calls as connections
	BackendFull   // the backend server saw the request and did not run it
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return nameOf(r, "none", "not ready", "unknown service", "unknown route", "missing key",
		"invalid key", "unconfirmed key", "invalid token", "too deep", "over rate", "overloaded",
		"deadline passed", "no upstream", "upstream failed", "draining", "quarantined",
		"already running", "already ran", "in doubt", "home unreachable", "bad input",
		"backend server down", "cancelled", "upstreams full", "backend server full")
}

// Refusal is the answer to a request that was not served.
type Refusal struct {
	reason     Reason
	outcome    Outcome // NotRun or Unknown
	retryAfter Millis  // 0 when nothing is known
	status     int     // status of the first run, for AlreadyRan
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

// WithStatus returns r with the status of the run that came before.
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

// Status returns the status of the first run of an AlreadyRan request.
func (r Refusal) Status() int { return r.status }

// Level is an admission level: the rank of the least important request that an
// upstream admits. Ranks rise with importance; 0 admits all.
type Level uint8

// Rank returns the importance of a request. Critical requests come first, below
// them those of accounts with paid priority, then all others. Criticality decides
// within each group, and paid priority between critical requests.
func Rank(c Criticality, bought bool) Level {
	switch {
	case c == Critical && bought:
		return MaxRank
	case c == Critical:
		return CriticalRank
	case bought:
		return PaidRank + Level(c)
	}
	return Level(c) + 1
}

const (
	// PaidRank is the least rank of requests with paid priority.
	PaidRank = Level(Critical) + 1
	// CriticalRank is the least rank of critical requests.
	CriticalRank = PaidRank + Level(Critical)
	// MaxRank is the rank of the most important requests.
	MaxRank = CriticalRank + 1
)
