package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/clock"
	"github.com/jackdawbridge/jackdawbridge/rpc"
	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// crowdMessages opens connections to the listener for large messages of a node and begins a
// message on each that stops one byte short. It waits until no connection gets any further.
func (f *fleet) crowdMessages(d *datadriven.TestData) error {
	m := f.nodes[arg(d, "node")]
	count, _ := strconv.Atoi(arg(d, "count"))
	size, _ := strconv.Atoi(arg(d, "bytes"))
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(size)) // not compressed, length
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	var sent atomic.Int64
	for range count {
		body := &countingReader{sent: &sent, data: io.MultiReader(bytes.NewReader(prefix), bytes.NewReader(make([]byte, size-1))), ended: ctx.Done()}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.rpc+pb.Peer_Deliver_FullMethodName, body)
		if err != nil {
			return errors.Errorf("begin a message: %w", err)
		}
		request.Header.Set("Content-Type", "application/grpc")
		request.Header.Set("Te", "trailers")
		go func() {
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	last, equal := int64(-1), 0
	_, err := f.poll("a crowd that gets no further", func() (string, bool) {
		now := sent.Load()
		if now != last {
			last, equal = now, 0
		}
		equal++
		return strconv.FormatInt(now, 10), now > 0 && equal > settledPolls
	})
	f.t.Logf("%s: crowd of %d has sent %d bytes", arg(d, "node"), count, last)
	return err
}

// countingReader is the body of a message that never ends.
type countingReader struct {
	data  io.Reader
	sent  *atomic.Int64
	ended <-chan struct{}
}

// Read reads from the data and blocks at its end.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.data.Read(p)
	r.sent.Add(int64(n))
	if errors.Is(err, io.EOF) {
		<-r.ended
	}
	return n, err
}

// peerMessage sends a table with many entries to a node as a peer does, over the listener for large
// messages, and waits until the node has received it.
func (f *fleet) peerMessage(d *datadriven.TestData) (string, error) {
	m := f.nodes[arg(d, "node")]
	count, _ := strconv.Atoi(arg(d, "entries"))
	log := slog.New(slog.DiscardHandler)
	sealer, err := wire.NewSealer(clock.New(), []byte(fleetSecret))
	if err != nil {
		return "", errors.Errorf("peer message: %w", err)
	}
	sender, err := rpc.Listen(netip.MustParseAddrPort(f.freeAddress()), wire.Codec{}, sealer, metrics.NewRegistry(), log,
		func(jackdawbridge.Frame) {}, func() jackdawbridge.Status { return jackdawbridge.Status{} })
	if err != nil {
		return "", errors.Errorf("peer message: %w", err)
	}
	defer func() { _ = sender.Close() }()
	before, err := f.receivedMessages(arg(d, "node"))
	if err != nil {
		return "", err
	}
	none := netip.MustParseAddrPort(f.freeAddress())
	self := jackdawbridge.NewPeer(jackdawbridge.NewNode("z", 1), jackdawbridge.DataCentre(m.dc), jackdawbridge.NewAddresses(none, sender.Address(), none)).WithState(jackdawbridge.PeerLeft)
	to := jackdawbridge.NewPeer(jackdawbridge.NewNode("a", 1), jackdawbridge.DataCentre(m.dc), jackdawbridge.NewAddresses(none, netip.MustParseAddrPort(m.rpc), none))
	const revision = 1 << 40 // the node does not have the one before, so it does not apply the entries
	var entries []jackdawbridge.Entry
	for i := range count {
		var hash jackdawbridge.KeyHash
		binary.BigEndian.PutUint64(hash[:], uint64(i))
		entries = append(entries, jackdawbridge.Tombstone(jackdawbridge.KeyEntryName(hash)).WithRevision(revision))
	}

	delta := jackdawbridge.NewTableDelta(jackdawbridge.KeysTable, revision-1, revision, "z", entries)
	if err := sender.Send(to, jackdawbridge.NewFrame(self, jackdawbridge.Digest{}, delta)); err != nil {
		return "", errors.Errorf("peer message: %w", err)
	}
	return f.poll("a message that arrives", func() (string, bool) {
		now, err := f.receivedMessages(arg(d, "node"))
		return "received", err == nil && now > before
	})
}

// receivedMessages returns the number of messages that a node has received over its listener
// for large messages.
func (f *fleet) receivedMessages(name string) (int, error) {
	line, err := f.metric(name, "jackdawbridge_rpc_received_total")
	if err != nil {
		return 0, err
	}
	_, number, _ := strings.Cut(line, " ")
	n, _ := strconv.Atoi(number)
	return n, nil
}
