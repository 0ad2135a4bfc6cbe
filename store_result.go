package jackdawbridge

// StoreStatus is the result of a request to the platform's store.
type StoreStatus uint8

// The results of a request to the platform's store.
const (
	StoreOK       StoreStatus = iota
	StoreConflict             // the record has another version and was not changed
	StoreFailed               // no answer; a write may have taken effect
	StoreInvalid              // the record cannot be decoded or is not valid
)

// String returns the status in lower case.
func (s StoreStatus) String() string { return enumName(s, "ok", "conflict", "failed", "invalid") }

// StoreResult is an event that reports the result of a request to the platform's store.
type StoreResult interface {
	Event
	// Status returns the result of the request.
	Status() StoreStatus
	// Era returns the era of the store when it answered, 0 if the store has no eras.
	Era() uint64
	// Discard makes the event the result of a request without an answer, because the
	// answer is of an earlier era.
	Discard()
	setEra(era uint64)
}

// WithEra returns e as an answer in the given era of the store. A store that comes back
// from an older copy of its records starts a new era with a higher number.
func WithEra[E StoreResult](e E, era uint64) E {
	e.setEra(era)
	return e
}

// storeResult is the part that the events for the results of requests to the store have
// in common.
type storeResult struct {
	status StoreStatus
	era    uint64
}

// Status returns the result of the request.
func (r *storeResult) Status() StoreStatus { return r.status }

// Era returns the era of the store when it answered, 0 if the store has no eras.
func (r *storeResult) Era() uint64 { return r.era }

// Discard makes the event the result of a request without an answer.
func (r *storeResult) Discard() { r.status = StoreFailed }

func (r *storeResult) setEra(era uint64) { r.era = era }
