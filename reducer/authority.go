package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// readers is the number of members that read and change the range record. It
	// bounds the load on the platform independently of the size of the data centre.
	readers = 8
	// watchInterval is the time between two reads of the record by a watcher, that is,
	// by a member whose rank is below watchers. A writer sends a new record to its
	// peers at once, so these reads only matter if the writer stopped before it could
	// do so.
	watchInterval = 12 * jackdawbridge.Second
	// readInterval is the time between two reads of the record by the other readers.
	readInterval = 120 * jackdawbridge.Second
	// pullGap is the least time between two pulls of one record from peers.
	pullGap = 200 * jackdawbridge.Millis(1)
	// remotePullInterval is the time between two pulls of another data centre's record.
	remotePullInterval = 30 * jackdawbridge.Second
	// maxRemoteDataCentres bounds the other data centres whose records are kept.
	maxRemoteDataCentres = 16
	// maxRemoteHolders bounds the peers kept as holders of another data centre's
	// ranges.
	maxRemoteHolders = 4 * jackdawbridge.RangeCount
)

// remoteRanges is the range record of another data centre with its holders.
type remoteRanges struct {
	ranges  *jackdawbridge.Ranges                         // nil until one has arrived
	version uint64                                        // of ranges on the platform
	holders map[jackdawbridge.Instance]jackdawbridge.Peer // holders as its members sent them, at most maxRemoteHolders
	pulled  jackdawbridge.Millis                          // when the record was last requested from a peer
}

// authority is the part that determines which node holds each range. The range record
// of a data centre names the holders. It is stored on the platform, and peers pass it
// on. A holder acts for its ranges only under a lease, which is renewed by votes of a
// majority of the witnesses that the record names (see lease and witness).
type authority struct {
	r             *Reducer
	localRanges   *jackdawbridge.Ranges                         // record of the local data centre, nil until one has arrived; its progress never falls
	version       uint64                                        // of localRanges on the platform
	absent        bool                                          // whether the platform has no record
	loadPending   bool                                          // whether a Load is pending
	readAt        jackdawbridge.Millis                          // when the last Load was started
	nextRead      jackdawbridge.Millis                          // when the next Load is due
	confirmed     jackdawbridge.Millis                          // when the last successful Load was started; 0 if none
	pulled        jackdawbridge.Millis                          // when the record was last requested from a peer
	due           jackdawbridge.Millis                          // when housekeeping is due
	rank          int                                           // of this node by hash among the members of the data centre
	recordedPeers map[jackdawbridge.Instance]jackdawbridge.Peer // last process seen of each instance that the record names
	remoteRanges  map[jackdawbridge.DataCentre]*remoteRanges    // at most maxRemoteDataCentres
	exitedNodes   exitedNodes
	witness       witness
	lease         lease
	change        change
	restore       restore
	releasing     bool                 // whether the process is about to exit and gives up its ranges
	stopped       bool                 // whether this process no longer acts for any range
	releaseBy     jackdawbridge.Millis // when this process stops even if the record names no successors
}

func newAuthority(r *Reducer) authority {
	return authority{
		r: r, due: r.now, nextRead: never,
		recordedPeers: make(map[jackdawbridge.Instance]jackdawbridge.Peer),
		remoteRanges:  make(map[jackdawbridge.DataCentre]*remoteRanges),
		exitedNodes:   newExitedNodes(),
		lease:         newLease(),
	}
}

// name returns the name of the local data centre's range record.
func (p *authority) name() jackdawbridge.RecordName {
	return jackdawbridge.RangesRecord(p.r.self.DataCentre())
}

func (p *authority) self() jackdawbridge.Node { return p.r.self.Node() }

// rangesProgress returns the progress of the local data centre's range record, 0 if
// there is none.
func (p *authority) rangesProgress() uint64 { return progress(p.localRanges) }

