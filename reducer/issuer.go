package reducer

import (
	"maps"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// grantLifetime is how long a borrower may spend a grant, counted from the moment
	// at which it first sent the request.
	grantLifetime = 2 * jackdawbridge.Second
	// grantClockMargin covers the drift between the clocks of issuer and borrower
	// over grantLifetime.
	grantClockMargin = jackdawbridge.Second
	// bucketIdle is the time without a grant after which a bucket is checked for
	// removal.
	bucketIdle = 60 * jackdawbridge.Second
	// maxRetryAfter bounds the wait that a denial imposes on a borrower, and the
	// pause of an issuer at a borrower.
	maxRetryAfter = 2 * jackdawbridge.Second
	// notHolderPause is how long a borrower waits before it sends another request
	// to a node that does not act for the range.
	notHolderPause = 250 * jackdawbridge.Millis(1)
	// usageReportTime is the time within which a borrower is expected to report
	// spent tokens when the whole burst is outstanding.
	usageReportTime = 20 * jackdawbridge.Millis(1)

	maxBuckets = 16384
	maxGrants  = 65536
	// maxHandovers bounds the received handovers that are kept until their range is
	// gained, and the handovers sent for one range when it moves.
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
	outstanding int64                // granted tokens not yet reported as spent or returned, nor expired
	at          jackdawbridge.Millis // when level was computed
	opens       jackdawbridge.Millis // no token is granted before this instant
	nextRetry   jackdawbridge.Millis // when the next denied borrower may send its request again
	inUse       bool                 // has granted tokens or started from a handover
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
// for it. Each call reserves the next token, so that denied borrowers do not all
// return at the same instant.
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

// receivedHandover is the state of a shard that a former holder handed over.
type receivedHandover struct {
	epoch       uint64               // of the range record that moved the range
	level       int64                // micro-tokens
	outstanding int64                // granted by former holders and not yet accounted for
	at          jackdawbridge.Millis // when the handover arrived
}

// formerShard is a shard that this node has handed over, while borrowers still report
// what they spend of its grants.
type formerShard struct {
	to          jackdawbridge.Peer   // new holder
	epoch       uint64               // of the range record that moved the range
	outstanding int64                // granted tokens not yet accounted for
	until       jackdawbridge.Millis // when the last grant has expired
}

// issuer is the state of the shards whose ranges this node holds. It grants their
// tokens to borrowers.
type issuer struct {
	buckets         map[shard]*bucket                         // at most maxBuckets
	idle            heap.Heap[shard, jackdawbridge.Millis]    // when a bucket is checked for removal
	grants          map[grantKey]issuedGrant                  // at most maxGrants
	grantExpiry     heap.Heap[grantKey, jackdawbridge.Millis] // when a grant expires at the issuer
	inheritedExpiry heap.Heap[shard, jackdawbridge.Millis]    // when the inherited tokens of a shard expire
	inheritedTokens map[shard]int64                           // part of a bucket's outstanding that was inherited and has not expired
	handovers       map[shard]receivedHandover                // received and not yet applied, at most maxHandovers
	former          map[shard]formerShard                     // handed over, at most maxHandovers
	epoch           [jackdawbridge.RangeCount]uint64          // of the record when each range was gained
}

func newIssuer() issuer {
	return issuer{
		buckets: make(map[shard]*bucket), grants: make(map[grantKey]issuedGrant),
		inheritedTokens: make(map[shard]int64), handovers: make(map[shard]receivedHandover),
		former: make(map[shard]formerShard),
	}
}

// bucketOf returns the bucket of a shard, creating it if needed, or nil if the shard
// does not exist or there are too many buckets. i is the shard's range, and this node
// gained it at the instant since. A new holder has no record of the former holder's
// grants, so without a handover its bucket starts empty and grants nothing until all
// those grants have expired.
func (p *shares) bucketOf(s shard, i int, since jackdawbridge.Millis) *bucket {
	if b, ok := p.issuer.buckets[s]; ok {
		return b
	}
	plan, ok := p.plans[s.account]
	if !ok || len(p.issuer.buckets) >= maxBuckets || s.index < 0 || s.index >= plan.dataCentreShare(p.r.self.DataCentre()).shards {
		return nil
	}
	q := plan.quota(p.r.self.DataCentre(), s.index)
	b := &bucket{quota: q, opens: since + grantLifetime + grantClockMargin, at: p.r.now}
	if p.r.authority.firstHolder(i) {
		b.opens = 0
	}
	switch start := max(b.opens, plan.changedAt); {
	case start == 0:
		b.level = q.burst * micro
	case start < p.r.now:
		b.at = start
		b.accrue(p.r.now)
	}
	p.issuer.buckets[s] = b
	p.issuer.idle.Set(s, p.r.now+bucketIdle)
	p.applyHandover(s, i, b)
	return b
}

// applyHandover applies a received handover to a bucket that has granted nothing yet.
func (p *shares) applyHandover(s shard, i int, b *bucket) {
	h, ok := p.issuer.handovers[s]
	if !ok || b.inUse || p.issuer.epoch[i] != h.epoch {
		return
	}
	delete(p.issuer.handovers, s)
	b.inUse = true
	b.opens = 0
	b.outstanding = h.outstanding
	b.level = min(h.level, max((b.quota.burst-h.outstanding)*micro, 0))
	b.at = h.at
	p.issuer.inheritedTokens[s] = h.outstanding
	p.issuer.inheritedExpiry.Set(s, h.at+grantLifetime+grantClockMargin)
	b.accrue(p.r.now)
}

// requestReceived answers a TokenRequest with a grant or a denial. The answer to a
// repeated request is the same grant.
func (p *shares) requestReceived(from jackdawbridge.Peer, m *jackdawbridge.TokenRequest) {
	s := shard{m.Account(), m.Shard()}
	key := grantKey{from.Node(), m.ID()}
	if g, ok := p.issuer.grants[key]; ok {
		p.post(from, jackdawbridge.NewTokenGrant(m.ID(), m.Account(), m.Shard(), g.tokens))
		return
	}
	i := shardRange(s.account, s.index)
	since, ok := p.r.authority.holds(i)
	var b *bucket
	if ok {
		b = p.bucketOf(s, i, since)
	}
	if b == nil || len(p.issuer.grants) >= maxGrants || p.behind() {
		p.post(from, jackdawbridge.NewTokenDenial(m.ID(), m.Account(), m.Shard(), notHolderPause).AsUnavailable())
		return
	}
	b.accrue(p.r.now)
	tokens := min(m.Tokens(), b.level/micro)
	if tokens < 1 || p.r.now < b.opens {
		denial := jackdawbridge.NewTokenDenial(m.ID(), m.Account(), m.Shard(), b.retryAfter(p.r.now))
		if p.r.now < b.opens {
			denial = denial.AsUnavailable()
		}
		p.post(from, denial)
		return
	}
	b.inUse = true
	b.level -= tokens * micro
	b.outstanding += tokens
	p.issuer.grants[key] = issuedGrant{shard: s, tokens: tokens}
	p.issuer.grantExpiry.Set(key, p.r.now+grantLifetime+grantClockMargin)
	p.issuer.idle.Set(s, p.r.now+bucketIdle)
	p.post(from, jackdawbridge.NewTokenGrant(m.ID(), m.Account(), m.Shard(), tokens))
}

// reportReceived records how many tokens of a grant were spent and returned. The
// counts are cumulative, so that a repeated or late report changes nothing.
func (p *shares) reportReceived(from jackdawbridge.Peer, m *jackdawbridge.UsageReport) {
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
	} else if f, ok := p.issuer.former[g.shard]; ok {
		f.outstanding -= spent + returned
		p.issuer.former[g.shard] = f
		p.r.send(f.to, jackdawbridge.NewHandover(g.shard.account, g.shard.index, f.epoch, 0, f.outstanding))
	}
	if g.spent+g.returned == g.tokens {
		delete(p.issuer.grants, key)
		p.issuer.grantExpiry.Remove(key)
		return
	}
	p.issuer.grants[key] = g
}

