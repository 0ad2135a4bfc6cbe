package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// firstRecordDelay is the time from the start of the process to the write of the
	// first record. The members find each other in this time.
	firstRecordDelay = jackdawbridge.Second
	// firstRecordRankStep is the additional delay for each rank.
	firstRecordRankStep = 700 * jackdawbridge.Millis(1)
	// proposeDelay is the time from when the record no longer matches the members to
	// the write of a change.
	proposeDelay = 300 * jackdawbridge.Millis(1)
	// rankStep is the additional delay for each rank, so that members of higher rank
	// mostly find the change already written.
	rankStep = jackdawbridge.Second
	// completeDelay is the time after which members other than the writer complete a
	// pending change.
	completeDelay = jackdawbridge.Second
	// prepareInterval is the time between two rounds of PrepareRequests.
	prepareInterval = 250 * jackdawbridge.Millis(1)
	// noMajorityLimit is how long a node that sees no majority of witnesses leaves
	// changes to others. Such a node is most likely cut off itself.
	noMajorityLimit = 60 * jackdawbridge.Second
	// minProposalPause and maxProposalPause bound the time between two changes that a
	// node proposes.
	minProposalPause = 2 * jackdawbridge.Second
	maxProposalPause = 64 * jackdawbridge.Second
	// voteLimit is the time after which no vote of a witness of the last settled
	// epoch is valid any more. Its margin covers a clock drift of 0.1% over two hours.
	voteLimit = witnessLimit + leaseTime + 8*jackdawbridge.Second
)

// change is the state of changes of the range record. A change is written as a pending
// record, which moves ranges and names the witnesses of the last settled epoch as
// electors. Once no former holder can act for a moved range any more, the record is
// written again as settled.
type change struct {
	writing         *jackdawbridge.Ranges // written by the pending Swap, nil if there is none
	inDoubt         bool                  // whether a failed Swap may have taken effect; cleared by a read
	proposed        uint64                // epoch of the last change that this node proposed
	pause           jackdawbridge.Millis  // least time from this node's last proposal to its next
	resume          jackdawbridge.Millis  // when this node may propose again
	differsSince    jackdawbridge.Millis  // since when the record does not match the members; 0 if it matches
	noMajoritySince jackdawbridge.Millis  // since when seesMajority is false; 0 while it is true

	pendingSince  jackdawbridge.Millis // when the pending record was adopted
	check         jackdawbridge.Millis // when to check the pending change again
	nextPrepare   jackdawbridge.Millis // when to send PrepareRequests again
	promised      []jackdawbridge.Node // electors and former holders that sent a Promise
	majoritySince jackdawbridge.Millis // since when a majority of electors has promised or exited; 0 if none has
}

// follow resets the state for a newly adopted record.
func (c *change) follow(p *authority, ranges *jackdawbridge.Ranges) {
	c.differsSince = 0
	if !ranges.Pending() {
		return
	}
	c.pendingSince, c.majoritySince = p.r.now, 0
	c.promised = c.promised[:0]
	c.check, c.nextPrepare = p.r.now, p.r.now
	if c.proposed != ranges.Epoch() && !p.releasing {
		c.check = p.r.now + completeDelay + rankStep*jackdawbridge.Millis(p.rank)
	}
}

// propose compares the record with the assignment computed from the members, and
// writes a change when the two have differed for long enough.
func (c *change) propose(p *authority, members []jackdawbridge.Peer) {
	leaver := p.releasing && p.localRanges != nil && p.isNamed()
	if c.writing != nil || c.inDoubt || len(members) == 0 || p.rank >= readers && !leaver {
		return
	}
	if p.localRanges == nil {
		due := p.r.started + firstRecordDelay + firstRecordRankStep*jackdawbridge.Millis(p.rank)
		due = max(due, p.r.eras.absenceProvenAt())
		if p.absent && p.r.now >= due && !p.releasing {
			c.write(p, 0, jackdawbridge.NewRanges(1, assignRanges(members), chooseWitnesses(members, nil, p.self())))
		} else if p.absent {
			p.due = min(p.due, max(due, p.r.now+1))
		}
		return
	}
	if p.localRanges.Pending() {
		return
	}
	if len(members) > 1 && !p.isNamed() {
		// Other nodes add this node if they see it. If it added itself although no
		// other node sees it, the others would remove it again and again.
		members = slices.DeleteFunc(members, func(m jackdawbridge.Peer) bool { return m.Node() == p.self() })
	}
	holders, witnesses := assignRanges(members), chooseWitnesses(members, p.localRanges.Witnesses(), p.self())
	if holders == p.localRanges.Holders() && sameSet(witnesses, p.localRanges.Witnesses()) {
		c.differsSince = 0
		return
	}
	if c.differsSince == 0 {
		c.differsSince = p.r.now
	}
	due := c.differsSince
	if !leaver {
		due = max(c.differsSince+proposeDelay+rankStep*jackdawbridge.Millis(p.rank), c.resume)
	}
	if !c.seesMajority(p) {
		due = max(due, c.noMajoritySince+noMajorityLimit)
	}
	if p.r.now < due {
		p.due = min(p.due, due)
		return
	}
	c.backOff(p)
	c.proposed = p.localRanges.Epoch() + 1
	c.write(p, p.version, p.localRanges.Next(holders, witnesses))
}

