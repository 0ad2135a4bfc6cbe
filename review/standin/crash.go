//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// crashValue is the value of the query field "stand" that crashes each server which begins
// to run the request.
const crashValue = "0"

const (
	crashEach  = 3 * time.Second // how often the request comes again
	crashTimes = 12
)

// crash sends a request that crashes each server which begins to run it, again and again, at
// all nodes in turn, while other requests of the same tenant and the same path, with other
// values in the query, are served. The rule is broken if the request reaches servers more
// than three times, sent later than the stable window after it has crashed the third.
func crash(f *fleet) (bool, error) {
	f.zones = []string{"zone-a"}
	if err := f.configure(route{routeHost, "/leny950/", "non_idempotent", "lovo22d", 0}); err != nil {
		return false, err
	}
	var servers []*server
	for i, service := range []string{"huvo11a", "lovo22d", "lovo22d", "lovo22d", "lovo22d"} {
		n, err := f.add(fmt.Sprintf("side-a-%d", i+1), service)
		if err != nil {
			return false, err
		}
		servers = append(servers, n.serve(8, 20*time.Millisecond))
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	answers := make(chan []answer)
	go func() { answers <- f.calls(f.nodes[0], "/leny950/2f?stand=17", stop) }()
	time.Sleep(2 * time.Second)
	sent := make(map[string]time.Time)
	for i := range crashTimes {
		started := time.Now()
		if f.trouble {
			n := f.nodes[i%len(f.nodes)]
			a := n.call("/leny950/2f?stand="+crashValue, nil)
			f.record("request %s, which crashes servers, sent to %s: answer %d", a.id, n.name, a.status)
			sent[a.id] = a.sent
		}
		time.Sleep(time.Until(started.Add(crashEach)))
	}
	close(stop)
	results := make(map[int]int)
	for _, a := range <-answers {
		results[a.status]++
	}
	f.record("other requests by status of the answer: %v", results)
	if results[http.StatusOK] == 0 {
		return false, errors.New("no request was served")
	}
	return f.judgeCrashes(servers, sent), nil
}

// judgeCrashes reports whether a request that crashes servers reached them too often.
func (f *fleet) judgeCrashes(servers []*server, sent map[string]time.Time) bool {
	var reached []arrival
	for _, s := range servers {
		for _, a := range s.arrived() {
			if _, ok := sent[a.id]; ok {
				reached = append(reached, a)
			}
		}
	}
	slices.SortFunc(reached, func(a, b arrival) int { return a.at.Compare(b.at) })
	late, retries := 0, make(map[string]bool)
	for i, a := range reached {
		if i >= 3 && sent[a.id].After(reached[2].at.Add(stableWindow)) {
			late++
			retries[a.id] = true
		}
	}
	f.record("crashed servers: %d; of these by requests that were sent later than %s after the third crash: %d, in %d retries", len(reached), stableWindow, late, len(retries))
	return len(retries) > 3
}
