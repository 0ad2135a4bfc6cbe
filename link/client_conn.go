package link

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

// clientConn is the dialling side of a connection. It sends requests and receives
// their answers.
type clientConn struct {
	conn         net.Conn
	reader       *bufio.Reader
	out          *writeQueue
	codec        jackdawbridge.Codec
	frames       atomic.Uint64 // received so far
	unresponsive atomic.Bool   // nothing was received for avoidAfterMissed intervals

	onClose func(c *clientConn)                   // called once, after the connection has been closed
	onAbort func(r *outboundRequest, cause error) // called for each request that an invalid frame has ended

	mu        sync.Mutex
	requests  map[uint32]*outboundRequest // in progress, at most maxStreams
	lastID    uint32                      // stream number of the newest request
	strays    strays
	liveness  liveness
	timer     *time.Timer   // runs checkLiveness at the next ping interval or idle timeout
	err       error         // why the connection ended
	withdrawn bool          // no more requests are sent
	closed    chan struct{} // closed with the connection
}

// liveness is the state of the ping check of a connection.
type liveness struct {
	frames uint64 // received up to the last check
	missed int    // consecutive intervals without a frame
	idle   bool   // no requests are in progress and the timer measures idleTimeout
}

func newClientConn(conn net.Conn, r *bufio.Reader, codec jackdawbridge.Codec, onClose func(*clientConn), onAbort func(*outboundRequest, error)) *clientConn {
	c := &clientConn{
		conn: conn, reader: r, out: newWriteQueue(conn), codec: codec, onClose: onClose, onAbort: onAbort,
		requests: make(map[uint32]*outboundRequest), closed: make(chan struct{}),
	}
	c.liveness.idle = true
	c.timer = time.AfterFunc(idleTimeout, c.checkLiveness)
	go func() { c.fail(c.out.run()) }()
	go func() { c.fail(c.read()) }()
	return c
}

// load returns the number of requests in progress and whether the connection can
// take another one.
func (c *clientConn) load() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests), c.err == nil && len(c.requests) < maxStreams && c.lastID < math.MaxUint32 && !c.unresponsive.Load()
}

// checkLiveness runs each time the timer expires. It closes a connection that was
// idle for idleTimeout. While requests are in progress, it pings a peer that has sent
// nothing since the last check, and closes the connection after closeAfterMissed
// checks in a row without a frame.
func (c *clientConn) checkLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if len(c.requests) == 0 {
		if c.liveness.idle {
			go c.fail(errClosed)
			return
		}
		c.liveness = liveness{idle: true}
		c.timer.Reset(idleTimeout)
		return
	}
	frames := c.frames.Load()
	if frames != c.liveness.frames {
		c.liveness = liveness{frames: frames}
	} else {
		c.liveness.missed++
	}
	c.unresponsive.Store(c.liveness.missed >= avoidAfterMissed)
	switch {
	case c.liveness.missed >= closeAfterMissed:
		go c.fail(errUnresponsive)
		return
	case c.liveness.missed > 0:
		_, _ = c.out.enqueue(kindPing, 0, 0, nil) // fails only if the connection is closed
	}
	c.timer.Reset(pingInterval)
}

// fail closes the connection and fails all requests on it with err.
func (c *clientConn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	requests := c.requests
	c.requests = nil
	c.timer.Stop()
	close(c.closed)
	c.mu.Unlock()
	c.out.close(err)
	_ = c.conn.Close()
	c.onClose(c)
	for _, r := range requests {
		r.fail(err)
	}
}

// read handles incoming frames until the connection fails.
func (c *clientConn) read() error {
	for {
		h, err := readHeader(c.reader)
		if err != nil {
			return err
		}
		r := c.request(h.stream)
		if r == nil && h.kind != kindPong {
			if err := c.drop(h); err != nil {
				return err
			}
			c.frames.Add(1)
			continue
		}
		payload, err := readPayload(c.reader, h)
		if err != nil {
			return err
		}
		c.frames.Add(1)
		if h.kind == kindPong {
			continue
		}
		if err := r.handleFrame(h, payload); err != nil && r.abort(err) {
			c.onAbort(r, err)
		}
	}
}

