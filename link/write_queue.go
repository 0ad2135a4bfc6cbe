package link

import (
	"net"
	"sync"
	"time"
)

// writeQueue writes the frames of a connection in the order in which they were
// queued. A single goroutine writes, so that a peer that does not read blocks no
// request, and frames that are queued during a write are batched into the next.
type writeQueue struct {
	conn net.Conn
	wake chan struct{} // has a value if frames may be pending; closed with the queue

	mu       sync.Mutex
	pending  []byte        // encoded frames that are not yet written
	enqueued uint64        // bytes queued since the connection was opened
	written  uint64        // bytes passed to conn.Write since the connection was opened
	space    chan struct{} // closed when pending shrinks; nil while nothing waits for that
	err      error         // why the queue is closed; nil while it is open
}

func newWriteQueue(conn net.Conn) *writeQueue {
	return &writeQueue{conn: conn, wake: make(chan struct{}, 1)}
}

// enqueue queues a frame and returns its offset in the bytes of the connection.
func (o *writeQueue) enqueue(k kind, flags uint8, stream uint32, payload []byte) (start uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	start = o.enqueued
	before := len(o.pending)
	o.pending = frameHeader{size: len(payload), kind: k, flags: flags, stream: stream}.append(o.pending)
	o.pending = append(o.pending, payload...)
	o.enqueued += uint64(len(o.pending) - before)
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
func (o *writeQueue) awaitSpace(done <-chan struct{}) error {
	for {
		o.mu.Lock()
		if o.err != nil || len(o.pending) < maxPending {
			defer o.mu.Unlock()
			return o.err
		}
		if o.space == nil {
			o.space = make(chan struct{})
		}
		space := o.space
		o.mu.Unlock()
		select {
		case <-space:
		case <-done:
			return errClosed
		}
	}
}

// mayBeSent reports whether bytes at or after the offset start have been sent or
// may still be sent. Pending bytes are dropped only when the queue is closed.
func (o *writeQueue) mayBeSent(start uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil || o.written > start
}

// close drops the pending frames and stops run. Later calls of enqueue return err.
func (o *writeQueue) close(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
		o.pending = nil
		o.signalSpace()
		close(o.wake)
	}
}

// signalSpace wakes the callers of awaitSpace.
func (o *writeQueue) signalSpace() {
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
}

// run writes queued frames until the queue is closed or a write fails.
func (o *writeQueue) run() error {
	var spare []byte
	for range o.wake {
		o.mu.Lock()
		batch := o.pending
		o.pending = spare[:0]
		o.written += uint64(len(batch))
		o.signalSpace()
		o.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
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
