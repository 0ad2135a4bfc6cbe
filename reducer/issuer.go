package reducer

import (
	"maps"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// grantLifetime is how long a borrower may spend a grant, counted from the
	// moment at which it sent the request.
	grantLifetime = 2 * jackdawbridge.Second
	// grantClockMargin covers the drift between the clocks of issuer and borrower
	// over grantLifetime.
	grantClockMargin = jackdawbridge.Second
	// bucketIdle is the time without a grant after which a bucket is checked for
	// removal.
	bucketIdle = 60 * jackdawbridge.Second
	// maxRetryAfter bounds the wait that a denial asks of a borrower.
	maxRetryAfter = 2 * jackdawbridge.Second
	// notHolderPause is how long a borrower waits before it sends another request
	// to a node that does not act for the range.
	notHolderPause = 250 * jackdawbridge.Millis(1)
	// usageReportTime is the time within which a borrower is expected to report
	// spent tokens when the whole burst is outstanding.
	usageReportTime = 20 * jackdawbridge.Millis(1)

	maxBuckets = 16384
	maxGrants  = 65536
	// maxHandovers bounds the handovers kept until their range is gained, and those
	// sent for one range when it moves.
	maxHandovers = 1024
)

// shard identifies a shard of an account in the local data centre.
type shard struct {
	account jackdawbridge.AccountName
	index   int
}

// bucket is the token bucket of a shard at its issuer. level + outstanding never
// exceeds the burst.
type bucket struct {
	quota       quota
	level       int64                // micro-tokens
	outstanding int64                // tokens granted and not yet reported as spent or returned, nor expired
	at          jackdawbridge.Millis // when level was computed
	opens       jackdawbridge.Millis // no token is granted before
	nextRetry   jackdawbridge.Millis // when the next denied borrower may send its request again
	inUse       bool                 // has granted tokens or received a handover
}

// accrue adds the tokens that have accrued up to an instant.
func (b *bucket) accrue(now jackdawbridge.Millis) {
	span := int64(now - b.at)
	if span <= 0 {
		return
	}
	b.at = now
	room := max((b.quota.burst-b.outstanding)*micro, 0)
	if b.level >= room || b.quota.rate > 0 && span > room/b.quota.rate {
		b.level = room
		return
	}
	b.level = min(b.level+b.quota.rate*span, room)
}

// applyQuota changes the quota. It never raises the level.
func (b *bucket) applyQuota(now jackdawbridge.Millis, q quota) {
	b.accrue(now)
	b.quota = q
	b.level = min(b.level, max((q.burst-b.outstanding)*micro, 0))
}

// retryAfter returns how long a denied borrower should wait until there is a token
// for it. Each call reserves the next token, so that the borrowers return one after
// the other.
func (b *bucket) retryAfter(now jackdawbridge.Millis) jackdawbridge.Millis {
	if b.quota.rate == 0 || b.quota.burst == 0 {
		return maxRetryAfter
	}
	ready := now + jackdawbridge.Millis((micro-min(b.level, micro))/b.quota.rate)
	if b.outstanding >= b.quota.burst {
		ready = max(ready, now+usageReportTime)
	}
	due := max(ready, b.nextRetry, b.opens)
	b.nextRetry = min(due+jackdawbridge.Millis(micro/b.quota.rate), now+maxRetryAfter)
	return max(min(due-now, maxRetryAfter), 1)
}

// grantKey identifies a grant at its issuer: ids are unique only per borrower.
type grantKey struct {
	node jackdawbridge.Node
	id   jackdawbridge.GrantID
}

// issuedGrant is a grant as its issuer keeps it until all tokens are accounted for.
type issuedGrant struct {
	shard           shard
	tokens          int64
	spent, returned int64 // cumulative; their sum is at most tokens
}

// inherited is the state of a shard that a former holder handed over.
type inherited struct {
	epoch       uint64 // of the range record that moved the range
	level       int64  // micro-tokens
	outstanding int64
	at          jackdawbridge.Millis // when the handover arrived
}

// issuer is the state of the shards whose ranges this node holds. It grants their
// tokens to borrowers.
type issuer struct {
	buckets         map[shard]*bucket                         // at most maxBuckets
	idle            heap.Heap[shard, jackdawbridge.Millis]    // when a bucket is checked for removal
	grants          map[grantKey]issuedGrant                  // at most maxGrants
	grantExpiry     heap.Heap[grantKey, jackdawbridge.Millis] // when a grant expires at the issuer
	inheritedExpiry heap.Heap[shard, jackdawbridge.Millis]    // when the inherited tokens of a shard expire
	inheritedTokens map[shard]int64                           // outstanding tokens inherited with a shard
	inherited       map[shard]inherited                       // handovers received, at most maxHandovers
	epoch           [jackdawbridge.RangeCount]uint64          // at which each range was gained
}

