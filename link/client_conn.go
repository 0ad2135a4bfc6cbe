package link

import (
	"bufio"
	"context"
	"io"
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

	mu       sync.Mutex
	requests map[uint32]*outboundRequest // in progress, at most maxStreams
	lastID   uint32                      // stream number of the newest request
	liveness liveness
	timer    *time.Timer         // runs checkLiveness at the next ping interval or idle timeout
	err      error               // why the connection ended
	onClose  func(d *clientConn) // called once, after the connection has been closed
	closed   chan struct{}       // closed with the connection
}

// liveness is the state of the ping check of a connection.
type liveness struct {
	frames uint64 // received up to the last check
	missed int    // consecutive intervals without a frame
	idle   bool   // no requests are in progress and the timer measures idleTimeout
}

func newClientConn(conn net.Conn, r *bufio.Reader, codec jackdawbridge.Codec, onClose func(*clientConn)) *clientConn {
	d := &clientConn{
		conn: conn, reader: r, out: newWriteQueue(conn), codec: codec, onClose: onClose,
		requests: make(map[uint32]*outboundRequest), closed: make(chan struct{}),
	}
	d.liveness.idle = true
	d.timer = time.AfterFunc(idleTime, d.checkLiveness)
	go func() { d.fail(d.out.run()) }()
	go func() { d.fail(d.read()) }()
	return d
}

// load returns the number of requests in progress and whether the connection can
// take another one.
func (d *clientConn) load() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests), d.err == nil && len(d.requests) < maxStreams && !d.unresponsive.Load()
}

// checkLiveness runs each time the timer expires. It closes a connection that was
// idle for idleTimeout. While requests are in progress, it pings a peer that has sent
// nothing since the last check, and closes the connection after closeAfterMissed
// checks in a row without a frame.
func (d *clientConn) checkLiveness() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return
	}
	if len(d.requests) == 0 {
		if d.liveness.idle {
			go d.fail(errClosed)
			return
		}
		d.liveness = liveness{idle: true}
		d.timer.Reset(idleTime)
		return
	}
	frames := d.frames.Load()
	if frames != d.liveness.frames {
		d.liveness = liveness{frames: frames}
	} else {
		d.liveness.missed++
	}
	d.unresponsive.Store(d.liveness.missed >= avoidAfterMissed)
	switch {
	case d.liveness.missed >= closeAfterMissed:
		go d.fail(errUnresponsive)
		return
	case d.liveness.missed > 0:
		_, _ = d.out.enqueue(kindPing, 0, 0, nil) // fails only if the connection is closed
	}
	d.timer.Reset(pingInterval)
}

// fail closes the connection and fails all requests on it with err.
func (d *clientConn) fail(err error) {
	d.mu.Lock()
	if d.err != nil {
		d.mu.Unlock()
		return
	}
	d.err = err
	requests := d.requests
	d.requests = nil
	d.timer.Stop()
	close(d.closed)
	d.mu.Unlock()
	d.out.close(err)
	_ = d.conn.Close()
	d.onClose(d)
	for _, c := range requests {
		c.fail(err)
	}
}

// read handles incoming frames until the connection fails.
func (d *clientConn) read() error {
	for {
		h, err := readHeader(d.reader)
		if err != nil {
			return err
		}
		payload, err := readPayload(d.reader, h)
		if err != nil {
			return err
		}
		d.frames.Add(1)
		if err := d.handleFrame(h, payload); err != nil {
			return err
		}
	}
}

// handleFrame processes one frame. It ignores frames for requests that have ended,
// which the peer may have sent before it learned that they ended.
func (d *clientConn) handleFrame(h frameHeader, payload []byte) error {
	if h.kind == kindPong {
		return nil
	}
	d.mu.Lock()
	c := d.requests[h.stream]
	d.mu.Unlock()
	if c == nil {
		return nil
	}
	switch h.kind {
	case kindReply:
		reply, err := d.codec.DecodeReply(payload)
		if err != nil {
			return errors.Errorf("link: invalid answer: %w", err)
		}
		c.setReply(reply)
		if h.endsBody() {
			return c.receive(nil, true)
		}
	case kindData:
		return c.receive(payload, h.endsBody())
	case kindCredit:
		n, err := readCredit(payload)
		if err != nil {
			return err
		}
		c.flow.grant(n)
	case kindReset:
		d.remove(c)
		c.fail(errReset)
	default:
		return errors.Errorf("%w: unexpected frame of kind %d", errProtocol, h.kind)
	}
	return nil
}

