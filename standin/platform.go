// Package standin implements stand-ins for the systems that a node depends on, for
// tests and demonstrations.
package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawbridge/jackdawbridge/platform"
)

const (
	maxWatch      = 30 * time.Second // longest duration of a watch without events
	minTTL        = time.Second      // shortest lease granted
	maxTTL        = 10 * time.Minute // longest lease granted
	maxEvents     = 4096             // events kept for watches
	maxCopies     = 256              // earlier states kept to come back from
	maxPage       = 2                // items of a scan, few so that tests need several pages
	maxTxnEntries = 32               // limit for the preconditions, puts and deletes of one transaction together
)

// Control is the body of /control: PUT sets the faults to inject, and GET returns
// them with the number of calls so far.
type Control struct {
	Down         bool             `json:"down"`             // close connections without an answer
	DelayMillis  int64            `json:"slow"`             // delay before a call is handled, in milliseconds
	LateMillis   int64            `json:"late"`             // delay of the answer to a read after the item was read, in milliseconds
	LoseAnswers  int              `json:"lose"`             // number of the next changes that take effect but are not answered
	Compact      bool             `json:"compact"`          // drop the history for watches, once
	ReturnMillis *int64           `json:"return,omitempty"` // come back from a copy of this age in milliseconds, once; what operators wrote since is kept
	Calls        map[string]int64 `json:"calls,omitempty"`  // number of calls by kind: get, watch, put (writes and leases); returned by GET only
}

// Platform is an in-memory server for the protocol of package platform. A single
// revision counter numbers the changes of all items.
type Platform struct {
	mux *http.ServeMux

	mu          sync.Mutex
	control     Control
	revision    uint64
	era         atomic.Uint64 // rises each time the platform comes back from an older copy
	copies      []itemCopy    // after each change, at most maxCopies
	items       map[string]platform.Item
	events      []platform.Item        // in order of revision, at most maxEvents
	droppedUpTo uint64                 // events up to this revision are no longer kept
	leases      map[uint64]*time.Timer // by id, until they expire
	lastLease   uint64                 // id of the newest lease
	changed     chan struct{}          // closed and replaced at each change
}

// NewPlatform returns a platform without items.
func NewPlatform() *Platform {
	p := &Platform{
		mux: http.NewServeMux(), control: Control{Calls: make(map[string]int64)}, revision: 1,
		items: make(map[string]platform.Item), leases: make(map[uint64]*time.Timer), changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET "+platform.PathKey, p.get)
	p.mux.HandleFunc("GET "+platform.PathRange, p.scan)
	p.mux.HandleFunc("GET "+platform.PathWatch, p.watch)
	p.mux.HandleFunc("POST "+platform.PathTxn, p.txn)
	p.mux.HandleFunc("POST "+platform.PathLease, p.lease)
	p.mux.HandleFunc("PUT /operator/{key...}", p.putAsOperator)
	p.mux.HandleFunc("DELETE /operator/{key...}", p.deleteAsOperator)
	p.mux.HandleFunc("GET /control", p.getControl)
	p.mux.HandleFunc("PUT /control", p.putControl)
	return p
}

// ServeHTTP serves the protocol, /control, and /operator, through which an operator
// writes and deletes any item.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(&eraWriter{ResponseWriter: w, platform: p}, r)
}

// Close stops the timers of all leases, so that no lease expires.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, timer := range p.leases {
		timer.Stop()
	}
}

// beginCall counts a call and applies the delay and the outage set by /control.
func (p *Platform) beginCall(r *http.Request, kind string) {
	p.mu.Lock()
	p.control.Calls[kind]++
	p.mu.Unlock()
	p.awaitTurn(r)
}

// awaitTurn applies the delay and the outage set by /control.
func (p *Platform) awaitTurn(r *http.Request) {
	p.mu.Lock()
	delay := time.Duration(p.control.DelayMillis) * time.Millisecond
	p.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	p.abortIfDown()
}

