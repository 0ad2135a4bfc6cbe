package reducer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxKeyRecords bounds the idempotency records of one node.
	maxKeyRecords = 200_000
	// recordSlotTime is the length of the time slots in which records expire together.
	recordSlotTime = 10 * jackdawbridge.Second
)

// recordState is what the holder of a range has learned of the request that used a key.
type recordState uint8

const (
	recordRunning recordState = iota // may be running, or may have run without a report of its end
	recordServed                     // was answered completely
	recordNotRun                     // did not run; another request may use the key
)

// keyRecord is the use of one idempotency key by a request.
type keyRecord struct {
	request uint64 // hash of the id of the request that started last
	state   recordState
	status  uint16 // status of the answer if the request was served
}

// keyRecords is the table of used idempotency keys that the holder of a range keeps.
// Records expire by time slot, so that expiry costs a constant amount for each record.
type keyRecords struct {
	byKey       map[keyID]keyRecord              // at most maxKeyRecords
	expirySlots map[jackdawbridge.Millis][]keyID // keys by the start of the slot in which they expire
	oldestSlot  jackdawbridge.Millis             // start of the next slot to expire, 0 if there is none
}

func newKeyRecords() keyRecords {
	return keyRecords{byKey: make(map[keyID]keyRecord), expirySlots: make(map[jackdawbridge.Millis][]keyID)}
}

func hashRequest(id jackdawbridge.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// begin records a start, or returns true and the reason why the request must not start.
// A key created until inDoubtUntil may have been used without a record in this table, so
// it is refused as in doubt if the table does not have it.
func (t *keyRecords) begin(key idempotencyKey, request uint64, inDoubtUntil jackdawbridge.Millis) (jackdawbridge.Refusal, bool) {
	old, ok := t.byKey[key.id]
	if !ok {
		return t.add(key, request, inDoubtUntil)
	}
	switch {
	case old.state == recordRunning && old.request == request:
		return jackdawbridge.Refusal{}, false
	case old.state == recordRunning:
		return jackdawbridge.UnknownRefusal(jackdawbridge.AlreadyRunning), true
	case old.state == recordServed:
		return jackdawbridge.UnknownRefusal(jackdawbridge.AlreadyRan).WithStatus(int(old.status)), true
	case old.request == request:
		// A delayed copy of a StartRequest whose request has ended since without
		// having run.
		return jackdawbridge.NotRunRefusal(jackdawbridge.Cancelled), true
	}
	t.byKey[key.id] = keyRecord{request: request}
	return jackdawbridge.Refusal{}, false
}

// add records the first use of a key, unless the key is in doubt or the table is full.
func (t *keyRecords) add(key idempotencyKey, request uint64, inDoubtUntil jackdawbridge.Millis) (jackdawbridge.Refusal, bool) {
	if key.createdAt <= inDoubtUntil {
		return jackdawbridge.UnknownRefusal(jackdawbridge.InDoubt), true
	}
	if len(t.byKey) >= maxKeyRecords {
		return jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded), true
	}
	t.byKey[key.id] = keyRecord{request: request}
	slot := (key.createdAt + keyValidity + maxCallerSkew) / recordSlotTime * recordSlotTime
	t.expirySlots[slot] = append(t.expirySlots[slot], key.id)
	if t.oldestSlot == 0 || slot < t.oldestSlot {
		t.oldestSlot = slot
	}
	return jackdawbridge.Refusal{}, false
}

// end records the outcome of a request, unless another request has started with the key
// since.
func (t *keyRecords) end(key idempotencyKey, request uint64, outcome jackdawbridge.Outcome, status int) {
	old, ok := t.byKey[key.id]
	if !ok || old.request != request || old.state != recordRunning {
		return
	}
	switch outcome {
	case jackdawbridge.Served:
		old.state = recordServed
		old.status = uint16(status)
	case jackdawbridge.NotRun:
		old.state = recordNotRun
	}
	t.byKey[key.id] = old
}

// removeRange drops the records of a range. Their keys stay listed in the slots until
// these expire.
func (t *keyRecords) removeRange(index int) {
	for id := range t.byKey {
		if (idempotencyKey{id: id}).rangeIndex() == index {
			delete(t.byKey, id)
		}
	}
}

func (t *keyRecords) wake() jackdawbridge.Millis {
	if t.oldestSlot == 0 {
		return never
	}
	return t.oldestSlot + 2*recordSlotTime
}

// expire drops the records whose keys are too old to be accepted. A slot is dropped only
// when the slot after it has ended too, so that none of its keys is still accepted.
func (t *keyRecords) expire(now jackdawbridge.Millis) {
	for t.oldestSlot != 0 && t.oldestSlot+2*recordSlotTime <= now {
		for _, id := range t.expirySlots[t.oldestSlot] {
			delete(t.byKey, id)
		}
		delete(t.expirySlots, t.oldestSlot)
		t.oldestSlot += recordSlotTime
		if len(t.expirySlots) == 0 {
			t.oldestSlot = 0
		}
	}
}
