package reducer

import (
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
	scanned    bool // a first read of every record has ended, with or without success
	assigned   int  // slot of the record that this node is responsible for, seedSlots if none
	foundOther bool // a record named another member of this data centre
	left       bool // this node exits and has requested the removal of its records
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
	s.assigned = seedSlots
	if s.scanned && p.hashRank < seedSlots {
		s.assigned = p.hashRank
	}
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
	for i := range s.slots {
		if !s.slots[i].pending {
			p.readSeed(i)
		}
	}
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

// seedLoaded handles the result of a read of a seed record. If the record names a
// member that this node has not learned of or counts as dead, it requests the full
// list from that member.
func (p *members) seedLoaded(e *jackdawbridge.StoreLoaded) {
	dc, number, ok := parseSeedName(e.Name())
	if !ok {
		return
	}
	seed, found := e.Record().Value().(*jackdawbridge.Seed)
	found = found && e.Status() == jackdawbridge.StoreOK
	if found && seed.Peer().DataCentre() != dc {
		p.r.fx.Warn(jackdawbridge.PartMember, "ignored a seed record that names a member of another data centre").Str("record", string(e.Name()))
		found = false
	}
	if dc != p.r.self.DataCentre() {
		if g := p.remote.follow(dc); g != nil && found {
			p.r.send(seed.Peer(), jackdawbridge.NewServiceMembersRequest(nil))
		}
		return
	}
	slot := &p.seeds.slots[number]
	slot.pending = false
	switch e.Status() {
	case jackdawbridge.StoreOK:
	case jackdawbridge.StoreInvalid:
		// Another program wrote it. It names no member, so a member claims the record.
		p.r.fx.Warn(jackdawbridge.PartMember, "seed record is unreadable and counts as vacant").Str("record", string(e.Name()))
	default:
		slot.valid = false
		p.checkScanned()
		return
	}
	slot.valid = true
	slot.version = e.Record().Version()
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
	for i := range p.seeds.slots {
		if p.seeds.slots[i].pending {
			return
		}
	}
	if p.seeds.scanned {
		return
	}
	p.seeds.scanned = true
	for i := range p.seeds.slots {
		p.seeds.slots[i].due = p.r.now
	}
}

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
