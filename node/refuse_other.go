//go:build !linux

package node

import (
	"net"

	"github.com/go-faster/errors"
)

// stopHandshakes is known for Linux only.
func stopHandshakes(net.Listener) error {
	return errors.New("handshakes cannot be stopped on this system")
}
