package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxTokenWait bounds how long a call waits for a token.
	maxWait = 50 * jackdawbridge.Millis(1)
	// unreachableTokenWait replaces maxTokenWait while no issuer of the local data
	// centre answers and the node has no floor to spend. An issuer that stops hands
	// over its shards within a few hundred milliseconds, and until then there is no
	// sign that the account is over its rate.
	silentWait = 500 * jackdawbridge.Millis(1)
	// tokenRequestTimeout is the time after which an unanswered TokenRequest is
	// sent again. Data centres of a region are 0.5 ms apart. With one message in
	// five lost, all maxRequestSends attempts at one issuer fail once in 60 times,
	// and those at the next issuer as well once in 3,500.
	askTimeout = 5 * jackdawbridge.Millis(1)
	// maxRequestSends is the number of times a TokenRequest is sent before its
	// issuer counts as unreachable.
	maxSends = 4
	// unreachablePause is the time for which an unreachable issuer receives no
	// further TokenRequest.
	silentPause = 250 * jackdawbridge.Millis(1)
	// partialGrantPause is the time for which an issuer is skipped after it granted
	// fewer tokens than requested. Without it a trickle of tokens from one issuer
	// would keep a node from trying the others.
	emptyPause = 10 * jackdawbridge.Millis(1)
	// unspentGrantTime is the time after which unspent tokens are returned to their
	// issuer, counted from the TokenRequest.
	keepTime = 500 * jackdawbridge.Millis(1)
	// arrivalWindow is the span over which arrivals of calls are counted.
	window = 100 * jackdawbridge.Millis(1)

	maxWaiting = 256  // calls of one account that wait for a token
	maxHeld    = 8    // grants that a node holds for one account
	maxTries   = 3    // shards of one data centre that are tried in a row
	maxAsks    = 8192 // token requests whose grant would still be valid
)

// grantTimes orders grants by the instant at which something is due for them.
type grantTimes = heap.Heap[jackdawbridge.GrantID, jackdawbridge.Millis]

// shares is the part that keeps each client account within its rate. Each data
// centre has a share of the account's rate, divided into shards. The holder of a
// shard's range issues its tokens (see issuer). An entry node borrows tokens from
// the issuers and spends one for each call (see accountTokens).
type shares struct {
	r        *Reducer
	plans    map[jackdawbridge.AccountName]*plan // of the accounts of the configuration and of removed ones
	names    []jackdawbridge.AccountName         // of plans, sorted
	revision uint64                              // of the configuration that the plans are made from
	heldBack bool                                // whether the growth of some plan's quotas is held back
	settle   jackdawbridge.Millis                // when plans whose growth is held back are checked again
	configs  map[jackdawbridge.DataCentre]uint64 // newest configuration revision seen from each data centre, at most maxRemoteDataCentres
	home     home

	floors bool // whether nodes spend their floors while no issuer answers
	size   size

	newest      uint64               // newest configuration revision seen in any digest
	behindSince jackdawbridge.Millis // since when newestRevision is above revision

	wallets map[jackdawbridge.AccountName]*wallet // only accounts with a plan
	nextID  jackdawbridge.GrantID
	asks    map[jackdawbridge.GrantID]asked                            // at most maxTokenRequests
	lapse   grantTimes                                                 // when a late grant is no longer accepted
	silent  grantTimes                                                 // when an unanswered request is sent again
	returns grantTimes                                                 // when the rest of a held grant is returned
	owners  map[jackdawbridge.GrantID]*wallet                          // of the held grants
	waits   heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]      // when the wait of a call for a token ends
	retries heap.Heap[jackdawbridge.AccountName, jackdawbridge.Millis] // when tokens of an account are requested again
}

func newShares(r *Reducer) shares {
	return shares{
		r:       r,
		plans:   make(map[jackdawbridge.AccountName]*plan),
		configs: make(map[jackdawbridge.DataCentre]uint64),
		home:    newHome(),
		wallets: make(map[jackdawbridge.AccountName]*wallet),
		// Grants that an earlier process of this instance requested must not match
		// the ids of this process.
		nextID: jackdawbridge.GrantID(hashOf(r.self.Node().String(), hashLot) | 1),
		asks:   make(map[jackdawbridge.GrantID]asked),
		owners: make(map[jackdawbridge.GrantID]*wallet),
	}
}

