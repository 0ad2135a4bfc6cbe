// Package window bounds the number of events in every window of a given length.
package window

import "github.com/jackdawbridge/jackdawbridge"

// Bound allows at most a number of events in any window of its span. In contrast to a token
// bucket, which allows a burst and the rate on top of it, it holds for windows at any
// offset. It is not safe for concurrent use.
type Bound struct {
	span  jackdawbridge.Millis
	times []jackdawbridge.Millis // ring of the latest events, one element for each allowed event; never for free ones
	next  int                    // position of the oldest event in times
}

// never is the time of an element of the ring that no event has used.
const never = -1 << 62

// New returns a bound of limit events, at least 1, in any window of the given span.
func New(limit int, span jackdawbridge.Millis) *Bound {
	b := &Bound{span: span, times: make([]jackdawbridge.Millis, max(limit, 1))}
	for i := range b.times {
		b.times[i] = never
	}
	return b
}

// Is reports whether b has the given limit and span.
func (b *Bound) Is(limit int, span jackdawbridge.Millis) bool {
	return len(b.times) == max(limit, 1) && b.span == span
}

// FreeAt returns the earliest time at which a further event is allowed.
func (b *Bound) FreeAt() jackdawbridge.Millis { return b.times[b.next] + b.span }

// Allows reports whether a further event is allowed now.
func (b *Bound) Allows(now jackdawbridge.Millis) bool { return now >= b.FreeAt() }

// Add records an event, whether it was allowed or not.
func (b *Bound) Add(now jackdawbridge.Millis) {
	b.times[b.next] = now
	b.next = (b.next + 1) % len(b.times)
}
