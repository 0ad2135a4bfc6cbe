// Package socket reads and writes TCP connections without telling the Go
// scheduler of the system calls. They never block, since the sockets are
// non-blocking and the runtime waits for them. The scheduler wakes its monitor
// thread at the first system call after each idle moment, and that thread runs
// for a while each time; a node that handles some hundred requests a second is
// idle thousands of times a second.
package socket

import "net"

// Conn is a TCP connection. It is safe for one reader and one writer at a time.
type Conn interface {
	net.Conn
	// Quiet reports whether nothing has arrived that was not read, not even the
	// end of the connection.
	Quiet() bool
}

// Wrap returns a connection that reads and writes as this package does. One that
// is no TCP connection is returned as it is, and counts as quiet.
func Wrap(conn net.Conn) Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if c, err := wrap(tcp); err == nil {
			return c
		}
	}
	return plain{conn}
}

// plain is a connection that cannot be wrapped.
type plain struct{ net.Conn }

// Quiet returns true: nothing is known.
func (plain) Quiet() bool { return true }
