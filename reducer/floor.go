package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// issuerSilence is how long the issuers of the local data centre may leave
	// requests unanswered before a node uses its floor. It is longer than
	// maxRequestSends attempts at one issuer take.
	issuerSilence = 100 * jackdawbridge.Millis(1)
	// sizeRetention is how long a data centre that has shrunk still counts with its
	// former size. Members that are cut off are no longer seen but still use their
	// floors.
	sizeRetention = 60 * jackdawbridge.Second
	// minSize is the least size assumed for a data centre. A node that has not
	// found its peers yet must not use the whole share.
	minSize = 4
	// minFloorBurst is the least burst of a floor in tokens. Arrivals at one node
	// are few and uneven, so a smaller burst would refuse calls within the rate.
	minFloorBurst = 2
)

// floor is a token bucket that a node may spend without an issuer while no issuer of
// the local data centre answers. Its rate is the data centre's share of the account
// divided by the number of members, so that the floors of a data centre without an
// issuer add up to its share. If an issuer acts that some members cannot reach, the
// floors of those members come on top of the account's rate. Floors are therefore an
// option.
type floor struct {
	level int64                // micro-tokens
	at    jackdawbridge.Millis // when level was computed, 0 before the first use
}

// size is the number of members of the local data centre, as used for the floors.
type size struct {
	members int
	at      jackdawbridge.Millis // when the data centre last had that many
}

// memberCount returns the size of the local data centre. It follows growth at once,
// and a decrease after sizeRetention.
func (p *shares) memberCount() int {
	count := max(len(p.r.members.live)+1, minSize)
	if own := p.r.authority.localRanges; own != nil {
		count = max(count, len(named(own)))
	}
	if count >= p.size.members || p.r.now-p.size.at > sizeRetention {
		p.size = size{members: count, at: p.r.now}
	}
	return p.size.members
}

// spendFloor spends a token of an account's floor and reports whether it did. It
// does so only while no issuer of the local data centre answers.
func (p *shares) spendFloor(w *accountTokens) bool {
	if !p.floors || p.r.now-w.issuerSeenUntil < issuerSilence {
		return false
	}
	share := w.plan.dataCentreShare(p.r.self.DataCentre()).total
	n := int64(p.memberCount())
	rate, burst := share.rate/n, max(share.burst*micro/n, minFloorBurst*micro)
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

// refuse refuses a call for which no issuer granted a token, unless the account's
// floor has one. after is the time after which the client may try again.
func (p *shares) refuse(call jackdawbridge.CallID, w *accountTokens, after jackdawbridge.Millis) {
	if p.spendFloor(w) {
		p.r.calls.tokenGranted(call)
		return
	}
	p.r.calls.tokenDenied(call, p.denialReason(w), after)
}
