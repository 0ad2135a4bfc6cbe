package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// work is what an upstream does with a request. It returns the status and the body of the
// answer, or false if the upstream gives none.
type work func(u *upstream, r *http.Request, body []byte) (status int, answer []byte, ok bool)

// upstream is a stand-in for the application upstream of a machine. Each start is a new
// incarnation with an id of its own.
type upstream struct {
	m    *machine
	work work // set before begin

	mu          sync.Mutex
	id          string
	incarnation int
	born        int64
	sequence    int
	state       string
	up          bool
	listener    net.Listener
	conns       map[net.Conn]bool
	stop        context.CancelFunc // ends the heartbeats of the incarnation
}

func newUpstream(m *machine) *upstream { return &upstream{m: m, work: m.fleet.work} }

func (u *upstream) address() string { return fmt.Sprintf("%s:%d", u.m.ip, u.m.fleet.ports.app) }

// begin starts an incarnation.
func (u *upstream) begin() error {
	l, err := net.Listen("tcp", u.address())
	if err != nil {
		return errors.Errorf("listen for an upstream: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	u.mu.Lock()
	u.incarnation++
	u.id = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(u.m.name, "sidecar-"), u.incarnation)
	u.born, u.sequence, u.state, u.up = time.Now().UnixMilli(), 0, "ready", true
	u.listener, u.conns, u.stop = l, make(map[net.Conn]bool), stop
	id := u.id
	u.mu.Unlock()
	u.m.fleet.record.line("upstream %s begins", id)
	server := &http.Server{
		Handler:           http.HandlerFunc(u.serve),
		ReadHeaderTimeout: 30 * time.Second,
		IdleTimeout:       10 * time.Second,
		ConnState:         u.track,
	}
	go func() { _ = server.Serve(l) }() // ends with the listener
	go u.beat(ctx)
	return nil
}

// track keeps the open connections.
func (u *upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// crash ends the incarnation as the kernel ends the connections of a process that dies, and
// begins the next one after a while. It reports false if the upstream is down already.
func (u *upstream) crash(why string, down time.Duration) bool {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return false
	}
	u.up = false
	u.stop()
	_ = u.listener.Close()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	id := u.id
	u.mu.Unlock()
	u.m.fleet.record.line("upstream %s crashes: %s", id, why)
	time.AfterFunc(down, func() {
		if u.m.fleet.closing.Load() {
			return
		}
		if err := u.begin(); err != nil {
			u.m.fleet.record.say("upstream of %s not started again: %v", u.m.name, err)
		}
	})
	return true
}

// beat sends the heartbeats of an incarnation.
func (u *upstream) beat(ctx context.Context) {
	for {
		u.sendBeat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendBeat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) sendBeat() bool {
	u.mu.Lock()
	u.sequence++
	id := u.id
	data, err := json.Marshal(map[string]any{
		"service": u.m.service, "address": u.address(), "zone": u.m.zone, "version": "v1", "slots": 60,
		"state": u.state, "coldLeftMs": 0, "seq": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	return err == nil && u.call("Instances.Heartbeat/"+id, data)
}

// call calls the node's control address.
func (u *upstream) call(path string, body []byte) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/jackdawbridge/%s", u.m.ip, u.m.fleet.ports.control, path)
	response, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve serves a request of the node.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id := u.id
	u.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer, ok := u.work(u, r, body)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Server-Load", "1,0,60")
	if status > 0 {
		w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", id, attempt, len(answer)))
	} else {
		w.Header().Set("Not-Executed", "1")
		status = -status
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}
