package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxTransit is how much longer than the fastest one a forwarded request may
	// take on its way. A connection that was cut hands over seconds later what
	// was sent meanwhile, also when the sender has long given up; its end comes
	// after the request. A loaded node takes tens of milliseconds.
	maxTransit = 400 * jackdawbridge.Millis(1)
	// maxSenders bounds the senders whose fastest request is remembered.
	maxSenders = 16384
)

// transits holds the least difference between the own clock and that of each
// sender at the arrival of a forwarded request: the fastest way and the
// difference of the clocks.
type transits map[jackdawbridge.Node]jackdawbridge.Millis // at most maxSenders

// late reports whether a forwarded request was held up on its way.
func (t transits) late(now jackdawbridge.Millis, envelope jackdawbridge.Envelope) bool {
	if envelope.Sender().IsZero() {
		return false
	}
	took := now - envelope.Sent()
	least, ok := t[envelope.Sender()]
	if !ok && len(t) >= maxSenders {
		clear(t) // of senders that have ended; the others are learned again
	}
	if !ok || took < least {
		t[envelope.Sender()] = took
		return false
	}
	return took-least > maxTransit
}