func newIssuer() issuer {
	return issuer{
		buckets: make(map[shard]*bucket), grants: make(map[grantKey]issuedGrant),
		inheritedTokens: make(map[shard]int64), inherited: make(map[shard]inherited),
	}
}

// bucketOf returns the bucket of a shard, creating it if needed, or nil if the shard
// does not exist or there are too many buckets. i is the shard's range and since
// the instant at which this node gained it. A new holder does not know what the
// former one granted, so without a handover its bucket starts empty and grants
// nothing until all those grants have expired.
func (p *shares) bucketOf(l shard, i int, since jackdawbridge.Millis) *bucket {
	if b, ok := p.issuer.buckets[l]; ok {
		return b
	}
	plan, ok := p.plans[l.account]
	if !ok || len(p.issuer.buckets) >= maxBuckets || l.index < 0 || l.index >= plan.dataCentreShare(p.r.self.DataCentre()).shards {
		return nil
	}
	q := plan.quota(p.r.self.DataCentre(), l.index)
	b := &bucket{quota: q, opens: since + grantLifetime + grantClockMargin, at: p.r.now}
	if p.r.authority.first(i) {
		b.opens = 0
	}
	switch start := max(b.opens, plan.changedAt); {
	case start == 0:
		b.level = q.burst * micro
	case start < p.r.now:
		b.at = start
		b.accrue(p.r.now)
	}
	p.issuer.buckets[l] = b
	p.issuer.idle.Set(l, p.r.now+bucketIdle)
	p.applyHandover(l, i, b)
	return b
}

// applyHandover applies a received handover to a bucket that has granted nothing yet.
func (p *shares) applyHandover(l shard, i int, b *bucket) {
	h, ok := p.issuer.inherited[l]
	if !ok || b.inUse || p.issuer.epoch[i] != h.epoch {
		return
	}
	delete(p.issuer.inherited, l)
	b.inUse = true
	b.opens = 0
	b.outstanding = h.outstanding
	b.level = min(h.level, max((b.quota.burst-h.outstanding)*micro, 0))
	b.at = h.at
	p.issuer.inheritedTokens[l] = h.outstanding
	p.issuer.inheritedExpiry.Set(l, h.at+grantLifetime+grantClockMargin)
	b.accrue(p.r.now)
}

// request answers a TokenRequest with a grant or a denial. A repeated request
// receives the same grant again.
func (p *shares) request(from jackdawbridge.Peer, m *jackdawbridge.TokenRequest) {
	l := shard{m.Account(), m.Shard()}
	key := grantKey{from.Node(), m.ID()}
	if g, ok := p.issuer.grants[key]; ok {
		p.post(from, jackdawbridge.NewTokenGrant(m.ID(), m.Account(), m.Shard(), g.tokens))
		return
	}
	i := shardRange(l.account, l.index)
	since, ok := p.r.authority.holds(i)
	var b *bucket
	if ok {
		b = p.bucketOf(l, i, since)
	}
	if b == nil || len(p.issuer.grants) >= maxGrants || p.behind() {
		p.post(from, jackdawbridge.NewTokenDenial(m.ID(), m.Account(), m.Shard(), notHolderPause).AsUnavailable())
		return
	}
	b.accrue(p.r.now)
	tokens := min(m.Tokens(), b.level/micro)
	if tokens < 1 || p.r.now < b.opens {
		deny := jackdawbridge.NewTokenDenial(m.ID(), m.Account(), m.Shard(), b.retryAfter(p.r.now))
		if p.r.now < b.opens {
			deny = deny.AsUnavailable()
		}
		p.post(from, deny)
		return
	}
	b.inUse = true
	b.level -= tokens * micro
	b.outstanding += tokens
	p.issuer.grants[key] = issuedGrant{shard: l, tokens: tokens}
	p.issuer.grantExpiry.Set(key, p.r.now+grantLifetime+grantClockMargin)
	p.issuer.idle.Set(l, p.r.now+bucketIdle)
	p.post(from, jackdawbridge.NewTokenGrant(m.ID(), m.Account(), m.Shard(), tokens))
}

// report records how many tokens of a grant were spent and returned. The counts
// are cumulative, so that a repeated or late report changes nothing.
func (p *shares) report(from jackdawbridge.Peer, m *jackdawbridge.UsageReport) {
	key := grantKey{from.Node(), m.ID()}
	g, ok := p.issuer.grants[key]
	if !ok || m.Spent() < 0 || m.Returned() < 0 || m.Spent()+m.Returned() > g.tokens {
		return
	}
	spent := max(m.Spent()-g.spent, 0)
	returned := max(min(m.Returned(), g.tokens-g.spent-spent)-g.returned, 0)
	g.spent += spent
	g.returned += returned
	if b, ok := p.issuer.buckets[g.shard]; ok {
		b.accrue(p.r.now)
		b.outstanding -= spent + returned
		b.level = min(b.level+returned*micro, max((b.quota.burst-b.outstanding)*micro, 0))
	}
	if g.spent+g.returned == g.tokens {
		delete(p.issuer.grants, key)
		p.issuer.grantExpiry.Remove(key)
		return
	}
	p.issuer.grants[key] = g
}

