package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackdawbridge/jackdawbridge/socket"
)

// boundedListener accepts connections up to a limit. Above it, the connection that has been
// silent for longest makes room for the new one: an ordinary client sends the head of its
// request at once. If none is silent, the new one is closed, so that its client fails
// without waiting for a timeout.
type boundedListener struct {
	net.Listener
	limit     int64
	open      atomic.Int64
	reading   *readBudget
	silent    func() net.Conn // returns the connection to close, nil if there is none
	onRefused func()          // called for each new connection that is closed
	onEvicted func()          // called for each silent connection that is closed
}

// Accept waits for the next connection and returns it.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit || l.makeRoom() {
			return &boundedConn{Conn: socket.Wrap(conn), reading: l.reading, onClose: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.onRefused()
		_ = conn.Close()
	}
}

// makeRoom closes the connection that has been silent for longest. It reports false if
// there is none.
func (l *boundedListener) makeRoom() bool {
	conn := l.silent()
	if conn == nil {
		return false
	}
	l.onEvicted()
	_ = conn.Close()
	return true
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// callerLeft reports whether the caller has closed the connection behind a request. The
// context of the request does not show that yet if the request lay unread meanwhile.
func callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*boundedConn)
	return ok && conn.Ended()
}

// boundedConn is a connection that counts towards the limit of a boundedListener.
type boundedConn struct {
	socket.Conn
	heldBytes
	reading  *readBudget
	unparsed []byte // read and not yet passed on, part of a head of many lines; used by the goroutine that serves the connection
	once     sync.Once
	onClose  func()
	ahead    atomic.Bool                 // a byte behind the request in progress was read, and nothing reads on
	onAhead  atomic.Pointer[callerWatch] // watch of the request in progress, nil if there is none
}

// Read reads from the connection, and counts what it reads of a head towards the read
// budget, before the server parses it. While a request is in progress and its body has been
// read, the server reads a single byte, to notice the end of the connection. If there is
// such a byte, it reads no further until the request has ended.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, errOverBudget
	}
	if len(c.unparsed) > 0 {
		n := copy(p, c.unparsed[:min(denseChunk, len(c.unparsed))])
		c.unparsed = c.unparsed[n:]
		return n, nil
	}
	c.ahead.Store(false)
	n, err := c.Conn.Read(p)
	if n == 1 && len(p) == 1 {
		c.ahead.Store(true)
		if w := c.onAhead.Load(); w != nil {
			w.start()
		}
	}
	if c.pastHead.Load() {
		return n, err
	}
	return c.readHead(p, n, err)
}

// Close closes the connection and frees its place in the limit.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.reading.close(c)
		c.onClose()
	})
	return c.Conn.Close()
}
