package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

// inbound is a call at its entry node, as read from a listener.
type inbound struct {
	request *jackdawbridge.Request
	target  target
	header  http.Header // that goes on
	method  string
	host    string
	body    *body
}

// serveCaller serves the request of a caller.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, "caller", func(request *jackdawbridge.Request) error {
		hash, keyed, err := keyOf(r.Header)
		if err == nil && keyed {
			request.WithKey(hash)
		}
		return err
	})
}

// serveChild serves a call that the own backend server makes.
func (n *Node) serveChild(w http.ResponseWriter, r *http.Request) {
	n.serveCall(w, r, "backend", func(request *jackdawbridge.Request) error {
		token, err := tokenOf(r.Header)
		request.WithToken(token)
		return err
	})
}

// serveCall serves a request at its entry node.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request, listener string, identify func(*jackdawbridge.Request) error) {
	began := time.Now()
	id := jackdawbridge.RequestID(uuid.Must(uuid.NewV7()).String())
	w.Header().Set(headerRequest, string(id))
	in, err := n.readCall(w, r, id, identify)
	if err != nil {
		n.refuseInput(w, listener, id, err)
		return
	}
	x := n.open()
	defer n.end(x)
	n.apply(jackdawbridge.NewCallArrived(n.now(), x.call, in.request))
	n.follow(w, r, x, in)
	n.metrics.observe("call_milliseconds", time.Since(began))
}

// readCall reads what the reducer needs to know of a request.
func (n *Node) readCall(w http.ResponseWriter, r *http.Request, id jackdawbridge.RequestID, identify func(*jackdawbridge.Request) error) (*inbound, error) {
	to, err := targetOf(r.URL)
	if err != nil {
		return nil, err
	}
	budget, err := budgetOf(r.Header, n.limits)
	if err != nil {
		return nil, err
	}
	idempotency, err := idempotencyOf(r.Header)
	if err != nil {
		return nil, err
	}
	request := jackdawbridge.NewRequest(id, to.service, r.Method, to.path, budget).WithIdempotency(idempotency)
	if err := identify(request); err != nil {
		return nil, err
	}
	content, err := readBody(w, r, n.limits)
	if err != nil {
		return nil, err
	}
	request.WithBody(content.digest())
	return &inbound{request: request, target: to, header: passedHeader(r.Header), method: r.Method, host: r.Host, body: content}, nil
}

// refuseInput refuses a request that cannot be read. Its connection ends,
// because the rest of the request may still be on it.
func (n *Node) refuseInput(w http.ResponseWriter, listener string, id jackdawbridge.RequestID, err error) {
	n.metrics.count("bad_input_" + listener)
	n.log.warn("node: bad input refused", "listener", listener, "request", string(id), "error", err)
	w.Header().Set("Connection", "close")
	writeRefusal(w, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
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

// refuse answers a request with a refusal.
func (n *Node) refuse(w http.ResponseWriter, refusal jackdawbridge.Refusal, content *body) {
	n.closeIfStopping(w)
	if content != nil && content.streams() {
		w.Header().Set("Connection", "close")
	}
	n.metrics.count("refused_" + refusal.Outcome().String())
	n.metrics.count("refused_for_" + refusal.Reason().String())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.limits.writeStall))
	writeRefusal(w, refusal)
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
	answer, rep, failure := n.forward(ctx, x, d, in)
	if ctx.Err() != nil {
		return
	}
	if failure != nil {
		unused := 0
		refusal := jackdawbridge.UnknownRefusal(jackdawbridge.UpstreamFailed)
		if !failure.connected {
			refusal = jackdawbridge.NotRunRefusal(jackdawbridge.UpstreamFailed)
			unused = d.envelope.Allowance()
		}
		n.metrics.count("attempts_failed")
		n.log.warn("node: attempt failed", "request", string(d.envelope.ID()), "upstream", d.target.Node().String(),
			"outcome", refusal.Outcome().String(), "error", failure.err)
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, refusal, 0, unused, failure.refused()))
		return
	}
	if rep.refused {
		n.apply(jackdawbridge.NewAttemptFailed(n.now(), x.call, d.attempt, rep.refusal, rep.level, rep.unused, false))
		return
	}
	x.answer = answer
	n.apply(jackdawbridge.NewAttemptAnswered(n.now(), x.call, d.attempt, answer.StatusCode, rep.level, rep.unused))
}

// forward sends an attempt and returns the head of the answer.
func (n *Node) forward(parent context.Context, x *exchange, d decision, in *inbound) (*http.Response, report, *hopError) {
	ctx, ok := x.begin(parent, d.attempt)
	if !ok {
		return nil, report{}, &hopError{err: context.Canceled}
	}
	request, err := n.forwardRequest(ctx, d, in)
	if err != nil {
		return nil, report{}, &hopError{err: err}
	}
	content, err := in.body.open(d.attempt)
	if err != nil {
		return nil, report{}, &hopError{err: err}
	}
	answer, failure := sendOnce(n.upstreams, request, content)
	if failure != nil {
		return nil, report{}, failure
	}
	rep, err := readReport(answer.Header)
	if err == nil && !rep.refused && !framed(answer) {
		err = errors.New("answer has no length")
	}
	if err != nil || rep.refused {
		drain(answer)
	}
	if err != nil {
		n.metrics.count("bad_input_upstream")
		return nil, report{}, &hopError{err: err, connected: true}
	}
	return answer, rep, nil
}

// forwardRequest returns the request to the node of an upstream.
func (n *Node) forwardRequest(ctx context.Context, d decision, in *inbound) (*http.Request, error) {
	data, err := n.parts.codec.EncodeEnvelope(d.envelope)
	if err != nil {
		return nil, errors.Errorf("encode envelope: %w", err)
	}
	u, err := requestURL(d.target.Addresses().HTTP().String(), in.target.raw, in.target.query)
	if err != nil {
		return nil, err
	}
	header := in.header.Clone()
	header.Set(headerEnvelope, n.parts.sealer.SealHeader(data))
	request := (&http.Request{Method: in.method, URL: u, Host: in.host, Header: header, ContentLength: in.body.length}).WithContext(ctx)
	if in.body.streams() {
		header.Set("Expect", "100-continue")
	}
	return request, nil
}
