package jackdawbridge

import "github.com/jackdawbridge/jackdawbridge/arena"

// Effect is an action that the reducer requests and the runtime executes. An effect
// is valid until the next Reset of the Effects that it belongs to.
type Effect interface{ effect() }

// Forward sends a call to the node of an upstream.
type Forward struct {
	call     CallID
	attempt  int // 1 for the first
	target   Peer
	envelope Envelope
}

// Call returns the call.
func (f *Forward) Call() CallID { return f.call }

// Attempt returns the number of the attempt, 1 for the first.
func (f *Forward) Attempt() int { return f.attempt }

// Target returns the node to which the call is forwarded.
func (f *Forward) Target() Peer { return f.target }

// Envelope returns the envelope to send.
func (f *Forward) Envelope() Envelope { return f.envelope }

// Run sends a call to the local backend server.
type Run struct {
	call       CallID
	token      Token  // for calls that the backend server makes for the request
	budget     Millis // time left to the deadline
	sendWithin Millis // time left to send the request, 0 for no limit but the deadline
}

// Call returns the call.
func (r *Run) Call() CallID { return r.call }

// Token returns the token for calls that the backend server makes for the request.
func (r *Run) Token() Token { return r.token }

// Budget returns the time left to the deadline.
func (r *Run) Budget() Millis { return r.budget }

// SendWithin returns the time left to send the request to the backend server, 0 if only
// the deadline limits it. A request that is not sent in time has not run.
func (r *Run) SendWithin() Millis { return r.sendWithin }

// Deliver forwards the answer of an attempt to the caller, or the answer of a run to
// the entry node.
type Deliver struct {
	call     CallID
	attempt  int      // 0 for a run
	feedback Feedback // for the entry node of a run
}

// Call returns the call.
func (d *Deliver) Call() CallID { return d.call }

// Attempt returns the attempt whose answer is forwarded, 0 for a run.
func (d *Deliver) Attempt() int { return d.attempt }

// Feedback returns the load report for the entry node of a run.
func (d *Deliver) Feedback() Feedback { return d.feedback }

// Refuse answers a call with a refusal and stops all processing of the call.
type Refuse struct {
	call     CallID
	refusal  Refusal
	feedback Feedback // for the entry node of a run
}

// Call returns the call.
func (r *Refuse) Call() CallID { return r.call }

// Refusal returns the refusal that the call is answered with.
func (r *Refuse) Refusal() Refusal { return r.refusal }

// Feedback returns the load report for the entry node of a run.
func (r *Refuse) Feedback() Feedback { return r.feedback }

// Cancel aborts an attempt or a run. An attempt is reset on its link, which stays open
// for other requests. A run's connection to the backend server is closed.
type Cancel struct {
	call    CallID
	attempt int // 0 for a run
	cause   CancelCause
}

// Cause returns who gave up.
func (c *Cancel) Cause() CancelCause { return c.cause }

// Call returns the call.
func (c *Cancel) Call() CallID { return c.call }

// Attempt returns the attempt, 0 for a run.
func (c *Cancel) Attempt() int { return c.attempt }

// CancelCause is the reason why an attempt or a run was cancelled.
type CancelCause uint8

// The causes.
const (
	CallerGone      CancelCause = iota // the caller, or the entry node of a run, has given up
	ParentEnded                        // the run that made the call has ended
	DeadlineReached                    // of the call
	ProcessStops                       // the grace period of this process is over
	UpstreamSilent                     // the call is sent to another upstream
	QueueFull                          // too many decisions about the request wait
)

// String returns the cause as it appears in log lines and metrics.
func (c CancelCause) String() string {
	return enumName(c, "caller", "parent", "deadline", "stop", "silent_upstream", "full_queue")
}

// Withdraw stops the intake of requests before the exit of the process. The nodes of
// upstreams refuse the attempts in progress that are not yet running, attempts that
// are not yet sent fail as not run, and requests whose bodies are still being read are
// refused. Attempts that are running continue.
type Withdraw struct{}

