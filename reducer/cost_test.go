package reducer

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/queue"
)

// callPath is the common path of a call: an entry node that forwards it and an
// upstream's node that runs it. The events are created once, so that only the
// allocations of the reducers count.
type callPath struct {
	entry, upstream   *Reducer
	fx                jackdawbridge.Effects
	at                jackdawbridge.Millis
	request           *jackdawbridge.Request
	arrived           *jackdawbridge.CallArrived
	answered          *jackdawbridge.AttemptAnswered
	ended             *jackdawbridge.CallFinished
	runArrived        *jackdawbridge.ForwardArrived
	runAnswered       *jackdawbridge.RunAnswered
	runEnded          *jackdawbridge.RunFinished
	forwarded, served int // numbers of Forward and Run effects, and of Deliver effects
}

func newCallPath(tb testing.TB, upstreams int) *callPath {
	start := func(name string) *Reducer {
		address := netip.MustParseAddrPort("127.0.0.1:7000")
		peer := jackdawbridge.NewPeer(jackdawbridge.NewNode(jackdawbridge.Instance(name), 1), "one", jackdawbridge.NewAddresses(address, address, address))
		r, err := New(harnessOrigin, NewOptions(peer, sha256.Sum256([]byte(name)), picker.NewCompletion(), limiter.NewAdaptive(1), queue.NewPriority(256)).WithFirstStart())
		if err != nil {
			tb.Fatal(err)
		}
		return r
	}
	p := &callPath{entry: start("entry"), upstream: start("upstream"), at: harnessOrigin}
	h := newHarness()
	if _, err := h.configure("account a 1000 1000 one:1000\nroute s / high idempotent\nkey k a"); err != nil {
		tb.Fatal(err)
	}
	records := []jackdawbridge.Record{h.store.records[jackdawbridge.ConfigTable], h.store.records[jackdawbridge.KeysTable]}
	p.entry.Apply(jackdawbridge.NewTablesLoaded(p.at, p.at, jackdawbridge.StoreOK, records), &p.fx)
	for range 10 {
		p.at += jackdawbridge.Second
		p.entry.Apply(jackdawbridge.NewTick(p.at), &p.fx)
		p.upstream.Apply(jackdawbridge.NewTick(p.at), &p.fx)
		p.fx.Reset()
	}
	for i := range upstreams {
		peer := jackdawbridge.NewPeer(jackdawbridge.NewNode(jackdawbridge.Instance(fmt.Sprint("u", i)), 1), "one", jackdawbridge.Addresses{}).
			WithBackend("s", 64, 512).WithState(jackdawbridge.PeerServing).WithVersion(1)
		p.entry.Apply(jackdawbridge.NewReceived(p.at, jackdawbridge.NewFrame(peer, jackdawbridge.Digest{}, jackdawbridge.NewProbeAck(0, nil))), &p.fx)
		p.fx.Reset()
	}
	// Enough tokens of the account for the whole measurement. They do not expire,
	// because the event times of the calls do not advance.
	tokens := p.entry.shares.tokensOf("a")
	if tokens == nil {
		tb.Fatal("the entry node has no token state for account a")
	}
	tokens.held = append(tokens.held, heldGrant{id: 1, issuer: p.entry.self, left: 1 << 40, expires: p.at + grantLifetime})
	p.upstream.Apply(jackdawbridge.NewBackendAnnounced(p.at, "s", 64, 512, false), &p.fx)
	p.request = jackdawbridge.NewRequest("r", "s", "GET", "/x", 1000).WithKey(keyHash("k"))
	envelope := jackdawbridge.NewEnvelope("r", "a", "s", jackdawbridge.High, 1000).WithIdempotent(true)
	p.arrived = jackdawbridge.NewCallArrived(p.at, 1, p.request)
	p.answered = jackdawbridge.NewAttemptAnswered(p.at, 1, 1, 200, jackdawbridge.NewFeedback(0, 1).WithBacklog(jackdawbridge.NewBacklog(100, 20, jackdawbridge.UsualPace)))
	p.ended = jackdawbridge.NewCallFinished(p.at, 1, true)
	p.runArrived = jackdawbridge.NewForwardArrived(p.at, 1, envelope)
	load, _ := jackdawbridge.NewBackendLoad(1, 0, 64, 2*jackdawbridge.UsualPace)
	p.runAnswered = jackdawbridge.NewRunAnswered(p.at, 1, 200).WithLoad(load)
	p.runEnded = jackdawbridge.NewRunFinished(p.at, 1, jackdawbridge.Served, 200)
	return p
}

// apply applies one event to a reducer and counts the effects that forward, run or
// answer a request.
func (p *callPath) apply(r *Reducer, event jackdawbridge.Event) {
	p.fx.Reset()
	r.Apply(event, &p.fx)
	for _, effect := range p.fx.All() {
		switch effect.(type) {
		case *jackdawbridge.Forward, *jackdawbridge.Run:
			p.forwarded++
		case *jackdawbridge.Deliver:
			p.served++
		}
	}
}

// entryCall processes one call at the entry node.
func (p *callPath) entryCall() {
	p.apply(p.entry, p.arrived)
	p.apply(p.entry, p.answered)
	p.apply(p.entry, p.ended)
}

// upstreamCall processes one call at the upstream's node.
func (p *callPath) upstreamCall() {
	p.apply(p.upstream, p.runArrived)
	p.apply(p.upstream, p.runAnswered)
	p.apply(p.upstream, p.runEnded)
}

// TestCallAllocations guards against allocations on the common path of a call.
func TestCallAllocations(t *testing.T) {
	p := newCallPath(t, 32)
	for name, call := range map[string]func(){"entry node": p.entryCall, "upstream's node": p.upstreamCall} {
		p.forwarded, p.served = 0, 0
		if got := testing.AllocsPerRun(1000, call); got != 0 {
			t.Errorf("%s: %v allocations per call, want none", name, got)
		}
		if p.served != 1001 || p.forwarded != 1001 {
			t.Errorf("%s: %d forwarded or run and %d served: want 1001 each", name, p.forwarded, p.served)
		}
	}
}

func BenchmarkEntryCall(b *testing.B) {
	for _, upstreams := range []int{4, 32, 1000} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			p := newCallPath(b, upstreams)
			b.ReportAllocs()
			for b.Loop() {
				p.entryCall()
			}
		})
	}
}

func BenchmarkUpstreamCall(b *testing.B) {
	p := newCallPath(b, 4)
	b.ReportAllocs()
	for b.Loop() {
		p.upstreamCall()
	}
}
