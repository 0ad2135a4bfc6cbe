package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
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
	// maxAnswerBytes bounds the size of an answer that a request may demand in its
	// query.
	maxAnswerBytes = 64 << 20
)

// backendCommand runs a stand-in for a backend server. The query of a request
// controls how it is served: sleep=MS sets the service time, size=BYTES the size of
// the answer, and cut=1 closes the connection after half of the answer. With early=BYTES
// the server sends that much of the answer at once, as one of unknown length if unframed=1
// is set and with the status of status=CODE, and reads the request's body then. The server
// writes one line of JSON to standard output for each request that it has read.
type backendCommand struct {
	Listen      string        `required:"" help:"Loopback address to listen on, IP:PORT."`
	Node        string        `required:"" help:"Loopback address of the node's listener for its backend server, IP:PORT."`
	Service     string        `required:"" help:"Name of the service."`
	Slots       int           `default:"8" help:"Requests served concurrently. Further requests wait."`
	Conns       int           `default:"64" help:"Maximum number of connections that the node may open."`
	ServiceTime time.Duration `default:"5ms" help:"Service time of a request whose query does not set one."`
	Next        string        `help:"SERVICE/PATH to call through the node for each request."`
	Drain       time.Duration `default:"2s" help:"Time between the announcement of draining and the shutdown."`
}

// Run serves requests until SIGTERM or SIGINT, and then drains.
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
	b := &backendServer{command: c, slots: make(chan struct{}, max(c.Slots, 1)), accessLog: json.NewEncoder(os.Stdout)}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announcingStopped := make(chan struct{})
	go func() {
		defer close(announcingStopped)
		b.announce(ctx)
	}()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Errorf("serve: %w", err)
	case <-announcingStopped:
	}
	return b.drain(server)
}

// backendServer is a stand-in for a backend server.
type backendServer struct {
	command *backendCommand
	slots   chan struct{} // one element for each request in service

	mu        sync.Mutex
	accessLog *json.Encoder
}

// accessLogEntry is one line of the access log.
type accessLogEntry struct {
	Method string      `json:"method"`
	URL    string      `json:"url"`
	Header http.Header `json:"header"`
	Sum    uint32      `json:"sum"`   // CRC-32 (IEEE) of what has arrived of the body
	Whole  bool        `json:"whole"` // the body ended in order
	Body   int64       `json:"body"`  // bytes of the body that have arrived
}

// announce announces the server to its node every announceInterval until the
// context ends.
func (b *backendServer) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		b.sendAnnouncement(false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendAnnouncement announces the server to its node once. Failures are only logged,
// because the next announcement follows soon.
func (b *backendServer) sendAnnouncement(draining bool) {
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: announcement not answered by the node:", err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		fmt.Fprintln(os.Stderr, "standin: announcement refused by the node:", response.Status)
	}
}

// drain announces that the server drains, waits for the time of --drain, within
// which the node must stop sending requests, and shuts the server down.
func (b *backendServer) drain(server *http.Server) error {
	b.sendAnnouncement(true)
	time.Sleep(b.command.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down: %w", err)
	}
	return nil
}

// ServeHTTP logs a request and serves it as soon as a slot is free.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if early, err := strconv.Atoi(r.URL.Query().Get("early")); err == nil {
		b.answerEarly(w, r, early)
		return
	}
	if err := b.readRequest(r); err != nil {
		http.Error(w, "write access log: "+err.Error(), http.StatusInternalServerError)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if !b.simulateWork(r) {
		return
	}
	if b.command.Next != "" {
		if err := b.callNext(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	b.writeAnswer(w, r)
}

// readRequest reads the body of a request and logs the request.
func (b *backendServer) readRequest(r *http.Request) error {
	sum := crc32.NewIEEE()
	size, bodyErr := io.Copy(sum, r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accessLog.Encode(accessLogEntry{
		Method: r.Method, URL: r.URL.String(), Header: r.Header, Sum: sum.Sum32(), Whole: bodyErr == nil, Body: size,
	})
}

// answerEarly sends the first bytes of the answer, reads the request's body and sends the
// rest of the answer.
func (b *backendServer) answerEarly(w http.ResponseWriter, r *http.Request, first int) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	query := r.URL.Query()
	body := b.answerBody(r)
	if query.Get("unframed") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		w.WriteHeader(status)
	}
	first = min(first, len(body))
	_, _ = w.Write(body[:first])
	_ = control.Flush()
	if err := b.readRequest(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[first:])
}

// simulateWork waits for the service time of a request. It returns false if the
// request is cancelled first.
func (b *backendServer) simulateWork(r *http.Request) bool {
	serviceTime := b.command.ServiceTime
	if ms, err := strconv.Atoi(r.URL.Query().Get("sleep")); err == nil {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// callNext calls the service named by --next on behalf of a request, with the
// request's token.
func (b *backendServer) callNext(r *http.Request) error {
	url := "http://" + b.command.Node + "/" + strings.TrimPrefix(b.command.Next, "/")
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return errors.Errorf("next call: %w", err)
	}
	request.Header.Set("Jackdaw-Token", r.Header.Get("Jackdaw-Token"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Errorf("next call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Errorf("read answer of next call: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("next call: answered with status %s, reason %q", response.Status, response.Header.Get("Jackdaw-Reason"))
	}
	return nil
}

// answerBody returns the body of the answer to a request.
func (b *backendServer) answerBody(r *http.Request) []byte {
	text := "served by " + b.command.Service + "\n"
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 1 || size > maxAnswerBytes {
		size = len(text)
	}
	return bytes.Repeat([]byte(text), size/len(text)+1)[:size]
}

// writeAnswer writes the answer to a request. With cut in the query it writes half
// of the answer and closes the connection.
func (b *backendServer) writeAnswer(w http.ResponseWriter, r *http.Request) {
	body := b.answerBody(r)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.URL.Query().Get("cut") == "" {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
