package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/client"
)

const (
	// dialTimeout bounds the connection by which the loss of a backend server is
	// looked into.
	dialTimeout = time.Second
	// lossProbes is how often a backend server is asked for a connection after
	// one broke. A process that is being killed may accept for a moment.
	lossProbes = 3
	// lossProbeGap is the time between two of them.
	lossProbeGap = 5 * time.Millisecond
	// freshTime is how long a connection to the backend server may have been idle
	// for a request that must not be lost. Backend servers forget idle connections
	// after some hundred milliseconds at times.
	freshTime = 100 * time.Millisecond
)

// backend follows the own backend server.
type backend struct {
	n *Node

	mu      sync.Mutex
	last    jackdawbridge.Announcement // the newest that was taken
	known   bool                       // there is one
	present bool                       // the backend server is not lost since then
	client  *client.Client             // nil before the first announcement
	silence *time.Timer                // runs from the last heartbeat; nil before the first
}

func newBackend(n *Node) *backend { return &backend{n: n} }

// serveAnnouncement takes an announcement or a heartbeat. A late one is
// acknowledged as well and changes nothing.
func (b *backend) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	a, err := b.n.parts.dialect.ReadAnnouncement(r)
	if err != nil {
		b.n.metrics.count("bad_input_announcement")
		b.n.log.warn("node: announcement refused", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.announced(a)
	b.n.parts.dialect.Acknowledge(w)
}

// announced takes an announcement unless a newer one was taken before.
func (b *backend) announced(a jackdawbridge.Announcement) {
	accepted, restarted := b.take(a)
	if !accepted {
		b.n.metrics.count("announcements_late")
		return
	}
	if restarted {
		b.n.log.warn("node: backend server was started anew", "backend", a.Backend(), "born", a.Born())
		b.n.apply(jackdawbridge.NewBackendLost(b.n.now()))
	}
	last := b.newest()
	draining := a.State() != jackdawbridge.BackendServing
	b.n.apply(jackdawbridge.NewBackendAnnounced(b.n.now(), last.Service(), last.Slots(), last.Conns(), draining))
}

func (b *backend) newest() jackdawbridge.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// take keeps an announcement and reports whether it is news, and whether it is
// the first of another start than the one before.
func (b *backend) take(a jackdawbridge.Announcement) (accepted, restarted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.State() == jackdawbridge.BackendLeft {
		return b.leave(a), false
	}
	same := b.known && a.Backend() == b.last.Backend() && a.Born() == b.last.Born()
	switch {
	case same && b.last.State() == jackdawbridge.BackendLeft:
		return false, false
	case b.known && !a.Follows(b.last):
		return false, false
	}
	restarted = b.present && !same
	if b.client == nil || restarted || b.last.Conns() != a.Conns() || b.last.Address() != a.Address() {
		if b.client != nil {
			b.client.Close()
		}
		b.client = client.New(a.Address(), a.Conns(), b.n.limits.backendIdle, freshTime)
	}
	b.last, b.known, b.present = a, true, true
	if b.silence == nil {
		b.silence = time.AfterFunc(b.n.limits.heartbeat, b.silent)
	} else {
		b.silence.Reset(b.n.limits.heartbeat)
	}
	return true, restarted
}

// leave takes note that the backend server has left. It may serve for a while.
func (b *backend) leave(a jackdawbridge.Announcement) bool {
	if !b.known || a.Backend() != b.last.Backend() || a.Born() != 0 && a.Born() != b.last.Born() {
		return false
	}
	b.last = b.last.WithState(jackdawbridge.BackendLeft)
	return true
}

// silent takes note that the heartbeats have stopped.
func (b *backend) silent() {
	b.n.log.warn("node: backend server sends no heartbeat")
	b.lose()
}

// route returns how to reach the backend server.
func (b *backend) route() (*client.Client, jackdawbridge.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.client, b.last, b.present
}

// check finds out whether the backend server is gone after a failure.
func (b *backend) check(refused bool) {
	_, announcement, ok := b.route()
	if !ok {
		return
	}
	for probe := 0; !refused && probe < lossProbes; probe++ {
		if probe > 0 && !b.n.pause(lossProbeGap) {
			return
		}
		refused = refusesConnections(b.n.ctx, announcement.Address().String())
	}
	if refused {
		b.n.log.warn("node: backend server refuses connections", "address", announcement.Address().String())
		b.lose()
	}
}

func (b *backend) lose() {
	b.mu.Lock()
	lost := b.present
	b.present = false
	b.mu.Unlock()
	if lost {
		b.n.metrics.count("backend_lost")
		b.n.apply(jackdawbridge.NewBackendLost(b.n.now()))
	}
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silence != nil {
		b.silence.Stop()
	}
	if b.client != nil {
		b.client.Close()
	}
}

// refusesConnections reports whether an address refuses connections.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
