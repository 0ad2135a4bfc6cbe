package jackdawbridge

import (
	"context"
	"io"
	"net/http"
)

// ForwardedRequest is the head of a request that an entry node forwards to the node
// of an upstream.
type ForwardedRequest struct {
	envelope Envelope
	method   string
	host     string
	path     string // encoded as the caller sent it, starts with a slash
	query    string
	header   http.Header // for the backend server
	length   int64       // of the body in bytes, -1 if unknown
}

// NewForwardedRequest returns the head of a request with a body of the given length
// in bytes, -1 if unknown.
func NewForwardedRequest(envelope Envelope, method, host, path, query string, header http.Header, length int64) ForwardedRequest {
	return ForwardedRequest{envelope: envelope, method: method, host: host, path: path, query: query, header: header, length: length}
}

// Envelope returns the metadata of the request.
func (f ForwardedRequest) Envelope() Envelope { return f.envelope }

// Method returns the method.
func (f ForwardedRequest) Method() string { return f.method }

// Host returns the host to which the caller addressed the request.
func (f ForwardedRequest) Host() string { return f.host }

// Path returns the path, encoded as the caller sent it.
func (f ForwardedRequest) Path() string { return f.path }

// Query returns the raw query as the caller sent it.
func (f ForwardedRequest) Query() string { return f.query }

// Header returns the headers for the backend server. The caller may change them.
func (f ForwardedRequest) Header() http.Header { return f.header }

// Length returns the length of the body in bytes, -1 if unknown.
func (f ForwardedRequest) Length() int64 { return f.length }

// Reply is the head of the answer to a ForwardedRequest: that of the backend server's
// answer, or a refusal.
type Reply struct {
	status   int         // from the backend server, 0 for a refusal
	header   http.Header // from the backend server
	length   int64       // of the body in bytes, -1 if unknown
	feedback Feedback
	refusal  Refusal // has NoReason if the backend server answered
}

// NewReply returns the head of a backend server's answer with a body of the given
// length in bytes, -1 if unknown.
func NewReply(status int, header http.Header, length int64, feedback Feedback) Reply {
	return Reply{status: status, header: header, length: length, feedback: feedback}
}

// RefusedReply returns the head of an answer that refuses the request.
func RefusedReply(refusal Refusal, feedback Feedback) Reply {
	return Reply{refusal: refusal, feedback: feedback}
}

// Status returns the status of the backend server's answer, 0 for a refusal.
func (r Reply) Status() int { return r.status }

// Header returns the headers of the backend server's answer.
func (r Reply) Header() http.Header { return r.header }

// Length returns the length of the body in bytes, -1 if unknown.
func (r Reply) Length() int64 { return r.length }

// Feedback returns the load report of the upstream's node.
func (r Reply) Feedback() Feedback { return r.feedback }

// Refusal returns the refusal, and whether the request was refused.
func (r Reply) Refusal() (Refusal, bool) { return r.refusal, r.refusal.reason != NoReason }

// Answer is a Reply with its body. The caller must close the body. Reading a body that
// was interrupted fails with an error other than io.EOF.
type Answer struct {
	reply       Reply
	body        io.ReadCloser
	uploadEnded <-chan struct{} // closed when no more of the request's body is sent; nil if the body was sent with the head
}

// NewAnswer returns an answer.
func NewAnswer(reply Reply, body io.ReadCloser) *Answer { return &Answer{reply: reply, body: body} }

// WithUpload returns a with a channel that is closed when no more of the request's body is
// sent. An answer may end before that.
func (a *Answer) WithUpload(ended <-chan struct{}) *Answer {
	a.uploadEnded = ended
	return a
}

// UploadEnded reports whether no more of the request's body is sent.
func (a *Answer) UploadEnded() bool {
	if a.uploadEnded == nil {
		return true
	}
	select {
	case <-a.uploadEnded:
		return true
	default:
		return false
	}
}

