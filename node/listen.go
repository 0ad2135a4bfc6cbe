package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/socket"
)

// Addresses are where a Node listens.
type Addresses struct {
	callers netip.AddrPort
	backend netip.AddrPort // for the instance only
	admin   netip.AddrPort // for the instance only
	metrics netip.AddrPort // for collectors, zero if admin serves them only
}

// NewAddresses returns the addresses of the listeners. The backend server and
// the operators reach theirs over loopback, or at the IP address of the instance
// where nobody else can.
func NewAddresses(instance netip.Addr, callers, backend, admin netip.AddrPort) (Addresses, error) {
	for name, a := range map[string]netip.AddrPort{"backend": backend, "admin": admin} {
		if !a.Addr().IsLoopback() && a.Addr() != instance {
			return Addresses{}, errors.Errorf("%s listener at %s: want a loopback address or %s", name, a, instance)
		}
	}
	return Addresses{callers: callers, backend: backend, admin: admin}, nil
}

// WithMetrics returns a with a listener of its own for the metrics.
func (a Addresses) WithMetrics(metrics netip.AddrPort) Addresses {
	a.metrics = metrics
	return a
}

// settleTime is the time for handshakes that have begun to complete and for
// their connections to be accepted. It is above the time of a round trip
// between regions.
const settleTime = 250 * time.Millisecond

// listen opens the listeners.
func (n *Node) listen() error {
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", n.addresses.callers, http.HandlerFunc(n.serveCaller)},
		{"backend", n.addresses.backend, http.HandlerFunc(n.serveBackend)},
		{"admin", n.addresses.admin, n.adminHandler()},
		{"metrics", n.addresses.metrics, n.metricsHandler()},
	} {
		if !l.address.IsValid() {
			continue
		}
		if err := n.serve(l.name, l.address, l.handler); err != nil {
			return err
		}
	}
	return nil
}

// serveBackend serves the own backend server: its announcements and its calls.
func (n *Node) serveBackend(w http.ResponseWriter, r *http.Request) {
	if n.parts.dialect.Announces(r) {
		n.backend.serveAnnouncement(w, r)
		return
	}
	n.serveChild(w, r)
}

func (n *Node) serve(name string, address netip.AddrPort, handler http.Handler) error {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // such a socket takes no filter, see stopHandshakes
	config.KeepAlive = -1         // a dead connection ends by the idle time or the end of its request
	listener, err := config.Listen(n.ctx, "tcp", address.String())
	if err != nil {
		return errors.Errorf("listen for %s: %w", name, err)
	}
	bounded := &boundedListener{Listener: listener, limit: int64(n.limits.conns), refused: func() {
		n.metrics.count("connections_refused_" + name)
	}}
	connections := newConnections()
	server := &http.Server{
		Handler:           n.boundBody(handler),
		ConnState:         connections.changeTo,
		ReadHeaderTimeout: n.limits.headerTime,
		IdleTimeout:       n.limits.idle,
		MaxHeaderBytes:    n.limits.headerBytes,
		ErrorLog:          slog.NewLogLogger(n.parts.logger.Handler(), slog.LevelDebug),
	}
	e := &endpoint{server: server, listener: listener, ended: make(chan struct{}), connections: connections}
	n.servers = append(n.servers, e)
	go func() {
		defer close(e.ended)
		err := server.Serve(bounded)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.warn("node: listener ended", "listener", name, "error", err)
		}
	}()
	return nil
}

// endpoint is a listener with its server.
type endpoint struct {
	server      *http.Server
	listener    net.Listener
	ended       chan struct{} // closed when no connection is accepted any more
	connections *connections
}

// connections knows which connections of a server have a request or are new.
type connections struct {
	changed chan struct{} // has a value after a connection became free

	mu   sync.Mutex
	busy map[net.Conn]bool
}

func newConnections() *connections {
	return &connections{changed: make(chan struct{}, 1), busy: make(map[net.Conn]bool)}
}

// changeTo takes note of the state of a connection.
func (c *connections) changeTo(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	if state == http.StateNew || state == http.StateActive {
		c.busy[conn] = true
		c.mu.Unlock()
		return
	}
	delete(c.busy, conn)
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// await waits until no connection has a request and returns how many have one
// when the context ends.
func (c *connections) await(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.busy)
		c.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return left
		}
	}
}

// boundBody bounds the wait for a body that a handler does not read: the server
// reads the rest of it after the answer. A handler that reads sets its own
// deadlines.
func (n *Node) boundBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(n.limits.bodyGrace))
		}
		handler.ServeHTTP(w, r)
	})
}

// shutdown ends the listeners without cutting a request, unless the context ends
// before. It lingers first: callers that still have a connection get an answer
// that closes it.
//
// Shutdown of http.Server is not used: it drops a request that it reads after
// the shutdown has begun, also on a connection that was accepted before.
func (n *Node) shutdown(ctx context.Context) {
	n.pause(time.Until(n.stopped.Add(n.limits.linger)))
	for _, s := range n.servers {
		if err := stopHandshakes(s.listener); err != nil {
			n.log.warn("node: connections may be cut at the end", "error", err)
		}
	}
	n.pause(settleTime)
	for _, s := range n.servers {
		if err := s.listener.Close(); err != nil {
			n.log.warn("node: listener did not close", "error", err)
		}
		<-s.ended
	}
	for _, s := range n.servers {
		if left := s.connections.await(ctx); left > 0 {
			n.log.warn("node: requests cut at the end", "count", left)
		}
	}
	n.log.info("node: stopped")
}

// pause waits and reports whether the node still runs.
func (n *Node) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// boundedListener closes connections above a limit at once, so that they fail
// early and not by a timeout.
type boundedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused func()
}

// Accept returns the next connection that is within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &boundedConn{Conn: socket.Wrap(conn), done: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.refused()
		_ = conn.Close()
	}
}

type boundedConn struct {
	net.Conn
	once sync.Once
	done func()
}

// Close ends the connection and makes room for another.
func (c *boundedConn) Close() error {
	c.once.Do(c.done)
	return c.Conn.Close()
}
