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
	// dialTimeout bounds each attempt to connect when the node checks whether the
	// backend server is lost.
	dialTimeout = time.Second
	// lossProbes is the number of attempts to connect to the backend server after
	// a connection broke. A process that is being killed may still accept
	// connections for a moment, so one attempt is not enough.
	lossProbes = 3
	// lossProbeGap is the time between two of these attempts.
	lossProbeGap = 5 * time.Millisecond
	// maxIdleBeforeReuse is the idle time after which a connection to the backend
	// server is not used for a request that is not repeatable. Some backend servers
	// drop idle connections after a few hundred milliseconds.
	maxIdleBeforeReuse = 100 * time.Millisecond
	// departureMemory is how long the departure of a process other than the current one
	// is remembered. It is far above the time by which an announcement may be late.
	departureMemory = 120 * jackdawbridge.Second
)

// backend tracks the local backend server: its announcements, its heartbeats and
// its loss.
type backend struct {
	n        *Node
	wallTime func() uint64 // Unix time in milliseconds, from the clock that backend servers on the instance read

	// order is held from the decision on an announcement or a loss until the reducer
	// has applied it, so that the reducer gets them in the order of the decisions. It
	// is locked before mu and before the node's mutex.
	order sync.Mutex

	mu             sync.Mutex
	latest         jackdawbridge.Announcement // the newest accepted announcement
	announced      bool                       // an announcement has been accepted
	departed       jackdawbridge.Announcement // the last departure of another process than that of latest, or of one that it does not name; zero if there was none
	departedUntil  jackdawbridge.Millis       // when departed is forgotten
	alive          bool                       // the backend server has not been lost since the last announcement
	client         *client.Client             // nil before the first announcement
	heartbeatTimer *time.Timer                // restarted by each accepted announcement except a departure; nil before the first

	receiptMu   sync.Mutex               // locked last
	lastReceipt uint64                   // number of the last announcement
	receipts    map[uint64]chan struct{} // by number; closed when the reducer acknowledges the announcement
}

func newBackend(n *Node) *backend {
	return &backend{n: n, wallTime: func() uint64 { return uint64(time.Now().UnixMilli()) }, receipts: make(map[uint64]chan struct{})}
}