// AwaitUpload waits until no more of the request's body is sent. The upload ends early with
// the request.
func (a *Answer) AwaitUpload() {
	if a.uploadEnded != nil {
		<-a.uploadEnded
	}
}

// Reply returns the head of the answer.
func (a *Answer) Reply() Reply { return a.reply }

// Body returns the body of the answer.
func (a *Answer) Body() io.ReadCloser { return a.body }

// MaxBufferedBody is the largest body of a request, in bytes, that an entry node buffers
// in full and sends with the head. The node that receives it holds as much of a body that
// it has not yet read, so nodes of different versions have to agree on it.
const MaxBufferedBody = 64 << 10

// Body is the body of a request. At most one of its fields is set.
type Body struct {
	buffered []byte    // sent together with the head if it has at most MaxBufferedBody bytes
	stream   io.Reader // read when the upstream's node requests the body
}

// BufferedBody returns a body that is entirely in memory.
func BufferedBody(buffered []byte) Body { return Body{buffered: buffered} }

// StreamedBody returns a body that can be read only once.
func StreamedBody(stream io.Reader) Body { return Body{stream: stream} }

// Buffered returns the body if it is entirely in memory, or nil.
func (b Body) Buffered() []byte { return b.buffered }

// Stream returns the reader of a body that is not in memory, or nil.
func (b Body) Stream() io.Reader { return b.stream }

// LinkClient sends requests to the nodes of upstreams.
type LinkClient interface {
	// Send sends a request and returns its answer. Cancelling the context aborts
	// the request, also while the body of its answer is read. The error is a
	// *LinkError. A buffered body above MaxBufferedBody is sent like a stream.
	Send(ctx context.Context, to Peer, request ForwardedRequest, body Body) (*Answer, error)
	// Withdraw asks the peers to refuse the requests in progress that are not yet
	// running. Requests that have not been sent fail, and so do later ones.
	Withdraw()
	// Close closes all connections.
	Close() error
}

// LinkError is the error of a request between nodes.
type LinkError struct {
	err               error
	maybeSent         bool // a part of the request may have been sent
	connectionRefused bool // the host refused the connection
}

// NewLinkError returns the error of a request, whether a part of the request may have
// been sent and whether the connection was refused.
func NewLinkError(err error, maybeSent, connectionRefused bool) *LinkError {
	return &LinkError{err: err, maybeSent: maybeSent, connectionRefused: connectionRefused}
}

// Error returns the text of the cause.
func (e *LinkError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.err }

// MaybeSent reports whether a part of the request, even one byte, may have been sent.
func (e *LinkError) MaybeSent() bool { return e.maybeSent }

// ConnectionRefused reports whether the host refused the connection.
func (e *LinkError) ConnectionRefused() bool { return e.connectionRefused }

// InboundRequest is a request received from a peer.
type InboundRequest interface {
	// ForwardedRequest returns the head of the request.
	ForwardedRequest() ForwardedRequest
	// Body returns the body, nil if there is none. If the sender streams the body,
	// the first Read requests it from the sender.
	Body() io.Reader
	// Reply sends the head of the answer and the start of its body. If last is
	// set, that is the whole body.
	Reply(reply Reply, start []byte, last bool) error
	// Write sends the next part of the answer's body and blocks until the receiver
	// has room for it. If last is set, the body ends with this part.
	Write(part []byte, last bool) error
	// Cancel cancels the context of the request.
	Cancel()
	// Withdrawn returns a channel that is closed when the sender withdraws the
	// request. If the request is not yet running, it must be refused.
	Withdrawn() <-chan struct{}
}

// InboundHandler serves a request of a peer. An answer that is incomplete when the
// handler returns is aborted. The context is cancelled when the sender aborts the
// request.
type InboundHandler func(ctx context.Context, request InboundRequest)

// LinkListener receives the requests of peers.
type LinkListener interface {
	// Serve calls the handler for each request, in a separate goroutine, until the
	// listener is closed.
	Serve(handle InboundHandler)
	// Close closes the listener and aborts the requests in progress.
	Close() error
}
