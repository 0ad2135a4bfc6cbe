package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/clock"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// waitLimit bounds each wait. No step takes nearly as long.
const waitLimit = 30 * time.Second

// relay forwards connections to the listener. It can make them go silent or break
// them.
type relay struct {
	to       netip.AddrPort
	listener net.Listener

	mu     sync.Mutex
	silent bool
	conns  []net.Conn
	wg     sync.WaitGroup
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: to, listener: listener}
	r.wg.Go(r.accept)
	return r
}

func (r *relay) address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.mu.Unlock()
		silenced := new(sync.Once)
		quiet := make(chan struct{})
		r.wg.Go(func() { r.forward(client, server, quiet, silenced) })
		r.wg.Go(func() { r.forward(server, client, quiet, silenced) })
	}
}

// forward copies bytes in one direction. Once the connection has gone silent, it
// discards what it reads and keeps both ends open.
func (r *relay) forward(from, to net.Conn, quiet chan struct{}, once *sync.Once) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		r.mu.Lock()
		if r.silent {
			once.Do(func() { close(quiet) })
		}
		r.mu.Unlock()
		select {
		case <-quiet:
			continue // the bytes are lost, but the connection stays open
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence turns silence on or off. While it is on, a connection that carries bytes
// goes silent for good. Connections that are opened after it is off work.
func (r *relay) silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

// cut closes all connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.cut()
	r.wg.Wait()
}

// fixture is a pool that reaches a listener through a relay.
type fixture struct {
	t         *testing.T
	registry  gometrics.Registry
	pool      *Pool
	listener  *Listener
	relay     *relay
	ended     chan struct{} // closed when Serve has returned
	gate      chan struct{} // each handler of /hold answers after it has received a value
	over      chan struct{} // closed at the end of the script
	active    atomic.Int64  // requests that are being handled
	cancelled chan string   // handlers that ended early: the request or its body was cancelled
	read      chan string   // what handlers have read of bodies after their answers
	raw       *rawPeer      // nil if the script has none
	calls     sync.WaitGroup

	mu   sync.Mutex
	ends []string // of requests that were in progress
}

const fleetSecret = "the secret of the fleet"

func newSealer(t *testing.T, secret string) Sealer {
	sealer, err := wire.NewSealer(clock.New(), []byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return sealer
}

func newFixture(t *testing.T, secret string) *fixture {
	f := &fixture{t: t, registry: gometrics.NewRegistry(), ended: make(chan struct{}), gate: make(chan struct{}), over: make(chan struct{}), cancelled: make(chan string, 128), read: make(chan string, 128)}
	discard := slog.New(slog.DiscardHandler)
	var err error
	f.listener, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), wire.Codec{}, newSealer(t, fleetSecret), f.registry, discard)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(f.ended)
		f.listener.Serve(f.handle)
	}()
	f.relay = newRelay(t, f.listener.Address())
	f.pool = NewPool(wire.Codec{}, newSealer(t, secret), f.registry, discard)
	return f
}

func (f *fixture) close() {
	close(f.over)
	_ = f.pool.Close()
	_ = f.listener.Close()
	f.raw.close()
	f.relay.close()
	<-f.ended
}

