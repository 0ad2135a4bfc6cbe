package node

import (
	"context"
	"sync"
	"time"
)

// callerCheckInterval is the interval at which the connection of a waiting request is
// checked for its end while nothing reads from it.
const callerCheckInterval = 100 * time.Millisecond

// callerWatch ends the context of a request when its caller has left. The server notices
// the end of a connection only while it reads from it. It does not while part of the body
// is unread or bytes of a further request have arrived, so the connection is checked
// without a read then.
type callerWatch struct {
	conn   *boundedConn // nil if unknown, which ends nothing
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer // nil before start
	stopped bool
}

// watchCaller returns the context of a request that ends also when the caller leaves
// while nothing reads from the connection, and its watch. Streamed is set if part of the
// body is unread. The watch must be stopped.
func watchCaller(ctx context.Context, streamed bool) (context.Context, *callerWatch) {
	ctx, cancel := context.WithCancel(ctx)
	conn, _ := ctx.Value(connKey{}).(*boundedConn)
	w := &callerWatch{conn: conn, cancel: cancel}
	if conn == nil {
		return ctx, w
	}
	conn.onAhead.Store(w)
	if streamed || conn.ahead.Load() {
		w.start()
	}
	return ctx, w
}

// start begins to check the connection.
func (w *callerWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil && !w.stopped {
		w.timer = time.AfterFunc(callerCheckInterval, w.check)
	}
}

// check ends the context if the caller has left, and otherwise schedules the next check.
func (w *callerWatch) check() {
	if w.conn.Ended() {
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(callerCheckInterval)
	}
}

// stop ends the checks and the context.
func (w *callerWatch) stop() {
	w.cancel()
	if w.conn != nil {
		w.conn.onAhead.CompareAndSwap(w, nil)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
