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
	detach func() bool // detaches the context from that of the server's request; nil if the body has been read

	mu      sync.Mutex
	timer   *time.Timer // nil before start
	stopped bool
}

// watchCaller returns the context of a request that ends also when the caller leaves
// while nothing reads from the connection, and its watch. Streamed is set if part of the
// body is unread. The watch must be stopped.
func watchCaller(request context.Context, streamed bool) (context.Context, *callerWatch) {
	conn, _ := request.Value(connKey{}).(*boundedConn)
	w := &callerWatch{conn: conn}
	var ctx context.Context
	if streamed {
		ctx, w.cancel = context.WithCancel(context.WithoutCancel(request))
		w.detach = context.AfterFunc(request, w.cancel)
	} else {
		ctx, w.cancel = context.WithCancel(request)
	}
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
	ended := w.conn.Ended()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case ended:
		w.cancel()
	default:
		w.timer.Reset(callerCheckInterval)
	}
}

// release ends the checks and keeps the context. A caller that has its answer may close the
// connection behind the last bytes of the body, which are still to be sent. If it leaves
// earlier, the read of the body fails.
func (w *callerWatch) release() {
	if w.detach != nil {
		w.detach()
	}
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

// stop ends the checks and the context.
func (w *callerWatch) stop() {
	w.cancel()
	w.release()
}
