//go:build !linux

package socket

import (
	"net"

	"github.com/go-faster/errors"
)

// wrap returns an error, so that Wrap uses the connection of the net package.
func wrap(*net.TCPConn) (Conn, error) {
	return nil, errors.New("socket: raw system calls are supported on Linux only")
}