// holder returns the live process of the instance that holds a range of a data
// centre, and false if there is none. While a change of the record is pending, it
// returns the holder before the change.
func (p *authority) holder(dc jackdawbridge.DataCentre, i int) (jackdawbridge.Peer, bool) {
	if dc == p.r.self.DataCentre() {
		if p.localRanges == nil {
			return jackdawbridge.Peer{}, false
		}
		node := p.localRanges.PreviousHolder(i)
		peer, ok := p.r.livePeer(node.Instance())
		return peer, ok && peer.Node().Incarnation() >= node.Incarnation()
	}
	remote, ok := p.remoteRanges[dc]
	if !ok || remote.ranges == nil {
		return jackdawbridge.Peer{}, false
	}
	node := remote.ranges.PreviousHolder(i)
	peer, ok := p.r.livePeer(node.Instance())
	if !ok {
		peer, ok = remote.holders[node.Instance()]
	}
	return peer, ok && peer.Node().Incarnation() >= node.Incarnation()
}

// observe pulls the range record from a peer whose record is newer than this node's.
func (p *authority) observe(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	p.detectRestart(from)
	if from.DataCentre() == p.r.self.DataCentre() {
		if digest.RangesProgress() > p.rangesProgress() && p.r.now-p.pulled >= pullGap {
			p.pulled = p.r.now
			p.r.send(from, jackdawbridge.NewPull(p.name(), p.rangesProgress()))
		}
		return
	}
	remote := p.remoteOf(from.DataCentre())
	if remote != nil && digest.RangesProgress() > progress(remote.ranges) && p.r.now-remote.pulled >= pullGap {
		p.pullRemote(from, remote)
	}
}

// remoteOf returns the state of another data centre, creating it if needed, or nil if
// there are too many.
func (p *authority) remoteOf(dc jackdawbridge.DataCentre) *remoteRanges {
	remote, ok := p.remoteRanges[dc]
	if !ok && len(p.remoteRanges) < maxRemoteDataCentres {
		remote = &remoteRanges{holders: make(map[jackdawbridge.Instance]jackdawbridge.Peer)}
		p.remoteRanges[dc] = remote
	}
	return remote
}

func (p *authority) pullRemote(to jackdawbridge.Peer, remote *remoteRanges) {
	remote.pulled = p.r.now
	p.r.send(to, jackdawbridge.NewPull(jackdawbridge.RangesRecord(to.DataCentre()), progress(remote.ranges)))
}

// pullReceived answers a Pull with the range record if the sender's is older. A
// sender in another data centre also receives the addresses of the local holders.
func (p *authority) pullReceived(from jackdawbridge.Peer, m *jackdawbridge.Pull) {
	dc, ok := rangesDataCentre(m.Name())
	if !ok {
		return
	}
	ranges, version := p.localRanges, p.version
	if dc != p.r.self.DataCentre() {
		remote, ok := p.remoteRanges[dc]
		if !ok {
			return
		}
		ranges, version = remote.ranges, remote.version
	}
	if progress(ranges) <= m.Since() {
		return
	}
	p.r.send(from, jackdawbridge.NewRangesUpdate(dc, version, ranges))
	if dc == p.r.self.DataCentre() && from.DataCentre() != dc {
		p.sendHolders(from)
	}
}

// sendHolders sends the addresses of the holders to a node of another data centre.
// All of them are marked as suspects to distinguish the list from an answer to a
// request for members, which would replace the members that the receiver has.
func (p *authority) sendHolders(to jackdawbridge.Peer) {
	var rumors []jackdawbridge.Rumor
	for _, node := range named(p.localRanges) {
		if peer, ok := p.r.livePeer(node.Instance()); ok {
			rumors = append(rumors, jackdawbridge.NewRumor(peer, jackdawbridge.Suspect))
		}
	}
	p.r.send(to, jackdawbridge.NewMembers(rumors))
}

