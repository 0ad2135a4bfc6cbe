package reducer

import "github.com/jackdawbridge/jackdawbridge"

// retryAllowance is the number of retries that a caller's request may cause
// over its whole call tree.
const retryAllowance = 2

// subtreeAllowance returns how many of the retries left go down with an
// attempt. The entry keeps one for itself.
func subtreeAllowance(left int) int { return max(left-1, 0) }

// mayRetry reports whether a failed attempt may be sent again.
func mayRetry(c *call, outcome jackdawbridge.Outcome) bool {
	if c.allowance < 1 {
		return false
	}
	return outcome == jackdawbridge.NotRun || c.envelope.Idempotent()
}

// lend takes the part of a run's retries that one of its own calls gets: half
// of what is left, rounded up.
func (u *run) lend() int {
	part := (u.allowance + 1) / 2
	u.allowance -= part
	return part
}
