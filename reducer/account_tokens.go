package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// tokenSource is a shard, chosen in one data centre, whose issuer may be requested
// for tokens of an account.
type tokenSource struct {
	dc     jackdawbridge.DataCentre
	shards int                  // number of shards of the account in the data centre
	shard  int                  // index of the shard to request tokens of
	pause  jackdawbridge.Millis // end of the pause; no request is sent before
}

// heldGrant is a grant of tokens as the borrower that received it keeps it.
type grant struct {
	id       jackdawbridge.GrantID
	issuer   jackdawbridge.Peer
	shard    int
	left     int64 // tokens that can be spent
	spent    int64
	reported int64 // spent tokens that the issuer has been sent
	expires  jackdawbridge.Millis
}

// pendingRequest is a TokenRequest whose grant would still be valid. Its issuer may
// have been given up on already; a late grant is accepted all the same.
type pendingRequest struct {
	accountTokens *accountTokens
	issuer        jackdawbridge.Peer
	shard         int
	source        int // index in the account's sources
	want          int64
	sends         int                  // how often the message was sent, each time with the same id
	at            jackdawbridge.Millis // when it was first sent
}

// accountTokens is the borrower's state of an account: the tokens that this node
// holds and the calls that wait for one.
type accountTokens struct {
	account         jackdawbridge.AccountName
	plan            *plan
	parts           []dataCentreShare // shares that the sources were made from
	sources         []tokenSource
	held            []grant                // at most maxHeldGrants, in the order of arrival
	waiting         []jackdawbridge.CallID // at most maxWaitingCalls
	pendingID       jackdawbridge.GrantID  // id of the pending request, 0 if there is none
	pausedUntil     jackdawbridge.Millis   // until when all issuers are paused
	issuerSeenUntil jackdawbridge.Millis   // until when an issuer of the local data centre is known to act
	floor           floor
	windowStart     jackdawbridge.Millis // start of the current arrival window
	count           int64                // arrivals in the current window
	recent          int64                // smoothed arrivals per window
}

// tokensOf returns the tokens of an account, nil if the account has no plan.
func (p *shares) tokensOf(account jackdawbridge.AccountName) *accountTokens {
	w, ok := p.accounts[account]
	if !ok {
		pl, ok := p.plans[account]
		if !ok {
			return nil
		}
		w = &accountTokens{account: account, plan: pl, windowStart: p.r.now}
		p.accounts[account] = w
	}
	if len(w.sources) == 0 || !slices.Equal(w.parts, w.plan.parts) {
		p.listSources(w)
	}
	return w
}

// listSources lists the shards whose issuers an account's tokens are requested
// from, those of the local data centre first. Each node starts at a shard that
// depends on its name, so that the nodes spread over the shards.
func (p *shares) listSources(w *accountTokens) {
	w.parts = w.plan.parts
	w.pausedUntil = 0
	w.sources = w.sources[:0]
	base := hashOf(string(p.r.self.Node().Instance()), hashShard)
	add := func(x dataCentreShare) {
		for try := range min(x.shards, maxShardTries) {
			w.sources = append(w.sources, tokenSource{dc: x.dc, shards: x.shards, shard: int((base + uint64(try)) % uint64(x.shards))})
		}
	}
	own := p.r.self.DataCentre()
	for _, x := range w.parts {
		if x.dc == own {
			add(x)
		}
	}
	for _, x := range w.parts {
		if x.dc != own {
			add(x)
		}
	}
}

// countArrival counts a call of the account. The average restarts if the current
// window began at least four window lengths ago.
func (w *accountTokens) countArrival(now jackdawbridge.Millis) {
	switch span := now - w.windowStart; {
	case span >= 4*arrivalWindow:
		w.recent, w.count, w.windowStart = 0, 0, now
	case span >= arrivalWindow:
		w.recent = (w.recent + w.count*int64(arrivalWindow)/int64(span)) / 2
		w.count, w.windowStart = 0, now
	}
	w.count++
}

// left returns the number of tokens in held grants.
func (w *accountTokens) left() (n int64) {
	for i := range w.held {
		n += w.held[i].left
	}
	return n
}
