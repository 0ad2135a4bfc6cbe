// Package reducer makes every decision of a node: one state, changed by one
// function over all events, with effects as data.
//
// A call is a request at its entry node, the node that received it from the
// caller. A run is the same request at its upstream, the node whose backend server
// runs it. Each part of the state has its own files: calls, runs, routing, shares
// of the accounts' rates, retries, idempotency, membership, settings, authority over
// ranges, quarantine and draining. The parts call each other, but other packages
// reach them only through Apply.
package reducer

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/admission"
)

// FreezeGap is the gap between two events above which the reducer assumes that
// the process was frozen. It is above the longest interval between ticks.
const FreezeGap = 3 * jackdawbridge.Second

// maxTickInterval is the longest time between two ticks of an idle node.
const maxTickInterval = jackdawbridge.Second

// never is the wake time of a part that has nothing scheduled.
const never = jackdawbridge.Millis(1<<63 - 1)

// Options configures a Reducer.
type Options struct {
	self             jackdawbridge.Peer   // this node
	joins            []jackdawbridge.Peer // addresses of peers to join, from the command line
	seed             [32]byte             // seed of the random source; secret, because run tokens are drawn from it
	picker           jackdawbridge.Picker
	limiter          jackdawbridge.Limiter
	queue            jackdawbridge.Queue
	floors           bool                 // the node admits a part of an account's rate while no holder of a range answers
	drain            jackdawbridge.Millis // how long a draining backend server or node still accepts requests
	applyLimit       jackdawbridge.Millis // time within which a change of the tables must be in force
	fullReadInterval jackdawbridge.Millis // time between two reads of the tables in full
	retryBudget      retryBudgets         // permille and burst only, without balances
	stopLimit        jackdawbridge.Millis // how long a stopping node accepts new calls
	gracePeriod      jackdawbridge.Millis // time from the request to stop to the exit
	firstStart       bool                 // no process of the fleet ran before
}

// NewOptions returns the options of a node with the given strategies.
func NewOptions(
	self jackdawbridge.Peer, seed [32]byte,
	picker jackdawbridge.Picker, limiter jackdawbridge.Limiter, queue jackdawbridge.Queue,
) Options {
	return Options{self: self, seed: seed, picker: picker, limiter: limiter, queue: queue, drain: defaultDrainPeriod, stopLimit: defaultStopLimit, gracePeriod: defaultGracePeriod, applyLimit: defaultApplyLimit, fullReadInterval: defaultFullReadInterval, retryBudget: newRetryBudgets()}
}

// WithFloors returns o for a node that admits a part of an account's rate on its
// own while no holder of a range in its data centre answers. An account may then
// exceed its rate while nodes are partitioned.
func (o Options) WithFloors() Options {
	o.floors = true
	return o
}

// WithDrainPeriod returns o with the time for which a draining backend server or
// node still accepts requests, while the other nodes learn that it drains.
func (o Options) WithDrainPeriod(span jackdawbridge.Millis) Options {
	o.drain = span
	return o
}

// WithJoins returns o with the peers to join at the start. Only their addresses
// need to be set.
func (o Options) WithJoins(joins []jackdawbridge.Peer) Options {
	o.joins = joins
	return o
}

// WithApplyLimit returns o with the time within which a change of the tables must be in
// force at each node that reaches the platform or its peers.
func (o Options) WithApplyLimit(span jackdawbridge.Millis) Options {
	o.applyLimit = span
	return o
}

// WithConfirmInterval returns o with the time between two reads of the tables in full.
// The reads between them ask only for changes, and miss those of which the platform
// has lost the history.
func (o Options) WithConfirmInterval(span jackdawbridge.Millis) Options {
	o.fullReadInterval = span
	return o
}

// WithRetryBudget returns o with the retry budget of each service: the part of its
// calls, in permille, that the node may send to a second backend server, and the
// number of retries that may accumulate.
func (o Options) WithRetryBudget(permille, burst int) Options {
	o.retryBudget.permille, o.retryBudget.burst = permille, burst
	return o
}

// WithFirstStart returns o for a node of a fleet that starts for the first time, so that
// no earlier process can have recorded anything.
func (o Options) WithFirstStart() Options {
	o.firstStart = true
	return o
}

// WithStopLimit returns o with the time for which a stopping node accepts new calls
// and waits for other nodes to take over its ranges.
func (o Options) WithStopLimit(span jackdawbridge.Millis) Options {
	o.stopLimit = span
	return o
}

// WithGracePeriod returns o with the time from the request to stop until the process
// exits, by which all calls are answered.
func (o Options) WithGracePeriod(span jackdawbridge.Millis) Options {
	o.gracePeriod = span
	return o
}

// Reducer holds the whole state of a node.
type Reducer struct {
	self    jackdawbridge.Peer // this node as last announced; state and version change
	now     jackdawbridge.Millis
	started jackdawbridge.Millis   // when the process started
	fx      *jackdawbridge.Effects // effects of the current Apply, nil outside it
	random  *rand.ChaCha8

	calls      calls
	runs       runs
	routes     routes
	shares     shares
	once       atMostOnce
	members    members
	settings   settings
	authority  authority
	quarantine quarantine
	drain      drain
	departures departures
	cleaner    departureCleaner
	warmup     warmup
	evacuation evacuation
	eras       eras
}

