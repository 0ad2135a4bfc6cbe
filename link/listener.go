package link

import (
	"bufio"
	"context"
	"io"
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

// serverConn is the accepting side of a connection. It receives requests and sends
// their answers.
type serverConn struct {
	listener *Listener
	conn     net.Conn
	reader   *bufio.Reader
	out      *writeQueue
	ctx      context.Context // cancelled when the connection is closed
	cancel   context.CancelFunc

	mu       sync.Mutex
	requests map[uint32]*inboundRequest // that have ended on neither side, at most maxHandlers; nil once the connection is closed
	handlers int                        // running, at most maxHandlers
	strays   strays
}

func newServerConn(l *Listener, conn net.Conn) *serverConn {
	s := &serverConn{
		listener: l, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), out: newWriteQueue(conn),
		requests: make(map[uint32]*inboundRequest),
	}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	return s
}

// serve performs the handshake and handles frames until the connection ends.
func (s *serverConn) serve() {
	defer s.listener.removeConn(s)
	_ = s.conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only if the connection is closed
	if err := serverHandshake(s.conn, s.reader, s.listener.sealer); err != nil {
		s.listener.refused.Inc(1)
		s.listener.log.Warn("link: connection refused: handshake failed", "from", s.conn.RemoteAddr().String(), "error", err)
		s.fail(err)
		return
	}
	if !s.listener.verify(s) {
		s.listener.refused.Inc(1)
		s.fail(errTooMany)
		return
	}
	_ = s.conn.SetDeadline(time.Time{})
	go func() { s.fail(s.out.run()) }()
	err := s.read()
	if errors.Is(err, errProtocol) {
		s.listener.invalid.Inc(1)
		s.listener.log.Warn("link: connection closed: invalid frame received", "from", s.conn.RemoteAddr().String(), "error", err)
	}
	s.fail(err)
}

// fail closes the connection and ends all requests on it with err.
func (s *serverConn) fail(err error) {
	s.mu.Lock()
	requests := s.requests
	s.requests = nil
	s.mu.Unlock()
	s.cancel()
	s.out.close(err)
	_ = s.conn.Close()
	for _, r := range requests {
		r.flow.fail(err)
	}
}

// read handles incoming frames until the connection fails.
func (s *serverConn) read() error {
	for {
		h, err := readHeader(s.reader)
		if err != nil {
			return err
		}
		r := s.request(h.stream)
		if r == nil && !h.needsNoRequest() {
			if err := s.drop(h); err != nil {
				return err
			}
			continue
		}
		payload, err := readPayload(s.reader, h)
		if err != nil {
			return err
		}
		if err := s.handleFrame(h, payload, r); err != nil {
			return err
		}
	}
}

// request returns a request in progress, or nil if there is none with this stream number.
func (s *serverConn) request(stream uint32) *inboundRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[stream]
}

// drop skips a frame for a request that has ended, which the peer may have sent before it
// learned of the end.
func (s *serverConn) drop(h frameHeader) error {
	s.mu.Lock()
	err := s.strays.add(h)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return discardPayload(s.reader, h)
}

// handleFrame processes one frame. R is the request in progress with its stream number, nil
// if there is none. An invalid frame ends r; errors are those of the connection.
func (s *serverConn) handleFrame(h frameHeader, payload []byte, r *inboundRequest) error {
	switch {
	case h.kind == kindPing:
		_, err := s.out.enqueue(kindPong, 0, 0, nil)
		return err
	case h.kind == kindWithdraw:
		s.withdraw()
	case r == nil:
		return s.open(h, payload)
	default:
		if err := r.handleFrame(h, payload); err != nil {
			s.abort(r, err)
		}
	}
	return nil
}

// abort ends one request because of an invalid frame. Its handler has begun, so that it may
// have run.
func (s *serverConn) abort(r *inboundRequest, cause error) {
	if !s.remove(r) {
		return // has ended meanwhile
	}
	r.cancel()
	r.flow.fail(cause)
	_, _ = s.out.enqueue(kindReset, 0, r.id, nil) // fails only if the connection is closed
	s.listener.aborted.Inc(1)
	s.listener.log.Warn("link: request of a peer ended: invalid frame received", "request", string(r.forwardedRequest.Envelope().ID()),
		"from", s.conn.RemoteAddr().String(), "stream", r.id, "error", cause)
}

// remove removes a request that has ended and reports whether it was in progress.
func (s *serverConn) remove(r *inboundRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[r.id] != r {
		return false
	}
	delete(s.requests, r.id)
	s.strays.endRequest(r.flow)
	return true
}

// withdraw reports to the handlers of all requests on the connection that the peer
// withdraws them.
func (s *serverConn) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		r.withdraw()
	}
}

// open registers a new request and starts its handler, or refuses the request.
func (s *serverConn) open(h frameHeader, payload []byte) error {
	forwardedRequest, err := s.listener.codec.DecodeForwardedRequest(payload)
	if err != nil {
		return s.reject(h.stream, jackdawbridge.BadInput, forwardedRequest, err)
	}
	r := &inboundRequest{serverConn: s, id: h.stream, forwardedRequest: forwardedRequest, empty: h.endsBody(), withdrawn: make(chan struct{})}
	r.withdraw = sync.OnceFunc(func() { close(r.withdrawn) })
	r.flow = newFlow(window, h.flags&flagAwaitCredit == 0)
	if r.empty {
		r.flow.receive(nil, true)
	}
	r.ctx, r.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	closed, full := s.requests == nil, s.handlers >= maxHandlers
	if !closed && !full {
		s.requests[r.id] = r
		s.handlers++
	}
	s.mu.Unlock()
	switch {
	case closed:
		r.cancel()
		return errClosed
	case full:
		r.cancel()
		return s.reject(h.stream, jackdawbridge.Overloaded, forwardedRequest, errors.Errorf("%w: more than %d requests in progress", errProtocol, maxHandlers))
	}
	s.listener.workers.Go(r.serve)
	return nil
}

