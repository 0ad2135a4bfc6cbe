package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"sync"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

// Errors that are returned for data whose seal is not valid.
var (
	ErrMalformed = errors.New("sealed data is malformed")
	ErrSignature = errors.New("signature of the seal is not valid")
	ErrExpired   = errors.New("time of the seal differs too much from the clock")
)

// MaxSealAge bounds the difference between the time of a seal and the receiver's clock,
// in both directions.
const MaxSealAge = 30 * jackdawbridge.Second

// SealOverhead is the number of bytes that a seal adds.
const SealOverhead = headerSize + sha256.Size

const (
	headerSize = 1 + 8 + 16 // purpose, time, nonce
	minSecret  = 16         // bytes; 128 bits cannot be guessed
)

// The purpose is part of the signed data, so that a captured frame cannot be used as
// a handshake.
const (
	purposeFrame     byte = 1
	purposeHandshake byte = 2
)

// Sealer signs and verifies the frames and handshakes between nodes with the secrets of
// the fleet. It does not encrypt. It is safe for concurrent use.
type Sealer struct {
	clock jackdawbridge.Clock
	macs  []*sync.Pool // of hash.Hash, one pool for each secret; the first one signs
}

// NewSealer returns a sealer that signs with the first secret and accepts seals made
// with any of them.
func NewSealer(clock jackdawbridge.Clock, secrets ...[]byte) (*Sealer, error) {
	if len(secrets) == 0 {
		return nil, errors.New("no fleet secret: want at least one")
	}
	s := &Sealer{clock: clock}
	for i, secret := range secrets {
		if len(secret) < minSecret {
			return nil, errors.Errorf("fleet secret %d has %d bytes: want at least %d", i+1, len(secret), minSecret)
		}
		key := append([]byte(nil), secret...)
		s.macs = append(s.macs, &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }})
	}
	return s, nil
}

// Seal seals an encoded frame.
func (s *Sealer) Seal(frame []byte) []byte { return s.seal(purposeFrame, frame) }

// Open verifies the seal and returns the frame, which shares memory with sealed.
func (s *Sealer) Open(sealed []byte) ([]byte, error) { return s.open(purposeFrame, sealed) }

// SealHandshake seals a message of the handshake between nodes.
func (s *Sealer) SealHandshake(message []byte) []byte {
	return s.seal(purposeHandshake, message)
}

// OpenHandshake verifies the seal and returns the message, which shares memory with
// sealed.
func (s *Sealer) OpenHandshake(sealed []byte) ([]byte, error) {
	return s.open(purposeHandshake, sealed)
}

// seal returns the header, data and their signature.
func (s *Sealer) seal(purpose byte, data []byte) []byte {
	sealed := make([]byte, headerSize, len(data)+SealOverhead)
	sealed[0] = purpose
	binary.BigEndian.PutUint64(sealed[1:], uint64(s.clock.Now()))
	_, _ = rand.Read(sealed[9:headerSize]) // never fails, see crypto/rand
	sealed = append(sealed, data...)
	return s.sum(s.macs[0], sealed, sealed)
}

// open verifies the signature, purpose and age of sealed and returns its data.
func (s *Sealer) open(purpose byte, sealed []byte) ([]byte, error) {
	if len(sealed) < SealOverhead || sealed[0] != purpose {
		return nil, errors.Errorf("verify seal: %w", ErrMalformed)
	}
	signed, signature := sealed[:len(sealed)-sha256.Size], sealed[len(sealed)-sha256.Size:]
	valid := false
	for _, pool := range s.macs {
		var buf [sha256.Size]byte
		valid = valid || hmac.Equal(s.sum(pool, buf[:0], signed), signature)
	}
	if !valid {
		return nil, errors.Errorf("verify seal: %w", ErrSignature)
	}
	age := int64(s.clock.Now()) - int64(binary.BigEndian.Uint64(signed[1:]))
	if age > int64(MaxSealAge) || age < -int64(MaxSealAge) {
		return nil, errors.Errorf("verify seal made %d ms ago: %w", age, ErrExpired)
	}
	return signed[headerSize:], nil
}

// sum appends the signature of data to dst.
func (*Sealer) sum(pool *sync.Pool, dst, data []byte) []byte {
	mac := pool.Get().(hash.Hash)
	mac.Reset()
	_, _ = mac.Write(data) // never fails, see hash.Hash
	dst = mac.Sum(dst)
	pool.Put(mac)
	return dst
}

// RejectionReason names the error for which data was rejected, for counters: malformed,
// signature or expired for a seal, and invalid for the errors of a codec.
func RejectionReason(err error) string {
	switch {
	case errors.Is(err, ErrMalformed):
		return "malformed"
	case errors.Is(err, ErrSignature):
		return "signature"
	case errors.Is(err, ErrExpired):
		return "expired"
	default:
		return "invalid"
	}
}
