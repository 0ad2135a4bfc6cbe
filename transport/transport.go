package transport

import (
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// Transport sends small frames by one sender and large ones by another.
type Transport struct {
	codec  jackdawbridge.Codec
	sealer *wire.Sealer
	small  Sender
	large  Sender
	limit  int // bytes of the largest sealed frame for the small sender
}

var _ jackdawbridge.Transport = (*Transport)(nil)

// New returns a transport that sends sealed frames of at most limit bytes by
// small and others by large. It owns both.
func New(codec jackdawbridge.Codec, sealer *wire.Sealer, small Sender, limit int, large Sender) *Transport {
	return &Transport{codec: codec, sealer: sealer, small: small, large: large, limit: limit}
}

// Send sends a frame without waiting.
func (t *Transport) Send(to jackdawbridge.Peer, frame jackdawbridge.Frame) error {
	sealed, err := Seal(t.codec, t.sealer, frame)
	if err != nil {
		return errors.Errorf("send: %w", err)
	}
	sender := t.small
	if len(sealed) > t.limit {
		sender = t.large
	}
	if err := sender.SendSealed(to, sealed); err != nil {
		return errors.Errorf("send to %s: %w", to.Node(), err)
	}
	return nil
}

// Close closes both senders.
func (t *Transport) Close() error {
	return errors.Join(t.small.Close(), t.large.Close())
}
