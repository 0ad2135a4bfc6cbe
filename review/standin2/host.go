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

// configApply is the time within which a configuration must be in force (configApplyMs).
const configApply = 2 * time.Second

// hostServer is a backend server that counts what it runs.
type hostServer struct {
	mu   sync.Mutex
	runs map[string]int // by request
}

func (s *hostServer) serve(b *backend, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body) // there is none
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	b.machine.fleet.record.line("backend %s: runs %s for tenant %q", b.id, id, r.Header.Get("Tenant"))
	return b.answer(conn, r)
}

// runHost takes a key away by a new version of the configuration. With the disruption, that
// version also removes the only route of another host.
func runHost(f *fleet, trouble bool) error {
	server := &hostServer{runs: make(map[string]int)}
	hosts := []listener{
		{Host: "stands.example", Rules: []rule{newRule("r-pay", "non_idempotent", "/pay/", logs, 2000)}},
		{Host: "trail.example", Rules: []rule{newRule("r-read", "idempotent", "/read/", balance, 2000)}},
	}
	if err := f.start(newConfiguration(7, hosts, "key-a", "key-b"), server.serve); err != nil {
		return err
	}
	for i, m := range f.machines {
		if status := m.call(http.MethodPost, "stands.example", "/pay/2f", "before-"+strconv.Itoa(i+1), "key-a"); status != http.StatusOK {
			return fmt.Errorf("before the change, node %s answered with status %d", m.name, status)
		}
	}
	if trouble {
		hosts[1].Rules = []rule{}
	}
	if err := f.putConfig(newConfiguration(9, hosts, "key-b")); err != nil {
		return err
	}
	time.Sleep(5 * configApply)
	for i, m := range f.machines {
		m.call(http.MethodPost, "stands.example", "/pay/2f", "after-"+strconv.Itoa(i+1), "key-a")
		if trouble {
			m.call(http.MethodGet, "trail.example", "/read/2f", "removed-"+strconv.Itoa(i+1), "key-b")
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	stale := 0
	for i := range f.machines {
		stale += server.runs["after-"+strconv.Itoa(i+1)] + server.runs["removed-"+strconv.Itoa(i+1)]
	}
	f.record.line("%d requests with a dropped key or route have run", stale)
	switch {
	case server.runs["before-1"] == 0:
		return errors.New("no request has run")
	case stale > 0:
		return fmt.Errorf("%w: CONFIG: %d requests ran with a dropped key or route, sent %v after the acknowledgement", errBroken, stale, 5*configApply)
	}
	return nil
}
