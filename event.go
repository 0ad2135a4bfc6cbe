package jackdawbridge

// Event is an input of the Reducer. All implementations are in this package.
type Event interface {
	// At returns when the event happened.
	At() Millis
	event()
}

// eventTime is the time of an event. All event types embed it.
type eventTime struct{ at Millis }

// At returns when the event happened.
func (t eventTime) At() Millis { return t.at }

func (eventTime) event() {}

// Tick reports that time has passed.
type Tick struct{ eventTime }

// NewTick returns a Tick at the given time.
func NewTick(at Millis) *Tick { return &Tick{eventTime{at}} }

// CallArrived reports that a caller or the local backend server sent a request.
type CallArrived struct {
	eventTime
	call    CallID
	request *Request
}

// NewCallArrived returns the event for the arrival of a request.
func NewCallArrived(at Millis, call CallID, request *Request) *CallArrived {
	return &CallArrived{eventTime{at}, call, request}
}

// Call returns the call.
func (e *CallArrived) Call() CallID { return e.call }

// Request returns the request.
func (e *CallArrived) Request() *Request { return e.request }

// ForwardArrived reports that a peer forwarded a request to this node.
type ForwardArrived struct {
	eventTime
	call     CallID
	envelope Envelope
}

// NewForwardArrived returns the event for the arrival of a forwarded request.
func NewForwardArrived(at Millis, call CallID, envelope Envelope) *ForwardArrived {
	return &ForwardArrived{eventTime{at}, call, envelope}
}

// Call returns the call.
func (e *ForwardArrived) Call() CallID { return e.call }

// Envelope returns the envelope of the request.
func (e *ForwardArrived) Envelope() Envelope { return e.envelope }

// AttemptAnswered reports that a forwarded attempt was answered or failed. The body
// of an answer has not been forwarded yet.
type AttemptAnswered struct {
	eventTime
	call              CallID
	attempt           int
	outcome           Outcome
	reason            Reason   // unless served
	status            int      // if served
	feedback          Feedback // from the upstream's node, zero if it was not reached
	connectionRefused bool     // the upstream's host refused the connection
}

// NewAttemptAnswered returns the event for an attempt that a backend server
// answered.
func NewAttemptAnswered(at Millis, call CallID, attempt, status int, feedback Feedback) *AttemptAnswered {
	return &AttemptAnswered{eventTime: eventTime{at}, call: call, attempt: attempt, outcome: Served, status: status, feedback: feedback}
}

// NewAttemptFailed returns the event for an attempt that failed. The flag
// connectionRefused is set if the upstream's host refused the connection.
func NewAttemptFailed(at Millis, call CallID, attempt int, refusal Refusal, feedback Feedback, connectionRefused bool) *AttemptAnswered {
	return &AttemptAnswered{
		eventTime: eventTime{at}, call: call, attempt: attempt, outcome: refusal.outcome,
		reason: refusal.reason, feedback: feedback, connectionRefused: connectionRefused,
	}
}

// Call returns the call.
func (e *AttemptAnswered) Call() CallID { return e.call }

// Attempt returns the number of the attempt.
func (e *AttemptAnswered) Attempt() int { return e.attempt }

// Outcome returns the outcome of the attempt.
func (e *AttemptAnswered) Outcome() Outcome { return e.outcome }

// Reason returns why the attempt was not served.
func (e *AttemptAnswered) Reason() Reason { return e.reason }

// Status returns the status of the answer, if served.
func (e *AttemptAnswered) Status() int { return e.status }

// Feedback returns the load report of the upstream's node.
func (e *AttemptAnswered) Feedback() Feedback { return e.feedback }

// ConnectionRefused reports whether the upstream's host refused the connection.
func (e *AttemptAnswered) ConnectionRefused() bool { return e.connectionRefused }

// CallFinished reports that the answer to a call was forwarded completely or was
// interrupted.
type CallFinished struct {
	eventTime
	call     CallID
	complete bool
}

