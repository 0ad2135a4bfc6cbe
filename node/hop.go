package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

// dialTimeout bounds a new connection, which costs about 1 ms on a healthy
// network.
const dialTimeout = time.Second

// newTransport returns a transport without a proxy, for plain HTTP/1.1, that
// closes connections after the given idle time.
func newTransport(conns int, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        conns,
		MaxIdleConns:           0, // bounded for each host
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// hopError is the failure of a request at a hop.
type hopError struct {
	err       error
	connected bool // a connection was established, so bytes may have been sent
}

// Error returns the cause.
func (e *hopError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *hopError) Unwrap() error { return e.err }

// refused reports whether the host refused the connection.
func (e *hopError) refused() bool {
	return !e.connected && errors.Is(e.err, syscall.ECONNREFUSED)
}

// sendOnce sends a request and returns the head of the answer. The request is
// sent on one connection at most.
//
// The transport re-sends a request that fails on a reused connection if it has
// no body or one that can be rewound, and if nothing was written or the request
// counts as idempotent, for which an Idempotency-Key header is enough. A body
// that is set and has no GetBody rules out every case, even when it is empty.
func sendOnce(transport *http.Transport, request *http.Request) (*http.Response, *hopError) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	if request.Body == nil {
		request.Body = http.NoBody
	}
	request.Body = opaqueBody{request.Body}
	request.GetBody = nil
	request.ProtoMajor, request.ProtoMinor = 1, 1
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = []string{""} // else the library names itself
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return nil, &hopError{err: err, connected: connected.Load()}
	}
	return answer, nil
}

// opaqueBody hides the type of a body from the transport, which treats some
// readers as rewindable.
type opaqueBody struct{ io.ReadCloser }

const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// passOn writes an answer to a caller and reports whether all of it was
// written. The caller must be cut off if not.
func passOn(w http.ResponseWriter, answer *jackdawbridge.Answer, stall time.Duration) bool {
	control := http.NewResponseController(w)
	reply := answer.Reply()
	h := w.Header()
	for name, values := range reply.Header() {
		h[name] = values
	}
	if control.SetWriteDeadline(time.Now().Add(stall)) != nil {
		return false
	}
	w.WriteHeader(reply.Status())
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := answer.Body().Read(buffer[:])
		if n > 0 && !writePart(w, control, buffer[:n], reply.Length() < 0, stall) {
			return false
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// writePart writes a part of an answer. A part of a stream is flushed at once.
func writePart(w io.Writer, control *http.ResponseController, part []byte, flush bool, stall time.Duration) bool {
	if control.SetWriteDeadline(time.Now().Add(stall)) != nil {
		return false
	}
	if _, err := w.Write(part); err != nil {
		return false
	}
	return !flush || control.Flush() == nil
}

// refusesConnections reports whether an address refuses connections.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
