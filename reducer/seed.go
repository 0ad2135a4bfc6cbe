package reducer

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// seedSlots is the number of seed records of a data centre.
	seedSlots = 3
	// seedLease is the time from the last renewal of a seed record to its expiry.
	seedLease = 30 * jackdawbridge.Second
	// seedRenewal is the time between two renewals. Two in a row may fail before
	// the record expires.
	seedRenewal = 10 * jackdawbridge.Second
	// seedCheck is the mean time between two reads of a record by the member that is
	// responsible for it, while another member holds it. If that holder is dead, the
	// responsible member replaces it.
	seedCheck = 15 * jackdawbridge.Second
	// claimSpread is the time over which the nodes of a data centre without a seed record
	// spread their first claims. All of them find no record when they start together,
	// and those that join through the first record need not claim one.
	claimSpread = jackdawbridge.Second
	// assignedWait is how long a node waits before it reads a record that it has become
	// responsible for. Its rank falls while it learns of the other members.
	assignedWait = 200 * jackdawbridge.Millis(1)
	// joinGrace is how long a node that has just started leaves calls to the platform to
	// others that only a few members make.
	joinGrace = jackdawbridge.Second
	// maxJoinWait bounds the mean time between two attempts to join by a node that
	// has no other members. 2,200 such nodes make 330 reads a second.
	maxJoinWait = 20 * jackdawbridge.Second
)

func seedName(dc jackdawbridge.DataCentre, slot int) jackdawbridge.RecordName {
	return jackdawbridge.SeedsPrefix + jackdawbridge.RecordName(dc) + "/" + jackdawbridge.RecordName(strconv.Itoa(slot))
}

// parseSeedName returns the data centre and the slot of a seed record, and whether
// the name has a valid slot.
func parseSeedName(name jackdawbridge.RecordName) (jackdawbridge.DataCentre, int, bool) {
	rest := strings.TrimPrefix(string(name), string(jackdawbridge.SeedsPrefix))
	dc, number, _ := strings.Cut(rest, "/")
	slot, err := strconv.Atoi(number)
	return jackdawbridge.DataCentre(dc), slot, err == nil && slot >= 0 && slot < seedSlots
}

// seedSlot is one seed record of this data centre as last read.
type seedSlot struct {
	pending bool                 // a Load or Swap of the record is pending
	valid   bool                 // the last Load or Swap succeeded, so version and holder are valid
	version uint64               // version of the record at the platform
	holder  jackdawbridge.Node   // member that the record names, zero if there is no valid record
	due     jackdawbridge.Millis // time of the next read or write
}

// seeds holds the state of joining the other members, and of the seed records
// through which new nodes find members.
type seeds struct {
	joins      []jackdawbridge.Peer // peers to join, from the process options
	due        jackdawbridge.Millis // time of the next attempt to join, while there are no other members
	wait       jackdawbridge.Millis // mean time from the next attempt to the one after it
	slots      [seedSlots]seedSlot
	scanning   bool                 // a Scan is pending
	scanSent   jackdawbridge.Millis // when the last Scan was sent
	scanned    bool                 // a first read of every record has ended, with or without success
	assigned   int                  // slot of the record that this node is responsible for, seedSlots if none
	foundOther bool                 // a record named another member of this data centre
	left       bool                 // this node exits and has requested the removal of its records
}

func newSeeds(joins []jackdawbridge.Peer) seeds {
	return seeds{joins: joins, assigned: seedSlots, wait: jackdawbridge.Second / 2}
}

func (s *seeds) wake() jackdawbridge.Millis {
	wake := s.due
	for i := range s.slots {
		if !s.slots[i].pending && (i == s.assigned || s.slots[i].valid && !s.slots[i].holder.IsZero()) {
			wake = min(wake, s.slots[i].due)
		}
	}
	return wake
}

// eraBegan handles a return of the store from an older copy, which may have lost the seed
// records. The members that hold or are responsible for one read it again, and claim it if
// it is gone.
func (p *members) eraBegan() {
	for i := range p.seeds.slots {
		slot := &p.seeds.slots[i]
		slot.valid = false
		slot.due = p.r.now + jackdawbridge.Millis(p.draw(int(eraSpread)))
	}
}

// holdsSeed reports whether a seed record names this node.
func (p *members) holdsSeed(slot *seedSlot) bool { return slot.valid && slot.holder == p.r.self.Node() }