// request returns a request in progress, or nil if there is none with this stream number.
func (c *clientConn) request(stream uint32) *outboundRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[stream]
}

// drop skips a frame for a request that has ended, which the peer may have sent before it
// learned of the end.
func (c *clientConn) drop(h frameHeader) error {
	c.mu.Lock()
	err := c.strays.add(h)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return discardPayload(c.reader, h)
}

// open starts a request: it queues the head, and the body if that is buffered.
func (c *clientConn) open(request jackdawbridge.ForwardedRequest, body jackdawbridge.Body) (*outboundRequest, error) {
	head, err := c.codec.EncodeForwardedRequest(request)
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	r := &outboundRequest{conn: c, request: request.Envelope().ID(), replied: make(chan struct{})}
	flags := flagEnd
	switch {
	case body.Stream() != nil:
		flags = flagAwaitCredit
		r.flow = newFlow(0, true)
		r.sending, r.uploadEnded = true, make(chan struct{})
	case len(body.Buffered()) > 0:
		flags = 0
		r.flow = newFlow(window, true)
	default:
		r.flow = newFlow(window, true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	if c.withdrawn {
		return nil, errWithdrawn
	}
	if c.lastID == math.MaxUint32 {
		return nil, errExhausted
	}
	c.lastID++
	r.id = c.lastID
	if r.offset, err = c.out.enqueue(kindRequest, flags, r.id, head); err != nil {
		return nil, err
	}
	for rest := body.Buffered(); len(rest) > 0; {
		n := min(len(rest), MaxChunk)
		end := uint8(0)
		if n == len(rest) {
			end = flagEnd
		}
		if _, err := c.out.enqueue(kindData, end, r.id, rest[:n]); err != nil {
			break // the connection has failed; fail ends this request as well
		}
		rest = rest[n:]
	}
	c.requests[r.id] = r
	if len(c.requests) == 1 {
		c.liveness = liveness{frames: c.frames.Load()}
		c.timer.Reset(pingInterval)
	}
	return r, nil
}

// withdraw asks the peer to refuse the requests on the connection that are not yet
// running. Later requests fail, because the peer would not refuse them.
func (c *clientConn) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = true
	_, _ = c.out.enqueue(kindWithdraw, 0, 0, nil) // fails only if the connection is closed
}

// endAnswer records that a request has been answered in full. The request stays in progress
// while its body is being sent: a backend server may answer early and read on.
func (c *clientConn) endAnswer(r *outboundRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answered = true
	if !r.sending {
		c.removeLocked(r)
	}
}

// endUpload records that no more of a request's streamed body is sent.
func (c *clientConn) endUpload(r *outboundRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.sending {
		return
	}
	r.sending = false
	close(r.uploadEnded)
	if r.answered {
		c.removeLocked(r)
	}
}

// remove removes a request that has ended and reports whether it was in progress.
func (c *clientConn) remove(r *outboundRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.removeLocked(r)
}

// removeLocked is remove with c.mu held.
func (c *clientConn) removeLocked(r *outboundRequest) bool {
	if c.requests[r.id] != r {
		return false
	}
	delete(c.requests, r.id)
	if r.answered {
		c.strays.restore()
	} else {
		c.strays.endRequest(r.flow)
	}
	return true
}

// outboundRequest is a request at the side that sends it.
type outboundRequest struct {
	conn          *clientConn
	id            uint32
	request       jackdawbridge.RequestID // for the log
	offset        uint64                  // where the request begins in the bytes written to the connection
	flow          *flow
	detachContext func() bool   // detaches the request from the caller's context
	answered      bool          // the whole answer has arrived; guarded by conn.mu
	sending       bool          // the body is sent from a stream and has not ended; guarded by conn.mu
	uploadEnded   chan struct{} // closed when sending is reset; nil without a stream

	once    sync.Once
	replied chan struct{} // closed once reply or err is set
	reply   jackdawbridge.Reply
	err     error
}

// handleFrame processes one frame of the answer. It returns an error for a frame that the
// request must not have.
func (r *outboundRequest) handleFrame(h frameHeader, payload []byte) error {
	switch h.kind {
	case kindReply:
		reply, err := r.conn.codec.DecodeReply(payload)
		if err != nil {
			return errors.Errorf("%w: %w", errProtocol, err)
		}
		if !r.setReply(reply) {
			return errors.Errorf("%w: request has two answers", errProtocol)
		}
		if h.endsBody() {
			return r.receive(nil, true)
		}
	case kindData:
		return r.receive(payload, h.endsBody())
	case kindCredit:
		return r.flow.addCredit(payload)
	case kindReset:
		r.conn.remove(r)
		r.fail(errReset)
	default:
		return unexpectedFrame(h)
	}
	return nil
}

// setReply records the head of the answer and wakes the sender. It reports false if the
// request has been answered or has failed before.
func (r *outboundRequest) setReply(reply jackdawbridge.Reply) bool {
	first := false
	r.once.Do(func() {
		first = true
		r.reply = reply
		close(r.replied)
	})
	return first
}

// fail ends the request and both of its bodies with err. It has no effect on what
// has ended already.
func (r *outboundRequest) fail(err error) {
	r.once.Do(func() {
		r.err = err
		close(r.replied)
	})
	r.flow.fail(err)
	r.conn.endUpload(r)
}

// receive adds a chunk to the answer's body.
func (r *outboundRequest) receive(chunk []byte, end bool) error {
	if err := r.flow.check(len(chunk)); err != nil {
		return err
	}
	if end {
		r.conn.endAnswer(r) // first: a reader that sees the end closes the answer
	}
	r.flow.receive(chunk, end)
	return nil
}

// cancel aborts the request, unless its answer has arrived in full and its body was sent.
func (r *outboundRequest) cancel() { r.abort(context.Canceled) }

// abort fails the request with err and resets it at the peer if it is still in
// progress. It reports whether it was.
func (r *outboundRequest) abort(err error) bool {
	inProgress := r.conn.remove(r)
	if inProgress {
		_, _ = r.conn.out.enqueue(kindReset, 0, r.id, nil) // fails only if the connection is closed
	}
	r.fail(err)
	return inProgress
}

// sendBody sends the body of a request from a stream as the peer grants credit. It
// runs in its own goroutine.
func (r *outboundRequest) sendBody(stream io.Reader) {
	defer r.conn.endUpload(r)
	buffer := chunkBuffers.Get().(*[MaxChunk]byte)
	defer chunkBuffers.Put(buffer)
	for {
		n, err := r.flow.reserve(MaxChunk)
		if err == nil {
			err = r.conn.out.awaitSpace(r.conn.closed)
		}
		if err != nil {
			return
		}
		got, err := io.ReadAtLeast(stream, buffer[:n], 1)
		r.flow.grant(n - got) // returns the credit that was not used
		switch {
		case errors.Is(err, io.EOF):
			_, _ = r.conn.out.enqueue(kindData, flagEnd, r.id, nil) // fails only if the connection is closed
			return
		case err != nil:
			r.abort(errors.Errorf("link: read request body: %w", err))
			return
		}
		if _, err := r.conn.out.enqueue(kindData, 0, r.id, buffer[:got]); err != nil {
			return
		}
	}
}

// chunkBuffers recycles the buffers of sendBody.
var chunkBuffers = sync.Pool{New: func() any { return new([MaxChunk]byte) }}

// answerBody reads the body of an answer.
type answerBody struct{ r *outboundRequest }

// Read reads from the answer's body and grants the peer credit for more.
func (b answerBody) Read(p []byte) (int, error) {
	n, credit, err := b.r.flow.readBody(p)
	if credit > 0 {
		_, _ = b.r.conn.out.enqueue(kindCredit, 0, b.r.id, creditPayload(credit))
	}
	return n, err
}

// Close discards the rest of the answer and resets the request if it is still in
// progress.
func (b answerBody) Close() error {
	b.r.detachContext()
	b.r.cancel()
	return nil
}
