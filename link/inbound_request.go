package link

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

// inboundRequest is a request at the side that serves it.
type inboundRequest struct {
	serverConn       *serverConn
	id               uint32
	forwardedRequest jackdawbridge.ForwardedRequest
	empty            bool // the request has no body
	flow             *flow
	ctx              context.Context // cancelled when the request or its connection ends
	cancel           context.CancelFunc
	withdrawn        chan struct{} // closed by withdraw
	withdraw         func()
	complete         bool // the whole answer has been queued
}

var _ jackdawbridge.InboundRequest = (*inboundRequest)(nil)

// serve calls the handler. If the answer is incomplete when the handler returns, or the
// body has not arrived in full, the request is reset.
func (r *inboundRequest) serve() {
	defer r.end()
	r.serverConn.listener.handle(r.ctx, r)
}

// end releases the request after its handler has returned.
func (r *inboundRequest) end() {
	r.cancel()
	reset := !r.complete || r.flow.awaited()
	s := r.serverConn
	inProgress := s.remove(r)
	r.flow.fail(errClosed)
	s.mu.Lock()
	s.handlers--
	s.mu.Unlock()
	if inProgress && reset {
		_, _ = s.out.enqueue(kindReset, 0, r.id, nil) // fails only if the connection is closed
	}
}

// handleFrame processes one frame of the request. It returns an error for a frame that the
// request must not have.
func (r *inboundRequest) handleFrame(h frameHeader, payload []byte) error {
	switch h.kind {
	case kindRequest:
		return errors.Errorf("%w: another request has the same stream number", errProtocol)
	case kindData:
		if err := r.flow.check(len(payload)); err != nil {
			return err
		}
		r.flow.receive(payload, h.endsBody())
	case kindCredit:
		return r.flow.addCredit(payload)
	case kindReset:
		r.serverConn.remove(r)
		r.cancel()
		r.flow.fail(errReset)
	default:
		return unexpectedFrame(h)
	}
	return nil
}

// ForwardedRequest returns the head of the request.
func (r *inboundRequest) ForwardedRequest() jackdawbridge.ForwardedRequest { return r.forwardedRequest }

// Cancel cancels the context of the request.
func (r *inboundRequest) Cancel() { r.cancel() }

// Withdrawn returns a channel that is closed when the peer withdraws the request.
func (r *inboundRequest) Withdrawn() <-chan struct{} { return r.withdrawn }

// Body returns the body of the request, or nil if it has none.
func (r *inboundRequest) Body() io.Reader {
	if r.empty {
		return nil
	}
	return requestBody{r}
}

// Reply sends the head of the answer and the first part of its body, which is all
// of it if last is set.
func (r *inboundRequest) Reply(reply jackdawbridge.Reply, start []byte, last bool) error {
	head, err := r.serverConn.listener.codec.EncodeReply(reply)
	if err != nil {
		return errors.Errorf("link: %w", err)
	}
	flags := uint8(0)
	if last && len(start) == 0 {
		flags = flagEnd
	}
	if _, err := r.serverConn.out.enqueue(kindReply, flags, r.id, head); err != nil {
		return err
	}
	if flags == flagEnd {
		r.complete = true
		return nil
	}
	return r.Write(start, last)
}

// Write sends a further part of the answer's body, waiting for credit from the peer.
// The body ends with the part for which last is set.
func (r *inboundRequest) Write(part []byte, last bool) error {
	for {
		n, err := r.flow.reserve(min(len(part), MaxChunk))
		if err == nil {
			err = r.serverConn.out.awaitSpace(r.ctx.Done())
		}
		if err != nil {
			return err
		}
		flags := uint8(0)
		if last && n == len(part) {
			flags = flagEnd
		}
		if n > 0 || flags == flagEnd {
			if _, err := r.serverConn.out.enqueue(kindData, flags, r.id, part[:n]); err != nil {
				return err
			}
		}
		if part = part[n:]; len(part) == 0 {
			r.complete = last
			return nil
		}
	}
}

// requestBody reads the body of a request.
type requestBody struct{ r *inboundRequest }

// Read reads from the body and grants the peer credit for more. The first Read
// requests a body that the peer sends only after a credit frame.
func (b requestBody) Read(p []byte) (int, error) {
	for {
		n, credit, err := b.r.flow.readBody(p)
		if credit > 0 {
			if _, err := b.r.serverConn.out.enqueue(kindCredit, 0, b.r.id, creditPayload(credit)); err != nil {
				return n, err
			}
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
