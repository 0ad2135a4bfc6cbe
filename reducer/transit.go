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

// transits holds what is known of each sender's clock.
type transits map[jackdawbridge.Instance]transit // at most maxSenders

// transit is what is known of the clock of a sender.
type transit struct {
	incarnation uint64
	least       jackdawbridge.Millis // difference of the own clock to it at the arrival of a request: the fastest way and the difference of the clocks
}

// late reports whether a forwarded request was held up on its way.
func (t transits) late(now jackdawbridge.Millis, envelope jackdawbridge.Envelope) bool {
	if envelope.Sender().IsZero() {
		return false
	}
	sender := envelope.Sender()
	took := now - envelope.Sent()
	known, ok := t[sender.Instance()]
	if !ok && len(t) >= maxSenders {
		clear(t) // of senders that have ended; the others are learned again
	}
	if !ok || known.incarnation != sender.Incarnation() || took < known.least {
		t[sender.Instance()] = transit{incarnation: sender.Incarnation(), least: took}
		return false
	}
	return took-known.least > maxTransit
}
