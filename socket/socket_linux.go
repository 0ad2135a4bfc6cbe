package socket

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"

	"github.com/go-faster/errors"
)

// conn is a TCP connection that is read and written by raw system calls.
type conn struct {
	net.Conn
	raw syscall.RawConn
}

func wrap(tcp *net.TCPConn) (Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: tcp, raw: raw}, nil
}

// transfer is the state of one Read or Write.
type transfer struct {
	buffer []byte
	done   int           // bytes transferred
	errno  syscall.Errno // of the last system call, 0 if it succeeded
}

// call makes the system call of the given number on the part of the buffer that is not yet
// transferred. It returns false if the socket is not ready.
func (t *transfer) call(number, fd uintptr) bool {
	rest := t.buffer[t.done:]
	for {
		n, _, errno := syscall.RawSyscall(number, fd, uintptr(unsafe.Pointer(unsafe.SliceData(rest))), uintptr(len(rest)))
		switch errno {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		case 0:
			t.done += int(n)
		}
		t.errno = errno
		return true
	}
}

// result returns the error of a finished operation, as a net.OpError, or nil. The argument
// err is the error of the raw connection.
func (t *transfer) result(c *conn, operation string, err error) error {
	if err == nil && t.errno != 0 {
		err = os.NewSyscallError(operation, t.errno)
	}
	if err == nil {
		return nil
	}
	var opError *net.OpError
	if errors.As(err, &opError) {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Read reads the bytes that have arrived, and waits until there are some.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	t := transfer{buffer: p}
	err := c.raw.Read(func(fd uintptr) bool { return t.call(syscall.SYS_READ, fd) })
	if err := t.result(c, "read", err); err != nil {
		return 0, err
	}
	if t.done == 0 {
		return 0, io.EOF
	}
	return t.done, nil
}

// Write writes all of p. It waits while the socket is not ready.
func (c *conn) Write(p []byte) (int, error) {
	t := transfer{buffer: p}
	err := c.raw.Write(func(fd uintptr) bool {
		for t.done < len(t.buffer) {
			if !t.call(syscall.SYS_WRITE, fd) {
				return false
			}
			if t.errno != 0 {
				return true
			}
		}
		return true
	})
	return t.done, t.result(c, "write", err)
}

// Idle reports whether the connection is open and no bytes have arrived. It reads
// nothing from the connection.
func (c *conn) Idle() bool {
	_, errno, ok := c.peek()
	return ok && errno == syscall.EAGAIN
}

// Ended reports whether the end of the connection or a reset has arrived. It reads
// nothing from the connection.
func (c *conn) Ended() bool {
	n, errno, ok := c.peek()
	if !ok || errno == 0 && n == 0 || errno != 0 && errno != syscall.EAGAIN {
		return true
	}
	return n > 0 && c.hungUp()
}

// Events of poll that report the end of a connection. See poll(2).
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRdhup = 0x2000
)

// pollFD is the argument of the system call ppoll.
type pollFD struct {
	fd      int32
	events  int16
	revents int16
}

// hungUp reports whether the end of the connection or a reset has arrived behind unread
// bytes.
func (c *conn) hungUp() bool {
	var poll pollFD
	err := c.raw.Control(func(fd uintptr) {
		poll = pollFD{fd: int32(fd), events: pollRdhup}
		var atOnce syscall.Timespec
		_, _, _ = syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1, uintptr(unsafe.Pointer(&atOnce)), 0, 0, 0)
	})
	return err != nil || poll.revents&(pollRdhup|pollHup|pollErr) != 0
}

// peek looks for a byte to read. It returns their number, 0 at the end of the connection,
// or the error of the system call, and false if the connection is closed.
func (c *conn) peek() (n uintptr, errno syscall.Errno, ok bool) {
	var one [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, errno = syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&one)), 1,
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	})
	return n, errno, err == nil
}