// backOff sets when this node may propose again. The pause doubles with each
// proposal, and returns to minProposalPause if the last pause ended more than
// 2*maxProposalPause ago.
func (c *change) backOff(p *authority) {
	if p.r.now-c.resume > 2*maxProposalPause {
		c.pause = 0
	}
	c.pause = min(max(2*c.pause, minProposalPause), maxProposalPause)
	c.resume = p.r.now + c.pause
}

// seesMajority reports whether a majority of the witnesses is live or proven to have
// exited, and updates noMajoritySince accordingly.
func (c *change) seesMajority(p *authority) bool {
	n := 0
	for _, w := range p.localRanges.Witnesses() {
		peer, ok := p.r.livePeer(w.Instance())
		if ok && peer.Node() == w || p.exited(w) {
			n++
		}
	}
	if n > len(p.localRanges.Witnesses())/2 {
		c.noMajoritySince = 0
		return true
	}
	if c.noMajoritySince == 0 {
		c.noMajoritySince = p.r.now
	}
	return false
}

// write starts a write of the record to the platform, conditional on the platform's
// record having the given version.
func (c *change) write(p *authority, version uint64, ranges *jackdawbridge.Ranges) {
	c.writing = ranges
	p.r.fx.Log(jackdawbridge.PartAuthority, "writing the range record to the platform").Str("state", stateName(ranges)).Int("epoch", int64(ranges.Epoch()))
	p.r.fx.Swap(p.name(), version, ranges, 0)
}

// completes reports whether a change is pending and this node is to complete it.
func (c *change) completes(p *authority) bool {
	if p.localRanges == nil || !p.localRanges.Pending() || p.stopped {
		return false
	}
	return p.rank < readers || c.proposed == p.localRanges.Epoch() || p.releasing
}

func (c *change) wake(p *authority) jackdawbridge.Millis {
	if !c.completes(p) || c.writing != nil || c.inDoubt || p.restore.needed {
		return never
	}
	return max(c.check, p.restore.quietUntil)
}

// tick collects promises for the pending change and settles it when it is due.
func (c *change) tick(p *authority) {
	if !c.completes(p) || c.writing != nil || c.inDoubt || p.restore.needed || p.quiet() || p.r.now < c.check {
		return
	}
	if p.r.now >= c.nextPrepare {
		c.nextPrepare = p.r.now + prepareInterval
		c.prepare(p)
	}
	due := c.settleDue(p)
	if p.r.now >= due {
		c.check = p.r.now + storeRetry
		c.write(p, p.version, p.localRanges.Settle())
		return
	}
	c.check = min(c.nextPrepare, due)
}

// prepare sends a PrepareRequest to each elector and each former holder of a moved
// range that has neither promised nor exited.
func (c *change) prepare(p *authority) {
	recipients := slices.Clone(p.localRanges.Electors())
	for i := range jackdawbridge.RangeCount {
		if h := p.localRanges.PreviousHolder(i); moved(p.localRanges, i) && !slices.Contains(recipients, h) {
			recipients = append(recipients, h)
		}
	}
	for _, node := range recipients {
		if p.exited(node) || slices.Contains(c.promised, node) {
			continue
		}
		if node == p.self() {
			if p.canPromise(p.localRanges.Epoch()) {
				c.promised = append(c.promised, node)
			}
			continue
		}
		if peer, ok := p.r.livePeer(node.Instance()); ok && peer.Node() == node {
			p.r.send(peer, jackdawbridge.NewPrepareRequest(p.r.self.DataCentre(), p.version, p.localRanges))
		}
	}
}

// promiseReceived records the promise of an elector or a former holder.
func (p *authority) promiseReceived(from jackdawbridge.Peer, m *jackdawbridge.Promise) {
	c := &p.change
	if p.localRanges == nil || !p.localRanges.Pending() || m.Epoch() < p.localRanges.Epoch() || from.DataCentre() != p.r.self.DataCentre() {
		return
	}
	if slices.Contains(c.promised, from.Node()) || len(c.promised) > jackdawbridge.RangeCount+maxWitnesses {
		return
	}
	c.promised = append(c.promised, from.Node())
	if c.proposed == p.localRanges.Epoch() || p.releasing {
		c.check = p.r.now
	}
}

// settleDue returns when the pending change may be settled, that is, when the new
// holders may act for the moved ranges. With promises of a majority of the electors
// that is immediately if every former holder has promised or exited. Otherwise it is
// when the electors' last votes have expired, counted from the moment at which a
// majority of them had promised or exited, since an elector that exited may have
// voted until then. Without a majority it is after voteLimit, when no vote is valid
// any more.
func (c *change) settleDue(p *authority) jackdawbridge.Millis {
	promised, promisedOrExited := 0, 0
	for _, e := range p.localRanges.Electors() {
		if slices.Contains(c.promised, e) {
			promised++
			promisedOrExited++
		} else if p.exited(e) {
			promisedOrExited++
		}
	}
	majority := len(p.localRanges.Electors())/2 + 1
	if promised >= majority && c.vacated(p) {
		return p.r.now
	}
	if promisedOrExited >= majority && c.majoritySince == 0 {
		c.majoritySince = p.r.now
	}
	if c.majoritySince != 0 {
		return c.majoritySince + leaseTime + leaseMargin
	}
	return c.pendingSince + voteLimit
}

// vacated reports whether every former holder of a moved range has promised not to
// act for the range or has exited.
func (c *change) vacated(p *authority) bool {
	for i := range jackdawbridge.RangeCount {
		h := p.localRanges.PreviousHolder(i)
		if moved(p.localRanges, i) && !p.exited(h) && !slices.Contains(c.promised, h) {
			return false
		}
	}
	return true
}