// open starts a request: it queues the head, and the body if that is buffered.
func (d *clientConn) open(request jackdawbridge.ForwardedRequest, body jackdawbridge.Body) (*outboundRequest, error) {
	head, err := d.codec.EncodeForwardedRequest(request)
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	c := &outboundRequest{conn: d, replied: make(chan struct{})}
	flags := flagEnd
	switch {
	case body.Stream() != nil:
		flags = flagAwaitCredit
		c.flow = newFlow(0, true)
	case len(body.Buffered()) > 0:
		flags = 0
		c.flow = newFlow(window, true)
	default:
		c.flow = newFlow(window, true)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	d.lastID++
	c.id = d.lastID
	if c.offset, err = d.out.enqueue(kindRequest, flags, c.id, head); err != nil {
		return nil, err
	}
	for rest := body.Buffered(); len(rest) > 0; {
		n := min(len(rest), maxChunk)
		end := uint8(0)
		if n == len(rest) {
			end = flagEnd
		}
		if _, err := d.out.enqueue(kindData, end, c.id, rest[:n]); err != nil {
			break // the connection has failed; fail ends this request as well
		}
		rest = rest[n:]
	}
	d.requests[c.id] = c
	if len(d.requests) == 1 {
		d.liveness = liveness{frames: d.frames.Load()}
		d.timer.Reset(pingInterval)
	}
	return c, nil
}

// remove removes a request that has ended and reports whether it was in progress.
func (d *clientConn) remove(c *outboundRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[c.id] != c {
		return false
	}
	delete(d.requests, c.id)
	return true
}

// outboundRequest is a request at the side that sends it.
type outboundRequest struct {
	conn      *clientConn
	id        uint32
	offset    uint64 // where the request begins in the bytes written to the connection
	flow      *flow
	stopWatch func() bool // detaches the request from the caller's context

	once    sync.Once
	replied chan struct{} // closed once reply or err is set
	reply   jackdawbridge.Reply
	err     error
}

// setReply records the head of the answer and wakes the sender.
func (c *outboundRequest) setReply(reply jackdawbridge.Reply) {
	c.once.Do(func() {
		c.reply = reply
		close(c.replied)
	})
}

// fail ends the request and both of its bodies with err. It has no effect on what
// has ended already.
func (c *outboundRequest) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.replied)
	})
	c.flow.fail(err)
}

// receive adds a chunk to the answer's body. The request is no longer in progress
// once the last chunk has arrived.
func (c *outboundRequest) receive(chunk []byte, end bool) error {
	if end {
		c.conn.remove(c)
	}
	if !c.flow.receive(chunk, end) {
		return errors.Errorf("%w: body data exceeds the window or follows the end of the body", errProtocol)
	}
	return nil
}

// cancel aborts the request, unless its answer has arrived in full.
func (c *outboundRequest) cancel() { c.abort(context.Canceled) }

// abort fails the request with err and resets it at the peer if it is still in
// progress.
func (c *outboundRequest) abort(err error) {
	if c.conn.remove(c) {
		_, _ = c.conn.out.enqueue(kindReset, 0, c.id, nil) // fails only if the connection is closed
	}
	c.fail(err)
}

// sendBody sends the body of a request from a stream as the peer grants credit. It
// runs in its own goroutine.
func (c *outboundRequest) sendBody(stream io.Reader) {
	buffer := chunkBuffers.Get().(*[maxChunk]byte)
	defer chunkBuffers.Put(buffer)
	for {
		n, err := c.flow.reserve(maxChunk)
		if err == nil {
			err = c.conn.out.awaitSpace(c.conn.closed)
		}
		if err != nil {
			return
		}
		got, err := io.ReadAtLeast(stream, buffer[:n], 1)
		c.flow.grant(n - got) // returns the credit that was not used
		switch {
		case errors.Is(err, io.EOF):
			_, _ = c.conn.out.enqueue(kindData, flagEnd, c.id, nil) // fails only if the connection is closed
			return
		case err != nil:
			c.abort(errors.Errorf("link: read request body: %w", err))
			return
		}
		if _, err := c.conn.out.enqueue(kindData, 0, c.id, buffer[:got]); err != nil {
			return
		}
	}
}

// chunkBuffers recycles the buffers of sendBody.
var chunkBuffers = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// answerBody reads the body of an answer.
type answerBody struct{ c *outboundRequest }

// Read reads from the answer's body and grants the peer credit for more.
func (b answerBody) Read(p []byte) (int, error) {
	n, credit, err := b.c.flow.readBody(p)
	if credit > 0 {
		_, _ = b.c.conn.out.enqueue(kindCredit, 0, b.c.id, creditPayload(credit))
	}
	return n, err
}

// Close discards the rest of the answer and resets the request if it is still in
// progress.
func (b answerBody) Close() error {
	b.c.stopWatch()
	b.c.cancel()
	return nil
}
