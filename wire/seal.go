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

// The reasons for which a seal is refused.
var (
	ErrMalformed = errors.New("sealed data is malformed")
	ErrSignature = errors.New("seal does not verify")
	ErrExpired   = errors.New("seal has expired")
)

// SealAge is the greatest difference between the sender's and the receiver's
// clock at which a seal is accepted.
const SealAge = 30 * jackdawbridge.Second

// Overhead is the number of bytes that a seal adds.
const Overhead = headSize + sha256.Size

const (
	headSize  = 1 + 8 + 16 // purpose, instant, nonce
	minSecret = 16         // bytes; 128 bits resist guessing
)

// The purpose is part of what is signed, so that a captured frame cannot be
// used as a greeting.
const (
	purposeFrame byte = 1
	purposeHello byte = 2
)

// Sealer signs and verifies what travels between nodes with the fleet secrets.
// It does not encrypt. It is safe for concurrent use.
type Sealer struct {
	clock jackdawbridge.Clock
	macs  []*sync.Pool // of hash.Hash, one for each secret; the first one signs
}

// NewSealer returns a sealer that signs with the first secret and accepts
// seals of all of them.
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

// Seal returns the sealed frame.
func (s *Sealer) Seal(frame []byte) []byte { return s.seal(purposeFrame, frame) }

// Open returns the frame in sealed. It shares memory with sealed.
func (s *Sealer) Open(sealed []byte) ([]byte, error) { return s.open(purposeFrame, sealed) }

// SealHello returns the sealed greeting of a connection between nodes.
func (s *Sealer) SealHello(hello []byte) []byte { return s.seal(purposeHello, hello) }

// OpenHello returns the greeting in sealed. It shares memory with sealed.
func (s *Sealer) OpenHello(sealed []byte) ([]byte, error) { return s.open(purposeHello, sealed) }

func (s *Sealer) seal(purpose byte, data []byte) []byte {
	sealed := make([]byte, headSize, len(data)+Overhead)
	sealed[0] = purpose
	binary.BigEndian.PutUint64(sealed[1:], uint64(s.clock.Now()))
	_, _ = rand.Read(sealed[9:headSize]) // never fails, see crypto/rand
	sealed = append(sealed, data...)
	return s.sum(s.macs[0], sealed, sealed)
}

func (s *Sealer) open(purpose byte, sealed []byte) ([]byte, error) {
	if len(sealed) < Overhead || sealed[0] != purpose {
		return nil, errors.Errorf("open seal: %w", ErrMalformed)
	}
	signed, signature := sealed[:len(sealed)-sha256.Size], sealed[len(sealed)-sha256.Size:]
	valid := false
	for _, pool := range s.macs {
		var buf [sha256.Size]byte
		valid = valid || hmac.Equal(s.sum(pool, buf[:0], signed), signature)
	}
	if !valid {
		return nil, errors.Errorf("open seal: %w", ErrSignature)
	}
	age := int64(s.clock.Now()) - int64(binary.BigEndian.Uint64(signed[1:]))
	if age > int64(SealAge) || age < -int64(SealAge) {
		return nil, errors.Errorf("open seal made %d ms ago: %w", age, ErrExpired)
	}
	return signed[headSize:], nil
}

func (*Sealer) sum(pool *sync.Pool, to, data []byte) []byte {
	mac := pool.Get().(hash.Hash)
	mac.Reset()
	_, _ = mac.Write(data) // never fails, see hash.Hash
	to = mac.Sum(to)
	pool.Put(mac)
	return to
}

// Reason returns a short name of the reason for which data was refused, for
// counters: malformed, signature or expired, and invalid for what a codec refused.
func Reason(err error) string {
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
