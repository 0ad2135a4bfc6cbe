package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// readers is how many members read and change the range record at all, so
	// that the platform sees a handful of them in a data centre of any size.
	readers = 8
	// watchInterval is the time between two reads of a watcher. The watchers are
	// as many as those of the tables. Peers pass a record on at once, so that a
	// read only matters when its writer ended before it told anyone.
	watchInterval = 12 * jackdawbridge.Second
	// readInterval is the time between two reads of the other readers.
	readInterval = 120 * jackdawbridge.Second
	// pullGap bounds how often a node pulls one record.
	pullGap = 200 * jackdawbridge.Millis(1)
	// foreignInterval is the time between two pulls of another data centre's record.
	foreignInterval = 30 * jackdawbridge.Second
	// maxForeign bounds the data centres whose record is kept.
	maxForeign = 16
	// maxIntroduced bounds the members of another data centre kept as its holders.
	maxIntroduced = 4 * jackdawbridge.RangeCount
)

// foreign is what this node knows of another data centre's ranges.
type foreign struct {
	ranges  *jackdawbridge.Ranges
	version uint64
	peers   map[jackdawbridge.Instance]jackdawbridge.Peer // at most maxIntroduced
	pulled  jackdawbridge.Millis
}

// authority is the part that knows which node holds each range.
type authority struct {
	r         *Reducer
	started   jackdawbridge.Millis
	own       *jackdawbridge.Ranges // nil until one is known; its progress never falls
	version   uint64                // of the platform's service, of own
	absent    bool                  // the platform has no record
	reading   bool                  // a Load is out
	readAt    jackdawbridge.Millis  // when the last Load was asked for
	readDue   jackdawbridge.Millis
	confirmed jackdawbridge.Millis // when the last answered Load was asked for; 0 if none
	pulled    jackdawbridge.Millis
	due       jackdawbridge.Millis // of the next housekeeping
	rank      int                  // among the members of the data centre
	slots     map[jackdawbridge.Instance]jackdawbridge.Peer
	foreign   map[jackdawbridge.DataCentre]*foreign // at most maxForeign
	proofs    proofs
	witness   witness
	lease     lease
	change    change
	releasing bool
	stopped   bool // holds nothing and never will
	releaseBy jackdawbridge.Millis
}

func newAuthority(r *Reducer) authority {
	return authority{
		r: r, started: r.now, due: r.now, readDue: r.now,
		slots:   make(map[jackdawbridge.Instance]jackdawbridge.Peer),
		foreign: make(map[jackdawbridge.DataCentre]*foreign),
		proofs:  newProofs(),
		lease:   newLease(),
	}
}

func (p *authority) name() jackdawbridge.RecordName {
	return jackdawbridge.RangesRecord(p.r.self.DataCentre())
}

func (p *authority) self() jackdawbridge.Node { return p.r.self.Node() }

// epoch returns the progress of the own data centre's range record, 0 if unknown.
func (p *authority) epoch() uint64 { return progress(p.own) }

// holder returns the node that holds a range of a data centre, and whether
// there is one. While a change is pending that is the holder before it.
func (p *authority) holder(dc jackdawbridge.DataCentre, i int) (jackdawbridge.Peer, bool) {
	if dc == p.r.self.DataCentre() {
		if p.own == nil {
			return jackdawbridge.Peer{}, false
		}
		node := p.own.Previous(i)
		peer, ok := p.r.located(node.Instance())
		return peer, ok && peer.Node().Incarnation() >= node.Incarnation()
	}
	f, ok := p.foreign[dc]
	if !ok || f.ranges == nil {
		return jackdawbridge.Peer{}, false
	}
	node := f.ranges.Previous(i)
	peer, ok := p.r.located(node.Instance())
	if !ok {
		peer, ok = f.peers[node.Instance()]
	}
	return peer, ok && peer.Node().Incarnation() >= node.Incarnation()
}

// heard takes note of the epoch that a peer knows, and pulls a newer record.
func (p *authority) heard(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	p.reincarnated(from)
	if from.DataCentre() == p.r.self.DataCentre() {
		if digest.Epoch() > p.epoch() && p.r.now-p.pulled >= pullGap {
			p.pulled = p.r.now
			p.r.send(from, jackdawbridge.NewPull(p.name(), p.epoch()))
		}
		return
	}
	f := p.foreignOf(from.DataCentre())
	if f != nil && digest.Epoch() > progress(f.ranges) && p.r.now-f.pulled >= pullGap {
		p.pullForeign(from, f)
	}
}

