//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stopAfter = 14 * time.Second // of traffic until the SIGTERM
	stopRate  = 25               // requests a second
	lossSlack = 200 * time.Millisecond
)

// pending is a request as its client saw it.
type pending struct {
	answer
	ended time.Time
}

// stop stops the node that takes the clients' requests while requests wait for a slot of
// their servers. The rule is broken if the connection of a request ends without an answer
// before the request's deadline, while no server is at work on it.
func stop(f *fleet) (bool, error) {
	f.zones = []string{"zone-a"}
	if err := f.configure(route{routeHost, "/leny950/", "non_idempotent", "lovo22d", 0}); err != nil {
		return false, err
	}
	var servers []*server
	for _, m := range []struct{ name, service string }{{"side-a-1", "huvo11a"}, {"side-a-2", "lovo22d"}, {"side-a-3", "lovo22d"}} {
		n, err := f.add(m.name, m.service)
		if err != nil {
			return false, err
		}
		servers = append(servers, n.serve(4, 400*time.Millisecond))
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	entry := f.nodes[0]
	var mu sync.Mutex
	var all []pending
	var group sync.WaitGroup
	misses := 0
	var terminated time.Time
	checked, started := time.Now(), time.Now()
	for time.Since(started) < stopAfter+5*time.Second && misses < 2 {
		if time.Since(checked) >= time.Second { // the platform's readiness check
			checked = time.Now()
			misses++
			if entry.ready() {
				misses = 0
			}
		}
		if f.trouble && terminated.IsZero() && time.Since(started) >= stopAfter {
			terminated = time.Now()
			f.record("%s: SIGTERM", entry.name)
			if err := entry.process.Process.Signal(syscall.SIGTERM); err != nil {
				return false, err
			}
		}
		group.Go(func() {
			a := entry.call("/leny950/2f", nil)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, pending{a, time.Now()})
		})
		time.Sleep(time.Second / stopRate)
	}
	f.record("clients send no more to %s", entry.name)
	ended := make(chan struct{})
	if f.trouble {
		go func() {
			_ = entry.process.Wait()
			f.record("%s: the process has ended", entry.name)
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(time.Until(terminated.Add(grace))):
			_ = entry.process.Process.Kill()
		}
	}
	group.Wait()
	arrived := make(map[string]bool)
	for _, s := range servers {
		for _, a := range s.arrived() {
			arrived[a.id] = true
		}
	}
	lost, served := 0, 0
	results := make(map[string]int)
	for _, a := range all {
		results[fmt.Sprint(a.status)]++
		if a.status == http.StatusOK {
			served++
		}
		if a.status != 0 {
			continue
		}
		waited := a.ended.Sub(a.sent)
		counts := !arrived[a.id] && waited > lossSlack && waited < callTimeout-lossSlack
		f.record("request %s sent %.3f s after the SIGTERM: its connection ended without an answer %.3f s after the SIGTERM; it had reached a server: %t; counts: %t",
			a.id, a.sent.Sub(terminated).Seconds(), a.ended.Sub(terminated).Seconds(), arrived[a.id], counts)
		if counts {
			lost++
		}
	}
	f.record("requests: %d, answers by status: %v", len(all), results)
	f.record("connections that ended without an answer before the deadline, with no server at work: %d", lost)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return lost > 0, nil
}
