package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
)

// kind tells what a frame is.
type kind uint8

const (
	kindHello  kind = iota + 1 // a greeting
	kindOpen                   // the head of a request
	kindReply                  // the head of an answer
	kindData                   // a part of a body
	kindCredit                 // more bytes of a body may be sent, as many as the payload says
	kindReset                  // the request is given up, or its answer broken off
	kindPing                   // asks for a pong
	kindPong
)

const (
	flagEnd uint8 = 1 << iota // the body ends with this frame
	flagAsk                   // the body of the request waits until it is asked for
)

// headSize is the size of the head of a frame: the size of the payload, the
// kind, the flags and the number of the request, as big-endian numbers.
const headSize = 4 + 1 + 1 + 4

// frameHead is the head of a frame.
type frameHead struct {
	size   int // of the payload in bytes, at most maxPayload
	kind   kind
	flags  uint8
	stream uint32 // 0 where no request is meant
}

// ends reports whether the body ends with the frame.
func (h frameHead) ends() bool { return h.flags&flagEnd != 0 }

// append adds the head to a buffer.
func (h frameHead) append(buffer []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(h.size))
	buffer = append(buffer, byte(h.kind), h.flags)
	return binary.BigEndian.AppendUint32(buffer, h.stream)
}

// readHead reads the head of a frame.
func readHead(r *bufio.Reader) (frameHead, error) {
	data, err := r.Peek(headSize)
	if err != nil {
		return frameHead{}, errors.Errorf("link: read frame: %w", err)
	}
	h := frameHead{
		size: int(binary.BigEndian.Uint32(data)), kind: kind(data[4]), flags: data[5],
		stream: binary.BigEndian.Uint32(data[6:]),
	}
	_, _ = r.Discard(headSize) // the bytes are in the buffer
	if h.size > maxPayload {
		return h, errors.Errorf("%w: %d bytes", errProtocol, h.size)
	}
	return h, nil
}

// readPayload reads the payload of a frame.
func readPayload(r *bufio.Reader, h frameHead) ([]byte, error) {
	if h.size == 0 {
		return nil, nil
	}
	payload := make([]byte, h.size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, errors.Errorf("link: read frame: %w", err)
	}
	return payload, nil
}

// creditPayload returns the payload of a credit.
func creditPayload(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// readCredit returns the bytes that a credit allows.
func readCredit(payload []byte) (int, error) {
	if len(payload) != 4 {
		return 0, errors.Errorf("%w: credit of %d bytes", errProtocol, len(payload))
	}
	n := binary.BigEndian.Uint32(payload)
	if n > window {
		return 0, errors.Errorf("%w: credit of %d bytes", errProtocol, n)
	}
	return int(n), nil
}
