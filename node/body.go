package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

var (
	errBodyTooLarge = errors.New("request body exceeds the size limit")
	errBodyStopped  = errors.New("node exits before the request body has been read")
	errBodyConsumed = errors.New("request body was already sent in part and cannot be sent again")
	errBodyEnded    = errors.New("request has ended before its body has been read")
)

// body is the body of a request. A body of up to jackdawbridge.MaxBufferedBody bytes is
// buffered in full and can be sent more than once. Of a larger body only a prefix is
// buffered, and the rest can be streamed once.
type body struct {
	prefix []byte    // at most jackdawbridge.MaxBufferedBody bytes, one more if rest is set
	rest   io.Reader // nil if prefix is the whole body
	length int64     // in bytes, -1 if unknown

	mu             sync.Mutex
	startedAttempt int  // attempt that has read from the streamed body, 0 if none has
	newestAttempt  int  // last attempt that opened the body
	ended          bool // the request has ended, and no attempt can read
}

// readBody buffers the body of a request up to jackdawbridge.MaxBufferedBody bytes. The
// rest of a larger body is read when it is forwarded. It fails with errBodyStopped if the
// context stopped ends meanwhile.
func readBody(stopped context.Context, w http.ResponseWriter, r *http.Request, limits Limits) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if r.ContentLength > limits.maxBodyBytes {
		return nil, errBodyTooLarge
	}
	conn, _ := r.Context().Value(connKey{}).(*boundedConn)
	limited := &minRateReader{
		conn: conn, source: r.Body, control: http.NewResponseController(w),
		rate: limits.minBodyRate, grace: limits.bodyGrace, remaining: limits.maxBodyBytes,
	}
	defer context.AfterFunc(stopped, limited.interrupt)()
	size := int64(FirstBodyBuffer)
	if r.ContentLength >= 0 {
		size = min(jackdawbridge.MaxBufferedBody, r.ContentLength) + 1 // one more byte, so that a read reaches the end
	}
	prefix, whole, err := readStart(limited, conn, size)
	switch {
	case err != nil:
		return nil, errors.Errorf("read request body: %w", err)
	case whole:
		return &body{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return &body{prefix: prefix, rest: limited, length: r.ContentLength}, nil
}

// FirstBodyBuffer is the first size of the buffer for a body of unknown length, in bytes. It
// is doubled up to jackdawbridge.MaxBufferedBody.
const FirstBodyBuffer = 2 << 10

// readStart reads up to one byte more than jackdawbridge.MaxBufferedBody into a buffer that
// has size bytes at first, and charges the buffer to the read budget. It reports whether it
// has read the whole body without that byte. The end may come with the last bytes or after
// them.
func readStart(from io.Reader, conn *boundedConn, size int64) (start []byte, whole bool, err error) {
	if !conn.hold(size) {
		return nil, false, errOverBudget
	}
	buffer := make([]byte, size)
	for got := 0; ; {
		n, err := from.Read(buffer[got:])
		got += n
		switch {
		case got > jackdawbridge.MaxBufferedBody && (err == nil || errors.Is(err, io.EOF)):
			return buffer, false, nil
		case errors.Is(err, io.EOF):
			return buffer[:got], true, nil
		case err != nil:
			return nil, false, err
		case got < len(buffer):
			continue
		}
		larger := min(2*len(buffer), jackdawbridge.MaxBufferedBody+1)
		if !conn.hold(int64(larger - len(buffer))) {
			return nil, false, errOverBudget
		}
		buffer = append(make([]byte, 0, larger), buffer...)[:larger]
	}
}

// digest returns a hash of the buffered prefix of the body, 0 if it is empty.
func (b *body) digest() uint64 {
	if len(b.prefix) == 0 {
		return 0
	}
	return xxhash.Sum64(b.prefix)
}

// isStreamed reports whether part of the body is not buffered, so that the body
// can be sent only once.
func (b *body) isStreamed() bool { return b.rest != nil }

// open returns the body for an attempt. It fails if the body is streamed and an
// earlier attempt has read from it.
func (b *body) open(attempt int) (jackdawbridge.Body, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAttempt != 0 {
		return jackdawbridge.Body{}, errBodyConsumed
	}
	b.newestAttempt = attempt
	if b.rest == nil {
		return jackdawbridge.BufferedBody(b.prefix), nil
	}
	return jackdawbridge.StreamedBody(&attemptReader{body: b, attempt: attempt, from: io.MultiReader(bytes.NewReader(b.prefix), b.rest)}), nil
}

// end marks that the request has ended. What a read in progress still returns is passed on
// to nobody.
func (b *body) end() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	if limited, ok := b.rest.(*minRateReader); ok {
		limited.end()
	}
}

