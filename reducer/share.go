package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxTokenWait bounds how long a call waits for a token.
	maxTokenWait = 50 * jackdawbridge.Millis(1)
	// unreachableTokenWait replaces maxTokenWait while no issuer of the local data
	// centre answers and the node has no floor to spend. An issuer that stops hands
	// over its shards within a few hundred milliseconds, and until then there is no
	// sign that the account is over its rate.
	unreachableTokenWait = 500 * jackdawbridge.Millis(1)
	// tokenRequestTimeout is the time after which an unanswered TokenRequest is
	// sent again. Data centres of a region are 0.5 ms apart. With one message in
	// five lost, all maxRequestSends attempts at one issuer fail once in 60 times,
	// and those at the next issuer as well once in 3,500.
	tokenRequestTimeout = 5 * jackdawbridge.Millis(1)
	// maxRequestSends is the number of times a TokenRequest is sent before its
	// issuer counts as unreachable.
	maxRequestSends = 4
	// unreachablePause is the time for which an unreachable issuer receives no
	// further TokenRequest.
	unreachablePause = 250 * jackdawbridge.Millis(1)
	// partialGrantPause is the time for which an issuer is skipped after it granted
	// fewer tokens than requested. Without it a trickle of tokens from one issuer
	// would keep a node from trying the others.
	partialGrantPause = 10 * jackdawbridge.Millis(1)
	// unspentGrantTime is the time after which unspent tokens are returned to their
	// issuer, counted from the TokenRequest.
	unspentGrantTime = 500 * jackdawbridge.Millis(1)
	// arrivalWindow is the span over which arrivals of calls are counted.
	arrivalWindow = 100 * jackdawbridge.Millis(1)

	maxWaitingCalls  = 256  // calls of one account that wait for a token
	maxHeldGrants    = 8    // grants that a node holds for one account
	maxShardTries    = 3    // shards of one data centre that are tried in a row
	maxTokenRequests = 8192 // token requests whose grant would still be valid
)

// grantTimes orders grants by the instant at which something is due for them.
type grantTimes = heap.Heap[jackdawbridge.GrantID, jackdawbridge.Millis]

// shares is the part that keeps each client account within its rate. Each data
// centre has a share of the account's rate, divided into shards. The holder of a
// shard's range issues its tokens (see issuer). An entry node borrows tokens from
// the issuers and spends one for each call (see accountTokens).
type shares struct {
	r               *Reducer
	plans           map[jackdawbridge.AccountName]*plan // of the accounts of the configuration and of removed ones
	names           []jackdawbridge.AccountName         // of plans, sorted
	revision        uint64                              // of the configuration that the plans are made from
	growthDelayed   bool                                // whether the growth of some plan's quotas is held back
	settle          jackdawbridge.Millis                // when plans whose growth is held back are checked again
	configRevisions map[jackdawbridge.DataCentre]uint64 // newest configuration revision seen from each data centre, at most maxRemoteDataCentres
	issuer          issuer

	floors bool // whether nodes spend their floors while no issuer answers
	size   size

	newestRevision uint64               // newest configuration revision seen in any digest
	behindSince    jackdawbridge.Millis // since when newestRevision is above revision

	accounts        map[jackdawbridge.AccountName]*accountTokens // only accounts with a plan
	nextID          jackdawbridge.GrantID
	requests        map[jackdawbridge.GrantID]pendingRequest                   // at most maxTokenRequests
	requestExpiry   grantTimes                                                 // when a late grant is no longer accepted
	requestTimeouts grantTimes                                                 // when an unanswered request is sent again
	grantReturns    grantTimes                                                 // when the rest of a held grant is returned
	grantOwners     map[jackdawbridge.GrantID]*accountTokens                   // of the held grants
	waitEnds        heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]      // when the wait of a call for a token ends
	requestRetries  heap.Heap[jackdawbridge.AccountName, jackdawbridge.Millis] // when tokens of an account are requested again
}

func newShares(r *Reducer) shares {
	return shares{
		r:               r,
		plans:           make(map[jackdawbridge.AccountName]*plan),
		configRevisions: make(map[jackdawbridge.DataCentre]uint64),
		issuer:          newIssuer(),
		accounts:        make(map[jackdawbridge.AccountName]*accountTokens),
		// Grants that an earlier process of this instance requested must not match
		// the ids of this process.
		nextID:      jackdawbridge.GrantID(hashOf(r.self.Node().String(), hashShard) | 1),
		requests:    make(map[jackdawbridge.GrantID]pendingRequest),
		grantOwners: make(map[jackdawbridge.GrantID]*accountTokens),
	}
}

