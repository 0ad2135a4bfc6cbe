package node

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

var (
	errBodyTooLarge = errors.New("body is too large")
	errBodySent     = errors.New("body was sent in part and cannot be sent again")
)

// body is the body of a request. A small one is held in full and can be sent
// more than once; of a larger one the start is held and the rest streams once.
type body struct {
	start  []byte
	rest   io.Reader // nil when start is the whole body
	length int64     // -1 when unknown

	mu     sync.Mutex
	reader int // attempt that has read of the rest, 0 while none has
	newest int // last attempt that opened the body
}

// readBody reads the start of a body, and all of it if it is small.
func readBody(w http.ResponseWriter, r *http.Request, limits Limits) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if r.ContentLength > limits.bodyBytes {
		return nil, errBodyTooLarge
	}
	paced := &pacedReader{
		from: r.Body, control: http.NewResponseController(w),
		rate: limits.bodyRate, grace: limits.bodyGrace, left: limits.bodyBytes,
	}
	size := int64(SmallBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	start := bytes.NewBuffer(make([]byte, 0, size+1))
	_, err := io.CopyN(start, paced, SmallBody+1)
	switch {
	case errors.Is(err, io.EOF):
		return &body{start: start.Bytes(), length: int64(start.Len())}, nil
	case err != nil:
		return nil, errors.Errorf("read body: %w", err)
	}
	return &body{start: start.Bytes(), rest: paced, length: r.ContentLength}, nil
}

// digest returns the digest of what is held of the body.
func (b *body) digest() uint64 {
	if len(b.start) == 0 {
		return 0
	}
	return xxhash.Sum64(b.start)
}

// streams reports whether the body can be sent only once.
func (b *body) streams() bool { return b.rest != nil }

// open returns the body for an attempt. It fails if an earlier attempt has
// sent of a body that streams.
func (b *body) open(attempt int) (jackdawbridge.Content, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != 0 {
		return jackdawbridge.Content{}, errBodySent
	}
	b.newest = attempt
	if b.rest == nil {
		return jackdawbridge.HeldContent(b.start), nil
	}
	return jackdawbridge.StreamedContent(&stream{body: b, attempt: attempt, from: io.MultiReader(bytes.NewReader(b.start), b.rest)}), nil
}

// stream is the reader of one attempt. A link may still read after the attempt
// has failed, so only the newest attempt gets anything.
type stream struct {
	body    *body
	attempt int
	from    io.Reader
}

// Read reads of the body if no other attempt has.
func (s *stream) Read(p []byte) (int, error) {
	s.body.mu.Lock()
	current := s.body.newest == s.attempt
	if current {
		s.body.reader = s.attempt
	}
	s.body.mu.Unlock()
	if !current {
		return 0, errBodySent
	}
	return s.from.Read(p)
}

// pacedReader reads a caller's body at a least rate and up to a size. Only the
// time spent waiting for the caller counts.
type pacedReader struct {
	from    io.Reader
	control *http.ResponseController
	rate    int64 // bytes a second
	grace   time.Duration
	left    int64 // bytes that may still come
	total   int64
	waited  time.Duration
}

// Read reads of the body.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	started := time.Now()
	allowed := p.grace + time.Duration(p.total/p.rate)*time.Second - p.waited
	if err := p.control.SetReadDeadline(started.Add(allowed)); err != nil {
		return 0, errors.Errorf("set deadline of body: %w", err)
	}
	n, err := p.from.Read(buffer)
	p.waited += time.Since(started)
	p.total += int64(n)
	p.left -= int64(n)
	if p.left < 0 {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		// The server goes on to watch the connection for its end.
		if err := p.control.SetReadDeadline(time.Time{}); err != nil {
			return n, errors.Errorf("clear deadline of body: %w", err)
		}
	}
	return n, err
}
