package node

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/budget"
)

const (
	// freeBytes is what a connection may hold outside the read budget, in bytes. An ordinary
	// request without a body holds less, so that it does not touch the budget.
	freeBytes = 8 << 10
	// fieldBytes is the memory of a header field in bytes, apart from its text: its entries
	// in the maps of the parsed header and of the forwarded one.
	fieldBytes = 320
	// copiesOfText is how often the text of a head is held: as it was read and as it is
	// forwarded.
	copiesOfText = 2
	// unreadBytes is the memory of a connection whose server discards the rest of a body, in
	// bytes.
	unreadBytes = 24 << 10
	// denseLines is the number of lines in a part of a head above which the part is parsed in
	// chunks of denseChunk bytes.
	denseLines = 128
	denseChunk = 128
)

var errOverBudget = errors.New("request refused: too much memory is held by unfinished requests")

// readBudget shares a budget between the connections of all listeners. It ends the requests
// that the budget evicts.
type readBudget struct {
	metrics *metrics

	mu     sync.Mutex
	budget *budget.Budget
	last   budget.Holder
	conns  map[budget.Holder]*boundedConn // those that hold bytes
}

func newReadBudget(limit int64, m *metrics) *readBudget {
	return &readBudget{metrics: m, budget: budget.New(limit), conns: make(map[budget.Holder]*boundedConn)}
}

// held returns the number of bytes that are held.
func (r *readBudget) held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Held()
}

// charge adds bytes to what a connection holds, and evicts others if they do not fit. It
// reports false if the connection is evicted itself. If waits is set, the connection waits
// for its client, so that it can be evicted later.
func (r *readBudget) charge(c *boundedConn, size int64, waits bool) bool {
	r.mu.Lock()
	if c.evicted.Load() {
		r.mu.Unlock()
		return false
	}
	if c.holder == 0 {
		r.last++
		c.holder = r.last
		r.conns[c.holder] = c
	}
	evicted, ok := r.budget.Charge(c.holder, size)
	if !ok {
		evicted = append(evicted, c.holder)
	} else if waits {
		r.budget.Wait(c.holder)
	}
	conns := r.takeConns(evicted)
	r.mu.Unlock()
	r.evict(conns)
	return ok
}

// chargeForwarded holds the header of a request that a peer has forwarded, which waits for
// no client. It returns 0 for an ordinary header, and reports false if the header does not
// fit.
func (r *readBudget) chargeForwarded(fields int) (holder budget.Holder, fits bool) {
	size := fieldBytes * int64(fields)
	if size <= freeBytes {
		return 0, true
	}
	r.mu.Lock()
	r.last++
	holder = r.last
	evicted, ok := r.budget.Charge(holder, size)
	conns := r.takeConns(evicted)
	r.mu.Unlock()
	r.evict(conns)
	if !ok {
		r.metrics.count("reads_refused_peer")
	}
	return holder, ok
}

// releaseForwarded frees what chargeForwarded has charged.
func (r *readBudget) releaseForwarded(holder budget.Holder) {
	if holder == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Release(holder)
}

// takeConns removes the connections of holders that were evicted and returns them. r.mu is
// held.
func (r *readBudget) takeConns(evicted []budget.Holder) []*boundedConn {
	conns := make([]*boundedConn, 0, len(evicted))
	for _, h := range evicted {
		r.conns[h].evicted.Store(true) // before it can charge again
		conns = append(conns, r.conns[h])
		delete(r.conns, h)
	}
	return conns
}

// evict ends the requests of connections that were evicted.
func (r *readBudget) evict(conns []*boundedConn) {
	for _, c := range conns {
		r.metrics.count("reads_evicted_" + c.part())
		c.evict()
	}
}

// release frees everything that a connection holds.
func (r *readBudget) release(c *boundedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked(c)
}

// close frees everything that a connection holds and refuses what it would hold later.
func (r *readBudget) close(c *boundedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.evicted.Store(true)
	r.releaseLocked(c)
}

// releaseLocked is release with r.mu held.
func (r *readBudget) releaseLocked(c *boundedConn) {
	if c.holder != 0 {
		r.budget.Release(c.holder)
		delete(r.conns, c.holder)
		c.holder = 0
	}
}

