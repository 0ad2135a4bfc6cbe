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
	"github.com/jackdawbridge/jackdawbridge/pool"
	"github.com/jackdawbridge/jackdawbridge/socket"
)

// Listener takes the requests of peers.
type Listener struct {
	listener net.Listener
	codec    jackdawbridge.Codec
	sealer   Sealer
	log      *slog.Logger
	refused  gometrics.Counter            // connections without a valid greeting, and above the bound
	invalid  gometrics.Counter            // connections that ended by an invalid frame
	handle   jackdawbridge.InboundHandler // set by Serve
	workers  *pool.Workers
	ctx      context.Context // ends with the listener
	cancel   context.CancelFunc

	mu       sync.Mutex
	sessions map[*session]struct{} // at most maxSessions
}

var _ jackdawbridge.LinkListener = (*Listener)(nil)

// Listen opens a listener. Its counters are link.refused and link.invalid.
func Listen(address netip.AddrPort, codec jackdawbridge.Codec, sealer Sealer, registry gometrics.Registry, log *slog.Logger) (*Listener, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	l := &Listener{
		listener: listener, codec: codec, sealer: sealer, log: log,
		refused:  gometrics.GetOrRegisterCounter("link.refused", registry),
		invalid:  gometrics.GetOrRegisterCounter("link.invalid", registry),
		sessions: make(map[*session]struct{}),
		workers:  pool.NewWorkers(maxIdleWorkers),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Serve accepts connections and hands their requests to a handler.
func (l *Listener) Serve(handle jackdawbridge.InboundHandler) {
	l.handle = handle
	l.accept()
}

// Address returns the address of the listener.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes the listener and ends all connections. Requests in progress are
// broken off.
func (l *Listener) Close() error {
	l.cancel()
	defer l.workers.Close()
	err := l.listener.Close()
	l.mu.Lock()
	sessions := make([]*session, 0, len(l.sessions))
	for s := range l.sessions {
		sessions = append(sessions, s)
	}
	l.mu.Unlock()
	for _, s := range sessions {
		s.fail(errClosed)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Errorf("link: %w", err)
	}
	return nil
}

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() == nil {
				l.log.Error("link: listener ended", "error", err)
			}
			return
		}
		s := newSession(l, socket.Wrap(conn))
		if !l.admit(s) {
			l.refused.Inc(1)
			_ = conn.Close()
			continue
		}
		go s.serve()
	}
}

// admit keeps a session if there is room.
func (l *Listener) admit(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= maxSessions {
		return false
	}
	l.sessions[s] = struct{}{}
	return true
}

func (l *Listener) drop(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// session is a connection at the side that accepted it.
type session struct {
	listener *Listener
	conn     net.Conn
	reader   *bufio.Reader
	out      *outbox
	ctx      context.Context // ends with the session
	cancel   context.CancelFunc

	mu       sync.Mutex
	requests map[uint32]*inbound // in progress, at most maxStreams; nil after the end
}

func newSession(l *Listener, conn net.Conn) *session {
	s := &session{
		listener: l, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), out: newOutbox(conn),
		requests: make(map[uint32]*inbound),
	}
	s.ctx, s.cancel = context.WithCancel(l.ctx)
	return s
}

// serve greets the other side and takes its frames until the connection ends.
func (s *session) serve() {
	defer s.listener.drop(s)
	_ = s.conn.SetDeadline(time.Now().Add(greetTimeout)) // fails when the connection has ended
	if err := greetAsListener(s.conn, s.reader, s.listener.sealer); err != nil {
		s.listener.refused.Inc(1)
		s.listener.log.Warn("link: connection refused", "from", s.conn.RemoteAddr().String(), "error", err)
		s.fail(err)
		return
	}
	_ = s.conn.SetDeadline(time.Time{})
	go func() { s.fail(s.out.run()) }()
	err := s.read()
	if errors.Is(err, errProtocol) {
		s.listener.invalid.Inc(1)
		s.listener.log.Warn("link: connection ended", "from", s.conn.RemoteAddr().String(), "error", err)
	}
	s.fail(err)
}

