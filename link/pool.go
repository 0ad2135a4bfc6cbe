package link

import (
	"bufio"
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
// of them.
type Pool struct {
	codec  jackdawbridge.Codec
	sealer Sealer
	log    *slog.Logger
	opened gometrics.Counter // connections opened
	lost   gometrics.Counter // connections that failed or whose peer did not answer pings
	ctx    context.Context   // cancelled when the pool is closed
	cancel context.CancelFunc

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerLinks
}

var _ jackdawbridge.Links = (*Pool)(nil)

// peerConns are the connections to one peer.
type peerLinks struct {
	links   []*dialed // at most maxLinks
	dialing *dialing  // nil if no connection is being opened
}

// pendingDial is a connection that is being opened.
type dialing struct {
	done chan struct{} // closed once conn or err is set
	link *dialed
	err  error
}

// NewPool returns a pool without connections. It registers the counters link.opened
// and link.lost.
func NewPool(codec jackdawbridge.Codec, sealer Sealer, registry gometrics.Registry, log *slog.Logger) *Pool {
	p := &Pool{
		codec: codec, sealer: sealer, log: log, peers: make(map[netip.AddrPort]*peerLinks),
		opened: gometrics.GetOrRegisterCounter("link.opened", registry),
		lost:   gometrics.GetOrRegisterCounter("link.lost", registry),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Send sends a request and waits for the head of its answer. The body of the answer
// is read from the connection as it arrives. Errors are of type *LinkError.
func (p *Pool) Send(ctx context.Context, to jackdawbridge.Peer, request jackdawbridge.Passage, body jackdawbridge.Content) (*jackdawbridge.Answer, error) {
	address := to.Addresses().Link()
	c, err := p.open(ctx, address, request, body)
	if err != nil {
		return nil, jackdawbridge.NewLinkError(err, false, errors.Is(err, syscall.ECONNREFUSED))
	}
	c.stop = context.AfterFunc(ctx, c.cancel)
	if stream := body.Stream(); stream != nil {
		go c.send(stream)
	}
	<-c.replied
	if c.err != nil {
		c.stop()
		return nil, jackdawbridge.NewLinkError(c.err, c.link.out.mayBeSent(c.start), false)
	}
	return jackdawbridge.NewAnswer(c.reply, answerBody{c}), nil
}

// open starts a request on one of the peer's connections. If that connection has
// failed before the request was queued, open tries once more with another one.
func (p *Pool) open(ctx context.Context, address netip.AddrPort, request jackdawbridge.Passage, body jackdawbridge.Content) (*outgoing, error) {
	for try := 0; ; try++ {
		d, err := p.link(ctx, address)
		if err != nil {
			return nil, err
		}
		c, err := d.open(request, body)
		if err == nil || try > 0 {
			return c, err
		}
	}
}

// conn returns the usable connection to a peer with the fewest requests. If there
// is none, it waits for a new one. If all have newConnThreshold requests, it opens
// another one in the background.
func (p *Pool) link(ctx context.Context, address netip.AddrPort) (*dialed, error) {
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return nil, errClosed
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &peerLinks{}
		p.peers[address] = peer
	}
	best, least := peer.best()
	if (best == nil || least >= spreadAt && len(peer.links) < maxLinks) && peer.dialing == nil {
		peer.dialing = &dialing{done: make(chan struct{})}
		go p.dial(address, peer.dialing)
	}
	pending := peer.dialing
	p.mu.Unlock()
	if best != nil {
		return best, nil
	}
	select {
	case <-pending.done:
		return pending.link, pending.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// leastLoaded returns the usable connection with the fewest requests and their
// number, or nil if no connection is usable.
func (l *peerLinks) best() (*dialed, int) {
	var best *dialed
	least := 0
	for _, d := range l.links {
		if n, ok := d.load(); ok && (best == nil || n < least) {
			best, least = d, n
		}
	}
	return best, least
}

// dial opens a connection to a peer and wakes the callers of conn that wait for it.
func (p *Pool) dial(address netip.AddrPort, d *dialing) {
	defer close(d.done)
	socketConn, reader, err := p.connect(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer != nil {
		peer.dialing = nil
	}
	if err != nil {
		d.err = err
		p.tidy(address)
		return
	}
	if p.ctx.Err() != nil || peer == nil {
		d.err = errClosed
		_ = socketConn.Close()
		return
	}
	p.opened.Inc(1)
	d.link = newDialed(socketConn, reader, p.codec, func(link *dialed) { p.ended(address, link) })
	peer.links = append(peer.links, d.link)
}

// connect opens a connection and performs the handshake.
func (p *Pool) connect(address netip.AddrPort) (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: keepAlive}
	dialed, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, errors.Errorf("link: %w", err)
	}
	conn := socket.Wrap(dialed)
	reader := bufio.NewReaderSize(conn, readBuffer)
	deadline, _ := ctx.Deadline()
	err = conn.SetDeadline(deadline)
	if err == nil {
		err = greetAsDialer(conn, reader, p.sealer)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, errors.Errorf("link: %w", err)
	}
	return conn, reader, nil
}

// removeConn removes a connection that has been closed.
func (p *Pool) ended(address netip.AddrPort, conn *dialed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[address]; peer != nil {
		for i, other := range peer.links {
			if other == conn {
				peer.links = append(peer.links[:i], peer.links[i+1:]...)
				break
			}
		}
		p.tidy(address)
	}
	if p.ctx.Err() == nil && !errors.Is(conn.err, errClosed) {
		p.lost.Inc(1)
		p.log.Warn("link: connection to the peer lost", "peer", address.String(), "error", conn.err)
	}
}

// removeIfUnused removes a peer that has no connections and none being opened.
func (p *Pool) tidy(address netip.AddrPort) {
	if peer := p.peers[address]; peer != nil && len(peer.links) == 0 && peer.dialing == nil {
		delete(p.peers, address)
	}
}

// Close closes all connections. Requests in progress fail.
func (p *Pool) Close() error {
	p.cancel()
	p.mu.Lock()
	var links []*dialed
	for _, peer := range p.peers {
		links = append(links, peer.links...)
	}
	p.mu.Unlock()
	for _, d := range links {
		d.fail(errClosed)
	}
	return nil
}
