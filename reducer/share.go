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
	// tokenRequestTimeout is the time after which an unanswered TokenRequest is sent
	// again. Data centres of a region are 0.5 ms apart. With one message in five
	// lost, all maxRequestSends attempts at one issuer fail in one case of 60, and
	// those at the next issuer fail as well in one case of 3,500.
	tokenRequestTimeout = 5 * jackdawbridge.Millis(1)
	// maxRequestSends is the number of times a TokenRequest is sent before its
	// issuer counts as unreachable.
	maxRequestSends = 4
	// unreachablePause is the time for which an unreachable issuer receives no
	// further TokenRequest.
	unreachablePause = 250 * jackdawbridge.Millis(1)
	// partialGrantPause is the time for which an issuer is skipped after a grant of
	// fewer tokens than requested. Without the pause, a trickle of tokens from one
	// issuer would keep a node from trying the others.
	partialGrantPause = 10 * jackdawbridge.Millis(1)
	// unspentGrantTime is the time after which unspent tokens are returned to their
	// issuer, counted from the first send of the TokenRequest.
	unspentGrantTime = 500 * jackdawbridge.Millis(1)
	// arrivalWindow is the span over which arrivals of calls are counted.
	arrivalWindow = 100 * jackdawbridge.Millis(1)

	maxWaitingCalls  = 256  // calls of one account that wait for a token
	maxHeldGrants    = 8    // grants that a node holds for one account
	maxShardTries    = 3    // shards of one data centre that are tried in a row
	maxTokenRequests = 8192 // requests that a node keeps until their grant would have expired
)

// grantTimes orders grants, or the requests for them, by the instant of their next action.
type grantTimes = heap.Heap[jackdawbridge.GrantID, jackdawbridge.Millis]

// shares is the part that keeps each client account within its rate. Each data
// centre has a share of the account's rate, divided into shards. The holder of a
// shard's range issues its tokens (see issuer). An entry node borrows tokens from
// the issuers and spends one for each call (see accountTokens).
type shares struct {
	r               *Reducer
	plans           map[jackdawbridge.AccountName]*plan // of each configured account, and an empty plan for each removed one
	names           []jackdawbridge.AccountName         // of plans, sorted
	revision        uint64                              // of the configuration that plans were made from
	outdated        bool                                // the configuration has changed without a new revision
	growthHeld      bool                                // whether some plan holds back the growth of its quotas
	nextHoldCheck   jackdawbridge.Millis                // when plans that hold back growth are checked again
	configRevisions map[jackdawbridge.DataCentre]uint64 // newest configuration revision seen from each data centre, at most maxRemoteDataCentres
	issuer          issuer

	floors     bool // whether nodes spend their floors while no issuer answers
	memberPeak memberPeak

	newestRevision uint64               // newest configuration revision seen in any digest
	behindSince    jackdawbridge.Millis // when newestRevision rose above revision, or revision last changed if that is later

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
		// Late grants to an earlier process of this instance must not match the
		// requests of this process.
		nextID:      jackdawbridge.GrantID(hashOf(r.self.Node().String(), purposeShard) | 1),
		requests:    make(map[jackdawbridge.GrantID]pendingRequest),
		grantOwners: make(map[jackdawbridge.GrantID]*accountTokens),
	}
}

// takeToken takes a token of an account for a call. It reports the result by
// calls.tokenGranted or calls.tokenDenied, either before it returns or later.
func (p *shares) takeToken(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	t := p.tokensOf(account)
	if t == nil {
		p.r.calls.tokenDenied(call, jackdawbridge.OverRate, jackdawbridge.Second)
		return
	}
	t.countArrival(p.r.now)
	if len(t.waiting) == 0 && p.spendToken(t) {
		if t.pendingID == 0 && p.r.now >= t.pausedUntil && t.left() < t.averageArrivals {
			p.requestTokens(t)
		}
		p.r.calls.tokenGranted(call)
		return
	}
	if t.pausedUntil > p.r.now+p.tokenWait(t) || len(t.waiting) >= maxWaitingCalls {
		p.refuse(call, t, max(t.pausedUntil-p.r.now, maxTokenWait))
		return
	}
	t.waiting = append(t.waiting, call)
	p.waitEnds.Set(call, p.r.now+maxTokenWait)
	p.requestTokens(t)
}

// spendToken spends a token of a held grant and reports whether there was one.
func (p *shares) spendToken(t *accountTokens) bool {
	for i := range t.held {
		g := &t.held[i]
		if p.r.now >= g.expires {
			continue
		}
		g.left--
		g.spent++
		if g.left == 0 {
			p.returnGrant(t, i)
		}
		return true
	}
	return false
}

