package link

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"net"

	"github.com/go-faster/errors"
)

// nonceSize is the size of a nonce of the handshake in bytes. Each side requires
// its nonce to be returned, so a captured handshake cannot be replayed.
const nonceSize = 16

// The steps of the handshake. Each message names its step, so that it cannot be
// reflected as the message of another step.
const (
	stepClientNonce byte = 1 // from the client: the client's nonce
	stepServerNonce byte = 2 // from the server: the client's nonce, then the server's
	stepConfirm     byte = 3 // from the client: the server's nonce
)

// clientHandshake authenticates a connection at the side that dialled it. When it
// succeeds, the server has proved that it has a secret of the fleet, and the
// message that was sent last proves the same of this node to the server.
func clientHandshake(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	nonce := newNonce()
	if err := sendHandshake(conn, sealer, stepClientNonce, nonce); err != nil {
		return err
	}
	answer, err := receiveHandshake(r, sealer, stepServerNonce, 2*nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(answer[:nonceSize], nonce) {
		return errors.Errorf("%w: peer returned the wrong nonce in the handshake", errProtocol)
	}
	return sendHandshake(conn, sealer, stepConfirm, answer[nonceSize:])
}

// serverHandshake authenticates a connection at the side that accepted it. When it
// succeeds, the client has proved that it has a secret of the fleet.
func serverHandshake(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	clientNonce, err := receiveHandshake(r, sealer, stepClientNonce, nonceSize)
	if err != nil {
		return err
	}
	nonce := newNonce()
	if err := sendHandshake(conn, sealer, stepServerNonce, append(bytes.Clone(clientNonce), nonce...)); err != nil {
		return err
	}
	echo, err := receiveHandshake(r, sealer, stepConfirm, nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(echo, nonce) {
		return errors.Errorf("%w: peer returned the wrong nonce in the handshake", errProtocol)
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

// sendHandshake seals and sends the handshake message of one step.
func sendHandshake(conn net.Conn, sealer Sealer, step byte, content []byte) error {
	sealed := sealer.SealHandshake(append([]byte{step}, content...))
	data := frameHeader{size: len(sealed), kind: kindHandshake}.append(nil)
	if _, err := conn.Write(append(data, sealed...)); err != nil {
		return errors.Errorf("link: send handshake: %w", err)
	}
	return nil
}

// maxHandshake bounds a sealed handshake message in bytes.
const maxHandshake = 256

// receiveHandshake returns the content of the next message, which must be the
// handshake message of the given step with a content of size bytes.
func receiveHandshake(r *bufio.Reader, sealer Sealer, step byte, size int) ([]byte, error) {
	h, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	if h.kind != kindHandshake || h.size > maxHandshake {
		return nil, errors.Errorf("%w: frame is not a handshake message or is too large", errProtocol)
	}
	sealed, err := readPayload(r, h)
	if err != nil {
		return nil, err
	}
	message, err := sealer.OpenHandshake(sealed)
	if err != nil {
		return nil, errors.Errorf("link: verify handshake message: %w", err)
	}
	if len(message) != 1+size || message[0] != step {
		return nil, errors.Errorf("%w: handshake message has the wrong step or size", errProtocol)
	}
	return message[1:], nil
}
