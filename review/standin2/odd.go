package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// oddAfter is how long after a heartbeat of the backend server the odd one arrives.
	oddAfter = 50 * time.Millisecond
	// drainingTime is how long the backend server goes on after its draining was acknowledged.
	drainingTime = 8 * time.Second
)

// runOdd lets a backend server drain, and the node acknowledges that. With the disruption,
// heartbeats of another writer that lack a field arrive after the drain period.
func runOdd(f *fleet, trouble bool) error {
	s := &leavingServer{}
	hosts := []listener{{Host: "stands.example", Rules: []rule{newRule("r-pay", "non_idempotent", "/pay/", logs, 2000)}}}
	if err := f.start(newConfiguration(7, hosts, "key-a"), s.serve); err != nil {
		return err
	}
	stop := f.callAll(f.machineOf(zoneA, balance), f.machineOf(zoneB, balance))
	time.Sleep(touchTime)
	err := s.drainBesideWriter(f, f.machineOf(zoneA, logs), trouble)
	stop()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.record.line("%d requests have run, %d of them at the backend server that drained, later than the drain period", s.runs, s.late)
	switch {
	case s.runs == 0:
		return errors.New("no request has run")
	case s.late > 0:
		return fmt.Errorf("%w: DRAIN: %d requests reached a backend server later than %v after its draining was acknowledged", errBroken, s.late, drainPeriod)
	}
	return nil
}

// drainBesideWriter lets the backend server of a machine drain. All of its heartbeats say so.
// The other writer sends as often as the backend server itself.
func (s *leavingServer) drainBesideWriter(f *fleet, m *machine, trouble bool) error {
	m.app.stopBeats()
	if err := m.app.drain(); err != nil {
		return err
	}
	left := time.Now()
	s.mu.Lock()
	s.leaving, s.left, s.inTouch = m, left, left
	s.mu.Unlock()
	f.record.line("backend %s: its draining is acknowledged", m.app.id)
	for time.Since(left) < drainingTime {
		time.Sleep(heartbeatInterval)
		seq := m.app.nextSeq()
		f.record.line("backend %s: heartbeat %d, draining, acknowledged: %v", m.app.id, seq, m.app.announce("Heartbeat", seq))
		if !trouble || time.Since(left) < drainPeriod {
			continue
		}
		time.Sleep(oddAfter)
		odd := m.app.fields()
		odd["state"] = "ready"
		f.record.line("another writer: heartbeat without seq, %v, acknowledged: %v", odd, m.app.post("Heartbeat", odd))
	}
	if !m.app.announce("Deregister", m.app.nextSeq()) {
		return errors.New("the departure was not acknowledged")
	}
	m.app.close()
	f.record.line("backend %s: exits", m.app.id)
	return nil
}
