package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// entryRequest is a request at its entry node, as read from a caller or from the
// local backend server.
type entryRequest struct {
	head   jackdawbridge.Head
	method string
	host   string
	body   *body
	caller *callerWatch // ends the context of the request when its caller leaves
}

// serveCaller serves a request of a caller.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, false)
}

// serveChildCall serves a call that the local backend server makes while it
// handles a request.
func (n *Node) serveChildCall(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, true)
}

// serveCall serves a request at its entry node. Child is true for a call of the
// local backend server.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request, child bool) {
	if r.Body != http.NoBody {
		// Otherwise the server reads from the body itself before it writes the head of an
		// answer, and an attempt that still sends the body misses what the server has read.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	n.answerCall(w, r, child)
	n.discardBody(w, r)
}

// answerCall answers a request at its entry node.
func (n *Node) answerCall(w http.ResponseWriter, r *http.Request, child bool) {
	started := time.Now()
	in, err := n.readCall(w, r, child)
	switch {
	case errors.Is(err, errBodyStopped):
		n.refuseUnread(w, r, jackdawbridge.Draining)
		return
	case errors.Is(err, errOverBudget):
		n.refuseUnread(w, r, jackdawbridge.Overloaded)
		return
	case err != nil:
		n.refuseBadInput(w, r, child, err)
		return
	}
	if callerLeft(r.Context()) {
		n.metrics.count("calls_abandoned")
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerRequest, string(in.head.Request().ID()))
	defer in.body.end()
	var ctx context.Context
	ctx, in.caller = watchCaller(r.Context(), in.body.isStreamed())
	defer in.caller.stop()
	x := n.openExchange()
	defer n.endExchange(x)
	n.apply(jackdawbridge.NewCallArrived(n.now(), x.call, in.head.Request()))
	n.processDecisions(ctx, w, x, in)
	n.metrics.calls.observe(time.Since(started))
}

// readCall parses the head of a request and reads the start of its body.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, child bool) (*entryRequest, error) {
	head, err := n.deps.dialect.ReadCall(r, endToEndHeader(r.Header), child)
	if err != nil {
		return nil, err
	}
	if err := jackdawbridge.CheckHeader(head.Header()); err != nil {
		return nil, err
	}
	requestBody, err := readBody(n.withdrawn, w, r, n.limits)
	if err != nil {
		return nil, err
	}
	head.Request().WithBodyDigest(requestBody.digest())
	return &entryRequest{head: head, method: r.Method, host: r.Host, body: requestBody}, nil
}

// refuseBadInput refuses a request that is malformed or could not be read. The
// connection is closed after the answer, because the rest of the request may still
// arrive on it.
func (n *Node) refuseBadInput(w http.ResponseWriter, r *http.Request, child bool, err error) {
	listener := "caller"
	if child {
		listener = "backend"
	}
	n.metrics.count("bad_input_" + listener)
	n.log.warn("node: request refused as bad input", "listener", listener, "from", r.RemoteAddr, "error", err)
	w.Header().Set("Connection", "close")
	n.writeRefusal(w, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
}

// refuseUnread refuses a request whose body has not been read to its end. The connection is
// closed after the answer.
func (n *Node) refuseUnread(w http.ResponseWriter, r *http.Request, reason jackdawbridge.Reason) {
	refusal := jackdawbridge.NotRunRefusal(reason)
	n.log.warn("node: request refused: its body was not read to its end", "from", r.RemoteAddr, "reason", reason.String())
	n.prepareRefusal(w, refusal, nil)
	w.Header().Set("Connection", "close")
	n.writeRefusal(w, refusal)
}

// processDecisions carries out the reducer's decisions on a request at its entry
// node until the request has ended. The context ends when the caller has left.
func (n *Node) processDecisions(ctx context.Context, w http.ResponseWriter, x *exchange, in *entryRequest) {
	for {
		select {
		case d := <-x.decisions:
			switch d.kind {
			case decideForward:
				n.attempt(ctx, x, d, in)
			case decideDeliver:
				n.deliverAnswer(w, x, in.caller)
				return
			case decideRefuse:
				n.prepareRefusal(w, d.refusal, in.body)
				n.writeRefusal(w, d.refusal)
				return
			}
		case <-ctx.Done():
			n.metrics.count("calls_cancelled")
			n.apply(jackdawbridge.NewCallCancelled(n.now(), x.call))
			panic(http.ErrAbortHandler)
		case <-n.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// deliverAnswer relays the answer of an upstream to the caller. If the answer
// breaks off, it closes the caller's connection, so that the caller cannot take
// a truncated answer for a complete one. The call ends when its answer has been written and
// its body has been sent: a backend server may answer an upload at once and read on.
func (n *Node) deliverAnswer(w http.ResponseWriter, x *exchange, caller *callerWatch) {
	n.closeIfStopping(w)
	uploading := !x.answer.UploadEnded()
	var beforeEnd func()
	if uploading {
		beforeEnd = caller.release
	}
	complete := relayToCaller(w, x.answer, beforeEnd, n.limits.writeTimeout)
	if complete && uploading {
		x.answer.AwaitUpload() // ends also at the deadline of the call and when the node is closed
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.limits.writeTimeout))
	}
	n.apply(jackdawbridge.NewCallFinished(n.now(), x.call, complete))
	if !complete {
		n.metrics.count("answers_broken")
		panic(http.ErrAbortHandler)
	}
	n.metrics.count("calls_served")
}

// prepareRefusal counts a refusal and prepares the connection for its answer. If
// part of the request's body may be unread, the connection is closed after the
// answer.
func (n *Node) prepareRefusal(w http.ResponseWriter, refusal jackdawbridge.Refusal, requestBody *body) {
	n.closeIfStopping(w)
	if requestBody != nil && requestBody.isStreamed() {
		w.Header().Set("Connection", "close")
	}
	n.countRefusal(refusal)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.limits.writeTimeout))
}