var _ jackdawbridge.Reducer = (*Reducer)(nil)

// New returns the state of a node that starts at the given instant. The node does
// nothing before its first event.
func New(at jackdawbridge.Millis, options Options) (*Reducer, error) {
	if options.self.Node().IsZero() {
		return nil, errors.New("create reducer: options name no node")
	}
	if options.picker == nil || options.limiter == nil || options.queue == nil {
		return nil, errors.New("create reducer: options lack a picker, a limiter or a queue")
	}
	r := &Reducer{self: options.self, now: at, started: at, random: rand.NewChaCha8(options.seed)}
	r.calls = newCalls(r)
	r.calls.retryBudgets.permille, r.calls.retryBudgets.burst = options.retryBudget.permille/unansweredPart, options.retryBudget.burst
	r.runs = newRuns(r, options.limiter, options.queue)
	r.runs.tries = admission.NewTries(options.retryBudget.permille, options.retryBudget.burst)
	r.routes = newRoutes(r, options.picker)
	r.shares = newShares(r)
	r.shares.floors = options.floors
	r.once = newAtMostOnce(r)
	r.members = newMembers(r, options.joins)
	r.settings = newSettings(r)
	r.settings.reader.limit, r.settings.reader.fullInterval = options.applyLimit, options.fullReadInterval
	r.authority = newAuthority(r)
	r.quarantine = newQuarantine(r)
	r.drain = newDrain(r, options.drain, options.stopLimit, options.gracePeriod)
	r.departures = newDepartures(r, options.firstStart)
	r.cleaner = newDepartureCleaner(r)
	r.warmup = newWarmup(r)
	r.evacuation = newEvacuation(r)
	r.eras = newEras(r, options.firstStart)
	return r, nil
}

// Apply updates the state for one event and appends the resulting effects.
func (r *Reducer) Apply(event jackdawbridge.Event, effects *jackdawbridge.Effects) {
	r.fx = effects
	r.advance(event.At())
	if result, ok := event.(jackdawbridge.StoreResult); ok {
		r.eras.answered(result)
	}
	switch e := event.(type) {
	case *jackdawbridge.Tick:
	case *jackdawbridge.CallArrived:
		r.calls.arrive(e)
	case *jackdawbridge.AttemptAnswered:
		r.calls.answered(e)
	case *jackdawbridge.CallFinished:
		r.calls.finished(e)
	case *jackdawbridge.CallCancelled:
		r.calls.cancelled(e.Call())
		r.runs.cancelled(e.Call())
	case *jackdawbridge.ForwardArrived:
		r.runs.arrive(e)
	case *jackdawbridge.ForwardWithdrawn:
		r.runs.withdrawn(e.Call())
	case *jackdawbridge.RunAnswered:
		r.runs.answered(e)
	case *jackdawbridge.RunRejected:
		r.runs.rejected(e)
	case *jackdawbridge.RunFinished:
		r.runs.finished(e)
	case *jackdawbridge.BackendAnnounced:
		r.departures.announced(e)
	case *jackdawbridge.BackendDeparted:
		r.departures.departed(e)
	case *jackdawbridge.BackendLost:
		r.runs.backendLost()
	case *jackdawbridge.Received:
		r.receive(e.Frame())
	case *jackdawbridge.PeerRefused:
		r.members.connectionRefused(e.Node())
	case *jackdawbridge.StoreLoaded:
		r.loaded(e)
	case *jackdawbridge.TablesLoaded:
		r.settings.tablesLoaded(e)
	case *jackdawbridge.StoreScanned:
		if e.Prefix() == jackdawbridge.DeparturesPrefix {
			r.cleaner.scanned(e)
		} else {
			r.members.seedsScanned(e)
		}
	case *jackdawbridge.StoreSwapped:
		r.swapped(e)
	case *jackdawbridge.StopRequested:
		r.drain.begin()
	}
	r.tick()
	r.fx = nil
}

// NextTick returns when the next Tick is due.
func (r *Reducer) NextTick() jackdawbridge.Millis {
	return min(
		r.now+maxTickInterval,
		r.calls.wake(),
		r.runs.wake(),
		r.routes.wake(),
		r.shares.wake(),
		r.once.wake(),
		r.members.wake(),
		r.settings.wake(),
		r.authority.wake(),
		r.quarantine.wake(),
		r.drain.wake(),
		r.departures.wake(),
		r.cleaner.wake(),
		r.warmup.wake(),
		r.evacuation.wake(),
	)
}

