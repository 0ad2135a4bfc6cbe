package reducer

import (
	"strconv"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// seedSlots is the number of seed records of a data centre.
	seedSlots = 3
	// seedLease is how long a seed record outlives its last renewal.
	seedLease = 30 * jackdawbridge.Second
	// seedRenewal is the time between two renewals: two may fail.
	seedRenewal = 10 * jackdawbridge.Second
	// seedCheck is the mean time between two reads of a record that another
	// member holds, by the member that replaces the holder.
	seedCheck = 15 * jackdawbridge.Second
	// maxJoinWait bounds the time between two attempts of a node that knows no
	// other member. 2,200 lone nodes make 330 reads a second then.
	maxJoinWait = 20 * jackdawbridge.Second
)

// seedName returns the name of a seed record.
func seedName(dc jackdawbridge.DataCentre, slot int) jackdawbridge.RecordName {
	return jackdawbridge.SeedsPrefix + jackdawbridge.RecordName(dc) + "/" + jackdawbridge.RecordName(strconv.Itoa(slot))
}

// parseSeedName returns the data centre and the number of a seed record.
func parseSeedName(name jackdawbridge.RecordName) (jackdawbridge.DataCentre, int, bool) {
	rest := strings.TrimPrefix(string(name), string(jackdawbridge.SeedsPrefix))
	dc, number, _ := strings.Cut(rest, "/")
	slot, err := strconv.Atoi(number)
	return jackdawbridge.DataCentre(dc), slot, err == nil && slot >= 0 && slot < seedSlots
}

// seedSlot is one seed record of the own data centre as last read.
type seedSlot struct {
	busy    bool // a call to the platform is out
	read    bool // the rest is known
	version uint64
	holder  jackdawbridge.Node // zero when there is no record
	due     jackdawbridge.Millis
}

// seeds holds what this node needs to find the first members and to be found.
type seeds struct {
	joins   []jackdawbridge.Peer
	due     jackdawbridge.Millis // of the next attempt to join, while no member is known
	wait    jackdawbridge.Millis // before the attempt after that
	slots   [seedSlots]seedSlot
	looked  bool // every record was read once, or the platform gave no answer
	claimed int  // the slot that this node sees to, seedSlots if none
	found   bool // a record names another member of the own data centre
	left    bool // the node ends
}

func newSeeds(joins []jackdawbridge.Peer) seeds {
	return seeds{joins: joins, claimed: seedSlots, wait: jackdawbridge.Second / 2}
}

func (s *seeds) wake() jackdawbridge.Millis {
	wake := s.due
	for i := range s.slots {
		if !s.slots[i].busy && (i == s.claimed || s.slots[i].read && !s.slots[i].holder.IsZero()) {
			wake = min(wake, s.slots[i].due)
		}
	}
	return wake
}

// mine reports whether this node holds a seed record.
func (p *members) mine(slot *seedSlot) bool { return slot.read && slot.holder == p.r.self.Node() }

// tickSeeds joins while no member is known, and keeps the seed records that
// fall to this node: the first members by hash of name see to one each, and a
// holder renews its record as long as it lives.
func (p *members) tickSeeds() {
	s := &p.seeds
	if s.left || p.r.drain.stopping {
		s.due, s.claimed = never, seedSlots
		return
	}
	p.join()
	s.claimed = seedSlots
	if s.looked && p.place < seedSlots {
		s.claimed = p.place
	}
	for i := range s.slots {
		slot := &s.slots[i]
		if slot.busy || p.r.now < slot.due || i != s.claimed && !p.mine(slot) {
			if i != s.claimed && !p.mine(slot) {
				slot.due = p.r.now + seedCheck
			}
			continue
		}
		slot.due = p.r.now + p.jitter(seedCheck)
		switch {
		case p.mine(slot) || slot.read && p.vacant(slot.holder):
			p.writeSeed(i)
		default:
			p.readSeed(i)
		}
	}
}

