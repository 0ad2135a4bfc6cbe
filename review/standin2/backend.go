package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// announceTimeout is the time within which an acknowledgement must arrive.
	announceTimeout = time.Second
	// usualSlots is the number of requests that a backend server serves concurrently.
	usualSlots = 33
)

// handler serves one request on a connection of a backend server. It reads the body and writes
// the whole answer. It reports whether the connection is kept.
type handler func(b *backend, conn net.Conn, r *http.Request) bool

// backend is a stand-in for a backend server.
type backend struct {
	machine  *machine
	listener net.Listener
	serve    handler
	id       string
	born     int64
	slots    int

	mu     sync.Mutex
	seq    int
	state  string // that it announces
	silent bool   // sends no heartbeats
	closed bool
	conns  map[net.Conn]struct{}
}

func newBackend(m *machine, serve handler) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{machine: m, listener: listener, serve: serve, id: "i-" + m.name, state: "ready", slots: usualSlots, born: time.Now().UnixMilli(), conns: make(map[net.Conn]struct{})}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.serveConn(conn)
	}
}

// serveConn serves the requests of a connection, one after the other.
func (b *backend) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id); err != nil {
				return
			}
			continue
		}
		if expected := request.Header.Get("Target-Instance"); expected != "" && expected != b.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
				request.Header.Get("Attempt-Id"), b.id) // the connection is closed anyway
			return
		}
		if !b.serve(b, conn, request) {
			return
		}
	}
}

// answer writes an answer with a short body.
func (b *backend) answer(conn net.Conn, r *http.Request) bool {
	_, err := io.WriteString(conn, b.head(r, http.StatusOK, 2)+"ok")
	return err == nil
}

// head returns the head of an answer to a request, signed by the backend server.
func (b *backend) head(r *http.Request, status, length int) string {
	id := r.Header.Get("Attempt-Id")
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, b.id, id, b.slots, length)
}

// beat sends heartbeats until the backend server is closed. The node may not listen yet when the
// first ones are sent, so these follow each other soon.
func (b *backend) beat() {
	go func() {
		for n := 0; ; n++ {
			b.mu.Lock()
			closed, silent := b.closed, b.silent
			b.mu.Unlock()
			if closed {
				return
			}
			if !silent {
				b.announce("Heartbeat", b.nextSeq())
			}
			if n < 4 {
				time.Sleep(heartbeatInterval / 4)
			} else {
				time.Sleep(heartbeatInterval)
			}
		}
	}()
}

// nextSeq returns the number of the next announcement.
func (b *backend) nextSeq() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return b.seq
}

// announce sends a heartbeat or a departure, and reports whether it was acknowledged.
func (b *backend) announce(call string, seq int) bool {
	fields := b.fields()
	fields["seq"] = seq
	return b.post(call, fields)
}

// fields returns what the backend server says of itself, without the number of the announcement.
func (b *backend) fields() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{
		"service": b.machine.service, "address": b.listener.Addr().String(), "zone": b.machine.zone, "version": "v1",
		"slots": b.slots, "state": b.state, "coldLeftMs": 0, "born": b.born,
	}
}

// post sends an announcement with the given fields, and reports whether it was acknowledged.
func (b *backend) post(call string, fields map[string]any) bool {
	body, err := json.Marshal(fields)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s/jackdawbridge/Instances.%s/%s", b.machine.control, call, b.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// drain announces that the backend server drains, now and in all later heartbeats.
func (b *backend) drain() error {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	if !b.announce("Heartbeat", b.nextSeq()) {
		return errors.New("draining was not acknowledged")
	}
	return nil
}

// leave lets the backend server leave as planned: it announces that it drains, serves on for
// the drain period, announces that it leaves, and exits.
func (b *backend) leave() error {
	if err := b.drain(); err != nil {
		return err
	}
	time.Sleep(drainPeriod + time.Second/2)
	b.stopBeats()
	if !b.announce("Deregister", b.nextSeq()) {
		return errors.New("the departure was not acknowledged")
	}
	b.close()
	return nil
}

// stopBeats ends the heartbeats.
func (b *backend) stopBeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
}