// advance sets the current time. If the gap since the last event shows that the
// process was frozen, everything whose validity depends on time is dropped before
// the event is processed.
func (r *Reducer) advance(at jackdawbridge.Millis) {
	gap := at - r.now
	r.now = max(r.now, at)
	if gap <= FreezeGap {
		return
	}
	r.fx.Warn(jackdawbridge.PartMember, "no event for too long, process was frozen: leases and tokens dropped").Duration("gap_ms", gap)
	r.shares.resetAfterFreeze()
	r.authority.resetAfterFreeze()
	r.members.resetAfterFreeze()
	r.settings.resetAfterFreeze()
}

// tick runs the work of each part that is due. A part does nothing before the time
// that its wake method returns.
func (r *Reducer) tick() {
	r.calls.tick()
	r.runs.tick()
	r.routes.tickReach()
	r.shares.tick()
	r.once.tick()
	r.members.tick()
	r.settings.tick()
	r.authority.tick()
	r.quarantine.tick()
	r.drain.tick()
	r.departures.tick()
	r.cleaner.tick()
	r.warmup.tick()
}

// receive records the sender's digest in the parts that use it and dispatches the
// message to the part that handles it. Frames from this node itself are ignored.
func (r *Reducer) receive(frame jackdawbridge.Frame) {
	from := frame.From()
	if from.Node() == r.self.Node() {
		return
	}
	r.members.observe(from)
	r.eras.observe(from.Node(), frame.Digest().Era())
	r.settings.observe(from, frame.Digest())
	r.authority.observe(from, frame.Digest())
	r.shares.observe(from, frame.Digest())
	r.routes.upstreamSeen(from.Node())
	switch m := frame.Message().(type) {
	case *jackdawbridge.Probe:
		r.members.probe(from, m)
	case *jackdawbridge.ProbeAck:
		r.members.probeAck(from, frame.Digest(), m)
	case *jackdawbridge.IndirectProbe:
		r.members.relayProbe(from, m)
	case *jackdawbridge.Members:
		if !r.authority.holdersReceived(from, m) {
			r.members.received(from, m)
		}
	case *jackdawbridge.Leave:
		r.members.left(from)
	case *jackdawbridge.RevisionNotice:
		// It carries nothing but the digest, which was recorded above.
	case *jackdawbridge.Pull:
		r.settings.pullRequested(from, m)
		r.authority.pullReceived(from, m)
	case *jackdawbridge.TableDelta:
		r.settings.deltaReceived(from, frame.Digest(), m)
	case *jackdawbridge.RangesUpdate:
		r.authority.rangesReceived(from, m)
	case *jackdawbridge.VoteRequest:
		r.authority.voteRequested(from, m)
	case *jackdawbridge.Vote:
		r.authority.voteReceived(from, m)
	case *jackdawbridge.PrepareRequest:
		r.authority.prepareRequested(from, m)
	case *jackdawbridge.Promise:
		r.authority.promiseReceived(from, m)
	case *jackdawbridge.TokenRequest:
		r.shares.requestReceived(from, m)
	case *jackdawbridge.TokenGrant:
		r.shares.grantReceived(from, m)
	case *jackdawbridge.TokenDenial:
		r.shares.denialReceived(from, m)
	case *jackdawbridge.UsageReport:
		r.shares.reportReceived(from, m)
	case *jackdawbridge.Handover:
		r.shares.handoverReceived(from, m)
	case *jackdawbridge.StartRequest:
		r.once.startRequested(from, m)
	case *jackdawbridge.StartResponse:
		r.once.startResponseReceived(from, m)
	case *jackdawbridge.Completion:
		r.once.recordCompletion(from, m)
	case *jackdawbridge.CrashReport:
		r.quarantine.crashReported(from, m)
	}
}

// loaded dispatches a record that was read from the platform to the part that
// requested it.
func (r *Reducer) loaded(e *jackdawbridge.StoreLoaded) {
	switch {
	case isTable(e.Name()):
		r.settings.watched(e)
	case isSeed(e.Name()):
		r.members.seedLoaded(e)
	case isDeparture(e.Name()):
		r.departures.recordLoaded(e)
	default:
		r.authority.loaded(e)
	}
}

// swapped dispatches the result of a compare-and-swap to the part that requested
// it.
func (r *Reducer) swapped(e *jackdawbridge.StoreSwapped) {
	switch {
	case isSeed(e.Name()):
		r.members.seedSwapped(e)
	case isDeparture(e.Name()):
		r.departures.recordSwapped(e)
	default:
		r.authority.swapped(e)
	}
}

// send sends a message to a peer, with this node's digest.
func (r *Reducer) send(to jackdawbridge.Peer, message jackdawbridge.Message) {
	r.fx.Send(to, jackdawbridge.NewFrame(r.self, r.digest().WithMaybeStale(r.settings.gossip.maybeStale()), message))
}

// digest returns the newest revisions that this node has.
func (r *Reducer) digest() jackdawbridge.Digest {
	return jackdawbridge.NewDigest(
		r.settings.revision(jackdawbridge.ConfigTable),
		r.settings.revision(jackdawbridge.KeysTable),
		r.authority.rangesProgress(),
		r.settings.confirmedAge(),
	).WithEra(r.eras.digest())
}
