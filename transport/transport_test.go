package transport_test

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/clock"
	"github.com/jackdawbridge/jackdawbridge/gossip"
	"github.com/jackdawbridge/jackdawbridge/rpc"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
)

// limit is how long a command waits for the counters that it changes. It is far more
// than the loopback interface needs.
const limit = 30 * time.Second

// TestTransports guards against frames that are sent with the wrong transport, rejected
// input that is not counted, and goroutines that continue after Close. Each command
// prints the counters that it changed.
func TestTransports(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	registry := metrics.NewRegistry()
	sealer, err := wire.NewSealer(clock.New(), []byte("the secret of the fleet"))
	if err != nil {
		t.Fatal(err)
	}
	frames := make(chan jackdawbridge.Frame, 16)
	handle := func(f jackdawbridge.Frame) { frames <- f }
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	small, err := gossip.Listen(anyPort, wire.Codec{}, sealer, registry, slog.New(slog.DiscardHandler), handle)
	if err != nil {
		t.Fatal(err)
	}
	large, err := rpc.Listen(anyPort, wire.Codec{}, sealer, registry, slog.New(slog.DiscardHandler), handle, func() jackdawbridge.Status { return jackdawbridge.Status{} })
	if err != nil {
		t.Fatal(err)
	}
	both := transport.New(wire.Codec{}, sealer, small, gossip.MaxFrame, large)
	defer both.Close() //nolint:errcheck // checked by the script
	senders := map[string]jackdawbridge.Transport{"gossip": small, "rpc": large, "both": both}
	addresses := jackdawbridge.NewAddresses(small.Address(), large.Address(), netip.MustParseAddrPort("127.0.0.1:9"))
	self := jackdawbridge.NewPeer(jackdawbridge.NewNode("a1", 1), "dc1", addresses)

	datadriven.RunTest(t, "testdata/transports", func(t *testing.T, d *datadriven.TestData) string {
		before := counts(registry)
		var rumors, bytes int
		changes := 2 // counters that the command changes
		var by string
		d.MaybeScanArgs(t, "rumors", &rumors)
		d.MaybeScanArgs(t, "bytes", &bytes)
		d.MaybeScanArgs(t, "by", &by)
		var err error
		switch d.Cmd {
		case "send":
			members := jackdawbridge.NewMembers(slices.Repeat([]jackdawbridge.Rumor{jackdawbridge.NewRumor(self, jackdawbridge.Alive)}, rumors))
			err = senders[by].Send(self, jackdawbridge.NewFrame(self, jackdawbridge.NewDigest(1, 2, 3, 4), members))
		case "forge": // sends bytes that are not a sealed frame
			err = senders[by].(transport.Sender).SendSealed(self, make([]byte, bytes))
		case "datagram": // bypasses the checks of the sender
			changes = 1
			var conn net.Conn
			if conn, err = net.Dial("udp", small.Address().String()); err == nil {
				_, err = conn.Write(make([]byte, bytes))
				err = errors.Join(err, conn.Close())
			}
		case "listen":
			if _, err := gossip.Listen(small.Address(), wire.Codec{}, sealer, registry, slog.New(slog.DiscardHandler), handle); !errors.Is(err, syscall.EADDRINUSE) {
				return fmt.Sprintf("error is %v", err)
			}
			return "address in use"
		case "close":
			if err := both.Close(); err != nil {
				return err.Error()
			}
			return ""
		}
		if err != nil {
			return err.Error()
		}
		var changed []string
		for end := time.Now().Add(limit); time.Now().Before(end) && len(changed) < changes; time.Sleep(time.Millisecond) {
			changed = changed[:0]
			for name, n := range counts(registry) {
				if n != before[name] {
					changed = append(changed, fmt.Sprintf("%s +%d\n", name, n-before[name]))
				}
			}
		}
		slices.Sort(changed)
		if d.Cmd == "send" {
			f := <-frames
			changed = append(changed, fmt.Sprintf("%d rumors\n", len(f.Message().(*jackdawbridge.Members).Rumors())))
		}
		return strings.Join(changed, "")
	})
}

func counts(registry metrics.Registry) map[string]int64 {
	all := make(map[string]int64)
	registry.Each(func(name string, m any) { all[name] = m.(metrics.Counter).Count() })
	return all
}