// handle serves a request in the manner that its path names.
func (f *fixture) handle(ctx context.Context, in jackdawbridge.InboundRequest) {
	f.active.Add(1)
	defer f.active.Add(-1)
	var body []byte
	if stream := in.Body(); stream != nil && !strings.HasPrefix(in.ForwardedRequest().Path(), "/unread") {
		var err error
		if body, err = io.ReadAll(stream); err != nil {
			f.cancelled <- "body: " + err.Error()
			return
		}
	}
	reply := jackdawbridge.NewReply(200, http.Header{"X-Path": {in.ForwardedRequest().Path()}}, int64(len(body)), jackdawbridge.NewFeedback(3, 1))
	switch path := in.ForwardedRequest().Path(); path {
	case "/echo":
		_ = in.Reply(reply, nil, false)
		_ = in.Write(body, true)
	case "/short":
		_ = in.Reply(reply, body, true)
	case "/refuse", "/unread":
		_ = in.Reply(jackdawbridge.RefusedReply(jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded).WithRetryAfter(250), jackdawbridge.NewFeedback(5, 2)), nil, true)
	case "/break":
		_ = in.Reply(reply, body[:len(body)/2], false)
	case "/unread-early":
		_ = in.Reply(reply, nil, true)
		n, err := io.Copy(io.Discard, in.Body())
		f.read <- fmt.Sprintf("%d bytes, error: %v", n, err)
	case "/unread-part":
		_, _ = io.CopyN(io.Discard, in.Body(), 1000)
		_ = in.Reply(reply, nil, true)
	case "/nothing":
	case "/linger": // goes on although the request has ended
		select {
		case <-f.gate:
		case <-f.over:
		}
	case "/hold", "/unread-hold":
		select {
		case <-f.gate:
			_ = in.Reply(reply, body, true)
		case <-in.Withdrawn():
			_ = in.Reply(jackdawbridge.RefusedReply(jackdawbridge.NotRunRefusal(jackdawbridge.Draining), jackdawbridge.NewFeedback(0, 1)), nil, true)
		case <-ctx.Done():
			f.cancelled <- string(in.ForwardedRequest().Envelope().ID())
		}
	default:
		f.t.Errorf("request has the unknown path %s: handle has no case for it", path)
	}
}

func (f *fixture) peer(address netip.AddrPort) jackdawbridge.Peer {
	return jackdawbridge.NewPeer(jackdawbridge.NewNode("b", 1), "dc1", jackdawbridge.NewAddresses(address, address, address))
}

// slowReader returns its data in small pieces.
type slowReader struct{ io.Reader }

// Read reads at most 1000 bytes.
func (s slowReader) Read(p []byte) (int, error) { return s.Reader.Read(p[:min(len(p), 1000)]) }

// send sends a request and describes its outcome.
func (f *fixture) send(ctx context.Context, to netip.AddrPort, path string, size int, streamed bool) string {
	envelope := jackdawbridge.NewEnvelope(jackdawbridge.RequestID("r"+path), "acme", "annulli", jackdawbridge.High, 1000)
	body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
	content := jackdawbridge.BufferedBody(body)
	if streamed {
		content = jackdawbridge.StreamedBody(slowReader{bytes.NewReader(body)})
	}
	request := jackdawbridge.NewForwardedRequest(envelope, "POST", "h", path, "q", http.Header{}, int64(len(body)))
	answer, err := f.pool.Send(ctx, f.peer(to), request, content)
	if err != nil {
		return failureText(err)
	}
	defer func() { _ = answer.Body().Close() }()
	reply := answer.Reply()
	if refusal, refused := reply.Refusal(); refused {
		return fmt.Sprintf("refused %s: %s after %d, level %d, unused %d", refusal.Outcome(), refusal.Reason(), refusal.RetryAfter(), reply.Feedback().Level(), reply.Feedback().UnusedRetries())
	}
	got, err := io.ReadAll(answer.Body())
	if err != nil {
		return fmt.Sprintf("%d broken: %v", reply.Status(), err)
	}
	answer.AwaitUpload()
	return fmt.Sprintf("%d %s, %d bytes, same %t", reply.Status(), reply.Header().Get("X-Path"), len(got), bytes.Equal(got, body))
}

// sendBounds sends bodies around each bound, buffered and streamed, and returns those that the
// handler has not returned as sent.
func (f *fixture) sendBounds(path string) string {
	var wrong []string
	bounds := map[string]int{"chunk": MaxChunk, "two chunks": 2 * MaxChunk, "window": window, "unread": maxUnread, "two windows": 2 * window, "credit": window / 2, "": 1}
	for name, bound := range bounds {
		for size := max(bound-2, 0); size <= bound+2; size++ {
			for _, streamed := range []bool{false, true} {
				want := fmt.Sprintf("200 %s, %d bytes, same true", path, size)
				if got := f.send(f.t.Context(), f.relay.address(), path, size, streamed); got != want {
					wrong = append(wrong, fmt.Sprintf("%s%+d, streamed %t: %s", name, size-bound, streamed, got))
				}
			}
		}
	}
	return strings.Join(wrong, "\n")
}

