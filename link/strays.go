package link

import "github.com/go-faster/errors"

const (
	// maxStraySlack is the number of bytes that a peer may send for ended requests beyond what
	// is expected. Above it the connection is closed.
	maxStraySlack = 128 * window
	// maxStrayCredit bounds the bytes that are expected for ended requests: as much as all
	// requests of a connection can have on their way when they are cancelled at once.
	maxStrayCredit = 2 * maxStreams * (window + 1)
)

// strays bounds what a peer sends for requests that have ended at this side. What was on its
// way when a request ended is expected. Beyond that a peer has some slack, of which each
// further request restores a part, so that a peer with a rare fault keeps its connection. The
// caller holds the lock of the connection.
type strays struct {
	credit int // cost of the frames that are expected for ended requests, at most maxStrayCredit
	used   int // of the slack, from 0 to maxStraySlack
}

// endRequest accounts for a request that has ended. If the peer has not ended its body, it may
// have sent what it had credit for.
func (s *strays) endRequest(f *flow) {
	if bytes, open := f.receivable(); open {
		s.credit = min(s.credit+2*bytes+2, maxStrayCredit) // the bytes, each in a frame, the head and the end
	}
	s.restore()
}

// restore restores a part of the slack after a request.
func (s *strays) restore() { s.used = max(s.used-window, 0) }

// add accounts for a frame that is dropped. Frames that this side may still cause after the
// end of a request cost nothing.
func (s *strays) add(h frameHeader) error {
	cost := h.size + 1
	switch {
	case h.kind == kindReply:
		cost = 1
	case (h.kind == kindCredit || h.kind == kindReset) && h.size <= creditSize:
		return nil
	}
	expected := min(cost, s.credit)
	s.credit -= expected
	if s.used += cost - expected; s.used > maxStraySlack {
		return errors.Errorf("%w: peer goes on sending for requests that have ended", errProtocol)
	}
	return nil
}