// NewCallFinished returns the event for the end of an answer. The flag complete is
// set if the answer was forwarded completely.
func NewCallFinished(at Millis, call CallID, complete bool) *CallFinished {
	return &CallFinished{eventTime{at}, call, complete}
}

// Call returns the call.
func (e *CallFinished) Call() CallID { return e.call }

// Complete reports whether the answer was forwarded completely.
func (e *CallFinished) Complete() bool { return e.complete }

// CallCancelled reports that the caller, or the peer that forwarded the call, aborted
// the call or disconnected.
type CallCancelled struct {
	eventTime
	call CallID
}

// NewCallCancelled returns the event for the cancellation of a call.
func NewCallCancelled(at Millis, call CallID) *CallCancelled {
	return &CallCancelled{eventTime{at}, call}
}

// Call returns the call.
func (e *CallCancelled) Call() CallID { return e.call }

// ForwardWithdrawn reports that the peer that forwarded a call is about to exit and
// withdraws the call unless it is already running.
type ForwardWithdrawn struct {
	eventTime
	call CallID
}

// NewForwardWithdrawn returns the event for the withdrawal of a forwarded call.
func NewForwardWithdrawn(at Millis, call CallID) *ForwardWithdrawn {
	return &ForwardWithdrawn{eventTime{at}, call}
}

// Call returns the call.
func (e *ForwardWithdrawn) Call() CallID { return e.call }

// RunAnswered reports that the head of the backend server's answer arrived. The body
// has not been forwarded yet.
type RunAnswered struct {
	eventTime
	call   CallID
	status int
	load   BackendLoad // zero if the backend server reported none
}

// NewRunAnswered returns the event for the head of a backend server's answer.
func NewRunAnswered(at Millis, call CallID, status int) *RunAnswered {
	return &RunAnswered{eventTime: eventTime{at}, call: call, status: status}
}

// WithLoad returns e with the load that the backend server reported.
func (e *RunAnswered) WithLoad(load BackendLoad) *RunAnswered {
	e.load = load
	return e
}

// Load returns the load that the backend server reported, zero if it reported none.
func (e *RunAnswered) Load() BackendLoad { return e.load }

// Call returns the call.
func (e *RunAnswered) Call() CallID { return e.call }

// Status returns the status of the answer.
func (e *RunAnswered) Status() int { return e.status }

// RunRejected reports that the backend server refused to run a request.
type RunRejected struct {
	eventTime
	call   CallID
	reason Reason
	load   BackendLoad // zero if the backend server reported none
}

// NewRunRejected returns the event for a request that the backend server refused.
func NewRunRejected(at Millis, call CallID, reason Reason) *RunRejected {
	return &RunRejected{eventTime: eventTime{at}, call: call, reason: reason}
}

// WithLoad returns e with the load that the backend server reported.
func (e *RunRejected) WithLoad(load BackendLoad) *RunRejected {
	e.load = load
	return e
}

// Load returns the load that the backend server reported, zero if it reported none.
func (e *RunRejected) Load() BackendLoad { return e.load }

// Call returns the call.
func (e *RunRejected) Call() CallID { return e.call }

// Reason returns why the backend server refused.
func (e *RunRejected) Reason() Reason { return e.reason }

// RunFinished reports that a run ended: its answer was forwarded completely or was
// interrupted, or the backend server did not answer.
type RunFinished struct {
	eventTime
	call    CallID
	outcome Outcome
	status  int // if served
}

// NewRunFinished returns the event for the end of a run.
func NewRunFinished(at Millis, call CallID, outcome Outcome, status int) *RunFinished {
	return &RunFinished{eventTime{at}, call, outcome, status}
}

// Call returns the call.
func (e *RunFinished) Call() CallID { return e.call }

// Outcome returns the outcome of the run.
func (e *RunFinished) Outcome() Outcome { return e.outcome }

// Status returns the status of the answer, if served.
func (e *RunFinished) Status() int { return e.status }

