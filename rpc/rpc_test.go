package rpc

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/clock"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

func newTransport(t *testing.T) *Transport {
	t.Helper()
	sealer, err := wire.NewSealer(clock.New(), []byte("the secret of the fleet"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), wire.Codec{}, sealer, metrics.NewRegistry(), slog.New(slog.DiscardHandler), func(jackdawbridge.Frame) {}, func() jackdawbridge.Status { return jackdawbridge.Status{} })
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func peerAt(address netip.AddrPort) jackdawbridge.Peer {
	return jackdawbridge.NewPeer(jackdawbridge.NewNode("a1", 1), "dc1", jackdawbridge.NewAddresses(address, address, address))
}

func (t *Transport) connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// eventually waits until ok returns true, for at most 30 seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// TestIdle guards against idle connections to peers that are never closed, and
// against a peer that cannot be reached again after its connection was closed.
func TestIdle(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := newTransport(t)
	defer r.Close() //nolint:errcheck // always nil
	r.idle = time.Millisecond
	for n := range int64(2) {
		if err := r.SendSealed(peerAt(r.Address()), []byte("frame")); err != nil {
			t.Fatal(err)
		}
		eventually(t, "frame sent", func() bool { return r.sent.Count() == n+1 })
		eventually(t, "connection closed", func() bool { return r.connections() == 0 })
	}
}

// TestBounds guards against unbounded queues or connections for peers that do not
// answer, and against a Close that waits for such a peer.
func TestBounds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never accepts a connection
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() //nolint:errcheck // nothing was written
	to := silent.Addr().(*net.TCPAddr).AddrPort()
	r := newTransport(t)
	err = nil
	for n := 0; err == nil && n < queueLength+2; n++ { // one frame has left the queue for delivery
		err = r.SendSealed(peerAt(to), []byte("frame"))
	}
	if !errors.Is(err, transport.ErrBusy) {
		t.Errorf("send to a full queue: error is %v: want %v", err, transport.ErrBusy)
	}
	err = nil
	for i := 0; err == nil; i++ {
		err = r.SendSealed(peerAt(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), to.Port())), make([]byte, 8))
	}
	if n := r.connections(); !errors.Is(err, transport.ErrBusy) || n > maxPeers {
		t.Errorf("sends to many peers opened %d connections, error is %v: want at most %d and %v", n, err, maxPeers, transport.ErrBusy)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	if r.connections() != 0 || r.queued < 0 {
		t.Errorf("%d connections and %d queued bytes after Close: want no connections and no negative number of bytes", r.connections(), r.queued)
	}
}

// TestBusyPeer guards against a peer that does not answer and takes the memory for the frames
// of all others.
func TestBusyPeer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never accepts a connection
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() //nolint:errcheck // nothing was written
	r := newTransport(t)
	defer r.Close() //nolint:errcheck // always nil
	for err == nil {
		err = r.SendSealed(peerAt(silent.Addr().(*net.TCPAddr).AddrPort()), make([]byte, MaxFrame/4))
	}
	if !errors.Is(err, transport.ErrBusy) {
		t.Errorf("sends to a silent peer: error is %v: want %v", err, transport.ErrBusy)
	}
	if err := r.SendSealed(peerAt(r.Address()), make([]byte, MaxFrame)); err != nil {
		t.Errorf("send to another peer: %v", err)
	}
}

// TestVerifiedStays guards against a crowd of unverified connections that closes the
// connection of a peer, and against one of which more than the limit stay open.
func TestVerifiedStays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := newTransport(t)
	defer r.Close() //nolint:errcheck // always nil
	self := peerAt(r.Address())
	frame := jackdawbridge.NewFrame(self, jackdawbridge.Digest{}, jackdawbridge.NewRevisionNotice())
	if err := r.Send(self, frame); err != nil {
		t.Fatal(err)
	}
	eventually(t, "frame sent", func() bool { return r.sent.Count() == 1 })
	for range 2 * maxUnverified {
		conn, err := net.Dial("tcp", r.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() //nolint:errcheck // nothing is read
		// A connection without settings would be closed by the server's own timeout. If it
		// is closed for another one already, the write may fail.
		_, _ = conn.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	}
	eventually(t, "crowd beyond the limit closed", func() bool { return r.accepted.refused.Count() == maxUnverified })
	if err := r.Send(self, frame); err != nil {
		t.Fatal(err)
	}
	eventually(t, "second frame sent", func() bool { return r.sent.Count() == 2 })
	r.accepted.mu.Lock()
	defer r.accepted.mu.Unlock()
	got := map[string]int{"unverified": r.accepted.unverified.Len(), "accepted": int(r.accepted.accepted)}
	want := map[string]int{"unverified": maxUnverified, "accepted": 2*maxUnverified + 1} // one is the peer's
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}
