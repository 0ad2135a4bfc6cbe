//go:build review

package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// lateHeartbeat lets the server beside a node leave while its last heartbeat is still on
// its way, kills the node's process, and delivers that heartbeat to the next process.
func lateHeartbeat(f *fleet) (bool, error) {
	return f.departure(func(s *server) (time.Time, error) {
		acknowledged, err := f.leave(s)
		if err != nil || !f.trouble {
			return acknowledged, err
		}
		time.Sleep(200 * time.Millisecond)
		return acknowledged, s.node.kill()
	})
}

// earlyDeparture kills the process of a node, lets the server beside it leave before its
// next heartbeat, kills the next process too, and delivers a heartbeat from before the
// departure to the one after it.
func earlyDeparture(f *fleet) (bool, error) {
	return f.departure(func(s *server) (time.Time, error) {
		if f.trouble {
			if err := s.node.kill(); err != nil {
				return time.Time{}, err
			}
		}
		acknowledged, err := f.leave(s)
		if err != nil || !f.trouble {
			return acknowledged, err
		}
		time.Sleep(200 * time.Millisecond)
		return acknowledged, s.node.kill()
	})
}

// outageDeparture lets the server beside a node leave while the platform does not answer,
// kills the node's process, and delivers a heartbeat from before the departure to the next
// one, once the platform answers again.
func outageDeparture(f *fleet) (bool, error) {
	return f.departure(func(s *server) (time.Time, error) {
		if f.trouble {
			if err := f.control(`{"down":true}`); err != nil {
				return time.Time{}, err
			}
			time.AfterFunc(outageTime, func() { _ = f.control(`{"down":false}`) })
		}
		acknowledged, err := f.leave(s)
		if err != nil || !f.trouble {
			return acknowledged, err
		}
		time.Sleep(200 * time.Millisecond)
		return acknowledged, s.node.kill()
	})
}

// outageTime is how long the platform does not answer.
const outageTime = 2500 * time.Millisecond

// control sets the faults of the platform.
func (f *fleet) control(body string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+"/control", strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	f.record("platform: %s", body)
	return response.Body.Close()
}

// departure starts a service with two servers, lets one of them leave, and delivers one of
// its heartbeats from before the departure late. The rule is broken if a request reaches the
// server later than the drain period after its departure was acknowledged. The function
// leaves returns when that was.
func (f *fleet) departure(leaves func(s *server) (time.Time, error)) (bool, error) {
	f.zones = []string{"zone-a"}
	if err := f.configure(route{routeHost, "/leny950/", "non_idempotent", "lovo22d", 0}); err != nil {
		return false, err
	}
	var nodes []*node
	for _, m := range []struct{ name, service string }{{"side-a-1", "huvo11a"}, {"side-a-2", "lovo22d"}, {"side-a-3", "lovo22d"}} {
		n, err := f.add(m.name, m.service)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	entry, leaving := nodes[0], nodes[1]
	entry.serve(8, 10*time.Millisecond)
	s := leaving.serve(8, 100*time.Millisecond)
	nodes[2].serve(8, 100*time.Millisecond)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	answers := make(chan []answer)
	go func() { answers <- f.calls(entry, "/leny950/2f", stop) }()
	time.Sleep(2 * time.Second)

	late, sentAt := s.heartbeat(), time.Now() // on its way for lateBy
	f.record("%s: sends heartbeat %v, which is delayed on its way", s.id, late.body["seq"])
	time.Sleep(100 * time.Millisecond)
	acknowledged, err := leaves(s)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	ok, err := s.send(late)
	f.record("%s: heartbeat %v arrives %.3f s after it was sent: acknowledged %t, error %v", s.id, late.body["seq"], time.Since(sentAt).Seconds(), ok, err)
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	close(stop)
	return f.lateArrivals(s, acknowledged, <-answers)
}

const (
	lateBy   = 4 * time.Second // how late the heartbeat arrives
	servesOn = 9 * time.Second // how long the server serves after the acknowledgement
)

// lateArrivals records the requests that have reached a server later than the drain period
// after its departure was acknowledged, and reports whether some came from machines in touch.
func (f *fleet) lateArrivals(s *server, acknowledged time.Time, answers []answer) (bool, error) {
	sent := make(map[string]time.Time)
	served := 0
	for _, a := range answers {
		sent[a.id] = a.sent
		if a.status == http.StatusOK {
			served++
		}
	}
	inTouch := s.node.since.Add(stableWindow)
	arrivals, broken := 0, 0
	for _, a := range s.arrived() {
		arrivals++
		if a.at.Before(acknowledged.Add(drainPeriod)) {
			continue
		}
		counts := sent[a.id].After(inTouch)
		f.record("request %s reached %s %.3f s after the acknowledgement, sent by machines in touch: %t", a.id, s.id, a.at.Sub(acknowledged).Seconds(), counts)
		if counts {
			broken++
		}
	}
	f.record("requests: %d sent, %d served, %d reached %s", len(sent), served, arrivals, s.id)
	f.record("reached %s later than %s after the acknowledgement by way of machines in touch: %d", s.id, drainPeriod, broken)
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return broken > 0, nil
}

// leave sends the departure of a server until it is acknowledged, and returns when it was.
func (f *fleet) leave(s *server) (time.Time, error) {
	m := s.departure()
	for range 50 {
		ok, err := s.send(m)
		f.record("%s: sends its departure: acknowledged %t, error %v", s.id, ok, err)
		if ok {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("the departure was not acknowledged")
}

// calls sends 60 requests a second to a node until stop is closed.
func (f *fleet) calls(n *node, path string, stop <-chan struct{}) []answer {
	results := make(chan answer, 4096)
	count := 0
	for ticker := time.NewTicker(time.Second / 60); ; count++ {
		select {
		case <-stop:
			ticker.Stop()
			var all []answer
			for range count {
				all = append(all, <-results)
			}
			return all
		case <-ticker.C:
			go func() { results <- n.call(path, nil) }()
		}
	}
}