// BackendAnnounced reports that the local backend server announced its service,
// capacity and state.
type BackendAnnounced struct {
	eventTime
	service  ServiceName
	slots    int // at least 1
	conns    int // at least 1
	draining bool
	left     bool // draining is set too, and final
	process  BackendProcess
	receipt  uint64 // answered by an Acknowledge effect, 0 if nothing waits for one
	coldLeft Millis // how much longer the backend server is cold
}

// NewBackendAnnounced returns the event for an announcement of the local backend
// server.
func NewBackendAnnounced(at Millis, service ServiceName, slots, conns int, draining bool) *BackendAnnounced {
	return &BackendAnnounced{eventTime: eventTime{at}, service: service, slots: slots, conns: conns, draining: draining}
}

// WithLeft returns e as the announcement that the backend server has left.
func (e *BackendAnnounced) WithLeft() *BackendAnnounced {
	e.draining, e.left = true, true
	return e
}

// WithProcess returns e as an announcement of the given process.
func (e *BackendAnnounced) WithProcess(process BackendProcess) *BackendAnnounced {
	e.process = process
	return e
}

// WithReceipt returns e as an announcement that an Acknowledge effect with the given
// number answers.
func (e *BackendAnnounced) WithReceipt(receipt uint64) *BackendAnnounced {
	e.receipt = receipt
	return e
}

// WithSlowStartLeft returns e as the announcement of a backend server that stays cold for
// the given time.
func (e *BackendAnnounced) WithSlowStartLeft(left Millis) *BackendAnnounced {
	e.coldLeft = left
	return e
}

// SlowStartLeft returns how much longer the backend server is cold, counted from the event.
func (e *BackendAnnounced) SlowStartLeft() Millis { return e.coldLeft }

// Service returns the service of the backend server.
func (e *BackendAnnounced) Service() ServiceName { return e.service }

// Slots returns how many concurrent requests the backend server accepts.
func (e *BackendAnnounced) Slots() int { return e.slots }

// Conns returns how many connections the backend server accepts.
func (e *BackendAnnounced) Conns() int { return e.conns }

// Draining reports whether the backend server accepts no new requests.
func (e *BackendAnnounced) Draining() bool { return e.draining }

// Left reports whether the backend server has left and will not serve again.
func (e *BackendAnnounced) Left() bool { return e.left }

// Process returns which announcement of which process e is.
func (e *BackendAnnounced) Process() BackendProcess { return e.process }

// Receipt returns the number of the Acknowledge effect that answers e, 0 for none.
func (e *BackendAnnounced) Receipt() uint64 { return e.receipt }

// BackendDeparted reports that a backend server has left that is not the current one of
// the node: the node has had no announcement of it, or one of a later one.
type BackendDeparted struct {
	eventTime
	process BackendProcess
	receipt uint64 // answered by an Acknowledge effect
}

// NewBackendDeparted returns the event for the departure of a process that is not the
// current one. An Acknowledge effect with the given number answers it.
func NewBackendDeparted(at Millis, process BackendProcess, receipt uint64) *BackendDeparted {
	return &BackendDeparted{eventTime{at}, process, receipt}
}

// Process returns the process that has left.
func (e *BackendDeparted) Process() BackendProcess { return e.process }

// Receipt returns the number of the Acknowledge effect that answers e.
func (e *BackendDeparted) Receipt() uint64 { return e.receipt }

// BackendLost reports that the local backend server was lost: it refuses connections,
// its heartbeats stopped, or a new process announced itself.
type BackendLost struct{ eventTime }

// NewBackendLost returns the event for the loss of the local backend server.
func NewBackendLost(at Millis) *BackendLost { return &BackendLost{eventTime{at}} }

// Received reports that a message of a peer arrived. Its authentication code has
// been verified.
type Received struct {
	eventTime
	frame Frame
}

// NewReceived returns the event for the arrival of a message.
func NewReceived(at Millis, frame Frame) *Received { return &Received{eventTime{at}, frame} }

// Frame returns the message with its sender.
func (e *Received) Frame() Frame { return e.frame }

