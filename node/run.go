package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/client"
)

// maxAnswerPrefix is how many bytes of a backend server's answer are read before
// any of it is sent to the entry node. If the answer breaks off within them, the
// request can still be retried at another upstream.
const answerStart = 32 << 10

// ServeInbound serves a request that an entry node has forwarded.
func (n *Node) ServeInbound(ctx context.Context, in jackdawbridge.Inbound) {
	envelope := in.Passage().Envelope()
	if in.Passage().Length() > n.limits.bodyBytes {
		n.metrics.count("bad_input_peer")
		n.log.warn("node: request of a peer refused as bad input", "request", string(envelope.ID()), "error", errBodyTooLarge)
		n.refuseRun(in, decision{refusal: jackdawbridge.NotRunRefusal(jackdawbridge.BadInput), feedback: jackdawbridge.NewFeedback(0, envelope.Allowance())})
		return
	}
	x := n.open()
	defer n.end(x)
	n.apply(jackdawbridge.NewForwardArrived(n.now(), x.call, envelope))
	n.followRun(ctx, x, in)
}

// processRunDecisions carries out the reducer's decisions on a forwarded request
// until the request has ended.
func (n *Node) followRun(ctx context.Context, x *exchange, in jackdawbridge.Inbound) {
	for {
		select {
		case d := <-x.decisions:
			switch d.kind {
			case decideRun:
				n.run(ctx, x, d, in)
			case decideDeliver:
				n.deliverRun(x, d, in)
				return
			case decideRefuse:
				n.refuseRun(in, d)
				return
			}
		case <-ctx.Done():
			n.apply(jackdawbridge.NewCallCancelled(n.now(), x.call))
			return
		case <-n.ctx.Done():
			return
		}
	}
}

// replyRefusal sends the refusal of a request to the entry node.
func (n *Node) refuseRun(in jackdawbridge.Inbound, d decision) {
	n.countRefusal(d.refusal)
	n.replied(in.Reply(jackdawbridge.RefusedReply(d.refusal, d.feedback), nil, true))
}

// countUnsentReply counts a refusal that could not be sent. Nothing else is
// needed: the entry node detects the failure by the end of the connection.
func (n *Node) replied(err error) {
	if err != nil {
		n.metrics.count("replies_unsent")
	}
}

// runRequest sends a request to the local backend server and reports the result
// to the reducer.
func (n *Node) run(ctx context.Context, x *exchange, d decision, in jackdawbridge.Inbound) {
	started := time.Now()
	answer, refusal, failure := n.callBackend(ctx, x, d, in)
	switch {
	case failure == nil && refusal.Reason() != jackdawbridge.NoReason:
		n.metrics.count("runs_rejected")
		n.apply(jackdawbridge.NewRunRejected(n.now(), x.call, refusal.Reason()))
	case failure == nil:
		x.backend = answer
		n.metrics.runs.observe(time.Since(started))
		n.apply(jackdawbridge.NewRunAnswered(n.now(), x.call, answer.response.StatusCode))
	case ctx.Err() == nil:
		n.runFailed(x, in.Passage().Envelope(), failure)
	}
}

// reportFailedRun reports to the reducer that the backend server has not answered
// a request.
func (n *Node) runFailed(x *exchange, envelope jackdawbridge.Envelope, failure *client.Error) {
	outcome := jackdawbridge.Unknown
	if !failure.Connected() {
		outcome = jackdawbridge.NotRun
	}
	n.metrics.count("runs_failed")
	n.log.warn("node: request to the backend server failed", "request", string(envelope.ID()), "outcome", outcome.String(), "error", failure)
	// A loss of the backend server must be reported before the end of this run, so
	// that the reducer still counts the run among the requests in flight at the loss.
	if !errors.Is(failure, context.Canceled) {
		n.backend.check(failure.Refused())
	}
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, outcome, 0))
}

// backendAnswer is an answer of the local backend server.
type backendAnswer struct {
	response *http.Response
	start    []byte // the first bytes of the body
	whole    bool   // prefix is the whole body
}

// callBackend sends a request to the local backend server. It returns the answer,
// or a refusal if the backend server has rejected the request.
func (n *Node) callBackend(ctx context.Context, x *exchange, d decision, in jackdawbridge.Inbound) (*backendAnswer, jackdawbridge.Refusal, *client.Error) {
	var noRefusal jackdawbridge.Refusal
	if !x.adopt(in.GiveUp) {
		return nil, noRefusal, client.NewError(context.Canceled, false)
	}
	backend, announcement, ok := n.backend.route()
	if !ok {
		return nil, noRefusal, client.NewError(errors.New("no backend server is announced, or it is lost"), false)
	}
	request, err := n.backendRequest(d, in, announcement)
	if err != nil {
		return nil, noRefusal, client.NewError(err, false)
	}
	envelope := in.Passage().Envelope()
	response, failure := backend.Do(ctx, request, envelope.Idempotent(), func(response *http.Response) client.Match {
		return n.match(response, envelope.ID())
	})
	if failure != nil {
		return nil, noRefusal, failure
	}
	refusal, refused, err := n.parts.dialect.Judge(response)
	if err != nil {
		_ = response.Body.Close()
		return nil, noRefusal, client.NewError(err, true)
	}
	if refused {
		discard(response.Body)
		return nil, refusal, nil
	}
	answer, err := readStart(response)
	if err != nil {
		_ = response.Body.Close()
		return nil, noRefusal, client.NewError(err, true)
	}
	return answer, noRefusal, nil
}

