package reducer

import (
	"cmp"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxLots bounds the lots of a share.
	maxLots = 64
	// lotRate is the rate above which a share is split further, in tokens a
	// second. At the target it bounds the requests to one home.
	lotRate = 1000
	// lotBurst is the least burst of a lot of a split share. Smaller lots leave
	// tokens where nobody asks for them.
	lotBurst = 50
	// micro is the number of the finest units of a token.
	micro = 1_000_000
	// spreadTime is how long a lot that grows waits once a data centre has heard
	// of the change: its homes hear of it with their votes within a lease, stop
	// lagGrace later if they have not got it, and their grants expire.
	spreadTime = 15 * jackdawbridge.Second
	// lagGrace is how long a home grants although it knows of a newer
	// configuration than its own. One that changes every 5 s must not stop it.
	lagGrace = 2 * jackdawbridge.Second
	// lagLimit is when it grants again: it seems unable to read the newer one,
	// and the last good one stays in force.
	lagLimit = 60 * jackdawbridge.Second
)

// quota is what a lot has: the rate in micro-tokens a millisecond and the burst
// in whole tokens.
type quota struct{ rate, burst int64 }

// least returns the smaller of both in each.
func (q quota) least(o quota) quota {
	return quota{rate: min(q.rate, o.rate), burst: min(q.burst, o.burst)}
}

// part is the share of one data centre with at least one whole token of burst.
type part struct {
	dc    jackdawbridge.DataCentre
	lots  int // at least 1
	total quota
}

// quota returns what a lot of the part has. The lots sum to the part.
func (p part) quota(lot int) quota {
	if lot < 0 || lot >= p.lots {
		return quota{}
	}
	return quota{rate: portion(p.total.rate, p.lots, lot), burst: portion(p.total.burst, p.lots, lot)}
}

// portion returns the k-th of n nearly equal portions of a total.
func portion(total int64, n, k int) int64 {
	return total*int64(k+1)/int64(n) - total*int64(k)/int64(n)
}

// divide returns the parts of an account. The burst is given out in whole
// tokens by largest remainder. A data centre that gets none has no part: its
// rate goes to the others, from which it borrows.
func divide(a *jackdawbridge.Account) []part {
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
	parts := make([]part, 0, len(shares))
	for _, s := range shares {
		after := before + int64(s.Permille())
		total := quota{rate: rate*after/weight - rate*before/weight, burst: bursts[s.DataCentre()]}
		before = after
		lots := min(total.rate/(lotRate*1000), total.burst/lotBurst, maxLots)
		parts = append(parts, part{dc: s.DataCentre(), lots: int(max(lots, 1)), total: total})
	}
	return parts
}

// plan is how an account is divided, as far as this node may rely on it.
type plan struct {
	account *jackdawbridge.Account // nil once removed
	parts   []part                 // by data centre
	changed jackdawbridge.Millis   // of the quotas of the own data centre; 0 if since the start
	held    bool                   // the quotas of the own data centre are held at floor
	floor   []quota                // least of each lot over the configurations that others may still use
	waits   []jackdawbridge.DataCentre
	since   uint64 // revision that the data centres in waits must have heard of
	ready   jackdawbridge.Millis
}

func (p *plan) part(dc jackdawbridge.DataCentre) part {
	for _, x := range p.parts {
		if x.dc == dc {
			return x
		}
	}
	return part{}
}

// quota returns what this node may use of a lot of its own data centre.
func (p *plan) quota(dc jackdawbridge.DataCentre, lot int) quota {
	q := p.part(dc).quota(lot)
	switch {
	case !p.held:
		return q
	case lot >= len(p.floor):
		return quota{}
	}
	return q.least(p.floor[lot])
}

// change takes a new division of the account. A lot that grows while another
// shrinks waits until every data centre has had the time to learn of it.
func (p *plan) change(now jackdawbridge.Millis, own jackdawbridge.DataCentre, account *jackdawbridge.Account, parts []part, revision uint64) {
	old := p.parts
	p.account = account
	if slices.Equal(old, parts) {
		return
	}
	floor := make([]quota, p.part(own).lots)
	for lot := range floor {
		floor[lot] = p.quota(own, lot)
	}
	shrinks := false
	if !p.held {
		p.waits = p.waits[:0]
	}
	for _, x := range slices.Concat(old, parts) {
		if !slices.Contains(p.waits, x.dc) {
			p.waits = append(p.waits, x.dc)
		}
	}
	for _, x := range old {
		i := slices.IndexFunc(parts, func(y part) bool { return y.dc == x.dc })
		shrinks = shrinks || i < 0 || parts[i].lots != x.lots ||
			parts[i].total.rate < x.total.rate || parts[i].total.burst < x.total.burst
	}
	before := p.part(own)
	p.parts = parts
	p.held = p.held || shrinks
	if before != p.part(own) {
		p.changed = now
	}
	p.floor, p.since = floor, revision
	p.ready = now + spreadTime
}

// behind reports whether this node must not grant tokens because a newer
// configuration may have given them to others.
func (p *shares) behind() bool {
	if p.newest <= p.revision {
		return false
	}
	age := p.r.now - p.behindSince
	return age >= lagGrace && age < lagLimit
}

// settle ends the hold once every data centre has known of the change for long
// enough, and reports whether it did.
func (p *plan) settle(now jackdawbridge.Millis, own jackdawbridge.DataCentre, heard map[jackdawbridge.DataCentre]uint64) bool {
	if !p.held {
		return false
	}
	left := slices.DeleteFunc(p.waits, func(dc jackdawbridge.DataCentre) bool { return dc == own || heard[dc] >= p.since })
	if len(left) < len(p.waits) {
		p.ready = now + spreadTime
	}
	p.waits = left
	if len(left) > 0 || now < p.ready {
		return false
	}
	p.held = false
	p.floor = nil
	p.changed = now
	return true
}

// lotRange returns the range that a lot of an account belongs to.
func lotRange(account jackdawbridge.AccountName, lot int) int {
	return int(hashOf(string(account), hashLot+uint64(lot)<<16) % jackdawbridge.RangeCount)
}
