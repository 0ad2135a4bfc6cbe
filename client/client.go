// Package client sends requests to the local backend server over persistent
// HTTP/1.1 connections, one request at a time on each.
//
// It replaces the transport of net/http, whose two goroutines per connection cost
// as much as the request. That transport also hides information that a node needs:
// whether a byte was sent, whether more than the answer arrived on a connection,
// and how long the connection was idle. The encoding of requests and answers is
// still that of net/http.
package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/socket"
)

const (
	// dialTimeout limits the time to connect, which normally takes about 1 ms.
	dialTimeout = time.Second
	// keepAlive is the interval of the TCP keep-alive probes.
	keepAlive = 15 * time.Second
	// bufferSize is the size of a connection's read buffer and of its write buffer
	// in bytes.
	bufferSize = 4 << 10
	// ConcurrentBodySize is the least length in bytes of a body that is sent while
	// the answer is read, because a backend server may answer before it has read
	// the whole body.
	ConcurrentBodySize = 16 << 10
	// shortIdlePeriod is how long the limit of the idle time stays reduced after the
	// backend server has dropped an idle connection.
	shortIdlePeriod = 30 * time.Second
	// maxStrays is the number of answers to other requests after which a request
	// fails.
	maxStrays = 4
	// maxInterim is the number of interim answers (status 1xx) after which a request
	// fails.
	maxInterim = 8
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// maxHeadBytes limits the head of an answer in bytes. http.ReadResponse has no limit
	// and needs several times the size of a head that consists of short fields, for as
	// many answers at once as the backend server has slots.
	maxHeadBytes = 16 << 10
	// discardTimeout limits the time for the rest of a body that is read only to use
	// its connection again. A server in trouble may never end it.
	discardTimeout = 50 * time.Millisecond
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 64
	// lastWriteTimeout limits the wait for the result of a write whose body has ended. The
	// backend server may have answered without reading it.
	lastWriteTimeout = 50 * time.Millisecond
	// maxStrayBody limits the body of a discarded answer in bytes.
	maxStrayBody = 1 << 20
)

// Error is the failure of a request.
type Error struct {
	err       error
	connected bool // a connection was established, so bytes may have been sent
}

// NewError returns the failure of a request. The flag connected reports whether a
// connection was established for it.
func NewError(err error, connected bool) *Error { return &Error{err: err, connected: connected} }

// Error returns the text of the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Connected reports whether a connection was established, so that bytes of the request
// may have been sent.
func (e *Error) Connected() bool { return e.connected }

// Refused reports whether the backend server refused the connection.
func (e *Error) Refused() bool { return !e.connected && errors.Is(e.err, syscall.ECONNREFUSED) }

// errSendLimit is the cause of the failure of a request that could not be sent within
// its limit.
var errSendLimit = errors.New("time to send the request has passed")

// Sending is how a request may be sent.
type Sending struct {
	id         string               // of the request, the same for each time that it is sent; empty if unknown
	repeatable bool                 // the request may reach the backend server twice
	left       func() time.Duration // time left to send the request, nil for no limit
}

// NewSending returns how a request is sent that may be sent at any time. It is
// repeatable if it may reach the backend server twice.
func NewSending(repeatable bool) Sending { return Sending{repeatable: repeatable} }

// WithID returns s for the request with the given id. It is not sent on a connection on
// which it was refused before: the backend server may send the refusal once more, and
// nothing tells that copy from the answer to the later send.
func (s Sending) WithID(id string) Sending {
	s.id = id
	return s
}

// WithLimit returns s with a function that returns the time left to send the request. A
// request that has no time left once it has a connection is not sent.
func (s Sending) WithLimit(left func() time.Duration) Sending {
	s.left = left
	return s
}

// timeLeft returns the time left to send the request, at most limit.
func (s Sending) timeLeft(limit time.Duration) time.Duration {
	if s.left == nil {
		return limit
	}
	return min(s.left(), limit)
}

