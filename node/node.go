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
type Parts struct {
	reducer jackdawbridge.Inspector
	store   jackdawbridge.Store
	links   jackdawbridge.Links
	dialect jackdawbridge.Dialect
	clock   jackdawbridge.Clock
	logger  *slog.Logger
	metrics gometrics.Registry
}

// NewDependencies returns the dependencies of a node. None may be nil.
func NewParts(
	reducer jackdawbridge.Inspector, store jackdawbridge.Store, links jackdawbridge.Links,
	dialect jackdawbridge.Dialect, clock jackdawbridge.Clock, logger *slog.Logger, metrics gometrics.Registry,
) Parts {
	return Parts{reducer: reducer, store: store, links: links, dialect: dialect, clock: clock, logger: logger, metrics: metrics}
}

// Node runs a reducer. It applies events one at a time under a mutex and
// executes their effects immediately, without blocking.
type Node struct {
	parts     Parts
	limits    Limits
	addresses Addresses
	metrics   *metrics
	log       *logWriter
	backend   *backend
	servers   []*endpoint

	ctx      context.Context // cancelled by Close
	cancel   context.CancelFunc
	exit     chan struct{} // closed by an Exit effect
	stopping atomic.Bool
	stop     chan struct{} // closed by Stop
	stopped  time.Time     // time of the call to Stop; read only after stopRequested is closed

	mu        sync.Mutex
	transport jackdawbridge.Transport    // nil until Start
	requests  jackdawbridge.LinkListener // nil until Start
	effects   jackdawbridge.Effects
	exchanges map[jackdawbridge.CallID]*exchange // requests in progress on all listeners
	lastCall  jackdawbridge.CallID
	timer     *time.Timer          // fires at the next Tick
	armed     jackdawbridge.Millis // time at which timer fires, 0 if it is not set
	exited    bool
}

// New returns a node that has not been started.
func New(parts Parts, limits Limits, addresses Addresses) (*Node, error) {
	if parts.reducer == nil || parts.store == nil || parts.links == nil ||
		parts.dialect == nil || parts.clock == nil || parts.logger == nil || parts.metrics == nil {
		return nil, errors.New("new node: a dependency is nil")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		parts: parts, limits: limits, addresses: addresses,
		metrics: newMetrics(parts.metrics),
		log:     newLogWriter(parts.logger),
		ctx:     ctx, cancel: cancel,
		exit:      make(chan struct{}),
		stop:      make(chan struct{}),
		exchanges: make(map[jackdawbridge.CallID]*exchange),
	}
	n.backend = newBackend(n)
	return n, nil
}

// Start opens the listeners and applies the first Tick. Transport carries the
// messages between nodes, and peerListener accepts the requests that peers
// forward. The node closes both when it ends.
func (n *Node) Start(transport jackdawbridge.Transport, requests jackdawbridge.LinkListener) error {
	n.mu.Lock()
	n.transport, n.requests = transport, requests
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.mu.Unlock()
	if err := n.listen(); err != nil {
		n.Close()
		return errors.Errorf("start node: %w", err)
	}
	go requests.Serve(n.ServeInbound)
	n.tick()
	return nil
}

// Receive applies a message of a peer. Its authentication code must have been
// verified.
func (n *Node) Receive(frame jackdawbridge.Frame) {
	n.apply(jackdawbridge.NewReceived(n.now(), frame))
}

// Stop begins a graceful shutdown and returns. Wait waits for its end.
func (n *Node) Stop() {
	if n.stopping.Swap(true) {
		return
	}
	n.stopped = time.Now()
	close(n.stop)
	n.log.info("node: stop requested, drain begins")
	n.apply(jackdawbridge.NewStopRequested(n.now()))
}

