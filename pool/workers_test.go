package pool_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/jackdawbridge/jackdawbridge/pool"
)

// TestWorkers guards against functions that are lost or run twice while goroutines start
// and end, against more idle goroutines than allowed, and against goroutines that remain
// after Close.
func TestWorkers(t *testing.T) {
	defer goleak.VerifyNone(t)
	const maxIdle, rounds, perRound = 4, 50, 40
	w := pool.NewWorkers(maxIdle)
	before := runtime.NumGoroutine()
	var ran atomic.Int64
	for range rounds {
		var group sync.WaitGroup
		for range perRound {
			group.Add(1)
			w.Go(func() {
				ran.Add(1)
				group.Done()
			})
		}
		group.Wait()
	}
	if got := ran.Load(); got != rounds*perRound {
		t.Errorf("%d functions ran: want %d", got, rounds*perRound)
	}
	for runtime.NumGoroutine() > before+maxIdle {
		runtime.Gosched() // the other goroutines may not have ended yet
	}
	w.Close()
}

// TestWorkersAfterClose guards against a function that is dropped because it is passed to
// Go after Close, while the owner of the Workers shuts down.
func TestWorkersAfterClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := pool.NewWorkers(1)
	w.Close()
	done := make(chan struct{})
	w.Go(func() { close(done) })
	<-done
}
