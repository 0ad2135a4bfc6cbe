package client

import (
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// answerBody is the body of an answer. It releases the connection at its end.
type answerBody struct {
	io.ReadCloser
	x           *exchange
	closeAfter  bool          // the backend server closes the connection after the answer
	toEnd       bool          // the answer has no length and ends with its connection
	idleLimit   time.Duration // idle time that the backend server allows, 0 if unknown
	released    bool          // the connection was released
	result      error         // of reads after the release
	deadlineSet bool          // the connection has a deadline for reads
}

// Read reads from the answer. The end of the answer releases the connection, and
// an error closes it. An answer without a length is broken if its connection was reset.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.released {
		return 0, b.result
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if b.toEnd && errors.Is(err, io.EOF) && !b.x.conn.sender.endedInOrder() {
		err = errReset
	}
	b.released, b.result = true, err
	if errors.Is(err, io.EOF) && b.clearDeadline() {
		b.x.finish(b.closeAfter, b.idleLimit)
	} else {
		b.x.abort()
	}
	return n, err
}

// clearDeadline removes the deadline for reads, so that the connection can be used
// again. It reports false if that fails.
func (b *answerBody) clearDeadline() bool {
	return !b.deadlineSet || b.x.conn.SetReadDeadline(time.Time{}) == nil
}

// Close closes the connection unless the answer was read to its end.
func (b *answerBody) Close() error {
	if !b.released {
		b.released, b.result = true, net.ErrClosed
		b.x.abort()
	}
	return nil
}

// DiscardRefusal reads the rest of the body of an answer that refuses the request, so that
// its connection can be used again, and closes the body. It closes the connection too if
// the rest is longer than limit bytes or does not arrive soon.
func DiscardRefusal(body io.ReadCloser, limit int64) {
	if b, ok := body.(*answerBody); ok && !b.released {
		_ = b.x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
		b.deadlineSet = true
		b.x.recordRefused()
	}
	_, _ = io.CopyN(io.Discard, body, limit)
	_ = body.Close()
}
