package client

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errReset is the cause of the failure of an answer that has no length and whose connection
// did not end in order.
var errReset = errors.New("connection failed before the end of an answer without a length")

// sender writes to a connection and keeps the error of the last write. A socket reports a
// reset once. If the write of a request takes the error, a read of the answer finds a plain
// end.
type sender struct {
	conn net.Conn

	mu     sync.Mutex // held during a write
	failed bool       // a write failed, other than by endedInOrder
}

// Write writes to the connection.
func (s *sender) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.conn.Write(p)
	s.failed = s.failed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// endedInOrder reports whether no write has failed. It ends a write in progress, so that the
// connection cannot be used any more.
func (s *sender) endedInOrder() bool {
	if s.conn.SetWriteDeadline(time.Now()) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failed
}