// Match is the relation of an answer to the request that was sent.
type Match uint8

// The relations of an answer to a request.
const (
	Matched   Match = iota // the answer to the request
	Stray                  // a late answer to another request; the expected answer follows
	Unrelated              // not the answer to any request
)

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	address           netip.AddrPort
	idleTimeout       time.Duration // after which an idle connection is closed
	nonRepeatableIdle time.Duration // idle time below which a connection is used for a request that is not repeatable
	maxIdle           int           // largest number of idle connections

	mu           sync.Mutex
	closed       bool
	idleConns    []*conn       // ordered by last use, the latest at the end
	droppedAfter time.Duration // shortest idle time after which the backend server recently dropped a connection, 0 for none
	droppedUntil time.Time     // when droppedAfter expires
	cleanupTimer *time.Timer   // closes connections that were idle for too long; nil without idle connections
}

// conn is a connection to the backend server.
type conn struct {
	socket.Conn
	source     *headLimiter // what reader reads from
	sender     *sender      // what writer writes to
	reader     *bufio.Reader
	writer     *bufio.Writer
	idleSince  time.Time     // when the connection became idle
	idleBefore time.Duration // idle time before the request in progress, 0 on a new connection
	idleLimit  time.Duration // idle time that the backend server allows, 0 if unknown
	refused    []string      // ids of the requests that were refused on the connection, at most maxRefused
}

// New returns a client that keeps at most maxIdle idle connections, each for up to
// idleTimeout. Because a backend server may drop an idle connection without notice,
// a request that is not repeatable uses a connection only if it was idle for less
// than nonRepeatableIdle. For some time after the backend server has dropped an idle
// connection, connections are reused only up to half the idle time that the dropped
// one had, or up to nonRepeatableIdle if that is longer.
func New(address netip.AddrPort, maxIdle int, idleTimeout, nonRepeatableIdle time.Duration) *Client {
	return &Client{address: address, maxIdle: max(maxIdle, 1), idleTimeout: idleTimeout, nonRepeatableIdle: nonRepeatableIdle}
}

// Close closes the idle connections. A connection in use is closed at the end of
// its answer.
func (c *Client) Close() {
	c.mu.Lock()
	idleConns := c.idleConns
	c.idleConns, c.closed = nil, true
	if c.cleanupTimer != nil {
		c.cleanupTimer.Stop()
	}
	c.mu.Unlock()
	for _, cn := range idleConns {
		_ = cn.Close()
	}
}

// Do sends a request on one connection and returns its answer. It does not send a
// request that is not repeatable on a connection that was idle for nonRepeatableIdle
// or longer, since the backend server may have dropped it. Answers for which match returns Stray are
// discarded. The end of the context closes the connection. The caller must close
// the body of the answer.
func (c *Client) Do(ctx context.Context, request *http.Request, sending Sending, match func(*http.Response) Match) (*http.Response, *Error) {
	cn, err := c.getConn(ctx, sending)
	if err != nil {
		return nil, &Error{err: err}
	}
	x := &exchange{client: c, conn: cn, request: request, id: sending.id}
	x.detachContext = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := x.run(match)
	if err == nil {
		return response, nil
	}
	x.abort()
	if ctx.Err() != nil {
		return nil, &Error{err: ctx.Err(), connected: true}
	}
	if cn.idleBefore > 0 && !x.answerStarted {
		c.recordDropped(cn.idleBefore)
	}
	return nil, &Error{err: err, connected: true}
}

// getConn returns an idle connection, or a new one if there is none to reuse. It fails
// if the caller has left or the time to send the request has passed meanwhile.
func (c *Client) getConn(ctx context.Context, sending Sending) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	left := sending.timeLeft(dialTimeout)
	if left <= 0 {
		return nil, errSendLimit
	}
	cn, err := c.findConn(ctx, sending, left)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		_ = cn.Close()
		return nil, err
	}
	if sending.timeLeft(dialTimeout) <= 0 {
		_ = cn.Close()
		return nil, errSendLimit
	}
	return cn, nil
}

