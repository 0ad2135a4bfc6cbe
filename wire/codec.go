// Package wire encodes frames, heads of requests and stored values as protobuf and
// seals what travels between nodes. It decides nothing: what it accepts is
// defined by the checks of the root package.
package wire

//go:generate go tool buf generate .. --template ../buf.gen.yaml -o ..

import (
	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

// Codec is the protobuf codec. It ignores fields that a newer version has added,
// so that versions can be mixed during a rollout. The zero value is ready to use.
type Codec struct{}

var _ jackdawbridge.Codec = Codec{}

// EncodeFrame returns the bytes of a valid frame.
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

// DecodeFrame returns the frame in data.
func (Codec) DecodeFrame(data []byte) (jackdawbridge.Frame, error) {
	var f pb.Frame
	if err := f.UnmarshalVT(data); err != nil {
		return jackdawbridge.Frame{}, errors.Errorf("decode frame: %w", err)
	}
	var d decoder
	frame := jackdawbridge.NewFrame(d.peer(f.From), d.digest(f.Digest), d.message(&f))
	if d.err == nil {
		d.err = frame.Check()
	}
	if d.err != nil {
		return jackdawbridge.Frame{}, errors.Errorf("decode frame: %w", d.err)
	}
	return frame, nil
}

// EncodeValue returns the bytes of a stored value. Whether the value fits its
// record is checked when it is decoded, with the name of the record.
func (Codec) EncodeValue(value jackdawbridge.Value) ([]byte, error) {
	var v pb.Value
	switch value := value.(type) {
	case *jackdawbridge.Table:
		v.Value = &pb.Value_Table{Table: &pb.Table{
			Revision: value.Revision(), Change: value.Change(), Entries: each(value.Entries(), fromEntry),
		}}
	case *jackdawbridge.Ranges:
		v.Value = &pb.Value_Ranges{Ranges: fromRanges(value)}
	case *jackdawbridge.Seed:
		v.Value = &pb.Value_Seed{Seed: fromPeer(value.Peer())}
	default:
		return nil, errors.Errorf("encode value: %T is unknown", value)
	}
	data, err := v.MarshalVT()
	if err != nil {
		return nil, errors.Errorf("encode value: %w", err)
	}
	return data, nil
}

// DecodeValue returns the value in data as one of the named record.
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

func each[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}
