package rpc

import (
	"context"
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
	grpcpeer "google.golang.org/grpc/peer"

	"github.com/jackdawbridge/jackdawbridge/budget"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

// listener accepts connections and bounds what the unverified ones take. A connection is
// verified once a valid frame of a peer has arrived on it, and is then never closed for
// another.
type listener struct {
	net.Listener
	refused metrics.Counter // connections that were closed because of a limit

	mu         sync.Mutex
	budget     *budget.Budget                   // bytes of unfinished messages on unverified connections
	conns      map[budget.Holder]*acceptedConn  // open connections, at most maxUnverified and maxVerified
	unverified heap.Heap[budget.Holder, uint64] // by the order in which they were accepted, at most maxUnverified
	accepted   uint64                           // number of connections accepted so far
}

func newListener(l net.Listener, refused metrics.Counter) *listener {
	return &listener{Listener: l, refused: refused, budget: budget.New(maxUnverifiedBytes), conns: make(map[budget.Holder]*acceptedConn)}
}

// Accept waits for the next connection. If there are too many that are not verified, it
// closes the one of them that was accepted first.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unchanged: the server looks for errors that pass
	}
	c, evicted := l.register(conn)
	l.closeAll(evicted)
	return c, nil
}

// register adds a connection that is not verified. It returns those that have to be closed
// for it.
func (l *listener) register(conn net.Conn) (c *acceptedConn, evicted []*acceptedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	c = &acceptedConn{Conn: conn, listener: l, id: budget.Holder(l.accepted)}
	l.conns[c.id] = c
	l.unverified.Set(c.id, l.accepted)
	if l.unverified.Len() > maxUnverified {
		oldest, _, _ := l.unverified.Min()
		evicted = l.remove(oldest)
	}
	return c, evicted
}

// remove removes connections and returns those of them that were registered.
func (l *listener) remove(ids ...budget.Holder) []*acceptedConn {
	var removed []*acceptedConn
	for _, id := range ids {
		if c, ok := l.conns[id]; ok {
			removed = append(removed, c)
		}
		delete(l.conns, id)
		l.unverified.Remove(id)
		l.budget.Release(id)
	}
	return removed
}

// closeAll closes connections that were removed because of a limit.
func (l *listener) closeAll(conns []*acceptedConn) {
	for _, c := range conns {
		l.refused.Inc(1)
		_ = c.Conn.Close() // its reader sees the end
	}
}

// await marks that a connection waits for its client, so that its message can be evicted.
func (l *listener) await(c *acceptedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Wait(c.id)
}

// charge counts the memory, in bytes, of what was read from a connection. If the unfinished messages of
// unverified connections exceed the limit, it closes those whose messages were begun first.
func (l *listener) charge(c *acceptedConn, bytes int) {
	l.mu.Lock()
	l.budget.Proceed(c.id)
	if !l.unverified.Contains(c.id) {
		l.mu.Unlock()
		return
	}
	ids, ok := l.budget.Charge(c.id, int64(bytes))
	if !ok {
		ids = append(ids, c.id)
	}
	evicted := l.remove(ids...)
	l.mu.Unlock()
	l.closeAll(evicted)
}

// finish marks that a message of a connection is complete and no longer held. A connection
// on which a valid message of a peer arrived is verified, unless too many others are.
func (l *listener) finish(c *acceptedConn, valid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Release(c.id)
	if valid && len(l.conns)-l.unverified.Len() < maxVerified {
		l.unverified.Remove(c.id)
	}
}

// acceptedConn is a connection of a listener.
type acceptedConn struct {
	net.Conn
	listener *listener
	id       budget.Holder // position in the order in which the listener accepted connections
	frames   frameCounter  // used by the reader only
}

// Read reads from the connection and charges the bytes and frames to it.
func (c *acceptedConn) Read(p []byte) (int, error) {
	c.listener.await(c)
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.charge(c, n+frameCost*c.frames.count(p[:n]))
	}
	return n, err
}

// Close closes the connection.
func (c *acceptedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c.id)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// RemoteAddr returns the address of the client. The handlers of calls find the connection in
// it.
func (c *acceptedConn) RemoteAddr() net.Addr { return acceptedAddr{c.Conn.RemoteAddr(), c} }

// acceptedAddr is the address of the client of a connection.
type acceptedAddr struct {
	net.Addr
	conn *acceptedConn
}

// finishMessage marks that the message of a call is complete.
func finishMessage(ctx context.Context, valid bool) {
	if p, ok := grpcpeer.FromContext(ctx); ok {
		if a, ok := p.Addr.(acceptedAddr); ok {
			a.conn.listener.finish(a.conn, valid)
		}
	}
}
