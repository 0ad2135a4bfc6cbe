package client

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// upload is the body of a request that is sent while its answer is read.
type upload struct {
	io.ReadCloser
	left  int64       // bytes not yet read, below 0 if the length is unknown
	ended atomic.Bool // all of the body has been read, so that at most its last write is under way
}

// Read reads from the body.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if u.left >= 0 {
		u.left -= int64(n)
	}
	if u.left == 0 || errors.Is(err, io.EOF) {
		u.ended.Store(true)
	}
	return n, err
}

// writeEnded reports whether the request has been written, or its write has failed.
func (x *exchange) writeEnded() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return true
	default:
		return false
	}
}
