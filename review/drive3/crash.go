package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashPath is the path of the request that crashes each upstream that begins to run it.
	crashPath = "/balance/stand-17"
	// downTime is how long an upstream is away after a crash.
	downTime = 3 * time.Second
	// crashWork is how long an upstream works on the request before it crashes.
	crashWork = 20 * time.Millisecond
	// maxLateRetries is the number of retries that may reach upstreams later than stableWindow
	// after the request has crashed the third one.
	maxLateRetries = 3
	// rollGap is the time between two machines of a restart in turn.
	rollGap = 2 * time.Second
	// resends is how often the request comes again where its query differs, and resendPause the
	// time between.
	resends     = 12
	resendPause = 3 * time.Second
	// clientKey is the key of the clients' tenant.
	clientKey = "6wsjnbanfqasnmgkcuyj"
)

// arrival is an arrival of the crashing request at an upstream.
type arrival struct {
	at      time.Time
	inTouch bool // the machine that took the request and that of the upstream were in touch
}

// crashes counts what the crashing request does.
type crashes struct {
	mu       sync.Mutex
	arrivals []arrival
	crashed  []time.Time
	entries  map[string]*machine // machines that took the attempts, by id

	query   string // of the crashing request
	next    int    // machine that gets the crashing request next
	stop    chan struct{}
	traffic sync.WaitGroup
}

// late returns the arrivals that count.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.arrivals {
		if len(c.crashed) >= 3 && a.at.After(c.crashed[2].Add(stableWindow)) && a.inTouch {
			n++
		}
	}
	return n
}

// fleetWith starts a fleet for a case of the crashing request, with ordinary traffic.
func (c *crashes) fleetWith(f *fleet) error {
	f.work = func(u *upstream, r *http.Request, _ []byte) (int, []byte, bool) {
		if r.URL.Path == crashPath {
			return c.run(u, r)
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		return http.StatusOK, []byte("balance of " + r.URL.Path), true
	}
	counts := make(map[string]int)
	for i, service := range []string{"balancedesk", "balancedesk", "balancedesk", "balancedesk", "ridegate", "ridegate"} {
		zone := f.zones[i%len(f.zones)]
		counts[zone]++
		f.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, counts[zone]), zone, service)
	}
	f.configure(7, []route{
		{host: "balance.example", prefix: "/balance/", kind: "idempotent", service: "balancedesk", attempts: 2, timeoutMs: 5000, priority: 2},
		{host: "ride.example", prefix: "/ride/", kind: "non_idempotent", service: "ridegate", attempts: 2, timeoutMs: 5000},
	}, map[string][]string{"pulo780": {clientKey}})
	if err := f.startAll(); err != nil {
		return err
	}
	c.stop = make(chan struct{})
	for _, m := range f.machines {
		c.traffic.Go(func() { c.ordinary(newClient(m)) })
	}
	return nil
}

// judge ends the traffic and returns the exit code of the case.
func (c *crashes) judge(record *recorder) int {
	close(c.stop)
	c.traffic.Wait()
	late := c.late()
	record.say("the request has crashed %d upstreams; %d retries reached upstreams later than %s after the third, sent by machines in touch; %d are allowed",
		c.crashCount(), late, stableWindow, maxLateRetries)
	if late > maxLateRetries {
		return ruleBroken
	}
	return ruleHeld
}

// crashAfterRestarts sends a request that crashes each upstream that runs it. Then, three times,
// all machines are stopped and started in turn, and the request comes again.
func crashAfterRestarts(record *recorder, trouble bool) (int, error) {
	f, err := newFleet(record, []string{"zona-uno", "zona-due"})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	c := &crashes{entries: make(map[string]*machine)}
	if err := c.fleetWith(f); err != nil {
		return notRun, err
	}
	time.Sleep(stableWindow + time.Second)
	c.resend(f, 4, time.Second)
	for range 3 {
		record.say("the request has crashed %d upstreams; the machines are stopped and started in turn: %t", c.crashCount(), trouble)
		for _, m := range f.machines {
			if trouble {
				m.term()
			}
			time.Sleep(rollGap)
		}
		time.Sleep(graceTime + stableWindow)
		c.resend(f, 4, time.Second)
	}
	return c.judge(record), nil
}

// crashWithQueries sends a request that crashes each upstream that runs it again and again, with
// the same path, caller and body, and with another query each time.
func crashWithQueries(record *recorder, trouble bool) (int, error) {
	f, err := newFleet(record, []string{"zona-uno", "zona-due"})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	c := &crashes{entries: make(map[string]*machine)}
	if err := c.fleetWith(f); err != nil {
		return notRun, err
	}
	time.Sleep(stableWindow + time.Second)
	for i := range resends {
		c.query = "?day=1"
		if trouble {
			c.query = fmt.Sprintf("?day=%d", i+1)
		}
		c.resend(f, 1, resendPause)
	}
	return c.judge(record), nil
}

// run runs the crashing request at an upstream.
func (c *crashes) run(u *upstream, r *http.Request) (int, []byte, bool) {
	id := r.Header.Get("Attempt-Id")
	now := time.Now()
	c.mu.Lock()
	entry := c.entries[id]
	a := arrival{at: now, inTouch: entry != nil && entry.inTouch() && u.m.inTouch()}
	c.arrivals = append(c.arrivals, a)
	c.mu.Unlock()
	u.m.fleet.record.line("crashing request %s, taken by %s, reaches the upstream of %s, in touch: %t", id, entry.name, u.m.name, a.inTouch)
	time.Sleep(crashWork)
	if u.crash("it runs "+id, downTime) {
		c.mu.Lock()
		c.crashed = append(c.crashed, time.Now())
		c.mu.Unlock()
	}
	return 0, nil, false
}

func (c *crashes) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashed)
}

// ordinary sends ordinary requests from the clients of a machine.
func (c *crashes) ordinary(clients *client) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		sent.Go(func() {
			a := attempt{method: http.MethodGet, host: "balance.example", path: "/balance/" + newAttemptID(), key: clientKey, timeout: 5 * time.Second}
			if i%3 == 0 {
				a.method, a.host, a.path, a.body = http.MethodPost, "ride.example", "/ride/x", []byte(strings.Repeat("r", 400))
			}
			got := clients.send(a)
			clients.m.fleet.record.line("%s %s at %s: %d", a.method, got.id, clients.m.name, got.status)
		})
	}
}

// resend sends the crashing request some times, at ready machines in turn.
func (c *crashes) resend(f *fleet, times int, pause time.Duration) {
	for range times {
		m := f.machines[c.next%len(f.machines)]
		c.next++
		if m.ready() {
			c.sendCrashing(m)
		}
		time.Sleep(pause)
	}
}

// sendCrashing sends the crashing request to a machine.
func (c *crashes) sendCrashing(m *machine) {
	clients := newClient(m)
	got := clients.sendAs(attempt{method: http.MethodGet, host: "balance.example", path: crashPath + c.query, key: clientKey, timeout: 3 * time.Second}, func(id string) {
		c.mu.Lock()
		c.entries[id] = m
		c.mu.Unlock()
	})
	clients.transport.CloseIdleConnections()
	m.fleet.record.line("crashing request %s at %s: status %d, body %q", got.id, m.name, got.status, got.body)
}