// tickSeeds joins while there are no other members, and maintains seed records. The
// seedSlots members whose instance names have the lowest hashes are responsible for
// one record each, and claim it if it has no live holder. A holder renews its
// record until the node begins to stop.
func (p *members) tickSeeds() {
	s := &p.seeds
	if s.left || p.r.drain.stopping {
		s.due, s.assigned = never, seedSlots
		return
	}
	p.join()
	assigned := seedSlots
	if s.scanned && p.hashRank < seedSlots {
		assigned = p.hashRank
	}
	if assigned != s.assigned && assigned < seedSlots && !s.slots[assigned].valid && len(p.live) > 0 {
		s.slots[assigned].due = p.r.now + assignedWait
	}
	s.assigned = assigned
	for i := range s.slots {
		slot := &s.slots[i]
		if slot.pending || p.r.now < slot.due || i != s.assigned && !p.holdsSeed(slot) {
			// While the record concerns only other members, due stays seedCheck ahead. A
			// node that becomes responsible for the record waits that long before it
			// reads the record.
			if i != s.assigned && !p.holdsSeed(slot) {
				slot.due = p.r.now + seedCheck
			}
			continue
		}
		slot.due = p.r.now + p.jitter(seedCheck)
		switch {
		case p.holdsSeed(slot) || slot.valid && p.vacant(slot.holder):
			p.writeSeed(i)
		default:
			p.readSeed(i)
		}
	}
}

// join requests full lists from the configured peers and from failed members, and
// reads the seed records, while there are no other members. Once this node is ready
// to serve, the time between two attempts doubles up to maxJoinWait.
func (p *members) join() {
	s := &p.seeds
	if !p.r.settings.ready() {
		s.wait = jackdawbridge.Second / 2
	}
	if p.size() > 1 {
		s.due, s.wait = p.r.now+maxJoinWait, jackdawbridge.Second/2
		return
	}
	if p.r.now < s.due {
		return
	}
	s.due = p.r.now + p.jitter(s.wait)
	s.wait = min(s.wait*2, maxJoinWait)
	for _, peer := range s.joins {
		p.r.send(peer, jackdawbridge.NewMembersRequest())
	}
	for _, m := range p.sample(p.failed, seedSlots, nil) {
		p.r.send(m.peer, jackdawbridge.NewMembersRequest())
	}
	p.scanSeeds()
}

// scanSeeds reads the seed records of all data centres in one call.
func (p *members) scanSeeds() {
	if p.seeds.scanning {
		return
	}
	p.seeds.scanning, p.seeds.scanSent = true, p.r.now
	p.r.fx.Scan(jackdawbridge.SeedsPrefix)
}

// seedsScanned handles the result of a scan. Of each other data centre of which this
// node knows no member, it requests the members from one holder.
func (p *members) seedsScanned(e *jackdawbridge.StoreScanned) {
	read := make(map[jackdawbridge.RecordName]jackdawbridge.Record)
	remote := make(map[jackdawbridge.DataCentre][]jackdawbridge.Peer)
	for _, record := range e.Records() {
		dc, _, ok := parseSeedName(record.Name())
		seed, found := record.Value().(*jackdawbridge.Seed)
		switch {
		case !ok:
		case dc == p.r.self.DataCentre():
			read[record.Name()] = record
		case found && seed.Peer().DataCentre() == dc:
			remote[dc] = append(remote[dc], seed.Peer())
		}
	}
	for i := range p.seeds.slots {
		if p.seeds.slots[i].pending {
			continue // a later call will tell
		}
		name, status := seedName(p.r.self.DataCentre(), i), e.Status()
		record, ok := read[name]
		if status == jackdawbridge.StoreOK && ok && record.Value() == nil {
			status = jackdawbridge.StoreInvalid
		}
		p.seedRead(name, status, record)
	}
	for _, dc := range slices.Sorted(maps.Keys(remote)) {
		if g := p.remote.follow(dc); g != nil && len(g.list) == 0 {
			p.r.send(remote[dc][g.nextHolder%len(remote[dc])], jackdawbridge.NewServiceMembersRequest(nil))
			g.nextHolder++
		}
	}
	p.seeds.scanning = false
	p.checkScanned()
}

func (p *members) readSeed(i int) {
	p.seeds.slots[i].pending = true
	p.r.fx.Load(seedName(p.r.self.DataCentre(), i))
}

func (p *members) writeSeed(i int) {
	slot := &p.seeds.slots[i]
	slot.pending = true
	slot.due = p.r.now + seedRenewal
	p.r.fx.Swap(seedName(p.r.self.DataCentre(), i), slot.version, jackdawbridge.NewSeed(p.r.self), seedLease)
}