// Send sends a message to a peer.
type Send struct {
	to    Peer
	frame Frame
}

// To returns the receiver.
func (s *Send) To() Peer { return s.to }

// Frame returns the message with its sender.
func (s *Send) Frame() Frame { return s.frame }

// Load reads a record from the platform. Its result arrives as a StoreLoaded event.
type Load struct{ name RecordName }

// Name returns the name of the record.
func (l *Load) Name() RecordName { return l.name }

// LoadTables reads both tables from the platform. Its result arrives as a TablesLoaded
// event.
type LoadTables struct {
	config, keys uint64 // versions of the records that the node has, 0 to read them in full
}

// Known returns the version that the node has of the record of a table. It is 0 if the
// record is to be read in full, even if it has not changed.
func (l *LoadTables) Known(name RecordName) uint64 {
	if name == KeysTable {
		return l.keys
	}
	return l.config
}

// Scan reads all records whose names begin with a prefix. The result is a StoreScanned
// event.
type Scan struct{ prefix RecordName }

// Prefix returns the prefix.
func (s *Scan) Prefix() RecordName { return s.prefix }

// Watch waits until the version of a record differs from the given one. Its result
// arrives as a StoreLoaded event, after which the reducer adds the next Watch.
type Watch struct {
	name    RecordName
	version uint64
}

// Name returns the name of the record.
func (w *Watch) Name() RecordName { return w.name }

// Version returns the version that the node has.
func (w *Watch) Version() uint64 { return w.version }

// Swap is a compare-and-swap: it writes a record if the record has the given
// version. Its result arrives as a StoreSwapped event.
type Swap struct {
	name    RecordName
	version uint64 // 0 for a record that does not exist
	value   Value  // nil to remove the record
	lease   Millis // 0 for no lease
}

// Name returns the name of the record.
func (s *Swap) Name() RecordName { return s.name }

// Version returns the version that the record must have, 0 if it must not exist.
func (s *Swap) Version() uint64 { return s.version }

// Value returns the new value, nil to remove the record.
func (s *Swap) Value() Value { return s.value }

// Lease returns the time after which the platform removes the record, 0 for never.
func (s *Swap) Lease() Millis { return s.lease }

// Acknowledge answers an announcement of the local backend server: it is in force, and
// a departure outlasts this process.
type Acknowledge struct{ receipt uint64 }

// Receipt returns the number that the announcement carried.
func (a *Acknowledge) Receipt() uint64 { return a.receipt }

// Exit ends the process as soon as its listeners are closed and the calls that arrive until
// then have ended. All others have, and the ranges of the node have been taken over or the
// time limit for its shutdown has passed.
type Exit struct{}

func (*Forward) effect()    {}
func (*Run) effect()        {}
func (*Deliver) effect()    {}
func (*Refuse) effect()     {}
func (*Cancel) effect()     {}
func (*Withdraw) effect()   {}
func (*Send) effect()       {}
func (*Load) effect()       {}
func (*LoadTables) effect() {}
func (*Scan) effect()       {}
func (*Watch) effect()      {}
func (*Swap) effect()       {}
func (*Log) effect()        {}
func (*Exit) effect()       {}

func (*Acknowledge) effect() {}

// Effects collects effects in order until Reset. The zero value is ready to use.
// Reset keeps the memory, so that adding effects allocates only until the memory has grown
// to the largest number of effects between two calls of Reset.
type Effects struct {
	list     []Effect
	forwards arena.Arena[Forward]
	runs     arena.Arena[Run]
	delivers arena.Arena[Deliver]
	refuses  arena.Arena[Refuse]
	cancels  arena.Arena[Cancel]
	sends    arena.Arena[Send]
	loads    arena.Arena[Load]
	watches  arena.Arena[Watch]
	swaps    arena.Arena[Swap]
	logs     arena.Arena[Log]
}

// All returns the effects in order. They are valid until Reset.
func (e *Effects) All() []Effect { return e.list }