// takeToken takes a token of an account for a call. It reports the result by
// calls.funded or calls.unfunded, either before it returns or later.
func (p *shares) take(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	w := p.walletOf(account)
	if w == nil {
		p.r.calls.unfunded(call, jackdawbridge.OverRate, jackdawbridge.Second)
		return
	}
	w.arrived(p.r.now)
	if len(w.waiting) == 0 && p.spend(w) {
		if w.asking == 0 && p.r.now >= w.denied && w.left() < w.recent {
			p.seek(w)
		}
		p.r.calls.funded(call)
		return
	}
	if w.denied > p.r.now+p.patience(w) || len(w.waiting) >= maxWaiting {
		p.refuse(call, w, max(w.denied-p.r.now, maxWait))
		return
	}
	w.waiting = append(w.waiting, call)
	p.waits.Set(call, p.r.now+maxWait)
	p.seek(w)
}

// tokenWait returns how long a call of an account may wait for a token.
func (p *shares) patience(w *wallet) jackdawbridge.Millis {
	if p.floors || p.r.now-w.heard < homeSilence {
		return maxWait
	}
	return silentWait
}

// denialReason returns the reason with which a call is refused for lack of a token.
func (p *shares) denial(w *wallet) jackdawbridge.Reason {
	if w != nil && p.patience(w) > maxWait {
		return jackdawbridge.HomeUnreachable
	}
	return jackdawbridge.OverRate
}

