package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// issuerSilence is the time without an answer from the issuers of the local data
	// centre after which a node uses its floor. It is longer than maxRequestSends
	// attempts at one issuer take.
	issuerSilence = 100 * jackdawbridge.Millis(1)
	// memberCountRetention is how long the former member count of a data centre that
	// has shrunk is still used. Members that are cut off are no longer seen but still
	// use their floors.
	memberCountRetention = 60 * jackdawbridge.Second
	// minMemberCount is the least number of members assumed for a data centre. A node
	// that has not found its peers yet must not use the whole share.
	minMemberCount = 4
	// minFloorBurst is the least burst of a floor, in tokens. Arrivals at one node
	// are few and uneven, so a smaller burst would refuse calls within the rate.
	minFloorBurst = 2
)

// floor is a token bucket that a node may spend without an issuer while no issuer of
// the local data centre answers. Its rate is the data centre's share of the account
// divided by the number of members, so that the floors of a data centre without an
// issuer add up to its share. If an issuer is active but some members cannot reach
// it, the floors of those members are spent on top of the account's rate. Floors are
// therefore an option.
type floor struct {
	level int64                // micro-tokens
	at    jackdawbridge.Millis // when level was computed, 0 before the first use
}

// memberPeak is the number of members of the local data centre that its share is
// divided by for the floors.
type memberPeak struct {
	members int
	at      jackdawbridge.Millis // when the data centre last had that many
}

// memberCount returns the number of members of the local data centre. Growth counts
// immediately, a decrease after memberCountRetention.
func (p *shares) memberCount() int {
	count := max(len(p.r.members.live)+1, minMemberCount)
	if ranges := p.r.authority.localRanges; ranges != nil {
		count = max(count, len(named(ranges)))
	}
	if count >= p.memberPeak.members || p.r.now-p.memberPeak.at > memberCountRetention {
		p.memberPeak = memberPeak{members: count, at: p.r.now}
	}
	return p.memberPeak.members
}

// spendFloor spends a token of an account's floor and reports whether there was one.
// Floors are only spent while no issuer of the local data centre answers.
func (p *shares) spendFloor(t *accountTokens) bool {
	if !p.floors || p.r.now-t.issuerSeenUntil < issuerSilence {
		return false
	}
	share := t.plan.dataCentreShare(p.r.self.DataCentre()).total
	n := int64(p.memberCount())
	rate, burst := share.rate/n, max(share.burst*micro/n, minFloorBurst*micro)
	f := &t.floor
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

// refuse refuses a call for which no issuer granted a token, unless the account's
// floor has one. after is the time until the client may try again.
func (p *shares) refuse(call jackdawbridge.CallID, t *accountTokens, after jackdawbridge.Millis) {
	if p.spendFloor(t) {
		p.r.calls.tokenGranted(call)
		return
	}
	p.r.calls.tokenDenied(call, p.denialReason(t), after)
}