// handoverReceived keeps the state of a shard that a former holder has sent, and
// applies it if this node has a bucket for the shard. Further handovers of the same
// shard say how many tokens are still outstanding; they may overtake the first.
func (p *shares) handoverReceived(from jackdawbridge.Peer, m *jackdawbridge.Handover) {
	s := shard{m.Account(), m.Shard()}
	if from.DataCentre() != p.r.self.DataCentre() || m.Level() < 0 || m.Outstanding() < 0 {
		return
	}
	b, ok := p.issuer.buckets[s]
	if ok && b.inUse {
		p.reduceInherited(s, b, m)
		return
	}
	if len(p.issuer.handovers) >= maxHandovers {
		maps.DeleteFunc(p.issuer.handovers, func(_ shard, h receivedHandover) bool { return p.r.now-h.at > bucketIdle })
	}
	h := receivedHandover{epoch: m.Epoch(), level: m.Level() * (micro / 1000), outstanding: m.Outstanding(), at: p.r.now}
	old, known := p.issuer.handovers[s]
	switch {
	case known && old.epoch == h.epoch:
		h = receivedHandover{epoch: h.epoch, level: max(h.level, old.level), outstanding: min(h.outstanding, old.outstanding), at: old.at}
	case !known && len(p.issuer.handovers) >= maxHandovers:
		return
	}
	p.issuer.handovers[s] = h
	if ok {
		p.applyHandover(s, shardRange(s.account, s.index), b)
	}
}

