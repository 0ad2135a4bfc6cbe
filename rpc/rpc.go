// Package rpc sends and receives frames that are too large for a datagram, by unary
// gRPC calls between nodes.
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
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// MaxFrame is the size of the largest sealed frame in bytes. A stored value of 1 MB
// fits.
const MaxFrame = 2 << 20

const (
	maxPacket = MaxFrame + 64 // bytes, with the protobuf encoding around the frame
	// packetOverhead is what the encoding adds to a frame: a tag and a length, in bytes.
	packetOverhead = 1 + 5
	maxPeers       = 64      // connections to peers
	maxVerified    = 128     // connections on which a peer's frame has arrived
	maxHeader      = 8 << 10 // bytes
	queueLength    = 16      // frames queued for one peer
	maxQueued      = 8 << 20 // bytes queued for all peers; a quarter of the memory for a node's control state
	// maxPeerQueued is the number of bytes queued for one peer, so that a peer that does not
	// answer leaves room for the others. One frame always fits.
	maxPeerQueued = maxQueued / 4
	// maxUnverified is the number of connections on which no peer's frame has arrived yet.
	maxUnverified = 64
	// maxUnverifiedBytes is the size of unfinished messages on these connections, in bytes.
	maxUnverifiedBytes = 2 * maxPacket
	bufferSize         = 4 << 10  // bytes read or written at once on a connection from a peer
	windowSize         = 64 << 10 // bytes that a peer may send ahead
	callTimeout        = 5 * time.Second
	idleTimeout        = 30 * time.Second
)

// These fail to compile if a sender may send more than its receiver takes.
const (
	_ = uint(maxPeerQueued - MaxFrame)
	_ = uint(maxPacket - MaxFrame - packetOverhead)
)

// Transport sends frames over one connection to each peer and receives frames on one
// listener.
type Transport struct {
	codec    jackdawbridge.Codec
	sealer   *wire.Sealer
	sent     metrics.Counter
	lost     metrics.Counter // frames whose delivery failed
	log      *slog.Logger
	idle     time.Duration // after which an unused connection is closed
	server   *grpc.Server
	accepted *listener
	addr     netip.AddrPort
	ctx      context.Context // cancelled when the transport is closed
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peer // at most maxPeers
	queued int                      // bytes in all queues, at most maxQueued
}

var _ transport.Sender = (*Transport)(nil)

// Listen opens the listener and calls handle for each received frame. The handle
// function must not block. The status function supplies the revisions in force, which
// operators can request. Listen registers the counters rpc.sent, rpc.lost, rpc.received
// and rpc.refused.REASON.
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
		server: grpc.NewServer(grpc.MaxRecvMsgSize(maxPacket), grpc.MaxConcurrentStreams(1),
			grpc.MaxHeaderListSize(maxHeader), grpc.ConnectionTimeout(callTimeout), grpc.WaitForHandlers(true),
			grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
			grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize),
			grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleTimeout})),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	receiver := transport.NewReceiver("rpc", codec, sealer, registry, log, handle)
	pb.RegisterPeerServer(t.server, &service{receiver: receiver, status: status})
	t.accepted = newListener(listener, metrics.GetOrRegisterCounter("rpc.refused.connection", registry))
	t.wg.Go(func() {
		if err := t.server.Serve(t.accepted); err != nil {
			log.Error("rpc: listener stopped: cannot accept connections", "err", err)
		}
	})
	return t, nil
}

// Address returns the address that the listener is bound to.
func (t *Transport) Address() netip.AddrPort { return t.addr }

// Send seals a frame and queues it for a peer.
func (t *Transport) Send(to jackdawbridge.Peer, frame jackdawbridge.Frame) error {
	sealed, err := transport.Seal(t.codec, t.sealer, frame)
	if err != nil {
		return errors.Errorf("rpc: %w", err)
	}
	return t.SendSealed(to, sealed)
}

// SendSealed queues a sealed frame for a peer. It returns transport.ErrBusy if the
// peer's queue is full, or if the limit on queued bytes or connections is reached.
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
		return errors.Errorf("rpc: %d bytes are queued for all peers: %w", t.queued, transport.ErrBusy)
	}
	p := t.peers[address]
	if p != nil && p.queued+len(sealed) > maxPeerQueued {
		return errors.Errorf("rpc: %d bytes are queued for %s: %w", p.queued, address, transport.ErrBusy)
	}
	if p == nil {
		if len(t.peers) >= maxPeers {
			return errors.Errorf("rpc: %d connections to peers are open: %w", len(t.peers), transport.ErrBusy)
		}
		conn, err := dial(address)
		if err != nil {
			return errors.Errorf("rpc: connect to %s: %w", address, err)
		}
		p = &peer{address: address, conn: conn, queue: make(chan []byte, queueLength)}
		t.peers[address] = p
		t.wg.Go(func() { t.deliverQueue(p) })
	}
	select {
	case p.queue <- sealed:
		t.queued += len(sealed)
		p.queued += len(sealed)
		return nil
	default:
		return errors.Errorf("rpc: %d frames are queued for %s: %w", queueLength, address, transport.ErrBusy)
	}
}

// Close closes the listener and all connections, and waits for all goroutines to
// return. Queued frames are lost.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.server.Stop()
	t.wg.Wait()
	return nil
}

// service is the gRPC service for peers and operators.
type service struct {
	pb.UnimplementedPeerServer
	receiver *transport.Receiver
	status   func() jackdawbridge.Status
}

// Deliver receives one frame. The answer does not say whether the frame was accepted,
// because that would help an attacker to forge frames.
func (s *service) Deliver(ctx context.Context, packet *pb.Packet) (*pb.Empty, error) {
	valid := false
	if len(packet.Frame) > MaxFrame {
		s.receiver.Reject("oversize", transport.ErrTooLarge)
	} else {
		valid = s.receiver.Receive(packet.Frame)
	}
	finishMessage(ctx, valid)
	return &pb.Empty{}, nil
}

// Ask returns the revisions of the settings in force.
func (s *service) Ask(ctx context.Context, _ *pb.Empty) (*pb.Revisions, error) {
	finishMessage(ctx, false)
	status := s.status()
	self, digest := status.Self(), status.Digest()
	return &pb.Revisions{
		Instance: string(self.Node().Instance()), Centre: string(self.DataCentre()),
		Config: digest.Config(), Keys: digest.Keys(),
	}, nil
}