// join asks the peers from the settings, those last known and the platform.
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
	for _, m := range p.sample(p.lost, seedSlots, nil) {
		p.r.send(m.peer, jackdawbridge.NewMembersRequest())
	}
	for i := range s.slots {
		if !s.slots[i].busy {
			p.readSeed(i)
		}
	}
}

func (p *members) readSeed(i int) {
	p.seeds.slots[i].busy = true
	p.r.fx.Load(seedName(p.r.self.DataCentre(), i))
}

func (p *members) writeSeed(i int) {
	slot := &p.seeds.slots[i]
	slot.busy = true
	slot.due = p.r.now + seedRenewal
	p.r.fx.Swap(seedName(p.r.self.DataCentre(), i), slot.version, jackdawbridge.NewSeed(p.r.self), seedLease)
}

// vacant reports whether a seed record may be taken from its holder.
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

// seedLoaded takes a seed record and gets in touch with a member that is not
// known, or not known to be alive.
func (p *members) seedLoaded(e *jackdawbridge.StoreLoaded) {
	dc, number, ok := parseSeedName(e.Name())
	if !ok {
		return
	}
	seed, found := e.Record().Value().(*jackdawbridge.Seed)
	found = found && e.Status() == jackdawbridge.StoreOK
	if found && seed.Peer().DataCentre() != dc {
		p.r.fx.Warn(jackdawbridge.PartMember, "seed record names a member of another data centre").Str("record", string(e.Name()))
		found = false
	}
	if dc != p.r.self.DataCentre() {
		if g := p.regions.follow(dc); g != nil && found {
			p.r.send(seed.Peer(), jackdawbridge.NewMembersOf(nil))
		}
		return
	}
	slot := &p.seeds.slots[number]
	slot.busy = false
	if e.Status() != jackdawbridge.StoreOK {
		slot.read = false
		p.lookedAt()
		return
	}
	slot.read = true
	slot.version = e.Record().Version()
	slot.holder = jackdawbridge.Node{}
	if found {
		slot.holder = seed.Peer().Node()
	}
	p.lookedAt()
	if number == p.seeds.claimed && p.vacant(slot.holder) {
		slot.due = p.r.now
	}
	other := found && seed.Peer().Node().Instance() != p.r.self.Node().Instance()
	p.seeds.found = p.seeds.found || other
	p.seeds.found = p.seeds.found || other
	if other && !p.alive(seed.Peer().Node()) {
		p.r.send(seed.Peer(), jackdawbridge.NewMembersRequest())
	}
}

// lookedAt takes note that the records were read, so that one may be claimed.
func (p *members) lookedAt() {
	for i := range p.seeds.slots {
		if p.seeds.slots[i].busy {
			return
		}
	}
	if p.seeds.looked {
		return
	}
	p.seeds.looked = true
	for i := range p.seeds.slots {
		p.seeds.slots[i].due = p.r.now
	}
}

// seedSwapped takes the end of a claim or a renewal. After a failure the record
// is read again, since the change may have taken effect.
func (p *members) seedSwapped(e *jackdawbridge.StoreSwapped) {
	_, number, ok := parseSeedName(e.Name())
	if !ok {
		return
	}
	slot := &p.seeds.slots[number]
	slot.busy = false
	if e.Status() != jackdawbridge.StoreOK {
		slot.read = false
		slot.due = p.r.now + p.jitter(storeRetry)
		return
	}
	slot.read = true
	slot.version = e.Version()
	slot.holder = p.r.self.Node()
	slot.due = p.r.now + seedRenewal
}

// dropSeeds removes the seed records of a node that ends.
func (p *members) dropSeeds() {
	p.seeds.left = true
	for i := range p.seeds.slots {
		if slot := &p.seeds.slots[i]; p.mine(slot) && !slot.busy {
			slot.busy = true
			p.r.fx.Swap(seedName(p.r.self.DataCentre(), i), slot.version, nil, 0)
		}
	}
}
