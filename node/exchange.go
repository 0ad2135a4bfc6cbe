package node

import (
	"context"
	"sync"

	"github.com/jackdawbridge/jackdawbridge"
)

type decisionKind uint8

const (
	decideForward decisionKind = iota
	decideRun
	decideDeliver
	decideRefuse
)

// decision is an effect on one request, copied for the goroutine that serves it.
type decision struct {
	kind     decisionKind
	attempt  int
	target   jackdawbridge.Peer
	envelope jackdawbridge.Envelope
	token    jackdawbridge.Token
	budget   jackdawbridge.Millis
	refusal  jackdawbridge.Refusal
	feedback jackdawbridge.Feedback
}

// maxDecisions bounds the decisions that wait for the goroutine of a request.
// The reducer decides the next step after the last one is done, apart from the
// refusal at the deadline.
const maxDecisions = 4

// exchange is a request in progress at one of the listeners.
type exchange struct {
	call      jackdawbridge.CallID
	decisions chan decision

	// The goroutine that serves the request sets and reads these.
	answer  *jackdawbridge.Answer // of the upstream's node, at the entry node
	backend *backendAnswer        // of the own backend server

	mu        sync.Mutex
	attempt   int                // the one in progress, 0 for a run
	cancel    context.CancelFunc // of the attempt in progress; nil when none
	abandoned int                // last attempt that was given up, -1 when none
}

func newExchange(call jackdawbridge.CallID) *exchange {
	return &exchange{call: call, decisions: make(chan decision, maxDecisions), abandoned: -1}
}

// adopt lets the exchange end what it serves. It returns false if that was given
// up before.
func (x *exchange) adopt(cancel context.CancelFunc) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = cancel
	return x.abandoned < 0
}

// begin starts an attempt. It returns false if the attempt was given up before.
func (x *exchange) begin(parent context.Context, attempt int) (context.Context, bool) {
	x.close()
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt = attempt
	x.cancel = cancel
	return ctx, x.abandoned < attempt
}

// abandon gives up an attempt. The connection that it uses is closed.
func (x *exchange) abandon(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = max(x.abandoned, attempt)
	if x.cancel != nil && x.attempt == attempt {
		x.cancel()
	}
}

// close frees the last attempt. An answer that was not read to its end takes
// its connection with it.
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