// handover keeps the state of a shard that a former holder sends, and applies
// it if this node has a bucket for the shard.
func (p *shares) handover(from jackdawbridge.Peer, m *jackdawbridge.Handover) {
	l := shard{m.Account(), m.Shard()}
	if from.DataCentre() != p.r.self.DataCentre() || m.Level() < 0 || m.Outstanding() < 0 {
		return
	}
	if len(p.issuer.inherited) >= maxHandovers {
		maps.DeleteFunc(p.issuer.inherited, func(_ shard, h inherited) bool { return p.r.now-h.at > bucketIdle })
	}
	if _, ok := p.issuer.inherited[l]; !ok && len(p.issuer.inherited) >= maxHandovers {
		return
	}
	p.issuer.inherited[l] = inherited{epoch: m.Epoch(), level: m.Level() * (micro / 1000), outstanding: m.Outstanding(), at: p.r.now}
	if b, ok := p.issuer.buckets[l]; ok {
		p.applyHandover(l, shardRange(l.account, l.index), b)
	}
}

// gained resets the shards of a range that this node holds from now on.
func (p *shares) gained(i int) {
	p.dropRange(i)
	p.issuer.epoch[i] = p.r.authority.localRanges.Epoch()
}

// lost drops the shards of a range that this node no longer holds. It hands
// them over to the new holder if no other node can have granted their tokens.
func (p *shares) lost(i int) {
	if to, epoch, ok := p.r.authority.successor(i); ok {
		p.handOver(i, to, epoch)
	}
	p.dropRange(i)
}

// handOver sends the state of the open shards of a range to its new holder.
func (p *shares) handOver(i int, to jackdawbridge.Peer, epoch uint64) {
	since := p.r.authority.lease.since[i]
	own := p.r.self.DataCentre()
	sent := 0
	for _, name := range p.names {
		for index := range p.plans[name].dataCentreShare(own).shards {
			if shardRange(name, index) != i {
				continue
			}
			l := shard{name, index}
			b := p.bucketOf(l, i, since)
			if b == nil || p.r.now < b.opens || sent >= maxHandovers {
				continue
			}
			sent++
			b.accrue(p.r.now)
			p.r.send(to, jackdawbridge.NewHandover(name, index, epoch, b.level/(micro/1000), b.outstanding))
		}
	}
}

// dropRange removes the buckets and grants of a range.
func (p *shares) dropRange(i int) {
	for l := range p.issuer.buckets {
		if shardRange(l.account, l.index) == i {
			p.dropBucket(l)
		}
	}
	for key, g := range p.issuer.grants {
		if shardRange(g.shard.account, g.shard.index) == i {
			delete(p.issuer.grants, key)
			p.issuer.grantExpiry.Remove(key)
		}
	}
}

func (p *shares) dropBucket(l shard) {
	delete(p.issuer.buckets, l)
	p.issuer.idle.Remove(l)
	delete(p.issuer.inheritedTokens, l)
	p.issuer.inheritedExpiry.Remove(l)
}

// tick expires grants and removes buckets that are full and unused. A bucket that is
// created again later starts full, so removal loses nothing.
func (h *issuer) tick(p *shares) {
	now := p.r.now
	for {
		key, ok := h.grantExpiry.PopUntil(now)
		if !ok {
			break
		}
		g := h.grants[key]
		delete(h.grants, key)
		if b, ok := h.buckets[g.shard]; ok {
			b.accrue(now)
			b.outstanding -= g.tokens - g.spent - g.returned
		}
	}
	for {
		l, ok := h.inheritedExpiry.PopUntil(now)
		if !ok {
			break
		}
		b := h.buckets[l]
		b.accrue(now)
		b.outstanding -= h.inheritedTokens[l]
		delete(h.inheritedTokens, l)
	}
	for {
		l, ok := h.idle.PopUntil(now)
		if !ok {
			break
		}
		b := h.buckets[l]
		b.accrue(now)
		if b.outstanding == 0 && b.level >= b.quota.burst*micro && now >= b.opens {
			p.dropBucket(l)
			continue
		}
		h.idle.Set(l, now+bucketIdle)
	}
}

func (h *issuer) wake() jackdawbridge.Millis {
	at := never
	if _, t, ok := h.grantExpiry.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := h.inheritedExpiry.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := h.idle.Min(); ok {
		at = min(at, t)
	}
	return at
}
