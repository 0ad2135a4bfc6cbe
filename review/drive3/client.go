package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// attempt is a request that a client sends.
type attempt struct {
	method, host, path, key string
	body                    []byte
	timeout                 time.Duration
}

// result is what a client got. Status is 0 if the connection ended without an answer.
type result struct {
	id     string
	status int
	signed bool
	body   []byte
	err    error
}

var lastAttempt atomic.Uint64

// newAttemptID returns the id of a new attempt.
func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixMilli()&0xffffffff, lastAttempt.Add(1))
}

// client is the clients of a machine. They keep connections open.
type client struct {
	m         *machine
	transport *http.Transport
}

func newClient(m *machine) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{m: m, transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	}}
}

// send sends an attempt to the node of the machine.
func (c *client) send(a attempt) result { return c.sendAs(a, func(string) {}) }

// sendAs sends an attempt, and tells its id before that.
func (c *client) sendAs(a attempt, tell func(id string)) result {
	id := newAttemptID()
	tell(id)
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout+time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", c.m.ip, c.m.fleet.ports.outbound, a.path)
	r, err := http.NewRequestWithContext(ctx, a.method, url, bytes.NewReader(a.body))
	if err != nil {
		return result{id: id, err: err}
	}
	r.GetBody = nil // so that the library sends no request a second time
	r.Host = a.host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Timeout-Ms", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	r.Header.Set("User-Agent", "client")
	if a.key != "" {
		r.Header.Set("Credential", a.key)
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close() //nolint:errcheck // only read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{id: id, err: err}
	}
	return result{id: id, status: response.StatusCode, signed: response.Header.Get("Response-Signature") != "", body: body}
}