// startRead reports whether an attempt may read from the streamed body, and marks that it
// does.
func (b *body) startRead(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.newestAttempt != attempt {
		return false
	}
	b.startedAttempt = attempt
	return true
}

// attemptReader reads a streamed body for one attempt. A link may continue to read
// for an attempt that has failed, so only the newest attempt can read.
type attemptReader struct {
	body    *body
	attempt int
	from    io.Reader
}

// Read reads from the body. It fails if a newer attempt has opened the body, or if the
// request has ended meanwhile.
func (r *attemptReader) Read(p []byte) (int, error) {
	if !r.body.startRead(r.attempt) {
		return 0, errBodyConsumed
	}
	n, err := r.from.Read(p)
	if !r.body.startRead(r.attempt) {
		return 0, errBodyConsumed
	}
	return n, err
}

// minRateReader reads the body of a request. It fails if the body exceeds a maximum
// size or arrives below a minimum rate. Only the time spent in reads, that is,
// waiting for the sender, counts towards the rate.
type minRateReader struct {
	conn      *boundedConn // nil if unknown, which holds nothing
	source    io.Reader
	control   *http.ResponseController
	rate      int64         // minimum rate, in bytes per second
	grace     time.Duration // added to the time that the rate allows
	remaining int64         // bytes until the size limit
	total     int64         // bytes read so far
	waited    time.Duration // time spent in reads

	mu          sync.Mutex
	interrupted bool // reads fail with errBodyStopped
	ended       bool // the request has ended: the connection is used by others, and reads fail with errBodyEnded
	atEnd       bool // the body has been read to its end, so that there is no read to interrupt
}

// interrupt ends a read in progress and all later ones, unless the body has been read.
func (r *minRateReader) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.atEnd {
		return
	}
	r.interrupted = true
	_ = r.control.SetReadDeadline(time.Now()) // fails only if the connection is closed, which ends the read too
}

// end ends the use of the connection. A read in progress changes its deadline no more.
func (r *minRateReader) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// setDeadline sets the deadline of the next read, unless reads are interrupted.
func (r *minRateReader) setDeadline(at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return errBodyEnded
	case r.interrupted:
		return errBodyStopped
	}
	return r.control.SetReadDeadline(at)
}

// reachEnd marks that the body has been read to its end. The server continues to read from
// the connection to detect that the client closes it, and the deadline must not end that
// read.
func (r *minRateReader) reachEnd() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	r.atEnd = true
	r.conn.setBodyRead()
	return r.control.SetReadDeadline(time.Time{})
}

// isEnded reports whether the request has ended.
func (r *minRateReader) isEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// isAtEnd reports whether the body has been read to its end.
func (r *minRateReader) isAtEnd() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.atEnd
}

// isInterrupted reports whether reads are interrupted.
func (r *minRateReader) isInterrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interrupted
}

// Read reads from the body within the time that the minimum rate allows.
func (r *minRateReader) Read(buffer []byte) (int, error) {
	if r.isAtEnd() {
		return 0, io.EOF
	}
	started := time.Now()
	allowed := r.grace + time.Duration(r.total/r.rate)*time.Second - r.waited
	if err := r.setDeadline(started.Add(allowed)); err != nil {
		return 0, errors.Errorf("set read deadline for request body: %w", err)
	}
	r.conn.awaitClient(true)
	n, err := r.source.Read(buffer)
	if r.isEnded() {
		return 0, errBodyEnded
	}
	r.conn.awaitClient(false)
	r.waited += time.Since(started)
	r.total += int64(n)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if err != nil && r.conn.isEvicted() {
		return 0, errOverBudget
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && r.isInterrupted() {
		return n, errBodyStopped
	}
	if errors.Is(err, io.EOF) {
		if err := r.reachEnd(); err != nil {
			return n, errors.Errorf("clear read deadline of request body: %w", err)
		}
	}
	return n, err
}