func (p *authority) foreignOf(dc jackdawbridge.DataCentre) *foreign {
	f, ok := p.foreign[dc]
	if !ok && len(p.foreign) < maxForeign {
		f = &foreign{peers: make(map[jackdawbridge.Instance]jackdawbridge.Peer)}
		p.foreign[dc] = f
	}
	return f
}

func (p *authority) pullForeign(to jackdawbridge.Peer, f *foreign) {
	f.pulled = p.r.now
	p.r.send(to, jackdawbridge.NewPull(jackdawbridge.RangesRecord(to.DataCentre()), progress(f.ranges)))
}

// pull sends a peer a record that is newer than its own. A node of another
// data centre also gets the addresses of the holders.
func (p *authority) pull(from jackdawbridge.Peer, m *jackdawbridge.Pull) {
	dc, ok := isRanges(m.Name())
	if !ok {
		return
	}
	ranges, version := p.own, p.version
	if dc != p.r.self.DataCentre() {
		f, ok := p.foreign[dc]
		if !ok {
			return
		}
		ranges, version = f.ranges, f.version
	}
	if progress(ranges) <= m.Since() {
		return
	}
	p.r.send(from, jackdawbridge.NewRangesDelta(dc, version, ranges))
	if dc == p.r.self.DataCentre() && from.DataCentre() != dc {
		p.introduce(from)
	}
}

// introduce sends the addresses of the holders to a node of another data centre.
// All of them are marked as suspects: the list is no answer to a request for
// members, which would replace the members that the receiver knows.
func (p *authority) introduce(to jackdawbridge.Peer) {
	var rumors []jackdawbridge.Rumor
	for _, node := range named(p.own) {
		if peer, ok := p.r.located(node.Instance()); ok {
			rumors = append(rumors, jackdawbridge.NewRumor(peer, jackdawbridge.Suspect))
		}
	}
	p.r.send(to, jackdawbridge.NewMembers(rumors))
}

// introduced keeps the holders of another data centre that one of its members
// names, and reports whether the message is such a list.
func (p *authority) introduced(from jackdawbridge.Peer, m *jackdawbridge.Members) bool {
	alive := func(r jackdawbridge.Rumor) bool { return r.Suspicion() != jackdawbridge.Suspect }
	if m.Request() || from.DataCentre() == p.r.self.DataCentre() || len(m.Rumors()) == 0 || slices.ContainsFunc(m.Rumors(), alive) {
		return false
	}
	f := p.foreignOf(from.DataCentre())
	if f == nil {
		return true
	}
	for _, rumor := range m.Rumors() {
		peer := rumor.Peer()
		known, ok := f.peers[peer.Node().Instance()]
		if peer.DataCentre() != from.DataCentre() || ok && known.Node().Incarnation() > peer.Node().Incarnation() {
			continue
		}
		if !ok && len(f.peers) >= maxIntroduced {
			clear(f.peers)
		}
		f.peers[peer.Node().Instance()] = peer
	}
	return true
}

// delta takes a record from a peer.
func (p *authority) delta(_ jackdawbridge.Peer, m *jackdawbridge.RangesDelta) {
	p.learn(m.DataCentre(), m.Ranges(), m.Version())
}

func (p *authority) learn(dc jackdawbridge.DataCentre, ranges *jackdawbridge.Ranges, version uint64) {
	if dc == p.r.self.DataCentre() {
		p.adopt(ranges, version)
		return
	}
	f := p.foreignOf(dc)
	if f != nil && progress(ranges) > progress(f.ranges) {
		f.ranges, f.version = ranges, version
	}
}

// adopt puts a newer record of the own data centre in force.
func (p *authority) adopt(ranges *jackdawbridge.Ranges, version uint64) {
	if progress(ranges) <= progress(p.own) {
		return
	}
	old := p.own
	p.own, p.version, p.absent = ranges, version, false
	p.r.fx.Log(jackdawbridge.PartAuthority, "range record adopted").Str("state", stateName(ranges)).Int("epoch", int64(ranges.Epoch()))
	p.remember()
	p.change.follow(p, ranges)
	p.lease.follow(p, old)
	p.due = p.r.now
}

func stateName(r *jackdawbridge.Ranges) string {
	if r.Pending() {
		return "pending"
	}
	return "settled"
}

