package transport

import (
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// Transport sends small frames with one sender and large frames with another.
type Transport struct {
	codec  jackdawbridge.Codec
	sealer *wire.Sealer
	small  Sender
	large  Sender
	limit  int // size of the largest sealed frame that small sends, in bytes
}

var _ jackdawbridge.Transport = (*Transport)(nil)

// New returns a transport that sends frames with small if they have at most limit
// bytes when sealed, and with large otherwise. The transport owns both senders.
func New(codec jackdawbridge.Codec, sealer *wire.Sealer, small Sender, limit int, large Sender) *Transport {
	return &Transport{codec: codec, sealer: sealer, small: small, large: large, limit: limit}
}

// Send seals a frame and sends it without waiting.
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
