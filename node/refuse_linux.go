package node

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The filter of a TCP socket sees the segment from its TCP header on.
const (
	tcpFlags = 13   // offset of the flags
	tcpSyn   = 0x02 // opens a connection when ACK is not set
	tcpAck   = 0x10
)

// stopHandshakes lets a listener take part in no new handshake. Handshakes that
// have begun complete, so that Accept can empty the queue before the listener
// is closed. The kernel resets connections that are in the queue at the close,
// and their requests would be cut. A client whose SYN is dropped sends it again
// after a second and is refused.
func stopHandshakes(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return errors.New("listener has no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Errorf("socket of listener: %w", err)
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
		return errors.Errorf("attach filter: %w", err)
	}
	return nil
}
