package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// noticeFanout is the number of members that a node notifies of a new revision
	// in each of roundCount rounds. One round of 3 misses 1 member in 20, which
	// learns of the revision with the next probe; two miss 1 in 400.
	noticeFanout = 3
	// noticeInterval is the time between these rounds.
	noticeInterval = 100 * jackdawbridge.Millis(1)
	// pullRetry is the time after which a Pull without a useful answer is sent
	// again, to another member.
	pullRetry = 300 * jackdawbridge.Millis(1)
	// maxPulls bounds the repeated pulls of a revision, since the only peer that has
	// the revision may have exited. With one message in five lost, all fail once in a
	// million times.
	maxPulls = 30
	// repairInterval is the mean time between two comparisons of tables with a random
	// peer; each interval is drawn from 20 to 40 s.
	repairInterval = 30 * jackdawbridge.Second
	// maxDeltaEntries and maxDeltaSpan bound the entries of a TableDelta and the
	// revisions that it covers. A peer that is further behind receives the whole
	// table. That is bounded by the platform's limit of 1 MB for a value, and needs
	// no tombstones, which may have been dropped.
	maxDeltaEntries = 256
	maxDeltaSpan    = 512
	// readyProbeInterval is the time between two rounds of probes that a node sends
	// until its tables are up to date. After readyTimeout the rounds are readyTimeout
	// apart.
	readyProbeInterval = jackdawbridge.Second / 2
)

// tableGossip is the state of the exchange of tables with peers.
type tableGossip struct {
	roundsLeft    int                             // rounds of RevisionNotice still to send, roundCount after a new revision
	roundDue      jackdawbridge.Millis            // time of the next round
	repairDue     jackdawbridge.Millis            // time of the next comparison with a random peer, 0 before the first
	waitStart     jackdawbridge.Millis            // start of the process, or end of the last freeze
	readyProbeDue jackdawbridge.Millis            // time of the next round of probes, until upToDate
	afterFreeze   bool                            // waitStart is the end of a freeze, not the start of the process
	upToDate      bool                            // the tables were found new enough since waitStart, or the wait timed out
	reporters     map[jackdawbridge.Instance]bool // peers of this data centre that reported their revisions since waitStart, until upToDate
}

func newTableGossip(at jackdawbridge.Millis) tableGossip {
	return tableGossip{waitStart: at, reporters: make(map[jackdawbridge.Instance]bool)}
}

// restart discards what peers reported before a freeze.
func (q *tableGossip) restart(at jackdawbridge.Millis) {
	q.waitStart = at
	q.readyProbeDue = at
	q.afterFreeze = true
	q.upToDate = false
	clear(q.reporters)
}

// maybeStale reports whether this node may have missed changes of the tables during
// a freeze, and has not caught up yet.
func (q *tableGossip) maybeStale() bool { return q.afterFreeze && !q.upToDate }

func (q *tableGossip) wake() jackdawbridge.Millis {
	wake := q.repairDue
	if q.roundsLeft > 0 {
		wake = min(wake, q.roundDue)
	}
	if !q.upToDate {
		wake = min(wake, q.readyProbeDue)
	}
	return wake
}

// observe handles the digest of a message, in which a peer reports its revisions.
func (p *settings) observe(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	p.compare(&p.config, from, digest.Config())
	p.compare(&p.keys, from, digest.Keys())
	sameCentre := from.DataCentre() == p.r.self.DataCentre()
	if sameCentre && !p.gossip.upToDate && !digest.MaybeStale() && len(p.gossip.reporters) < readyPeers {
		p.gossip.reporters[from.Node().Instance()] = true
	}
}

// compare pulls a revision from the peer that reports it, if the revision is newer
// than the one in force and any reported before.
func (p *settings) compare(s *tableState, from jackdawbridge.Peer, revision uint64) {
	if revision <= max(s.received(), s.newest) {
		return
	}
	s.newest = revision
	s.source = from
	s.pulls = 0
	s.pullDue = p.r.now + pullRetry
	p.r.send(from, jackdawbridge.NewPull(s.name, s.revision()))
}

// pullAgain repeats a pull without a useful answer. It alternates between a random
// member and the peer that reported the revision, and stops after maxPulls.
func (p *settings) pullAgain(s *tableState) {
	s.pullDue = p.r.now + pullRetry
	s.pulls++
	to := s.source
	if peers := p.r.members.random(1); s.pulls%2 == 1 && len(peers) > 0 {
		to = peers[0]
	}
	if s.pulls > maxPulls {
		s.newest = s.received()
		return
	}
	p.r.send(to, jackdawbridge.NewPull(s.name, s.revision()))
}

// pullRequested answers a Pull with the entries that changed since the peer's
// revision. If this node has no newer revision, it answers with a RevisionNotice: the
// frame around it has this node's digest.
func (p *settings) pullRequested(from jackdawbridge.Peer, m *jackdawbridge.Pull) {
	if !isTable(m.Name()) {
		return
	}
	s := p.state(m.Name())
	if s.revision() <= m.Since() {
		p.r.send(from, jackdawbridge.NewRevisionNotice())
		return
	}
	since := m.Since()
	if s.revision()-since > maxDeltaSpan {
		since = 0
	}
	entries := s.table.Since(since)
	// If all entries changed, the whole table is sent: this node's table may lack the
	// tombstones of removed entries, since a table read from a document has none.
	if len(entries) > maxDeltaEntries || len(entries) == len(s.table.Entries()) {
		since = 0
		entries = s.table.Entries()
	}
	p.r.send(from, jackdawbridge.NewTableDelta(s.name, since, s.revision(), s.table.Change(), entries).WithOmissions(s.table.Omissions()))
}

