package jackdawbridge

// Event is something that happened to a node. The concrete types of this
// package are all there are.
type Event interface {
	// At returns when the event happened.
	At() Millis
	event()
}

type stamp struct{ at Millis }

// At returns when the event happened.
func (s stamp) At() Millis { return s.at }

func (stamp) event() {}

// Tick tells that time has passed.
type Tick struct{ stamp }

// NewTick returns a tick.
func NewTick(at Millis) *Tick { return &Tick{stamp{at}} }

// CallArrived tells that a caller or the own backend server sent a request.
type CallArrived struct {
	stamp
	call    CallID
	request *Request
}

// NewCallArrived returns the arrival of a request.
func NewCallArrived(at Millis, call CallID, request *Request) *CallArrived {
	return &CallArrived{stamp{at}, call, request}
}

// Call returns the call.
func (e *CallArrived) Call() CallID { return e.call }

// Request returns the request.
func (e *CallArrived) Request() *Request { return e.request }

// ForwardArrived tells that a peer forwarded a request.
type ForwardArrived struct {
	stamp
	call     CallID
	envelope Envelope
}

// NewForwardArrived returns the arrival of a forwarded request.
func NewForwardArrived(at Millis, call CallID, envelope Envelope) *ForwardArrived {
	return &ForwardArrived{stamp{at}, call, envelope}
}

// Call returns the call.
func (e *ForwardArrived) Call() CallID { return e.call }

// Envelope returns the envelope of the request.
func (e *ForwardArrived) Envelope() Envelope { return e.envelope }

// AttemptAnswered tells that a forwarded attempt was answered or failed. The
// body of an answer has not been passed on yet.
type AttemptAnswered struct {
	stamp
	call     CallID
	attempt  int
	outcome  Outcome
	reason   Reason   // when not served
	status   int      // when served
	feedback Feedback // of the upstream's node, zero if it was not reached
	refused  bool     // the host refused the connection
}

// NewAttemptAnswered returns the answer of a backend server to an attempt.
func NewAttemptAnswered(at Millis, call CallID, attempt, status int, feedback Feedback) *AttemptAnswered {
	return &AttemptAnswered{stamp: stamp{at}, call: call, attempt: attempt, outcome: Served, status: status, feedback: feedback}
}

// NewAttemptFailed returns the failure of an attempt.
func NewAttemptFailed(at Millis, call CallID, attempt int, refusal Refusal, feedback Feedback, refused bool) *AttemptAnswered {
	return &AttemptAnswered{
		stamp: stamp{at}, call: call, attempt: attempt, outcome: refusal.outcome,
		reason: refusal.reason, feedback: feedback, refused: refused,
	}
}

// Call returns the call.
func (e *AttemptAnswered) Call() CallID { return e.call }

// Attempt returns the number of the attempt.
func (e *AttemptAnswered) Attempt() int { return e.attempt }

// Outcome returns what is known of the attempt.
func (e *AttemptAnswered) Outcome() Outcome { return e.outcome }

// Reason returns why the attempt was not served.
func (e *AttemptAnswered) Reason() Reason { return e.reason }

// Status returns the status of the answer.
func (e *AttemptAnswered) Status() int { return e.status }

// Feedback returns what the upstream's node told.
func (e *AttemptAnswered) Feedback() Feedback { return e.feedback }

// Refused reports whether the upstream's host refused the connection.
func (e *AttemptAnswered) Refused() bool { return e.refused }

// CallFinished tells that the answer to a call was passed on in full, or broke.
type CallFinished struct {
	stamp
	call  CallID
	whole bool
}

// NewCallFinished returns the end of an answer.
func NewCallFinished(at Millis, call CallID, whole bool) *CallFinished {
	return &CallFinished{stamp{at}, call, whole}
}

// Call returns the call.
func (e *CallFinished) Call() CallID { return e.call }

// Whole reports whether the answer was passed on in full.
func (e *CallFinished) Whole() bool { return e.whole }

// CallCancelled tells that the caller, or the peer that forwarded the call, is gone.
type CallCancelled struct {
	stamp
	call CallID
}

// NewCallCancelled returns the cancellation of a call.
func NewCallCancelled(at Millis, call CallID) *CallCancelled {
	return &CallCancelled{stamp{at}, call}
}

// Call returns the call.
func (e *CallCancelled) Call() CallID { return e.call }

// RunAnswered tells that the head of the backend server's answer arrived. The
// body has not been passed on yet.
type RunAnswered struct {
	stamp
	call   CallID
	status int
}

// NewRunAnswered returns the arrival of the head of an answer.
func NewRunAnswered(at Millis, call CallID, status int) *RunAnswered {
	return &RunAnswered{stamp{at}, call, status}
}

// Call returns the call.
func (e *RunAnswered) Call() CallID { return e.call }

// Status returns the status of the answer.
func (e *RunAnswered) Status() int { return e.status }

// RunRejected tells that the backend server refused to run a request.
type RunRejected struct {
	stamp
	call   CallID
	reason Reason
}

// NewRunRejected returns the refusal of a backend server.
func NewRunRejected(at Millis, call CallID, reason Reason) *RunRejected {
	return &RunRejected{stamp{at}, call, reason}
}

// Call returns the call.
func (e *RunRejected) Call() CallID { return e.call }

