package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The times of the departure of a backend server. It serves for exitAfter after the
// acknowledgement. Requests count from inTouch on: stableWindowMs after the store has come back
// and after the node has been started again.
const (
	drainPeriod = 2 * time.Second // drainPeriodMs
	touchTime   = 3 * time.Second // stableWindowMs
	exitAfter   = 8 * time.Second
	callPause   = 20 * time.Millisecond  // between two requests at one machine
	workTime    = 200 * time.Millisecond // of a request
)

// leavingServer is a backend server of which one leaves.
type leavingServer struct {
	mu      sync.Mutex
	runs    int
	leaving *machine  // whose backend server leaves; nil before that
	left    time.Time // when its departure was acknowledged
	inTouch time.Time // when all machines are in touch again
	late    int       // requests that reached it later than drainPeriod after that, with all machines in touch
}

func (s *leavingServer) serve(b *backend, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body) // there is none
	s.mu.Lock()
	s.runs++
	if b.machine == s.leaving {
		after := time.Since(s.left)
		late := after > drainPeriod && !s.inTouch.IsZero() && time.Now().After(s.inTouch)
		if late {
			s.late++
		}
		b.machine.fleet.record.line("backend %s: runs %s, %v after its departure was acknowledged, counts: %v", b.id, r.Header.Get("Attempt-Id"), after.Round(time.Millisecond), late)
	}
	s.mu.Unlock()
	time.Sleep(workTime)
	return b.answer(conn, r)
}

// runLapse lets a backend server leave, kills its node and starts it again. A heartbeat from
// before the departure arrives late. With the disruption, the store has an outage around the
// restart, in which leases run out.
func runLapse(f *fleet, trouble bool) error {
	s := &leavingServer{}
	hosts := []listener{{Host: "stands.example", Rules: []rule{newRule("r-pay", "non_idempotent", "/pay/", logs, 2000)}}}
	if err := f.start(newConfiguration(7, hosts, "key-a"), s.serve); err != nil {
		return err
	}
	stop := f.callAll(f.machineOf(zoneA, balance), f.machineOf(zoneB, balance))
	time.Sleep(touchTime)
	err := s.leave(f, f.machineOf(zoneA, logs), trouble)
	stop()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.record.line("%d requests have run, %d of them at the backend server that had left, later than the drain period, all machines in touch", s.runs, s.late)
	if s.late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached a backend server later than %v after its departure was acknowledged", errBroken, s.late, drainPeriod)
	}
	return nil
}

// leave lets the backend server of a machine leave while its node is restarted.
func (s *leavingServer) leave(f *fleet, m *machine, trouble bool) error {
	m.app.stopBeats()
	delayed := m.app.nextSeq() // of the heartbeat that arrives late
	if !m.app.announce("Deregister", m.app.nextSeq()) {
		return errors.New("the departure was not acknowledged")
	}
	left := time.Now()
	s.mu.Lock()
	s.leaving, s.left = m, left
	s.mu.Unlock()
	f.record.line("backend %s: its departure is acknowledged", m.app.id)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := f.beginOutageWithLapse(); err != nil {
			return err
		}
	}
	m.kill()
	time.Sleep(500 * time.Millisecond)
	if err := m.start(); err != nil {
		return err
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		if err := f.setStoreDown(false); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.inTouch = time.Now().Add(touchTime)
	s.mu.Unlock()
	time.Sleep(time.Second)
	f.record.line("backend %s: a heartbeat from before the departure arrives, acknowledged: %v", m.app.id, m.app.announce("Heartbeat", delayed))
	time.Sleep(time.Until(left.Add(exitAfter)))
	f.record.line("backend %s: exits", m.app.id)
	m.app.close()
	time.Sleep(time.Second)
	return nil
}

// callAll sends requests at each of the machines until the result is called.
func (f *fleet) callAll(machines ...*machine) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for i, m := range machines {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(callPause):
				}
				group.Go(func() {
					m.call(http.MethodPost, "stands.example", "/pay/2f", "pay-"+strconv.Itoa(i+1)+"-"+strconv.Itoa(n+1), "key-a")
				})
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}
