// Package node is the runtime around a reducer. It owns the sockets and timers,
// translates inputs into events for the reducer and executes the effects that
// the reducer returns.
package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	gometrics "github.com/rcrowley/go-metrics"
)

// Dependencies holds the components that a Node is built from.
type Dependencies struct {
	reducer jackdawbridge.Inspector
	store   jackdawbridge.Store
	links   jackdawbridge.LinkClient
	dialect jackdawbridge.Dialect
	clock   jackdawbridge.Clock
	logger  *slog.Logger
	metrics gometrics.Registry
}

// NewDependencies returns the dependencies of a node. None may be nil.
func NewDependencies(
	reducer jackdawbridge.Inspector, store jackdawbridge.Store, links jackdawbridge.LinkClient,
	dialect jackdawbridge.Dialect, clock jackdawbridge.Clock, logger *slog.Logger, metrics gometrics.Registry,
) Dependencies {
	return Dependencies{reducer: reducer, store: store, links: links, dialect: dialect, clock: clock, logger: logger, metrics: metrics}
}

// Node runs a reducer. It applies events one at a time under a mutex and
// executes their effects immediately, without blocking.
type Node struct {
	deps      Dependencies
	limits    Limits
	addresses Addresses
	metrics   *metrics
	log       *logWriter
	backend   *backend
	endpoints []*endpoint

	ctx             context.Context // cancelled by Close
	cancel          context.CancelFunc
	drained         chan struct{}   // closed by an Exit effect
	withdrawn       context.Context // cancelled by a Withdraw effect
	withdraw        context.CancelFunc
	stopping        atomic.Bool
	stopRequested   chan struct{} // closed by Stop
	stopRequestedAt time.Time     // time of the call to Stop; valid after stopRequested is closed

	mu           sync.Mutex
	transport    jackdawbridge.Transport    // nil until Start
	peerListener jackdawbridge.LinkListener // nil until Start
	effects      jackdawbridge.Effects
	exchanges    map[jackdawbridge.CallID]*exchange // requests in progress on all listeners
	lastCall     jackdawbridge.CallID
	timer        *time.Timer          // fires at the next Tick
	timerDue     jackdawbridge.Millis // time at which timer fires, 0 if it is not set
	closed       bool
}

// New returns a node that has not been started.
func New(deps Dependencies, limits Limits, addresses Addresses) (*Node, error) {
	if deps.reducer == nil || deps.store == nil || deps.links == nil ||
		deps.dialect == nil || deps.clock == nil || deps.logger == nil || deps.metrics == nil {
		return nil, errors.New("new node: a dependency is nil")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		deps: deps, limits: limits, addresses: addresses,
		metrics: newMetrics(deps.metrics),
		log:     newLogWriter(deps.logger),
		ctx:     ctx, cancel: cancel,
		drained:       make(chan struct{}),
		stopRequested: make(chan struct{}),
		exchanges:     make(map[jackdawbridge.CallID]*exchange),
	}
	n.withdrawn, n.withdraw = context.WithCancel(ctx)
	n.backend = newBackend(n)
	return n, nil
}

// Start opens the listeners and applies the first Tick. Transport carries the
// messages between nodes, and peerListener accepts the requests that peers
// forward. The node closes both when it ends.
func (n *Node) Start(transport jackdawbridge.Transport, peerListener jackdawbridge.LinkListener) error {
	n.mu.Lock()
	n.transport, n.peerListener = transport, peerListener
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.mu.Unlock()
	if err := n.openListeners(); err != nil {
		n.Close()
		return errors.Errorf("start node: %w", err)
	}
	go peerListener.Serve(n.ServeInbound)
	n.tick()
	return nil
}

// Receive applies a message from a peer. The caller must have verified the
// message's authentication code.
func (n *Node) Receive(frame jackdawbridge.Frame) {
	n.apply(jackdawbridge.NewReceived(n.now(), frame))
}

// Stop begins a graceful shutdown and returns. Wait waits for its end.
func (n *Node) Stop() {
	if n.stopping.Swap(true) {
		return
	}
	n.stopRequestedAt = time.Now()
	close(n.stopRequested)
	n.log.info("node: stop requested, drain begins")
	n.apply(jackdawbridge.NewStopRequested(n.now()))
}

// Wait waits for Stop and then for the end of the shutdown: the reducer has answered
// all requests, and the listeners have been closed without interrupting a request.
// At the end of the grace period, answers that are still being written are cut off.
func (n *Node) Wait() {
	<-n.stopRequested
	ctx, cancel := context.WithDeadline(n.ctx, n.stopRequestedAt.Add(n.limits.gracePeriod))
	defer cancel()
	select {
	case <-n.drained:
	case <-ctx.Done():
		n.log.warn("node: grace period ended before the drain finished")
	}
	n.shutdown(ctx)
	n.Close()
}

// Close ends the node immediately, without a drain.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	n.closed = true
	if n.timer != nil {
		n.timer.Stop()
	}
	transport, peerListener := n.transport, n.peerListener
	n.transport, n.peerListener = nil, nil
	n.mu.Unlock()
	for _, e := range n.endpoints {
		if err := e.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.warn("node: failed to close a listener", "error", err)
		}
	}
	n.backend.close()
	for name, c := range map[string]io.Closer{"transport": transport, "listener of peers": peerListener, "links": n.deps.links} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil {
			n.log.warn("node: failed to close a component", "name", name, "error", err)
		}
	}
	n.log.close()
}