// holdersReceived keeps the holders of another data centre that one of its members
// has sent. It returns false if the message is not a list of holders.
func (p *authority) holdersReceived(from jackdawbridge.Peer, m *jackdawbridge.Members) bool {
	notSuspect := func(r jackdawbridge.Rumor) bool { return r.Liveness() != jackdawbridge.Suspect }
	if m.Request() || from.DataCentre() == p.r.self.DataCentre() || len(m.Rumors()) == 0 || slices.ContainsFunc(m.Rumors(), notSuspect) {
		return false
	}
	remote := p.remoteOf(from.DataCentre())
	if remote == nil {
		return true
	}
	for _, rumor := range m.Rumors() {
		peer := rumor.Peer()
		known, ok := remote.holders[peer.Node().Instance()]
		if peer.DataCentre() != from.DataCentre() || ok && known.Node().Incarnation() > peer.Node().Incarnation() {
			continue
		}
		if !ok && len(remote.holders) >= maxRemoteHolders {
			clear(remote.holders)
		}
		remote.holders[peer.Node().Instance()] = peer
	}
	return true
}

// rangesReceived adopts a record that a peer has sent, if it is newer.
func (p *authority) rangesReceived(_ jackdawbridge.Peer, m *jackdawbridge.RangesUpdate) {
	p.learn(m.DataCentre(), m.Ranges(), m.Version())
}

// learn adopts the record of any data centre, if it is newer than the one kept.
func (p *authority) learn(dc jackdawbridge.DataCentre, ranges *jackdawbridge.Ranges, version uint64) {
	if dc == p.r.self.DataCentre() {
		p.adopt(ranges, version)
		return
	}
	remote := p.remoteOf(dc)
	if remote != nil && progress(ranges) > progress(remote.ranges) {
		remote.ranges, remote.version = ranges, version
	}
}

