package link

import (
	"net"
	"sync"
	"time"
)

// writeQueue writes the frames of a connection in the order in which they were
// queued. A single goroutine writes, so that a peer that does not read blocks no
// request, and frames that are queued during a write are batched into the next.
type outbox struct {
	conn net.Conn
	wake chan struct{} // has a value if frames may be pending; closed with the queue

	mu      sync.Mutex
	pending []byte        // encoded frames that are not yet written
	added   uint64        // bytes queued since the connection was opened
	handed  uint64        // bytes passed to conn.Write since the connection was opened
	room    chan struct{} // closed when pending shrinks; nil while nothing waits for that
	err     error         // why the queue is closed; nil while it is open
}

func newOutbox(conn net.Conn) *outbox {
	return &outbox{conn: conn, wake: make(chan struct{}, 1)}
}

// enqueue queues a frame and returns its offset in the bytes of the connection.
func (o *outbox) add(k kind, flags uint8, stream uint32, payload []byte) (start uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	start = o.added
	before := len(o.pending)
	o.pending = frameHead{size: len(payload), kind: k, flags: flags, stream: stream}.append(o.pending)
	o.pending = append(o.pending, payload...)
	o.added += uint64(len(o.pending) - before)
	if before == 0 {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
	return start, nil
}

// awaitSpace waits until less than maxPending is pending, done is closed, or the
// queue is closed.
func (o *outbox) await(done <-chan struct{}) error {
	for {
		o.mu.Lock()
		if o.err != nil || len(o.pending) < maxPending {
			defer o.mu.Unlock()
			return o.err
		}
		if o.room == nil {
			o.room = make(chan struct{})
		}
		room := o.room
		o.mu.Unlock()
		select {
		case <-room:
		case <-done:
			return errClosed
		}
	}
}

// mayBeSent reports whether bytes at or after the offset start have been sent or
// may still be sent. Pending bytes are dropped only when the queue is closed.
func (o *outbox) mayBeSent(start uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil || o.handed > start
}

// close drops the pending frames and stops run. Later calls of enqueue return err.
func (o *outbox) close(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
		o.pending = nil
		o.release()
		close(o.wake)
	}
}

// signalSpace wakes the callers of awaitSpace.
func (o *outbox) release() {
	if o.room != nil {
		close(o.room)
		o.room = nil
	}
}

// run writes queued frames until the queue is closed or a write fails.
func (o *outbox) run() error {
	var spare []byte
	for range o.wake {
		o.mu.Lock()
		batch := o.pending
		o.pending = spare[:0]
		o.handed += uint64(len(batch))
		o.release()
		o.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if err := o.conn.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
			return err
		}
		if _, err := o.conn.Write(batch); err != nil {
			return err
		}
		spare = batch
		if cap(spare) > maxPending {
			spare = nil // frees the memory that a burst needed
		}
	}
	return errClosed
}
