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

// Pool sends requests to peers. It keeps up to maxLinks connections to each.
type Pool struct {
	codec  jackdawbridge.Codec
	sealer Sealer
	log    *slog.Logger
	opened gometrics.Counter // connections
	lost   gometrics.Counter // connections that ended with requests on them, or for silence
	ctx    context.Context   // ends with the pool
	cancel context.CancelFunc

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerLinks
}

var _ jackdawbridge.LinkClient = (*Pool)(nil)

// peerLinks are the connections to one peer.
type peerLinks struct {
	links   []*dialed // at most maxLinks
	dialing *dialing  // nil if none is being opened
}

// dialing is a connection that is being opened.
type dialing struct {
	done chan struct{} // closed when link or err is set
	link *dialed
	err  error
}

// NewPool returns a pool without connections. Its counters are link.opened and
// link.lost.
func NewPool(codec jackdawbridge.Codec, sealer Sealer, registry gometrics.Registry, log *slog.Logger) *Pool {
	p := &Pool{
		codec: codec, sealer: sealer, log: log, peers: make(map[netip.AddrPort]*peerLinks),
		opened: gometrics.GetOrRegisterCounter("link.opened", registry),
		lost:   gometrics.GetOrRegisterCounter("link.lost", registry),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Send sends a request and returns its answer.
func (p *Pool) Send(ctx context.Context, to jackdawbridge.Peer, passage jackdawbridge.ForwardedRequest, content jackdawbridge.Body) (*jackdawbridge.Answer, error) {
	address := to.Addresses().Link()
	c, err := p.open(ctx, address, passage, content)
	if err != nil {
		return nil, jackdawbridge.NewLinkError(err, false, errors.Is(err, syscall.ECONNREFUSED))
	}
	c.stop = context.AfterFunc(ctx, c.cancel)
	if stream := content.Stream(); stream != nil {
		go c.send(stream)
	}
	<-c.replied
	if c.err != nil {
		c.stop()
		return nil, jackdawbridge.NewLinkError(c.err, c.link.out.mayBeSent(c.start), false)
	}
	return jackdawbridge.NewAnswer(c.reply, answerBody{c}), nil
}

// open opens a request on one of the peer's connections. A connection that ends
// before the request is on it is replaced once.
func (p *Pool) open(ctx context.Context, address netip.AddrPort, passage jackdawbridge.ForwardedRequest, content jackdawbridge.Body) (*outgoing, error) {
	for try := 0; ; try++ {
		d, err := p.link(ctx, address)
		if err != nil {
			return nil, err
		}
		c, err := d.open(passage, content)
		if err == nil || try > 0 {
			return c, err
		}
	}
}

// link returns the connection to a peer with the fewest requests. It waits for a
// new one if there is none, and opens another one if all are busy.
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
	waits := peer.dialing
	p.mu.Unlock()
	if best != nil {
		return best, nil
	}
	select {
	case <-waits.done:
		return waits.link, waits.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// best returns the connection with the fewest requests, nil if none can be used.
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

// dial opens a connection and hands it to those who wait for it.
func (p *Pool) dial(address netip.AddrPort, d *dialing) {
	defer close(d.done)
	conn, reader, err := p.connect(address)
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
		_ = conn.Close()
		return
	}
	p.opened.Inc(1)
	d.link = newDialed(conn, reader, p.codec, func(link *dialed) { p.ended(address, link) })
	peer.links = append(peer.links, d.link)
}

// connect opens a connection and greets the other side.
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

// ended drops a connection that has ended.
func (p *Pool) ended(address netip.AddrPort, link *dialed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[address]; peer != nil {
		for i, other := range peer.links {
			if other == link {
				peer.links = append(peer.links[:i], peer.links[i+1:]...)
				break
			}
		}
		p.tidy(address)
	}
	if p.ctx.Err() == nil && !errors.Is(link.err, errClosed) {
		p.lost.Inc(1)
		p.log.Warn("link: connection lost", "peer", address.String(), "error", link.err)
	}
}

// tidy forgets a peer without connections.
func (p *Pool) tidy(address netip.AddrPort) {
	if peer := p.peers[address]; peer != nil && len(peer.links) == 0 && peer.dialing == nil {
		delete(p.peers, address)
	}
}

// Close ends all connections. Requests in progress fail.
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
