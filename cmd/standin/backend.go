package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// maxAnswer bounds the size of an answer in bytes.
	maxAnswer = 64 << 20
)

// backendCommand runs a stand-in for a backend server. Requests steer it by
// their query: sleep=MS, size=BYTES, and cut=1 for an answer that breaks half
// way. It writes what it received to standard output, one JSON line a request.
type backendCommand struct {
	Listen      string        `required:"" help:"Loopback address to serve at, IP:PORT."`
	Node        string        `required:"" help:"Loopback address of the own node, IP:PORT."`
	Service     string        `required:"" help:"Name of the service."`
	Slots       int           `default:"8" help:"Requests served at once; more wait."`
	Conns       int           `default:"64" help:"Connections that the node may open."`
	ServiceTime time.Duration `default:"5ms" help:"Time that a request takes."`
	Next        string        `help:"Call this SERVICE/path through the own node for each request."`
	Drain       time.Duration `default:"2s" help:"Time between the announcement of draining and the end."`
}

// Run serves until it is told to stop.
func (c *backendCommand) Run() error {
	for name, value := range map[string]string{"--listen": c.Listen, "--node": c.Node} {
		if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
			return errors.Errorf("%s=%q: want a loopback IP:PORT", name, value)
		}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Errorf("listen: %w", err)
	}
	b := &backendServer{command: c, slots: make(chan struct{}, max(c.Slots, 1)), log: json.NewEncoder(os.Stdout)}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		b.announce(ctx)
	}()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Errorf("serve: %w", err)
	case <-announced:
	}
	return b.drain(server)
}

// backendServer is the stand-in.
type backendServer struct {
	command *backendCommand
	slots   chan struct{}

	mu  sync.Mutex
	log *json.Encoder
}

// entry is a line of the access log.
type entry struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
	Body   int64       `json:"body"`
}

// announce tells the node about this server until the context ends.
func (b *backendServer) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		b.tell(false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *backendServer) tell(draining bool) {
	c := b.command
	data, err := json.Marshal(map[string]any{
		"service": c.Service, "address": c.Listen, "slots": c.Slots, "conns": c.Conns, "draining": draining,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.Node+"/jackdaw/backend", bytes.NewReader(data))
	if err != nil {
		return
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: announcement not taken:", err)
		return
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		fmt.Fprintln(os.Stderr, "standin: announcement refused:", answer.Status)
	}
}

// drain announces the end, waits until no new work can come and stops.
func (b *backendServer) drain(server *http.Server) error {
	b.tell(true)
	time.Sleep(b.command.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Errorf("stop: %w", err)
	}
	return nil
}

// ServeHTTP serves a request in one of the slots.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, _ := io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	err := b.log.Encode(entry{Method: r.Method, URL: r.URL.String(), Header: r.Header, Body: size})
	b.mu.Unlock()
	if err != nil {
		http.Error(w, "access log: "+err.Error(), http.StatusInternalServerError)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if !b.work(r) {
		return
	}
	if b.command.Next != "" {
		if err := b.next(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	b.answer(w, r)
}

// work takes the time of a request and reports whether its caller still waits.
func (b *backendServer) work(r *http.Request) bool {
	span := b.command.ServiceTime
	if ms, err := strconv.Atoi(r.URL.Query().Get("sleep")); err == nil {
		span = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// next calls the next service on behalf of a request.
func (b *backendServer) next(r *http.Request) error {
	url := "http://" + b.command.Node + "/" + strings.TrimPrefix(b.command.Next, "/")
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return errors.Errorf("next call: %w", err)
	}
	request.Header.Set("Jackdaw-Token", r.Header.Get("Jackdaw-Token"))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Errorf("next call: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return errors.Errorf("next answer: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("next call: %s %s", answer.Status, answer.Header.Get("Jackdaw-Reason"))
	}
	return nil
}

// answer writes the answer, or half of it.
func (b *backendServer) answer(w http.ResponseWriter, r *http.Request) {
	text := "served by " + b.command.Service + "\n"
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 1 || size > maxAnswer {
		size = len(text)
	}
	body := bytes.Repeat([]byte(text), size/len(text)+1)[:size]
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if r.URL.Query().Get("cut") == "" {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:size/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
