package node

import (
	"context"
	"sync"

	"github.com/jackdawbridge/jackdawbridge"
)

// decisionKind is the kind of an effect on one request.
type decisionKind uint8

const (
	decideForward decisionKind = iota
	decideRun
	decideDeliver
	decideRefuse
)

// decision is an effect on one request, copied so that the goroutine that serves
// the request can use it after the reducer has reused its effects.
type decision struct {
	kind     decisionKind
	attempt  int // number of the attempt, from 1; 0 if the decision is on no attempt
	target   jackdawbridge.Peer
	envelope jackdawbridge.Envelope
	token    jackdawbridge.Token
	budget   jackdawbridge.Millis // time left to run the request
	sendBy   jackdawbridge.Millis // time after which the request is not sent to the backend server, 0 for none
	refusal  jackdawbridge.Refusal
	feedback jackdawbridge.Feedback
}

// maxDecisions bounds the decisions that are queued for the goroutine of a
// request. Apart from the refusal at the deadline, the reducer decides the next
// step only after it has the result of the previous one.
const maxDecisions = 4

// exchange is a request in progress on one of the listeners.
type exchange struct {
	call      jackdawbridge.CallID
	decisions chan decision

	// Used only by the goroutine that serves the request.
	answer  *jackdawbridge.Answer // answer of the upstream's node, at the entry node
	backend *backendAnswer        // answer of the local backend server, at the upstream's node

	mu            sync.Mutex
	attempt       int                       // number of the last attempt, 0 for a run
	cancel        context.CancelFunc        // cancels the attempt in progress; nil if there is none
	lastCancelled int                       // highest attempt that was cancelled, -1 if none was
	cause         jackdawbridge.CancelCause // of that
}

func newExchange(call jackdawbridge.CallID) *exchange {
	return &exchange{call: call, decisions: make(chan decision, maxDecisions), lastCancelled: -1}
}

// setCancel sets the function that cancels the run. It returns false if the run
// has been cancelled already.
func (x *exchange) setCancel(cancel context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = cancel
	return x.lastCancelled < 0
}

// startAttempt releases the previous attempt and returns the context of the new
// one, or false if the new attempt has been cancelled already.
func (x *exchange) startAttempt(parent context.Context, attempt int) (context.Context, bool) {
	x.close()
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt = attempt
	x.cancel = cancel
	return ctx, x.lastCancelled < attempt
}

// cancelAttempt cancels an attempt, or a run as attempt 0. An attempt is reset on its
// link, which stays open for other requests; a run's connection to the backend server
// is closed.
func (x *exchange) cancelAttempt(attempt int, cause jackdawbridge.CancelCause) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastCancelled, x.cause = max(x.lastCancelled, attempt), cause
	if x.cancel != nil && x.attempt == attempt {
		x.cancel()
	}
}

// cancelledBy returns who gave up an attempt, "" if it was not cancelled.
func (x *exchange) cancelledBy(attempt int) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastCancelled < attempt {
		return ""
	}
	return x.cause.String()
}

// close releases the resources of the last attempt. An answer that has not been read
// to its end is aborted.
func (x *exchange) close() {
	x.mu.Lock()
	cancel := x.cancel
	x.cancel = nil
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if x.answer != nil {
		_ = x.answer.Body().Close()
		x.answer = nil
	}
	if x.backend != nil {
		_ = x.backend.response.Body.Close()
		x.backend = nil
	}
}
