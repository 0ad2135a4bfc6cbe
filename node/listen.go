package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/heap"
)

// Addresses holds the addresses that a Node listens on.
type Addresses struct {
	callers netip.AddrPort
	backend netip.AddrPort // reachable from the instance only
	admin   netip.AddrPort // reachable from the instance only
	metrics netip.AddrPort // for metrics collectors; zero if only the admin listener serves them
}

// NewAddresses returns the addresses of the listeners. The listeners for the
// backend server and for operators must be on a loopback address or on the IP
// address of the instance. In the second case, the network must not admit
// connections from other machines to them.
func NewAddresses(instance netip.Addr, callers, backend, admin netip.AddrPort) (Addresses, error) {
	for name, a := range map[string]netip.AddrPort{"backend": backend, "admin": admin} {
		if !a.Addr().IsLoopback() && a.Addr() != instance {
			return Addresses{}, errors.Errorf("%s listener at %s: want a loopback address or %s", name, a, instance)
		}
	}
	return Addresses{callers: callers, backend: backend, admin: admin}, nil
}

// WithMetrics returns a with a separate listener for the metrics.
func (a Addresses) WithMetrics(metrics netip.AddrPort) Addresses {
	a.metrics = metrics
	return a
}

// handshakeWait is how long a stopping node waits for pending TCP handshakes to
// complete and for their connections to be accepted. It is longer than a round
// trip between regions.
const handshakeWait = 250 * time.Millisecond

// openListeners opens all listeners whose address is set.
func (n *Node) openListeners() error {
	for _, l := range []struct {
		name    string
		share   int // the listener may use one in share of the process's descriptors
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", 2, n.addresses.callers, http.HandlerFunc(n.serveCaller)},
		{"backend", 8, n.addresses.backend, http.HandlerFunc(n.serveBackend)},
		{"admin", 16, n.addresses.admin, n.adminHandler()},
		{"metrics", 16, n.addresses.metrics, n.metricsHandler()},
	} {
		if !l.address.IsValid() {
			continue
		}
		if err := n.startListener(l.name, l.address, l.handler, n.limits.connsOf(l.share)); err != nil {
			return err
		}
	}
	return nil
}

// serveBackend serves the local backend server: its announcements and its calls.
func (n *Node) serveBackend(w http.ResponseWriter, r *http.Request) {
	if n.deps.dialect.IsAnnouncement(r) {
		n.backend.serveAnnouncement(w, r)
		return
	}
	n.serveChildCall(w, r)
}

// startListener opens a listener and serves its connections in the background.
func (n *Node) startListener(name string, address netip.AddrPort, handler http.Handler, maxConns int) error {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // stopHandshakes cannot attach its filter to an MPTCP socket
	config.KeepAlive = -1         // a dead connection is closed by the idle timeout or at the end of its request
	listener, err := config.Listen(n.ctx, "tcp", address.String())
	if err != nil {
		return errors.Errorf("listen for %s: %w", name, err)
	}
	connections := newConnTracker()
	bounded := &boundedListener{
		Listener: listener, limit: int64(maxConns), reading: n.reading, silent: connections.longestSilent,
		onRefused: func() { n.metrics.count("connections_refused_" + name) },
		onEvicted: func() { n.metrics.count("connections_evicted_" + name) },
	}
	server := &http.Server{
		Handler:   n.limitBodyWait(n.trackRequest(handler)),
		ConnState: connections.setState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ReadHeaderTimeout: n.limits.headerTimeout,
		IdleTimeout:       n.limits.idleTimeout,
		MaxHeaderBytes:    n.limits.maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.deps.logger.Handler(), slog.LevelDebug),
	}
	e := &endpoint{server: server, listener: listener, acceptEnded: make(chan struct{}), connections: connections}
	n.endpoints = append(n.endpoints, e)
	go func() {
		defer close(e.acceptEnded)
		err := server.Serve(bounded)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.warn("node: listener failed, no more connections are accepted", "listener", name, "error", err)
		}
	}()
	return nil
}

// endpoint is a listener with its server.
type endpoint struct {
	server      *http.Server
	listener    net.Listener
	acceptEnded chan struct{} // closed when the server accepts no more connections
	connections *connTracker
}

// connTracker tracks which connections of a server are busy: those that have a
// request in progress and new ones, whose first request may still arrive.
type connTracker struct {
	becameIdle chan struct{} // receives a value when a connection is no longer busy

	mu     sync.Mutex
	busy   map[net.Conn]bool
	silent heap.Heap[net.Conn, uint64] // connections without a whole head, by the order in which they became so
	turn   uint64                      // number of connections that became silent so far
}

// longestSilent returns the connection that has been longest without the whole head of a
// request, or nil if all have one.
func (c *connTracker) longestSilent() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, _, _ := c.silent.Min()
	c.silent.Remove(conn)
	return conn
}

func newConnTracker() *connTracker {
	return &connTracker{becameIdle: make(chan struct{}, 1), busy: make(map[net.Conn]bool)}
}

// setState records the new state of a connection. It is the ConnState hook of
// the server.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	if bounded, ok := conn.(*boundedConn); ok {
		switch state {
		case http.StateIdle:
			bounded.beginHead()
		case http.StateActive: // before the server reads ahead of the handler
			bounded.pastHead.Store(true)
		}
	}
	c.mu.Lock()
	if state == http.StateNew || state == http.StateIdle {
		c.turn++
		c.silent.Set(conn, c.turn)
	} else {
		c.silent.Remove(conn)
	}
	if state == http.StateNew || state == http.StateActive {
		c.busy[conn] = true
		c.mu.Unlock()
		return
	}
	delete(c.busy, conn)
	c.mu.Unlock()
	select {
	case c.becameIdle <- struct{}{}:
	default:
	}
}

// awaitIdle waits until no connection is busy. It returns the number of busy
// connections, which is above 0 only if the context ended first.
func (c *connTracker) awaitIdle(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.busy)
		c.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-c.becameIdle:
		case <-ctx.Done():
			return left
		}
	}
}

// limitBodyWait sets a read deadline for the body of a request. Before or after the
// answer, the server reads what the handler has left unread of the body, and would
// otherwise wait for it without a limit. A handler that reads the body sets its
// own deadlines.
func (n *Node) limitBodyWait(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(n.limits.bodyGrace))
		}
		handler.ServeHTTP(w, r)
	})
}

// shutdown closes the listeners without interrupting a request, unless the
// context ends first. It begins with a wait for the rest of the linger time, in
// which each answer on an open connection closes that connection.
//
// It does not use the Shutdown method of http.Server, which drops a request that
// the server reads after the shutdown has begun, even on a connection that was
// accepted earlier.
func (n *Node) shutdown(ctx context.Context) {
	n.sleep(time.Until(n.stopRequestedAt.Add(n.limits.linger)))
	for _, e := range n.endpoints {
		if err := stopHandshakes(e.listener); err != nil {
			n.log.warn("node: new connections may be reset: failed to stop handshakes of a listener", "error", err)
		}
	}
	n.sleep(handshakeWait)
	for _, e := range n.endpoints {
		if err := e.listener.Close(); err != nil {
			n.log.warn("node: failed to close a listener", "error", err)
		}
		<-e.acceptEnded
	}
	for _, e := range n.endpoints {
		if left := e.connections.awaitIdle(ctx); left > 0 {
			n.log.warn("node: busy connections cut off at the end of the grace period", "count", left)
		}
	}
	n.log.info("node: listeners closed, node exits")
}

// sleep waits for the given duration. If the node is closed first, it returns false
// immediately.
func (n *Node) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