// cancelWait removes a call from those that wait for a token.
func (p *shares) forget(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	if !p.waits.Remove(call) {
		return
	}
	w := p.wallets[account]
	if i := slices.Index(w.waiting, call); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// spendToken spends a token of a held grant and reports whether there was one.
func (p *shares) spend(w *wallet) bool {
	for i := range w.held {
		g := &w.held[i]
		if p.r.now >= g.expires {
			continue
		}
		g.left--
		g.spent++
		if g.left == 0 {
			p.giveBack(w, i)
		}
		return true
	}
	return false
}

// returnGrant reports the spent tokens of a held grant to its issuer, returns the
// others and drops the grant.
func (p *shares) giveBack(w *wallet, i int) {
	g := w.held[i]
	w.held = slices.Delete(w.held, i, i+1)
	p.returns.Remove(g.id)
	delete(p.owners, g.id)
	p.post(g.home, jackdawbridge.NewReport(g.id, w.account, g.lot, g.spent, g.left))
}

// requestTokens requests the tokens that an account needs from the first issuer
// that is not paused. It does nothing while a request is pending. If all issuers
// are paused, the waiting calls wait on or are refused.
func (p *shares) seek(w *wallet) {
	want := int64(len(w.waiting)) + max(2*w.recent, 0) - w.left()
	if w.asking != 0 || want < 1 || len(w.held) >= maxHeld {
		return
	}
	next := p.r.now + maxDenial
	for i := range w.targets {
		t := &w.targets[i]
		if t.pause > p.r.now {
			next = min(next, t.pause)
			continue
		}
		home, ok := p.r.authority.holder(t.dc, lotRange(w.account, t.lot))
		if !ok || len(p.asks) >= maxAsks {
			t.pause = p.r.now + notHome
			next = min(next, t.pause)
			continue
		}
		p.request(w, i, home, want)
		return
	}
	w.denied = next
	p.suspend(w)
}

// waitOrRefuse keeps the waiting calls until an issuer's pause ends, or refuses
// them if that is later than a call may wait.
func (p *shares) suspend(w *wallet) {
	if w.denied <= p.r.now+p.patience(w) {
		if len(w.waiting) > 0 {
			p.retries.Set(w.account, w.denied)
		}
		return
	}
	waiting := w.waiting
	w.waiting = nil
	for _, call := range waiting {
		p.waits.Remove(call)
		p.refuse(call, w, w.denied-p.r.now)
	}
}

// sendRequest sends a TokenRequest to an issuer. Spent tokens are reported first,
// since that lets their issuers grant new ones.
func (p *shares) request(w *wallet, i int, home jackdawbridge.Peer, want int64) {
	for j := range w.held {
		if g := &w.held[j]; g.spent > g.reported {
			g.reported = g.spent
			p.post(g.home, jackdawbridge.NewReport(g.id, w.account, g.lot, g.spent, 0))
		}
	}
	p.nextID += 2
	id := p.nextID
	w.asking = id
	p.asks[id] = asked{wallet: w, home: home, lot: w.targets[i].lot, target: i, want: want, at: p.r.now, sends: 1}
	p.lapse.Set(id, p.r.now+grantLife)
	p.silent.Set(id, p.r.now+askTimeout)
	p.post(home, jackdawbridge.NewAsk(id, w.account, w.targets[i].lot, want))
}

// finishRequest removes the request that an issuer has answered and returns it. It
// returns false if there is no such request, or if a grant for it has expired.
func (p *shares) answered(from jackdawbridge.Peer, id jackdawbridge.GrantID, account jackdawbridge.AccountName, lot int) (asked, bool) {
	a, ok := p.asks[id]
	if !ok || a.home.Node() != from.Node() || a.wallet.account != account || a.lot != lot {
		return asked{}, false
	}
	delete(p.asks, id)
	p.lapse.Remove(id)
	p.silent.Remove(id)
	if a.wallet.asking == id {
		a.wallet.asking = 0
	}
	return a, p.r.now < a.at+grantLife
}

// grant adds granted tokens to those of the account and serves its waiting
// calls. The tokens expire grantLifetime after the TokenRequest was first sent.
func (p *shares) grant(from jackdawbridge.Peer, m *jackdawbridge.Grant) {
	a, ok := p.answered(from, m.ID(), m.Account(), m.Lot())
	if !ok || m.Tokens() < 1 {
		return
	}
	w := a.wallet
	w.denied = 0
	p.answers(a, 0)
	if m.Tokens() < a.want {
		p.pause(a, emptyPause)
	}
	w.held = append(w.held, grant{
		id: m.ID(), home: from, lot: m.Lot(), left: m.Tokens(), expires: a.at + grantLife,
	})
	p.owners[m.ID()] = w
	p.returns.Set(m.ID(), a.at+keepTime)
	p.serve(w)
}

// serve admits waiting calls while there are tokens, and requests more
// tokens for those that are left.
func (p *shares) serve(w *wallet) {
	for len(w.waiting) > 0 && p.spend(w) {
		call := w.waiting[0]
		w.waiting = slices.Delete(w.waiting, 0, 1)
		p.waits.Remove(call)
		p.r.calls.funded(call)
	}
	if len(w.waiting) > 0 {
		p.seek(w)
	}
}

// denial pauses an issuer that granted no tokens, and requests them from the next one.
func (p *shares) deny(from jackdawbridge.Peer, m *jackdawbridge.Deny) {
	a, ok := p.answered(from, m.ID(), m.Account(), m.Lot())
	if !ok {
		return
	}
	if !m.Closed() {
		p.answers(a, m.After())
	}
	p.pass(a, max(m.After(), 1))
}

// noteIssuerAnswer records that an issuer of the local data centre acts for its
// range, and that its answer is valid for the given time.
func (p *shares) answers(a asked, span jackdawbridge.Millis) {
	if a.home.DataCentre() == p.r.self.DataCentre() {
		a.wallet.heard = max(a.wallet.heard, p.r.now+span)
	}
}

// tryNextIssuer pauses the issuer of a request and requests the tokens elsewhere.
func (p *shares) pass(a asked, pause jackdawbridge.Millis) {
	p.pause(a, pause)
	p.seek(a.wallet)
}

// pause suspends requests to the issuer of a request for a time, at most
// maxRetryAfter. The source moves to another shard of the same data centre, so that
// each shard is tried in turn.
func (p *shares) pause(a asked, span jackdawbridge.Millis) {
	w := a.wallet
	if a.target >= len(w.targets) || w.targets[a.target].lot != a.lot {
		return
	}
	t := &w.targets[a.target]
	t.pause = p.r.now + min(span, maxDenial)
	if t.lots > maxTries {
		t.lot = (t.lot + maxTries) % t.lots
	}
}

// release returns every held token before the process exits. The shards of this
// node's ranges are handed over when the range record names their new holders.
func (p *shares) release() {
	for _, name := range p.names {
		if w, ok := p.wallets[name]; ok {
			for len(w.held) > 0 {
				p.giveBack(w, 0)
			}
		}
	}
}

// resetAfterFreeze drops all held tokens and pending requests after the process was
// frozen, since the tokens may have expired meanwhile.
func (p *shares) thaw() {
	for _, w := range p.wallets {
		w.held = w.held[:0]
		w.asking = 0
		w.denied = 0
		w.recent, w.count = 0, 0
	}
	clear(p.asks)
	p.lapse, p.silent, p.returns = grantTimes{}, grantTimes{}, grantTimes{}
	clear(p.owners)
}

// post sends a message to a peer. A message to this node is handled directly.
func (p *shares) post(to jackdawbridge.Peer, message jackdawbridge.Message) {
	if to.Node() != p.r.self.Node() {
		p.r.send(to, message)
		return
	}
	switch m := message.(type) {
	case *jackdawbridge.Ask:
		p.ask(to, m)
	case *jackdawbridge.Grant:
		p.grant(to, m)
	case *jackdawbridge.Deny:
		p.deny(to, m)
	case *jackdawbridge.Report:
		p.report(to, m)
	}
}

// seen records the newest configuration revision seen in digests, for each data
// centre and overall.
func (p *shares) heard(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	if known, ok := p.configs[from.DataCentre()]; digest.Config() > known && (ok || len(p.configs) < maxForeign) {
		p.configs[from.DataCentre()] = digest.Config()
	}
	if digest.Config() > p.newest {
		if p.newest <= p.revision {
			p.behindSince = p.r.now
		}
		p.newest = digest.Config()
	}
}

func (p *shares) wake() jackdawbridge.Millis {
	at := p.home.wake()
	for _, h := range [...]*grantTimes{&p.lapse, &p.silent, &p.returns} {
		if _, t, ok := h.Min(); ok {
			at = min(at, t)
		}
	}
	if _, t, ok := p.waits.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := p.retries.Min(); ok {
		at = min(at, t)
	}
	if p.heldBack {
		at = min(at, p.settle)
	}
	return at
}

func (p *shares) tick() {
	p.reload()
	p.home.tick(p)
	p.expire()
	for {
		name, ok := p.retries.PopUntil(p.r.now)
		if !ok {
			break
		}
		if w, ok := p.wallets[name]; ok {
			p.seek(w)
		}
	}
	for {
		call, at, ok := p.waits.Min()
		if !ok || at > p.r.now {
			return
		}
		p.overdue(call)
	}
}

// waitExpired refuses a call that has waited too long for a token, unless its floor
// has one. While no issuer answers it extends the wait to unreachableTokenWait.
func (p *shares) overdue(call jackdawbridge.CallID) {
	w := p.wallets[p.r.calls.account(call)]
	if w != nil && p.patience(w) > maxWait && p.r.now-p.r.calls.active[call].arrived < silentWait {
		p.waits.Set(call, p.r.now+maxWait)
		p.seek(w)
		return
	}
	if w != nil && p.spendFloor(w) {
		p.forget(call, w.account)
		p.r.calls.funded(call)
		return
	}
	// When the call ends, it is removed from the waiting calls of its account.
	p.r.calls.unfunded(call, p.denial(w), maxWait)
	p.waits.Remove(call)
}

// expire returns held grants that are due, sends unanswered requests again or gives
// up on their issuer, and drops requests whose grant would have expired.
func (p *shares) expire() {
	for {
		id, ok := p.returns.PopUntil(p.r.now)
		if !ok {
			break
		}
		w := p.owners[id]
		i := slices.IndexFunc(w.held, func(g grant) bool { return g.id == id })
		p.giveBack(w, i)
	}
	for {
		id, ok := p.silent.PopUntil(p.r.now)
		if !ok {
			break
		}
		a := p.asks[id]
		switch {
		case a.wallet.asking != id:
		case a.sends < maxSends && len(a.wallet.waiting) > 0:
			a.sends++
			p.asks[id] = a
			p.silent.Set(id, p.r.now+askTimeout)
			p.post(a.home, jackdawbridge.NewAsk(id, a.wallet.account, a.lot, a.want))
		default:
			a.wallet.asking = 0
			p.pass(a, silentPause)
		}
	}
	for {
		id, ok := p.lapse.PopUntil(p.r.now)
		if !ok {
			return
		}
		delete(p.asks, id)
	}
}