// takeToken takes a token of an account for a call. It reports the result by
// calls.funded or calls.unfunded, either before it returns or later.
func (p *shares) takeToken(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	w := p.tokensOf(account)
	if w == nil {
		p.r.calls.tokenDenied(call, jackdawbridge.OverRate, jackdawbridge.Second)
		return
	}
	w.countArrival(p.r.now)
	if len(w.waiting) == 0 && p.spendToken(w) {
		if w.pendingID == 0 && p.r.now >= w.pausedUntil && w.left() < w.recent {
			p.requestTokens(w)
		}
		p.r.calls.tokenGranted(call)
		return
	}
	if w.pausedUntil > p.r.now+p.tokenWait(w) || len(w.waiting) >= maxWaitingCalls {
		p.refuse(call, w, max(w.pausedUntil-p.r.now, maxTokenWait))
		return
	}
	w.waiting = append(w.waiting, call)
	p.waitEnds.Set(call, p.r.now+maxTokenWait)
	p.requestTokens(w)
}

// tokenWait returns how long a call of an account may wait for a token.
func (p *shares) tokenWait(w *accountTokens) jackdawbridge.Millis {
	if p.floors || p.r.now-w.issuerSeenUntil < issuerSilence {
		return maxTokenWait
	}
	return unreachableTokenWait
}

// denialReason returns the reason with which a call is refused for lack of a token.
func (p *shares) denialReason(w *accountTokens) jackdawbridge.Reason {
	if w != nil && p.tokenWait(w) > maxTokenWait {
		return jackdawbridge.HomeUnreachable
	}
	return jackdawbridge.OverRate
}