// Wait waits for Stop and then for the end of the shutdown: the reducer has no
// work left, and the listeners have been closed without interrupting a request.
// Requests that are still in progress when the grace period ends are cut off.
func (n *Node) Wait() {
	<-n.stop
	ctx, cancel := context.WithDeadline(n.ctx, n.stopped.Add(n.limits.grace))
	defer cancel()
	select {
	case <-n.exit:
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
	n.exited = true
	if n.timer != nil {
		n.timer.Stop()
	}
	transport, requests := n.transport, n.requests
	n.transport, n.requests = nil, nil
	n.mu.Unlock()
	for _, s := range n.servers {
		if err := s.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			n.log.warn("node: failed to close a listener", "error", err)
		}
	}
	n.backend.close()
	for name, c := range map[string]io.Closer{"transport": transport, "listener of peers": requests, "links": n.parts.links} {
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
	return n.parts.reducer.Status()
}

func (n *Node) now() jackdawbridge.Millis { return n.parts.clock.Now() }

// tick applies a Tick when the timer fires. The timer may fire slightly early by
// the node's clock, so it is marked as not set, and apply sets it again.
func (n *Node) tick() {
	n.mu.Lock()
	n.armed = 0
	n.mu.Unlock()
	n.apply(jackdawbridge.NewTick(n.now()))
}

// apply passes one event to the reducer, executes the effects and sets the timer
// for the next Tick.
func (n *Node) apply(event jackdawbridge.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.exited || n.transport == nil {
		return
	}
	n.effects.Reset()
	n.parts.reducer.Apply(event, &n.effects)
	for _, effect := range n.effects.All() {
		n.execute(effect)
	}
	n.arm()
}

// armTimer sets the timer for the next Tick, unless it already fires at or before
// that time: setting a timer may cost a system call, and every step of a request
// is an event. Ticks are at least 1 ms apart, so that an overdue deadline in the
// reducer cannot make the timer spin.
func (n *Node) arm() {
	now := n.now()
	at := max(n.parts.reducer.Wake(), now+1)
	if n.armed > now && n.armed <= at {
		return
	}
	n.armed = at
	n.timer.Reset(time.Duration(at-now) * time.Millisecond)
}

// execute executes an effect without blocking. n.mu is held.
func (n *Node) execute(effect jackdawbridge.Effect) {
	switch e := effect.(type) {
	case *jackdawbridge.Forward:
		n.decide(e.Call(), decision{kind: decideForward, attempt: e.Attempt(), target: e.Target(), envelope: e.Envelope()})
	case *jackdawbridge.Run:
		n.decide(e.Call(), decision{kind: decideRun, token: e.Token(), budget: e.Budget()})
	case *jackdawbridge.Deliver:
		n.decide(e.Call(), decision{kind: decideDeliver, attempt: e.Attempt(), feedback: e.Feedback()})
	case *jackdawbridge.Refuse:
		n.decide(e.Call(), decision{kind: decideRefuse, refusal: e.Refusal(), feedback: e.Feedback()})
	case *jackdawbridge.Cancel:
		if x, ok := n.exchanges[e.Call()]; ok {
			x.abandon(e.Attempt())
		}
	case *jackdawbridge.Send:
		n.send(e.To(), e.Frame())
	case *jackdawbridge.Load:
		go n.load(e.Name())
	case *jackdawbridge.Watch:
		go n.watch(e.Name(), e.Version())
	case *jackdawbridge.Swap:
		go n.swap(e.Name(), e.Version(), e.Value(), e.Lease())
	case *jackdawbridge.Log:
		n.log.effect(e)
	case *jackdawbridge.Exit:
		close(n.exit)
	}
}

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
func (n *Node) decide(call jackdawbridge.CallID, d decision) {
	x, ok := n.exchanges[call]
	if !ok {
		return
	}
	select {
	case x.decisions <- d:
	default:
		n.log.warn("node: decision dropped and attempt cancelled: queue of the request is full", "call", uint64(call))
		x.abandon(d.attempt)
	}
}

// openExchange registers a new request of one of the listeners.
func (n *Node) open() *exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCall++
	x := newExchange(n.lastCall)
	n.exchanges[x.call] = x
	return x
}

// endExchange removes a request and releases its resources.
func (n *Node) end(x *exchange) {
	n.mu.Lock()
	delete(n.exchanges, x.call)
	n.mu.Unlock()
	x.close()
}
