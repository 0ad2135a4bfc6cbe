// Package socket reads and writes TCP connections by raw system calls, of which the Go
// scheduler is not notified. This is safe because the calls never block: the sockets are
// non-blocking, and the runtime's poller waits until they are ready. The scheduler would
// wake its monitor thread at the first notified system call after each idle period, and
// that thread runs for a while each time. A node that handles some hundred requests a
// second is idle thousands of times a second.
package socket

import "net"

// Conn is a TCP connection. It is safe for one reader and one writer at a time.
type Conn interface {
	net.Conn
	// Idle reports whether there is nothing to read: neither unread bytes nor the end
	// of the connection have arrived.
	Idle() bool
	// Ended reports whether the peer has closed or reset the connection, even if bytes that
	// it sent before are not yet read.
	Ended() bool
}

// Wrap returns a connection that reads and writes conn by raw system calls. If conn is not
// a TCP connection or the system is not supported, Read and Write are those of conn,
// Idle always returns true and Ended always returns false.
func Wrap(conn net.Conn) Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if c, err := wrap(tcp); err == nil {
			return c
		}
	}
	return plain{conn}
}

// plain is a connection that is used without raw system calls.
type plain struct{ net.Conn }

// Ended always returns false, because a net.Conn cannot look for its end without reading.
func (plain) Ended() bool { return false }

// Idle always returns true, because a net.Conn cannot look for bytes without reading them.
func (plain) Idle() bool { return true }
