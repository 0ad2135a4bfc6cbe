package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// rawPeer is a peer of the fleet that sends any frames. It stands for a node of another
// version, or one with a fault.
type rawPeer struct {
	listener net.Listener // nil if the peer has dialled
	conn     net.Conn
	reader   *bufio.Reader
}

// rawKinds are the kinds of frames that a script can name.
var rawKinds = map[string]kind{
	"handshake": kindHandshake, "request": kindRequest, "reply": kindReply, "data": kindData, "credit": kindCredit,
	"reset": kindReset, "ping": kindPing, "pong": kindPong, "withdraw": kindWithdraw, "unknown": 99,
}

// rawSizes are the bounds that a script can name, from the code.
var rawSizes = map[string]int{
	"window": window, "unread": maxUnread, "chunk": MaxChunk, "payload": MaxPayload, "slack": maxStraySlack,
	"streams": maxStreams, "handlers": maxHandlers,
}

// number returns the value of a number, of a bound, or of a bound and an offset as in
// window+1.
func number(t *testing.T, text string) int {
	name, offset := text, 0
	if i := strings.LastIndexAny(text, "+-"); i > 0 {
		name = text[:i]
		var err error
		if offset, err = strconv.Atoi(text[i:]); err != nil {
			t.Fatalf("offset of %s: %v", text, err)
		}
	}
	if n, ok := rawSizes[name]; ok {
		return n + offset
	}
	n, err := strconv.Atoi(name)
	if err != nil {
		t.Fatalf("number %s: %v", text, err)
	}
	return n + offset
}

// dialRaw connects to the listener as a peer.
func (f *fixture) dialRaw() {
	conn, err := net.Dial("tcp", f.listener.Address().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.raw = &rawPeer{conn: conn, reader: bufio.NewReader(conn)}
	if err := clientHandshake(conn, f.raw.reader, newSealer(f.t, fleetSecret)); err != nil {
		f.t.Fatal(err)
	}
}

// acceptRaw listens as a peer. Its connection is accepted by awaitRequests.
func (f *fixture) acceptRaw() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.raw = &rawPeer{listener: listener}
}

