package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// breakAfter is the number of runs in a row that end without an answer after which the
	// backend server gets no more requests but trials. A server that loses half of its
	// answers rarely loses as many in a row.
	breakAfter = 10
	// firmTrialInterval is the time between two trials with requests that must not run
	// twice. Those that may run again are tried every trialInterval.
	firmTrialInterval = jackdawbridge.Second
)

// breaker decides whether a backend server that breaks off its connections gets a request.
// The server may say that it is healthy all the while. Each entry node learns of the
// failures from its own requests only, whose outcomes are unknown; the node beside the
// server sees them all and refuses requests before they are sent, as not run.
type breaker struct {
	failures int                  // runs in a row that ended without an answer
	triedAt  jackdawbridge.Millis // time of the last trial, or of the failure that opened the breaker
}

// open reports whether the backend server gets no requests but trials.
func (b *breaker) open() bool { return b.failures >= breakAfter }

// answered records that the backend server answered a request, or rejected it.
func (b *breaker) answered() { b.failures = 0 }

// failed records a run that ended without an answer and reports whether it opens the
// breaker.
func (b *breaker) failed(now jackdawbridge.Millis) bool {
	b.failures++
	if b.failures != breakAfter {
		return false
	}
	b.triedAt = now
	return true
}

// allows reports whether a request may be sent to the backend server. A request that is
// allowed while the breaker is open is a trial.
func (b *breaker) allows(now jackdawbridge.Millis, idempotent bool) bool {
	if !b.open() {
		return true
	}
	interval := firmTrialInterval
	if idempotent {
		interval = trialInterval
	}
	if now-b.triedAt < interval {
		return false
	}
	b.triedAt = now
	return true
}
