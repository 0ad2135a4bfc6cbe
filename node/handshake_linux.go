package node

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Offsets and flags in a TCP header. A filter on a TCP socket sees each segment
// from this header on.
const (
	tcpFlags = 13   // offset of the flags
	tcpSyn   = 0x02 // requests a new connection if ACK is not set
	tcpAck   = 0x10
)

// stopHandshakes makes a listener drop the first segment (SYN) of new TCP
// handshakes. Handshakes that have begun can complete, so that Accept can empty
// the queue before the listener is closed. Otherwise the kernel would reset the
// connections that are in the queue at the close, and their requests would be
// lost. A client whose SYN is dropped sends it again after a second and is then
// refused, since the listener is closed.
func stopHandshakes(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return errors.New("stop handshakes: listener does not expose its socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Errorf("get socket of listener: %w", err)
	}
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpSyn},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	if err = errors.Join(err, attachErr); err != nil {
		return errors.Errorf("attach filter to listener: %w", err)
	}
	return nil
}
