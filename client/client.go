// Package client sends requests to the backend server beside a node over kept
// HTTP/1.1 connections, one request at a time on each.
//
// It stands in for the transport of net/http, whose two goroutines a connection
// cost as much as the request, and which hides what a node must know: whether a
// byte was sent, whether a connection brought more than the answer, and how long
// it was idle. Requests and answers are written and read by net/http.
package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/socket"
)

const (
	// dialTimeout bounds a new connection, which costs about 1 ms.
	dialTimeout = time.Second
	// keepAlive is the time between the probes of an open connection.
	keepAlive = 15 * time.Second
	// bufferSize is the size of the two buffers of a connection in bytes.
	bufferSize = 4 << 10
	// asideSize is the length of a body in bytes from which it is sent while the
	// answer is awaited: a backend server may answer before it has read it.
	asideSize = 16 << 10
	// forgotTime is how long it is remembered that the backend server forgets idle
	// connections early.
	forgotTime = 30 * time.Second
	// maxStrays bounds the answers to other requests that are read over for one
	// request.
	maxStrays = 4
	// maxInterim bounds the interim answers (status 1xx) before an answer.
	maxInterim = 8
	// maxStray bounds the body of an answer that is read over, in bytes.
	maxStray = 1 << 20
)

// Error is the failure of a request.
type Error struct {
	err       error
	connected bool // a connection was established, so bytes may have been sent
}

// NewError returns a failure for which a connection was established, or not.
func NewError(err error, connected bool) *Error { return &Error{err: err, connected: connected} }

// Error returns the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Connected reports whether a byte of the request may have been sent.
func (e *Error) Connected() bool { return e.connected }

// Refused reports whether the backend server refused the connection.
func (e *Error) Refused() bool { return !e.connected && errors.Is(e.err, syscall.ECONNREFUSED) }

// Match tells what an answer is to a request.
type Match uint8

// What an answer can be.
const (
	Own      Match = iota // the answer to the request
	Stray                 // a late answer to another request; the own one comes next
	NoAnswer              // no answer to any request
)

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	idle    time.Duration // of a connection before it is closed
	fresh   time.Duration // of a connection that a request may use that must not be lost
	most    int           // idle connections

	mu     sync.Mutex
	closed bool
	kept   []*conn       // idle, the one used last at the end
	forgot time.Duration // least idle time after which a connection was forgotten lately, 0 if none was
	until  time.Time     // forgot holds until then
	sweep  *time.Timer   // closes connections that are idle for too long; nil while none is
}

// conn is a connection to the backend server.
type conn struct {
	socket.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time     // when it became idle
	idle   time.Duration // before the request in progress, 0 on a new connection
	limit  time.Duration // it may be idle, as the backend server said; 0 if it did not
}

// New returns a client that keeps up to most connections for the given time. A
// request that must not be lost uses one that was idle for less than fresh only:
// a backend server may forget a connection that it does not use. When one did so,
// the others are used for half of that time only, for a while.
func New(address netip.AddrPort, most int, idle, fresh time.Duration) *Client {
	return &Client{address: address, most: max(most, 1), idle: idle, fresh: fresh}
}

// Close closes the idle connections, and the others when their answers end.
func (c *Client) Close() {
	c.mu.Lock()
	kept := c.kept
	c.kept, c.closed = nil, true
	if c.sweep != nil {
		c.sweep.Stop()
	}
	c.mu.Unlock()
	for _, k := range kept {
		_ = k.Close()
	}
}

// Do sends a request on one connection and returns its answer. A request that is
// not repeatable must not be lost to a connection that was forgotten. Answers that
// match as strays are read over. The end of the context closes the connection.
// The body of the answer must be closed.
func (c *Client) Do(ctx context.Context, request *http.Request, repeatable bool, match func(*http.Response) Match) (*http.Response, *Error) {
	k, err := c.take(ctx, repeatable)
	if err != nil {
		return nil, &Error{err: err}
	}
	x := &exchange{client: c, conn: k, request: request}
	x.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
	response, err := x.run(match)
	if err == nil {
		return response, nil
	}
	x.drop()
	if ctx.Err() != nil {
		return nil, &Error{err: ctx.Err(), connected: true}
	}
	if k.idle > 0 && !x.heard {
		c.forgets(k.idle)
	}
	return nil, &Error{err: err, connected: true}
}

// take returns an idle connection, or a new one.
func (c *Client) take(ctx context.Context, repeatable bool) (*conn, error) {
	for {
		k := c.pop(repeatable)
		if k == nil {
			return c.dial(ctx)
		}
		// What arrives on an idle connection belongs to no request.
		if k.Quiet() {
			return k, nil
		}
		_ = k.Close()
	}
}