// cancelWait removes a call from those that wait for a token.
func (p *shares) cancelWait(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	if !p.waitEnds.Remove(call) {
		return
	}
	w := p.accounts[account]
	if i := slices.Index(w.waiting, call); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// spendToken spends a token of a held grant and reports whether there was one.
func (p *shares) spendToken(w *accountTokens) bool {
	for i := range w.held {
		g := &w.held[i]
		if p.r.now >= g.expires {
			continue
		}
		g.left--
		g.spent++
		if g.left == 0 {
			p.returnGrant(w, i)
		}
		return true
	}
	return false
}

// returnGrant reports the spent tokens of a held grant to its issuer, returns the
// others and drops the grant.
func (p *shares) returnGrant(w *accountTokens, i int) {
	g := w.held[i]
	w.held = slices.Delete(w.held, i, i+1)
	p.grantReturns.Remove(g.id)
	delete(p.grantOwners, g.id)
	p.post(g.issuer, jackdawbridge.NewUsageReport(g.id, w.account, g.shard, g.spent, g.left))
}

// requestTokens requests the tokens that an account needs from the first issuer
// that is not paused. It does nothing while a request is pending. If all issuers
// are paused, the waiting calls wait on or are refused.
func (p *shares) requestTokens(w *accountTokens) {
	want := int64(len(w.waiting)) + max(2*w.recent, 0) - w.left()
	if w.pendingID != 0 || want < 1 || len(w.held) >= maxHeldGrants {
		return
	}
	next := p.r.now + maxRetryAfter
	for i := range w.sources {
		t := &w.sources[i]
		if t.pause > p.r.now {
			next = min(next, t.pause)
			continue
		}
		issuer, ok := p.r.authority.holder(t.dc, shardRange(w.account, t.shard))
		if !ok || len(p.requests) >= maxTokenRequests {
			t.pause = p.r.now + notHolderPause
			next = min(next, t.pause)
			continue
		}
		p.sendRequest(w, i, issuer, want)
		return
	}
	w.pausedUntil = next
	p.waitOrRefuse(w)
}

// waitOrRefuse keeps the waiting calls until an issuer's pause ends, or refuses
// them if that is later than a call may wait.
func (p *shares) waitOrRefuse(w *accountTokens) {
	if w.pausedUntil <= p.r.now+p.tokenWait(w) {
		if len(w.waiting) > 0 {
			p.requestRetries.Set(w.account, w.pausedUntil)
		}
		return
	}
	waiting := w.waiting
	w.waiting = nil
	for _, call := range waiting {
		p.waitEnds.Remove(call)
		p.refuse(call, w, w.pausedUntil-p.r.now)
	}
}

// sendRequest sends a TokenRequest to an issuer. Spent tokens are reported first,
// since that lets their issuers grant new ones.
func (p *shares) sendRequest(w *accountTokens, i int, issuer jackdawbridge.Peer, want int64) {
	for j := range w.held {
		if g := &w.held[j]; g.spent > g.reported {
			g.reported = g.spent
			p.post(g.issuer, jackdawbridge.NewUsageReport(g.id, w.account, g.shard, g.spent, 0))
		}
	}
	p.nextID += 2
	id := p.nextID
	w.pendingID = id
	p.requests[id] = pendingRequest{accountTokens: w, issuer: issuer, shard: w.sources[i].shard, source: i, want: want, at: p.r.now, sends: 1}
	p.requestExpiry.Set(id, p.r.now+grantLifetime)
	p.requestTimeouts.Set(id, p.r.now+tokenRequestTimeout)
	p.post(issuer, jackdawbridge.NewTokenRequest(id, w.account, w.sources[i].shard, want))
}

// finishRequest removes the request that an issuer has answered and returns it. It
// returns false if there is no such request, or if a grant for it has expired.
func (p *shares) finishRequest(from jackdawbridge.Peer, id jackdawbridge.GrantID, account jackdawbridge.AccountName, shard int) (pendingRequest, bool) {
	a, ok := p.requests[id]
	if !ok || a.issuer.Node() != from.Node() || a.accountTokens.account != account || a.shard != shard {
		return pendingRequest{}, false
	}
	delete(p.requests, id)
	p.requestExpiry.Remove(id)
	p.requestTimeouts.Remove(id)
	if a.accountTokens.pendingID == id {
		a.accountTokens.pendingID = 0
	}
	return a, p.r.now < a.at+grantLifetime
}

// grant adds granted tokens to those of the account and serves its waiting
// calls. The tokens expire grantLifetime after the TokenRequest was first sent.
func (p *shares) grant(from jackdawbridge.Peer, m *jackdawbridge.TokenGrant) {
	a, ok := p.finishRequest(from, m.ID(), m.Account(), m.Shard())
	if !ok || m.Tokens() < 1 {
		return
	}
	w := a.accountTokens
	w.pausedUntil = 0
	p.noteIssuerAnswer(a, 0)
	if m.Tokens() < a.want {
		p.pause(a, partialGrantPause)
	}
	w.held = append(w.held, grant{
		id: m.ID(), issuer: from, shard: m.Shard(), left: m.Tokens(), expires: a.at + grantLifetime,
	})
	p.grantOwners[m.ID()] = w
	p.grantReturns.Set(m.ID(), a.at+unspentGrantTime)
	p.serve(w)
}

// serve admits waiting calls while there are tokens, and requests more
// tokens for those that are left.
func (p *shares) serve(w *accountTokens) {
	for len(w.waiting) > 0 && p.spendToken(w) {
		call := w.waiting[0]
		w.waiting = slices.Delete(w.waiting, 0, 1)
		p.waitEnds.Remove(call)
		p.r.calls.tokenGranted(call)
	}
	if len(w.waiting) > 0 {
		p.requestTokens(w)
	}
}

// denial pauses an issuer that granted no tokens, and requests them from the next one.
func (p *shares) denial(from jackdawbridge.Peer, m *jackdawbridge.TokenDenial) {
	a, ok := p.finishRequest(from, m.ID(), m.Account(), m.Shard())
	if !ok {
		return
	}
	if !m.Unavailable() {
		p.noteIssuerAnswer(a, m.RetryAfter())
	}
	p.tryNextIssuer(a, max(m.RetryAfter(), 1))
}

// noteIssuerAnswer records that an issuer of the local data centre acts for its
// range, and that its answer is valid for the given time.
func (p *shares) noteIssuerAnswer(a pendingRequest, span jackdawbridge.Millis) {
	if a.issuer.DataCentre() == p.r.self.DataCentre() {
		a.accountTokens.issuerSeenUntil = max(a.accountTokens.issuerSeenUntil, p.r.now+span)
	}
}

// tryNextIssuer pauses the issuer of a request and requests the tokens elsewhere.
func (p *shares) tryNextIssuer(a pendingRequest, pause jackdawbridge.Millis) {
	p.pause(a, pause)
	p.requestTokens(a.accountTokens)
}

// pause suspends requests to the issuer of a request for a time, at most
// maxRetryAfter. The source moves to another shard of the same data centre, so that
// each shard is tried in turn.
func (p *shares) pause(a pendingRequest, span jackdawbridge.Millis) {
	w := a.accountTokens
	if a.source >= len(w.sources) || w.sources[a.source].shard != a.shard {
		return
	}
	t := &w.sources[a.source]
	t.pause = p.r.now + min(span, maxRetryAfter)
	if t.shards > maxShardTries {
		t.shard = (t.shard + maxShardTries) % t.shards
	}
}

// release returns every held token before the process exits. The shards of this
// node's ranges are handed over when the range record names their new holders.
func (p *shares) release() {
	for _, name := range p.names {
		if w, ok := p.accounts[name]; ok {
			for len(w.held) > 0 {
				p.returnGrant(w, 0)
			}
		}
	}
}

// resetAfterFreeze drops all held tokens and pending requests after the process was
// frozen, since the tokens may have expired meanwhile.
func (p *shares) resetAfterFreeze() {
	for _, w := range p.accounts {
		w.held = w.held[:0]
		w.pendingID = 0
		w.pausedUntil = 0
		w.recent, w.count = 0, 0
	}
	clear(p.requests)
	p.requestExpiry, p.requestTimeouts, p.grantReturns = grantTimes{}, grantTimes{}, grantTimes{}
	clear(p.grantOwners)
}

// post sends a message to a peer. A message to this node is handled directly.
func (p *shares) post(to jackdawbridge.Peer, message jackdawbridge.Message) {
	if to.Node() != p.r.self.Node() {
		p.r.send(to, message)
		return
	}
	switch m := message.(type) {
	case *jackdawbridge.TokenRequest:
		p.request(to, m)
	case *jackdawbridge.TokenGrant:
		p.grant(to, m)
	case *jackdawbridge.TokenDenial:
		p.denial(to, m)
	case *jackdawbridge.UsageReport:
		p.report(to, m)
	}
}

// seen records the newest configuration revision seen in digests, for each data
// centre and overall.
func (p *shares) observe(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	if known, ok := p.configRevisions[from.DataCentre()]; digest.Config() > known && (ok || len(p.configRevisions) < maxRemoteDataCentres) {
		p.configRevisions[from.DataCentre()] = digest.Config()
	}
	if digest.Config() > p.newestRevision {
		if p.newestRevision <= p.revision {
			p.behindSince = p.r.now
		}
		p.newestRevision = digest.Config()
	}
}

func (p *shares) wake() jackdawbridge.Millis {
	at := p.issuer.wake()
	for _, h := range [...]*grantTimes{&p.requestExpiry, &p.requestTimeouts, &p.grantReturns} {
		if _, t, ok := h.Min(); ok {
			at = min(at, t)
		}
	}
	if _, t, ok := p.waitEnds.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := p.requestRetries.Min(); ok {
		at = min(at, t)
	}
	if p.growthDelayed {
		at = min(at, p.settle)
	}
	return at
}

func (p *shares) tick() {
	p.reload()
	p.issuer.tick(p)
	p.expire()
	for {
		name, ok := p.requestRetries.PopUntil(p.r.now)
		if !ok {
			break
		}
		if w, ok := p.accounts[name]; ok {
			p.requestTokens(w)
		}
	}
	for {
		call, at, ok := p.waitEnds.Min()
		if !ok || at > p.r.now {
			return
		}
		p.waitExpired(call)
	}
}

// waitExpired refuses a call that has waited too long for a token, unless its floor
// has one. While no issuer answers it extends the wait to unreachableTokenWait.
func (p *shares) waitExpired(call jackdawbridge.CallID) {
	w := p.accounts[p.r.calls.account(call)]
	if w != nil && p.tokenWait(w) > maxTokenWait && p.r.now-p.r.calls.active[call].arrived < unreachableTokenWait {
		p.waitEnds.Set(call, p.r.now+maxTokenWait)
		p.requestTokens(w)
		return
	}
	if w != nil && p.spendFloor(w) {
		p.cancelWait(call, w.account)
		p.r.calls.tokenGranted(call)
		return
	}
	// When the call ends, it is removed from the waiting calls of its account.
	p.r.calls.tokenDenied(call, p.denialReason(w), maxTokenWait)
	p.waitEnds.Remove(call)
}

// expire returns held grants that are due, sends unanswered requests again or gives
// up on their issuer, and drops requests whose grant would have expired.
func (p *shares) expire() {
	for {
		id, ok := p.grantReturns.PopUntil(p.r.now)
		if !ok {
			break
		}
		w := p.grantOwners[id]
		i := slices.IndexFunc(w.held, func(g grant) bool { return g.id == id })
		p.returnGrant(w, i)
	}
	for {
		id, ok := p.requestTimeouts.PopUntil(p.r.now)
		if !ok {
			break
		}
		a := p.requests[id]
		switch {
		case a.accountTokens.pendingID != id:
		case a.sends < maxRequestSends && len(a.accountTokens.waiting) > 0:
			a.sends++
			p.requests[id] = a
			p.requestTimeouts.Set(id, p.r.now+tokenRequestTimeout)
			p.post(a.issuer, jackdawbridge.NewTokenRequest(id, a.accountTokens.account, a.shard, a.want))
		default:
			a.accountTokens.pendingID = 0
			p.tryNextIssuer(a, unreachablePause)
		}
	}
	for {
		id, ok := p.requestExpiry.PopUntil(p.r.now)
		if !ok {
			return
		}
		delete(p.requests, id)
	}
}
