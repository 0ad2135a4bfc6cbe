package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// reload adopts the accounts of a new configuration. Once a second it raises the
// quotas that no longer need to be held back.
func (p *shares) reload() {
	revision := p.r.settings.revision(jackdawbridge.ConfigTable)
	if revision != p.revision || p.outdated {
		p.outdated = false
		p.replan(revision)
	}
	if !p.growthHeld || p.r.now < p.nextHoldCheck {
		return
	}
	p.nextHoldCheck = p.r.now + jackdawbridge.Second
	p.growthHeld = false
	for _, name := range p.names {
		pl := p.plans[name]
		if pl.endHold(p.r.now, p.r.self.DataCentre(), p.configRevisions) {
			p.r.fx.Log(jackdawbridge.PartShare, "quota raised, every data centre has had time to learn of the change").Str("account", string(name)).Int("config", int64(p.revision))
			p.applyQuota(name, pl)
		}
		p.growthHeld = p.growthHeld || pl.growthHeld
	}
}

// replan updates the plans from the accounts of the configuration. A removed account
// keeps an empty plan, since other nodes may still serve it.
func (p *shares) replan(revision uint64) {
	initial := p.revision == 0
	p.revision = revision
	p.behindSince = p.r.now
	seen := make(map[jackdawbridge.AccountName]bool)
	p.r.accounts(func(a *jackdawbridge.Account) {
		seen[a.Name()] = true
		pl, ok := p.plans[a.Name()]
		if !ok {
			pl = &plan{account: a, division: divide(a)}
			if !initial {
				pl.changedAt = p.r.now
			}
			p.plans[a.Name()] = pl
			p.names = append(p.names, a.Name())
			return
		}
		if pl.account != a {
			p.adjust(a.Name(), pl, a, divide(a), revision)
		}
	})
	for _, name := range p.names {
		if pl := p.plans[name]; !seen[name] && pl.account != nil {
			p.adjust(name, pl, nil, nil, revision)
		}
	}
	slices.Sort(p.names)
}

// adjust changes the plan of an account. Buckets of shards that have had no request
// yet are created first, so that they keep the level reached under the old plan.
func (p *shares) adjust(name jackdawbridge.AccountName, pl *plan, a *jackdawbridge.Account, division []dataCentreShare, revision uint64) {
	local := p.r.self.DataCentre()
	if !slices.Equal(pl.division, division) {
		for index := range pl.dataCentreShare(local).shards {
			i := shardRange(name, index)
			if since, ok := p.r.authority.holds(i); ok {
				p.bucketOf(shard{name, index}, i, since)
			}
		}
	}
	pl.update(p.r.now, local, a, division, revision)
	p.growthHeld = p.growthHeld || pl.growthHeld
	p.applyQuota(name, pl)
}

// applyQuota applies the quotas of a plan to the buckets of its account.
func (p *shares) applyQuota(name jackdawbridge.AccountName, pl *plan) {
	local := p.r.self.DataCentre()
	for s, b := range p.issuer.buckets {
		if s.account == name {
			b.applyQuota(p.r.now, pl.quota(local, s.index))
		}
	}
}
