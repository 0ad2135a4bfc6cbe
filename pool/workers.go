package pool

import "sync"

// Workers runs functions in goroutines that are reused. A new goroutine begins with a
// small stack, which grows by copying several times while it processes a request; this
// took a tenth of the processor time of a node that serves requests of peers. Workers is
// safe for concurrent use.
type Workers struct {
	maxIdle int

	mu     sync.Mutex
	idle   []chan func() // one for each idle goroutine, at most maxIdle; the one that became idle last is at the end
	closed bool
}

// NewWorkers returns a Workers that keeps up to maxIdle idle goroutines.
func NewWorkers(maxIdle int) *Workers { return &Workers{maxIdle: maxIdle} }

// Go runs f in an idle goroutine, or in a new one if there is none.
func (w *Workers) Go(f func()) {
	w.mu.Lock()
	if n := len(w.idle); n > 0 {
		next := w.idle[n-1]
		w.idle = w.idle[:n-1]
		w.mu.Unlock()
		next <- f // does not block: the channel of an idle goroutine is empty
		return
	}
	w.mu.Unlock()
	go w.run(f)
}

// run runs f and then further functions, until its goroutine may not become idle or Close
// ends it.
func (w *Workers) run(f func()) {
	jobs := make(chan func(), 1)
	for f != nil {
		f()
		if !w.becomeIdle(jobs) {
			return
		}
		f = <-jobs
	}
}

// becomeIdle adds the goroutine that receives from jobs to the idle ones. It returns false
// if there are maxIdle already, or after Close.
func (w *Workers) becomeIdle(jobs chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= w.maxIdle {
		return false
	}
	w.idle = append(w.idle, jobs)
	return true
}

// Close ends the idle goroutines now, and each other goroutine when its function returns.
// Functions passed to Go later still run.
func (w *Workers) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, jobs := range w.idle {
		close(jobs)
	}
	w.idle = nil
}
