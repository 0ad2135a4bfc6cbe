package link

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/socket"
)

// Pool sends requests to peers. It keeps up to maxConnsPerPeer connections to each
// of them, and opens a further one if none of these accepts a new request.
type Pool struct {
	codec  jackdawbridge.Codec
	sealer Sealer
	log    *slog.Logger
	opened gometrics.Counter // connections opened
	lost   gometrics.Counter // connections that failed or whose peer did not answer pings
	broken gometrics.Counter // requests ended because of an invalid frame
	ctx    context.Context   // cancelled when the pool is closed
	cancel context.CancelFunc

	withdrawn context.Context // cancelled by Withdraw
	withdraw  context.CancelFunc

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerConns
}

var _ jackdawbridge.LinkClient = (*Pool)(nil)

// peerConns are the connections to one peer.
type peerConns struct {
	conns       []*clientConn // at most maxConnsPerPeer, or more if none of them is usable
	pendingDial *pendingDial  // nil if no connection is being opened
}

// pendingDial is a connection that is being opened.
type pendingDial struct {
	done chan struct{} // closed once conn or err is set
	conn *clientConn
	err  error
}

// NewPool returns a pool without connections. It registers the counters link.opened,
// link.lost and link.broken.
func NewPool(codec jackdawbridge.Codec, sealer Sealer, registry gometrics.Registry, log *slog.Logger) *Pool {
	p := &Pool{
		codec: codec, sealer: sealer, log: log, peers: make(map[netip.AddrPort]*peerConns),
		opened: gometrics.GetOrRegisterCounter("link.opened", registry),
		lost:   gometrics.GetOrRegisterCounter("link.lost", registry),
		broken: gometrics.GetOrRegisterCounter("link.broken", registry),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.withdrawn, p.withdraw = context.WithCancel(p.ctx)
	return p
}

// Send sends a request and waits for the head of its answer. The body of the answer
// is read from the connection as it arrives. Errors are of type *LinkError.
func (p *Pool) Send(ctx context.Context, to jackdawbridge.Peer, request jackdawbridge.ForwardedRequest, body jackdawbridge.Body) (*jackdawbridge.Answer, error) {
	address := to.Addresses().Link()
	if len(body.Buffered()) > window {
		body = jackdawbridge.StreamedBody(bytes.NewReader(body.Buffered()))
	}
	r, err := p.open(ctx, address, request, body)
	if err != nil {
		return nil, jackdawbridge.NewLinkError(err, false, errors.Is(err, syscall.ECONNREFUSED))
	}
	r.detachContext = context.AfterFunc(ctx, r.cancel)
	stream := body.Stream()
	if stream != nil {
		go r.sendBody(stream)
	}
	<-r.replied
	if r.err != nil {
		r.detachContext()
		return nil, jackdawbridge.NewLinkError(r.err, r.conn.out.mayBeSent(r.offset), false)
	}
	answer := jackdawbridge.NewAnswer(r.reply, answerBody{r})
	if stream == nil {
		return answer, nil
	}
	return answer.WithUpload(r.uploadEnded), nil
}

// open starts a request on one of the peer's connections. If that connection has
// failed before the request was queued, open tries once more with another one.
func (p *Pool) open(ctx context.Context, address netip.AddrPort, request jackdawbridge.ForwardedRequest, body jackdawbridge.Body) (*outboundRequest, error) {
	for try := 0; ; try++ {
		c, err := p.conn(ctx, address)
		if err != nil {
			return nil, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if p.withdrawn.Err() != nil {
			return nil, errWithdrawn
		}
		r, err := c.open(request, body)
		if err == nil {
			// Requests that arrive at once have all found the connection idle.
			if requests, _ := c.load(); requests >= newConnThreshold {
				p.grow(address)
			}
		}
		if err == nil || try > 0 {
			return r, err
		}
	}
}

// grow opens another connection to a peer in the background if each has at least
// newConnThreshold requests and there are fewer than maxConnsPerPeer.
func (p *Pool) grow(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if p.ctx.Err() != nil || peer == nil {
		return
	}
	if best, least := peer.leastLoaded(); best != nil && least >= newConnThreshold && len(peer.conns) < maxConnsPerPeer {
		p.startDial(address, peer)
	}
}

// startDial opens a connection to a peer in the background, unless one is being opened. The
// caller holds p.mu.
func (p *Pool) startDial(address netip.AddrPort, peer *peerConns) {
	if peer.pendingDial == nil {
		peer.pendingDial = &pendingDial{done: make(chan struct{})}
		go p.dial(address, peer.pendingDial)
	}
}

// conn returns the usable connection to a peer with the fewest requests. If no
// connection is usable, it waits for a new one.
func (p *Pool) conn(ctx context.Context, address netip.AddrPort) (*clientConn, error) {
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return nil, errClosed
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &peerConns{}
		p.peers[address] = peer
	}
	best, _ := peer.leastLoaded()
	if best == nil {
		p.startDial(address, peer)
	}
	pending := peer.pendingDial
	p.mu.Unlock()
	if best != nil {
		return best, nil
	}
	select {
	case <-pending.done:
		return pending.conn, pending.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.withdrawn.Done():
		return nil, errWithdrawn
	}
}

// leastLoaded returns the usable connection with the fewest requests and their
// number, or nil if no connection is usable.
func (p *peerConns) leastLoaded() (*clientConn, int) {
	var best *clientConn
	least := 0
	for _, c := range p.conns {
		if n, ok := c.load(); ok && (best == nil || n < least) {
			best, least = c, n
		}
	}
	return best, least
}

// dial opens a connection to a peer and wakes the callers of conn that wait for it.
func (p *Pool) dial(address netip.AddrPort, d *pendingDial) {
	defer close(d.done)
	socketConn, reader, err := p.connect(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer != nil {
		peer.pendingDial = nil
	}
	if err != nil {
		d.err = err
		p.removeIfUnused(address)
		return
	}
	if p.ctx.Err() != nil || peer == nil {
		d.err = errClosed
		_ = socketConn.Close()
		return
	}
	p.opened.Inc(1)
	d.conn = newClientConn(socketConn, reader, p.codec, func(conn *clientConn) { p.removeConn(address, conn) },
		func(r *outboundRequest, cause error) { p.reportAbort(address, r, cause) })
	peer.conns = append(peer.conns, d.conn)
}

// connect opens a connection to a peer and performs the handshake.
func (p *Pool) connect(address netip.AddrPort) (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: keepAliveInterval}
	dialed, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, errors.Errorf("link: %w", err)
	}
	conn := socket.Wrap(dialed)
	reader := bufio.NewReaderSize(conn, readBufferSize)
	deadline, _ := ctx.Deadline()
	err = conn.SetDeadline(deadline)
	if err == nil {
		err = clientHandshake(conn, reader, p.sealer)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, errors.Errorf("handshake with the peer: %w", err)
	}
	return conn, reader, nil
}

