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
	// maxLoadRate bounds the calls per second and maxLoadDuration the duration of one
	// load.
	maxLoadRate     = 20_000
	maxLoadDuration = 5 * time.Minute
	// maxInFlight bounds the calls of one client account that wait for an answer.
	// Calls beyond it are counted as not sent.
	maxInFlight = 4096
)

// loadCommand sends calls at fixed rates that do not depend on the answers (open
// loop).
type loadCommand struct {
	To       []string      `required:"" help:"Loopback addresses of the nodes' listeners for callers, IP:PORT. Calls are spread over them in turn."`
	Path     string        `required:"" help:"Path to call, /SERVICE/PATH."`
	Account  []string      `required:"" help:"Client account as NAME:KEY:RATE, with RATE in calls per second."`
	Duration time.Duration `default:"5s" help:"How long to send calls."`
	Timeout  time.Duration `default:"1s" help:"Timeout of a call."`
}

// account is the load of one client account with its results.
type account struct {
	name string
	key  string
	rate int // calls per second, from 1 to maxLoadRate

	mu      sync.Mutex
	results map[string]int  // number of calls by result
	latency []time.Duration // of served calls
}

// The results of a call, which are also the headings of the columns in the output.
const (
	resultServed  = "served"   // answered by the service, with a status below 500
	resultShed    = "shed"     // not run: overloaded, deadline passed or upstreams full
	resultRefused = "refused"  // not run for another reason
	resultUnknown = "unknown"  // may have run, or answered with a status of 500 or above
	resultBroken  = "broken"   // no complete answer was received
	resultUnsent  = "not sent" // for example because maxInFlight other calls were waiting
)

// Run sends the load and prints the results of each client account.
func (c *loadCommand) Run() error {
	accounts, err := c.parseAccounts()
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
	fmt.Printf("%-18s %8s %8s %8s %8s %8s %8s %8s %8s\n", "account", resultServed, resultShed, resultRefused, resultUnknown, resultBroken, resultUnsent, "p50", "p99")
	for _, a := range accounts {
		a.print()
	}
	return nil
}

// parseAccounts validates the flags and returns the client accounts to send for.
func (c *loadCommand) parseAccounts() ([]*account, error) {
	for _, to := range c.To {
		if a, err := netip.ParseAddrPort(to); err != nil || !a.Addr().IsLoopback() {
			return nil, errors.Errorf("--to=%q: want a loopback IP:PORT", to)
		}
	}
	if c.Duration > maxLoadDuration {
		return nil, errors.Errorf("--duration=%s: want at most %s", c.Duration, maxLoadDuration)
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
		accounts = append(accounts, &account{name: parts[0], key: parts[1], rate: rate, results: make(map[string]int)})
	}
	if sum > maxLoadRate {
		return nil, errors.Errorf("--account: sum of the rates is %d: want at most %d", sum, maxLoadRate)
	}
	return accounts, nil
}

// send sends the calls of one client account until the context ends. After a late
// tick it sends all calls that are due by then, so that the rate is kept.
func (c *loadCommand) send(ctx context.Context, transport *http.Transport, a *account) {
	var group sync.WaitGroup
	defer group.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(max(time.Second/time.Duration(a.rate), time.Millisecond))
	defer ticker.Stop()
	start, sent := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for due := int(time.Since(start).Seconds() * float64(a.rate)); sent < due; sent++ {
			to := c.To[sent%len(c.To)]
			select {
			case inFlight <- struct{}{}:
				group.Go(func() {
					defer func() { <-inFlight }()
					c.call(transport, a, to)
				})
			default:
				a.countResult(resultUnsent, 0)
			}
		}
	}
}

// call sends one call and counts its result.
func (c *loadCommand) call(transport *http.Transport, a *account, to string) {
	// The node enforces the timeout of the call. The client waits one second longer so
	// that it receives the node's answer.
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+time.Second)
	defer cancel()
	u := url.URL{Scheme: "http", Host: to, Path: c.Path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		a.countResult(resultUnsent, 0)
		return
	}
	request.Header.Set("Authorization", "Bearer "+a.key)
	request.Header.Set("Jackdaw-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	start := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.countResult(resultBroken, 0)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		a.countResult(resultBroken, 0)
		return
	}
	a.countResult(resultOf(response), time.Since(start))
}

// resultOf classifies an answered call.
func resultOf(response *http.Response) string {
	switch response.Header.Get("Jackdaw-Outcome") {
	case "":
		if response.StatusCode < http.StatusInternalServerError {
			return resultServed
		}
		return resultUnknown
	case "not-run":
		switch response.Header.Get("Jackdaw-Reason") {
		case "overloaded", "deadline passed", "upstreams full":
			return resultShed
		}
		return resultRefused
	}
	return resultUnknown
}

// countResult counts the result of a call, with its latency if the call was served.
func (a *account) countResult(result string, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results[result]++
	if result == resultServed {
		a.latency = append(a.latency, latency)
	}
}

// print prints the results as one line of the table, with the median and the 99th
// percentile of the latency.
func (a *account) print() {
	slices.Sort(a.latency)
	percentile := func(permille int) time.Duration {
		if len(a.latency) == 0 {
			return 0
		}
		return a.latency[(len(a.latency)-1)*permille/1000].Round(100 * time.Microsecond)
	}
	fmt.Printf("%-18s %8d %8d %8d %8d %8d %8d %8s %8s\n", a.name,
		a.results[resultServed], a.results[resultShed], a.results[resultRefused], a.results[resultUnknown], a.results[resultBroken], a.results[resultUnsent], percentile(500), percentile(990))
}
