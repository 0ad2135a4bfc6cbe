package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// inbound is a call at its entry node, as read from a listener.
type inbound struct {
	head   jackdawbridge.Head
	method string
	host   string
	body   *body
}

// serveCaller serves the request of a caller.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, false)
}

// serveChild serves a call that the own backend server makes.
func (n *Node) serveChild(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, true)
}

// serveCall serves a request at its entry node.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request, child bool) {
	started := time.Now()
	in, err := n.readCall(w, r, child)
	if err != nil {
		n.refuseInput(w, r, child, err)
		return
	}
	w.Header().Set(headerRequest, string(in.head.Request().ID()))
	x := n.open()
	defer n.end(x)
	n.apply(jackdawbridge.NewCallArrived(n.now(), x.call, in.head.Request()))
	n.follow(w, r, x, in)
	n.metrics.calls.observe(time.Since(started))
}

// readCall reads what the reducer needs to know of a request.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, child bool) (*inbound, error) {
	head, err := n.parts.dialect.ReadCall(r, child)
	if err != nil {
		return nil, err
	}
	requestBody, err := readBody(w, r, n.limits)
	if err != nil {
		return nil, err
	}
	head.Request().WithBody(requestBody.digest())
	return &inbound{head: head, method: r.Method, host: r.Host, body: requestBody}, nil
}

// refuseInput refuses a request that cannot be read. Its connection ends,
// because the rest of the request may still be on it.
func (n *Node) refuseInput(w http.ResponseWriter, r *http.Request, child bool, err error) {
	listener := "caller"
	if child {
		listener = "backend"
	}
	n.metrics.count("bad_input_" + listener)
	n.log.warn("node: bad input refused", "listener", listener, "from", r.RemoteAddr, "error", err)
	w.Header().Set("Connection", "close")
	n.writeRefusal(w, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
}

// follow does what the reducer decides until the request has ended.
func (n *Node) follow(w http.ResponseWriter, r *http.Request, x *exchange, in *inbound) {
	for {
		select {
		case d := <-x.decisions:
			switch d.kind {
			case decideForward:
				n.attempt(r.Context(), x, d, in)
			case decideDeliver:
				n.deliver(w, x)
				return
			case decideRefuse:
				n.refuse(w, d.refusal, in.body)
				n.writeRefusal(w, d.refusal)
				return
			}
		case <-r.Context().Done():
			n.metrics.count("calls_cancelled")
			n.apply(jackdawbridge.NewCallCancelled(n.now(), x.call))
			panic(http.ErrAbortHandler)
		case <-n.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// deliver passes an answer on to the caller. An answer that breaks ends the
// caller's connection, so that it does not look whole.
func (n *Node) deliver(w http.ResponseWriter, x *exchange) {
	n.closeIfStopping(w)
	whole := passOn(w, x.answer, n.limits.writeStall)
	n.apply(jackdawbridge.NewCallFinished(n.now(), x.call, whole))
	if !whole {
		n.metrics.count("answers_broken")
		panic(http.ErrAbortHandler)
	}
	n.metrics.count("calls_served")
}

// refuse prepares the answer to a request that is refused.
func (n *Node) refuse(w http.ResponseWriter, refusal jackdawbridge.Refusal, requestBody *body) {
	n.closeIfStopping(w)
	if requestBody != nil && requestBody.streams() {
		w.Header().Set("Connection", "close")
	}
	n.countRefusal(refusal)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.limits.writeStall))
}

func (n *Node) countRefusal(refusal jackdawbridge.Refusal) {
	n.metrics.count("refused_" + refusal.Outcome().String())
	n.metrics.count("refused_for_" + refusal.Reason().String())
}

// closeIfStopping tells a client on an open connection to use another node.
func (n *Node) closeIfStopping(w http.ResponseWriter) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// attempt forwards a call to the node of an upstream and tells the reducer how
// that went.
func (n *Node) attempt(ctx context.Context, x *exchange, d decision, in *inbound) {
	answer, failure := n.forward(ctx, x, d, in)
	if ctx.Err() != nil {
		return
	}
	if failure != nil {
		unused := 0
		refusal := jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
		if !failure.Sent() {
			refusal = jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed)
			unused = d.envelope.Allowance()
		}
		n.metrics.count("attempts_failed")
		n.log.warn("node: attempt failed", "request", string(d.envelope.ID()), "upstream", d.target.Node().String(),
			"outcome", refusal.Outcome().String(), "error", failure)
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, refusal, jackdawbridge.NewFeedback(0, unused), failure.Refused()))
		return
	}
	reply := answer.Reply()
	if refusal, refused := reply.Refusal(); refused {
		_ = answer.Body().Close()
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, entryRefusal(refusal), reply.Feedback(), false))
		return
	}
	x.answer = answer
	n.apply(jackdawbridge.NewAttemptAnswered(n.now(), x.call, d.attempt, reply.Status(), reply.Feedback()))
}

// entryRefusal returns what the refusal of an upstream's node means at the entry
// node. The entry node has read the request, so the caller is not at fault.
func entryRefusal(refusal jackdawbridge.Refusal) jackdawbridge.Refusal {
	if refusal.Reason() != jackdawbridge.BadInput {
		return refusal
	}
	if refusal.Outcome() == jackdawbridge.NotRun {
		return jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed)
	}
	return jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
}

// forward sends an attempt and returns its answer.
func (n *Node) forward(parent context.Context, x *exchange, d decision, in *inbound) (*jackdawbridge.Answer, *jackdawbridge.LinkError) {
	ctx, ok := x.begin(parent, d.attempt)
	if !ok {
		return nil, jackdawbridge.NewLinkError(context.Canceled, false, false)
	}
	requestBody, err := in.body.open(d.attempt)
	if err != nil {
		return nil, jackdawbridge.NewLinkError(err, false, false)
	}
	forwarded := jackdawbridge.NewPassage(d.envelope, in.method, in.host, in.head.RawPath(), in.head.Query(),
		passedHeader(in.head.Header()), in.body.length)
	answer, err := n.parts.links.Send(ctx, d.target, forwarded, requestBody)
	if err == nil {
		return answer, nil
	}
	var failure *jackdawbridge.LinkError
	if !errors.As(err, &failure) {
		failure = jackdawbridge.NewLinkError(err, true, false)
	}
	return nil, failure
}
