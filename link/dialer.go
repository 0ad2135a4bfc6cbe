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
type dialed struct {
	conn   net.Conn
	reader *bufio.Reader
	out    *outbox
	codec  jackdawbridge.Codec
	frames atomic.Uint64 // received so far
	doubt  atomic.Bool   // nothing was received for avoidAfterMissed intervals

	mu     sync.Mutex
	calls  map[uint32]*outgoing // in progress, at most maxStreams
	last   uint32               // stream number of the newest request
	beats  beats
	timer  *time.Timer     // runs checkLiveness at the next ping interval or idle timeout
	err    error           // why the connection ended
	ended  func(d *dialed) // called once, after the connection has been closed
	closed chan struct{}
}

// liveness is the state of the ping check of a connection.
type beats struct {
	frames uint64 // number received by the last check
	missed int    // consecutive intervals without a frame
	idle   bool   // no requests are in progress and the timer measures idleTime
}

func newDialed(conn net.Conn, r *bufio.Reader, codec jackdawbridge.Codec, ended func(*dialed)) *dialed {
	d := &dialed{
		conn: conn, reader: r, out: newOutbox(conn), codec: codec, ended: ended,
		calls: make(map[uint32]*outgoing), closed: make(chan struct{}),
	}
	d.beats.idle = true
	d.timer = time.AfterFunc(idleTime, d.beat)
	go func() { d.fail(d.out.run()) }()
	go func() { d.fail(d.read()) }()
	return d
}

// load returns the number of requests in progress and whether the connection can
// take another one.
func (d *dialed) load() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls), d.err == nil && len(d.calls) < maxStreams && !d.doubt.Load()
}

// checkLiveness runs each time the timer expires. It closes a connection that was
// idle for idleTime. While requests are in progress, it pings a peer that has sent
// nothing since the last check, and closes the connection after closeAfterMissed
// checks in a row without a frame.
func (d *dialed) beat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return
	}
	if len(d.calls) == 0 {
		if d.beats.idle {
			go d.fail(errClosed)
			return
		}
		d.beats = beats{idle: true}
		d.timer.Reset(idleTime)
		return
	}
	frames := d.frames.Load()
	if frames != d.beats.frames {
		d.beats = beats{frames: frames}
	} else {
		d.beats.missed++
	}
	d.doubt.Store(d.beats.missed >= doubtBeats)
	switch {
	case d.beats.missed >= deadBeats:
		go d.fail(errSilent)
		return
	case d.beats.missed > 0:
		_, _ = d.out.add(kindPing, 0, 0, nil) // fails only if the connection is closed
	}
	d.timer.Reset(beatInterval)
}

// fail closes the connection and fails all requests on it with err.
func (d *dialed) fail(err error) {
	d.mu.Lock()
	if d.err != nil {
		d.mu.Unlock()
		return
	}
	d.err = err
	calls := d.calls
	d.calls = nil
	d.timer.Stop()
	close(d.closed)
	d.mu.Unlock()
	d.out.close(err)
	_ = d.conn.Close()
	d.ended(d)
	for _, c := range calls {
		c.fail(err)
	}
}

// read handles incoming frames until the connection fails.
func (d *dialed) read() error {
	for {
		h, err := readHead(d.reader)
		if err != nil {
			return err
		}
		payload, err := readPayload(d.reader, h)
		if err != nil {
			return err
		}
		d.frames.Add(1)
		if err := d.handle(h, payload); err != nil {
			return err
		}
	}
}

// handleFrame processes one frame. It ignores frames for requests that have ended,
// which the peer may have sent before it learned of that.
func (d *dialed) handle(h frameHead, payload []byte) error {
	if h.kind == kindPong {
		return nil
	}
	d.mu.Lock()
	c := d.calls[h.stream]
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
		c.answered(reply)
		if h.ends() {
			return c.receive(nil, true)
		}
	case kindData:
		return c.receive(payload, h.ends())
	case kindCredit:
		n, err := readCredit(payload)
		if err != nil {
			return err
		}
		c.flow.grant(n)
	case kindReset:
		d.forget(c)
		c.fail(errBroken)
	default:
		return errors.Errorf("%w: unexpected frame of kind %d", errProtocol, h.kind)
	}
	return nil
}

