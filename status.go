package jackdawbridge

// Status is a summary of a node for operators.
type Status struct {
	self     Peer
	digest   Digest
	ready    bool // has a configuration and keys, and does not stop
	stopping bool
	calls    int // in progress at this entry node
	runs     int // waiting and running at this node
	waiting  int // of runs, those that wait
	limit    int // runs that may go on at once
	members  int // other nodes known
}

// NewStatus returns the status of a node.
func NewStatus(self Peer, digest Digest, ready, stopping bool) Status {
	return Status{self: self, digest: digest, ready: ready, stopping: stopping}
}

// WithCounts returns s with what is in progress and how many nodes are known.
func (s Status) WithCounts(calls, runs, members int) Status {
	s.calls = calls
	s.runs = runs
	s.members = members
	return s
}

// WithQueue returns s with the runs that wait and how many may go on at once.
func (s Status) WithQueue(waiting, limit int) Status {
	s.waiting = waiting
	s.limit = limit
	return s
}

// Self returns the node as it announces itself.
func (s Status) Self() Peer { return s.self }

// Digest returns the revisions in force.
func (s Status) Digest() Digest { return s.digest }

// Ready reports whether the node serves callers.
func (s Status) Ready() bool { return s.ready }

// Stopping reports whether the node is stopping.
func (s Status) Stopping() bool { return s.stopping }

// Calls returns the calls in progress at this entry node.
func (s Status) Calls() int { return s.calls }

// Runs returns the requests that wait or run at this node.
func (s Status) Runs() int { return s.runs }

// Waiting returns the requests that wait at this node.
func (s Status) Waiting() int { return s.waiting }

// Limit returns how many requests this node runs at once.
func (s Status) Limit() int { return s.limit }

// Members returns how many other nodes are known.
func (s Status) Members() int { return s.members }

// Inspector is a Reducer that reports its state.
type Inspector interface {
	Reducer
	// Status returns a summary of the state.
	Status() Status
}
