// Package standin holds stand-ins for systems that a node meets, for tests and
// demonstrations.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawbridge/jackdawbridge/platform"
)

const (
	watchLimit = 25 * time.Second // after which a watch is answered with 304
	maxLease   = 24 * time.Hour
)

// Control is the behaviour that /control sets and the counts that it shows.
type Control struct {
	Down  bool             `json:"down"`            // connections are cut without an answer
	Slow  int64            `json:"slow"`            // milliseconds before a call is handled
	Lose  int              `json:"lose"`            // changes that take effect and are not answered
	Calls map[string]int64 `json:"calls,omitempty"` // by kind: get, watch, put; shown by GET only
}

// Platform is an in-memory server of the protocol of package platform. Versions
// rise over all records, so that a record made anew never has an old version.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	control Control
	version uint64
	records map[string]*record
	waiting map[string]chan struct{} // by record; closed when it changes
}

type record struct {
	platform.Record
	lease *time.Timer // nil for no lease
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		mux: http.NewServeMux(), control: Control{Calls: make(map[string]int64)},
		records: make(map[string]*record), waiting: make(map[string]chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/records/{name...}", p.get)
	p.mux.HandleFunc("PUT /v1/records/{name...}", p.put)
	p.mux.HandleFunc("GET /control", p.show)
	p.mux.HandleFunc("PUT /control", p.set)
	return p
}

// ServeHTTP serves the protocol and /control.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close ends all leases.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		if r.lease != nil {
			r.lease.Stop()
		}
	}
}

// enter counts a call and applies the set behaviour to it.
func (p *Platform) enter(r *http.Request, kind string) {
	p.mu.Lock()
	p.control.Calls[kind]++
	slow := time.Duration(p.control.Slow) * time.Millisecond
	p.mu.Unlock()
	if slow > 0 {
		timer := time.NewTimer(slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	p.abortIfDown()
}

// abortIfDown cuts the connection if the platform is down.
func (p *Platform) abortIfDown() {
	p.mu.Lock()
	down := p.control.Down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	name, query := r.PathValue("name"), r.URL.Query()
	if !query.Has("watch") {
		p.enter(r, "get")
		found, _ := p.look(name)
		answerRecord(w, found)
		return
	}
	version, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		http.Error(w, "watch: want a version", http.StatusBadRequest)
		return
	}
	p.enter(r, "watch")
	timer := time.NewTimer(watchLimit)
	defer timer.Stop()
	for {
		found, changed := p.look(name)
		if found.Version != version {
			answerRecord(w, found)
			return
		}
		select {
		case <-changed:
			p.abortIfDown()
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// look returns a record and a channel that is closed when it changes.
func (p *Platform) look(name string) (platform.Record, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[name] == nil {
		p.waiting[name] = make(chan struct{})
	}
	if r := p.records[name]; r != nil {
		return r.Record, p.waiting[name]
	}
	return platform.Record{}, p.waiting[name]
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.enter(r, "put")
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: want a version", http.StatusPreconditionRequired)
		return
	}
	var change platform.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*platform.MaxBody)).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lease := time.Duration(change.Lease) * time.Millisecond
	switch {
	case len(change.Value) > platform.MaxValue:
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	case change.Lease < 0 || change.Lease > maxLease.Milliseconds():
		http.Error(w, "lease is out of bounds", http.StatusBadRequest)
		return
	}
	next, ok, lost := p.swap(r.PathValue("name"), version, change.Value, lease)
	if !ok {
		http.Error(w, "record has another version", http.StatusPreconditionFailed)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, platform.Record{Version: next})
}

// swap changes a record if it has the given version. It reports whether it
// did, and whether the answer is to be lost.
func (p *Platform) swap(name string, version uint64, value []byte, lease time.Duration) (next uint64, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.records[name]
	if old != nil && old.Version != version || old == nil && version != 0 {
		return 0, false, false
	}
	if old != nil && old.lease != nil {
		old.lease.Stop()
	}
	if p.control.Lose > 0 {
		p.control.Lose--
		lost = true
	}
	p.wake(name)
	if value == nil {
		delete(p.records, name)
		return 0, true, lost
	}
	p.version++
	r := &record{Record: platform.Record{Version: p.version, Value: value}}
	if lease > 0 {
		r.lease = time.AfterFunc(lease, func() { p.expire(name, r) })
	}
	p.records[name] = r
	return p.version, true, lost
}

// expire removes r unless it was changed since.
func (p *Platform) expire(name string, r *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.records[name] == r {
		delete(p.records, name)
		p.wake(name)
	}
}

// wake wakes those who watch a record. p.mu is held.
func (p *Platform) wake(name string) {
	if c := p.waiting[name]; c != nil {
		close(c)
		delete(p.waiting, name)
	}
}

func (p *Platform) show(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer(w, p.control)
}

// set changes the fields that the body names. Watches that wait are woken, so
// that they end when the platform goes down.
func (p *Platform) set(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.control
	next.Calls = nil
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1024)).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.Slow < 0 || next.Lose < 0 {
		http.Error(w, "slow and lose must not be negative", http.StatusBadRequest)
		return
	}
	calls := p.control.Calls
	p.control = next
	p.control.Calls = calls
	for name := range p.waiting {
		p.wake(name)
	}
	next.Calls = nil
	answer(w, next)
}

func answerRecord(w http.ResponseWriter, r platform.Record) {
	if r.Version == 0 {
		http.Error(w, "record does not exist", http.StatusNotFound)
		return
	}
	answer(w, r)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only when the caller is gone
}
