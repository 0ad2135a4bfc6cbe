//go:build !linux

package socket

import (
	"net"

	"github.com/go-faster/errors"
)

// wrap fails: other systems use the connections of the net package.
func wrap(*net.TCPConn) (Conn, error) {
	return nil, errors.New("socket: not supported on this system")
}