// findConn returns an idle connection, or connects within a timeout if there is none to
// reuse.
func (c *Client) findConn(ctx context.Context, sending Sending, timeout time.Duration) (*conn, error) {
	for {
		cn := c.popIdle(sending)
		if cn == nil {
			return c.dial(ctx, timeout)
		}
		// Data that arrived on an idle connection belongs to no request.
		if cn.Idle() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

// popIdle removes the most recently used idle connection on which the request was not
// refused from the list and returns it. It returns nil if there is none or if that
// connection was idle for too long.
func (c *Client) popIdle(sending Sending) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.idleConns) - 1
	for i >= 0 && sending.id != "" && slices.Contains(c.idleConns[i].refused, sending.id) {
		i--
	}
	if i < 0 {
		return nil
	}
	cn := c.idleConns[i]
	idleBefore := time.Since(cn.idleSince)
	if idleBefore >= c.idleLimit(cn) || !sending.repeatable && idleBefore >= c.nonRepeatableIdle {
		return nil
	}
	c.idleConns = slices.Delete(c.idleConns, i, i+1)
	cn.idleBefore = idleBefore
	return cn
}

// idleLimit returns how long a connection may be idle. The caller holds c.mu.
func (c *Client) idleLimit(cn *conn) time.Duration {
	idleLimit := c.idleTimeout
	if cn.idleLimit > 0 {
		idleLimit = min(idleLimit, cn.idleLimit)
	}
	if c.droppedAfter > 0 && time.Now().Before(c.droppedUntil) {
		idleLimit = min(idleLimit, max(c.droppedAfter/2, c.nonRepeatableIdle))
	}
	return idleLimit
}

// recordDropped records that the backend server dropped a connection that had been
// idle for the given time.
func (c *Client) recordDropped(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.droppedAfter == 0 || now.After(c.droppedUntil) || idle < c.droppedAfter {
		c.droppedAfter = idle
	}
	c.droppedUntil = now.Add(shortIdlePeriod)
}

func (c *Client) dial(ctx context.Context, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: keepAlive}
	dialed, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, errors.Errorf("connect: %w", err)
	}
	wrapped := socket.Wrap(dialed)
	source, out := &headLimiter{source: wrapped}, &sender{conn: wrapped}
	return &conn{
		Conn: wrapped, source: source, sender: out,
		reader: bufio.NewReaderSize(source, bufferSize), writer: bufio.NewWriterSize(out, bufferSize),
	}, nil
}

// putIdle makes a connection available again after its answer was read to the end.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns) >= c.maxIdle {
		_ = cn.Close()
		return
	}
	c.idleConns = append(c.idleConns, cn)
	if c.cleanupTimer == nil {
		c.cleanupTimer = time.AfterFunc(c.idleTimeout, c.closeExpired)
	}
}

// closeExpired closes the connections that were idle for too long.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := 0
	for old < len(c.idleConns) && time.Since(c.idleConns[old].idleSince) >= c.idleLimit(c.idleConns[old]) {
		_ = c.idleConns[old].Close()
		old++
	}
	c.idleConns = append(c.idleConns[:0], c.idleConns[old:]...)
	if len(c.idleConns) == 0 || c.closed {
		c.cleanupTimer = nil
		return
	}
	c.cleanupTimer.Reset(max(c.idleTimeout-time.Since(c.idleConns[0].idleSince), c.idleTimeout/8))
}

// keepAliveTime returns how long a connection may be idle according to the
// Keep-Alive header of an answer, less a margin of a fifth. It returns 0 if the header
// has no timeout.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			// The backend server starts to count before the answer arrives.
			return time.Duration(seconds) * time.Second * 4 / 5
		}
	}
	return 0
}