// abortIfDown closes the connection without an answer if the platform is down.
func (p *Platform) abortIfDown() {
	p.mu.Lock()
	down := p.control.Down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.beginCall(r, "get")
	p.mu.Lock()
	item, ok := p.items[r.URL.Query().Get("key")]
	item.StoreRevision = p.revision
	late := time.Duration(p.control.LateMillis) * time.Millisecond
	p.mu.Unlock()
	select {
	case <-time.After(late):
	case <-r.Context().Done():
	}
	if !ok {
		http.Error(w, "item does not exist", http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

// scan returns a page of the items with a prefix, in the order of their keys.
func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	p.awaitTurn(r)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	p.mu.Lock()
	p.control.Calls["range"]++ // together with the read, so that a test can begin a change after both
	page := platform.Range{Items: []platform.Item{}, StoreRevision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.items)) {
		switch {
		case !strings.HasPrefix(key, prefix) || key <= after:
		case len(page.Items) == maxPage:
			page.More = true
		default:
			page.Items = append(page.Items, p.items[key])
		}
	}
	late := time.Duration(p.control.LateMillis) * time.Millisecond
	p.mu.Unlock()
	select {
	case <-time.After(late):
	case <-r.Context().Done():
	}
	writeJSON(w, page)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "after and waitMs: want numbers", http.StatusBadRequest)
		return
	}
	p.beginCall(r, "watch")
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for expired, era := false, p.era.Load(); ; {
		events, complete, changed := p.eventsSince(query.Get("prefix"), after)
		if !complete {
			http.Error(w, "history is no longer available", http.StatusGone)
			return
		}
		if len(events.Events) > 0 || expired {
			writeJSON(w, events)
			return
		}
		select {
		case <-changed:
			p.abortIfDown()
			if p.era.Load() != era {
				panic(http.ErrAbortHandler) // it was away for a moment
			}
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events after a revision for keys with the given prefix, and
// a channel that is closed at the next change. It reports false if some of these
// events are no longer kept.
func (p *Platform) eventsSince(prefix string, after uint64) (platform.Events, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := platform.Events{Events: []platform.Item{}, StoreRevision: p.revision}
	for _, e := range p.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events.Events = append(events.Events, e)
		}
	}
	return events, after >= p.droppedUpTo && after <= p.revision, p.changed
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	p.beginCall(r, "put")
	var change platform.TxnRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*platform.MaxBody)).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(change.Preconditions)+len(change.Puts)+len(change.Deletes) > maxTxnEntries {
		http.Error(w, "transaction has too many entries", http.StatusBadRequest)
		return
	}
	for _, put := range change.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			http.Error(w, "keys below op/ and servers/ must not be written", http.StatusForbidden)
			return
		}
		if len(put.Value) > platform.MaxValue {
			http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
			return
		}
	}
	status, revision, lost := p.apply(change)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		w.WriteHeader(status)
	default:
		writeJSON(w, platform.TxnResponse{Revision: revision})
	}
}

// apply makes a change if its preconditions hold. The result lost reports
// whether the answer to the caller must be suppressed.
func (p *Platform) apply(change platform.TxnRequest) (status int, revision uint64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range change.Preconditions {
		if p.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, 0, false
		}
	}
	for _, put := range change.Puts {
		if _, ok := p.leases[put.Lease]; put.Lease != 0 && !ok {
			return http.StatusNotFound, 0, false
		}
	}
	if p.control.LoseAnswers > 0 {
		p.control.LoseAnswers--
		lost = true
	}
	for _, put := range change.Puts {
		p.put(put)
	}
	for _, key := range change.Deletes {
		p.remove(key)
	}
	return http.StatusOK, p.revision, lost
}

// put writes an item. The caller holds p.mu.
func (p *Platform) put(put platform.Put) {
	p.revision++
	created := p.items[put.Key].Created
	if created == 0 {
		created = p.revision
	}
	item := platform.Item{Key: put.Key, Value: put.Value, Revision: p.revision, Created: created, Lease: put.Lease}
	p.items[put.Key] = item
	p.publish(item)
}

// remove deletes an item if it exists. The caller holds p.mu.
func (p *Platform) remove(key string) {
	if _, ok := p.items[key]; !ok {
		return
	}
	p.revision++
	delete(p.items, key)
	p.publish(platform.Item{Key: key, Revision: p.revision, Deleted: true})
}

// publish records an event and wakes the watches. The caller holds p.mu.
func (p *Platform) publish(event platform.Item) {
	p.keepCopy()
	p.events = append(p.events, event)
	if len(p.events) > maxEvents {
		p.droppedUpTo = p.events[0].Revision
		p.events = slices.Delete(p.events, 0, 1)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request) {
	p.beginCall(r, "put")
	var request platform.Lease
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1024)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(request.TTL)*time.Millisecond, minTTL), maxTTL)
	p.mu.Lock()
	p.lastLease++
	id := p.lastLease
	p.leases[id] = time.AfterFunc(ttl, func() { p.expire(id) })
	p.mu.Unlock()
	writeJSON(w, platform.Lease{Lease: id, TTL: ttl.Milliseconds()})
}

// expire ends a lease and deletes the items attached to it.
func (p *Platform) expire(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, id)
	for key, item := range p.items {
		if item.Lease == id {
			p.remove(key)
		}
	}
}

// putAsOperator writes an item with the body of the request as its value, without
// the restrictions on keys.
func (p *Platform) putAsOperator(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxValue)).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(platform.Put{Key: r.PathValue("key"), Value: value})
	writeJSON(w, platform.TxnResponse{Revision: p.revision})
}

// deleteAsOperator deletes an item.
func (p *Platform) deleteAsOperator(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(r.PathValue("key"))
	writeJSON(w, platform.TxnResponse{Revision: p.revision})
}

func (p *Platform) getControl(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.control)
}

// putControl changes the fields of Control that the body contains. It wakes pending
// watches so that their connections are closed when the platform goes down.
func (p *Platform) putControl(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.control
	next.Calls = nil
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1024)).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if next.DelayMillis < 0 || next.LoseAnswers < 0 {
		http.Error(w, "slow and lose: want at least 0", http.StatusBadRequest)
		return
	}
	if next.Compact {
		next.Compact = false
		p.events, p.droppedUpTo = nil, p.revision
	}
	if next.ReturnMillis != nil {
		p.returnFrom(time.Duration(*next.ReturnMillis) * time.Millisecond)
		next.ReturnMillis = nil
	}
	calls := p.control.Calls
	p.control = next
	p.control.Calls = calls
	close(p.changed)
	p.changed = make(chan struct{})
	next.Calls = nil
	writeJSON(w, next)
}

// writeJSON writes a value as the JSON body of an answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has closed the connection
}
