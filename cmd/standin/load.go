package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLoad bounds what one load may send: calls a second and seconds.
	maxLoad     = 20_000
	maxLoadTime = 5 * time.Minute
	// maxInFlight bounds the calls that wait for an answer. Calls above it are
	// counted as not sent.
	maxInFlight = 4096
)

// loadCommand sends calls at fixed rates, whatever becomes of them.
type loadCommand struct {
	To       []string      `required:"" help:"Nodes to call, IP:PORT on loopback."`
	Path     string        `required:"" help:"Path to call, /SERVICE/rest."`
	Account  []string      `required:"" help:"Client account as NAME:KEY:RATE, RATE in calls a second."`
	Duration time.Duration `default:"5s" help:"Time to send."`
	Timeout  time.Duration `default:"1s" help:"Time that a call may take."`
}

// account is the load of one client account and what became of it.
type account struct {
	name string
	key  string
	rate int // calls a second, from 1 to maxLoad

	mu      sync.Mutex
	ends    map[string]int
	latency []time.Duration // of served calls
}

// The ends of a call.
const (
	endServed  = "served"
	endShed    = "shed"
	endRefused = "refused"
	endUnknown = "unknown"
	endBroken  = "broken"
	endUnsent  = "not sent"
)

// Run sends the load and prints a line for each client account.
func (c *loadCommand) Run() error {
	accounts, err := c.check()
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	var group sync.WaitGroup
	for _, a := range accounts {
		group.Go(func() { c.send(ctx, transport, a) })
	}
	group.Wait()
	fmt.Printf("%-18s %8s %8s %8s %8s %8s %8s %8s %8s\n", "account", endServed, endShed, endRefused, endUnknown, endBroken, endUnsent, "p50", "p99")
	for _, a := range accounts {
		a.print()
	}
	return nil
}

func (c *loadCommand) check() ([]*account, error) {
	for _, to := range c.To {
		if a, err := netip.ParseAddrPort(to); err != nil || !a.Addr().IsLoopback() {
			return nil, errors.Errorf("--to=%q: want a loopback IP:PORT", to)
		}
	}
	if c.Duration > maxLoadTime {
		return nil, errors.Errorf("--duration=%s: want at most %s", c.Duration, maxLoadTime)
	}
	var accounts []*account
	sum := 0
	for _, text := range c.Account {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return nil, errors.Errorf("--account=%q: want NAME:KEY:RATE", text)
		}
		rate, err := strconv.Atoi(parts[2])
		if err != nil || rate < 1 {
			return nil, errors.Errorf("--account=%q: want a rate above 0", text)
		}
		sum += rate
		accounts = append(accounts, &account{name: parts[0], key: parts[1], rate: rate, ends: make(map[string]int)})
	}
	if sum > maxLoad {
		return nil, errors.Errorf("--account: sum of the rates is %d: want at most %d", sum, maxLoad)
	}
	return accounts, nil
}

// send sends the calls of one client account. A late tick sends what is due.
func (c *loadCommand) send(ctx context.Context, transport *http.Transport, a *account) {
	var group sync.WaitGroup
	defer group.Wait()
	room := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(max(time.Second/time.Duration(a.rate), time.Millisecond))
	defer ticker.Stop()
	began, sent := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for due := int(time.Since(began).Seconds() * float64(a.rate)); sent < due; sent++ {
			to := c.To[sent%len(c.To)]
			select {
			case room <- struct{}{}:
				group.Go(func() {
					defer func() { <-room }()
					c.call(transport, a, to)
				})
			default:
				a.count(endUnsent, 0)
			}
		}
	}
}

// call sends one call and counts its end.
func (c *loadCommand) call(transport *http.Transport, a *account, to string) {
	// The node ends the call in time; the client waits a little longer for it.
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+time.Second)
	defer cancel()
	u := url.URL{Scheme: "http", Host: to, Path: c.Path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		a.count(endUnsent, 0)
		return
	}
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set("Jackdaw-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	began := time.Now()
	answer, err := transport.RoundTrip(request)
	if err != nil {
		a.count(endBroken, 0)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		a.count(endBroken, 0)
		return
	}
	a.count(endOf(answer), time.Since(began))
}

// endOf returns the end of an answered call.
func endOf(answer *http.Response) string {
	switch answer.Header.Get("Jackdaw-Outcome") {
	case "":
		if answer.StatusCode < http.StatusInternalServerError {
			return endServed
		}
		return endUnknown
	case "not-run":
		switch answer.Header.Get("Jackdaw-Reason") {
		case "overloaded", "deadline passed", "upstreams full":
			return endShed
		}
		return endRefused
	}
	return endUnknown
}

func (a *account) count(end string, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends[end]++
	if end == endServed {
		a.latency = append(a.latency, latency)
	}
}

func (a *account) print() {
	slices.Sort(a.latency)
	at := func(permille int) time.Duration {
		if len(a.latency) == 0 {
			return 0
		}
		return a.latency[(len(a.latency)-1)*permille/1000].Round(100 * time.Microsecond)
	}
	fmt.Printf("%-18s %8d %8d %8d %8d %8d %8d %8s %8s\n", a.name,
		a.ends[endServed], a.ends[endShed], a.ends[endRefused], a.ends[endUnknown], a.ends[endBroken], a.ends[endUnsent], at(500), at(990))
}