// returnGrant reports the spent tokens of a held grant to its issuer, returns the
// others and drops the grant.
func (p *shares) returnGrant(t *accountTokens, i int) {
	g := t.held[i]
	t.held = slices.Delete(t.held, i, i+1)
	p.grantReturns.Remove(g.id)
	delete(p.grantOwners, g.id)
	p.post(g.issuer, jackdawbridge.NewUsageReport(g.id, t.account, g.shard, g.spent, g.left))
}

// requestTokens requests the tokens that an account needs from the first issuer that
// is not paused. It does nothing while a request is pending. If all issuers are
// paused, the waiting calls continue to wait or are refused.
func (p *shares) requestTokens(t *accountTokens) {
	want := int64(len(t.waiting)) + max(2*t.averageArrivals, 0) - t.left()
	if t.pendingID != 0 || want < 1 || len(t.held) >= maxHeldGrants {
		return
	}
	next := p.r.now + maxRetryAfter
	for i := range t.sources {
		src := &t.sources[i]
		if src.pausedUntil > p.r.now {
			next = min(next, src.pausedUntil)
			continue
		}
		issuer, ok := p.r.authority.holder(src.dc, shardRange(t.account, src.shard))
		if !ok || len(p.requests) >= maxTokenRequests {
			src.pausedUntil = p.r.now + notHolderPause
			next = min(next, src.pausedUntil)
			continue
		}
		p.sendRequest(t, i, issuer, want)
		return
	}
	t.pausedUntil = next
	p.waitOrRefuse(t)
}

// sendRequest sends a TokenRequest to an issuer. Spent tokens are reported first, so
// that their issuers can grant new ones.
func (p *shares) sendRequest(t *accountTokens, i int, issuer jackdawbridge.Peer, want int64) {
	for j := range t.held {
		if g := &t.held[j]; g.spent > g.reported {
			g.reported = g.spent
			p.post(g.issuer, jackdawbridge.NewUsageReport(g.id, t.account, g.shard, g.spent, 0))
		}
	}
	p.nextID += 2
	id := p.nextID
	t.pendingID = id
	p.requests[id] = pendingRequest{accountTokens: t, issuer: issuer, shard: t.sources[i].shard, source: i, want: want, at: p.r.now, sends: 1}
	p.requestExpiry.Set(id, p.r.now+grantLifetime)
	p.requestTimeouts.Set(id, p.r.now+tokenRequestTimeout)
	p.post(issuer, jackdawbridge.NewTokenRequest(id, t.account, t.sources[i].shard, want))
}

// finishRequest removes the request that an issuer has answered and returns it. It
// returns false if there is no such request, or if a grant for the request would have
// expired by now.
func (p *shares) finishRequest(from jackdawbridge.Peer, id jackdawbridge.GrantID, account jackdawbridge.AccountName, shard int) (pendingRequest, bool) {
	req, ok := p.requests[id]
	if !ok || req.issuer.Node() != from.Node() || req.accountTokens.account != account || req.shard != shard {
		return pendingRequest{}, false
	}
	p.dropRequest(id, req)
	return req, p.r.now < req.at+grantLifetime
}

// dropRequest removes a request from every index that names it.
func (p *shares) dropRequest(id jackdawbridge.GrantID, req pendingRequest) {
	delete(p.requests, id)
	p.requestExpiry.Remove(id)
	p.requestTimeouts.Remove(id)
	if req.accountTokens.pendingID == id {
		req.accountTokens.pendingID = 0
	}
}

// grantReceived adds granted tokens to those of the account and serves its waiting
// calls. The tokens expire grantLifetime after the TokenRequest was first sent.
func (p *shares) grantReceived(from jackdawbridge.Peer, m *jackdawbridge.TokenGrant) {
	req, ok := p.finishRequest(from, m.ID(), m.Account(), m.Shard())
	if !ok || m.Tokens() < 1 {
		return
	}
	t := req.accountTokens
	t.pausedUntil = 0
	p.recordIssuerAnswer(req, 0)
	if m.Tokens() < req.want {
		t.deniedUntil = p.r.now + maxTokenWait
		p.pause(req, partialGrantPause)
	}
	t.held = append(t.held, heldGrant{
		id: m.ID(), issuer: from, shard: m.Shard(), left: m.Tokens(), expires: req.at + grantLifetime,
	})
	p.grantOwners[m.ID()] = t
	p.grantReturns.Set(m.ID(), req.at+unspentGrantTime)
	p.serve(t)
}

// serve admits waiting calls while there are tokens, and requests more tokens for the
// remaining calls.
func (p *shares) serve(t *accountTokens) {
	for len(t.waiting) > 0 && p.spendToken(t) {
		call := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		p.waitEnds.Remove(call)
		p.r.calls.tokenGranted(call)
	}
	if len(t.waiting) > 0 {
		p.requestTokens(t)
	}
}