// countRefusal counts a refusal by outcome and by reason.
func (n *Node) countRefusal(refusal jackdawbridge.Refusal) {
	n.metrics.count("refused_" + refusal.Outcome().String())
	n.metrics.count("refused_for_" + refusal.Reason().String())
}

// stopDiscard is how long a node that exits soon goes on to discard a body.
const stopDiscard = 200 * time.Millisecond

// discardBody reads the rest of a request's body after its answer. A connection that is
// closed before that is reset, and a client that is still sending loses the answer. The
// connection is closed unless the whole body arrives in time, so that no part of it is taken
// for another request.
func (n *Node) discardBody(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*boundedConn)
	if !ok || r.Body == http.NoBody || conn.bodyRead.Load() {
		return
	}
	conn.endRequest(r)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(n.limits.writeTimeout)) // this and the following fail only if the connection is closed
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(n.limits.bodyGrace))
	defer context.AfterFunc(n.withdrawn, func() { _ = control.SetReadDeadline(time.Now().Add(stopDiscard)) })()
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		conn.setBodyRead()
		return
	}
	closeAfterAnswer(w)
}

// closeAfterAnswer closes the connection of a request after its answer, whose head has been
// written. The server has no function for that, but does so after a request whose body
// exceeds a limit.
func closeAfterAnswer(w http.ResponseWriter) {
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// closeIfStopping closes the client's connection after the answer if the node is
// stopping, so that the client connects to another node.
func (n *Node) closeIfStopping(w http.ResponseWriter) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// attempt forwards a request to the node of an upstream and reports the result to
// the reducer.
func (n *Node) attempt(ctx context.Context, x *exchange, d decision, in *entryRequest) {
	answer, failure := n.forward(ctx, x, d, in)
	if ctx.Err() != nil {
		return
	}
	if failure != nil {
		unused := 0
		refusal := jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
		if !failure.MaybeSent() {
			refusal = jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed)
			unused = d.envelope.RetryAllowance()
		}
		n.metrics.count("attempts_failed")
		n.log.warn("node: attempt at an upstream failed", "request", string(d.envelope.ID()), "upstream", d.target.Node().String(),
			"outcome", refusal.Outcome().String(), "error", failure, "cancelled_by", x.cancelledBy(d.attempt))
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, refusal, jackdawbridge.NewFeedback(0, unused), failure.ConnectionRefused()))
		return
	}
	reply := answer.Reply()
	if refusal, refused := reply.Refusal(); refused {
		_ = answer.Body().Close()
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, refusalForCaller(refusal), reply.Feedback(), false))
		return
	}
	x.answer = answer
	n.apply(jackdawbridge.NewAttemptAnswered(n.now(), x.call, d.attempt, reply.Status(), reply.Feedback()))
}

// refusalForCaller converts a refusal by an upstream's node to the one that the
// entry node reports. The entry node has already accepted the request as valid,
// so BadInput from the upstream's node is not the caller's fault and becomes
// UpstreamFailed.
func refusalForCaller(refusal jackdawbridge.Refusal) jackdawbridge.Refusal {
	if refusal.Reason() != jackdawbridge.BadInput {
		return refusal
	}
	if refusal.Outcome() == jackdawbridge.NotRun {
		return jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed)
	}
	return jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
}

// forward sends a request to the target of an attempt and returns the answer.
func (n *Node) forward(parent context.Context, x *exchange, d decision, in *entryRequest) (*jackdawbridge.Answer, *jackdawbridge.LinkError) {
	ctx, ok := x.startAttempt(parent, d.attempt)
	if !ok {
		return nil, jackdawbridge.NewLinkError(context.Canceled, false, false)
	}
	requestBody, err := in.body.open(d.attempt)
	if err != nil {
		return nil, jackdawbridge.NewLinkError(err, false, false)
	}
	forwarded := jackdawbridge.NewForwardedRequest(d.envelope, in.method, in.host, in.head.RawPath(), in.head.Query(),
		in.head.Header(), in.body.length)
	answer, err := n.deps.links.Send(ctx, d.target, forwarded, requestBody)
	if err == nil {
		return answer, nil
	}
	var failure *jackdawbridge.LinkError
	if !errors.As(err, &failure) {
		failure = jackdawbridge.NewLinkError(err, true, false)
	}
	return nil, failure
}