// Status returns a summary of the node's state.
func (n *Node) Status() jackdawbridge.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.deps.reducer.Status()
}

func (n *Node) now() jackdawbridge.Millis { return n.deps.clock.Now() }

// tick applies a Tick when the timer fires. By the node's clock the timer may fire
// slightly early, so tick marks it as not set, and apply sets it again.
func (n *Node) tick() {
	n.mu.Lock()
	n.timerDue = 0
	n.mu.Unlock()
	n.apply(jackdawbridge.NewTick(n.now()))
}

// apply passes one event to the reducer, executes the effects and sets the timer
// for the next Tick. It reports false if the node is not started or closed, so that
// the event has no effect.
func (n *Node) apply(event jackdawbridge.Event) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.transport == nil {
		return false
	}
	n.effects.Reset()
	n.deps.reducer.Apply(event, &n.effects)
	for _, effect := range n.effects.All() {
		n.execute(effect)
	}
	n.armTimer()
	return true
}

// armTimer sets the timer for the next Tick, unless the timer already fires at or
// before that time: setting it may cost a system call, and every step of a request
// is an event. The next Tick is at least 1 ms away, so that an overdue deadline in
// the reducer cannot make the timer spin. n.mu is held.
func (n *Node) armTimer() {
	now := n.now()
	at := max(n.deps.reducer.NextTick(), now+1)
	if n.timerDue > now && n.timerDue <= at {
		return
	}
	n.timerDue = at
	n.timer.Reset(time.Duration(at-now) * time.Millisecond)
}

// execute executes an effect without blocking. n.mu is held.
func (n *Node) execute(effect jackdawbridge.Effect) {
	switch e := effect.(type) {
	case *jackdawbridge.Forward:
		n.sendDecision(e.Call(), decision{kind: decideForward, attempt: e.Attempt(), target: e.Target(), envelope: e.Envelope()})
	case *jackdawbridge.Run:
		d := decision{kind: decideRun, token: e.Token(), budget: e.Budget()}
		if e.SendWithin() > 0 {
			d.sendBy = n.now() + e.SendWithin()
		}
		n.sendDecision(e.Call(), d)
	case *jackdawbridge.Deliver:
		n.sendDecision(e.Call(), decision{kind: decideDeliver, attempt: e.Attempt(), feedback: e.Feedback()})
	case *jackdawbridge.Refuse:
		n.sendDecision(e.Call(), decision{kind: decideRefuse, refusal: e.Refusal(), feedback: e.Feedback()})
	case *jackdawbridge.Cancel:
		if x, ok := n.exchanges[e.Call()]; ok {
			x.cancelAttempt(e.Attempt(), e.Cause())
			n.metrics.count("cancelled_by_" + e.Cause().String())
		}
	case *jackdawbridge.Withdraw:
		n.withdraw()
		n.deps.links.Withdraw()
	case *jackdawbridge.Send:
		n.send(e.To(), e.Frame())
	case *jackdawbridge.Load:
		go n.loadRecord(e.Name())
	case *jackdawbridge.LoadTables:
		go n.loadTables(e)
	case *jackdawbridge.Scan:
		go n.scanRecords(e.Prefix())
	case *jackdawbridge.Watch:
		go n.watchRecord(e.Name(), e.Version())
	case *jackdawbridge.Swap:
		go n.swapRecord(e.Name(), e.Version(), e.Value(), e.Lease())
	case *jackdawbridge.Log:
		n.log.writeEffect(e)
	case *jackdawbridge.Acknowledge:
		n.backend.acknowledged(e.Receipt())
	case *jackdawbridge.Exit:
		close(n.drained)
	}
}

// send sends a message to a peer. n.mu is held.
func (n *Node) send(to jackdawbridge.Peer, frame jackdawbridge.Frame) {
	if err := n.transport.Send(to, frame); err != nil {
		n.metrics.count("messages_unsent")
		n.log.warn("node: failed to send a message to a peer", "to", to.Node().String(), "error", err)
		return
	}
	n.metrics.count("messages_sent")
}

// sendDecision passes a decision to the goroutine that serves the request. If the
// request has ended in the meantime, the decision is dropped. n.mu is held.
func (n *Node) sendDecision(call jackdawbridge.CallID, d decision) {
	x, ok := n.exchanges[call]
	if !ok {
		return
	}
	select {
	case x.decisions <- d:
	default:
		n.log.warn("node: decision dropped and attempt cancelled: queue of the request is full", "call", uint64(call))
		x.cancelAttempt(d.attempt, jackdawbridge.QueueFull)
	}
}

// openExchange registers a new request of one of the listeners.
func (n *Node) openExchange() *exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCall++
	x := newExchange(n.lastCall)
	n.exchanges[x.call] = x
	return x
}

// endExchange removes a request and releases its resources.
func (n *Node) endExchange(x *exchange) {
	n.mu.Lock()
	delete(n.exchanges, x.call)
	n.mu.Unlock()
	x.close()
}
