package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawbridge/jackdawbridge/platform"
)

// itemCopy is the state of the platform after a change.
type itemCopy struct {
	at        time.Time
	revision  uint64
	lastLease uint64
	items     map[string]platform.Item
}

// eraWriter names the platform's era in the head of an answer.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
	written  bool
}

// WriteHeader writes the head of the answer with the era in which it is written.
func (w *eraWriter) WriteHeader(status int) {
	w.nameEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *eraWriter) Write(data []byte) (int, error) {
	w.nameEra()
	return w.ResponseWriter.Write(data)
}

// nameEra sets the header once. The caller may hold the platform's mutex, so that the era
// is read without it.
func (w *eraWriter) nameEra() {
	if !w.written {
		w.written = true
		w.Header().Set(platform.HeaderEra, strconv.FormatUint(w.platform.era.Load(), 10))
	}
}

// keepCopy keeps a copy of the items. The caller holds p.mu.
func (p *Platform) keepCopy() {
	p.copies = append(p.copies, itemCopy{time.Now(), p.revision, p.lastLease, maps.Clone(p.items)})
	if len(p.copies) > maxCopies {
		p.copies = slices.Delete(p.copies, 0, 1)
	}
}

// returnFrom replaces the items by those of a copy that is at least as old as the given
// age, without those whose lease has ended or is not in the copy. Revisions and leases are
// assigned again from those of the copy, and the history is gone. Items that operators have
// written since are written again. The caller holds p.mu.
func (p *Platform) returnFrom(age time.Duration) {
	back := itemCopy{revision: 1}
	for _, c := range p.copies {
		if time.Since(c.at) >= age {
			back = c
		}
	}
	lost := p.items
	p.items, p.revision, p.lastLease = make(map[string]platform.Item), back.revision, back.lastLease
	for key, item := range back.items {
		if p.leases[item.Lease] != nil || item.Lease == 0 {
			p.items[key] = item
		}
	}
	for id, timer := range p.leases {
		if id > back.lastLease {
			timer.Stop()
			delete(p.leases, id)
		}
	}
	p.era.Add(1)
	p.copies, p.events, p.droppedUpTo = nil, nil, p.revision
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		if item := lost[key]; strings.HasPrefix(key, "op/") && p.items[key].Revision != item.Revision {
			p.put(platform.Put{Key: key, Value: item.Value})
		}
	}
	p.keepCopy()
}
