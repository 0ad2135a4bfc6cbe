package link

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"net"

	"github.com/go-faster/errors"
)

// nonceSize is the size of a nonce of the handshake in bytes. Each side requires
// its nonce to be returned, so a captured connection cannot be replayed.
const nonceSize = 16

// The steps of the handshake. Each message names its step, so that it cannot be
// reflected as the message of another step.
const (
	stepCall   byte = 1 // from the client: the client's nonce
	stepAnswer byte = 2 // from the server: the client's nonce, then the server's
	stepProof  byte = 3 // from the client: the server's nonce
)

// clientHandshake authenticates a connection at the side that dialled it. When it
// succeeds, the server has proved that it has the fleet secret, and the last
// message proves the same of this node.
func greetAsDialer(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	nonce := newNonce()
	if err := sendHello(conn, sealer, stepCall, nonce); err != nil {
		return err
	}
	answer, err := receiveHello(r, sealer, stepAnswer, 2*nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(answer[:nonceSize], nonce) {
		return errors.Errorf("%w: handshake returns the wrong nonce", errProtocol)
	}
	return sendHello(conn, sealer, stepProof, answer[nonceSize:])
}

// serverHandshake authenticates a connection at the side that accepted it. When it
// succeeds, the client has proved that it has the fleet secret.
func greetAsListener(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	clientNonce, err := receiveHello(r, sealer, stepCall, nonceSize)
	if err != nil {
		return err
	}
	nonce := newNonce()
	if err := sendHello(conn, sealer, stepAnswer, append(bytes.Clone(clientNonce), nonce...)); err != nil {
		return err
	}
	echo, err := receiveHello(r, sealer, stepProof, nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(echo, nonce) {
		return errors.Errorf("%w: handshake returns the wrong nonce", errProtocol)
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

func sendHello(conn net.Conn, sealer Sealer, step byte, content []byte) error {
	sealed := sealer.SealHello(append([]byte{step}, content...))
	data := frameHead{size: len(sealed), kind: kindHello}.append(nil)
	if _, err := conn.Write(append(data, sealed...)); err != nil {
		return errors.Errorf("link: send handshake: %w", err)
	}
	return nil
}

// maxHandshake bounds a sealed handshake message in bytes.
const maxHello = 256

func receiveHello(r *bufio.Reader, sealer Sealer, step byte, size int) ([]byte, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	if h.kind != kindHello || h.size > maxHello {
		return nil, errors.Errorf("%w: want a handshake message", errProtocol)
	}
	sealed, err := readPayload(r, h)
	if err != nil {
		return nil, err
	}
	message, err := sealer.OpenHello(sealed)
	if err != nil {
		return nil, errors.Errorf("link: open handshake: %w", err)
	}
	if len(message) != 1+size || message[0] != step {
		return nil, errors.Errorf("%w: handshake message of another step", errProtocol)
	}
	return message[1:], nil
}
