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

// MaxAnswerPrefix is how many bytes of a backend server's answer are read before
// any of it is sent to the entry node. If the answer breaks off within them, the
// request can still be retried at another upstream.
const MaxAnswerPrefix = 32 << 10

// ServeInbound serves a request that an entry node has forwarded.
func (n *Node) ServeInbound(ctx context.Context, in jackdawbridge.InboundRequest) {
	envelope := in.ForwardedRequest().Envelope()
	if in.ForwardedRequest().Length() > n.limits.maxBodyBytes {
		n.metrics.count("bad_input_peer")
		n.log.warn("node: request of a peer refused as bad input", "request", string(envelope.ID()), "error", errBodyTooLarge)
		n.replyRefusal(in, decision{refusal: jackdawbridge.NotRunRefusal(jackdawbridge.BadInput), feedback: jackdawbridge.NewFeedback(0, envelope.RetryAllowance())})
		return
	}
	if ctx.Err() != nil {
		return // the entry node has cancelled the request before a goroutine was free for it
	}
	held, fits := n.reading.chargeForwarded(len(in.ForwardedRequest().Header()))
	if !fits {
		n.replyRefusal(in, decision{refusal: jackdawbridge.NotRunRefusal(jackdawbridge.Overloaded), feedback: jackdawbridge.NewFeedback(0, envelope.RetryAllowance())})
		return
	}
	defer n.reading.releaseForwarded(held)
	x := n.openExchange()
	defer n.endExchange(x)
	n.apply(jackdawbridge.NewForwardArrived(n.now(), x.call, envelope))
	n.processRunDecisions(ctx, x, in)
}

// processRunDecisions carries out the reducer's decisions on a forwarded request
// until the request has ended.
func (n *Node) processRunDecisions(ctx context.Context, x *exchange, in jackdawbridge.InboundRequest) {
	withdrawn := in.Withdrawn()
	for {
		select {
		case d := <-x.decisions:
			switch d.kind {
			case decideRun:
				n.runRequest(ctx, x, d, in)
			case decideDeliver:
				n.deliverRunAnswer(ctx, x, d, in)
				return
			case decideRefuse:
				n.replyRefusal(in, d)
				return
			}
		case <-withdrawn:
			withdrawn = nil
			n.apply(jackdawbridge.NewForwardWithdrawn(n.now(), x.call))
		case <-ctx.Done():
			n.apply(jackdawbridge.NewCallCancelled(n.now(), x.call))
			return
		case <-n.ctx.Done():
			return
		}
	}
}

// replyRefusal sends the refusal of a request to the entry node.
func (n *Node) replyRefusal(in jackdawbridge.InboundRequest, d decision) {
	n.countRefusal(d.refusal)
	n.countUnsentReply(in.Reply(jackdawbridge.RefusedReply(d.refusal, d.feedback), nil, true))
}

// countUnsentReply counts a refusal that could not be sent. Nothing else is
// needed: the entry node detects the failure by the end of the connection.
func (n *Node) countUnsentReply(err error) {
	if err != nil {
		n.metrics.count("replies_unsent")
	}
}

// runRequest sends a request to the local backend server and reports the result
// to the reducer.
func (n *Node) runRequest(ctx context.Context, x *exchange, d decision, in jackdawbridge.InboundRequest) {
	started := time.Now()
	answer, refusal, failure := n.callBackend(ctx, x, d, in)
	switch {
	case failure == nil && refusal.Reason() != jackdawbridge.NoReason:
		n.metrics.count("runs_rejected")
		n.apply(jackdawbridge.NewRunRejected(n.now(), x.call, refusal.Reason()).WithLoad(answer.load))
	case failure == nil:
		x.backend = answer
		n.metrics.runs.observe(time.Since(started))
		n.apply(jackdawbridge.NewRunAnswered(n.now(), x.call, answer.response.StatusCode).WithLoad(answer.load))
	case ctx.Err() == nil:
		n.reportFailedRun(x, in.ForwardedRequest().Envelope(), failure)
	}
}

// reportFailedRun reports to the reducer that a request to the backend server has
// failed.
func (n *Node) reportFailedRun(x *exchange, envelope jackdawbridge.Envelope, failure *client.Error) {
	outcome := jackdawbridge.Unknown
	if !failure.Connected() {
		outcome = jackdawbridge.NotRun
	}
	n.metrics.count("runs_failed")
	n.log.warn("node: request to the backend server failed", "request", string(envelope.ID()), "outcome", outcome.String(), "error", failure, "cancelled_by", x.cancelledBy(0))
	// A loss of the backend server must be reported before the end of this run, so
	// that the reducer still counts the run among the requests in flight at the loss.
	if !errors.Is(failure, context.Canceled) {
		n.backend.checkLost(failure.Refused())
	}
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, outcome, 0))
}

// backendAnswer is an answer of the local backend server.
type backendAnswer struct {
	response *http.Response
	prefix   []byte                    // the first bytes of the body
	complete bool                      // prefix is the whole body
	load     jackdawbridge.BackendLoad // zero if the backend server reported none
}

