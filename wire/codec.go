// Package wire encodes frames, heads of requests and answers, and stored values as
// protobuf, and seals the frames and handshakes between nodes. The checks of the root
// package define what is valid. Beyond that, this package rejects only data that the
// types of the root package cannot represent, and headers with too many fields.
package wire

//go:generate go tool buf generate .. --template ../buf.gen.yaml -o ..

import (
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

// Codec is the protobuf codec. It ignores unknown fields, so that nodes of different
// versions can run together during a rollout. The zero value is ready to use.
type Codec struct{}

var _ jackdawbridge.Codec = Codec{}

// EncodeFrame encodes a frame. It returns an error if the frame is not valid.
func (Codec) EncodeFrame(frame jackdawbridge.Frame) ([]byte, error) {
	if err := frame.Check(); err != nil {
		return nil, errors.Errorf("encode frame: %w", err)
	}
	f := &pb.Frame{From: fromPeer(frame.From()), Digest: fromDigest(frame.Digest())}
	setMessage(f, frame.Message())
	data, err := f.MarshalVT()
	if err != nil {
		return nil, errors.Errorf("encode frame: %w", err)
	}
	return data, nil
}

// DecodeFrame decodes a frame. It returns an error if the frame is not valid, except for a
// rumor: it is left out, so that the message and the other rumors take effect.
func (Codec) DecodeFrame(data []byte) (jackdawbridge.Frame, error) {
	var f pb.Frame
	if err := f.UnmarshalVT(data); err != nil {
		return jackdawbridge.Frame{}, errors.Errorf("decode frame: %w", err)
	}
	var d decoder
	frame := jackdawbridge.NewFrame(d.peer(f.From), d.digest(f.Digest), d.message(&f)).WithOmitted(d.omitted)
	if d.err == nil {
		d.err = frame.Check()
	}
	if d.err != nil {
		return jackdawbridge.Frame{}, errors.Errorf("decode frame: %w", d.err)
	}
	return frame, nil
}

// EncodeValue encodes a stored value. It does not check whether the value belongs to
// its record. DecodeValue checks that, since it is given the name of the record.
func (Codec) EncodeValue(value jackdawbridge.Value) ([]byte, error) {
	var v pb.Value
	switch value := value.(type) {
	case *jackdawbridge.Table:
		v.Value = &pb.Value_Table{Table: &pb.Table{
			Revision: value.Revision(), Change: value.Change(), Entries: mapSlice(value.Entries(), fromEntry),
			Omitted: fromOmissions(value.Omissions()),
		}}
	case *jackdawbridge.Ranges:
		v.Value = &pb.Value_Ranges{Ranges: fromRanges(value)}
	case *jackdawbridge.Seed:
		v.Value = &pb.Value_Seed{Seed: fromPeer(value.Peer())}
	case *jackdawbridge.Departures:
		v.Value = &pb.Value_Departure{Departure: fromDepartures(value)}
	default:
		return nil, errors.Errorf("encode value: unknown type %T", value)
	}
	data, err := v.MarshalVT()
	if err != nil {
		return nil, errors.Errorf("encode value: %w", err)
	}
	return data, nil
}

// DecodeValue decodes a value of the named record. It returns an error if the value is
// not valid for that record.
func (Codec) DecodeValue(name jackdawbridge.RecordName, data []byte) (jackdawbridge.Value, error) {
	var p pb.Value
	if err := p.UnmarshalVT(data); err != nil {
		return nil, errors.Errorf("decode value of %s: %w", name, err)
	}
	var d decoder
	value := d.value(&p)
	if d.err == nil {
		d.err = jackdawbridge.CheckValue(name, value)
	}
	if d.err != nil {
		return nil, errors.Errorf("decode value of %s: %w", name, d.err)
	}
	return value, nil
}

// mapSlice returns the results of f for the elements of list, or nil if list is empty.
func mapSlice[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}