// exchange is one request and the connection it is sent on.
type exchange struct {
	client        *Client
	conn          *conn
	request       *http.Request
	id            string        // of the request, empty if unknown
	detachContext func() bool   // detaches the connection from the context, whose end closes it; reports false if the context has ended
	written       chan struct{} // closed when a concurrent write has ended; nil if the request is written before the answer is read
	writeErr      error         // result of a concurrent write; valid once written is closed
	upload        *upload       // body of a concurrent write
	answerStarted bool          // the head of an answer has arrived
	notReusable   bool          // the connection must not be used again, for example because an answer to another request arrived
}

// run sends the request and reads the head of its answer. It discards answers to
// other requests.
func (x *exchange) run(match func(*http.Response) Match) (*http.Response, error) {
	if x.request.Body != nil && (x.request.ContentLength < 0 || x.request.ContentLength >= ConcurrentBodySize) {
		x.written = make(chan struct{})
		x.upload = &upload{ReadCloser: x.request.Body, left: x.request.ContentLength}
		x.request.Body = x.upload
		go func() {
			defer close(x.written)
			x.writeErr = x.write()
		}()
	} else if err := x.write(); err != nil {
		return nil, err
	}
	for range maxStrays {
		response, err := x.read()
		if err != nil {
			return nil, err
		}
		switch match(response) {
		case Matched:
			response.Body = newAnswerBody(x, response)
			return response, nil
		case Unrelated:
			return nil, errors.New("answer belongs to no request")
		}
		x.notReusable = true
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody))
		if err != nil || n == maxStrayBody || response.Close {
			return nil, errors.New("answer to another request cannot be discarded: body too long, incomplete or last on the connection")
		}
	}
	return nil, errors.New("read answer: too many answers to other requests before the expected one")
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

// read reads the head of the next answer. It skips interim answers.
func (x *exchange) read() (*http.Response, error) {
	for range maxInterim {
		x.conn.source.begin()
		response, err := http.ReadResponse(x.conn.reader, x.request)
		x.conn.source.end()
		if err != nil {
			return nil, errors.Errorf("read answer: %w", err)
		}
		x.answerStarted = true
		switch status := response.StatusCode; {
		case status >= http.StatusOK && status <= maxStatus:
			return response, nil
		case status < http.StatusContinue, status > maxStatus, status == http.StatusSwitchingProtocols:
			return nil, errors.Errorf("read answer: status %q: want 200 to %d, or an interim status", response.Status, maxStatus)
		}
	}
	return nil, errors.Errorf("read answer: got %d interim answers and no final one", maxInterim)
}

// recordRefused records that the request was refused, so that its connection is not used
// when it is sent again.
func (x *exchange) recordRefused() {
	if x.id != "" {
		x.conn.refused = append(x.conn.refused, x.id)
		x.notReusable = x.notReusable || len(x.conn.refused) >= maxRefused
	}
}

// abort closes the connection in the middle of the exchange.
func (x *exchange) abort() {
	x.detachContext()
	_ = x.conn.Close()
}

// finish is called at the end of an answer. It keeps the connection for further
// requests if the whole request was sent, nothing but the answer arrived, the request
// was not cancelled, and the backend server keeps the connection open. Otherwise it
// closes the connection.
func (x *exchange) finish(closeAfter bool, idleLimit time.Duration) {
	if !x.detachContext() || !x.requestSent() || closeAfter || x.notReusable || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.conn.idleLimit = idleLimit
	x.client.putIdle(x.conn)
}

// requestSent reports whether the whole request was sent. The last bytes of a body may
// be answered before the write that sent them reports its result, so that result is
// awaited once the body has been read to its end.
func (x *exchange) requestSent() bool {
	if x.writeEnded() {
		return x.written == nil || x.writeErr == nil
	}
	if !x.upload.ended.Load() {
		return false
	}
	timeout := time.NewTimer(lastWriteTimeout)
	defer timeout.Stop()
	select {
	case <-x.written:
		return x.writeErr == nil
	case <-timeout.C:
		return false
	}
}
