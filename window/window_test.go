package window_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/window"
)

// TestBound guards against a bound that allows more than its limit in some window, and
// against one that refuses an event which the limit has room for.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		span := jackdawbridge.Millis(rapid.IntRange(1, 2000).Draw(t, "span"))
		b := window.New(limit, span)
		var allowed []jackdawbridge.Millis
		now := jackdawbridge.Millis(0)
		for _, gap := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "gaps") {
			now += jackdawbridge.Millis(gap)
			recent := 0
			for _, at := range allowed {
				if now-at < span {
					recent++
				}
			}
			if want := recent < limit; b.Allows(now) != want {
				t.Fatalf("allows at %d is %t with %d events in the last %d ms: want %t", now, !want, recent, span, want)
			}
			if b.Allows(now) {
				b.Add(now)
				allowed = append(allowed, now)
			}
		}
	})
}
