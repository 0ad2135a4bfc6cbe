// Package gossip sends and receives small frames between nodes as UDP datagrams.
package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/go-faster/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// MaxFrame is the size of the largest sealed frame in bytes. With the IP and UDP
// headers it stays below 1280 bytes, the smallest MTU that IPv6 allows, so that no
// datagram is fragmented.
const MaxFrame = 1200

// readBufferSize is the size of the buffer for one datagram in bytes. A larger datagram
// is truncated, and rejected because it exceeds MaxFrame.
const readBufferSize = 2048

// Transport sends and receives datagrams on one UDP socket.
type Transport struct {
	codec  jackdawbridge.Codec
	sealer *wire.Sealer
	sent   metrics.Counter
	lost   metrics.Counter // datagrams that the kernel did not accept
	engine gnet.Engine
	conn   *net.UDPConn  // duplicate of the engine's socket, for sending
	raw    rawConn       // of conn
	done   chan struct{} // closed when the engine has stopped
	err    error         // result of the engine, set before done is closed
	once   sync.Once
}

// rawConn provides access to the file descriptor of the socket.
type rawConn interface {
	Control(f func(fd uintptr)) error
}

var _ transport.Sender = (*Transport)(nil)

// Listen opens the socket and calls handle for each received frame. The handle
// function must not block. Listen registers the counters gossip.sent, gossip.lost,
// gossip.received and gossip.refused.REASON.
func Listen(address netip.AddrPort, codec jackdawbridge.Codec, sealer *wire.Sealer, registry metrics.Registry, log *slog.Logger, handle func(jackdawbridge.Frame)) (*Transport, error) {
	t := &Transport{
		codec: codec, sealer: sealer, done: make(chan struct{}),
		sent: metrics.GetOrRegisterCounter("gossip.sent", registry),
		lost: metrics.GetOrRegisterCounter("gossip.lost", registry),
	}
	network := "udp4://"
	if address.Addr().Is6() {
		network = "udp6://"
	}
	h := &handler{
		started:  make(chan gnet.Engine, 1),
		receiver: transport.NewReceiver("gossip", codec, sealer, registry, log, handle),
	}
	go func() {
		defer close(t.done)
		t.err = gnet.Run(h, network+address.String(), gnet.WithNumEventLoop(1),
			gnet.WithReadBufferCap(readBufferSize), gnet.WithLogger(logger{log}))
	}()
	select {
	case <-t.done:
		return nil, errors.Errorf("listen on %s: %w", address, t.err)
	case t.engine = <-h.started:
	}
	if err := t.open(); err != nil {
		return nil, errors.Join(errors.Errorf("listen on %s: %w", address, err), t.Close())
	}
	return t, nil
}

// open duplicates the engine's socket for sending. gnet itself can send only while
// it handles a received datagram, and peers expect datagrams from the listening
// address.
func (t *Transport) open() error {
	fd, err := t.engine.Dup()
	if err != nil {
		return errors.Errorf("duplicate socket: %w", err)
	}
	// gnet always sets SO_REUSEPORT on UDP sockets. With it, a second process could
	// listen on the same address and would receive part of the datagrams instead of
	// an error.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 0); err != nil {
		return errors.Errorf("disable SO_REUSEPORT: %w", errors.Join(err, unix.Close(fd)))
	}
	file := os.NewFile(uintptr(fd), "gossip")
	conn, err := net.FilePacketConn(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Errorf("open duplicate socket: %w", err)
	}
	t.conn = conn.(*net.UDPConn)
	if t.raw, err = t.conn.SyscallConn(); err != nil {
		return errors.Errorf("access duplicate socket: %w", err)
	}
	return nil
}

// Address returns the address that the socket is bound to.
func (t *Transport) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send seals a frame and sends it in one datagram.
func (t *Transport) Send(to jackdawbridge.Peer, frame jackdawbridge.Frame) error {
	sealed, err := transport.Seal(t.codec, t.sealer, frame)
	if err != nil {
		return errors.Errorf("gossip: %w", err)
	}
	return t.SendSealed(to, sealed)
}

// SendSealed sends a sealed frame in one datagram. It does not wait: if the socket
// buffer is full, the datagram is lost and an error is returned.
func (t *Transport) SendSealed(to jackdawbridge.Peer, sealed []byte) error {
	if len(sealed) > MaxFrame {
		return errors.Errorf("gossip: %d bytes: %w", len(sealed), transport.ErrTooLarge)
	}
	var address unix.Sockaddr
	peer := to.Addresses().Gossip()
	if peer.Addr().Is4() {
		address = &unix.SockaddrInet4{Port: int(peer.Port()), Addr: peer.Addr().As4()}
	} else {
		address = &unix.SockaddrInet6{Port: int(peer.Port()), Addr: peer.Addr().As16()}
	}
	var sendErr error
	err := t.raw.Control(func(fd uintptr) {
		sendErr = unix.Sendto(int(fd), sealed, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, address)
	})
	if errors.Is(err, net.ErrClosed) {
		return errors.Errorf("gossip: %w", transport.ErrClosed)
	}
	if err = errors.Join(err, sendErr); err != nil {
		t.lost.Inc(1)
		return errors.Errorf("gossip: send to %s: %w", peer, err)
	}
	t.sent.Inc(1)
	return nil
}

// Close stops the engine, waits for it, and closes the socket.
func (t *Transport) Close() error {
	var err error
	t.once.Do(func() {
		// With a cancelled context, Stop only starts the shutdown. Otherwise it would
		// poll every 500 ms for the end of the shutdown.
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = t.engine.Stop(cancelled)
		<-t.done
		err = t.err
		if t.conn != nil {
			err = errors.Join(err, t.conn.Close())
		}
	})
	return err
}

// handler receives the events of the gnet engine.
type handler struct {
	gnet.BuiltinEventEngine
	started  chan gnet.Engine
	receiver *transport.Receiver
}

// OnBoot passes the started engine to Listen.
func (h *handler) OnBoot(engine gnet.Engine) gnet.Action {
	h.started <- engine
	return gnet.None
}

// OnTraffic processes one datagram.
func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	switch {
	case err != nil:
		h.receiver.Reject("malformed", err)
	case len(data) > MaxFrame:
		h.receiver.Reject("oversize", transport.ErrTooLarge)
	default:
		h.receiver.Receive(data)
	}
	return gnet.None
}