// fail ends the session and all requests on it.
func (s *session) fail(err error) {
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

func (s *session) read() error {
	for {
		h, err := readHead(s.reader)
		if err != nil {
			return err
		}
		payload, err := readPayload(s.reader, h)
		if err != nil {
			return err
		}
		if err := s.take(h, payload); err != nil {
			return err
		}
	}
}

// take handles a frame. One for a request that has ended is late.
func (s *session) take(h frameHead, payload []byte) error {
	switch h.kind {
	case kindPing:
		_, err := s.out.add(kindPong, 0, 0, nil)
		return err
	case kindOpen:
		return s.open(h, payload)
	}
	s.mu.Lock()
	r := s.requests[h.stream]
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	switch h.kind {
	case kindData:
		if !r.flow.receive(payload, h.ends()) {
			return errors.Errorf("%w: more of a body than allowed", errProtocol)
		}
	case kindCredit:
		n, err := readCredit(payload)
		if err != nil {
			return err
		}
		r.flow.grant(n)
	case kindReset:
		r.cancel()
		r.flow.fail(errBroken)
	default:
		return errors.Errorf("%w: kind %d", errProtocol, h.kind)
	}
	return nil
}

// open starts to serve a request.
func (s *session) open(h frameHead, payload []byte) error {
	forwardedRequest, err := s.listener.codec.DecodeForwardedRequest(payload)
	if err != nil {
		return errors.Errorf("%w: %w", errProtocol, err)
	}
	r := &inbound{session: s, id: h.stream, forwardedRequest: forwardedRequest, empty: h.ends()}
	r.flow = newFlow(window, h.flags&flagAsk == 0)
	r.ctx, r.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	_, known := s.requests[r.id]
	full := len(s.requests) >= maxStreams
	if !known && !full && s.requests != nil {
		s.requests[r.id] = r
	}
	s.mu.Unlock()
	switch {
	case known:
		return errors.Errorf("%w: request %d is open already", errProtocol, r.id)
	case full:
		return errors.Errorf("%w: over %d requests", errProtocol, maxStreams)
	}
	s.listener.workers.Go(r.serve)
	return nil
}

// inbound is a request at the side that serves it.
type inbound struct {
	session          *session
	id               uint32
	forwardedRequest jackdawbridge.ForwardedRequest
	empty            bool // there is no body
	flow             *flow
	ctx              context.Context // ends when the request is given up
	cancel           context.CancelFunc
	whole            bool // the answer is complete
}

var _ jackdawbridge.InboundRequest = (*inbound)(nil)

// serve hands the request to the handler. An answer that is not complete after
// that is broken off.
func (r *inbound) serve() {
	defer r.end()
	r.session.listener.handle(r.ctx, r)
}

func (r *inbound) end() {
	r.cancel()
	r.flow.fail(errClosed)
	s := r.session
	s.mu.Lock()
	delete(s.requests, r.id)
	s.mu.Unlock()
	if !r.whole {
		_, _ = s.out.add(kindReset, 0, r.id, nil) // fails when the connection has ended
	}
}

// ForwardedRequest returns the head of the request.
func (r *inbound) ForwardedRequest() jackdawbridge.ForwardedRequest { return r.forwardedRequest }

// Cancel ends the context of the request.
func (r *inbound) Cancel() { r.cancel() }

// Body returns the body of the request, nil if there is none.
func (r *inbound) Body() io.Reader {
	if r.empty {
		return nil
	}
	return requestBody{r}
}

// Reply sends the head of the answer and the start of its body.
func (r *inbound) Reply(reply jackdawbridge.Reply, start []byte, last bool) error {
	head, err := r.session.listener.codec.EncodeReply(reply)
	if err != nil {
		return errors.Errorf("link: %w", err)
	}
	flags := uint8(0)
	if last && len(start) == 0 {
		flags = flagEnd
	}
	if _, err := r.session.out.add(kindReply, flags, r.id, head); err != nil {
		return err
	}
	if flags == flagEnd {
		r.whole = true
		return nil
	}
	return r.Write(start, last)
}

// Write sends a part of the answer's body.
func (r *inbound) Write(part []byte, last bool) error {
	for {
		n, err := r.flow.reserve(min(len(part), maxChunk))
		if err == nil {
			err = r.session.out.await(r.ctx.Done())
		}
		if err != nil {
			return err
		}
		flags := uint8(0)
		if last && n == len(part) {
			flags = flagEnd
		}
		if n > 0 || flags == flagEnd {
			if _, err := r.session.out.add(kindData, flags, r.id, part[:n]); err != nil {
				return err
			}
		}
		if part = part[n:]; len(part) == 0 {
			r.whole = last
			return nil
		}
	}
}

// requestBody is the body of a request.
type requestBody struct{ r *inbound }

// Read reads of the body. The first Read asks for one that waits for that.
func (b requestBody) Read(p []byte) (int, error) {
	for {
		n, credit, err := b.r.flow.take(p)
		if credit > 0 {
			if _, err := b.r.session.out.add(kindCredit, 0, b.r.id, creditPayload(credit)); err != nil {
				return n, err
			}
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
