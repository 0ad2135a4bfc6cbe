package reducer

import (
	"maps"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// grantLifetime is how long a borrower may spend a grant, counted from the
	// moment at which it sent the request.
	grantLife = 2 * jackdawbridge.Second
	// grantClockMargin covers the drift between the clocks of issuer and borrower
	// over grantLifetime.
	grantMargin = jackdawbridge.Second
	// bucketIdle is the time without a grant after which a bucket is checked for
	// removal.
	bucketIdle = 60 * jackdawbridge.Second
	// maxRetryAfter bounds the wait that a denial asks of a borrower.
	maxDenial = 2 * jackdawbridge.Second
	// notHolderPause is how long a borrower waits before it sends another request
	// to a node that does not act for the range.
	notHome = 250 * jackdawbridge.Millis(1)
	// usageReportTime is the time within which a borrower is expected to report
	// spent tokens when the whole burst is outstanding.
	reportTime = 20 * jackdawbridge.Millis(1)

	maxBuckets = 16384
	maxGrants  = 65536
	// maxHandovers bounds the handovers kept until their range is gained, and those
	// sent for one range when it moves.
	maxHandovers = 1024
)

// shard identifies a shard of an account in the local data centre.
type lot struct {
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
	due         jackdawbridge.Millis // when the next denied borrower may send its request again
	granted     bool                 // has granted tokens or received a handover
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
func (b *bucket) retune(now jackdawbridge.Millis, q quota) {
	b.accrue(now)
	b.quota = q
	b.level = min(b.level, max((q.burst-b.outstanding)*micro, 0))
}

// retryAfter returns how long a denied borrower should wait until there is a token
// for it. Each call reserves the next token, so that the borrowers return one after
// the other.
func (b *bucket) denial(now jackdawbridge.Millis) jackdawbridge.Millis {
	if b.quota.rate == 0 || b.quota.burst == 0 {
		return maxDenial
	}
	ready := now + jackdawbridge.Millis((micro-min(b.level, micro))/b.quota.rate)
	if b.outstanding >= b.quota.burst {
		ready = max(ready, now+reportTime)
	}
	due := max(ready, b.due, b.opens)
	b.due = min(due+jackdawbridge.Millis(micro/b.quota.rate), now+maxDenial)
	return max(min(due-now, maxDenial), 1)
}

// grantKey identifies a grant at its issuer: ids are unique only per borrower.
type grantKey struct {
	node jackdawbridge.Node
	id   jackdawbridge.GrantID
}

// issuedGrant is a grant as its issuer keeps it until all tokens are accounted for.
type issued struct {
	lot             lot
	tokens          int64
	spent, returned int64 // cumulative; their sum is at most tokens
}

// inherited is the state of a shard that a former holder handed over.
type handed struct {
	epoch       uint64 // of the range record that moved the range
	level       int64  // micro-tokens
	outstanding int64
	at          jackdawbridge.Millis // when the handover arrived
}

// issuer is the state of the shards whose ranges this node holds. It grants their
// tokens to borrowers.
type home struct {
	buckets map[lot]*bucket                           // at most maxBuckets
	idle    heap.Heap[lot, jackdawbridge.Millis]      // when a bucket is checked for removal
	grants  map[grantKey]issued                       // at most maxGrants
	expiry  heap.Heap[grantKey, jackdawbridge.Millis] // when a grant expires at the issuer
	lumps   heap.Heap[lot, jackdawbridge.Millis]      // when the inherited tokens of a shard expire
	lump    map[lot]int64                             // outstanding tokens inherited with a shard
	handed  map[lot]handed                            // handovers received, at most maxHandovers
	epoch   [jackdawbridge.RangeCount]uint64          // at which each range was gained
}

func newHome() home {
	return home{
		buckets: make(map[lot]*bucket), grants: make(map[grantKey]issued),
		lump: make(map[lot]int64), handed: make(map[lot]handed),
	}
}

// bucketOf returns the bucket of a shard, creating it if needed, or nil if the shard
// does not exist or there are too many buckets. i is the shard's range and since
// the instant at which this node gained it. A new holder does not know what the
// former one granted, so without a handover its bucket starts empty and grants
// nothing until all those grants have expired.
func (p *shares) bucketOf(l lot, i int, since jackdawbridge.Millis) *bucket {
	if b, ok := p.home.buckets[l]; ok {
		return b
	}
	plan, ok := p.plans[l.account]
	if !ok || len(p.home.buckets) >= maxBuckets || l.index < 0 || l.index >= plan.part(p.r.self.DataCentre()).lots {
		return nil
	}
	q := plan.quota(p.r.self.DataCentre(), l.index)
	b := &bucket{quota: q, opens: since + grantLife + grantMargin, at: p.r.now}
	if p.r.authority.first(i) {
		b.opens = 0
	}
	switch start := max(b.opens, plan.changed); {
	case start == 0:
		b.level = q.burst * micro
	case start < p.r.now:
		b.at = start
		b.accrue(p.r.now)
	}
	p.home.buckets[l] = b
	p.home.idle.Set(l, p.r.now+bucketIdle)
	p.inherit(l, i, b)
	return b
}

// applyHandover applies a received handover to a bucket that has granted nothing yet.
func (p *shares) inherit(l lot, i int, b *bucket) {
	h, ok := p.home.handed[l]
	if !ok || b.granted || p.home.epoch[i] != h.epoch {
		return
	}
	delete(p.home.handed, l)
	b.granted = true
	b.opens = 0
	b.outstanding = h.outstanding
	b.level = min(h.level, max((b.quota.burst-h.outstanding)*micro, 0))
	b.at = h.at
	p.home.lump[l] = h.outstanding
	p.home.lumps.Set(l, h.at+grantLife+grantMargin)
	b.accrue(p.r.now)
}

// request answers a TokenRequest with a grant or a denial. A repeated request
// receives the same grant again.
func (p *shares) ask(from jackdawbridge.Peer, m *jackdawbridge.Ask) {
	l := lot{m.Account(), m.Lot()}
	key := grantKey{from.Node(), m.ID()}
	if g, ok := p.home.grants[key]; ok {
		p.post(from, jackdawbridge.NewGrant(m.ID(), m.Account(), m.Lot(), g.tokens))
		return
	}
	i := lotRange(l.account, l.index)
	since, ok := p.r.authority.holds(i)
	var b *bucket
	if ok {
		b = p.bucketOf(l, i, since)
	}
	if b == nil || len(p.home.grants) >= maxGrants || p.behind() {
		p.post(from, jackdawbridge.NewDeny(m.ID(), m.Account(), m.Lot(), notHome).AsClosed())
		return
	}
	b.accrue(p.r.now)
	tokens := min(m.Want(), b.level/micro)
	if tokens < 1 || p.r.now < b.opens {
		deny := jackdawbridge.NewDeny(m.ID(), m.Account(), m.Lot(), b.denial(p.r.now))
		if p.r.now < b.opens {
			deny = deny.AsClosed()
		}
		p.post(from, deny)
		return
	}
	b.granted = true
	b.level -= tokens * micro
	b.outstanding += tokens
	p.home.grants[key] = issued{lot: l, tokens: tokens}
	p.home.expiry.Set(key, p.r.now+grantLife+grantMargin)
	p.home.idle.Set(l, p.r.now+bucketIdle)
	p.post(from, jackdawbridge.NewGrant(m.ID(), m.Account(), m.Lot(), tokens))
}

// report records how many tokens of a grant were spent and returned. The counts
// are cumulative, so that a repeated or late report changes nothing.
func (p *shares) report(from jackdawbridge.Peer, m *jackdawbridge.Report) {
	key := grantKey{from.Node(), m.ID()}
	g, ok := p.home.grants[key]
	if !ok || m.Spent() < 0 || m.Returned() < 0 || m.Spent()+m.Returned() > g.tokens {
		return
	}
	spent := max(m.Spent()-g.spent, 0)
	returned := max(min(m.Returned(), g.tokens-g.spent-spent)-g.returned, 0)
	g.spent += spent
	g.returned += returned
	if b, ok := p.home.buckets[g.lot]; ok {
		b.accrue(p.r.now)
		b.outstanding -= spent + returned
		b.level = min(b.level+returned*micro, max((b.quota.burst-b.outstanding)*micro, 0))
	}
	if g.spent+g.returned == g.tokens {
		delete(p.home.grants, key)
		p.home.expiry.Remove(key)
		return
	}
	p.home.grants[key] = g
}

// handover keeps the state of a shard that a former holder sends, and applies
// it if this node has a bucket for the shard.
func (p *shares) handover(from jackdawbridge.Peer, m *jackdawbridge.Handover) {
	l := lot{m.Account(), m.Lot()}
	if from.DataCentre() != p.r.self.DataCentre() || m.Level() < 0 || m.Outstanding() < 0 {
		return
	}
	if len(p.home.handed) >= maxHandovers {
		maps.DeleteFunc(p.home.handed, func(_ lot, h handed) bool { return p.r.now-h.at > bucketIdle })
	}
	if _, ok := p.home.handed[l]; !ok && len(p.home.handed) >= maxHandovers {
		return
	}
	p.home.handed[l] = handed{epoch: m.Epoch(), level: m.Level() * (micro / 1000), outstanding: m.Outstanding(), at: p.r.now}
	if b, ok := p.home.buckets[l]; ok {
		p.inherit(l, lotRange(l.account, l.index), b)
	}
}

// gained resets the shards of a range that this node holds from now on.
func (p *shares) gained(i int) {
	p.drop(i)
	p.home.epoch[i] = p.r.authority.own.Epoch()
}

// lost drops the shards of a range that this node no longer holds. It hands
// them over to the new holder if no other node can have granted their tokens.
func (p *shares) lost(i int) {
	if to, epoch, ok := p.r.authority.successor(i); ok {
		p.handAll(i, to, epoch)
	}
	p.drop(i)
}

// handOver sends the state of the open shards of a range to its new holder.
func (p *shares) handAll(i int, to jackdawbridge.Peer, epoch uint64) {
	since := p.r.authority.lease.since[i]
	own := p.r.self.DataCentre()
	sent := 0
	for _, name := range p.names {
		for index := range p.plans[name].part(own).lots {
			if lotRange(name, index) != i {
				continue
			}
			l := lot{name, index}
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
func (p *shares) drop(i int) {
	for l := range p.home.buckets {
		if lotRange(l.account, l.index) == i {
			p.dropBucket(l)
		}
	}
	for key, g := range p.home.grants {
		if lotRange(g.lot.account, g.lot.index) == i {
			delete(p.home.grants, key)
			p.home.expiry.Remove(key)
		}
	}
}

func (p *shares) dropBucket(l lot) {
	delete(p.home.buckets, l)
	p.home.idle.Remove(l)
	delete(p.home.lump, l)
	p.home.lumps.Remove(l)
}

// tick expires grants and removes buckets that are full and unused. A bucket that is
// created again later starts full, so removal loses nothing.
func (h *home) tick(p *shares) {
	now := p.r.now
	for {
		key, ok := h.expiry.PopUntil(now)
		if !ok {
			break
		}
		g := h.grants[key]
		delete(h.grants, key)
		if b, ok := h.buckets[g.lot]; ok {
			b.accrue(now)
			b.outstanding -= g.tokens - g.spent - g.returned
		}
	}
	for {
		l, ok := h.lumps.PopUntil(now)
		if !ok {
			break
		}
		b := h.buckets[l]
		b.accrue(now)
		b.outstanding -= h.lump[l]
		delete(h.lump, l)
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

func (h *home) wake() jackdawbridge.Millis {
	at := never
	if _, t, ok := h.expiry.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := h.lumps.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := h.idle.Min(); ok {
		at = min(at, t)
	}
	return at
}
