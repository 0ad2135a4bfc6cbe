package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// firstRecordDelay is the time from the start of the process to the write of the
	// first record, in which the members find each other.
	firstDelay = jackdawbridge.Second
	// firstRecordRankStep is the additional delay for each rank.
	firstStep = 700 * jackdawbridge.Millis(1)
	// proposeDelay is how long the members must differ from the record before a
	// change of the record is written.
	proposeDelay = 300 * jackdawbridge.Millis(1)
	// rankStep is the additional delay for each rank, so that members further down
	// mostly find the change already written.
	rankStep = jackdawbridge.Second
	// completeDelay is the time after which members other than the writer complete a
	// pending change.
	completeDelay = jackdawbridge.Second
	// prepareInterval is the time between two rounds of PrepareRequests.
	ackInterval = 250 * jackdawbridge.Millis(1)
	// noMajorityLimit is how long a node that sees no majority of witnesses leaves
	// changes to others. It is most likely cut off itself.
	blindLimit = 60 * jackdawbridge.Second
	// minProposalPause and maxProposalPause bound the time between two changes that a
	// node proposes.
	minPause = 2 * jackdawbridge.Second
	maxPause = 64 * jackdawbridge.Second
	// voteLimit is the time after which no vote of a witness of the last settled
	// epoch is valid any more. Its margin covers a clock drift of 0.1% over two hours.
	silentLimit = witnessLimit + leaseTime + 8*jackdawbridge.Second
)

// change is the state of changes of the range record. A change is written as a pending
// record, which moves ranges and names the witnesses of the last settled epoch as
// electors. Once no former holder can act for a moved range any more, the record is
// written again as settled.
type change struct {
	swapping *jackdawbridge.Ranges // written by the pending Swap, nil if there is none
	inDoubt  bool                  // a Swap may have taken effect; cleared by a read
	proposed uint64                // epoch of the last change that this node proposed
	pause    jackdawbridge.Millis  // least time between the last proposal and the next
	resume   jackdawbridge.Millis  // when this node may propose again
	differs  jackdawbridge.Millis  // since when the record differs from the wanted one; 0 if it does not
	blind    jackdawbridge.Millis  // since when no majority of witnesses is seen; 0 if one is

	seen     jackdawbridge.Millis // when the pending record was adopted
	check    jackdawbridge.Millis // when to check the pending change again
	ask      jackdawbridge.Millis // when to send PrepareRequests again
	acked    []jackdawbridge.Node // electors and former holders that sent a Promise
	majority jackdawbridge.Millis // since when a majority of electors has promised or ended; 0 if none has
}

// follow resets the state for a newly adopted record.
func (c *change) follow(p *authority, ranges *jackdawbridge.Ranges) {
	c.differs = 0
	if !ranges.Pending() {
		return
	}
	c.seen, c.majority = p.r.now, 0
	c.acked = c.acked[:0]
	c.check, c.ask = p.r.now, p.r.now
	if c.proposed != ranges.Epoch() && !p.releasing {
		c.check = p.r.now + completeDelay + rankStep*jackdawbridge.Millis(p.rank)
	}
}

// plan compares the record with the one that the members call for, and writes a
// change when the two have differed for long enough.
func (c *change) plan(p *authority, members []jackdawbridge.Peer) {
	leaver := p.releasing && p.own != nil && p.isNamed()
	if c.swapping != nil || c.inDoubt || len(members) == 0 || p.rank >= readers && !leaver {
		return
	}
	if p.own == nil {
		due := p.started + firstDelay + firstStep*jackdawbridge.Millis(p.rank)
		if p.absent && p.r.now >= due && !p.releasing {
			c.write(p, 0, jackdawbridge.NewRanges(1, assign(members), elect(members, nil, p.self())))
		} else if p.absent {
			p.due = min(p.due, max(due, p.r.now+1))
		}
		return
	}
	if p.own.Pending() {
		return
	}
	if len(members) > 1 && !p.isNamed() {
		// Other nodes add this one if they see it. If it added itself although no
		// other node sees it, the others would remove it again, over and over.
		members = slices.DeleteFunc(members, func(m jackdawbridge.Peer) bool { return m.Node() == p.self() })
	}
	holders, witnesses := assign(members), elect(members, p.own.Witnesses(), p.self())
	if holders == p.own.Holders() && sameSet(witnesses, p.own.Witnesses()) {
		c.differs = 0
		return
	}
	if c.differs == 0 {
		c.differs = p.r.now
	}
	due := c.differs
	if !leaver {
		due = max(c.differs+proposeDelay+rankStep*jackdawbridge.Millis(p.rank), c.resume)
	}
	if !c.sees(p) {
		due = max(due, c.blind+blindLimit)
	}
	if p.r.now < due {
		p.due = min(p.due, due)
		return
	}
	c.hold(p)
	c.proposed = p.own.Epoch() + 1
	c.write(p, p.version, p.own.Next(holders, witnesses))
}

