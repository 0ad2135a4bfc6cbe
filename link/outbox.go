package link

import (
	"net"
	"sync"
	"time"
)

// outbox writes the frames of a connection in the order in which they were added.
// One goroutine writes, so that a receiver that reads nothing holds up no request,
// and frames that are added meanwhile go out in one write.
type outbox struct {
	conn net.Conn
	wake chan struct{} // has a value when there may be something to write

	mu      sync.Mutex
	pending []byte
	added   uint64        // bytes that were ever added
	handed  uint64        // bytes that were ever handed to the connection
	room    chan struct{} // closed when pending shrinks; nil while nobody waits
	err     error         // nothing is added any more
}

func newOutbox(conn net.Conn) *outbox {
	return &outbox{conn: conn, wake: make(chan struct{}, 1)}
}

// add adds a frame and returns where it begins in the stream of bytes.
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

// await waits while too much is pending.
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

// mayBeSent reports whether a byte from the given one on may have been sent, or
// may still be: what is pending is dropped at the end of the connection only.
func (o *outbox) mayBeSent(start uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil || o.handed > start
}

// close lets the writer end.
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

// release wakes those who wait for room.
func (o *outbox) release() {
	if o.room != nil {
		close(o.room)
		o.room = nil
	}
}

// run writes until the outbox is closed or the connection fails.
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
			spare = nil // a burst must not hold its memory for good
		}
	}
	return errClosed
}
