package rpc

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
)

// peer is the connection to one peer, with a queue of frames that one goroutine
// delivers in order.
type peer struct {
	address netip.AddrPort
	conn    *grpc.ClientConn
	queue   chan []byte // sealed frames
	queued  int         // bytes in queue, at most maxPeerQueued; guarded by the mutex of the transport
}

// dial returns a client connection, which connects at its first call. The frames are
// sealed, so the connection itself needs no credentials.
func dial(address netip.AddrPort) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", target)
		}))
}

// deliverQueue delivers the queued frames of p until the transport is closed or p has
// been idle for the idle timeout.
func (t *Transport) deliverQueue(p *peer) {
	client := pb.NewPeerClient(p.conn)
	timer := time.NewTimer(t.idle)
	defer timer.Stop()
	for {
		select {
		case frame := <-p.queue:
			t.deliver(client, p, frame)
			timer.Reset(t.idle)
		case <-timer.C:
			if t.removePeer(p, false) {
				return
			}
			timer.Reset(t.idle)
		case <-t.ctx.Done():
			t.removePeer(p, true)
			return
		}
	}
}

// deliver sends one frame to p and counts whether it was received. A lost frame is
// not sent again.
func (t *Transport) deliver(client pb.PeerClient, p *peer, frame []byte) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, &pb.Packet{Frame: frame})
	t.mu.Lock()
	t.queued -= len(frame)
	p.queued -= len(frame)
	t.mu.Unlock()
	if err != nil {
		t.lost.Inc(1)
		t.log.Warn("rpc: frame lost: not delivered to the peer", "peer", p.address, "bytes", len(frame), "err", err)
		return
	}
	t.sent.Inc(1)
}

// removePeer removes p and closes its connection. If p has queued frames and force is
// not set, it keeps p and reports false.
func (t *Transport) removePeer(p *peer, force bool) bool {
	t.mu.Lock()
	if len(p.queue) > 0 && !force {
		t.mu.Unlock()
		return false
	}
	delete(t.peers, p.address)
	t.mu.Unlock()
	if err := p.conn.Close(); err != nil {
		t.log.Warn("rpc: closing the connection to a peer failed", "peer", p.address, "err", err)
	}
	return true
}
