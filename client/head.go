package client

import (
	"io"

	"github.com/go-faster/errors"
)

// errHeadTooLong is the cause of the failure of a request whose answer has a head of
// more than maxHeadBytes.
var errHeadTooLong = errors.New("head of the answer is too long")

// headLimiter is a reader that fails if a head does not end within about maxHeadBytes.
// Bytes that a buffer above it holds when the head begins do not count.
type headLimiter struct {
	source io.Reader
	inHead bool
	left   int // bytes that may still be read for the head
}

// begin marks the begin of a head.
func (l *headLimiter) begin() { l.inHead, l.left = true, maxHeadBytes }

// end marks the end of a head. Reads after it have no limit.
func (l *headLimiter) end() { l.inHead = false }

// Read reads from the source, within the limit while a head is read.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