// Reset removes all effects and keeps their memory for reuse.
func (e *Effects) Reset() {
	clear(e.list)
	e.list = e.list[:0]
	e.forwards.Reset()
	e.runs.Reset()
	e.delivers.Reset()
	e.refuses.Reset()
	e.cancels.Reset()
	e.sends.Reset()
	e.loads.Reset()
	e.watches.Reset()
	e.swaps.Reset()
	e.logs.Reset()
}

// Forward adds a Forward effect.
func (e *Effects) Forward(call CallID, attempt int, target Peer, envelope Envelope) {
	f := e.forwards.New()
	*f = Forward{call: call, attempt: attempt, target: target, envelope: envelope}
	e.list = append(e.list, f)
}

// Run adds a Run effect.
func (e *Effects) Run(call CallID, token Token, budget, sendWithin Millis) {
	r := e.runs.New()
	*r = Run{call: call, token: token, budget: budget, sendWithin: sendWithin}
	e.list = append(e.list, r)
}

// Deliver adds a Deliver effect.
func (e *Effects) Deliver(call CallID, attempt int, feedback Feedback) {
	d := e.delivers.New()
	*d = Deliver{call: call, attempt: attempt, feedback: feedback}
	e.list = append(e.list, d)
}

// Refuse adds a Refuse effect.
func (e *Effects) Refuse(call CallID, refusal Refusal, feedback Feedback) {
	r := e.refuses.New()
	*r = Refuse{call: call, refusal: refusal, feedback: feedback}
	e.list = append(e.list, r)
}

// Cancel adds a Cancel effect.
func (e *Effects) Cancel(call CallID, attempt int, cause CancelCause) {
	c := e.cancels.New()
	*c = Cancel{call: call, attempt: attempt, cause: cause}
	e.list = append(e.list, c)
}

// Withdraw adds a Withdraw effect.
func (e *Effects) Withdraw() { e.list = append(e.list, &Withdraw{}) }

// Send adds a Send effect.
func (e *Effects) Send(to Peer, frame Frame) {
	s := e.sends.New()
	*s = Send{to: to, frame: frame}
	e.list = append(e.list, s)
}

// Load adds a Load effect.
func (e *Effects) Load(name RecordName) {
	l := e.loads.New()
	l.name = name
	e.list = append(e.list, l)
}

// LoadTables adds a LoadTables effect.
func (e *Effects) LoadTables(config, keys uint64) {
	e.list = append(e.list, &LoadTables{config: config, keys: keys})
}

// Scan adds a Scan effect.
func (e *Effects) Scan(prefix RecordName) { e.list = append(e.list, &Scan{prefix: prefix}) }

// Watch adds a Watch effect.
func (e *Effects) Watch(name RecordName, version uint64) {
	w := e.watches.New()
	*w = Watch{name: name, version: version}
	e.list = append(e.list, w)
}

// Swap adds a Swap effect.
func (e *Effects) Swap(name RecordName, version uint64, value Value, lease Millis) {
	s := e.swaps.New()
	*s = Swap{name: name, version: version, value: value, lease: lease}
	e.list = append(e.list, s)
}

// Log adds a Log effect and returns it, so that the caller can add attributes.
func (e *Effects) Log(part Part, text string) *Log {
	l := e.logs.New()
	l.part = part
	l.text = text
	e.list = append(e.list, l)
	return l
}

// Warn adds a Log effect with the level of a warning and returns it.
func (e *Effects) Warn(part Part, text string) *Log {
	l := e.Log(part, text)
	l.warn = true
	return l
}

// Acknowledge adds an Acknowledge effect. It does nothing for receipt 0.
func (e *Effects) Acknowledge(receipt uint64) {
	if receipt != 0 {
		e.list = append(e.list, &Acknowledge{receipt: receipt})
	}
}

// Exit adds an Exit effect.
func (e *Effects) Exit() { e.list = append(e.list, &Exit{}) }
