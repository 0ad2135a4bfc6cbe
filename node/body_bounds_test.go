package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/datadriven"

	"github.com/jackdawbridge/jackdawbridge"
)

// pieceSize is the size of the writes of a client that sends a body in pieces, in bytes.
const pieceSize = 1000

// boundSizes returns the sizes around each bound at which a body is read in another way.
func boundSizes() []int {
	sizes := []int{0, 1}
	for bound := FirstBodyBuffer; bound <= 2*jackdawbridge.MaxBufferedBody; bound *= 2 {
		for size := bound - 2; size <= bound+2; size++ {
			sizes = append(sizes, size)
		}
	}
	return sizes
}

// wantBody describes how a body of the given size has to be read.
func wantBody(size int) string {
	how := "buffered"
	if size > jackdawbridge.MaxBufferedBody {
		how = "streamed"
	}
	return fmt.Sprintf("%s %d bytes as sent", how, size)
}

// describeBody describes how a body was read, and opens it.
func describeBody(b *body, sent []byte) string {
	opened, err := b.open(1)
	if err != nil {
		return err.Error()
	}
	how, content := "buffered", opened.Buffered()
	if opened.Stream() != nil {
		how = "streamed"
		if content, err = io.ReadAll(opened.Stream()); err != nil {
			return err.Error()
		}
	}
	if !bytes.Equal(content, sent) {
		return fmt.Sprintf("%s %d bytes, not as sent", how, len(content))
	}
	return fmt.Sprintf("%s %d bytes as sent", how, len(content))
}

// bodySources wrap the reader of a body in the ways in which its end can be learned.
var bodySources = map[string]func(io.Reader) io.Reader{
	"end after the last bytes": func(r io.Reader) io.Reader { return r },
	"end with the last bytes":  iotest.DataErrReader,
	"single bytes":             iotest.OneByteReader,
	"single bytes, end with the last": func(r io.Reader) io.Reader {
		return iotest.DataErrReader(iotest.OneByteReader(r))
	},
	"halves": iotest.HalfReader,
}

// TestBodyBounds guards against a body that is buffered although its receiver does not take
// as much without credit, and against one that loses bytes, because of its length and of how
// its end is learned. Each script lists the bodies that were not read as wanted.
func TestBodyBounds(t *testing.T) {
	datadriven.Walk(t, "testdata/bodies", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var wrong []string
			for _, size := range boundSizes() {
				sent := bytes.Repeat([]byte("0123456789abcde\n"), size/16+1)[:size]
				var got string
				switch d.Cmd {
				case "source": // reads a body with a length, and one without, from the named source
					source := bodySources[strings.TrimSpace(d.Input)]
					got = readSource(source(bytes.NewReader(sent)), sent, int64(size))
					if got == wantBody(size) {
						got = readSource(source(bytes.NewReader(sent)), sent, -1)
					}
				case "request": // sends a request over a connection
					got = sendBody(t, d, sent)
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
				if got != wantBody(size) {
					wrong = append(wrong, fmt.Sprintf("%d bytes: %s", size, got))
				}
			}
			return strings.Join(wrong, "\n")
		})
	})
}

// readSource reads a body of the given length from a reader.
func readSource(from io.Reader, sent []byte, length int64) string {
	r := httptest.NewRequest(http.MethodPost, "/", from)
	r.ContentLength = length
	b, err := readBody(r.Context(), &deadlineRecorder{}, r, DefaultLimits())
	if err != nil {
		return err.Error()
	}
	return describeBody(b, sent)
}

// sendBody sends a body to a server, with a length or in chunks, in one write or in pieces,
// before or after an interim answer. With next, another request follows in the same write.
func sendBody(t *testing.T, d *datadriven.TestData, sent []byte) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "next")
			return
		}
		b, err := readBody(r.Context(), w, r, DefaultLimits())
		if err != nil {
			_, _ = io.WriteString(w, err.Error())
			return
		}
		_, _ = io.WriteString(w, describeBody(b, sent))
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	head, content := fmt.Sprintf("Content-Length: %d\r\n", len(sent)), bytes.Clone(sent)
	if d.HasArg("chunked") {
		head, content = "Transfer-Encoding: chunked\r\n", nil
		size := max(len(sent), 1)
		if d.HasArg("pieces") {
			size = pieceSize
		}
		for rest := sent; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			content = fmt.Appendf(content, "%x\r\n%s\r\n", min(size, len(rest)), rest[:min(size, len(rest))])
		}
		content = append(content, "0\r\n\r\n"...)
	}
	if d.HasArg("next") {
		content = append(content, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"...)
	}
	head = "POST / HTTP/1.1\r\nHost: x\r\n" + head
	if d.HasArg("expect") && (len(sent) > 0 || d.HasArg("chunked")) { // an empty body is not waited for
		if _, err := io.WriteString(conn, head+"Expect: 100-continue\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
	} else {
		content = append([]byte(head+"\r\n"), content...)
	}
	size := len(content)
	if d.HasArg("pieces") {
		size = pieceSize
	}
	go func() {
		for rest := content; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if _, err := conn.Write(rest[:min(size, len(rest))]); err != nil {
				return // the answer shows it
			}
		}
	}()
	got := readText(t, reader)
	if d.HasArg("next") && readText(t, reader) != "next" {
		return "the next request was not answered"
	}
	return got
}

func readText(t *testing.T, reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
