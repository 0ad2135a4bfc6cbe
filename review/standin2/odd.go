package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// writerLead is how long the other writer sends before the backend server drains.
	writerLead = heartbeatInterval / 2
	// writerSeq is the number of the other writer's first heartbeat.
	writerSeq = 1000
	// drainingTime is how long the backend server goes on after its draining was acknowledged.
	drainingTime = 8 * time.Second
)

// runOdd lets a backend server drain, and the node acknowledges that. With the disruption,
// heartbeats of another writer that lack a field arrive beside those of the backend server.
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
func (s *leavingServer) drainBesideWriter(f *fleet, m *machine, trouble bool) error {
	if trouble {
		stop := m.app.beginOtherWriter()
		defer stop()
	}
	time.Sleep(writerLead)
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
	}
	if !m.app.announce("Deregister", m.app.nextSeq()) {
		return errors.New("the departure was not acknowledged")
	}
	m.app.close()
	f.record.line("backend %s: exits", m.app.id)
	return nil
}

// beginOtherWriter begins to send heartbeats without a zone, as often as the backend server
// itself, until the result is called.
func (b *backend) beginOtherWriter() (stop func()) {
	done := make(chan struct{})
	fields := b.fields()
	delete(fields, "zone")
	go func() {
		for seq := writerSeq; ; seq++ {
			fields["seq"] = seq
			b.machine.fleet.record.line("another writer: a heartbeat without zone, %v, acknowledged: %v", fields, b.post("Heartbeat", fields))
			select {
			case <-time.After(heartbeatInterval):
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
