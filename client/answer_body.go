package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// answerBody is the body of an answer. It releases the connection at its end, or when it is
// closed if the request is still being sent then.
type answerBody struct {
	io.ReadCloser
	x           *exchange
	closeAfter  bool          // the backend server closes the connection after the answer
	toEnd       bool          // the answer has no length and ends with its connection
	stopsUpload bool          // the backend server wants no more of the request once it has answered
	idleLimit   time.Duration // idle time that the backend server allows, 0 if unknown
	ended       bool          // the answer was read to its end while the request was being sent
	released    bool          // the connection was released
	result      error         // of reads after the end or the release
	deadlineSet bool          // the connection has a deadline for reads
}

// newAnswerBody returns the body of the answer to a request. A server that reports an error
// and closes the connection, or that ends the answer with the connection, reads no further.
func newAnswerBody(x *exchange, response *http.Response) *answerBody {
	toEnd := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	return &answerBody{
		ReadCloser: response.Body, x: x, closeAfter: response.Close, idleLimit: keepAliveTime(response.Header),
		toEnd: toEnd, stopsUpload: toEnd || response.Close && response.StatusCode >= http.StatusBadRequest,
	}
}

// Read reads from the answer. The end of the answer releases the connection, unless the
// request is still being sent, and an error closes it. An answer without a length is broken
// if its connection was reset.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended || b.released {
		return 0, b.result
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if b.toEnd && errors.Is(err, io.EOF) && !b.x.conn.sender.endedInOrder() {
		err = errReset
	}
	b.result = err
	switch {
	case !errors.Is(err, io.EOF) || !b.clearDeadline():
		b.released = true
		b.x.abort()
	case !b.stopsUpload && !b.x.writeEnded():
		b.ended = true
	default:
		b.released = true
		b.x.finish(b.closeAfter, b.idleLimit)
	}
	return n, err
}

// clearDeadline removes the deadline for reads, so that the connection can be used
// again. It reports false if that fails.
func (b *answerBody) clearDeadline() bool {
	return !b.deadlineSet || b.x.conn.SetReadDeadline(time.Time{}) == nil
}

// Close closes the connection unless the answer was read to its end and the whole request
// was sent.
func (b *answerBody) Close() error {
	switch {
	case b.released:
		return nil
	case b.ended:
		b.x.finish(b.closeAfter, b.idleLimit)
	default:
		b.x.abort()
	}
	b.released, b.result = true, net.ErrClosed
	return nil
}

// AwaitSent waits until the rest of a request has been sent whose answer was read to its end
// before that, and reports whether the whole request was sent. A backend server may answer
// an upload at once and read on. AwaitSent does not wait if the answer shows that the server
// reads no further, and it ends with the context, which must be that of Do or end before it.
func AwaitSent(ctx context.Context, body io.ReadCloser) bool {
	b, ok := body.(*answerBody)
	if !ok || !b.ended {
		return true
	}
	select {
	case <-b.x.written:
		return b.x.writeErr == nil
	case <-ctx.Done():
		return false
	}
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
