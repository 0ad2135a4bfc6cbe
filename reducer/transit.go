package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxExtraTransit is how much longer than the sender's fastest request a
	// forwarded request may be in transit. A connection that was interrupted delivers
	// requests seconds after they were sent, even if the sender has long cancelled
	// them, because the close of the connection arrives after the requests. On a
	// loaded node the delay is tens of milliseconds.
	maxExtraTransit = 400 * jackdawbridge.Millis(1)
	// maxSenders is the maximum number of senders whose fastest request is kept.
	maxSenders = 16384
)

// transits holds the fastest transit of each sender.
type transits map[jackdawbridge.Instance]transit // at most maxSenders

// transit is the fastest transit of the requests of a sender. The clocks of the two
// nodes may differ by any amount, so only the difference between two transits is
// meaningful.
type transit struct {
	incarnation uint64               // of the sender
	shortest    jackdawbridge.Millis // shortest time in transit, plus the difference of the clocks
}

// delayed reports whether a forwarded request was in transit for more than
// maxExtraTransit longer than the sender's fastest one. It records the request if
// that is the fastest one so far.
func (t transits) delayed(now jackdawbridge.Millis, envelope jackdawbridge.Envelope) bool {
	if envelope.Sender().IsZero() {
		return false
	}
	sender := envelope.Sender()
	difference := now - envelope.Sent()
	known, ok := t[sender.Instance()]
	if !ok && len(t) >= maxSenders {
		clear(t) // drops senders that have exited; the others are learned again
	}
	if !ok || known.incarnation != sender.Incarnation() || difference < known.shortest {
		t[sender.Instance()] = transit{incarnation: sender.Incarnation(), shortest: difference}
		return false
	}
	return difference-known.shortest > maxExtraTransit
}
