package jackdawbridge

import (
	"context"
	"io"
	"net/http"
)

// Passage is the head of a request on its way from its entry node to the node of
// an upstream.
type Passage struct {
	envelope Envelope
	method   string
	host     string
	path     string // as it was sent, starts with a slash
	query    string
	header   http.Header // that goes on to the backend server
	length   int64       // of the body in bytes, -1 when unknown
}

// NewPassage returns the head of a request with a body of the given length in
// bytes, -1 when it is unknown.
func NewPassage(envelope Envelope, method, host, path, query string, header http.Header, length int64) Passage {
	return Passage{envelope: envelope, method: method, host: host, path: path, query: query, header: header, length: length}
}

// Envelope returns what the nodes tell each other of the request.
func (p Passage) Envelope() Envelope { return p.envelope }

// Method returns the method.
func (p Passage) Method() string { return p.method }

// Host returns the host that the caller named.
func (p Passage) Host() string { return p.host }

// Path returns the path as it was sent.
func (p Passage) Path() string { return p.path }

// Query returns the query as it was sent.
func (p Passage) Query() string { return p.query }

// Header returns the headers for the backend server. The caller may change them.
func (p Passage) Header() http.Header { return p.header }

// Length returns the length of the body in bytes, -1 when it is unknown.
func (p Passage) Length() int64 { return p.length }

// Reply is the head of the answer to a Passage: that of the backend server, or a
// refusal.
type Reply struct {
	status   int         // of the backend server, 0 for a refusal
	header   http.Header // of the backend server
	length   int64       // of the body in bytes, -1 when unknown
	feedback Feedback
	refusal  Refusal // NoReason for an answer
}

// NewReply returns the head of a backend server's answer with a body of the given
// length in bytes, -1 when it is unknown.
func NewReply(status int, header http.Header, length int64, feedback Feedback) Reply {
	return Reply{status: status, header: header, length: length, feedback: feedback}
}

// RefusedReply returns a refusal.
func RefusedReply(refusal Refusal, feedback Feedback) Reply {
	return Reply{refusal: refusal, feedback: feedback}
}

// Status returns the status of the backend server, 0 for a refusal.
func (r Reply) Status() int { return r.status }

// Header returns the headers of the backend server.
func (r Reply) Header() http.Header { return r.header }

// Length returns the length of the body in bytes, -1 when it is unknown.
func (r Reply) Length() int64 { return r.length }

// Feedback returns what the upstream's node tells of itself.
func (r Reply) Feedback() Feedback { return r.feedback }

// Refusal returns why the request was refused, and whether it was.
func (r Reply) Refusal() (Refusal, bool) { return r.refusal, r.refusal.reason != NoReason }

// Answer is a Reply with its body. The body must be closed; a body that ends
// early fails with an error other than io.EOF.
type Answer struct {
	reply Reply
	body  io.ReadCloser
}

// NewAnswer returns an answer.
func NewAnswer(reply Reply, body io.ReadCloser) *Answer { return &Answer{reply: reply, body: body} }

// Reply returns the head of the answer.
func (a *Answer) Reply() Reply { return a.reply }

// Body returns the body of the answer.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Content is the body of a request. At most one of its parts is set.
type Content struct {
	held   []byte    // goes along with the head
	stream io.Reader // is read when the upstream's node asks for it
}

// HeldContent returns a body that is held in full.
func HeldContent(held []byte) Content { return Content{held: held} }

// StreamedContent returns a body that is read once.
func StreamedContent(stream io.Reader) Content { return Content{stream: stream} }

// Held returns the body if it is held in full.
func (c Content) Held() []byte { return c.held }

// Stream returns the body if it is not held in full, or nil.
func (c Content) Stream() io.Reader { return c.stream }

// Links carries requests to the nodes of upstreams.
type Links interface {
	// Send sends a request and returns its answer. The end of the context gives
	// the request up, also while the body of its answer is read. The error is a
	// *LinkError.
	Send(ctx context.Context, to Peer, passage Passage, content Content) (*Answer, error)
	// Close ends all connections.
	Close() error
}

// LinkError is the failure of a request between nodes.
type LinkError struct {
	err     error
	sent    bool // a byte of the request may have been sent
	refused bool // the host refused the connection
}

// NewLinkError returns the failure of a request that may have been sent, or whose
// connection was refused.
func NewLinkError(err error, sent, refused bool) *LinkError {
	return &LinkError{err: err, sent: sent, refused: refused}
}

// Error returns the cause.
func (e *LinkError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.err }

// Sent reports whether a byte of the request may have been sent.
func (e *LinkError) Sent() bool { return e.sent }

// Refused reports whether the host refused the connection.
func (e *LinkError) Refused() bool { return e.refused }

// Inbound is a request that a peer has sent.
type Inbound interface {
	// Passage returns the head of the request.
	Passage() Passage
	// Body returns the body, nil if there is none. The first Read asks the sender
	// for a body that it does not hold in full.
	Body() io.Reader
	// Reply sends the head of the answer and the start of its body, which is the
	// whole body if last is set.
	Reply(reply Reply, start []byte, last bool) error
	// Write sends a part of the answer's body. It waits for the receiver.
	Write(part []byte, last bool) error
	// GiveUp ends the context of the request.
	GiveUp()
}

// InboundHandler serves a request of a peer. An answer that is not complete when
// it returns is broken off. The context ends when the sender gives the request
// up.
type InboundHandler func(ctx context.Context, request Inbound)

// LinkListener takes the requests of peers.
type LinkListener interface {
	// Serve hands requests to a handler, each in a goroutine of its own, until the
	// listener is closed.
	Serve(handle InboundHandler)
	// Close breaks off what is in progress.
	Close() error
}
