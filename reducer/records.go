package reducer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxRecords bounds the idempotency records of one node.
	maxRecords = 200_000
	// recordSlot is the grain in which records expire.
	recordSlot = 10 * jackdawbridge.Second
)

// recordState is what a home knows of the request that used a key.
type recordState uint8

const (
	recordRunning recordState = iota // may be running, or may have run
	recordServed                     // was answered in full
	recordFree                       // did not run; another request may start
)

// record is the use of one idempotency key.
type record struct {
	request uint64 // hash of the id of the request that started last
	state   recordState
	status  uint16 // of the answer, when served
}

// records is the table of a home. Records expire in slots of time, so that
// expiry costs a constant amount for each record.
type records struct {
	byKey map[keyID]record // at most maxRecords
	slots map[jackdawbridge.Millis][]keyID
	next  jackdawbridge.Millis // start of the oldest slot, 0 if there is none
}

func newRecords() records {
	return records{byKey: make(map[keyID]record), slots: make(map[jackdawbridge.Millis][]keyID)}
}

func hashRequest(id jackdawbridge.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// begin records a start, or returns why the request must not start. Keys made
// up to blind may have been used where this table does not know.
func (t *records) begin(key idempotencyKey, request uint64, blind jackdawbridge.Millis) (jackdawbridge.Refusal, bool) {
	old, ok := t.byKey[key.id]
	if !ok {
		return t.add(key, request, blind)
	}
	switch {
	case old.state == recordRunning && old.request == request:
		return jackdawbridge.Refusal{}, false
	case old.state == recordRunning:
		return jackdawbridge.UnknownRefusal(jackdawbridge.AlreadyRunning), true
	case old.state == recordServed:
		return jackdawbridge.UnknownRefusal(jackdawbridge.AlreadyRan).WithStatus(int(old.status)), true
	case old.request == request:
		// A late copy of a StartRequest whose request has given up.
		return jackdawbridge.NotRunRefusal(jackdawbridge.Cancelled), true
	}
	t.byKey[key.id] = record{request: request}
	return jackdawbridge.Refusal{}, false
}

func (t *records) add(key idempotencyKey, request uint64, blind jackdawbridge.Millis) (jackdawbridge.Refusal, bool) {
	if key.made <= blind {
		return jackdawbridge.UnknownRefusal(jackdawbridge.InDoubt), true
	}
	if len(t.byKey) >= maxRecords {
		return jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded), true
	}
	t.byKey[key.id] = record{request: request}
	slot := (key.made + keyLife + keySkew) / recordSlot * recordSlot
	t.slots[slot] = append(t.slots[slot], key.id)
	if t.next == 0 || slot < t.next {
		t.next = slot
	}
	return jackdawbridge.Refusal{}, false
}

// end takes note of how the request that started last ended.
func (t *records) end(key idempotencyKey, request uint64, outcome jackdawbridge.Outcome, status int) {
	old, ok := t.byKey[key.id]
	if !ok || old.request != request || old.state != recordRunning {
		return
	}
	switch outcome {
	case jackdawbridge.Served:
		old.state = recordServed
		old.status = uint16(status)
	case jackdawbridge.NotRun:
		old.state = recordFree
	}
	t.byKey[key.id] = old
}

// forget drops the records of a range. The slots still name them.
func (t *records) forget(index int) {
	for id := range t.byKey {
		if (idempotencyKey{id: id}).rangeIndex() == index {
			delete(t.byKey, id)
		}
	}
}

func (t *records) wake() jackdawbridge.Millis {
	if t.next == 0 {
		return never
	}
	return t.next + 2*recordSlot
}

// expire drops the records whose keys are too old to be accepted. A slot is
// dropped one slot late, so that none of its keys is still acceptable.
func (t *records) expire(now jackdawbridge.Millis) {
	for t.next != 0 && t.next+2*recordSlot <= now {
		for _, id := range t.slots[t.next] {
			delete(t.byKey, id)
		}
		delete(t.slots, t.next)
		t.next += recordSlot
		if len(t.slots) == 0 {
			t.next = 0
		}
	}
}
