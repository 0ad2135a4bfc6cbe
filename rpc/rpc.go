// Package rpc carries frames that are too large for a datagram between nodes,
// by unary gRPC calls.
package rpc

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// MaxFrame is the size of the largest sealed frame in bytes. It leaves room for
// a stored value of 1 MB.
const MaxFrame = 2 << 20

const (
	maxPacket   = MaxFrame + 64 // bytes, with the encoding of the packet
	maxPeers    = 64            // connections to peers
	maxAccepted = 128           // connections from peers
	maxHeader   = 8 << 10       // bytes
	queueLength = 16            // frames that wait for one peer
	maxQueued   = 8 << 20       // bytes that wait for all peers; a quarter of the memory for control
	callTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
)

// Transport sends frames to peers over one connection each, and receives
// frames on one listener.
type Transport struct {
	codec  jackdawbridge.Codec
	sealer *wire.Sealer
	sent   metrics.Counter
	lost   metrics.Counter // frames that were queued and not delivered
	log    *slog.Logger
	idle   time.Duration
	server *grpc.Server
	addr   netip.AddrPort
	ctx    context.Context // ends when the transport is closed
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peer // at most maxPeers
	queued int                      // bytes in all queues, at most maxQueued
}

var _ transport.Sender = (*Transport)(nil)

// Listen opens the listener and hands received frames to handle, which must not
// block. Operators that ask are told what status returns. Its counters are rpc.sent, rpc.lost, rpc.received and
// rpc.refused.REASON.
func Listen(address netip.AddrPort, codec jackdawbridge.Codec, sealer *wire.Sealer, registry metrics.Registry, log *slog.Logger, handle func(jackdawbridge.Frame), status func() jackdawbridge.Status) (*Transport, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Errorf("rpc: %w", err)
	}
	t := &Transport{
		codec: codec, sealer: sealer, log: log, idle: idleTimeout,
		sent:  metrics.GetOrRegisterCounter("rpc.sent", registry),
		lost:  metrics.GetOrRegisterCounter("rpc.lost", registry),
		addr:  listener.Addr().(*net.TCPAddr).AddrPort(),
		peers: make(map[netip.AddrPort]*peer),
		// One call at a time on each connection bounds the memory of calls that
		// have not been verified.
		server: grpc.NewServer(grpc.MaxRecvMsgSize(maxPacket), grpc.MaxConcurrentStreams(1),
			grpc.MaxHeaderListSize(maxHeader), grpc.ConnectionTimeout(callTimeout), grpc.WaitForHandlers(true),
			grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleTimeout})),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	intake := transport.NewIntake("rpc", codec, sealer, registry, log, handle)
	pb.RegisterPeerServer(t.server, &service{intake: intake, status: status})
	t.wg.Go(func() {
		if err := t.server.Serve(netutil.LimitListener(listener, maxAccepted)); err != nil {
			log.Error("rpc: listener ended", "err", err)
		}
	})
	return t, nil
}

// Address returns the address of the listener.
func (t *Transport) Address() netip.AddrPort { return t.addr }

// Send queues a frame for a peer.
func (t *Transport) Send(to jackdawbridge.Peer, frame jackdawbridge.Frame) error {
	sealed, err := transport.Seal(t.codec, t.sealer, frame)
	if err != nil {
		return errors.Errorf("rpc: %w", err)
	}
	return t.SendSealed(to, sealed)
}

// SendSealed queues a sealed frame for a peer.
func (t *Transport) SendSealed(to jackdawbridge.Peer, sealed []byte) error {
	if len(sealed) > MaxFrame {
		return errors.Errorf("rpc: %d bytes: %w", len(sealed), transport.ErrTooLarge)
	}
	address := to.Addresses().RPC()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return errors.Errorf("rpc: %w", transport.ErrClosed)
	}
	if t.queued+len(sealed) > maxQueued {
		return errors.Errorf("rpc: %d bytes wait: %w", t.queued, transport.ErrBusy)
	}
	p := t.peers[address]
	if p == nil {
		if len(t.peers) >= maxPeers {
			return errors.Errorf("rpc: %d connections: %w", len(t.peers), transport.ErrBusy)
		}
		conn, err := dial(address)
		if err != nil {
			return errors.Errorf("rpc: connect to %s: %w", address, err)
		}
		p = &peer{address: address, conn: conn, queue: make(chan []byte, queueLength)}
		t.peers[address] = p
		t.wg.Go(func() { t.serve(p) })
	}
	select {
	case p.queue <- sealed:
		t.queued += len(sealed)
		return nil
	default:
		return errors.Errorf("rpc: %d frames wait for %s: %w", queueLength, address, transport.ErrBusy)
	}
}

// Close ends all connections and waits until nothing runs. Queued frames are lost.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.server.Stop()
	t.wg.Wait()
	return nil
}

type service struct {
	pb.UnimplementedPeerServer
	intake *transport.Intake
	status func() jackdawbridge.Status
}

// Deliver receives one frame. The answer does not tell whether it was refused,
// so that it does not help to forge frames.
func (s *service) Deliver(_ context.Context, packet *pb.Packet) (*pb.Empty, error) {
	if len(packet.Frame) > MaxFrame {
		s.intake.Refuse("oversize", transport.ErrTooLarge)
	} else {
		s.intake.Receive(packet.Frame)
	}
	return &pb.Empty{}, nil
}

// TokenRequest tells which settings are in force.
func (s *service) Ask(context.Context, *pb.Empty) (*pb.Revisions, error) {
	status := s.status()
	self, digest := status.Self(), status.Digest()
	return &pb.Revisions{
		Instance: string(self.Node().Instance()), Centre: string(self.DataCentre()),
		Config: digest.Config(), Keys: digest.Keys(),
	}, nil
}