// await marks whether a connection waits for its client, so that it can be evicted.
func (r *readBudget) await(c *boundedConn, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case c.holder == 0:
	case waits:
		r.budget.Wait(c.holder)
	default:
		r.budget.Proceed(c.holder)
	}
}

// heldBytes is what a connection holds of the read budget for the request in progress.
type heldBytes struct {
	holder   budget.Holder // 0 if nothing is charged; guarded by the mutex of the read budget
	bytes    int64         // held, with those that are not charged; used by the goroutine that serves the connection
	charged  int64         // part of bytes that is charged to the budget; used like bytes
	pastHead atomic.Bool   // the head has been read, and the request has not ended
	bodyRead atomic.Bool   // the body of the request in progress has been read to its end
	evicted  atomic.Bool   // reads fail with errOverBudget
}

// hold adds to the bytes that the connection holds. It reports false if they do not fit.
func (c *boundedConn) hold(size int64) bool { return c == nil || c.add(size, false) }

// readHead counts n bytes of a head that were read into p, and returns how many of them the
// server may parse now. Parsing many lines takes far more memory than reading them, so
// further reads return the rest in small parts, unless the request is evicted meanwhile.
func (c *boundedConn) readHead(p []byte, n int, err error) (int, error) {
	lines := bytes.Count(p[:n], []byte{'\n'})
	if !c.add(copiesOfText*int64(n)+fieldBytes*int64(lines), true) {
		return 0, errOverBudget
	}
	if lines > denseLines {
		c.unparsed = bytes.Clone(p[denseChunk:n])
		return denseChunk, nil
	}
	return n, err
}

// add adds to the bytes that the connection holds and charges what exceeds freeBytes.
func (c *boundedConn) add(size int64, waits bool) bool {
	c.bytes += size
	due := c.bytes - freeBytes - c.charged
	if due <= 0 {
		return true
	}
	c.charged += due
	return c.reading.charge(c, due, waits)
}

// awaitClient marks whether the request waits for its client.
func (c *boundedConn) awaitClient(waits bool) {
	if c != nil {
		c.reading.await(c, waits)
	}
}

// setBodyRead marks that the body of the request has been read to its end.
func (c *boundedConn) setBodyRead() {
	if c != nil {
		c.bodyRead.Store(true)
	}
}

// evict ends the read in progress of a connection that is marked as evicted.
func (c *boundedConn) evict() {
	_ = c.SetReadDeadline(time.Now()) // fails only if the connection is closed, which ends the read too
}

// isEvicted reports whether the request was evicted from the read budget.
func (c *boundedConn) isEvicted() bool { return c != nil && c.evicted.Load() }

// part returns which part of a request the connection reads.
func (c *boundedConn) part() string {
	if c.pastHead.Load() {
		return "body"
	}
	return "head"
}

// beginHead marks that the connection waits for the head of a request.
func (c *boundedConn) beginHead() {
	c.free()
	c.pastHead.Store(false)
}

// endRequest frees what the connection holds for the request in progress. If part of its
// body is unread, the server waits for it, and the connection holds the buffers for that.
func (c *boundedConn) endRequest(r *http.Request) {
	c.free()
	if r.Body != http.NoBody && !c.bodyRead.Load() {
		c.add(unreadBytes, true)
	}
}

// free frees everything that the connection holds.
func (c *boundedConn) free() {
	if c.charged > 0 {
		c.reading.release(c)
	}
	c.bytes, c.charged = 0, 0
}

// trackRequest marks the begin and the end of a request for its connection.
func (n *Node) trackRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*boundedConn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if c.charged > 0 {
			c.awaitClient(false)
		}
		c.bodyRead.Store(false)
		defer c.endRequest(r)
		// Fields of a pipelined request may have been read with the request before it.
		fields := fieldBytes * int64(len(r.Header))
		if c.isEvicted() || fields > c.bytes && !c.hold(fields-c.bytes) {
			n.refuseUnread(w, r, jackdawbridge.Overloaded)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
