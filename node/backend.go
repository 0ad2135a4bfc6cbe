package node

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// announcePath is where the own backend server announces itself.
	announcePath = "/jackdaw/backend"
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 4 << 10
	// maxSlots bounds the slots and connections of one backend server.
	maxSlots = 100_000
	// lossProbes is how often a backend server is asked for a connection after
	// one broke. A process that is being killed may accept for a moment.
	lossProbes = 3
	// lossProbeGap is the time between two of them.
	lossProbeGap = 5 * time.Millisecond
)

// announcement is what the own backend server tells of itself.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Conns    int    `json:"conns"`
	Draining bool   `json:"draining"`
}

func (a announcement) check() error {
	switch {
	case a.Service == "":
		return errors.New("announcement names no service")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Errorf("announcement has %d slots: want 1 to %d", a.Slots, maxSlots)
	case a.Conns < 1 || a.Conns > maxSlots:
		return errors.Errorf("announcement has %d conns: want 1 to %d", a.Conns, maxSlots)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || !address.Addr().IsLoopback() || address.Port() == 0 {
		return errors.Errorf("announcement has address %q: want a loopback IP address with a port", a.Address)
	}
	return nil
}

// backend follows the own backend server.
type backend struct {
	n *Node

	mu        sync.Mutex
	address   string          // empty while none has announced itself or it is lost
	conns     int             // bound of transport
	transport *http.Transport // nil before the first announcement
	silence   *time.Timer     // runs from the last heartbeat; nil before the first
}

func newBackend(n *Node) *backend { return &backend{n: n} }

// serveAnnouncement takes an announcement or a heartbeat.
func (b *backend) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		w.Header().Set("Allow", http.MethodPut)
		http.Error(w, "want PUT", http.StatusMethodNotAllowed)
		return
	}
	var a announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		b.n.metrics.count("bad_input_announcement")
		b.n.log.warn("node: bad input refused", "listener", "backend", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.announced(a)
	b.n.apply(jackdawbridge.NewBackendAnnounced(b.n.now(), jackdawbridge.ServiceName(a.Service), a.Slots, a.Conns, a.Draining))
	w.WriteHeader(http.StatusNoContent)
}

func (b *backend) announced(a announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.transport == nil || b.conns != a.Conns {
		if b.transport != nil {
			b.transport.CloseIdleConnections()
		}
		b.transport = newTransport(a.Conns)
		b.conns = a.Conns
	}
	b.address = a.Address
	if b.silence == nil {
		b.silence = time.AfterFunc(b.n.limits.heartbeat, b.silent)
		return
	}
	b.silence.Reset(b.n.limits.heartbeat)
}

// silent takes note that the heartbeats have stopped.
func (b *backend) silent() {
	b.n.log.warn("node: backend server sends no heartbeat")
	b.lose()
}

// route returns how to reach the backend server.
func (b *backend) route() (*http.Transport, string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.transport, b.address, b.address != ""
}

// check finds out whether the backend server is gone after a failure.
func (b *backend) check(refused bool) {
	_, address, ok := b.route()
	if !ok {
		return
	}
	for probe := 0; !refused && probe < lossProbes; probe++ {
		if probe > 0 && !b.n.pause(lossProbeGap) {
			return
		}
		refused = refusesConnections(b.n.ctx, address)
	}
	if refused {
		b.n.log.warn("node: backend server refuses connections", "address", address)
		b.lose()
	}
}

func (b *backend) lose() {
	b.mu.Lock()
	lost := b.address != ""
	b.address = ""
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
	if b.transport != nil {
		b.transport.CloseIdleConnections()
	}
}
