package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// tokenSource is a shard of an account in one data centre, from whose issuer tokens
// may be requested.
type tokenSource struct {
	dc          jackdawbridge.DataCentre
	shards      int                  // number of shards of the account in the data centre
	shard       int                  // index of the shard from whose issuer tokens are requested next
	pausedUntil jackdawbridge.Millis // no request is sent before this instant
}

// heldGrant is a grant as its borrower keeps it.
type heldGrant struct {
	id       jackdawbridge.GrantID
	issuer   jackdawbridge.Peer
	shard    int
	left     int64 // tokens not yet spent
	spent    int64 // tokens spent so far
	reported int64 // value of spent in the last UsageReport
	expires  jackdawbridge.Millis
}

// pendingRequest is a TokenRequest whose grant would still be valid. A late grant is
// accepted even if the node has meanwhile sent a request to another issuer.
type pendingRequest struct {
	accountTokens *accountTokens
	issuer        jackdawbridge.Peer
	shard         int
	source        int                  // index in the account's sources
	want          int64                // requested tokens
	sends         int                  // number of times the message was sent, always with the same id
	at            jackdawbridge.Millis // when it was first sent
}

// accountTokens is the borrower's state of an account: the tokens that this node
// holds and the calls that wait for one.
type accountTokens struct {
	account         jackdawbridge.AccountName
	plan            *plan
	division        []dataCentreShare // division that the sources were made from
	sources         []tokenSource
	held            []heldGrant            // at most maxHeldGrants, in the order of arrival
	waiting         []jackdawbridge.CallID // at most maxWaitingCalls
	pendingID       jackdawbridge.GrantID  // id of the request that awaits an answer, 0 if there is none
	pausedUntil     jackdawbridge.Millis   // until when all issuers are paused
	issuerSeenUntil jackdawbridge.Millis   // until when an issuer of the local data centre counts as reachable
	deniedUntil     jackdawbridge.Millis   // until when a denial or a grant of fewer tokens shows that the account is over its rate
	interrupted     bool                   // the last request reached no issuer that acts
	resumedAt       jackdawbridge.Millis   // when the last interruption ended, 0 if there was none
	floor           floor
	windowStart     jackdawbridge.Millis // start of the current arrival window
	count           int64                // arrivals in the current window
	averageArrivals int64                // arrivals per window, averaged over past windows
}

// tokensOf returns the tokens of an account, nil if the account has no plan.
func (p *shares) tokensOf(account jackdawbridge.AccountName) *accountTokens {
	t, ok := p.accounts[account]
	if !ok {
		pl, ok := p.plans[account]
		if !ok {
			return nil
		}
		t = &accountTokens{account: account, plan: pl, windowStart: p.r.now}
		p.accounts[account] = t
	}
	if len(t.sources) == 0 || !slices.Equal(t.division, t.plan.division) {
		p.listSources(t)
	}
	return t
}

// listSources lists the shards whose issuers an account's tokens are requested
// from, those of the local data centre first. Each node starts at a shard that
// depends on its name, so that the nodes spread over the shards.
func (p *shares) listSources(t *accountTokens) {
	t.division = t.plan.division
	t.pausedUntil = 0
	t.sources = t.sources[:0]
	base := hashOf(string(p.r.self.Node().Instance()), purposeShard)
	add := func(x dataCentreShare) {
		for try := range min(x.shards, maxShardTries) {
			t.sources = append(t.sources, tokenSource{dc: x.dc, shards: x.shards, shard: int((base + uint64(try)) % uint64(x.shards))})
		}
	}
	local := p.r.self.DataCentre()
	for _, x := range t.division {
		if x.dc == local {
			add(x)
		}
	}
	for _, x := range t.division {
		if x.dc != local {
			add(x)
		}
	}
}

// countArrival counts a call of the account. The average restarts if the current
// window began at least four window lengths ago.
func (t *accountTokens) countArrival(now jackdawbridge.Millis) {
	switch span := now - t.windowStart; {
	case span >= 4*arrivalWindow:
		t.averageArrivals, t.count, t.windowStart = 0, 0, now
	case span >= arrivalWindow:
		t.averageArrivals = (t.averageArrivals + t.count*int64(arrivalWindow)/int64(span)) / 2
		t.count, t.windowStart = 0, now
	}
	t.count++
}

// left returns the number of tokens in held grants.
func (t *accountTokens) left() (n int64) {
	for i := range t.held {
		n += t.held[i].left
	}
	return n
}
