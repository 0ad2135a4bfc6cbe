package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// serveForward serves a request that another node forwards.
func (n *Node) serveForward(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == statusPath && r.Header.Get(headerEnvelope) == "" {
		n.servePublicStatus(w, r)
		return
	}
	envelope, err := n.openEnvelope(r.Header)
	if err != nil {
		writeReport(w.Header(), 0, 0)
		n.refusePeer(w, r, "", err)
		return
	}
	w.Header().Set(headerRequest, string(envelope.ID()))
	content, err := n.forwardedBody(w, r)
	if err != nil {
		writeReport(w.Header(), 0, envelope.Allowance())
		n.refusePeer(w, r, envelope.ID(), err)
		return
	}
	x := n.open()
	defer n.end(x)
	n.apply(jackdawbridge.NewForwardArrived(n.now(), x.call, envelope))
	n.followRun(w, r, x, envelope, content)
}

// refusePeer refuses a forwarded request that cannot be read.
func (n *Node) refusePeer(w http.ResponseWriter, r *http.Request, id jackdawbridge.RequestID, err error) {
	n.metrics.count("bad_input_peer")
	n.log.warn("node: bad input of a peer refused", "request", string(id), "from", r.RemoteAddr, "error", err)
	w.Header().Set("Connection", "close")
	writePeerRefusal(w, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
}

// forwardedBody reads a small body, so that the end of the connection is seen
// while the request waits. A large one is not asked for before the request runs.
func (n *Node) forwardedBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	if r.Header.Get("Expect") == "" {
		return readBody(w, r, n.limits)
	}
	if r.ContentLength > n.limits.bodyBytes {
		return nil, errBodyTooLarge
	}
	paced := &pacedReader{
		from: r.Body, control: http.NewResponseController(w),
		rate: n.limits.bodyRate, grace: n.limits.bodyGrace, left: n.limits.bodyBytes,
	}
	return &body{rest: paced, length: r.ContentLength}, nil
}

func (n *Node) openEnvelope(h http.Header) (jackdawbridge.Envelope, error) {
	value, err := jackdawbridge.OnlyValue(h, headerEnvelope)
	if err != nil {
		return jackdawbridge.Envelope{}, err
	}
	data, err := n.parts.sealer.OpenHeader(value)
	if err != nil {
		return jackdawbridge.Envelope{}, errors.Errorf("open envelope: %w", err)
	}
	envelope, err := n.parts.codec.DecodeEnvelope(data)
	if err != nil {
		return jackdawbridge.Envelope{}, errors.Errorf("decode envelope: %w", err)
	}
	return envelope, nil
}

// followRun does what the reducer decides until the request has ended.
func (n *Node) followRun(w http.ResponseWriter, r *http.Request, x *exchange, envelope jackdawbridge.Envelope, content *body) {
	for {
		select {
		case d := <-x.decisions:
			switch d.kind {
			case decideRun:
				n.run(r, x, d, envelope, content)
			case decideDeliver:
				n.deliverRun(w, x, d)
				return
			case decideRefuse:
				writeReport(w.Header(), d.level, d.unused)
				n.refuse(w, d.refusal, content)
				writePeerRefusal(w, d.refusal)
				return
			}
		case <-r.Context().Done():
			n.apply(jackdawbridge.NewCallCancelled(n.now(), x.call))
			panic(http.ErrAbortHandler)
		case <-n.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// run hands a request to the own backend server and tells the reducer how that
// went.
func (n *Node) run(r *http.Request, x *exchange, d decision, envelope jackdawbridge.Envelope, content *body) {
	began := time.Now()
	answer, refusal, failure := n.callBackend(r, x, d, envelope, content)
	switch {
	case failure == nil && refusal.Reason() != jackdawbridge.NoReason:
		n.metrics.count("runs_rejected")
		n.apply(jackdawbridge.NewRunRejected(n.now(), x.call, refusal.Reason()))
	case failure == nil:
		x.answer = answer
		n.metrics.observe("run_milliseconds", time.Since(began))
		n.apply(jackdawbridge.NewRunAnswered(n.now(), x.call, answer.StatusCode))
	case r.Context().Err() == nil:
		n.runFailed(x, envelope, failure)
	}
}

// runFailed tells the reducer of a run without an answer.
func (n *Node) runFailed(x *exchange, envelope jackdawbridge.Envelope, failure *hopError) {
	outcome := jackdawbridge.Unknown
	if !failure.connected {
		outcome = jackdawbridge.NotRun
	}
	n.metrics.count("runs_failed")
	n.log.warn("node: run failed", "request", string(envelope.ID()), "outcome", outcome.String(), "error", failure.err)
	// The loss comes first: the reducer then still knows what was in flight.
	if !errors.Is(failure.err, context.Canceled) {
		n.backend.check(failure.refused())
	}
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, outcome, 0))
}

// callBackend sends a request to the own backend server and returns the head of
// the answer, or the refusal that it stands for.
func (n *Node) callBackend(r *http.Request, x *exchange, d decision, envelope jackdawbridge.Envelope, content *body) (*http.Response, jackdawbridge.Refusal, *hopError) {
	var none jackdawbridge.Refusal
	ctx, ok := x.begin(r.Context(), 0)
	if !ok {
		return nil, none, &hopError{err: context.Canceled}
	}
	transport, at, ok := n.backend.route()
	if !ok {
		return nil, none, &hopError{err: errors.New("no backend server")}
	}
	u, err := requestURL(at.Address().String(), r.URL.EscapedPath(), r.URL.RawQuery)
	if err != nil {
		return nil, none, &hopError{err: err}
	}
	header := passedHeader(r.Header)
	n.parts.dialect.Launch(header, jackdawbridge.NewLaunch(envelope, d.token, d.budget, at.Backend()))
	reader, err := content.open(1)
	if err != nil {
		return nil, none, &hopError{err: err}
	}
	request := (&http.Request{Method: r.Method, URL: u, Host: r.Host, Header: header, ContentLength: content.length}).WithContext(ctx)
	answer, failure := sendOnce(transport, request, reader)
	if failure != nil {
		return nil, none, failure
	}
	refusal, refused, err := n.parts.dialect.Judge(answer, envelope.ID())
	if err != nil || refused {
		_ = answer.Body.Close()
	}
	if err != nil {
		return nil, none, &hopError{err: err, connected: true}
	}
	if refused {
		return nil, refusal, nil
	}
	return answer, none, nil
}

// deliverRun passes the answer of the own backend server on to the entry node.
func (n *Node) deliverRun(w http.ResponseWriter, x *exchange, d decision) {
	n.closeIfStopping(w)
	writeReport(w.Header(), d.level, d.unused)
	status := x.answer.StatusCode
	if !passOn(w, x.answer, n.limits.writeStall) {
		n.metrics.count("answers_broken")
		n.backend.check(false)
		n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, jackdawbridge.Unknown, status))
		panic(http.ErrAbortHandler)
	}
	n.metrics.count("runs_served")
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, jackdawbridge.Served, status))
}

// drainBytes bounds what is read of an answer that is not passed on, so that
// its connection can be used again.
const drainBytes = 4 << 10

func drain(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, drainBytes)
	_ = answer.Body.Close()
}
