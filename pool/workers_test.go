package pool_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/jackdawbridge/jackdawbridge/pool"
)

// TestWorkers guards against functions that are lost or run twice while goroutines
// come and go, against more idle goroutines than allowed, and against goroutines that
// stay after Close.
func TestWorkers(t *testing.T) {
	defer goleak.VerifyNone(t)
	const most, rounds, each = 4, 50, 40
	w := pool.NewWorkers(most)
	before := runtime.NumGoroutine()
	var ran atomic.Int64
	for range rounds {
		var group sync.WaitGroup
		for range each {
			group.Add(1)
			w.Go(func() {
				ran.Add(1)
				group.Done()
			})
		}
		group.Wait()
	}
	if got := ran.Load(); got != rounds*each {
		t.Errorf("%d functions ran: want %d", got, rounds*each)
	}
	for runtime.NumGoroutine() > before+most {
		runtime.Gosched() // goroutines that end need a moment
	}
	w.Close()
}

// TestWorkersAfterClose guards against work that is dropped because it comes while
// the owner ends.
func TestWorkersAfterClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := pool.NewWorkers(1)
	w.Close()
	done := make(chan struct{})
	w.Go(func() { close(done) })
	<-done
}