// Reason returns why the backend server refused.
func (e *RunRejected) Reason() Reason { return e.reason }

// RunFinished tells that a run ended: its answer was passed on in full or
// broke, or the backend server did not answer.
type RunFinished struct {
	stamp
	call    CallID
	outcome Outcome
	status  int
}

// NewRunFinished returns the end of a run.
func NewRunFinished(at Millis, call CallID, outcome Outcome, status int) *RunFinished {
	return &RunFinished{stamp{at}, call, outcome, status}
}

// Call returns the call.
func (e *RunFinished) Call() CallID { return e.call }

// Outcome returns what is known of the run.
func (e *RunFinished) Outcome() Outcome { return e.outcome }

// Status returns the status of the answer, when served.
func (e *RunFinished) Status() int { return e.status }

// BackendAnnounced tells that the own backend server announced itself.
type BackendAnnounced struct {
	stamp
	service  ServiceName
	slots    int // at least 1
	conns    int // at least 1
	draining bool
}

// NewBackendAnnounced returns the announcement of a backend server.
func NewBackendAnnounced(at Millis, service ServiceName, slots, conns int, draining bool) *BackendAnnounced {
	return &BackendAnnounced{stamp{at}, service, slots, conns, draining}
}

// Service returns the service of the backend server.
func (e *BackendAnnounced) Service() ServiceName { return e.service }

// Slots returns how many requests the backend server takes at once.
func (e *BackendAnnounced) Slots() int { return e.slots }

// Conns returns how many connections the backend server takes.
func (e *BackendAnnounced) Conns() int { return e.conns }

// Draining reports whether the backend server wants no new work.
func (e *BackendAnnounced) Draining() bool { return e.draining }

// BackendLost tells that the own backend server crashed or refuses connections.
type BackendLost struct{ stamp }

// NewBackendLost returns the loss of the backend server.
func NewBackendLost(at Millis) *BackendLost { return &BackendLost{stamp{at}} }

// Received tells that a message of a peer arrived. Its seal has been verified.
type Received struct {
	stamp
	frame Frame
}

// NewReceived returns the arrival of a message.
func NewReceived(at Millis, frame Frame) *Received { return &Received{stamp{at}, frame} }

// Frame returns the message with its sender.
func (e *Received) Frame() Frame { return e.frame }

// PeerRefused tells that the live host of a peer refused a connection, which
// proves that its process is gone.
type PeerRefused struct {
	stamp
	node Node
}

// NewPeerRefused returns the proof that a peer's process is gone.
func NewPeerRefused(at Millis, node Node) *PeerRefused { return &PeerRefused{stamp{at}, node} }

// Node returns the peer.
func (e *PeerRefused) Node() Node { return e.node }

// StoreStatus tells how a call to the platform's service ended.
type StoreStatus uint8

// The ends of a call to the platform's service.
const (
	StoreOK       StoreStatus = iota
	StoreConflict             // the record has another version; nothing changed
	StoreFailed               // no answer; a change may have taken effect
	StoreInvalid              // the record cannot be read
)

// String returns the status in lower case.
func (s StoreStatus) String() string { return nameOf(s, "ok", "conflict", "failed", "invalid") }

// StoreLoaded answers a Load or a Watch effect.
type StoreLoaded struct {
	stamp
	name   RecordName
	status StoreStatus
	record Record // when StoreOK
	watch  bool   // answers a Watch
}

// NewStoreLoaded returns the answer to a Load or a Watch.
func NewStoreLoaded(at Millis, name RecordName, status StoreStatus, record Record) *StoreLoaded {
	return &StoreLoaded{stamp: stamp{at}, name: name, status: status, record: record}
}

// AsWatch marks e as the answer to a Watch and returns it. A Load and a Watch of
// one record may be out at the same time.
func (e *StoreLoaded) AsWatch() *StoreLoaded {
	e.watch = true
	return e
}

// Name returns the name of the record.
func (e *StoreLoaded) Name() RecordName { return e.name }

// Status returns how the call ended.
func (e *StoreLoaded) Status() StoreStatus { return e.status }

// Watch reports whether e answers a Watch.
func (e *StoreLoaded) Watch() bool { return e.watch }

// Record returns the record that was read.
func (e *StoreLoaded) Record() Record { return e.record }

// StoreSwapped answers a Swap effect.
type StoreSwapped struct {
	stamp
	name    RecordName
	status  StoreStatus
	version uint64 // of the record after the change, when StoreOK
}

// NewStoreSwapped returns the answer to a Swap.
func NewStoreSwapped(at Millis, name RecordName, status StoreStatus, version uint64) *StoreSwapped {
	return &StoreSwapped{stamp{at}, name, status, version}
}

// Name returns the name of the record.
func (e *StoreSwapped) Name() RecordName { return e.name }

// Status returns how the call ended.
func (e *StoreSwapped) Status() StoreStatus { return e.status }

// Version returns the version of the record after the change.
func (e *StoreSwapped) Version() uint64 { return e.version }

// StopRequested tells that the node is to stop gracefully.
type StopRequested struct{ stamp }

// NewStopRequested returns the request to stop.
func NewStopRequested(at Millis) *StopRequested { return &StopRequested{stamp{at}} }
