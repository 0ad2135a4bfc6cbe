// Package node is the runtime around a reducer. It owns the sockets and the
// timers, turns inputs into events and executes effects.
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

// Parts are what a Node works with.
type Parts struct {
	reducer jackdawbridge.Inspector
	store   jackdawbridge.Store
	links   jackdawbridge.LinkClient
	dialect jackdawbridge.Dialect
	clock   jackdawbridge.Clock
	logger  *slog.Logger
	metrics gometrics.Registry
}

// NewParts returns the parts of a node.
func NewParts(
	reducer jackdawbridge.Inspector, store jackdawbridge.Store, links jackdawbridge.LinkClient,
	dialect jackdawbridge.Dialect, clock jackdawbridge.Clock, logger *slog.Logger, metrics gometrics.Registry,
) Parts {
	return Parts{reducer: reducer, store: store, links: links, dialect: dialect, clock: clock, logger: logger, metrics: metrics}
}

// Node runs a reducer. Events are applied one at a time under a mutex, and
// effects are executed at once without waiting.
type Node struct {
	parts     Parts
	limits    Limits
	addresses Addresses
	metrics   *metrics
	log       *logWriter
	backend   *backend
	servers   []*endpoint

	ctx      context.Context // ends with the node
	cancel   context.CancelFunc
	exit     chan struct{} // closed by an Exit effect
	stopping atomic.Bool
	stop     chan struct{} // closed by Stop
	stopped  time.Time     // of Stop, read after stop is closed

	mu        sync.Mutex
	transport jackdawbridge.Transport    // nil until Start
	requests  jackdawbridge.LinkListener // nil until Start
	effects   jackdawbridge.Effects
	exchanges map[jackdawbridge.CallID]*exchange // requests in progress at any listener
	lastCall  jackdawbridge.CallID
	timer     *time.Timer          // for the next Tick
	armed     jackdawbridge.Millis // when it fires
	exited    bool
}

// New returns a node that has not started.
func New(parts Parts, limits Limits, addresses Addresses) (*Node, error) {
	if parts.reducer == nil || parts.store == nil || parts.links == nil ||
		parts.dialect == nil || parts.clock == nil || parts.logger == nil || parts.metrics == nil {
		return nil, errors.New("node lacks a part")
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

// Start opens the listeners and takes the first step. The node closes the given
// transport for messages and listener for the requests of peers at its end.
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

// Receive takes a message of a peer whose seal has been verified.
func (n *Node) Receive(frame jackdawbridge.Frame) {
	n.apply(jackdawbridge.NewReceived(n.now(), frame))
}

// Stop starts a graceful stop. Wait returns when it is done.
func (n *Node) Stop() {
	if n.stopping.Swap(true) {
		return
	}
	n.stopped = time.Now()
	close(n.stop)
	n.log.info("node: stops")
	n.apply(jackdawbridge.NewStopRequested(n.now()))
}

// Wait returns when the node has stopped: nothing is left to do, and the
// listeners have ended without cutting a request. What is not done when the
// grace period ends is cut.
func (n *Node) Wait() {
	<-n.stop
	ctx, cancel := context.WithDeadline(n.ctx, n.stopped.Add(n.limits.grace))
	defer cancel()
	select {
	case <-n.exit:
	case <-ctx.Done():
		n.log.warn("node: work is left at the end of the grace period")
	}
	n.shutdown(ctx)
	n.Close()
}

// Close ends the node at once.
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
			n.log.warn("node: listener did not close", "error", err)
		}
	}
	n.backend.close()
	for name, c := range map[string]io.Closer{"transport": transport, "listener of peers": requests, "links": n.parts.links} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil {
			n.log.warn("node: not closed", "name", name, "error", err)
		}
	}
	n.log.close()
}

// Status returns a summary of the node.
func (n *Node) Status() jackdawbridge.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.parts.reducer.Status()
}

func (n *Node) now() jackdawbridge.Millis { return n.parts.clock.Now() }

// tick takes the step that the timer is set for. The timer may fire a little
// early by the node's clock, so it counts as not set from here on.
func (n *Node) tick() {
	n.mu.Lock()
	n.armed = 0
	n.mu.Unlock()
	n.apply(jackdawbridge.NewTick(n.now()))
}

// apply feeds one event to the reducer, executes the effects and arms the timer.
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

// arm sets the timer for the next tick, unless it fires before that anyway: to
// set a timer may cost a system call, and there is an event for each step of a
// request. At least a millisecond passes between ticks, so that a part with an
// overdue deadline cannot make the timer spin.
func (n *Node) arm() {
	now := n.now()
	at := max(n.parts.reducer.NextTick(), now+1)
	if n.armed > now && n.armed <= at {
		return
	}
	n.armed = at
	n.timer.Reset(time.Duration(at-now) * time.Millisecond)
}

// execute does what an effect says, without waiting.
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
		n.log.warn("node: message not sent", "to", to.Node().String(), "error", err)
		return
	}
	n.metrics.count("messages_sent")
}

// decide hands a decision to the goroutine that serves a request. A request
// that has ended in the meantime needs none.
func (n *Node) decide(call jackdawbridge.CallID, d decision) {
	x, ok := n.exchanges[call]
	if !ok {
		return
	}
	select {
	case x.decisions <- d:
	default:
		n.log.warn("node: decision lost", "call", uint64(call))
		x.abandon(d.attempt)
	}
}

// open registers a request that a listener serves.
func (n *Node) open() *exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastCall++
	x := newExchange(n.lastCall)
	n.exchanges[x.call] = x
	return x
}

// end forgets a request and frees what it holds.
func (n *Node) end(x *exchange) {
	n.mu.Lock()
	delete(n.exchanges, x.call)
	n.mu.Unlock()
	x.close()
}