// PeerRefused reports that the host of a peer refused a connection. A host that
// refuses connections is alive, so this proves that the process has ended.
type PeerRefused struct {
	eventTime
	node Node
}

// NewPeerRefused returns the event for a connection that a peer's host refused.
func NewPeerRefused(at Millis, node Node) *PeerRefused { return &PeerRefused{eventTime{at}, node} }

// Node returns the peer.
func (e *PeerRefused) Node() Node { return e.node }

// StoreLoaded is the result of a Load or a Watch effect.
type StoreLoaded struct {
	eventTime
	storeResult
	name   RecordName
	record Record // if StoreOK
	watch  bool   // result of a Watch
}

// NewStoreLoaded returns the result of a Load.
func NewStoreLoaded(at Millis, name RecordName, status StoreStatus, record Record) *StoreLoaded {
	return &StoreLoaded{eventTime: eventTime{at}, storeResult: storeResult{status: status}, name: name, record: record}
}

// AsWatch marks e as the result of a Watch and returns it. The mark is needed because
// a Load and a Watch of the same record can be pending at the same time.
func (e *StoreLoaded) AsWatch() *StoreLoaded {
	e.watch = true
	return e
}

// Name returns the name of the record.
func (e *StoreLoaded) Name() RecordName { return e.name }

// Watch reports whether e is the result of a Watch.
func (e *StoreLoaded) Watch() bool { return e.watch }

// Record returns the record, if the status is StoreOK.
func (e *StoreLoaded) Record() Record { return e.record }

// TablesLoaded is the result of a LoadTables effect.
type TablesLoaded struct {
	eventTime
	storeResult
	started Millis   // when the read began
	records []Record // of both tables, if StoreOK; one that cannot be decoded has a version and no value
}

// NewTablesLoaded returns the result of a LoadTables that began at the given time.
func NewTablesLoaded(at, started Millis, status StoreStatus, records []Record) *TablesLoaded {
	return &TablesLoaded{eventTime: eventTime{at}, storeResult: storeResult{status: status}, started: started, records: records}
}

// Started returns when the read began. The platform had the records then or later.
func (e *TablesLoaded) Started() Millis { return e.started }

// Records returns the records of both tables, if the status is StoreOK.
func (e *TablesLoaded) Records() []Record { return e.records }

// StoreScanned is the result of a Scan effect.
type StoreScanned struct {
	eventTime
	storeResult
	prefix  RecordName
	records []Record // if StoreOK; one that cannot be decoded has a version and no value
}

// NewStoreScanned returns the result of a Scan.
func NewStoreScanned(at Millis, prefix RecordName, status StoreStatus, records []Record) *StoreScanned {
	return &StoreScanned{eventTime: eventTime{at}, storeResult: storeResult{status: status}, prefix: prefix, records: records}
}

// Prefix returns the prefix of the records' names.
func (e *StoreScanned) Prefix() RecordName { return e.prefix }

// Records returns the records, if the status is StoreOK.
func (e *StoreScanned) Records() []Record { return e.records }

// StoreSwapped is the result of a Swap effect.
type StoreSwapped struct {
	eventTime
	storeResult
	name    RecordName
	version uint64 // of the record after the write, if StoreOK
}

// NewStoreSwapped returns the result of a Swap.
func NewStoreSwapped(at Millis, name RecordName, status StoreStatus, version uint64) *StoreSwapped {
	return &StoreSwapped{eventTime{at}, storeResult{status: status}, name, version}
}

// Name returns the name of the record.
func (e *StoreSwapped) Name() RecordName { return e.name }

// Version returns the version of the record after the write, if the status is
// StoreOK.
func (e *StoreSwapped) Version() uint64 { return e.version }

// StopRequested reports a request to shut down the node gracefully.
type StopRequested struct{ eventTime }

// NewStopRequested returns the event for a request to shut down.
func NewStopRequested(at Millis) *StopRequested { return &StopRequested{eventTime{at}} }
