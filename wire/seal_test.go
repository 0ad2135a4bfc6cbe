package wire

import (
	"bytes"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/jackdawbridge/jackdawbridge"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now jackdawbridge.Millis }

func (m *manualClock) Now() jackdawbridge.Millis { return m.now }

var (
	firstSecret  = []byte("first secret of the fleet")
	secondSecret = []byte("second secret of the fleet")
)

func newSealer(tb testing.TB, c jackdawbridge.Clock, secrets ...[]byte) *Sealer {
	tb.Helper()
	s, err := NewSealer(c, secrets...)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// TestSealer guards against captured frames that stay valid, against a rotation of the
// secret after which nodes reject each other, and against frames that are accepted as
// handshakes.
func TestSealer(t *testing.T) {
	c := &manualClock{now: 1_700_000_000_000}
	old, both, newest := newSealer(t, c, firstSecret), newSealer(t, c, secondSecret, firstSecret), newSealer(t, c, secondSecret)
	frame := old.Seal([]byte("frame"))
	handshake := both.SealHandshake([]byte("hello"))
	for _, test := range []struct {
		name   string
		sealer *Sealer
		at     jackdawbridge.Millis
		open   func(*Sealer) ([]byte, error)
		want   error
	}{
		{"same secret", old, 0, func(s *Sealer) ([]byte, error) { return s.Open(frame) }, nil},
		{"rotating receiver", both, MaxSealAge, func(s *Sealer) ([]byte, error) { return s.Open(frame) }, nil},
		{"secret rotated out", newest, 0, func(s *Sealer) ([]byte, error) { return s.Open(frame) }, ErrSignature},
		{"first secret signs", newest, 0, func(s *Sealer) ([]byte, error) { return s.OpenHandshake(handshake) }, nil},
		{"old capture", old, MaxSealAge + 1, func(s *Sealer) ([]byte, error) { return s.Open(frame) }, ErrExpired},
		{"from the future", old, -MaxSealAge - 1, func(s *Sealer) ([]byte, error) { return s.Open(frame) }, ErrExpired},
		{"handshake as frame", both, 0, func(s *Sealer) ([]byte, error) { return s.Open(handshake) }, ErrMalformed},
		{"frame as handshake", both, 0, func(s *Sealer) ([]byte, error) { return s.OpenHandshake(frame) }, ErrMalformed},
		{"short", both, 0, func(s *Sealer) ([]byte, error) { return s.Open(frame[:SealOverhead-1]) }, ErrMalformed},
	} {
		c.now = 1_700_000_000_000 + test.at
		if _, err := test.open(test.sealer); !errors.Is(err, test.want) {
			t.Errorf("%s: error is %v: want %v", test.name, err, test.want)
		}
	}
	if bytes.Equal(old.Seal(nil), old.Seal(nil)) {
		t.Error("two seals of the same frame are equal: want different nonces")
	}
	if _, err := NewSealer(c, firstSecret, []byte("short")); err == nil {
		t.Error("NewSealer accepted a secret of 5 bytes: want an error")
	}
}

// FuzzSeal guards against panics, and against forged or altered input that is
// accepted.
func FuzzSeal(f *testing.F) {
	c := &manualClock{now: 1_700_000_000_000}
	s := newSealer(f, c, firstSecret, secondSecret)
	f.Fuzz(func(t *testing.T, data []byte, text string, at uint16, bit uint8) {
		if _, err := s.Open(data); err == nil {
			t.Fatal("Open accepted a forged frame")
		}
		if _, err := s.OpenHandshake([]byte(text)); err == nil {
			t.Fatal("OpenHandshake accepted a forged handshake")
		}
		sealed := s.Seal(data)
		got, err := s.Open(sealed)
		if diff := cmp.Diff(data, slices.Clip(got)); err != nil || diff != "" && len(data) > 0 {
			t.Fatalf("Open of a sealed frame: error is %v: want none and the same data:\n%s", err, diff)
		}
		sealed[int(at)%len(sealed)] ^= 1 << (bit % 8)
		if _, err := s.Open(sealed); err == nil {
			t.Fatal("Open accepted an altered frame")
		}
	})
}
