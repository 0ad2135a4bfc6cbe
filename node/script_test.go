package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/platform"
	gometrics "github.com/rcrowley/go-metrics"
)

// TestScripts runs the scripts in testdata/rules. The comments of a script state
// the failures that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/rules", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "forwarded":
				return showForwarded(t, d.Input)
			case "read":
				return showRead(t, d.Input)
			case "fields": // reads a request with so many header fields that the largest number is forwarded, and more
				more := 0
				d.ScanArgs(t, "more", &more)
				const added = 2 // the attempt id and the calling service
				got := showRead(t, "Attempt-Id: id-1\n"+strings.Repeat("X-Field: x\n", jackdawbridge.MaxHeaderFields-added+more))
				if strings.HasPrefix(got, "Attempt-Id: ") {
					return "accepted"
				}
				return got
			case "answer":
				return showAnswer(t, d)
			case "refusals":
				return eachLine(d.Input, func(line string) string {
					return refusalForCaller(jackdawbridge.NotRunRefusal(parseReason(t, line))).Reason().String()
				})
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

func eachLine(input string, show func(string) string) string {
	var b strings.Builder
	for line := range strings.Lines(input) {
		line = strings.TrimSpace(line)
		fmt.Fprintf(&b, "%s: %s\n", line, show(line))
	}
	return b.String()
}

func parseHeader(t *testing.T, input string) http.Header {
	h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(input + "\n\n"))).ReadMIMEHeader()
	if err != nil {
		t.Fatal(err)
	}
	return http.Header(h)
}

func showForwarded(t *testing.T, input string) string {
	h := endToEndHeader(parseHeader(t, input))
	return strings.Join(slices.Sorted(maps.Keys(h)), "\n")
}

