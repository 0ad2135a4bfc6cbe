// Package transport holds the common parts of the transports between nodes, and a
// Transport that chooses between two of them by the size of a frame.
package transport

import (
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// Errors that senders return.
var (
	ErrTooLarge = errors.New("frame is too large for the transport")
	ErrClosed   = errors.New("transport is closed")
	ErrBusy     = errors.New("transport is at its limit")
)

// Receiver verifies and decodes the frames that a transport receives, and counts and
// logs the input that it rejects. It is safe for concurrent use.
type Receiver struct {
	name     string // prefix of the counters and log lines
	codec    jackdawbridge.Codec
	sealer   *wire.Sealer
	registry metrics.Registry
	log      *slog.Logger
	received metrics.Counter
	omitted  metrics.Counter           // rumors left out of received frames
	handle   func(jackdawbridge.Frame) // must not block
}

// NewReceiver returns a receiver that calls handle for each valid frame. It registers
// the counters NAME.received, NAME.omitted and NAME.refused.REASON.
func NewReceiver(name string, codec jackdawbridge.Codec, sealer *wire.Sealer, registry metrics.Registry, log *slog.Logger, handle func(jackdawbridge.Frame)) *Receiver {
	return &Receiver{
		name: name, codec: codec, sealer: sealer, registry: registry, log: log, handle: handle,
		received: metrics.GetOrRegisterCounter(name+".received", registry),
		omitted:  metrics.GetOrRegisterCounter(name+".omitted", registry),
	}
}

// Receive verifies and decodes a sealed frame and passes it to the handler. It rejects
// a frame that is not valid, and reports whether it was valid. It does not retain sealed.
func (r *Receiver) Receive(sealed []byte) bool {
	data, err := r.sealer.Open(sealed)
	if err != nil {
		r.Reject(wire.RejectionReason(err), err)
		return false
	}
	frame, err := r.codec.DecodeFrame(data)
	if err != nil {
		r.Reject(wire.RejectionReason(err), err)
		return false
	}
	r.received.Inc(1)
	if n := frame.Omitted(); n > 0 {
		r.omitted.Inc(int64(n))
		r.log.Warn(r.name+": part of a frame left out: it has invalid rumors", "from", frame.From().Node().String(), "rumors", n)
	}
	r.handle(frame)
	return true
}

// Reject counts and logs rejected input. Each distinct reason has its own counter, so
// callers must use only a few reasons.
func (r *Receiver) Reject(reason string, err error) {
	counter := metrics.GetOrRegisterCounter(r.name+".refused."+reason, r.registry)
	counter.Inc(1)
	// A flood of bad input must not flood the log, so only counts that are powers of
	// two are logged.
	if n := counter.Count(); n&(n-1) == 0 {
		r.log.Warn(r.name+": input rejected", "reason", reason, "count", n, "err", err)
	}
}

// Sender is a transport that can also send frames that are already sealed.
type Sender interface {
	jackdawbridge.Transport
	// SendSealed sends a sealed frame without waiting. It may retain the slice.
	SendSealed(to jackdawbridge.Peer, sealed []byte) error
}

// Seal encodes and seals a frame.
func Seal(codec jackdawbridge.Codec, sealer *wire.Sealer, frame jackdawbridge.Frame) ([]byte, error) {
	data, err := codec.EncodeFrame(frame)
	if err != nil {
		return nil, errors.Errorf("seal frame: %w", err)
	}
	return sealer.Seal(data), nil
}
