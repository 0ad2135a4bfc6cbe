package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// target is a home that may be asked for tokens of an account.
type target struct {
	dc    jackdawbridge.DataCentre
	lots  int
	lot   int
	pause jackdawbridge.Millis // not asked before
}

// grant is a grant at its borrower.
type grant struct {
	id       jackdawbridge.GrantID
	home     jackdawbridge.Peer
	lot      int
	left     int64
	spent    int64
	reported int64 // of spent
	expires  jackdawbridge.Millis
}

// asked is an Ask whose Grant would still be of use.
type asked struct {
	wallet *wallet
	home   jackdawbridge.Peer
	lot    int
	target int // index in the wallet's targets
	want   int64
	sends  int // of the message, each with the same id
	at     jackdawbridge.Millis
}

// wallet is what a node has of an account's tokens.
type wallet struct {
	account jackdawbridge.AccountName
	plan    *plan
	parts   []part // that the targets come from
	targets []target
	held    []grant // at most maxHeld, in the order of arrival
	waiting []jackdawbridge.CallID
	asking  jackdawbridge.GrantID // 0 if no Ask is out
	denied  jackdawbridge.Millis  // no home is asked before
	heard   jackdawbridge.Millis  // until when the home of the own data centre was known to act
	floor   floor
	begun   jackdawbridge.Millis // of the current window
	count   int64                // arrivals in the current window
	recent  int64                // smoothed arrivals of a window
}

// walletOf returns the wallet of an account, nil if it has no plan.
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

// aim lists the homes that a wallet asks: those of the own data centre first.
// Nodes start at different lots.
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

// arrived counts an arrival.
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

func (w *wallet) left() (n int64) {
	for i := range w.held {
		n += w.held[i].left
	}
	return n
}