// removeConn removes a connection that has been closed, and counts and logs it as
// lost unless it was idle or the pool was closed.
func (p *Pool) removeConn(address netip.AddrPort, conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[address]; peer != nil {
		for i, other := range peer.conns {
			if other == conn {
				peer.conns = append(peer.conns[:i], peer.conns[i+1:]...)
				break
			}
		}
		p.removeIfUnused(address)
	}
	if p.ctx.Err() == nil && !errors.Is(conn.err, errClosed) {
		p.lost.Inc(1)
		p.log.Warn("link: connection to the peer lost", "peer", address.String(), "error", conn.err)
	}
}

// reportAbort counts and logs a request that an invalid frame has ended.
func (p *Pool) reportAbort(address netip.AddrPort, r *outboundRequest, cause error) {
	p.broken.Inc(1)
	p.log.Warn("link: request ended: invalid frame received from the peer", "request", string(r.request), "peer", address.String(), "stream", r.id, "error", cause)
}

// removeIfUnused removes a peer that has no connections and none being opened.
func (p *Pool) removeIfUnused(address netip.AddrPort) {
	if peer := p.peers[address]; peer != nil && len(peer.conns) == 0 && peer.pendingDial == nil {
		delete(p.peers, address)
	}
}

// Withdraw withdraws the requests in progress that are not yet running: their peers
// refuse them. Requests that wait for a connection fail, and so do later ones.
func (p *Pool) Withdraw() {
	p.withdraw()
	for _, c := range p.conns() {
		c.withdraw()
	}
}

// conns returns all connections.
func (p *Pool) conns() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*clientConn
	for _, peer := range p.peers {
		conns = append(conns, peer.conns...)
	}
	return conns
}

// Close closes all connections. Requests in progress fail.
func (p *Pool) Close() error {
	p.cancel()
	for _, c := range p.conns() {
		c.fail(errClosed)
	}
	return nil
}
