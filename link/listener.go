package link

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
	"github.com/jackdawbridge/jackdawbridge/pool"
	"github.com/jackdawbridge/jackdawbridge/socket"
)

// Listener accepts the connections of peers and serves their requests.
type Listener struct {
	listener net.Listener
	codec    jackdawbridge.Codec
	sealer   Sealer
	log      *slog.Logger
	refused  gometrics.Counter            // connections that failed the handshake or exceeded a limit
	invalid  gometrics.Counter            // connections closed because of an invalid frame
	aborted  gometrics.Counter            // requests ended because of an invalid frame
	rejected gometrics.Counter            // requests refused before a handler received them
	handle   jackdawbridge.InboundHandler // set by Serve
	workers  *pool.Workers
	ctx      context.Context // cancelled when the listener is closed
	cancel   context.CancelFunc

	mu         sync.Mutex
	conns      map[*serverConn]struct{}       // verified and unverified, at most maxAccepted and maxUnverified
	unverified heap.Heap[*serverConn, uint64] // by the order in which they were accepted, at most maxUnverified
	accepted   uint64                         // number of connections accepted so far
}

var _ jackdawbridge.LinkListener = (*Listener)(nil)

// Listen opens a listener at address. Serve accepts its connections. It registers the
// counters link.refused, link.invalid, link.aborted and link.rejected.
func Listen(address netip.AddrPort, codec jackdawbridge.Codec, sealer Sealer, registry gometrics.Registry, log *slog.Logger) (*Listener, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	l := &Listener{
		listener: listener, codec: codec, sealer: sealer, log: log,
		refused: gometrics.GetOrRegisterCounter("link.refused", registry),
		invalid: gometrics.GetOrRegisterCounter("link.invalid", registry),
		aborted: gometrics.GetOrRegisterCounter("link.aborted", registry), rejected: gometrics.GetOrRegisterCounter("link.rejected", registry),
		conns:   make(map[*serverConn]struct{}),
		workers: pool.NewWorkers(maxIdleWorkers),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Serve accepts connections and calls handle for each of their requests. It returns
// when the listener is closed or fails.
func (l *Listener) Serve(handle jackdawbridge.InboundHandler) {
	l.handle = handle
	l.accept()
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes the listener and all connections. The contexts of requests in
// progress are cancelled.
func (l *Listener) Close() error {
	l.cancel()
	defer l.workers.Close()
	err := l.listener.Close()
	l.mu.Lock()
	conns := make([]*serverConn, 0, len(l.conns))
	for s := range l.conns {
		conns = append(conns, s)
	}
	l.mu.Unlock()
	for _, s := range conns {
		s.fail(errClosed)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Errorf("link: %w", err)
	}
	return nil
}

// retryAccept is the pause after a failure to accept a connection, for which the process may
// lack descriptors.
const retryAccept = 50 * time.Millisecond

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			l.log.Error("link: cannot accept connections, trying again", "error", err)
			select {
			case <-time.After(retryAccept):
				continue
			case <-l.ctx.Done():
				return
			}
		}
		s := newServerConn(l, socket.Wrap(conn))
		if evicted := l.register(s); evicted != nil {
			l.refused.Inc(1)
			_ = evicted.conn.Close()
		}
		go s.serve()
	}
}

// register adds a connection that is not yet verified. If there are too many of them, it
// removes the one that was accepted first and returns it.
func (l *Listener) register(s *serverConn) *serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	l.conns[s] = struct{}{}
	l.unverified.Set(s, l.accepted)
	if l.unverified.Len() <= maxUnverified {
		return nil
	}
	oldest, _, _ := l.unverified.Min()
	l.unverified.Remove(oldest)
	delete(l.conns, oldest)
	return oldest
}

// verify marks that a connection has completed the handshake. It reports false if the
// connection was evicted or if maxAccepted others are verified.
func (l *Listener) verify(s *serverConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unverified.Remove(s) && len(l.conns)-l.unverified.Len() <= maxAccepted
}

// removeConn removes a connection that has ended.
func (l *Listener) removeConn(s *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, s)
	l.unverified.Remove(s)
}
