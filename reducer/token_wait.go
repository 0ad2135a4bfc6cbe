package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// tokenWait returns how long a call of an account may wait for a token. After an
// interruption, calls that have waited for its end need some time to get their tokens.
func (p *shares) tokenWait(t *accountTokens) jackdawbridge.Millis {
	resumed := t.interrupted || t.resumedAt > 0 && p.r.now-t.resumedAt < 2*maxTokenWait
	if p.floors || p.r.now < t.deniedUntil && !resumed {
		return maxTokenWait
	}
	return unreachableTokenWait
}

// denialReason returns the reason with which a call is refused for lack of a token.
func (p *shares) denialReason(t *accountTokens) jackdawbridge.Reason {
	if t != nil && p.tokenWait(t) > maxTokenWait {
		return jackdawbridge.HomeUnreachable
	}
	return jackdawbridge.OverRate
}

// cancelWait removes a call from those that wait for a token.
func (p *shares) cancelWait(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	if !p.waitEnds.Remove(call) {
		return
	}
	t := p.accounts[account]
	if i := slices.Index(t.waiting, call); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// waitOrRefuse keeps the waiting calls until the first issuer's pause ends, or
// refuses them if that is later than a call may wait.
func (p *shares) waitOrRefuse(t *accountTokens) {
	if t.pausedUntil <= p.r.now+p.tokenWait(t) {
		if len(t.waiting) > 0 {
			p.requestRetries.Set(t.account, t.pausedUntil)
		}
		return
	}
	waiting := t.waiting
	t.waiting = nil
	for _, call := range waiting {
		p.waitEnds.Remove(call)
		p.refuse(call, t, t.pausedUntil-p.r.now)
	}
}

// waitExpired handles a call whose wait for a token has ended. The call spends a
// token of its account's floor or is refused. If unreachableTokenWait applies to the
// call, the wait is extended until that has passed since the call arrived.
func (p *shares) waitExpired(call jackdawbridge.CallID) {
	t := p.accounts[p.r.calls.account(call)]
	if t != nil && p.tokenWait(t) > maxTokenWait && p.r.now-p.r.calls.active[call].arrived < unreachableTokenWait {
		p.waitEnds.Set(call, p.r.now+maxTokenWait)
		p.requestTokens(t)
		return
	}
	if t != nil && p.spendFloor(t) {
		p.cancelWait(call, t.account)
		p.r.calls.tokenGranted(call)
		return
	}
	// A call that ends removes itself from the waiting calls of its account by
	// cancelWait, which requires its entry in waitEnds.
	p.r.calls.tokenDenied(call, p.denialReason(t), maxTokenWait)
	p.waitEnds.Remove(call)
}
