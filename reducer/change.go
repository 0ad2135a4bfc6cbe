package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// firstDelay is how long the first record waits for members to meet.
	firstDelay = jackdawbridge.Second
	// firstStep is the additional delay for each rank.
	firstStep = 700 * jackdawbridge.Millis(1)
	// proposeDelay is how long a difference must last before it is written.
	proposeDelay = 300 * jackdawbridge.Millis(1)
	// rankStep is the additional delay for each rank, so that the lower ones
	// mostly find the change already written.
	rankStep = jackdawbridge.Second
	// completeDelay is the time after which others complete a pending change.
	completeDelay = jackdawbridge.Second
	// ackInterval is the time between two requests for acknowledgements.
	ackInterval = 250 * jackdawbridge.Millis(1)
	// blindLimit is how long a node that sees no majority of witnesses leaves
	// changes to others. It is most likely cut off itself.
	blindLimit = 60 * jackdawbridge.Second
	// minPause and maxPause bound the time between two proposals of a node.
	minPause = 2 * jackdawbridge.Second
	maxPause = 64 * jackdawbridge.Second
	// silentLimit is when no witness of the last settled epoch vouches any
	// more. Its margin covers a drift of 0.1% over two hours.
	silentLimit = witnessLimit + leaseTime + 8*jackdawbridge.Second
)

// change is a change of the range record that this node follows or makes.
type change struct {
	swapping *jackdawbridge.Ranges // written by the Swap that is out, nil if none is
	inDoubt  bool                  // a Swap may have taken effect; cleared by a read
	proposed uint64                // epoch of the last own proposal
	pause    jackdawbridge.Millis  // after the last own proposal
	resume   jackdawbridge.Millis  // when the next own proposal is due at the earliest
	differs  jackdawbridge.Millis  // since when the record differs from the plan; 0 if not
	blind    jackdawbridge.Millis  // since when no majority of witnesses is seen; 0 if one is

	seen     jackdawbridge.Millis // when the pending record became known
	check    jackdawbridge.Millis // when to look at the pending change again
	ask      jackdawbridge.Millis // when to ask for acknowledgements again
	acked    []jackdawbridge.Node // electors and former holders that acknowledged it
	majority jackdawbridge.Millis // since when a majority of electors is bound; 0 if not
}

// follow starts afresh with a new record.
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

// plan compares the record with the membership and writes a change when due.
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
		// Others add a member that they hear. One that adds itself although
		// nobody hears it would be removed again, over and over.
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

// hold spaces the proposals of this node, more widely when they are frequent.
func (c *change) hold(p *authority) {
	if p.r.now-c.resume > 2*maxPause {
		c.pause = 0
	}
	c.pause = min(max(2*c.pause, minPause), maxPause)
	c.resume = p.r.now + c.pause
}

// sees reports whether a majority of the witnesses is among the members or
// proven to have ended.
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

func (c *change) write(p *authority, version uint64, ranges *jackdawbridge.Ranges) {
	c.swapping = ranges
	p.r.fx.Log(jackdawbridge.PartAuthority, "writes range record").Str("state", stateName(ranges)).Int("epoch", int64(ranges.Epoch()))
	p.r.fx.Swap(p.name(), version, ranges, 0)
}

// completes reports whether this node completes the pending change.
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

// tick collects acknowledgements of the pending change and settles it.
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

// request asks the electors and the former holders for acknowledgements.
func (c *change) request(p *authority) {
	asked := slices.Clone(p.own.Electors())
	for i := range jackdawbridge.RangeCount {
		if h := p.own.Previous(i); moved(p.own, i) && !slices.Contains(asked, h) {
			asked = append(asked, h)
		}
	}
	for _, node := range asked {
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

// acknowledged takes the promise of an elector or a former holder.
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

// settleDue returns when the moved ranges may be used. With acknowledgements of
// a majority that is at once if every former holder ended or acknowledged, and
// after their votes have lapsed if not. An elector that ended gave votes until
// then. Without a majority, no witness vouches after silentLimit.
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

// vacated reports whether no former holder acts for a moved range.
func (c *change) vacated(p *authority) bool {
	for i := range jackdawbridge.RangeCount {
		h := p.own.Previous(i)
		if moved(p.own, i) && !p.ended(h) && !slices.Contains(c.acked, h) {
			return false
		}
	}
	return true
}
