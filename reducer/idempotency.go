package reducer

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// keyValidity is how long after its creation an idempotency key is accepted. The
	// holder of a range keeps each key for that time, which bounds its table.
	keyValidity = 600 * jackdawbridge.Second
	// maxCallerSkew is how far a caller's clock may be ahead of a node's. It is short
	// because a new holder of a range refuses keys whose creation time is up to this
	// much later than its takeover: they may have been used at the previous holder.
	maxCallerSkew = 2 * jackdawbridge.Second
	// maxNodeSkew is how far the clocks of two nodes may differ.
	maxNodeSkew = 500 * jackdawbridge.Millis(1)
)

// keyID identifies an idempotency key of a client account.
type keyID struct {
	account uint64 // hash of the name
	key     uuid.UUID
}

// idempotencyKey is a parsed Idempotency-Key: an optional data centre, a full
// stop, and a UUID of version 7 (RFC 9562).
type idempotencyKey struct {
	id         keyID
	dataCentre jackdawbridge.DataCentre // empty when the key names none
	createdAt  jackdawbridge.Millis     // creation time by the caller's clock
}

// parseIdempotencyKey parses text as an idempotency key of a client account.
func parseIdempotencyKey(account jackdawbridge.AccountName, text string) (idempotencyKey, error) {
	dc := ""
	if i := strings.LastIndexByte(text, '.'); i >= 0 {
		dc, text = text[:i], text[i+1:]
	}
	u, err := uuid.Parse(text)
	if err != nil {
		return idempotencyKey{}, errors.Errorf("parse idempotency key: %w", err)
	}
	if u.Version() != 7 {
		return idempotencyKey{}, errors.Errorf("idempotency key has UUID version %d: want 7", u.Version())
	}
	return idempotencyKey{
		id:         keyID{account: xxhash.Sum64String(string(account)), key: u},
		dataCentre: jackdawbridge.DataCentre(dc),
		createdAt:  uuidTime(u),
	}, nil
}

// uuidTime returns the creation time in the first 48 bits of a UUID of version 7.
func uuidTime(u uuid.UUID) jackdawbridge.Millis {
	var ms jackdawbridge.Millis
	for _, b := range u[:6] {
		ms = ms<<8 | jackdawbridge.Millis(b)
	}
	return ms
}

// validAt reports whether the key is accepted at now: it is neither older than
// keyValidity nor further in the future than maxCallerSkew.
func (k idempotencyKey) validAt(now jackdawbridge.Millis) bool {
	return k.createdAt <= now+maxCallerSkew && k.createdAt >= now-keyValidity
}

// rangeIndex returns the index of the range that contains the key.
func (k idempotencyKey) rangeIndex() int {
	return int((xxhash.Sum64(k.id.key[:]) ^ k.id.account) % jackdawbridge.RangeCount)
}

// homeDataCentre returns the data centre that records the use of the key: the one that
// the key names, or one chosen by rendezvous hashing. The list dataCentres must be sorted
// and not empty.
func (k idempotencyKey) homeDataCentre(dataCentres []jackdawbridge.DataCentre) jackdawbridge.DataCentre {
	if k.dataCentre != "" {
		return k.dataCentre
	}
	best, bestWeight := dataCentres[0], uint64(0)
	for _, dc := range dataCentres {
		weight := xxhash.Sum64String(string(dc)+string(k.id.key[:])) ^ k.id.account
		if weight >= bestWeight {
			best, bestWeight = dc, weight
		}
	}
	return best
}
