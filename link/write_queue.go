package link

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
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
	written  uint64        // bytes taken from pending for conn.Write since the connection was opened
	space    chan struct{} // closed when pending shrinks; nil while nothing waits for that
	err      error         // why the queue is closed; nil while it is open
}

func newWriteQueue(conn net.Conn) *writeQueue {
	return &writeQueue{conn: conn, wake: make(chan struct{}, 1)}
}

// enqueue queues a frame and returns the offset of its first byte among all bytes
// queued since the connection was opened. It returns errTooLarge for a payload that the peer
// would not accept.
func (q *writeQueue) enqueue(k kind, flags uint8, stream uint32, payload []byte) (start uint64, err error) {
	if len(payload) > MaxPayload {
		return 0, errors.Errorf("%w: %d bytes", errTooLarge, len(payload))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, q.err
	}
	start = q.enqueued
	before := len(q.pending)
	q.pending = frameHeader{size: len(payload), kind: k, flags: flags, stream: stream}.append(q.pending)
	q.pending = append(q.pending, payload...)
	q.enqueued += uint64(len(q.pending) - before)
	if before == 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return start, nil
}

// awaitSpace waits until fewer than maxPending bytes are pending, done is closed, or
// the queue is closed. It returns an error in the latter two cases.
func (q *writeQueue) awaitSpace(done <-chan struct{}) error {
	for {
		q.mu.Lock()
		if q.err != nil || len(q.pending) < maxPending {
			defer q.mu.Unlock()
			return q.err
		}
		if q.space == nil {
			q.space = make(chan struct{})
		}
		space := q.space
		q.mu.Unlock()
		select {
		case <-space:
		case <-done:
			return errClosed
		}
	}
}

// mayBeSent reports whether bytes at or after the offset start have been sent or
// may still be sent. Pending bytes are dropped only when the queue is closed.
func (q *writeQueue) mayBeSent(start uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err == nil || q.written > start
}

// close drops the pending frames and stops run. Later calls of enqueue return err.
func (q *writeQueue) close(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.err = err
		q.pending = nil
		q.signalSpace()
		close(q.wake)
	}
}

// signalSpace wakes the callers of awaitSpace.
func (q *writeQueue) signalSpace() {
	if q.space != nil {
		close(q.space)
		q.space = nil
	}
}

// run writes queued frames until the queue is closed or a write fails.
func (q *writeQueue) run() error {
	var spare []byte
	for range q.wake {
		q.mu.Lock()
		batch := q.pending
		q.pending = spare[:0]
		q.written += uint64(len(batch))
		q.signalSpace()
		q.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if err := q.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := q.conn.Write(batch); err != nil {
			return err
		}
		spare = batch
		if cap(spare) > maxPending {
			spare = nil // frees the memory that a burst needed
		}
	}
	return errClosed
}