func failureText(err error) string {
	var failure *jackdawbridge.LinkError
	if !errors.As(err, &failure) {
		return "not a LinkError: " + err.Error()
	}
	return fmt.Sprintf("failed: sent=%t refused=%t", failure.MaybeSent(), failure.ConnectionRefused())
}

// await waits until ok returns true and fails the test after waitLimit.
func (f *fixture) await(what string, ok func() bool) {
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// peers returns the number of peers that the pool has connections to.
func (f *fixture) peers() int {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	return len(f.pool.peers)
}

// TestScripts runs the scripts in testdata. Their comments name the failures that
// they guard against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
		var f *fixture
		defer func() { f.close() }()
		cancels := make(map[int]context.CancelFunc)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var path string
			size, count, to := 0, 1, netip.AddrPort{}
			if f != nil {
				to = f.relay.address()
			}
			d.MaybeScanArgs(t, "path", &path)
			d.MaybeScanArgs(t, "size", &size)
			d.MaybeScanArgs(t, "count", &count)
			switch d.Cmd {
			case "start": // starts a pool, a relay and a listener
				secret := fleetSecret
				if d.HasArg("foreign") {
					secret = "the secret of another fleet"
				}
				f = newFixture(t, secret)
				return ""
			case "send":
				if d.HasArg("closed") {
					f.relay.close()
					f.await("no connection", func() bool { return f.peers() == 0 })
				}
				seen := make(map[string]int)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if d.HasArg("gone") {
					cancel()
				}
				for range count {
					seen[f.send(ctx, to, path, size, d.HasArg("streamed"))]++
				}
				if path == "/unread-early" {
					seen["read "+<-f.read]++
				}
				return showCounts(seen)
			case "hold": // sends requests that stay in progress, whose handler is that of path or of /hold
				streamed := d.HasArg("streamed")
				if path == "" {
					path = "/hold"
				}
				for i := range count {
					ctx, cancel := context.WithCancel(t.Context())
					cancels[i] = cancel
					f.calls.Go(func() {
						end := f.send(ctx, to, path, size, streamed)
						f.mu.Lock()
						defer f.mu.Unlock()
						f.ends = append(f.ends, end)
					})
				}
				f.await("requests in progress", func() bool { return int(f.active.Load()) == count })
				return ""
			case "release":
				for n := int(f.active.Load()); n > 0; n-- {
					select {
					case f.gate <- struct{}{}:
					case <-time.After(waitLimit):
						d.Fatalf(t, "%d requests in progress ended before they were released", n)
					}
				}
			case "cancel":
				for _, cancel := range cancels {
					cancel()
				}
			case "withdraw":
				f.pool.Withdraw()
			case "exhaust": // leaves the connections without stream numbers
				for _, c := range f.pool.conns() {
					c.mu.Lock()
					c.lastID = math.MaxUint32
					c.mu.Unlock()
				}
				return ""
			case "silence":
				f.relay.silence(d.HasArg("on"))
				return ""
			case "cut":
				f.relay.cut()
			case "connections": // waits until "least" connections were opened; reports whether at most maxConnsPerPeer were
				least := int64(1)
				d.MaybeScanArgs(t, "least", &least)
				opened := gometrics.GetOrRegisterCounter("link.opened", f.registry)
				f.await("connections", func() bool { return opened.Count() >= least })
				return fmt.Sprintf("bounded=%t", opened.Count() <= maxConnsPerPeer)
			case "bounds": // sends bodies around each bound and shows those that were not returned as sent
				return f.sendBounds(path)
			default:
				text, known := f.runRaw(t, d)
				if !known {
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
				return text
			}
			f.calls.Wait()
			f.await("no request in progress", func() bool { return int(f.active.Load()) == 0 })
			return f.takeEnds()
		})
	})
}

func showCounts(seen map[string]int) string {
	var lines []string
	for text, n := range seen {
		lines = append(lines, fmt.Sprintf("%d x %s", n, text))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