// vacant reports whether this node may claim a seed record with the given holder:
// there is no holder, it is dead, or a newer process has its instance name.
func (p *members) vacant(holder jackdawbridge.Node) bool {
	if holder.IsZero() {
		return true
	}
	if holder.Instance() == p.r.self.Node().Instance() {
		return holder.Incarnation() < p.r.self.Node().Incarnation()
	}
	m, ok := p.known[holder.Instance()]
	return ok && (m.peer.Node().Incarnation() > holder.Incarnation() || m.peer.Node() == holder && !m.live())
}

// seedLoaded handles the result of a read of one seed record of this data centre.
func (p *members) seedLoaded(e *jackdawbridge.StoreLoaded) {
	if dc, _, ok := parseSeedName(e.Name()); ok && dc == p.r.self.DataCentre() {
		p.seedRead(e.Name(), e.Status(), e.Record())
	}
}

// seedRead records what a seed record of this data centre holds. If the record names a
// member that this node has not learned of or counts as dead, it requests the full list
// from that member.
func (p *members) seedRead(name jackdawbridge.RecordName, status jackdawbridge.StoreStatus, record jackdawbridge.Record) {
	_, number, _ := parseSeedName(name)
	seed, found := record.Value().(*jackdawbridge.Seed)
	found = found && status == jackdawbridge.StoreOK
	if found && seed.Peer().DataCentre() != p.r.self.DataCentre() {
		p.r.fx.Warn(jackdawbridge.PartMember, "ignored a seed record that names a member of another data centre").Str("record", string(name))
		found = false
	}
	slot := &p.seeds.slots[number]
	slot.pending = false
	switch status {
	case jackdawbridge.StoreOK:
	case jackdawbridge.StoreInvalid:
		// Another program wrote it. It names no member, so a member claims the record.
		p.r.fx.Warn(jackdawbridge.PartMember, "seed record is unreadable and counts as vacant").Str("record", string(name))
	default:
		slot.valid = false
		p.checkScanned()
		return
	}
	slot.valid = true
	slot.version = record.Version()
	slot.holder = jackdawbridge.Node{}
	if found {
		slot.holder = seed.Peer().Node()
	}
	p.checkScanned()
	if number == p.seeds.assigned && p.vacant(slot.holder) {
		slot.due = p.r.now
	}
	other := found && seed.Peer().Node().Instance() != p.r.self.Node().Instance()
	p.seeds.foundOther = p.seeds.foundOther || other
	if other && !p.alive(seed.Peer().Node()) {
		p.r.send(seed.Peer(), jackdawbridge.NewMembersRequest())
	}
}

// checkScanned records that the first reads of all seed records have ended. From
// then on this node may claim one.
func (p *members) checkScanned() {
	if p.seeds.scanning {
		return
	}
	for i := range p.seeds.slots {
		if p.seeds.slots[i].pending {
			return
		}
	}
	if p.seeds.scanned {
		return
	}
	p.seeds.scanned = true
	delay := jackdawbridge.Millis(hashOf(string(p.r.self.Node().Instance()), purposeShard) % uint64(claimSpread))
	for i := range p.seeds.slots {
		slot := &p.seeds.slots[i]
		slot.due = p.r.now
		if slot.valid && slot.holder.IsZero() {
			slot.due, slot.valid = p.r.now+delay, false // read again before the claim
			p.seeds.due = max(p.seeds.due, p.r.now+claimSpread)
		}
	}
}

// starting reports whether this node may not have found the other members yet, so that
// its rank among them means nothing.
func (p *members) starting() bool { return p.r.now-p.r.started < joinGrace }

// seedSwapped handles the result of a claim, a renewal or a removal. After a
// failure the record is read again, since the change may have taken effect.
func (p *members) seedSwapped(e *jackdawbridge.StoreSwapped) {
	_, number, ok := parseSeedName(e.Name())
	if !ok {
		return
	}
	slot := &p.seeds.slots[number]
	slot.pending = false
	if e.Status() != jackdawbridge.StoreOK {
		slot.valid = false
		slot.due = p.r.now + p.jitter(storeRetry)
		return
	}
	slot.valid = true
	slot.version = e.Version()
	slot.holder = p.r.self.Node()
	slot.due = p.r.now + seedRenewal
}

// removeSeeds deletes the seed records that this node holds before the node exits.
func (p *members) removeSeeds() {
	p.seeds.left = true
	for i := range p.seeds.slots {
		if slot := &p.seeds.slots[i]; p.holdsSeed(slot) && !slot.pending {
			slot.pending = true
			p.r.fx.Swap(seedName(p.r.self.DataCentre(), i), slot.version, nil, 0)
		}
	}
}
