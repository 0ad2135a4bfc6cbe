package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items in one page of a range.
	pageItems = 500
	// maxLeaseMs is the longest lease that the store grants, in milliseconds.
	maxLeaseMs = 600_000
	// minLeaseMs is the shortest one.
	minLeaseMs = 1000
	// maxWatchMs is the longest wait of a watch, in milliseconds.
	maxWatchMs = 30_000
)

// item is an item of the store, or the event of its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	Created    uint64 `json:"created,omitempty"`
	Lease      uint64 `json:"lease,omitempty"`
	Deleted    bool   `json:"deleted,omitempty"`
	CurrentRev uint64 `json:"currentRev,omitempty"`
}

// txn is the body of a change under a condition.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	server *http.Server

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	leases    map[uint64]*time.Timer
	lengths   map[uint64]time.Duration
	lastLease uint64
	changed   chan struct{}
}

// startStore serves a store at a listener.
func startStore(l net.Listener) *store {
	s := &store{
		revision: 100, items: make(map[string]item), leases: make(map[uint64]*time.Timer),
		lengths: make(map[uint64]time.Duration), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jackdawbridge/kv-key", s.get)
	mux.HandleFunc("GET /jackdawbridge/kv-range", s.list)
	mux.HandleFunc("GET /jackdawbridge/kv-watch", s.watch)
	mux.HandleFunc("POST /jackdawbridge/kv-txn", s.txn)
	mux.HandleFunc("POST /jackdawbridge/kv-lease", s.lease)
	mux.HandleFunc("POST /jackdawbridge/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /jackdawbridge/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with the process
	return s
}

// put writes an item as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, value, 0)
	s.wake()
}

// putLocked writes an item at the present revision. s.mu is held.
func (s *store) putLocked(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, it)
}

// removeLocked removes an item at the present revision. s.mu is held.
func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// wake wakes the watches. s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	it.CurrentRev = s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": it.CurrentRev})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageItems, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, maxWatchMs)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	var now []item
	held := true
	for _, p := range t.Precondition {
		it := s.items[p.Key]
		it.Key = p.Key
		now = append(now, it)
		held = held && it.Revision == p.Revision
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.removeLocked(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	ttl := min(max(body.TTL, minLeaseMs), maxLeaseMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.lengths[id] = time.Duration(ttl) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.lengths[id], func() { s.expire(id) })
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

// expire ends a lease and removes its keys.
func (s *store) expire(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	timer, ok := s.leases[id]
	if !ok {
		return false
	}
	timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
	s.wake()
	return true
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	timer, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	timer.Reset(s.lengths[id])
	reply(w, http.StatusOK, map[string]any{"ttlMs": s.lengths[id].Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if !s.expire(id) {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}
