//go:build !linux

package node

import (
	"net"

	"github.com/go-faster/errors"
)

// stopHandshakes is implemented on Linux only. It always fails here.
func stopHandshakes(net.Listener) error {
	return errors.New("stop handshakes: not supported on this operating system")
}
