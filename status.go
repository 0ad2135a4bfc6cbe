package jackdawbridge

// Status summarizes the state of a node for operators.
type Status struct {
	self     Peer
	digest   Digest
	ready    bool // has a configuration and keys and is not shutting down
	stopping bool
	calls    int // in progress with this node as their entry node
	runs     int // requests that wait or run at this node
	waiting  int // how many of the runs wait
	limit    int // concurrent runs that are allowed
	members  int // other nodes in the member list

	coldLeft    Millis // how long the local backend server is still cold, 0 if it is not
	coldRefused int    // requests refused because it was cold
	evacuated   bool   // the data centre of the node is evacuated
	omitted     int    // parts of the configuration in force that cannot be used
	everOmitted int    // such parts of all versions that were in force since the start
	placing     Placing
	trees       TreeCounts
}

// NewStatus returns the status of a node.
func NewStatus(self Peer, digest Digest, ready, stopping bool) Status {
	return Status{self: self, digest: digest, ready: ready, stopping: stopping}
}

// WithCounts returns s with the calls and runs in progress and the number of other
// nodes in the member list.
func (s Status) WithCounts(calls, runs, members int) Status {
	s.calls = calls
	s.runs = runs
	s.members = members
	return s
}

// WithQueue returns s with the number of waiting runs and the concurrency limit.
func (s Status) WithQueue(waiting, limit int) Status {
	s.waiting = waiting
	s.limit = limit
	return s
}

// WithSlowStart returns s with the time for which the local backend server is still cold, the
// requests that were refused while it was cold, and whether its data centre is evacuated.
func (s Status) WithSlowStart(coldLeft Millis, coldRefused int, evacuated bool) Status {
	s.coldLeft = coldLeft
	s.coldRefused = coldRefused
	s.evacuated = evacuated
	return s
}

// WithOmitted returns s with the number of parts that cannot be used of the configuration and
// keys in force, and of all versions of them since the start.
func (s Status) WithOmitted(now, ever int) Status {
	s.omitted, s.everOmitted = now, ever
	return s
}

// Omitted returns the number of parts of the configuration and keys in force that cannot be used.
func (s Status) Omitted() int { return s.omitted }

// EverOmitted returns the number of parts that could not be used of all versions since the start.
func (s Status) EverOmitted() int { return s.everOmitted }

// ColdLeft returns for how long the local backend server is still cold, 0 if it is not.
func (s Status) ColdLeft() Millis { return s.coldLeft }

// ColdRefused returns the number of requests that were refused because the local backend
// server was cold.
func (s Status) ColdRefused() int { return s.coldRefused }

// Evacuated reports whether the data centre of the node is evacuated.
func (s Status) Evacuated() bool { return s.evacuated }

// WithPlacing returns s with the counts of the placement of requests.
func (s Status) WithPlacing(placing Placing) Status {
	s.placing = placing
	return s
}

// Placing returns the counts of the placement of requests.
func (s Status) Placing() Placing { return s.placing }

// WithTrees returns s with the decisions about call trees.
func (s Status) WithTrees(trees TreeCounts) Status {
	s.trees = trees
	return s
}

// Trees returns the decisions about call trees.
func (s Status) Trees() TreeCounts { return s.trees }

// Self returns the node as it announces itself.
func (s Status) Self() Peer { return s.self }

// Digest returns the revisions that the node uses.
func (s Status) Digest() Digest { return s.digest }

// Ready reports whether the node serves callers.
func (s Status) Ready() bool { return s.ready }

// Stopping reports whether the node is shutting down.
func (s Status) Stopping() bool { return s.stopping }

// Calls returns the number of calls in progress with this node as their entry node.
func (s Status) Calls() int { return s.calls }

// Runs returns the number of requests that wait or run at this node.
func (s Status) Runs() int { return s.runs }

// Waiting returns the number of requests that wait at this node.
func (s Status) Waiting() int { return s.waiting }

// Limit returns how many requests this node runs concurrently at most.
func (s Status) Limit() int { return s.limit }

// Members returns the number of other nodes in the member list.
func (s Status) Members() int { return s.members }

// Placing counts how requests were placed by their expected completion. The counts only
// rise.
type Placing struct {
	picks    int64  // requests that this node placed by their expected completion
	clamped  int64  // loads reported by the local backend server that were out of range
	expected Millis // sum of the expected own times of the runs served by the local backend server
	actual   Millis // sum of the own times of these runs
}

// NewPlacing returns counts of requests placed and of reported loads that were clamped,
// and the sums of the expected and the actual own times of the runs that were served.
func NewPlacing(picks, clamped int64, expected, actual Millis) Placing {
	return Placing{picks: picks, clamped: clamped, expected: expected, actual: actual}
}

// Picks returns the number of requests that were placed by their expected completion.
func (p Placing) Picks() int64 { return p.picks }

// Clamped returns the number of reported loads that were out of range.
func (p Placing) Clamped() int64 { return p.clamped }

// Expected returns the sum of the expected own times of the runs that were served.
func (p Placing) Expected() Millis { return p.expected }

// Actual returns the sum of the own times of the runs that were served.
func (p Placing) Actual() Millis { return p.actual }

// Inspector is a Reducer that reports its state.
type Inspector interface {
	Reducer
	// Status returns a summary of the state.
	Status() Status
}

// TreeCounts holds the decisions of a node about call trees since its start, and what they
// rest on.
type TreeCounts struct {
	granted, denied int
	refused         [MaxRank + 1]int // by rank
	evicted         int
	threshold       Precedence
	retryThreshold  Precedence
	rejected        int // permille
	load            int // permille
}

// NewTreeCounts returns the numbers of second tries that were granted and denied, of requests
// refused at the front by rank, and of tables emptied because they were full.
func NewTreeCounts(granted, denied int, refused [MaxRank + 1]int, evicted int) TreeCounts {
	return TreeCounts{granted: granted, denied: denied, refused: refused, evicted: evicted}
}

// WithService returns c with the thresholds of the node's service, the part of the calls that
// its backend server rejects and the work that arrives, in permille of the room.
func (c TreeCounts) WithService(threshold, retryThreshold Precedence, rejected, load int) TreeCounts {
	c.threshold, c.retryThreshold, c.rejected, c.load = threshold, retryThreshold, rejected, load
	return c
}

// Granted returns the number of second tries that were granted.
func (c TreeCounts) Granted() int { return c.granted }

// Denied returns the number of second tries that were denied.
func (c TreeCounts) Denied() int { return c.denied }

// Refused returns the number of requests of a rank that were refused at the front.
func (c TreeCounts) Refused(rank Level) int { return c.refused[min(rank, MaxRank)] }

// Evicted returns how often a table was emptied because it was full.
func (c TreeCounts) Evicted() int { return c.evicted }

// Threshold returns the precedence below which the node's service has no room.
func (c TreeCounts) Threshold() Precedence { return c.threshold }

// RetryThreshold returns the precedence below which the node grants no second try.
func (c TreeCounts) RetryThreshold() Precedence { return c.retryThreshold }

// Rejected returns the part of the calls that the backend server rejects, in permille.
func (c TreeCounts) Rejected() int { return c.rejected }

// Load returns the work that arrives, in permille of the room.
func (c TreeCounts) Load() int { return c.load }
