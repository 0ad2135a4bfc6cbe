package pool

import "sync"

// Workers runs functions in goroutines that are used again. A new goroutine begins
// with a small stack, and copies it several times on its way through a request: a
// tenth of the processor time of a node that serves requests of peers. It is safe
// for concurrent use.
type Workers struct {
	most int // idle goroutines

	mu     sync.Mutex
	idle   []chan func() // of the idle goroutines, the one used last at the end
	closed bool
}

// NewWorkers returns workers of which up to most stay idle.
func NewWorkers(most int) *Workers { return &Workers{most: most} }

// Go runs f in a goroutine of its own.
func (w *Workers) Go(f func()) {
	w.mu.Lock()
	if n := len(w.idle); n > 0 {
		next := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.mu.Unlock()
		next <- f // has room: an idle goroutine has nothing to do
		return
	}
	w.mu.Unlock()
	go w.run(f)
}

// run runs functions until there are enough idle goroutines.
func (w *Workers) run(f func()) {
	jobs := make(chan func(), 1)
	for f != nil {
		f()
		if !w.rest(jobs) {
			return
		}
		f = <-jobs
	}
}

// rest adds a goroutine to the idle ones if there is room.
func (w *Workers) rest(jobs chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= w.most {
		return false
	}
	w.idle = append(w.idle, jobs)
	return true
}

// Close ends the idle goroutines, and the others when they have nothing to do.
func (w *Workers) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, jobs := range w.idle {
		close(jobs)
	}
	w.idle = nil
}