// reduceInherited frees the inherited tokens of a shard that are no longer outstanding,
// so that the bucket can fill again before they would expire.
func (p *shares) reduceInherited(s shard, b *bucket, m *jackdawbridge.Handover) {
	inherited, ok := p.issuer.inheritedTokens[s]
	if !ok || p.issuer.epoch[shardRange(s.account, s.index)] != m.Epoch() || m.Outstanding() >= inherited {
		return
	}
	b.accrue(p.r.now)
	b.outstanding -= inherited - m.Outstanding()
	p.issuer.inheritedTokens[s] = m.Outstanding()
}

// gained drops any earlier state of the shards of a range that this node now holds.
func (p *shares) gained(i int) {
	maps.DeleteFunc(p.issuer.former, func(s shard, _ formerShard) bool { return shardRange(s.account, s.index) == i })
	p.dropRange(i)
	p.issuer.epoch[i] = p.r.authority.localRanges.Epoch()
}

// lost drops the shards of a range that this node no longer holds. It first sends
// their state to the new holder if no other node can have granted their tokens.
func (p *shares) lost(i int) {
	if to, epoch, ok := p.r.authority.successor(i); ok {
		p.handOver(i, to, epoch)
	}
	p.dropRange(i)
}

// handOver sends the state of the shards of a range to its new holder, at most
// maxHandovers of them. Shards that do not grant tokens here yet are left out.
func (p *shares) handOver(i int, to jackdawbridge.Peer, epoch uint64) {
	since := p.r.authority.lease.since[i]
	local := p.r.self.DataCentre()
	sent := 0
	maps.DeleteFunc(p.issuer.former, func(_ shard, f formerShard) bool { return p.r.now >= f.until })
	for _, name := range p.names {
		for index := range p.plans[name].dataCentreShare(local).shards {
			if shardRange(name, index) != i {
				continue
			}
			s := shard{name, index}
			b := p.bucketOf(s, i, since)
			if b == nil || p.r.now < b.opens || sent >= maxHandovers {
				continue
			}
			sent++
			b.accrue(p.r.now)
			p.r.send(to, jackdawbridge.NewHandover(name, index, epoch, b.level/(micro/1000), b.outstanding))
			if b.outstanding > 0 && len(p.issuer.former) < maxHandovers {
				p.issuer.former[s] = formerShard{to: to, epoch: epoch, outstanding: b.outstanding, until: p.r.now + grantLifetime + grantClockMargin}
			}
		}
	}
}

// dropRange removes the buckets of a range, and its grants unless their shard was handed
// over.
func (p *shares) dropRange(i int) {
	for s := range p.issuer.buckets {
		if shardRange(s.account, s.index) == i {
			p.dropBucket(s)
		}
	}
	for key, g := range p.issuer.grants {
		if _, ok := p.issuer.former[g.shard]; !ok && shardRange(g.shard.account, g.shard.index) == i {
			delete(p.issuer.grants, key)
			p.issuer.grantExpiry.Remove(key)
		}
	}
}

func (p *shares) dropBucket(s shard) {
	delete(p.issuer.buckets, s)
	p.issuer.idle.Remove(s)
	delete(p.issuer.inheritedTokens, s)
	p.issuer.inheritedExpiry.Remove(s)
}

// tick expires grants and removes buckets that are full and unused. A bucket that is
// created again later normally starts full, so that removal loses nothing.
func (iss *issuer) tick(p *shares) {
	now := p.r.now
	for {
		key, ok := iss.grantExpiry.PopUntil(now)
		if !ok {
			break
		}
		g := iss.grants[key]
		delete(iss.grants, key)
		if b, ok := iss.buckets[g.shard]; ok {
			b.accrue(now)
			b.outstanding -= g.tokens - g.spent - g.returned
		}
	}
	for {
		s, ok := iss.inheritedExpiry.PopUntil(now)
		if !ok {
			break
		}
		b := iss.buckets[s]
		b.accrue(now)
		b.outstanding -= iss.inheritedTokens[s]
		delete(iss.inheritedTokens, s)
	}
	for {
		s, ok := iss.idle.PopUntil(now)
		if !ok {
			break
		}
		b := iss.buckets[s]
		b.accrue(now)
		if b.outstanding == 0 && b.level >= b.quota.burst*micro && now >= b.opens {
			p.dropBucket(s)
			continue
		}
		iss.idle.Set(s, now+bucketIdle)
	}
}

func (iss *issuer) wake() jackdawbridge.Millis {
	at := never
	if _, t, ok := iss.grantExpiry.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := iss.inheritedExpiry.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := iss.idle.Min(); ok {
		at = min(at, t)
	}
	return at
}