// pop returns the connection that was used last, if it may be used again.
func (c *Client) pop(repeatable bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kept) == 0 {
		return nil
	}
	k := c.kept[len(c.kept)-1]
	idle := time.Since(k.since)
	if idle >= c.limit(k) || !repeatable && idle >= c.fresh {
		return nil
	}
	c.kept = c.kept[:len(c.kept)-1]
	k.idle = idle
	return k
}

// limit returns for how long a connection may be idle.
func (c *Client) limit(k *conn) time.Duration {
	limit := c.idle
	if k.limit > 0 {
		limit = min(limit, k.limit)
	}
	if c.forgot > 0 && time.Now().Before(c.until) {
		limit = min(limit, max(c.forgot/2, c.fresh))
	}
	return limit
}

// forgets takes note of a connection that was idle for a time and turned out to
// be forgotten.
func (c *Client) forgets(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.forgot == 0 || now.After(c.until) || idle < c.forgot {
		c.forgot = idle
	}
	c.until = now.Add(forgotTime)
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	dialed, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, errors.Errorf("connect: %w", err)
	}
	wrapped := socket.Wrap(dialed)
	return &conn{
		Conn: wrapped, reader: bufio.NewReaderSize(wrapped, bufferSize), writer: bufio.NewWriterSize(wrapped, bufferSize),
	}, nil
}

// keep takes a connection back whose answer was read to its end.
func (c *Client) keep(k *conn) {
	k.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.kept) >= c.most {
		_ = k.Close()
		return
	}
	c.kept = append(c.kept, k)
	if c.sweep == nil {
		c.sweep = time.AfterFunc(c.idle, c.tidy)
	}
}

// tidy closes the connections that were idle for too long.
func (c *Client) tidy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := 0
	for old < len(c.kept) && time.Since(c.kept[old].since) >= c.limit(c.kept[old]) {
		_ = c.kept[old].Close()
		old++
	}
	c.kept = append(c.kept[:0], c.kept[old:]...)
	if len(c.kept) == 0 || c.closed {
		c.sweep = nil
		return
	}
	c.sweep.Reset(max(c.idle-time.Since(c.kept[0].since), c.idle/8))
}

// keepAliveTime returns the idle time that an answer names, 0 if none.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			// The backend server counts from before the answer arrived.
			return time.Duration(seconds) * time.Second * 4 / 5
		}
	}
	return 0
}

// exchange is a request on its connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *http.Request
	stop    func() bool // ends the watch over the context
	sent    chan error  // has the end of a body that is sent aside; nil if none is
	heard   bool        // the head of an answer has arrived
	spoilt  bool        // the connection must not be used again
}

// run sends the request and reads the head of its answer.
func (x *exchange) run(match func(*http.Response) Match) (*http.Response, error) {
	if x.request.Body != nil && (x.request.ContentLength < 0 || x.request.ContentLength >= asideSize) {
		x.sent = make(chan error, 1)
		go func() { x.sent <- x.write() }()
	} else if err := x.write(); err != nil {
		return nil, err
	}
	for range maxStrays {
		response, err := x.read()
		if err != nil {
			return nil, err
		}
		switch match(response) {
		case Own:
			response.Body = &body{ReadCloser: response.Body, x: x, last: response.Close, limit: keepAliveTime(response.Header)}
			return response, nil
		case NoAnswer:
			return nil, errors.New("answer to no request")
		}
		x.spoilt = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray))
		if err != nil || n == maxStray || response.Close {
			return nil, errors.New("answer to another request")
		}
	}
	return nil, errors.New("answers to other requests")
}

func (x *exchange) write() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return errors.Errorf("send request: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return errors.Errorf("send request: %w", err)
	}
	return nil
}

// read reads the head of an answer, over interim ones.
func (x *exchange) read() (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, errors.Errorf("read answer: %w", err)
		}
		x.heard = true
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errors.Errorf("read answer: over %d interim answers", maxInterim)
}

// drop closes the connection.
func (x *exchange) drop() {
	x.stop()
	_ = x.conn.Close()
}

// finish keeps the connection after the end of an answer if nothing on it is odd:
// all of the request was sent, nothing follows the answer, and the request was
// not given up.
func (x *exchange) finish(last bool, limit time.Duration) {
	whole := x.sent == nil
	if !whole {
		select {
		case err := <-x.sent:
			whole = err == nil
		default: // the answer came before the body was sent
		}
	}
	if !x.stop() || !whole || last || x.spoilt || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.conn.limit = limit
	x.client.keep(x.conn)
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	x     *exchange
	last  bool          // the connection ends with the answer
	limit time.Duration // for which the connection may be idle, 0 if unknown
	ended bool
}

// Read reads of the answer. Its end frees the connection.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		if errors.Is(err, io.EOF) {
			b.x.finish(b.last, b.limit)
		} else {
			b.x.drop()
		}
	}
	return n, err
}

// Close gives up the rest of the answer, with its connection.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.x.drop()
	}
	return nil
}
