package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// tokenSource is a shard, chosen in one data centre, whose issuer may be requested
// for tokens of an account.
type target struct {
	dc    jackdawbridge.DataCentre
	lots  int                  // number of shards of the account in the data centre
	lot   int                  // index of the shard to request tokens of
	pause jackdawbridge.Millis // end of the pause; no request is sent before
}

// heldGrant is a grant of tokens as the borrower that received it keeps it.
type grant struct {
	id       jackdawbridge.GrantID
	home     jackdawbridge.Peer
	lot      int
	left     int64 // tokens that can be spent
	spent    int64
	reported int64 // spent tokens that the issuer has been sent
	expires  jackdawbridge.Millis
}

// pendingRequest is a TokenRequest whose grant would still be valid. Its issuer may
// have been given up on already; a late grant is accepted all the same.
type asked struct {
	wallet *wallet
	home   jackdawbridge.Peer
	lot    int
	target int // index in the account's sources
	want   int64
	sends  int                  // how often the message was sent, each time with the same id
	at     jackdawbridge.Millis // when it was first sent
}

// accountTokens is the borrower's state of an account: the tokens that this node
// holds and the calls that wait for one.
type wallet struct {
	account jackdawbridge.AccountName
	plan    *plan
	parts   []part // shares that the sources were made from
	targets []target
	held    []grant                // at most maxHeldGrants, in the order of arrival
	waiting []jackdawbridge.CallID // at most maxWaitingCalls
	asking  jackdawbridge.GrantID  // id of the pending request, 0 if there is none
	denied  jackdawbridge.Millis   // until when all issuers are paused
	heard   jackdawbridge.Millis   // until when an issuer of the local data centre is known to act
	floor   floor
	begun   jackdawbridge.Millis // start of the current arrival window
	count   int64                // arrivals in the current window
	recent  int64                // smoothed arrivals per window
}

// tokensOf returns the tokens of an account, nil if the account has no plan.
func (p *shares) walletOf(account jackdawbridge.AccountName) *wallet {
	w, ok := p.wallets[account]
	if !ok {
		pl, ok := p.plans[account]
		if !ok {
			return nil
		}
		w = &wallet{account: account, plan: pl, begun: p.r.now}
		p.wallets[account] = w
	}
	if len(w.targets) == 0 || !slices.Equal(w.parts, w.plan.parts) {
		p.aim(w)
	}
	return w
}

// listSources lists the shards whose issuers an account's tokens are requested
// from, those of the local data centre first. Each node starts at a shard that
// depends on its name, so that the nodes spread over the shards.
func (p *shares) aim(w *wallet) {
	w.parts = w.plan.parts
	w.denied = 0
	w.targets = w.targets[:0]
	base := hashOf(string(p.r.self.Node().Instance()), hashLot)
	add := func(x part) {
		for try := range min(x.lots, maxTries) {
			w.targets = append(w.targets, target{dc: x.dc, lots: x.lots, lot: int((base + uint64(try)) % uint64(x.lots))})
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
func (w *wallet) arrived(now jackdawbridge.Millis) {
	switch span := now - w.begun; {
	case span >= 4*window:
		w.recent, w.count, w.begun = 0, 0, now
	case span >= window:
		w.recent = (w.recent + w.count*int64(window)/int64(span)) / 2
		w.count, w.begun = 0, now
	}
	w.count++
}

// left returns the number of tokens in held grants.
func (w *wallet) left() (n int64) {
	for i := range w.held {
		n += w.held[i].left
	}
	return n
}
