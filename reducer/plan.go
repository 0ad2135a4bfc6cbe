package reducer

import (
	"cmp"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxShards bounds the shards of a data centre's share of an account.
	maxShards = 64
	// minShardRate is the least rate of a shard of a divided share, in tokens per
	// second. Dividing large shares bounds the number of requests to one issuer at
	// the target load.
	minShardRate = 1000
	// minShardBurst is the least burst of a shard of a divided share, in tokens. With
	// smaller shards, tokens stay unused at issuers that receive no requests.
	minShardBurst = 50
	// micro is the number of micro-tokens in a token.
	micro = 1_000_000
	// propagationTime is how long a growing quota is held back after a data centre
	// has learned of the change. Within a lease, the issuers there learn of the new
	// revision with the votes they receive. If they have not received that
	// configuration staleConfigGrace later, they stop granting tokens, and then their
	// grants expire.
	propagationTime = 15 * jackdawbridge.Second
	// staleConfigGrace is how long an issuer continues to grant tokens after it has
	// learned of a newer configuration than its own. A configuration that changes
	// every 5 s must not make the issuer stop.
	staleConfigGrace = 2 * jackdawbridge.Second
	// staleConfigLimit is the time, counted like staleConfigGrace, after which an
	// issuer that stopped granting tokens resumes. The issuer is most likely unable to
	// read the newer configuration, and the last good one stays in force.
	staleConfigLimit = 60 * jackdawbridge.Second
)

// quota is a rate in micro-tokens per millisecond and a burst in whole tokens.
type quota struct{ rate, burst int64 }

// least returns the smaller rate and the smaller burst of two quotas.
func (q quota) least(o quota) quota {
	return quota{rate: min(q.rate, o.rate), burst: min(q.burst, o.burst)}
}

// dataCentreShare is one data centre's share of an account. Its burst is at least
// one whole token.
type dataCentreShare struct {
	dc     jackdawbridge.DataCentre
	shards int // at least 1
	total  quota
}

// quota returns the quota of a shard. The quotas of all shards add up to the share.
func (s dataCentreShare) quota(shard int) quota {
	if shard < 0 || shard >= s.shards {
		return quota{}
	}
	return quota{rate: portion(s.total.rate, s.shards, shard), burst: portion(s.total.burst, s.shards, shard)}
}

// portion returns the k-th of n nearly equal portions of a total, with k from 0.
func portion(total int64, n, k int) int64 {
	return total*int64(k+1)/int64(n) - total*int64(k)/int64(n)
}

// divide returns the shares of an account, sorted by data centre. The burst is
// distributed in whole tokens by the largest remainder method. A data centre that
// receives no token has no share: its rate goes to the others, and nodes there borrow
// tokens from them.
func divide(a *jackdawbridge.Account) []dataCentreShare {
	shares := slices.Clone(a.Shares())
	bursts := make(map[jackdawbridge.DataCentre]int64)
	left := a.Burst()
	for _, s := range shares {
		bursts[s.DataCentre()] = a.Burst() * int64(s.Permille()) / 1000
		left -= bursts[s.DataCentre()]
	}
	slices.SortFunc(shares, func(x, y jackdawbridge.Share) int {
		return cmp.Or(
			cmp.Compare(a.Burst()*int64(y.Permille())%1000, a.Burst()*int64(x.Permille())%1000),
			cmp.Compare(y.Permille(), x.Permille()),
			cmp.Compare(x.DataCentre(), y.DataCentre()),
		)
	})
	for _, s := range shares[:left] {
		bursts[s.DataCentre()]++
	}
	shares = slices.DeleteFunc(shares, func(s jackdawbridge.Share) bool { return bursts[s.DataCentre()] == 0 })
	slices.SortFunc(shares, func(x, y jackdawbridge.Share) int { return cmp.Compare(x.DataCentre(), y.DataCentre()) })
	var weight, before int64
	for _, s := range shares {
		weight += int64(s.Permille())
	}
	rate := a.Rate() * 1000
	division := make([]dataCentreShare, 0, len(shares))
	for _, s := range shares {
		after := before + int64(s.Permille())
		total := quota{rate: rate*after/weight - rate*before/weight, burst: bursts[s.DataCentre()]}
		before = after
		shards := min(total.rate/(minShardRate*1000), total.burst/minShardBurst, maxShards)
		division = append(division, dataCentreShare{dc: s.DataCentre(), shards: int(max(shards, 1)), total: total})
	}
	return division
}

