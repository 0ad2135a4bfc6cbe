package reducer

import (
	"maps"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// grantLife is how long a borrower may spend a grant, from before it asked.
	grantLife = 2 * jackdawbridge.Second
	// grantMargin covers the drift between two clocks over the life of a grant.
	grantMargin = jackdawbridge.Second
	// bucketIdle is when an unused bucket is looked at for removal.
	bucketIdle = 60 * jackdawbridge.Second
	// maxDenial bounds how long a borrower is told to wait.
	maxDenial = 2 * jackdawbridge.Second
	// notHome is how long a borrower waits before it asks a node again that
	// does not act for the range.
	notHome = 250 * jackdawbridge.Millis(1)
	// reportTime is how soon a full set of grants is expected to be reported.
	reportTime = 20 * jackdawbridge.Millis(1)

	maxBuckets = 16384
	maxGrants  = 65536
	// maxHandovers bounds the handovers that wait for their range, and those
	// that a range causes when it moves.
	maxHandovers = 1024
)

// lot names a lot of an account.
type lot struct {
	account jackdawbridge.AccountName
	index   int
}

// bucket is a lot at its home. level + outstanding never exceeds the burst.
type bucket struct {
	quota       quota
	level       int64                // micro-tokens
	outstanding int64                // tokens granted and not known to be spent, returned or expired
	at          jackdawbridge.Millis // of level
	opens       jackdawbridge.Millis // nothing is granted before
	due         jackdawbridge.Millis // when the next borrower that is denied may ask again
	granted     bool
}

// accrue brings the level up to an instant.
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

// retune changes the quota. The level never rises by it.
func (b *bucket) retune(now jackdawbridge.Millis, q quota) {
	b.accrue(now)
	b.quota = q
	b.level = min(b.level, max((q.burst-b.outstanding)*micro, 0))
}

// denial returns when a token is next due to one more borrower.
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

// grantKey names a grant at its home.
type grantKey struct {
	node jackdawbridge.Node
	id   jackdawbridge.GrantID
}

// issued is a grant as its home knows it.
type issued struct {
	lot             lot
	tokens          int64
	spent, returned int64 // cumulative; their sum is at most tokens
}

// handed is the state of a lot that a former home handed over.
type handed struct {
	epoch       uint64
	level       int64 // micro-tokens
	outstanding int64
	at          jackdawbridge.Millis
}

// home is what this node keeps for the lots of its ranges.
type home struct {
	buckets map[lot]*bucket // at most maxBuckets
	idle    heap.Heap[lot, jackdawbridge.Millis]
	grants  map[grantKey]issued // at most maxGrants
	expiry  heap.Heap[grantKey, jackdawbridge.Millis]
	lumps   heap.Heap[lot, jackdawbridge.Millis] // ends of handed over outstanding
	lump    map[lot]int64
	handed  map[lot]handed // at most maxHandovers
	epoch   [jackdawbridge.RangeCount]uint64
}

func newHome() home {
	return home{
		buckets: make(map[lot]*bucket), grants: make(map[grantKey]issued),
		lump: make(map[lot]int64), handed: make(map[lot]handed),
	}
}

// bucketOf returns the bucket of a lot of a range that this node holds since an
// instant. A new home does not know what its predecessor granted, so it begins
// empty when all of that has expired, unless the predecessor handed over.
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
	switch begins := max(b.opens, plan.changed); {
	case begins == 0:
		b.level = q.burst * micro
	case begins < p.r.now:
		b.at = begins
		b.accrue(p.r.now)
	}
	p.home.buckets[l] = b
	p.home.idle.Set(l, p.r.now+bucketIdle)
	p.inherit(l, i, b)
	return b
}

// inherit applies a handover to a bucket that has granted nothing yet.
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

// ask answers a peer that wants tokens of a share that this node holds.
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

// report takes note of what became of a grant. The counts are cumulative, so
// that a repeated or late report changes nothing.
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

// handover takes over the state of a home that leaves.
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

// gained takes note that this node holds a range from now on.
func (p *shares) gained(i int) {
	p.drop(i)
	p.home.epoch[i] = p.r.authority.own.Epoch()
}

// lost takes note that this node holds a range no more, and hands its lots over
// if their state is still true.
func (p *shares) lost(i int) {
	if to, epoch, ok := p.r.authority.successor(i); ok {
		p.handAll(i, to, epoch)
	}
	p.drop(i)
}

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

// drop forgets the lots of a range.
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

// tick expires grants and removes buckets that are full and unused: they come
// back full.
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