// loaded takes the record from the platform.
func (p *authority) loaded(e *jackdawbridge.StoreLoaded) {
	if e.Name() != p.name() {
		return
	}
	p.reading = false
	if e.Status() != jackdawbridge.StoreOK {
		p.readDue = p.r.now + storeRetry
		p.r.fx.Warn(jackdawbridge.PartAuthority, "the platform gave no range record").Str("status", e.Status().String())
		return
	}
	p.confirmed = p.readAt
	p.change.inDoubt = false
	p.schedule()
	ranges, ok := e.Record().Value().(*jackdawbridge.Ranges)
	if !ok {
		p.absent = e.Record().Version() == 0 && p.own == nil
		p.due = p.r.now
		return
	}
	p.adopt(ranges, e.Record().Version())
}

// swapped takes the end of a change. Unless it is known to have taken effect
// the record is read again before anything else is written.
func (p *authority) swapped(e *jackdawbridge.StoreSwapped) {
	if e.Name() != p.name() || p.change.swapping == nil {
		return
	}
	written := p.change.swapping
	p.change.swapping = nil
	p.due = p.r.now
	if e.Status() != jackdawbridge.StoreOK {
		p.change.inDoubt = true
		p.readDue = p.r.now
		p.r.fx.Log(jackdawbridge.PartAuthority, "change of the range record not confirmed").Str("status", e.Status().String()).Int("epoch", int64(written.Epoch()))
		return
	}
	p.adopt(written, e.Version())
	for _, node := range named(written) {
		if peer, ok := p.r.located(node.Instance()); ok && node != p.self() {
			p.r.send(peer, jackdawbridge.NewRangesDelta(p.r.self.DataCentre(), p.version, p.own))
		}
	}
}

// schedule sets when the platform is asked again.
func (p *authority) schedule() {
	interval := never
	switch {
	case p.change.inDoubt:
		interval = storeRetry
	case p.rank < watchers:
		interval = watchInterval
	case p.rank < readers:
		interval = readInterval
	}
	p.readDue = never
	if interval != never {
		p.readDue = p.readAt + interval
	}
	if p.isWitness() {
		p.readDue = min(p.readDue, p.confirmed+witnessInterval)
	}
}

// thaw drops every promise after the process was frozen.
func (p *authority) thaw() {
	p.lease.lapse(p)
	p.due = p.r.now
}

// release gives up all ranges before the node ends. They are in use until the
// record names their successors.
func (p *authority) release() {
	p.releasing = true
	p.releaseBy = p.r.now + releaseLimit
	p.due = p.r.now
}

// released reports whether this node holds no range any more.
func (p *authority) released() bool {
	if p.own == nil || p.stopped {
		return true
	}
	return !p.own.Pending() && !p.isNamed()
}

// changed takes note that the membership of the own data centre has changed.
func (p *authority) changed() { p.due = p.r.now }

func (p *authority) wake() jackdawbridge.Millis {
	at := min(p.due, p.lease.wake(p), p.change.wake(p))
	if !p.reading {
		at = min(at, p.readDue)
	}
	return at
}

func (p *authority) tick() {
	if p.r.now >= p.due {
		p.housekeep()
	}
	if !p.reading && p.r.now >= p.readDue {
		p.reading = true
		p.readAt = p.r.now
		p.r.fx.Load(p.name())
	}
	p.change.tick(p)
	p.lease.tick(p)
}

// housekeep looks at the membership again.
func (p *authority) housekeep() {
	p.due = p.r.now + jackdawbridge.Second
	members := slices.DeleteFunc(p.r.eligible(), func(m jackdawbridge.Peer) bool { return p.ended(m.Node()) })
	if p.releasing && !p.stopped && (p.r.now >= p.releaseBy || len(members) == 0) {
		p.stopped = true
		p.r.fx.Warn(jackdawbridge.PartAuthority, "leaves without a successor for its ranges")
	}
	p.rank = standing(members, p.self())
	p.remember()
	if !p.reading && p.readDue > p.r.now {
		p.schedule()
	}
	p.change.plan(p, members)
	p.refreshForeign()
}

// refreshForeign pulls the records of the other data centres that are due.
func (p *authority) refreshForeign() {
	for _, dc := range p.r.dataCentres() {
		f := p.foreignOf(dc)
		if f == nil || f.pulled != 0 && p.r.now-f.pulled < foreignInterval {
			continue
		}
		if peer, ok := p.r.drawForeigner(dc); ok {
			p.pullForeign(peer, f)
		}
	}
}
