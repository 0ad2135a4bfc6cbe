package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The times around the stop of a node, and the burst of requests at it.
const (
	gracePeriod  = 6 * time.Second        // gracePeriodS
	lossSlack    = 200 * time.Millisecond // lossSlackMs
	burstAfter   = time.Second            // after the SIGTERM: the clients have not seen two misses of the readiness page yet
	burstSize    = 55                     // clients of a machine
	burstSlots   = 5                      // of each of the two backend servers
	burstWork    = 800 * time.Millisecond // of a request at a backend server
	burstTimeout = 6 * time.Second
)

// burstRequest is a request of the burst, as its client and the backend servers have seen it.
type burstRequest struct {
	sent   time.Time // when its last byte was sent
	ended  time.Time // when its answer or its connection ended
	status int       // of a complete answer, 0 if there is none
	began  time.Time // when a backend server began to run it, zero if none has
	done   time.Time // when the backend server had run it
}

// stopCase is the state of the case.
type stopCase struct {
	f  *fleet
	mu sync.Mutex

	requests map[string]*burstRequest
}

func (s *stopCase) serve(b *backend, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body) // there is none
	id := r.Header.Get("Attempt-Id")
	s.f.record.line("backend %s: begins to run %s", b.id, id)
	s.set(id, func(q *burstRequest) { q.began = time.Now() })
	time.Sleep(burstWork)
	s.set(id, func(q *burstRequest) { q.done = time.Now() })
	return b.answer(conn, r)
}

// set changes the state of a request.
func (s *stopCase) set(id string, change func(q *burstRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[id] == nil {
		s.requests[id] = &burstRequest{}
	}
	change(s.requests[id])
}

// runStop takes a backend server away as planned. Then many clients of its machine send a
// request at once. With the disruption, its node has got a SIGTERM a second before.
func runStop(f *fleet, trouble bool) error {
	s := &stopCase{f: f, requests: make(map[string]*burstRequest)}
	f.slots = burstSlots
	pay := newRule("r-pay", "non_idempotent", "/pay/", logs, int(burstTimeout.Milliseconds()))
	pay.Priority = 0
	hosts := []listener{{Host: "stands.example", Rules: []rule{pay}}}
	if err := f.start(newConfiguration(7, hosts, "key-a"), s.serve); err != nil {
		return err
	}
	m := f.machineOf(zoneA, balance)
	if err := m.app.leave(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	time.Sleep(burstAfter)
	var group sync.WaitGroup
	for i := range burstSize {
		group.Go(func() { s.request(m, "pay-"+strconv.Itoa(i+1)) })
	}
	group.Wait()
	return s.judge(stopped)
}

// request sends a request of the burst.
func (s *stopCase) request(m *machine, id string) {
	conn, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		s.f.record.line("client: %s could not be sent: %v", id, err)
		return
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(burstTimeout + time.Second))
	if _, err := fmt.Fprintf(conn, "POST /pay/2f HTTP/1.1\r\nHost: stands.example\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: key-a\r\nContent-Length: 0\r\n\r\n",
		id, burstTimeout.Milliseconds()); err != nil {
		s.f.record.line("client: %s could not be sent: %v", id, err)
		return
	}
	s.set(id, func(q *burstRequest) { q.sent = time.Now() })
	status := 0
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		status = response.StatusCode
	}
	s.set(id, func(q *burstRequest) { q.ended, q.status = time.Now(), status })
	s.f.record.line("client: %s ends with status %d (0: no complete answer), error: %v", id, status, err)
}

// judge counts the requests that were lost around the stop.
func (s *stopCase) judge(stopped time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, sent, statuses := 0, 0, make(map[int]int)
	for id, q := range s.requests {
		if q.sent.IsZero() {
			continue
		}
		sent++
		statuses[q.status]++
		if q.lost(stopped) {
			lost++
			s.f.record.line("lost: %s was sent %v after the stop, and its connection ended %v later without an answer; run by a backend server: %v",
				id, q.sent.Sub(stopped).Round(time.Millisecond), q.ended.Sub(q.sent).Round(time.Millisecond), !q.began.IsZero())
		}
	}
	s.f.record.line("%d requests were sent, answers by status (0: none): %v, lost: %d", sent, statuses, lost)
	switch {
	case sent == 0:
		return errors.New("no request could be sent")
	case lost > 0:
		return fmt.Errorf("%w: LOST: the connections of %d of %d requests ended without an answer", errBroken, lost, sent)
	}
	return nil
}

// lost reports whether the connection of a request ended without an answer and without an
// excuse: its deadline had not passed, and no backend server was at work on it in the last sixth
// of the grace period.
func (q *burstRequest) lost(stopped time.Time) bool {
	lastSixth := stopped.Add(gracePeriod * 5 / 6)
	atWork := !q.began.IsZero() && (q.done.IsZero() || q.done.After(lastSixth))
	took := q.ended.Sub(q.sent)
	return q.status == 0 && !atWork && took > lossSlack && took < burstTimeout
}