// showRead reads a request of a caller on the users' platform and lists the header for the
// backend server.
func showRead(t *testing.T, input string) string {
	dialect, err := platform.NewDialect("ridegate", 5*time.Second, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{deps: Dependencies{dialect: dialect}}
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header = parseHeader(t, input)
	in, err := n.readCall(httptest.NewRecorder(), r, false)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for name, values := range in.head.Header() {
		lines = append(lines, name+": "+strings.Join(values, " | "))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func parseReason(t *testing.T, text string) jackdawbridge.Reason {
	for r := jackdawbridge.NoReason; r.String() != "invalid"; r++ {
		if r.String() == text {
			return r
		}
	}
	t.Fatalf("unknown reason %q", text)
	return 0
}

// resetReader is a reader that ends with a connection reset instead of io.EOF.
type resetReader struct{ io.Reader }

// Read reads from the underlying reader and reports its end as a reset.
func (r resetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// showAnswer parses an HTTP answer and shows what readPrefix returns for it. The
// argument repeat repeats the body, to build long answers; reset ends the
// connection with a reset.
func showAnswer(t *testing.T, d *datadriven.TestData) string {
	head, content, _ := strings.Cut(d.Input, "\n\n")
	repeat := 1
	d.MaybeScanArgs(t, "repeat", &repeat)
	content = strings.Repeat(content, repeat)
	if strings.Contains(head, "chunked") {
		content = strings.ReplaceAll(content, "\n", "\r\n") + "\r\n"
		if strings.Contains(content, "0\r\n") {
			content += "\r\n"
		}
	}
	var from io.Reader = strings.NewReader(strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + content)
	if d.HasArg("reset") {
		from = resetReader{from}
	}
	response, err := http.ReadResponse(bufio.NewReader(from), nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := readPrefix(response)
	switch {
	case err != nil:
		return err.Error()
	case !answer.complete:
		return fmt.Sprintf("complete=false %d bytes", len(answer.prefix))
	}
	text := fmt.Sprintf("complete=true %q", answer.prefix)
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		text += fmt.Sprintf(" length=%d", answer.reply(jackdawbridge.Feedback{}).Length())
	}
	return text
}

// TestStreamIsSentOnce guards against a large body of which two attempts each send
// a part. A link may continue to read the body for an attempt that has already
// failed.
func TestStreamIsSentOnce(t *testing.T) {
	b := &body{prefix: []byte("ab"), rest: strings.NewReader("cd"), length: 4}
	first, err := b.open(1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.open(2)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.Stream().Read(make([]byte, 1)); !errors.Is(err, errBodyConsumed) {
		t.Errorf("read by a superseded attempt: got error %v, want errBodyConsumed", err)
	}
	data, err := io.ReadAll(second.Stream())
	if diff := cmp.Diff("abcd", string(data)); diff != "" || err != nil {
		t.Errorf("body read by the newest attempt: error %v, difference (-want +got):\n%s", err, diff)
	}
	if _, err := b.open(3); !errors.Is(err, errBodyConsumed) {
		t.Errorf("open of a body that was read: got error %v, want errBodyConsumed", err)
	}
}

// TestMetricsText guards against metrics that are not valid in the Prometheus text
// format, so that collectors cannot read them.
func TestMetricsText(t *testing.T) {
	m := newMetrics(gometrics.NewRegistry())
	m.count("refused_for_over rate")
	m.set("members", 3)
	var b strings.Builder
	m.write(&b)
	text, _, _ := strings.Cut(b.String(), "# TYPE jackdawbridge_call_seconds")
	b.Reset()
	m.calls.observe(7 * time.Millisecond)
	m.calls.observe(40 * time.Second)
	m.calls.write(&b, "jackdawbridge_call_seconds")
	want := `# TYPE jackdawbridge_call_seconds histogram
jackdawbridge_call_seconds_bucket{le="0.001"} 0
jackdawbridge_call_seconds_bucket{le="0.002"} 0
jackdawbridge_call_seconds_bucket{le="0.005"} 0
jackdawbridge_call_seconds_bucket{le="0.01"} 1
jackdawbridge_call_seconds_bucket{le="0.02"} 1
jackdawbridge_call_seconds_bucket{le="0.05"} 1
jackdawbridge_call_seconds_bucket{le="0.1"} 1
jackdawbridge_call_seconds_bucket{le="0.2"} 1
jackdawbridge_call_seconds_bucket{le="0.5"} 1
jackdawbridge_call_seconds_bucket{le="1"} 1
jackdawbridge_call_seconds_bucket{le="2"} 1
jackdawbridge_call_seconds_bucket{le="5"} 1
jackdawbridge_call_seconds_bucket{le="10"} 1
jackdawbridge_call_seconds_bucket{le="30"} 1
jackdawbridge_call_seconds_bucket{le="+Inf"} 2
jackdawbridge_call_seconds_sum 40.007
jackdawbridge_call_seconds_count 2
# TYPE jackdawbridge_members gauge
jackdawbridge_members 3
# TYPE jackdawbridge_refused_for_over_rate_total counter
jackdawbridge_refused_for_over_rate_total 1
`
	if diff := cmp.Diff(want, b.String()+text); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// TestStopHandshakes guards against a connection that is established and then
// reset, because the listener was closed before the connection was accepted.
func TestStopHandshakes(t *testing.T) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	early, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = early.Close() }()
	if err := stopHandshakes(listener); err != nil {
		t.Fatal(err)
	}
	late := make(chan error, 1)
	go func() {
		_, err := net.Dial("tcp", listener.Addr().String())
		late <- err
	}()
	select {
	case err := <-late:
		t.Fatalf("connect after the handshakes were stopped: got result %v, want none before the listener is closed", err)
	case <-time.After(handshakeWait):
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	_ = listener.Close()
	if err := <-late; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connect after the listener was closed: got error %v, want ECONNREFUSED", err)
	}
}

// TestLogVolume guards against a log whose volume grows with the load, and against
// lines that are left out without being counted.
func TestLogVolume(t *testing.T) {
	l := newLogWriter(slog.New(slog.DiscardHandler))
	defer l.close()
	written, omitted := 0, int64(0)
	for second := range int64(3) {
		for range 10 * maxLinesPerSecond {
			n, ok := l.admit("route: request forwarded", second)
			omitted += n
			if ok {
				written++
			}
		}
	}
	if _, ok := l.admit("call: request refused", 2); !ok {
		t.Error("a line with another text is left out: want a separate limit for each text")
	}
	if diff := cmp.Diff(3*maxLinesPerSecond, written); diff != "" {
		t.Errorf("number of admitted lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2*9*maxLinesPerSecond), omitted); diff != "" {
		t.Errorf("number of lines reported as left out (-want +got):\n%s", diff)
	}
}