// adopt replaces the record of the local data centre by a newer one and applies it.
func (p *authority) adopt(ranges *jackdawbridge.Ranges, version uint64) {
	if progress(ranges) <= progress(p.localRanges) {
		if p.localRanges != nil && progress(ranges) == progress(p.localRanges) && version > p.version && sameRanges(ranges, p.localRanges) {
			p.version, p.restore.needed = version, false // it was written again
		}
		return
	}
	p.restore.needed = false
	old := p.localRanges
	p.localRanges, p.version, p.absent = ranges, version, false
	p.r.fx.Log(jackdawbridge.PartAuthority, "adopted a newer range record").Str("state", stateName(ranges)).Int("epoch", int64(ranges.Epoch()))
	p.rememberPeers()
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

// loaded handles the answer of the platform to a read of the record.
func (p *authority) loaded(e *jackdawbridge.StoreLoaded) {
	if e.Name() != p.name() {
		return
	}
	p.loadPending = false
	if e.Status() != jackdawbridge.StoreOK {
		p.nextRead = p.r.now + storeRetry
		p.r.fx.Warn(jackdawbridge.PartAuthority, "reading the range record from the platform failed, will retry").Str("status", e.Status().String())
		return
	}
	p.confirmed = p.readAt
	p.change.inDoubt = false
	p.scheduleRead()
	ranges, ok := e.Record().Value().(*jackdawbridge.Ranges)
	if p.localRanges != nil && progress(ranges) <= progress(p.localRanges) {
		p.compareStored(ranges, e.Record().Version())
		return
	}
	if !ok {
		p.absent = e.Record().Version() == 0 && p.localRanges == nil
		p.due = p.r.now
		return
	}
	p.adopt(ranges, e.Record().Version())
}

// swapped handles the answer of the platform to a write of the record. Unless the
// write is known to have taken effect, the record is read again before the next write.
func (p *authority) swapped(e *jackdawbridge.StoreSwapped) {
	if e.Name() != p.name() || p.change.writing == nil {
		return
	}
	written := p.change.writing
	p.change.writing = nil
	p.due = p.r.now
	if e.Status() != jackdawbridge.StoreOK {
		p.change.inDoubt = true
		p.nextRead = p.r.now
		p.r.fx.Log(jackdawbridge.PartAuthority, "write of the range record not confirmed, reading it again").Str("status", e.Status().String()).Int("epoch", int64(written.Epoch()))
		return
	}
	if written == p.localRanges {
		p.version = e.Version() // written again
	}
	p.adopt(written, e.Version())
	for _, node := range named(written) {
		if peer, ok := p.r.livePeer(node.Instance()); ok && node != p.self() {
			p.r.send(peer, jackdawbridge.NewRangesUpdate(p.r.self.DataCentre(), p.version, p.localRanges))
		}
	}
}

// scheduleRead sets when the record is next read from the platform.
func (p *authority) scheduleRead() {
	interval := never
	switch {
	case p.change.inDoubt:
		interval = storeRetry
	case p.rank < watchers:
		interval = watchInterval
	case p.rank < readers:
		interval = readInterval
	}
	p.nextRead = never
	if interval != never {
		p.nextRead = p.readAt + interval
	}
	if p.isWitness() {
		p.nextRead = min(p.nextRead, p.confirmed+witnessInterval)
	}
}

// resetAfterFreeze ends the lease after the process was frozen, since other nodes may
// have taken over this node's ranges meanwhile.
func (p *authority) resetAfterFreeze() {
	p.lease.lapse(p)
	p.due = p.r.now
}

// release starts to give up all ranges before the process exits. This node continues
// to act for them until the record names their new holders, at most for releaseLimit.
func (p *authority) release() {
	p.releasing = true
	p.releaseBy = p.r.now + releaseLimit
	p.due = p.r.now
}

// released reports whether this node has given up its ranges: a settled record no
// longer names it, there is no record, or it has stopped waiting for successors.
func (p *authority) released() bool {
	if p.localRanges == nil || p.stopped {
		return true
	}
	return !p.localRanges.Pending() && !p.isNamed()
}

// membershipChanged makes housekeeping due when the members of the local data centre
// have changed.
func (p *authority) membershipChanged() { p.due = p.r.now }

func (p *authority) wake() jackdawbridge.Millis {
	at := min(p.due, p.lease.wake(p), p.change.wake(p))
	if !p.loadPending {
		at = min(at, p.nextRead)
	}
	return at
}

func (p *authority) tick() {
	if p.r.now >= p.due {
		p.housekeep()
	}
	if !p.loadPending && p.r.now >= p.nextRead {
		p.loadPending = true
		p.readAt = p.r.now
		p.r.fx.Load(p.name())
	}
	p.change.tick(p)
	p.lease.tick(p)
}

// housekeep runs once a second and after changes. It recomputes the rank of this node
// and proposes a change of the range record if the record no longer matches the members.
func (p *authority) housekeep() {
	p.due = p.r.now + jackdawbridge.Second
	members := slices.DeleteFunc(p.r.eligibleHolders(), func(m jackdawbridge.Peer) bool { return p.exited(m.Node()) })
	if p.releasing && !p.stopped && (p.r.now >= p.releaseBy || len(members) == 0) {
		p.stopped = true
		p.r.fx.Warn(jackdawbridge.PartAuthority, "this node stopped acting for its ranges: no successors recorded in time or no other member")
	}
	p.rank = rankOf(members, p.self())
	p.rememberPeers()
	if !p.loadPending && p.nextRead > p.r.now && !p.r.members.starting() {
		p.scheduleRead()
	}
	if !p.rewrite() && !p.quiet() {
		p.change.propose(p, members)
	}
	p.refreshRemote()
}

// refreshRemote pulls the record of each other data centre that has not been pulled for
// remotePullInterval.
func (p *authority) refreshRemote() {
	for _, dc := range p.r.dataCentres() {
		remote := p.remoteOf(dc)
		if remote == nil || remote.pulled != 0 && p.r.now-remote.pulled < remotePullInterval {
			continue
		}
		if peer, ok := p.r.remotePeer(dc); ok {
			p.pullRemote(peer, remote)
		}
	}
}