// backOff sets when this node may propose again. The pause doubles with each proposal
// and starts anew after a time without any.
func (c *change) hold(p *authority) {
	if p.r.now-c.resume > 2*maxPause {
		c.pause = 0
	}
	c.pause = min(max(2*c.pause, minPause), maxPause)
	c.resume = p.r.now + c.pause
}

// seesMajority reports whether a majority of the witnesses is live or proven to have
// ended.
func (c *change) sees(p *authority) bool {
	n := 0
	for _, w := range p.own.Witnesses() {
		peer, ok := p.r.located(w.Instance())
		if ok && peer.Node() == w || p.ended(w) {
			n++
		}
	}
	if n > len(p.own.Witnesses())/2 {
		c.blind = 0
		return true
	}
	if c.blind == 0 {
		c.blind = p.r.now
	}
	return false
}

// write starts a write of the record to the platform, which must have the given version.
func (c *change) write(p *authority, version uint64, ranges *jackdawbridge.Ranges) {
	c.swapping = ranges
	p.r.fx.Log(jackdawbridge.PartAuthority, "writing the range record to the platform").Str("state", stateName(ranges)).Int("epoch", int64(ranges.Epoch()))
	p.r.fx.Swap(p.name(), version, ranges, 0)
}

// completes reports whether a change is pending and this node is to complete it.
func (c *change) completes(p *authority) bool {
	if p.own == nil || !p.own.Pending() || p.stopped {
		return false
	}
	return p.rank < readers || c.proposed == p.own.Epoch() || p.releasing
}

func (c *change) wake(p *authority) jackdawbridge.Millis {
	if !c.completes(p) || c.swapping != nil || c.inDoubt {
		return never
	}
	return c.check
}

// tick collects promises for the pending change and settles it when it is due.
func (c *change) tick(p *authority) {
	if !c.completes(p) || c.swapping != nil || c.inDoubt || p.r.now < c.check {
		return
	}
	if p.r.now >= c.ask {
		c.ask = p.r.now + ackInterval
		c.request(p)
	}
	due := c.settleDue(p)
	if p.r.now >= due {
		c.check = p.r.now + storeRetry
		c.write(p, p.version, p.own.Settle())
		return
	}
	c.check = min(c.ask, due)
}

// prepare sends a PrepareRequest to each elector and each former holder of a moved
// range that has neither promised nor ended.
func (c *change) request(p *authority) {
	recipients := slices.Clone(p.own.Electors())
	for i := range jackdawbridge.RangeCount {
		if h := p.own.Previous(i); moved(p.own, i) && !slices.Contains(recipients, h) {
			recipients = append(recipients, h)
		}
	}
	for _, node := range recipients {
		if p.ended(node) || slices.Contains(c.acked, node) {
			continue
		}
		if node == p.self() {
			if p.promises(p.own.Epoch()) {
				c.acked = append(c.acked, node)
			}
			continue
		}
		if peer, ok := p.r.located(node.Instance()); ok && peer.Node() == node {
			p.r.send(peer, jackdawbridge.NewAcknowledge(p.r.self.DataCentre(), p.version, p.own))
		}
	}
}

// promiseReceived records the promise of an elector or a former holder.
func (p *authority) acknowledged(from jackdawbridge.Peer, m *jackdawbridge.Acknowledged) {
	c := &p.change
	if p.own == nil || !p.own.Pending() || m.Epoch() < p.own.Epoch() || from.DataCentre() != p.r.self.DataCentre() {
		return
	}
	if slices.Contains(c.acked, from.Node()) || len(c.acked) > jackdawbridge.RangeCount+maxWitnesses {
		return
	}
	c.acked = append(c.acked, from.Node())
	if c.proposed == p.own.Epoch() || p.releasing {
		c.check = p.r.now
	}
}

// settleDue returns when the pending change may be settled, that is, when the new
// holders may act for the moved ranges. With promises of a majority of the electors
// that is at once if every former holder has promised or ended. Otherwise it is when
// the electors' last votes have expired, counted from the moment at which a majority
// of them had promised or ended, since an elector that ended may have voted until
// then. Without a majority it is after voteLimit, when no witness votes any more.
func (c *change) settleDue(p *authority) jackdawbridge.Millis {
	acked, bound := 0, 0
	for _, e := range p.own.Electors() {
		if slices.Contains(c.acked, e) {
			acked++
			bound++
		} else if p.ended(e) {
			bound++
		}
	}
	need := len(p.own.Electors())/2 + 1
	if acked >= need && c.vacated(p) {
		return p.r.now
	}
	if bound >= need && c.majority == 0 {
		c.majority = p.r.now
	}
	if c.majority != 0 {
		return c.majority + leaseTime + leaseMargin
	}
	return c.seen + silentLimit
}

// vacated reports whether every former holder of a moved range has promised not to
// act for it or has ended.
func (c *change) vacated(p *authority) bool {
	for i := range jackdawbridge.RangeCount {
		h := p.own.Previous(i)
		if moved(p.own, i) && !p.ended(h) && !slices.Contains(c.acked, h) {
			return false
		}
	}
	return true
}