// callBackend sends a request to the local backend server. It returns the answer. If the
// backend server has rejected the request, it returns a refusal, and the answer has nothing
// but the reported load.
func (n *Node) callBackend(ctx context.Context, x *exchange, d decision, in jackdawbridge.InboundRequest) (*backendAnswer, jackdawbridge.Refusal, *client.Error) {
	var noRefusal jackdawbridge.Refusal
	if !x.setCancel(in.Cancel) {
		return nil, noRefusal, client.NewError(context.Canceled, false)
	}
	backend, announcement, ok := n.backend.current()
	if !ok {
		return nil, noRefusal, client.NewError(errors.New("no backend server is announced, or it is lost"), false)
	}
	request, err := n.backendRequest(d, in, announcement)
	if err != nil {
		return nil, noRefusal, client.NewError(err, false)
	}
	envelope := in.ForwardedRequest().Envelope()
	response, failure := backend.Do(ctx, request, n.sending(d, envelope), func(response *http.Response) client.Match {
		return n.matchAnswer(response, envelope.ID())
	})
	if failure != nil {
		return nil, noRefusal, failure
	}
	refusal, refused, err := n.deps.dialect.ClassifyAnswer(response)
	if err != nil {
		_ = response.Body.Close()
		return nil, noRefusal, client.NewError(err, true)
	}
	load, _ := n.deps.dialect.ReadLoad(response)
	if refused {
		client.DiscardRefusal(response.Body, maxRefusalBytes)
		return &backendAnswer{load: load}, refusal, nil
	}
	answer, err := readPrefix(response)
	if err != nil {
		_ = response.Body.Close()
		return nil, noRefusal, client.NewError(err, true)
	}
	answer.load = load
	return answer, noRefusal, nil
}

// sending returns how a request may be sent to the backend server.
func (n *Node) sending(d decision, envelope jackdawbridge.Envelope) client.Sending {
	sending := client.NewSending(envelope.Idempotent()).WithID(string(envelope.ID()))
	if d.sendBy == 0 {
		return sending
	}
	return sending.WithLimit(func() time.Duration { return time.Duration(d.sendBy-n.now()) * time.Millisecond })
}

// matchAnswer reports how an answer relates to the request with the given id.
// A late answer to an earlier request may arrive while the answer to the next one
// is expected.
func (n *Node) matchAnswer(response *http.Response, id jackdawbridge.RequestID) client.Match {
	switch answeredID, hasID := n.deps.dialect.AnsweredRequest(response); {
	case !hasID, answeredID == id:
		return client.Matched
	case answeredID == "":
		return client.Unrelated
	}
	n.metrics.count("answers_stray")
	return client.Stray
}

// maxRefusalBytes bounds how much of a refusal's body is read. The connection to
// the backend server can be reused only if the body is read to its end.
const maxRefusalBytes = 4 << 10

// backendRequest builds the request to the local backend server.
func (n *Node) backendRequest(d decision, in jackdawbridge.InboundRequest, announcement jackdawbridge.Announcement) (*http.Request, error) {
	forwarded := in.ForwardedRequest()
	u, err := requestURL(announcement.Address().String(), forwarded.Path(), forwarded.Query())
	if err != nil {
		return nil, err
	}
	header := forwarded.Header()
	n.deps.dialect.SetBackendHeaders(header, jackdawbridge.NewBackendCall(forwarded.Envelope(), d.token, d.budget, announcement.Backend()))
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

// readPrefix reads the first MaxAnswerPrefix bytes of an answer's body, or all of
// a shorter body. It fails if the answer breaks off within them.
func readPrefix(response *http.Response) (*backendAnswer, error) {
	size := int64(MaxAnswerPrefix)
	if response.ContentLength >= 0 {
		size = min(size, response.ContentLength+1) // one more byte, so that a read reaches the end
	}
	prefix := make([]byte, size)
	got := 0
	for got < len(prefix) {
		n, err := response.Body.Read(prefix[got:])
		got += n
		if errors.Is(err, io.EOF) {
			return &backendAnswer{response: response, prefix: prefix[:got], complete: true}, nil
		}
		if err != nil {
			return nil, errors.Errorf("read answer of the backend server: %w", err)
		}
	}
	return &backendAnswer{response: response, prefix: prefix}, nil
}

// reply returns the status, header and length of the answer for the entry node.
func (a *backendAnswer) reply(feedback jackdawbridge.Feedback) jackdawbridge.Reply {
	header := endToEndHeader(a.response.Header)
	length := a.response.ContentLength
	if a.complete && length < 0 {
		length = int64(len(a.prefix))
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	return jackdawbridge.NewReply(a.response.StatusCode, header, length, feedback)
}

// deliverRunAnswer relays the answer of the local backend server to the entry
// node and reports the end of the run to the reducer. The run ends when the backend server
// has also got the rest of the request's body.
func (n *Node) deliverRunAnswer(ctx context.Context, x *exchange, d decision, in jackdawbridge.InboundRequest) {
	answer := x.backend
	outcome := jackdawbridge.Served
	if err := relayToEntryNode(answer, answer.reply(d.feedback), in); err != nil {
		n.metrics.count("answers_broken")
		n.log.warn("node: failed to relay the backend server's answer to the entry node", "request", string(in.ForwardedRequest().Envelope().ID()), "error", err)
		n.backend.checkLost(false)
		outcome = jackdawbridge.Unknown
	} else {
		n.metrics.count("runs_served")
		if !client.AwaitSent(ctx, answer.response.Body) {
			n.metrics.count("uploads_cut")
			n.log.info("node: body of a request was not sent to its end after the backend server's answer", "request", string(in.ForwardedRequest().Envelope().ID()), "cancelled_by", x.cancelledBy(0))
		}
	}
	n.apply(jackdawbridge.NewRunFinished(n.now(), x.call, outcome, answer.response.StatusCode))
}

// relayToEntryNode sends an answer to the entry node.
func relayToEntryNode(answer *backendAnswer, head jackdawbridge.Reply, in jackdawbridge.InboundRequest) error {
	if err := in.Reply(head, answer.prefix, answer.complete); err != nil || answer.complete {
		return err
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
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