// reject refuses a request that no handler has received, so that it has certainly not run
// and may be sent elsewhere. The head is zero if it cannot be decoded.
func (s *serverConn) reject(stream uint32, reason jackdawbridge.Reason, head jackdawbridge.ForwardedRequest, cause error) error {
	envelope := head.Envelope()
	refused := jackdawbridge.RefusedReply(jackdawbridge.NotRunRefusal(reason), jackdawbridge.NewFeedback(0, envelope.RetryAllowance()))
	payload, err := s.listener.codec.EncodeReply(refused)
	if err != nil {
		return errors.Errorf("link: %w", err)
	}
	if _, err := s.out.enqueue(kindReply, flagEnd, stream, payload); err != nil {
		return err
	}
	s.listener.rejected.Inc(1)
	s.listener.log.Warn("link: request of a peer refused", "request", string(envelope.ID()), "from", s.conn.RemoteAddr().String(),
		"stream", stream, "reason", reason.String(), "error", cause)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strays.endRequest(newFlow(0, true)) // the peer may send a buffered body
	return nil
}

// inboundRequest is a request at the side that serves it.
type inboundRequest struct {
	serverConn       *serverConn
	id               uint32
	forwardedRequest jackdawbridge.ForwardedRequest
	empty            bool // the request has no body
	flow             *flow
	ctx              context.Context // cancelled when the request or its connection ends
	cancel           context.CancelFunc
	withdrawn        chan struct{} // closed by withdraw
	withdraw         func()
	complete         bool // the whole answer has been queued
}

var _ jackdawbridge.InboundRequest = (*inboundRequest)(nil)

// serve calls the handler. If the answer is incomplete when the handler returns, or the
// body has not arrived in full, the request is reset.
func (r *inboundRequest) serve() {
	defer r.end()
	r.serverConn.listener.handle(r.ctx, r)
}

// end releases the request after its handler has returned.
func (r *inboundRequest) end() {
	r.cancel()
	reset := !r.complete || r.flow.awaited()
	s := r.serverConn
	inProgress := s.remove(r)
	r.flow.fail(errClosed)
	s.mu.Lock()
	s.handlers--
	s.mu.Unlock()
	if inProgress && reset {
		_, _ = s.out.enqueue(kindReset, 0, r.id, nil) // fails only if the connection is closed
	}
}

// handleFrame processes one frame of the request. It returns an error for a frame that the
// request must not have.
func (r *inboundRequest) handleFrame(h frameHeader, payload []byte) error {
	switch h.kind {
	case kindRequest:
		return errors.Errorf("%w: another request has the same stream number", errProtocol)
	case kindData:
		if err := r.flow.check(len(payload)); err != nil {
			return err
		}
		r.flow.receive(payload, h.endsBody())
	case kindCredit:
		n, err := readCredit(payload)
		if err != nil {
			return err
		}
		r.flow.grant(n)
	case kindReset:
		r.serverConn.remove(r)
		r.cancel()
		r.flow.fail(errReset)
	default:
		return unexpectedFrame(h)
	}
	return nil
}

// ForwardedRequest returns the head of the request.
func (r *inboundRequest) ForwardedRequest() jackdawbridge.ForwardedRequest { return r.forwardedRequest }

// Cancel cancels the context of the request.
func (r *inboundRequest) Cancel() { r.cancel() }

// Withdrawn returns a channel that is closed when the peer withdraws the request.
func (r *inboundRequest) Withdrawn() <-chan struct{} { return r.withdrawn }

// Body returns the body of the request, or nil if it has none.
func (r *inboundRequest) Body() io.Reader {
	if r.empty {
		return nil
	}
	return requestBody{r}
}

// Reply sends the head of the answer and the first part of its body, which is all
// of it if last is set.
func (r *inboundRequest) Reply(reply jackdawbridge.Reply, start []byte, last bool) error {
	head, err := r.serverConn.listener.codec.EncodeReply(reply)
	if err != nil {
		return errors.Errorf("link: %w", err)
	}
	flags := uint8(0)
	if last && len(start) == 0 {
		flags = flagEnd
	}
	if _, err := r.serverConn.out.enqueue(kindReply, flags, r.id, head); err != nil {
		return err
	}
	if flags == flagEnd {
		r.complete = true
		return nil
	}
	return r.Write(start, last)
}

// Write sends a further part of the answer's body, waiting for credit from the peer.
// The body ends with the part for which last is set.
func (r *inboundRequest) Write(part []byte, last bool) error {
	for {
		n, err := r.flow.reserve(min(len(part), MaxChunk))
		if err == nil {
			err = r.serverConn.out.awaitSpace(r.ctx.Done())
		}
		if err != nil {
			return err
		}
		flags := uint8(0)
		if last && n == len(part) {
			flags = flagEnd
		}
		if n > 0 || flags == flagEnd {
			if _, err := r.serverConn.out.enqueue(kindData, flags, r.id, part[:n]); err != nil {
				return err
			}
		}
		if part = part[n:]; len(part) == 0 {
			r.complete = last
			return nil
		}
	}
}

// requestBody reads the body of a request.
type requestBody struct{ r *inboundRequest }

// Read reads from the body and grants the peer credit for more. The first Read
// requests a body that the peer sends only after a credit frame.
func (b requestBody) Read(p []byte) (int, error) {
	for {
		n, credit, err := b.r.flow.readBody(p)
		if credit > 0 {
			if _, err := b.r.serverConn.out.enqueue(kindCredit, 0, b.r.id, creditPayload(credit)); err != nil {
				return n, err
			}
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