// deltaReceived handles the changes of a table from a peer, which had the revisions in the
// digest in force when it sent them. A delta since revision 0 is the whole table.
func (p *settings) deltaReceived(from jackdawbridge.Peer, digest jackdawbridge.Digest, m *jackdawbridge.TableDelta) {
	if !isTable(m.Name()) {
		return
	}
	s := p.state(m.Name())
	if m.Revision() <= s.received() || m.Since() > s.revision() {
		return
	}
	table, err := p.merged(s, m)
	if err != nil {
		p.refuse(s, "table in force not replaced: changes from a peer are invalid", int64(m.Revision()))
		p.r.fx.Log(jackdawbridge.PartSettings, "dropped invalid changes from a peer").About("", from.Node()).Str("error", err.Error())
		return
	}
	var changed []jackdawbridge.Entry
	if m.Since() > 0 {
		changed = m.Entries()
	}
	needs := digest.Keys()
	if s == &p.keys {
		needs = digest.Config()
	}
	p.hold(s, heldTable{table: table, base: s.table, changed: changed, from: from.Node(), needs: needs})
	p.release(s)
}

// merged returns the table that results from a delta.
func (p *settings) merged(s *tableState, m *jackdawbridge.TableDelta) (*jackdawbridge.Table, error) {
	if err := checkEntries(s.name, m.Entries()); err != nil {
		return nil, err
	}
	var table *jackdawbridge.Table
	var err error
	if m.Since() == 0 {
		table, err = jackdawbridge.NewTable(m.Revision(), m.Change(), m.Entries())
	} else {
		table, err = s.table.Merge(m.Revision(), m.Change(), m.Entries())
	}
	if err != nil {
		return nil, err
	}
	omissions := m.Omissions()
	if m.Since() > 0 && s.omissions.Partial() && !omissions.Partial() {
		omissions = s.omissions // the entries that are missing here have not changed
	}
	return table.WithOmissions(omissions), nil
}

// confirm handles the digest in a peer's answer to a probe; sent is when the probe
// was sent. A digest in another message proves nothing, since it may have been delayed. The
// platform confirmed the peer's revisions no earlier than sent minus the age in the digest.
// That confirms this node's tables too if they are the same. An older table of a peer
// confirms nothing, since the store may have come back from an older copy.
func (p *settings) confirm(sent jackdawbridge.Millis, digest jackdawbridge.Digest) {
	before := p.confirmedAge()
	if p.config.revision() == digest.Config() && p.keys.revision() == digest.Keys() && digest.SinceConfirmed() >= 0 {
		p.confirmAt(&p.config, sent-digest.SinceConfirmed())
		p.confirmAt(&p.keys, sent-digest.SinceConfirmed())
	}
	p.relayed(digest.SinceConfirmed(), p.confirmedAge() < before)
}

// confirmAt records that the platform confirmed a table at the given time.
func (p *settings) confirmAt(s *tableState, at jackdawbridge.Millis) {
	s.confirmed = max(s.confirmed, at)
}

// tickGossip notifies a few members of new revisions, probes
// members until the tables are up to date, and compares revisions with a random
// member at intervals.
func (p *settings) tickGossip() {
	q := &p.gossip
	if q.roundsLeft > 0 && p.r.now >= q.roundDue {
		q.roundsLeft--
		q.roundDue = p.r.now + noticeInterval
		for _, peer := range p.r.members.random(noticeFanout) {
			p.r.send(peer, jackdawbridge.NewRevisionNotice())
		}
		if p.watches() {
			for _, m := range p.r.members.remote.contacts() {
				p.r.send(m.peer, jackdawbridge.NewRevisionNotice())
			}
		}
	}
	if !q.upToDate && p.r.now >= q.readyProbeDue {
		q.readyProbeDue = p.r.now + readyProbeInterval
		if p.r.now-q.waitStart > readyTimeout {
			q.readyProbeDue = p.r.now + readyTimeout
		}
		for _, peer := range p.r.members.random(readyPeers) {
			p.r.members.sendProbe(peer, pendingProbe{purpose: probeConfirm}, nil, relayTimeout)
		}
	}
	if p.r.now < q.repairDue {
		return
	}
	first := q.repairDue == 0
	q.repairDue = p.r.now + repairInterval*2/3 + jackdawbridge.Millis(p.r.members.draw(int(repairInterval*2/3)))
	if first {
		return
	}
	for _, peer := range p.r.members.random(1) {
		p.r.send(peer, jackdawbridge.NewPull(jackdawbridge.ConfigTable, p.config.revision()))
		p.r.send(peer, jackdawbridge.NewPull(jackdawbridge.KeysTable, p.keys.revision()))
	}
}
