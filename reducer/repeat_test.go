package reducer

import (
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// TestRepeatAfterUnknown guards against a request that may run once and is sent again after
// an answer that grants a second try but does not say that the request has not run.
func TestRepeatAfterUnknown(t *testing.T) {
	for _, outcome := range []struct {
		name    string
		refusal jackdawbridge.Refusal
		repeats bool
	}{
		{"not run", jackdawbridge.NotRunRefusal(jackdawbridge.BackendFull), true},
		{"unknown", jackdawbridge.UnknownRefusal(jackdawbridge.BackendFull), false},
	} {
		t.Run(outcome.name, func(t *testing.T) {
			p := newCallPath(t, 4)
			p.apply(p.entry, p.arrived)
			c := p.entry.calls.active[1]
			c.allowance, c.passedRetries = 0, 0
			c.envelope = c.envelope.WithIdempotent(false)
			var usage jackdawbridge.Usage
			usage.Add(jackdawbridge.NewServiceUsage("s", 1, 0))
			feedback := jackdawbridge.NewFeedback(0, 0).WithUsage(usage).WithRetryGranted(true)
			p.apply(p.entry, jackdawbridge.NewAttemptFailed(p.at, 1, 1, outcome.refusal, feedback, false))
			if got := len(p.entry.calls.active) == 1; got != outcome.repeats {
				t.Errorf("the request waits to be sent again: %t, want %t", got, outcome.repeats)
			}
		})
	}
}
