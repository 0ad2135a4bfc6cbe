//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of the backend server beside a node.
type server struct {
	node  *node
	id    string
	born  int64
	slots chan struct{}
	work  time.Duration

	mu       sync.Mutex
	sequence int
	stopped  bool // sends no more heartbeats
	arrivals []arrival
	http     *http.Server
	gone     bool // the process has crashed
}

// arrival is a request that has reached the server.
type arrival struct {
	at     time.Time
	id     string
	origin []string // values of Caller-Service
	body   int64    // bytes that arrived
	whole  bool     // the whole body arrived
	ran    bool     // the server worked on it to the end
}

// serve starts the server beside a node, with its heartbeats.
func (n *node) serve(slots int, work time.Duration) *server {
	s := &server{node: n, id: "i-" + n.name, slots: make(chan struct{}, slots), work: work}
	s.start()
	go func() {
		for !s.silent() {
			if !s.crashed() {
				_, _ = s.send(s.heartbeat()) // repeated after a while, whatever the answer
			}
			time.Sleep(heartbeat)
		}
	}()
	return s
}

// start begins to accept requests as a new process of the server.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.sequence, s.gone = time.Now().UnixMilli(), 0, false
	s.http = &http.Server{Addr: s.node.addresses["server"], Handler: s}
	go func(server *http.Server) {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			s.node.fleet.record("%s: the server has ended: %v", s.id, err)
		}
	}(s.http)
}

// crashTime is how long a server is gone after a crash.
const crashTime = 2 * time.Second

// crash ends the process of the server with all its connections, and starts another one
// after a while.
func (s *server) crash(id string) {
	s.mu.Lock()
	s.gone = true
	server := s.http
	s.mu.Unlock()
	s.node.fleet.record("%s: crashes at request %s", s.id, id)
	_ = server.Close()
	time.AfterFunc(crashTime, func() {
		s.start()
		s.node.fleet.record("%s: is back", s.id)
		_, _ = s.send(s.heartbeat()) // repeated after a while, whatever the answer
	})
}

// crashed reports whether the process of the server is gone.
func (s *server) crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// silent reports whether the server sends no more heartbeats.
func (s *server) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// message is a call that the server makes to its node.
type message struct {
	path string
	body map[string]any
}

// heartbeat returns the next heartbeat.
func (s *server) heartbeat() message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return message{"/jackdawbridge/Instances.Heartbeat/" + s.id, map[string]any{
		"service": s.node.service, "address": s.node.addresses["server"], "zone": s.node.zone, "version": "v1",
		"slots": cap(s.slots), "state": "ready", "coldLeftMs": 0, "seq": s.sequence, "born": s.born,
	}}
}

// departure returns the call with which the server leaves, and ends the heartbeats.
func (s *server) departure() message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.stopped = true
	return message{"/jackdawbridge/Instances.Deregister/" + s.id, map[string]any{"seq": s.sequence, "born": s.born}}
}

// send makes a call and reports whether it was acknowledged within a second.
func (s *server) send(m message) (bool, error) {
	data, err := json.Marshal(m.body)
	if err != nil {
		return false, err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.node.addresses["backend"]+m.path, "application/json", bytes.NewReader(data))
	if err != nil {
		return false, err
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2, nil
}

// ServeHTTP runs a request once a slot is free.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	a := arrival{at: time.Now(), id: r.Header.Get("Attempt-Id"), origin: r.Header.Values("Caller-Service")}
	w.Header().Set("Attempt-Id", a.id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Query().Get("stand") == crashValue {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		s.crash(a.id)
		panic(http.ErrAbortHandler)
	}
	var err error
	a.body, err = io.Copy(io.Discard, r.Body)
	a.whole = err == nil
	select {
	case s.slots <- struct{}{}:
		select {
		case <-time.After(s.work):
			a.ran = true
		case <-r.Context().Done():
		}
		<-s.slots
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	_, _ = io.WriteString(w, "served by "+s.id+"\n")
}

// arrived returns the requests that have reached the server, without those that are in
// progress.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