func (p *rawPeer) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *rawPeer) close() {
	if p == nil {
		return
	}
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// awaitRequests reads frames until count requests have arrived, whose streams are from 1 up.
// The first call accepts the connection.
func (f *fixture) awaitRequests(count int) {
	p := f.raw
	if p.conn == nil {
		conn, err := p.listener.Accept()
		if err != nil {
			f.t.Fatal(err)
		}
		p.conn, p.reader = conn, bufio.NewReader(conn)
		if err := serverHandshake(conn, p.reader, newSealer(f.t, fleetSecret)); err != nil {
			f.t.Fatal(err)
		}
	}
	for range count {
		if got := p.read(); !strings.HasPrefix(got, "request") {
			f.t.Fatalf("got %s: want a request", got)
		}
	}
}

// read reads a frame and describes it. It answers pings, which depend on timing.
func (p *rawPeer) read() string {
	_ = p.conn.SetReadDeadline(time.Now().Add(waitLimit))
	h, err := readHeader(p.reader)
	if err != nil {
		return "connection ended"
	}
	payload, err := readPayload(p.reader, h)
	if err != nil {
		return "connection ended"
	}
	if h.kind == kindPing {
		_, _ = p.conn.Write(frameHeader{kind: kindPong}.append(nil))
		return p.read()
	}
	text := fmt.Sprintf("kind %d", h.kind)
	for name, k := range rawKinds {
		if k == h.kind {
			text = name
		}
	}
	text = fmt.Sprintf("%s of %d", text, h.stream)
	if h.kind == kindReply {
		reply, err := wire.Codec{}.DecodeReply(payload)
		if err != nil {
			return text + ": " + err.Error()
		}
		if refusal, refused := reply.Refusal(); refused {
			return fmt.Sprintf("%s: %s, %s", text, refusal.Outcome(), refusal.Reason())
		}
		return fmt.Sprintf("%s: %d", text, reply.Status())
	}
	return text
}

// writeRaw sends a frame for each line of a script: its kind, its stream, the size of its
// payload or the path of a request or the status of a reply, and "end" for the end of the
// body. With xN, N frames are sent, each of the next stream; with =N, N frames of the same
// stream.
func (f *fixture) writeRaw(t *testing.T, line string) {
	fields := strings.Fields(line)
	h := frameHeader{kind: rawKinds[fields[0]], stream: uint32(number(t, fields[1]))}
	count, step := 1, uint32(0)
	var payload []byte
	for _, field := range fields[2:] {
		switch {
		case field == "end":
			h.flags |= flagEnd
		case strings.HasPrefix(field, "x"):
			count, step = number(t, field[1:]), 1
		case strings.HasPrefix(field, "="):
			count = number(t, field[1:])
		case strings.HasPrefix(field, "/"):
			envelope := jackdawbridge.NewEnvelope(jackdawbridge.RequestID("r"+field), "acme", "annulli", jackdawbridge.High, 1000).WithRetryAllowance(1)
			payload, _ = wire.Codec{}.EncodeForwardedRequest(jackdawbridge.NewForwardedRequest(envelope, "POST", "h", field, "q", http.Header{}, -1))
		case h.kind == kindReply && field != "bad":
			payload, _ = wire.Codec{}.EncodeReply(jackdawbridge.NewReply(number(t, field), http.Header{"X-Path": {"/raw"}}, -1, jackdawbridge.NewFeedback(0, 0)))
		case field == "bad":
			payload = []byte("bad")
		case h.kind == kindCredit:
			payload = creditPayload(number(t, field))
		default:
			payload = make([]byte, number(t, field))
		}
	}
	h.size = len(payload)
	_ = f.raw.conn.SetWriteDeadline(time.Now().Add(waitLimit))
	for range count {
		if _, err := f.raw.conn.Write(append(h.append(nil), payload...)); err != nil {
			return // the script shows the end of the connection
		}
		h.stream += step
	}
}

// runRaw runs a command about a raw peer. It reports false if the command is not about one.
func (f *fixture) runRaw(t *testing.T, d *datadriven.TestData) (string, bool) {
	switch d.Cmd {
	case "dial": // connects a raw peer to the listener
		f.dialRaw()
	case "accept": // starts a raw peer, to which calls are sent
		f.acceptRaw()
	case "call": // sends requests to the raw peer, whose streams are numbered from 1
		count, size := 1, 0
		d.MaybeScanArgs(t, "count", &count)
		d.MaybeScanArgs(t, "size", &size)
		streamed := d.HasArg("streamed")
		for range count {
			f.calls.Go(func() {
				end := f.send(context.Background(), f.raw.address(), "/raw", size, streamed)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.ends = append(f.ends, end)
			})
			f.awaitRequests(1)
		}
	case "ends": // waits for the ends of calls
		f.calls.Wait()
		return f.takeEnds(), true
	case "frames": // sends frames, and shows as many frames of the other side as read says
		for line := range strings.Lines(d.Input) {
			f.writeRaw(t, strings.TrimSpace(line))
		}
		var text string
		d.MaybeScanArgs(t, "read", &text)
		if text == "" {
			return "", true
		}
		seen := make(map[string]int)
		for range number(t, text) {
			frame := f.raw.read()
			if d.HasArg("any") {
				frame, _, _ = strings.Cut(frame, " of ")
			}
			seen[frame]++
		}
		return showCounts(seen), true
	case "active": // waits for a number of handlers
		want := number(t, d.CmdArgs[0].Key)
		f.await("handlers", func() bool { return int(f.active.Load()) == want })
	case "lost": // waits until the pool has lost a number of connections
		want := int64(number(t, d.CmdArgs[0].Key))
		f.await("lost connections", func() bool { return gometrics.GetOrRegisterCounter("link.lost", f.registry).Count() == want })
	case "counts": // shows what was counted
		var lines []string
		for _, name := range []string{"link.aborted", "link.broken", "link.invalid", "link.lost", "link.rejected"} {
			lines = append(lines, fmt.Sprintf("%s %d", name, gometrics.GetOrRegisterCounter(name, f.registry).Count()))
		}
		return strings.Join(lines, "\n"), true
	default:
		return "", false
	}
	return "", true
}

// takeEnds returns the ends of requests since the last time.
func (f *fixture) takeEnds() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]int)
	for _, end := range f.ends {
		seen[end]++
	}
	f.ends = nil
	for len(f.cancelled) > 0 {
		seen["handler cancelled: "+<-f.cancelled]++
	}
	return showCounts(seen)
}
