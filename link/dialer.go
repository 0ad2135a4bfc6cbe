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

// dialed is a connection at the side that dialed it.
type dialed struct {
	conn   net.Conn
	reader *bufio.Reader
	out    *outbox
	codec  jackdawbridge.Codec
	frames atomic.Uint64 // that have arrived
	doubt  atomic.Bool   // the other side does not answer pings

	mu     sync.Mutex
	calls  map[uint32]*outgoing // in progress, at most maxStreams
	last   uint32               // number of the newest request
	beats  beats
	timer  *time.Timer     // for the next beat, or the end of an idle connection
	err    error           // why the connection ended
	ended  func(d *dialed) // called once when it ends
	closed chan struct{}
}

// beats follows the signs of life of a connection.
type beats struct {
	frames uint64 // that had arrived at the last beat
	missed int    // beats in a row without a frame
	idle   bool   // the timer runs for the end of an idle connection
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

// load returns the number of requests in progress, and whether new ones may go
// over the connection.
func (d *dialed) load() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls), d.err == nil && len(d.calls) < maxStreams && !d.doubt.Load()
}

// beat looks for signs of life, or ends an idle connection.
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
		_, _ = d.out.add(kindPing, 0, 0, nil) // fails when the connection has ended
	}
	d.timer.Reset(beatInterval)
}

// fail ends the connection and all requests on it.
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

// read takes frames until the connection ends.
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

// handle takes a frame. One for a request that has ended is late.
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
			return errors.Errorf("link: %w", err)
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
		return errors.Errorf("%w: kind %d", errProtocol, h.kind)
	}
	return nil
}

// open sends the head of a request, with its body if that is held in full.
func (d *dialed) open(passage jackdawbridge.ForwardedRequest, content jackdawbridge.Body) (*outgoing, error) {
	head, err := d.codec.EncodeForwardedRequest(passage)
	if err != nil {
		return nil, errors.Errorf("link: %w", err)
	}
	c := &outgoing{link: d, replied: make(chan struct{})}
	flags := flagEnd
	switch {
	case content.Stream() != nil:
		flags = flagAsk
		c.flow = newFlow(0, true)
	case len(content.Buffered()) > 0:
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
	for held := content.Buffered(); len(held) > 0; {
		n := min(len(held), maxChunk)
		end := uint8(0)
		if n == len(held) {
			end = flagEnd
		}
		if _, err := d.out.add(kindData, end, c.id, held[:n]); err != nil {
			break // the connection ends, and this request with it
		}
		held = held[n:]
	}
	d.calls[c.id] = c
	if len(d.calls) == 1 {
		d.beats = beats{frames: d.frames.Load()}
		d.timer.Reset(beatInterval)
	}
	return c, nil
}

// forget drops a request that has ended and reports whether it was in progress.
func (d *dialed) forget(c *outgoing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[c.id] != c {
		return false
	}
	delete(d.calls, c.id)
	return true
}

// outgoing is a request at the side that sends it.
type outgoing struct {
	link  *dialed
	id    uint32
	start uint64 // where the request begins in the bytes of the connection
	flow  *flow
	stop  func() bool // ends the watch over the caller's context

	once    sync.Once
	replied chan struct{} // closed when reply or err is set
	reply   jackdawbridge.Reply
	err     error
}

// answered takes the head of the answer.
func (c *outgoing) answered(reply jackdawbridge.Reply) {
	c.once.Do(func() {
		c.reply = reply
		close(c.replied)
	})
}

// fail ends the request with an error, unless it has ended before.
func (c *outgoing) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.replied)
	})
	c.flow.fail(err)
}

// receive takes a part of the answer's body. Nothing is awaited after its end.
func (c *outgoing) receive(chunk []byte, end bool) error {
	if end {
		c.link.forget(c)
	}
	if !c.flow.receive(chunk, end) {
		return errors.Errorf("%w: more of a body than allowed", errProtocol)
	}
	return nil
}

// cancel gives the request up, unless all of its answer has arrived.
func (c *outgoing) cancel() { c.abort(context.Canceled) }

// abort gives the request up for a reason.
func (c *outgoing) abort(err error) {
	if c.link.forget(c) {
		_, _ = c.link.out.add(kindReset, 0, c.id, nil) // fails when the connection has ended
	}
	c.fail(err)
}

// send sends the body of a request that is not held in full.
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
			_, _ = c.link.out.add(kindData, flagEnd, c.id, nil) // fails when the connection has ended
			return
		case err != nil:
			c.abort(errors.Errorf("link: read body: %w", err))
			return
		}
		if _, err := c.link.out.add(kindData, 0, c.id, buffer[:got]); err != nil {
			return
		}
	}
}

// chunks holds buffers for parts of bodies.
var chunks = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// answerBody is the body of an answer.
type answerBody struct{ c *outgoing }

// Read reads of the answer's body.
func (b answerBody) Read(p []byte) (int, error) {
	n, credit, err := b.c.flow.take(p)
	if credit > 0 {
		_, _ = b.c.link.out.add(kindCredit, 0, b.c.id, creditPayload(credit))
	}
	return n, err
}

// Close gives the rest of the answer up.
func (b answerBody) Close() error {
	b.c.stop()
	b.c.cancel()
	return nil
}
