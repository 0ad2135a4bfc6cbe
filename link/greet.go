package link

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"net"

	"github.com/go-faster/errors"
)

// nonceSize is the size of the random number of a greeting in bytes. Each side
// wants its own back, so a captured connection cannot be played again.
const nonceSize = 16

// The steps of the greetings. A greeting names its step, so that one cannot be
// sent back as another.
const (
	stepCall   byte = 1 // of the dialing side: its nonce
	stepAnswer byte = 2 // of the accepting side: the nonce of the other side and its own
	stepProof  byte = 3 // of the dialing side: the nonce of the other side
)

// greetAsDialer proves that this node belongs to the fleet, and that the other
// side does.
func greetAsDialer(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	own := newNonce()
	if err := sendHello(conn, sealer, stepCall, own); err != nil {
		return err
	}
	answer, err := receiveHello(r, sealer, stepAnswer, 2*nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(answer[:nonceSize], own) {
		return errors.Errorf("%w: greeting of another connection", errProtocol)
	}
	return sendHello(conn, sealer, stepProof, answer[nonceSize:])
}

// greetAsListener proves that this node belongs to the fleet, and that the other
// side does.
func greetAsListener(conn net.Conn, r *bufio.Reader, sealer Sealer) error {
	call, err := receiveHello(r, sealer, stepCall, nonceSize)
	if err != nil {
		return err
	}
	own := newNonce()
	if err := sendHello(conn, sealer, stepAnswer, append(bytes.Clone(call), own...)); err != nil {
		return err
	}
	proof, err := receiveHello(r, sealer, stepProof, nonceSize)
	if err != nil {
		return err
	}
	if !bytes.Equal(proof, own) {
		return errors.Errorf("%w: greeting of another connection", errProtocol)
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
		return errors.Errorf("link: send greeting: %w", err)
	}
	return nil
}

// maxHello bounds a sealed greeting in bytes.
const maxHello = 256

func receiveHello(r *bufio.Reader, sealer Sealer, step byte, size int) ([]byte, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	if h.kind != kindHello || h.size > maxHello {
		return nil, errors.Errorf("%w: no greeting", errProtocol)
	}
	sealed, err := readPayload(r, h)
	if err != nil {
		return nil, err
	}
	hello, err := sealer.OpenHello(sealed)
	if err != nil {
		return nil, errors.Errorf("link: greeting: %w", err)
	}
	if len(hello) != 1+size || hello[0] != step {
		return nil, errors.Errorf("%w: greeting of another step", errProtocol)
	}
	return hello[1:], nil
}
