// Package transport holds what the transports between nodes have in common,
// and the choice between them by the size of a frame.
package transport

import (
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// The errors of senders.
var (
	ErrTooLarge = errors.New("frame is too large for the transport")
	ErrClosed   = errors.New("transport is closed")
	ErrBusy     = errors.New("queue of the transport is full")
)

// Intake opens, decodes and hands over what a transport receives, and counts
// what it refuses. It is safe for concurrent use.
type Intake struct {
	name     string // prefix of counters and log lines
	codec    jackdawbridge.Codec
	sealer   *wire.Sealer
	registry metrics.Registry
	log      *slog.Logger
	received metrics.Counter
	handle   func(jackdawbridge.Frame) // must not block
}

// NewIntake returns an intake with counters NAME.received and
// NAME.refused.REASON in the registry.
func NewIntake(name string, codec jackdawbridge.Codec, sealer *wire.Sealer, registry metrics.Registry, log *slog.Logger, handle func(jackdawbridge.Frame)) *Intake {
	return &Intake{
		name: name, codec: codec, sealer: sealer, registry: registry, log: log, handle: handle,
		received: metrics.GetOrRegisterCounter(name+".received", registry),
	}
}

// Receive hands over the frame in sealed, or refuses it. It keeps no part of sealed.
func (i *Intake) Receive(sealed []byte) {
	data, err := i.sealer.Open(sealed)
	if err != nil {
		i.Refuse(wire.Reason(err), err)
		return
	}
	frame, err := i.codec.DecodeFrame(data)
	if err != nil {
		i.Refuse(wire.Reason(err), err)
		return
	}
	i.received.Inc(1)
	i.handle(frame)
}

// Refuse counts and logs refused input. The reasons must be few.
func (i *Intake) Refuse(reason string, err error) {
	counter := metrics.GetOrRegisterCounter(i.name+".refused."+reason, i.registry)
	counter.Inc(1)
	// Logging only when the count is a power of two bounds what a flood of bad
	// input writes.
	if n := counter.Count(); n&(n-1) == 0 {
		i.log.Warn(i.name+": refused input", "reason", reason, "count", n, "err", err)
	}
}

// Sender is a transport that also sends frames which are sealed already.
type Sender interface {
	jackdawbridge.Transport
	// SendSealed sends a sealed frame without waiting and keeps the slice.
	SendSealed(to jackdawbridge.Peer, sealed []byte) error
}

// Seal returns the encoded and sealed frame.
func Seal(codec jackdawbridge.Codec, sealer *wire.Sealer, frame jackdawbridge.Frame) ([]byte, error) {
	data, err := codec.EncodeFrame(frame)
	if err != nil {
		return nil, errors.Errorf("seal frame: %w", err)
	}
	return sealer.Seal(data), nil
}
