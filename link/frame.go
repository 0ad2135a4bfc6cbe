package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
)

// kind is the type of a frame.
type kind uint8

const (
	kindHandshake kind = iota + 1 // one step of the handshake
	kindRequest                   // the head of a request, which opens a stream
	kindReply                     // the head of an answer
	kindData                      // a chunk of a body
	kindCredit                    // grants as many further bytes of a body as the payload says
	kindReset                     // the sender has cancelled the request or broken off its answer
	kindPing                      // requests a pong
	kindPong
	kindWithdraw // withdraws all requests on the connection that are not yet running
)

const (
	flagEnd         uint8 = 1 << iota // the body ends with this frame
	flagAwaitCredit                   // the body of the request is sent only after a credit frame
)

// headerSize is the size of a frame header in bytes: the payload size, the kind,
// the flags and the stream number, all big endian.
const headerSize = 4 + 1 + 1 + 4

// frameHeader precedes the payload of each frame.
type frameHeader struct {
	size   int // of the payload, in bytes, at most MaxPayload
	kind   kind
	flags  uint8
	stream uint32 // stream number of the request; 0 if the frame concerns the whole connection
}

// endsBody reports whether the body ends with this frame.
func (h frameHeader) endsBody() bool { return h.flags&flagEnd != 0 }

// needsNoRequest reports whether a listener takes the frame without a request in progress.
func (h frameHeader) needsNoRequest() bool {
	return h.kind == kindRequest || h.kind == kindPing || h.kind == kindWithdraw
}

// append appends the encoded header to buffer.
func (h frameHeader) append(buffer []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(h.size))
	buffer = append(buffer, byte(h.kind), h.flags)
	return binary.BigEndian.AppendUint32(buffer, h.stream)
}

// readHeader reads the header of the next frame.
func readHeader(r *bufio.Reader) (frameHeader, error) {
	data, err := r.Peek(headerSize)
	if err != nil {
		return frameHeader{}, errors.Errorf("link: read frame header: %w", err)
	}
	h := frameHeader{
		size: int(binary.BigEndian.Uint32(data)), kind: kind(data[4]), flags: data[5],
		stream: binary.BigEndian.Uint32(data[6:]),
	}
	_, _ = r.Discard(headerSize) // cannot fail: Peek has buffered these bytes
	if h.size > MaxPayload {
		return h, errors.Errorf("%w: payload of %d bytes is too large", errProtocol, h.size)
	}
	return h, nil
}

// discardPayload skips the payload that follows the header h.
func discardPayload(r *bufio.Reader, h frameHeader) error {
	if _, err := r.Discard(h.size); err != nil {
		return errors.Errorf("link: skip frame payload: %w", err)
	}
	return nil
}

// readPayload reads the payload that follows the header h.
func readPayload(r *bufio.Reader, h frameHeader) ([]byte, error) {
	if h.size == 0 {
		return nil, nil
	}
	payload := make([]byte, h.size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, errors.Errorf("link: read frame payload: %w", err)
	}
	return payload, nil
}

// creditSize is the size of the payload of a credit frame in bytes.
const creditSize = 4

// creditPayload returns the payload of a frame that grants n bytes.
func creditPayload(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// unexpectedFrame returns the error for a frame that a request must not have.
func unexpectedFrame(h frameHeader) error {
	return errors.Errorf("%w: unexpected frame of kind %d", errProtocol, h.kind)
}

// readCredit returns how many bytes a credit frame grants.
func readCredit(payload []byte) (int, error) {
	if len(payload) != creditSize {
		return 0, errors.Errorf("%w: credit payload has %d bytes: want %d", errProtocol, len(payload), creditSize)
	}
	n := binary.BigEndian.Uint32(payload)
	if n > window {
		return 0, errors.Errorf("%w: credit for %d bytes exceeds the window", errProtocol, n)
	}
	return int(n), nil
}
