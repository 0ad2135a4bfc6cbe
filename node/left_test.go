package node

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/datadriven"
	gometrics "github.com/rcrowley/go-metrics"
)

// TestCallerLeft runs the script testdata/left. A command sends a request, then further
// bytes, and closes or resets the connection, as its arguments tell.
func TestCallerLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	bounded := &boundedListener{Listener: listener, limit: 100, reading: newReadBudget(1<<20, newMetrics(gometrics.NewRegistry())), silent: func() net.Conn { return nil }, onRefused: func() {}}
	const request = "GET / HTTP/1.1\r\n\r\n"
	datadriven.RunTest(t, "testdata/left/callers", func(t *testing.T, d *datadriven.TestData) string {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		conn, err := bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		sent := request
		if d.HasArg("further") {
			sent += request
		}
		if _, err := io.WriteString(caller, sent); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
			t.Fatal(err)
		}
		if d.HasArg("reset") {
			_ = caller.(*net.TCPConn).SetLinger(0)
		}
		if d.HasArg("close") || d.HasArg("reset") {
			_ = caller.Close()
		}
		if callerLeft(context.WithValue(t.Context(), connKey{}, conn)) {
			return "left"
		}
		return "present"
	})
}