// WithoutShare returns the data centres that receive no token of an account's burst, in the
// order of its shares. Nodes there borrow each token.
func WithoutShare(a *jackdawbridge.Account) []jackdawbridge.DataCentre {
	division := divide(a)
	var without []jackdawbridge.DataCentre
	for _, s := range a.Shares() {
		if !slices.ContainsFunc(division, func(x dataCentreShare) bool { return x.dc == s.DataCentre() }) {
			without = append(without, s.DataCentre())
		}
	}
	return without
}

// plan is the division of an account among data centres. While other nodes may
// still use an older division, the plan holds back the growth of quotas in the local
// data centre, so that the quotas in use never add up to more than the account's rate.
type plan struct {
	account    *jackdawbridge.Account     // nil once removed
	division   []dataCentreShare          // sorted by data centre
	changedAt  jackdawbridge.Millis       // when the quotas of the local data centre last changed; 0 if not since the first configuration
	growthHeld bool                       // whether limits applies to the quotas of the local data centre
	limits     []quota                    // least quota of each local shard over the configurations that others may still use
	awaiting   []jackdawbridge.DataCentre // data centres that have not learned of revision yet
	revision   uint64                     // of the configuration with the last change of the division
	holdUntil  jackdawbridge.Millis       // earliest end of the hold; the hold also lasts while awaiting is not empty
}

// dataCentreShare returns the share of a data centre, or the zero value if the data
// centre has none.
func (p *plan) dataCentreShare(dc jackdawbridge.DataCentre) dataCentreShare {
	for _, x := range p.division {
		if x.dc == dc {
			return x
		}
	}
	return dataCentreShare{}
}

// quota returns the quota that this node may use for a shard. dc is the local data
// centre.
func (p *plan) quota(dc jackdawbridge.DataCentre, shard int) quota {
	q := p.dataCentreShare(dc).quota(shard)
	switch {
	case !p.growthHeld:
		return q
	case shard >= len(p.limits):
		return quota{}
	}
	return q.least(p.limits[shard])
}

// update adopts a new division of the account. If any share shrinks or is divided
// into another number of shards, quotas that grow are held back until every data
// centre has had time to learn of the change.
func (p *plan) update(now jackdawbridge.Millis, local jackdawbridge.DataCentre, account *jackdawbridge.Account, division []dataCentreShare, revision uint64) {
	old := p.division
	p.account = account
	if slices.Equal(old, division) {
		return
	}
	limits := make([]quota, p.dataCentreShare(local).shards)
	for shard := range limits {
		limits[shard] = p.quota(local, shard)
	}
	shrinks := false
	if !p.growthHeld {
		p.awaiting = p.awaiting[:0]
	}
	for _, x := range slices.Concat(old, division) {
		if !slices.Contains(p.awaiting, x.dc) {
			p.awaiting = append(p.awaiting, x.dc)
		}
	}
	for _, x := range old {
		i := slices.IndexFunc(division, func(y dataCentreShare) bool { return y.dc == x.dc })
		shrinks = shrinks || i < 0 || division[i].shards != x.shards ||
			division[i].total.rate < x.total.rate || division[i].total.burst < x.total.burst
	}
	before := p.dataCentreShare(local)
	p.division = division
	p.growthHeld = p.growthHeld || shrinks
	if before != p.dataCentreShare(local) {
		p.changedAt = now
	}
	p.limits, p.revision = limits, revision
	p.holdUntil = now + propagationTime
}

// behind reports whether this node must not grant tokens because a newer
// configuration may have assigned them to other nodes.
func (p *shares) behind() bool {
	if p.newestRevision <= p.revision {
		return false
	}
	age := p.r.now - p.behindSince
	return age >= staleConfigGrace && age < staleConfigLimit
}

// endHold ends the hold on growth once propagationTime has passed since the last data
// centre learned of the change, and reports whether it ended the hold.
func (p *plan) endHold(now jackdawbridge.Millis, local jackdawbridge.DataCentre, revisions map[jackdawbridge.DataCentre]uint64) bool {
	if !p.growthHeld {
		return false
	}
	remaining := slices.DeleteFunc(p.awaiting, func(dc jackdawbridge.DataCentre) bool { return dc == local || revisions[dc] >= p.revision })
	if len(remaining) < len(p.awaiting) {
		p.holdUntil = now + propagationTime
	}
	p.awaiting = remaining
	if len(remaining) > 0 || now < p.holdUntil {
		return false
	}
	p.growthHeld = false
	p.limits = nil
	p.changedAt = now
	return true
}

// shardRange returns the range that a shard of an account belongs to.
func shardRange(account jackdawbridge.AccountName, shard int) int {
	return int(hashOf(string(account), purposeShard+uint64(shard)<<16) % jackdawbridge.RangeCount)
}
