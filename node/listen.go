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
)

// Addresses are where a Node listens.
type Addresses struct {
	callers netip.AddrPort
	peers   netip.AddrPort
	backend netip.AddrPort // loopback
	admin   netip.AddrPort // loopback
}

// NewAddresses returns the addresses of the listeners. The backend server and
// the operators reach theirs over loopback only.
func NewAddresses(callers, peers, backend, admin netip.AddrPort) (Addresses, error) {
	if !backend.Addr().IsLoopback() {
		return Addresses{}, errors.Errorf("backend listener at %s: want a loopback address", backend)
	}
	if !admin.Addr().IsLoopback() {
		return Addresses{}, errors.Errorf("admin listener at %s: want a loopback address", admin)
	}
	return Addresses{callers: callers, peers: peers, backend: backend, admin: admin}, nil
}

// shutdownLimit bounds the wait for requests in progress after the reducer has
// found nothing left to do. Only their last bytes can be missing by then.
const shutdownLimit = 30 * time.Second

// listen opens the listeners.
func (n *Node) listen() error {
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", n.addresses.callers, http.HandlerFunc(n.serveCaller)},
		{"peers", n.addresses.peers, http.HandlerFunc(n.serveForward)},
		{"backend", n.addresses.backend, exact(announcePath, n.backend.serveAnnouncement, n.serveChild)},
		{"admin", n.addresses.admin, n.adminHandler()},
	} {
		if err := n.serve(l.name, l.address, l.handler); err != nil {
			return err
		}
	}
	return nil
}

// exact returns a handler with one path of its own. A ServeMux would redirect
// paths that are not clean, which are refused instead.
func exact(path string, own, other http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			own(w, r)
			return
		}
		other(w, r)
	})
}

func (n *Node) serve(name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Errorf("listen for %s: %w", name, err)
	}
	bounded := &boundedListener{Listener: listener, limit: int64(n.limits.conns), refused: func() {
		n.metrics.count("connections_refused_" + name)
	}}
	server := &http.Server{
		Handler:           n.boundBody(handler),
		ReadHeaderTimeout: n.limits.headerTime,
		IdleTimeout:       n.limits.idle,
		MaxHeaderBytes:    n.limits.headerBytes,
		ErrorLog:          slog.NewLogLogger(n.parts.logger.Handler(), slog.LevelDebug),
	}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			n.log.warn("node: listener ended", "listener", name, "error", err)
		}
	}()
	return nil
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

// shutdown ends the listeners without cutting a request. It lingers first:
// callers that still have a connection get an answer that closes it.
func (n *Node) shutdown() {
	n.pause(n.limits.linger)
	ctx, cancel := context.WithTimeout(n.ctx, shutdownLimit)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range n.servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				n.log.warn("node: listener cut requests at its end", "error", err)
			}
		})
	}
	group.Wait()
	n.log.info("node: stopped")
}

// pause waits and reports whether the node still runs.
func (n *Node) pause(span time.Duration) bool {
	timer := time.NewTimer(span)
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
			return &boundedConn{Conn: conn, done: func() { l.open.Add(-1) }}, nil
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