// denialReceived pauses an issuer that granted no tokens, and requests tokens from
// the next issuer.
func (p *shares) denialReceived(from jackdawbridge.Peer, m *jackdawbridge.TokenDenial) {
	req, ok := p.finishRequest(from, m.ID(), m.Account(), m.Shard())
	if !ok {
		return
	}
	if m.Unavailable() {
		req.accountTokens.interrupted = true
	} else {
		p.recordIssuerAnswer(req, m.RetryAfter())
		req.accountTokens.deniedUntil = p.r.now + m.RetryAfter() + maxTokenWait
	}
	p.tryNextIssuer(req, max(m.RetryAfter(), 1))
}

// recordIssuerAnswer records that an issuer of the local data centre has answered.
// span is the wait that a denial imposes. No other answer is expected during that
// time, so the issuer counts as reachable until it ends.
func (p *shares) recordIssuerAnswer(req pendingRequest, span jackdawbridge.Millis) {
	t := req.accountTokens
	if req.issuer.DataCentre() == p.r.self.DataCentre() {
		t.issuerSeenUntil = max(t.issuerSeenUntil, p.r.now+span)
	}
	if t.interrupted {
		t.interrupted, t.resumedAt = false, p.r.now
	}
}

// tryNextIssuer pauses the issuer of a request and requests the tokens elsewhere.
func (p *shares) tryNextIssuer(req pendingRequest, pause jackdawbridge.Millis) {
	p.pause(req, pause)
	p.requestTokens(req.accountTokens)
}

// pause suspends requests to the issuer of a request for span, at most maxRetryAfter.
// The source moves to another shard of the same data centre, so that each shard is
// tried in turn.
func (p *shares) pause(req pendingRequest, span jackdawbridge.Millis) {
	t := req.accountTokens
	if req.source >= len(t.sources) || t.sources[req.source].shard != req.shard {
		return
	}
	src := &t.sources[req.source]
	src.pausedUntil = p.r.now + min(span, maxRetryAfter)
	if src.shards > maxShardTries {
		src.shard = (src.shard + maxShardTries) % src.shards
	}
}

// release returns every held token before the process exits. The shards of this
// node's ranges are handed over when the range record names their new holders.
func (p *shares) release() {
	for _, name := range p.names {
		if t, ok := p.accounts[name]; ok {
			for len(t.held) > 0 {
				p.returnGrant(t, 0)
			}
		}
	}
}

// resetAfterFreeze drops all held tokens and pending requests after the process was
// frozen, since the tokens may have expired meanwhile.
func (p *shares) resetAfterFreeze() {
	for _, t := range p.accounts {
		t.held = t.held[:0]
		t.pendingID = 0
		t.pausedUntil = 0
		t.averageArrivals, t.count = 0, 0
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
		p.requestReceived(to, m)
	case *jackdawbridge.TokenGrant:
		p.grantReceived(to, m)
	case *jackdawbridge.TokenDenial:
		p.denialReceived(to, m)
	case *jackdawbridge.UsageReport:
		p.reportReceived(to, m)
	}
}

// observe records the newest configuration revision seen in digests, for each data
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
	if p.growthHeld {
		at = min(at, p.nextHoldCheck)
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
		if t, ok := p.accounts[name]; ok {
			p.requestTokens(t)
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

// expire returns the grants held for unspentGrantTime, drops requests whose grant would
// have expired, and sends unanswered requests again or tries the next issuer. Both
// timers of a request may be due in the same tick, so the drop comes first.
func (p *shares) expire() {
	for {
		id, ok := p.grantReturns.PopUntil(p.r.now)
		if !ok {
			break
		}
		t := p.grantOwners[id]
		i := slices.IndexFunc(t.held, func(g heldGrant) bool { return g.id == id })
		p.returnGrant(t, i)
	}
	for {
		id, ok := p.requestExpiry.PopUntil(p.r.now)
		if !ok {
			break
		}
		req := p.requests[id]
		pending := req.accountTokens.pendingID == id
		p.dropRequest(id, req)
		if pending {
			p.tryNextIssuer(req, unreachablePause)
		}
	}
	for {
		id, ok := p.requestTimeouts.PopUntil(p.r.now)
		if !ok {
			return
		}
		req := p.requests[id]
		switch {
		case req.accountTokens.pendingID != id:
		case req.sends < maxRequestSends && len(req.accountTokens.waiting) > 0:
			req.sends++
			p.requests[id] = req
			p.requestTimeouts.Set(id, p.r.now+tokenRequestTimeout)
			p.post(req.issuer, jackdawbridge.NewTokenRequest(id, req.accountTokens.account, req.shard, req.want))
		default:
			req.accountTokens.pendingID = 0
			req.accountTokens.interrupted = true
			p.tryNextIssuer(req, unreachablePause)
		}
	}
}
