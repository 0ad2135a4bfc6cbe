package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// restore writes the range record again when the store came back from an older copy. A
// holder acts under the votes of the witnesses and not by the record in the store, so that
// it goes on meanwhile. What must not happen is a change over an older record: it could
// settle another assignment under an epoch that was in use before. Therefore:
//
//   - No node changes the record in the first eraQuiet after a return, in which the newest
//     record of any member spreads.
//   - A node that reads an older record than its own, or another one of the same epoch,
//     writes its own over it, before any change. The lowest rank writes first.
//   - A node promises no record of an epoch of which it has another one.
type restore struct {
	quietUntil jackdawbridge.Millis // no change of the record before this time
	needed     bool                 // the store has an older record than this node, at authority.version
}

// sameRanges reports whether two records of one epoch assign the ranges in the same way.
// One of them may be pending and the other settled.
func sameRanges(a, b *jackdawbridge.Ranges) bool {
	return a.Epoch() == b.Epoch() && a.Holders() == b.Holders() && slices.Equal(a.Witnesses(), b.Witnesses())
}

// eraBegan handles a return of the store from an older copy. The members that change the
// record read it again one after the other.
func (p *authority) eraBegan() {
	p.restore = restore{quietUntil: p.r.now + eraQuiet}
	p.absent = false
	p.change.inDoubt = p.change.inDoubt || p.change.writing != nil
	if p.rank < readers {
		p.nextRead = min(p.nextRead, p.r.now+eraSpread*jackdawbridge.Millis(p.rank+1)/readers)
	}
}

// quiet reports whether the record must not be changed, because the store came back a
// moment ago.
func (p *authority) quiet() bool { return p.r.now < p.restore.quietUntil }

// compareStored compares a record that the store has with that of this node, which is at
// least as new, and notes whether it must be written again.
func (p *authority) compareStored(ranges *jackdawbridge.Ranges, version uint64) {
	p.version = version
	p.restore.needed = ranges == nil || progress(ranges) < progress(p.localRanges) || !sameRanges(ranges, p.localRanges)
	if p.restore.needed {
		p.due = p.r.now
	}
}

// rewrite writes this node's record over an older one in the store, when it is this node's
// turn. It reports whether changes must wait for that.
func (p *authority) rewrite() bool {
	if !p.restore.needed || p.rank >= readers || p.change.writing != nil || p.change.inDoubt {
		return p.restore.needed
	}
	due := p.restore.quietUntil + rankStep*jackdawbridge.Millis(p.rank)
	if !p.change.seesMajority(p) {
		due = max(due, p.change.noMajoritySince+noMajorityLimit)
	}
	if p.r.now < due {
		p.due = min(p.due, due)
		return true
	}
	p.restore.needed = false
	p.r.fx.Warn(jackdawbridge.PartAuthority, "the store has an older range record, writing the newest one again").Int("epoch", int64(p.localRanges.Epoch()))
	p.change.write(p, p.version, p.localRanges)
	return true
}
