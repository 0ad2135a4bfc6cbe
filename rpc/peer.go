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

// peer is the connection to one peer. One goroutine delivers its queue.
type peer struct {
	address netip.AddrPort
	conn    *grpc.ClientConn
	queue   chan []byte
}

// dial prepares a connection without connecting. The frames are sealed, so the
// connection needs no credentials of its own.
func dial(address netip.AddrPort) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", target)
		}))
}

// serve delivers the queue of p until the transport is closed or p is idle.
func (t *Transport) serve(p *peer) {
	client := pb.NewPeerClient(p.conn)
	timer := time.NewTimer(t.idle)
	defer timer.Stop()
	for {
		select {
		case frame := <-p.queue:
			t.deliver(client, p, frame)
			timer.Reset(t.idle)
		case <-timer.C:
			if t.forget(p, false) {
				return
			}
			timer.Reset(t.idle)
		case <-t.ctx.Done():
			t.forget(p, true)
			return
		}
	}
}

func (t *Transport) deliver(client pb.PeerClient, p *peer, frame []byte) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, &pb.Packet{Frame: frame})
	t.mu.Lock()
	t.queued -= len(frame)
	t.mu.Unlock()
	if err != nil {
		t.lost.Inc(1)
		t.log.Warn("rpc: frame lost", "peer", p.address, "bytes", len(frame), "err", err)
		return
	}
	t.sent.Inc(1)
}

// forget removes and closes p and reports whether it did. It keeps a peer with
// queued frames unless forced.
func (t *Transport) forget(p *peer, force bool) bool {
	t.mu.Lock()
	if len(p.queue) > 0 && !force {
		t.mu.Unlock()
		return false
	}
	delete(t.peers, p.address)
	t.mu.Unlock()
	if err := p.conn.Close(); err != nil {
		t.log.Warn("rpc: connection not closed", "peer", p.address, "err", err)
	}
	return true
}