// open starts a request: it queues the head, and the body if that is buffered.
func (d *dialed) open(request jackdawbridge.Passage, body jackdawbridge.Content) (*outgoing, error) {
	head, err := d.codec.EncodePassage(request)
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	c := &outgoing{link: d, replied: make(chan struct{})}
	flags := flagEnd
	switch {
	case body.Stream() != nil:
		flags = flagAsk
		c.flow = newFlow(0, true)
	case len(body.Held()) > 0:
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
	d.last++
	c.id = d.last
	if c.start, err = d.out.add(kindOpen, flags, c.id, head); err != nil {
		return nil, err
	}
	for rest := body.Held(); len(rest) > 0; {
		n := min(len(rest), maxChunk)
		end := uint8(0)
		if n == len(rest) {
			end = flagEnd
		}
		if _, err := d.out.add(kindData, end, c.id, rest[:n]); err != nil {
			break // the connection has failed; fail ends this request as well
		}
		rest = rest[n:]
	}
	d.calls[c.id] = c
	if len(d.calls) == 1 {
		d.beats = beats{frames: d.frames.Load()}
		d.timer.Reset(beatInterval)
	}
	return c, nil
}

// remove removes a request that has ended and reports whether it was in progress.
func (d *dialed) forget(c *outgoing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[c.id] != c {
		return false
	}
	delete(d.calls, c.id)
	return true
}

// outboundRequest is a request at the side that sends it.
type outgoing struct {
	link  *dialed
	id    uint32
	start uint64 // where the request begins in the bytes written to the connection
	flow  *flow
	stop  func() bool // detaches the request from the caller's context

	once    sync.Once
	replied chan struct{} // closed once reply or err is set
	reply   jackdawbridge.Reply
	err     error
}

// setReply records the head of the answer and wakes the sender.
func (c *outgoing) answered(reply jackdawbridge.Reply) {
	c.once.Do(func() {
		c.reply = reply
		close(c.replied)
	})
}

// fail ends the request and both of its bodies with err. It has no effect on what
// has ended already.
func (c *outgoing) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.replied)
	})
	c.flow.fail(err)
}

// receive adds a chunk to the answer's body. With the last chunk the request is no
// longer in progress.
func (c *outgoing) receive(chunk []byte, end bool) error {
	if end {
		c.link.forget(c)
	}
	if !c.flow.receive(chunk, end) {
		return errors.Errorf("%w: body data exceeds the window or follows the end of the body", errProtocol)
	}
	return nil
}

// cancel aborts the request, unless its answer has arrived in full.
func (c *outgoing) cancel() { c.abort(context.Canceled) }

// abort fails the request with err and resets it at the peer if it is still in
// progress.
func (c *outgoing) abort(err error) {
	if c.link.forget(c) {
		_, _ = c.link.out.add(kindReset, 0, c.id, nil) // fails only if the connection is closed
	}
	c.fail(err)
}

// sendBody sends the body of a request from a stream as the peer grants credit. It
// runs in its own goroutine.
func (c *outgoing) send(stream io.Reader) {
	buffer := chunks.Get().(*[maxChunk]byte)
	defer chunks.Put(buffer)
	for {
		n, err := c.flow.reserve(maxChunk)
		if err == nil {
			err = c.link.out.await(c.link.closed)
		}
		if err != nil {
			return
		}
		got, err := io.ReadAtLeast(stream, buffer[:n], 1)
		c.flow.grant(n - got)
		switch {
		case errors.Is(err, io.EOF):
			_, _ = c.link.out.add(kindData, flagEnd, c.id, nil) // fails only if the connection is closed
			return
		case err != nil:
			c.abort(errors.Errorf("link: read request body: %w", err))
			return
		}
		if _, err := c.link.out.add(kindData, 0, c.id, buffer[:got]); err != nil {
			return
		}
	}
}

// chunks recycles the buffers of sendBody.
var chunks = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// answerBody reads the body of an answer.
type answerBody struct{ c *outgoing }

// Read reads from the answer's body and grants the peer credit for more.
func (b answerBody) Read(p []byte) (int, error) {
	n, credit, err := b.c.flow.take(p)
	if credit > 0 {
		_, _ = b.c.link.out.add(kindCredit, 0, b.c.id, creditPayload(credit))
	}
	return n, err
}

// Close discards the rest of the answer and resets the request if it is still in
// progress.
func (b answerBody) Close() error {
	b.c.stop()
	b.c.cancel()
	return nil
}
