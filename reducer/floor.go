package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// homeSilence is how long the home of the own data centre may give no answer
	// before a node uses its floor. It is above the time in which a silent home is
	// asked maxSends times.
	homeSilence = 100 * jackdawbridge.Millis(1)
	// sizeMemory is how long a data centre counts as large as it was. Members that
	// are cut off still use their floors.
	sizeMemory = 60 * jackdawbridge.Second
	// leastSize is the size of a data centre that is not known yet. A node that
	// knows nobody must not take the whole share.
	leastSize = 4
	// floorBurst is the least burst of a floor in tokens. Arrivals at one node
	// are few and uneven.
	floorBurst = 2
)

// floor is the part of its data centre's share of an account that a node spends
// by itself while no home answers: the share divided by the members. The floors
// of a data centre without a home sum to its share. While a home acts that some
// members do not reach, the account may get their floors on top of its rate, so
// floors are an option.
type floor struct {
	level int64                // micro-tokens
	at    jackdawbridge.Millis // of level, 0 before the first use
}

// size is the number of members of the own data centre, as the floors count it.
type size struct {
	members int
	at      jackdawbridge.Millis // when it was last as large
}

// memberCount returns the size of the own data centre. It follows growth at once,
// and a fall after sizeMemory.
func (p *shares) memberCount() int {
	count := max(len(p.r.members.live)+1, leastSize)
	if own := p.r.authority.own; own != nil {
		count = max(count, len(named(own)))
	}
	if count >= p.size.members || p.r.now-p.size.at > sizeMemory {
		p.size = size{members: count, at: p.r.now}
	}
	return p.size.members
}

// spendFloor takes a token of a wallet's floor, if the home of the own data
// centre gives no answer.
func (p *shares) spendFloor(w *wallet) bool {
	if !p.floors || p.r.now-w.heard < homeSilence {
		return false
	}
	share := w.plan.part(p.r.self.DataCentre()).total
	n := int64(p.memberCount())
	rate, burst := share.rate/n, max(share.burst*micro/n, floorBurst*micro)
	f := &w.floor
	if f.at == 0 {
		f.level = burst
	} else {
		f.level = min(f.level+rate*int64(p.r.now-f.at), burst)
	}
	f.at = p.r.now
	if f.level < micro {
		return false
	}
	f.level -= micro
	return true
}

// refuse answers a call for which no home gave a token: the floor may have one.
func (p *shares) refuse(call jackdawbridge.CallID, w *wallet, after jackdawbridge.Millis) {
	if p.spendFloor(w) {
		p.r.calls.funded(call)
		return
	}
	p.r.calls.unfunded(call, p.denial(w), after)
}