// serveAnnouncement serves an announcement or a heartbeat of the backend server.
// An outdated announcement is acknowledged too, but has no effect. One that the
// reducer does not get is not acknowledged.
func (b *backend) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	a, err := b.n.deps.dialect.ReadAnnouncement(r)
	if err != nil {
		b.n.metrics.count("bad_input_announcement")
		b.n.log.warn("node: malformed announcement of the backend server refused", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	receipt, done := b.openReceipt()
	defer b.closeReceipt(receipt)
	waits, ok := b.handleAnnouncement(a, receipt)
	if !ok {
		http.Error(w, "node is not running", http.StatusServiceUnavailable)
		return
	}
	if waits {
		select {
		case <-done:
		case <-b.n.ctx.Done():
			http.Error(w, "node is not running", http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
	}
	b.n.deps.dialect.AcknowledgeAnnouncement(w)
}

// openReceipt registers an announcement that the reducer is to acknowledge.
func (b *backend) openReceipt() (uint64, <-chan struct{}) {
	b.receiptMu.Lock()
	defer b.receiptMu.Unlock()
	b.lastReceipt++
	done := make(chan struct{})
	b.receipts[b.lastReceipt] = done
	return b.lastReceipt, done
}

func (b *backend) closeReceipt(receipt uint64) {
	b.receiptMu.Lock()
	defer b.receiptMu.Unlock()
	delete(b.receipts, receipt)
}

// acknowledged ends the wait of an announcement that the reducer has acknowledged.
func (b *backend) acknowledged(receipt uint64) {
	b.receiptMu.Lock()
	defer b.receiptMu.Unlock()
	if done, ok := b.receipts[receipt]; ok {
		close(done)
		delete(b.receipts, receipt)
	}
}

// handleAnnouncement records an announcement and reports it to the reducer, which
// acknowledges the receipt; waits is false if it need not, because the announcement is
// outdated and ignored. The result ok is false if the reducer takes no events.
func (b *backend) handleAnnouncement(a jackdawbridge.Announcement, receipt uint64) (waits, ok bool) {
	b.order.Lock()
	defer b.order.Unlock()
	before := b.latestAnnouncement()
	accepted, restarted := b.recordAnnouncement(a)
	if a.State() == jackdawbridge.BackendLeft && !accepted {
		departed := b.lastDeparture()
		b.log("node: departure of a backend server that is not the current one", departed, before)
		return true, b.n.apply(jackdawbridge.NewBackendDeparted(b.n.now(), departed.Process(), receipt))
	}
	if !accepted {
		b.n.metrics.count("announcements_late")
		b.log("node: outdated announcement of the backend server ignored", a, before)
		return false, true
	}
	if a.Backend() != before.Backend() || a.Generation() != before.Generation() || a.State() != before.State() {
		b.log("node: state of the backend server changed", a, before)
	}
	if restarted {
		b.n.log.warn("node: backend server was restarted, so its requests in progress are lost", "backend", a.Backend(), "born", a.Generation())
		b.n.apply(jackdawbridge.NewBackendLost(b.n.now()))
	}
	last := b.latestAnnouncement()
	event := jackdawbridge.NewBackendAnnounced(b.n.now(), last.Service(), last.Slots(), last.Conns(), a.State() == jackdawbridge.BackendDraining).
		WithProcess(last.Process()).WithReceipt(receipt).WithSlowStartLeft(a.SlowStartLeft())
	if a.State() == jackdawbridge.BackendLeft {
		event = event.WithLeft()
		if a.Generation() == 0 {
			event = event.WithProcess(b.lastDeparture().Process())
		}
	}
	return true, b.n.apply(event)
}

// lastDeparture returns the last departure that is remembered.
func (b *backend) lastDeparture() jackdawbridge.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.departed
}

// log writes a line on an announcement and on the one that was in force before it.
func (b *backend) log(text string, a, before jackdawbridge.Announcement) {
	b.n.log.info(text, "backend", a.Backend(), "born", a.Generation(), "sequence", a.Sequence(), "state", a.State().String(),
		"backend_before", before.Backend(), "born_before", before.Generation(), "sequence_before", before.Sequence(), "state_before", before.State().String())
}

func (b *backend) latestAnnouncement() jackdawbridge.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest
}

// recordAnnouncement stores an announcement unless it is outdated. The result
// accepted reports whether it was stored. The result restarted reports whether it
// comes from a new process of the backend server although the previous one was not
// marked as lost.
func (b *backend) recordAnnouncement(a jackdawbridge.Announcement) (accepted, restarted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.State() == jackdawbridge.BackendLeft {
		return b.recordDeparture(a), false
	}
	same := b.announced && a.Backend() == b.latest.Backend() && a.Generation() == b.latest.Generation()
	switch {
	case same && b.latest.State() == jackdawbridge.BackendLeft, b.hasDeparted(a):
		return false, false
	case b.announced && !a.NewerThan(b.latest):
		return false, false
	}
	restarted = b.alive && !same
	if b.client == nil || restarted || b.latest.Conns() != a.Conns() || b.latest.Address() != a.Address() {
		if b.client != nil {
			b.client.Close()
		}
		b.client = client.New(a.Address(), a.Conns(), b.n.limits.backendIdleTimeout, maxIdleBeforeReuse)
	}
	b.latest, b.announced, b.alive = a, true, true
	if b.heartbeatTimer == nil {
		b.heartbeatTimer = time.AfterFunc(b.n.limits.heartbeatTimeout, b.heartbeatMissed)
	} else {
		b.heartbeatTimer.Reset(b.n.limits.heartbeatTimeout)
	}
	return true, restarted
}

// recordDeparture records that the backend server has left, and reports whether it is
// the current one. The server may still finish requests for a while, so it is not
// marked as lost. A departure that does not tell when the process started holds for all
// processes of the backend server that have started before now. Except for that of the
// current process, it is remembered, so that a late heartbeat is ignored. The caller holds
// b.mu.
func (b *backend) recordDeparture(a jackdawbridge.Announcement) bool {
	unnamed := a.Generation() == 0
	if unnamed {
		a = a.WithGeneration(b.wallTime())
	}
	current := b.announced && a.Backend() == b.latest.Backend() && (unnamed || a.Generation() == b.latest.Generation())
	if current {
		b.latest = b.latest.WithState(jackdawbridge.BackendLeft)
	}
	if unnamed || !current {
		b.departed = a
		b.departedUntil = b.n.now() + departureMemory
	}
	return current
}

// hasDeparted reports whether an announcement comes from a process whose departure is
// remembered, or from an earlier process of the same backend server. The caller holds
// b.mu.
func (b *backend) hasDeparted(a jackdawbridge.Announcement) bool {
	return b.departed.State() == jackdawbridge.BackendLeft && b.n.now() < b.departedUntil &&
		a.Backend() == b.departed.Backend() && a.Generation() <= b.departed.Generation()
}

// heartbeatMissed marks the backend server as lost when no heartbeat has arrived
// within the limit.
func (b *backend) heartbeatMissed() {
	b.n.log.warn("node: backend server marked as lost: no heartbeat within the limit")
	b.markLost()
}

// current returns the client and the last announcement of the backend server. It
// reports false if the backend server has not been announced or is lost.
func (b *backend) current() (*client.Client, jackdawbridge.Announcement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.client, b.latest, b.alive
}

// checkLost checks, after a failed request, whether the backend server is lost. It
// attempts to connect, unless the failure of the request was a refused connection
// already.
func (b *backend) checkLost(refused bool) {
	_, announcement, ok := b.current()
	if !ok {
		return
	}
	for probe := 0; !refused && probe < lossProbes; probe++ {
		if probe > 0 && !b.n.sleep(lossProbeGap) {
			return
		}
		refused = refusesConnections(b.n.ctx, announcement.Address().String())
	}
	if refused {
		b.n.log.warn("node: backend server marked as lost: it refuses connections", "address", announcement.Address().String())
		b.markLost()
	}
}

// markLost reports the loss of the backend server to the reducer, once for each
// loss.
func (b *backend) markLost() {
	b.order.Lock()
	defer b.order.Unlock()
	b.mu.Lock()
	lost := b.alive
	b.alive = false
	b.mu.Unlock()
	if lost {
		b.n.metrics.count("backend_lost")
		b.n.apply(jackdawbridge.NewBackendLost(b.n.now()))
	}
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heartbeatTimer != nil {
		b.heartbeatTimer.Stop()
	}
	if b.client != nil {
		b.client.Close()
	}
}

// refusesConnections reports whether an attempt to connect to an address is
// refused. Other failures, such as a timeout, do not count.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
