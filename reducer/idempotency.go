package reducer

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// keyLife is how long after it was made an idempotency key is accepted. A
	// home keeps each key that long, which bounds its table.
	keyLife = 600 * jackdawbridge.Second
	// keySkew is how far a caller's clock may run ahead of a node's. It is
	// short because keys of this span are in doubt after each take-over.
	keySkew = 2 * jackdawbridge.Second
	// nodeSkew is how far the clocks of two nodes may differ.
	nodeSkew = 500 * jackdawbridge.Millis(1)
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
	made       jackdawbridge.Millis     // by the clock of the caller
}

// parseIdempotencyKey parses the key of a client account.
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
		made:       madeAt(u),
	}, nil
}

// madeAt returns the time that a UUID of version 7 starts with.
func madeAt(u uuid.UUID) jackdawbridge.Millis {
	var ms jackdawbridge.Millis
	for _, b := range u[:6] {
		ms = ms<<8 | jackdawbridge.Millis(b)
	}
	return ms
}

// acceptable reports whether the key is neither too old nor from the future.
func (k idempotencyKey) acceptable(now jackdawbridge.Millis) bool {
	return k.made <= now+keySkew && k.made >= now-keyLife
}

// rangeIndex returns the range of the home data centre that holds the key.
func (k idempotencyKey) rangeIndex() int {
	return int((xxhash.Sum64(k.id.key[:]) ^ k.id.account) % jackdawbridge.RangeCount)
}

// home returns the data centre that records the start of the key's request.
// The data centres are sorted, and there is at least one.
func (k idempotencyKey) home(dataCentres []jackdawbridge.DataCentre) jackdawbridge.DataCentre {
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
