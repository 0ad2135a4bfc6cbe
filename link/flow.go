package link

import (
	"io"
	"sync"
)

// flow holds the two bodies of a request at one side: what has arrived of the
// other side's body, and how much of the own body may be sent.
type flow struct {
	mu      sync.Mutex
	changed sync.Cond
	chunks  [][]byte // that have arrived and are not read
	held    int      // bytes in chunks, at most window
	ended   bool     // no more arrive
	read    int      // bytes read since the last credit
	asked   bool     // the body was asked for, if it waits for that
	allowed int      // bytes that may be sent
	err     error    // ends both bodies
}

func newFlow(allowed int, asked bool) *flow {
	f := &flow{allowed: allowed, asked: asked}
	f.changed.L = &f.mu
	return f
}

// fail ends both bodies, unless they have ended before.
func (f *flow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
		f.changed.Broadcast()
	}
}

// receive takes a part of the other side's body and reports whether it was allowed.
func (f *flow) receive(chunk []byte, end bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.held+len(chunk) > window {
		return false
	}
	if len(chunk) > 0 {
		f.chunks = append(f.chunks, chunk)
		f.held += len(chunk)
	}
	f.ended = end
	f.changed.Broadcast()
	return true
}

// take reads of the other side's body. It returns the credit that is due to the
// other side.
func (f *flow) take(p []byte) (n, credit int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.asked {
		// The caller comes back once it has asked.
		f.asked = true
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
	f.held -= n
	f.read += n
	if !f.ended && f.read >= window/2 {
		credit, f.read = f.read, 0
	}
	return n, credit, nil
}

// grant allows the other side more bytes.
func (f *flow) grant(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed = min(f.allowed+n, window)
	f.changed.Broadcast()
}

// reserve waits until some of the wanted bytes may be sent and returns how many.
func (f *flow) reserve(want int) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.allowed == 0 && want > 0 && f.err == nil {
		f.changed.Wait()
	}
	if f.err != nil {
		return 0, f.err
	}
	n := min(want, f.allowed)
	f.allowed -= n
	return n, nil
}
