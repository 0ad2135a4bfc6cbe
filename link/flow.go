package link

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// flow is the flow control of a request's two bodies at one side of the
// connection. It buffers the body that is received and holds the credit for the
// body that is sent.
type flow struct {
	mu         sync.Mutex
	changed    sync.Cond
	chunks     [][]byte // received and not yet read
	buffered   int      // bytes in chunks, at most maxUnread
	ended      bool     // the last chunk was received
	uncredited int      // bytes read and not yet granted again
	requested  bool     // the peer has credit to start the body
	credit     int      // bytes that may still be sent, at most window
	err        error    // why both bodies ended early; nil while they are intact
}

// newFlow returns a flow that may send credit bytes at once. If requested is false,
// the peer sends its body only after a credit frame.
func newFlow(credit int, requested bool) *flow {
	f := &flow{credit: credit, requested: requested}
	f.changed.L = &f.mu
	return f
}

// fail ends both bodies with err, unless an earlier error has ended them. Chunks that
// are already buffered can still be read.
func (f *flow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
		f.changed.Broadcast()
	}
}

// check returns an error if a chunk of the given size exceeds what the peer may send, or
// follows the end of the body.
func (f *flow) check(size int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.err != nil:
	case f.ended:
		return errors.Errorf("%w: data after the end of the body", errProtocol)
	case f.buffered+size > maxUnread:
		return errors.Errorf("%w: %d bytes of a body are unread: want at most %d", errProtocol, f.buffered+size, maxUnread)
	}
	return nil
}

// receive buffers a chunk of the peer's body, which must have passed check. A chunk that
// arrives after the bodies have ended early is dropped, so that they do not seem to go on or
// to end in order.
func (f *flow) receive(chunk []byte, end bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	if len(chunk) > 0 {
		f.append(chunk)
		f.buffered += len(chunk)
	}
	f.ended = end
	f.changed.Broadcast()
}

// receivable returns how many bytes of its body the peer may still send without further
// credit, and whether it has yet to end the body.
func (f *flow) receivable() (bytes int, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || !f.requested {
		return 0, !f.ended
	}
	return max(window-f.buffered-f.uncredited, 0), true
}

// append adds a chunk to those that are not yet read. A small one is copied behind the one
// before it: the window counts bytes, and a chunk of a single byte takes the memory of many.
func (f *flow) append(chunk []byte) {
	if len(chunk) >= smallChunk {
		f.chunks = append(f.chunks, chunk)
		return
	}
	if last := len(f.chunks) - 1; last >= 0 && cap(f.chunks[last])-len(f.chunks[last]) >= len(chunk) {
		f.chunks[last] = append(f.chunks[last], chunk...)
		return
	}
	f.chunks = append(f.chunks, append(make([]byte, 0, 2*smallChunk), chunk...))
}

// readBody reads from the peer's body into p, waiting for data if there is none.
// It also returns the credit that the caller must grant to the peer. The first
// call for a body that waits for credit returns only that credit, without data.
func (f *flow) readBody(p []byte) (n, credit int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.requested {
		// The caller sends the credit and then reads again.
		f.requested = true
		return 0, window, nil
	}
	for len(f.chunks) == 0 && !f.ended && f.err == nil {
		f.changed.Wait()
	}
	switch {
	case len(f.chunks) > 0:
	case f.ended:
		return 0, 0, io.EOF
	default:
		return 0, 0, f.err
	}
	n = copy(p, f.chunks[0])
	if f.chunks[0] = f.chunks[0][n:]; len(f.chunks[0]) == 0 {
		f.chunks[0] = nil
		f.chunks = f.chunks[1:]
	}
	f.buffered -= n
	f.uncredited += n
	if !f.ended && f.uncredited >= window/2 {
		credit = min(f.uncredited, window)
		f.uncredited -= credit
	}
	return n, credit, nil
}

// awaited reports whether the peer still sends its body, or waits for credit to do so.
func (f *flow) awaited() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requested && !f.ended && f.err == nil
}

// addCredit adds the credit of a credit frame.
func (f *flow) addCredit(payload []byte) error {
	n, err := readCredit(payload)
	if err == nil {
		f.grant(n)
	}
	return err
}

// grant adds credit for n more bytes to be sent, up to the window.
func (f *flow) grant(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.credit = min(f.credit+n, window)
	f.changed.Broadcast()
}

// reserve waits until there is credit and takes up to want bytes of it. It returns
// how many bytes may be sent.
func (f *flow) reserve(want int) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.credit == 0 && want > 0 && f.err == nil {
		f.changed.Wait()
	}
	if f.err != nil {
		return 0, f.err
	}
	n := min(want, f.credit)
	f.credit -= n
	return n, nil
}