// matchAnswer reports whether an answer belongs to a request. The late answer to
// an earlier request may arrive where that to the next one is expected.
func (n *Node) match(response *http.Response, id jackdawbridge.RequestID) client.Match {
	switch answeredID, hasID := n.parts.dialect.Echo(response); {
	case !hasID, answeredID == id:
		return client.Own
	case answeredID == "":
		return client.NoAnswer
	}
	n.metrics.count("answers_stray")
	return client.Stray
}

// maxRefusalBytes bounds how much of a refusal's body is read. If the body is
// read to its end, the connection to the backend server can be reused.
const refusalBytes = 4 << 10

// discardBody reads up to maxRefusalBytes of a body and closes it.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, refusalBytes)
	_ = body.Close()
}

// backendRequest builds the request to the local backend server.
func (n *Node) backendRequest(d decision, in jackdawbridge.Inbound, announcement jackdawbridge.Announcement) (*http.Request, error) {
	forwarded := in.Passage()
	u, err := requestURL(announcement.Address().String(), forwarded.Path(), forwarded.Query())
	if err != nil {
		return nil, err
	}
	header := forwarded.Header()
	n.parts.dialect.Launch(header, jackdawbridge.NewLaunch(forwarded.Envelope(), d.token, d.budget, announcement.Backend()))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // otherwise the HTTP library sends its own name
	}
	request := &http.Request{Method: forwarded.Method(), URL: u, Host: forwarded.Host(), Header: header}
	if requestBody := in.Body(); requestBody != nil {
		request.Body = io.NopCloser(requestBody)
		request.ContentLength = forwarded.Length()
	}
	return request, nil
}

// readPrefix reads the first maxAnswerPrefix bytes of an answer's body, or all of
// a shorter body. It fails if the answer breaks off before that.
func readStart(response *http.Response) (*backendAnswer, error) {
	size := int64(answerStart)
	if response.ContentLength >= 0 {
		size = min(size, response.ContentLength+1) // one more byte, so that a read reaches the end
	}
	start := make([]byte, size)
	got := 0
	for got < len(start) {
		n, err := response.Body.Read(start[got:])
		got += n
		if errors.Is(err, io.EOF) {
			return &backendAnswer{response: response, start: start[:got], whole: true}, nil
		}
		if err != nil {
			return nil, errors.Errorf("read answer of the backend server: %w", err)
		}
	}
	return &backendAnswer{response: response, start: start}, nil
}

// reply returns the status, header and length of the answer for the entry node.
func (a *backendAnswer) head(feedback jackdawbridge.Feedback) jackdawbridge.Reply {
	header := passedHeader(a.response.Header)
	length := a.response.ContentLength
	if a.whole && length < 0 {
		length = int64(len(a.start))
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	return jackdawbridge.NewReply(a.response.StatusCode, header, length, feedback)
}

// deliverRunAnswer relays the answer of the local backend server to the entry
// node and reports the end of the run to the reducer.
func (n *Node) deliverRun(x *exchange, d decision, in jackdawbridge.Inbound) {
	answer := x.backend
	outcome := jackdawbridge.Served
	if err := passBack(answer, answer.head(d.feedback), in); err != nil {
		n.metrics.count("answers_broken")
		n.log.warn("node: failed to relay the backend server's answer to the entry node", "request", string(in.Passage().Envelope().ID()), "error", err)
		n.backend.check(false)
		outcome = jackdawbridge.Unknown
	} else {
		n.metrics.count("runs_served")
	}
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, outcome, answer.response.StatusCode))
}

// relayToEntryNode sends an answer to the entry node.
func passBack(answer *backendAnswer, head jackdawbridge.Reply, in jackdawbridge.Inbound) error {
	if err := in.Reply(head, answer.start, answer.whole); err != nil || answer.whole {
		return err
	}
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	for {
		got, err := answer.response.Body.Read(buffer[:])
		last := errors.Is(err, io.EOF)
		if got > 0 || last {
			if err := in.Write(buffer[:got], last); err != nil || last {
				return err
			}
		}
		if err != nil {
			return errors.Errorf("read answer of the backend server: %w", err)
		}
	}
}
