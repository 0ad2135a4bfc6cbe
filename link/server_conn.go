package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

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
