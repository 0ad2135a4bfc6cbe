package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// newerFanout is the number of members that a node tells of a new revision,
	// in each of waveCount waves. One wave of 3 misses 1 member in 20, which then
	// waits for a probe; two miss 1 in 400.
	newerFanout = 3
	// newerInterval is the time between the waves.
	newerInterval = 100 * jackdawbridge.Millis(1)
	// pullRetry is the time after which a Pull that brought nothing is repeated
	// at another member.
	pullRetry = 300 * jackdawbridge.Millis(1)
	// maxPulls bounds the repeated pulls of a revision whose only holder may be
	// gone. With one message in five lost, all fail once in a million.
	maxPulls = 30
	// repairInterval is the mean time between two comparisons with a random
	// peer; each is drawn from 20 to 40 s.
	repairInterval = 30 * jackdawbridge.Second
	// maxDeltaEntries and maxDeltaSpan bound what a Delta lists. A peer that is
	// further behind gets the whole table: it is bounded by the platform's limit
	// of 1 MB for a value, and needs no tombstones, which may have been dropped.
	maxDeltaEntries = 256
	maxDeltaSpan    = 512
	// fresher is the advance of a peer's confirmation that is worth a question.
	fresher = jackdawbridge.Second
	// askInterval is the time between two rounds of questions of a node that is
	// not ready yet.
	askInterval = jackdawbridge.Second / 2
	// confirmGap is the least time between two such questions.
	confirmGap = 200 * jackdawbridge.Millis(1)
)

// spread is the state of the exchange of tables with peers.
type spread struct {
	waves   int                             // of Newer to send: waveCount for a revision, 1 for a confirmation
	waveDue jackdawbridge.Millis            // of the next one
	repair  jackdawbridge.Millis            // of the next comparison, 0 before the first
	asked   jackdawbridge.Millis            // when a confirmation was last asked for
	began   jackdawbridge.Millis            // of the process, or the end of a freeze
	ask     jackdawbridge.Millis            // of the next questions, until settled
	thawed  bool                            // the last wait follows a freeze, not the start
	settled bool                            // the tables were found new enough since then
	heard   map[jackdawbridge.Instance]bool // peers of the own data centre that told their revisions since then, until settled
}

func newSpread(at jackdawbridge.Millis) spread {
	return spread{began: at, heard: make(map[jackdawbridge.Instance]bool)}
}

// restart forgets what peers told before a freeze.
func (q *spread) restart(at jackdawbridge.Millis) {
	q.began = at
	q.ask = at
	q.thawed = true
	q.settled = false
	clear(q.heard)
}

// doubtful reports whether newer tables may be known to others since a freeze.
func (q *spread) doubtful() bool { return q.thawed && !q.settled }

func (q *spread) wake() jackdawbridge.Millis {
	wake := q.repair
	if q.waves > 0 {
		wake = min(wake, q.waveDue)
	}
	if !q.settled {
		wake = min(wake, q.ask)
	}
	return wake
}

// heard takes note of the revisions that a peer knows.
func (p *settings) heard(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	p.compare(&p.config, from, digest.Config())
	p.compare(&p.keys, from, digest.Keys())
	own := from.DataCentre() == p.r.self.DataCentre()
	if own && !p.spread.settled && !digest.Doubtful() && len(p.spread.heard) < readyPeers {
		p.spread.heard[from.Node().Instance()] = true
	}
	p.question(from, digest)
}

// compare pulls a newer revision from the peer that has it.
func (p *settings) compare(s *tableState, from jackdawbridge.Peer, revision uint64) {
	if revision <= max(s.revision(), s.wanted) {
		return
	}
	s.wanted = revision
	s.source = from
	s.pulls = 0
	s.pullDue = p.r.now + pullRetry
	p.r.send(from, jackdawbridge.NewPull(s.name, s.revision()))
}

// pullAgain repeats a pull that brought nothing, in turn at a random member and
// at the one that has the revision.
func (p *settings) pullAgain(s *tableState) {
	s.pullDue = p.r.now + pullRetry
	s.pulls++
	to := s.source
	if peers := p.r.members.random(1); s.pulls%2 == 1 && len(peers) > 0 {
		to = peers[0]
	}
	if s.pulls > maxPulls {
		s.wanted = s.revision()
		return
	}
	p.r.send(to, jackdawbridge.NewPull(s.name, s.revision()))
}

// pull sends a peer what changed in a table, or the own digest if nothing did.
func (p *settings) pull(from jackdawbridge.Peer, m *jackdawbridge.Pull) {
	if !isTable(m.Name()) {
		return
	}
	s := p.state(m.Name())
	if s.revision() <= m.Since() {
		p.r.send(from, jackdawbridge.NewNewer())
		return
	}
	since := m.Since()
	if s.revision()-since > maxDeltaSpan {
		since = 0
	}
	entries := s.table.Since(since)
	// A table whose entries all changed may lack the tombstones of those that were
	// removed: one that was read as a whole from a document has none.
	if len(entries) > maxDeltaEntries || len(entries) == len(s.table.Entries()) {
		since = 0
		entries = s.table.Entries()
	}
	p.r.send(from, jackdawbridge.NewDelta(s.name, since, s.revision(), s.table.Change(), entries))
}

// delta takes the changes of a table from a peer. A delta since 0 is the whole
// table.
func (p *settings) delta(from jackdawbridge.Peer, m *jackdawbridge.Delta) {
	if !isTable(m.Name()) {
		return
	}
	s := p.state(m.Name())
	if m.Revision() <= s.revision() || m.Since() > s.revision() {
		return
	}
	table, err := p.merged(s, m)
	if err != nil {
		p.refuse(s, "a peer's changes are refused", int64(m.Revision()))
		p.r.fx.Log(jackdawbridge.PartSettings, "changes are invalid").About("", from.Node()).Str("error", err.Error())
		return
	}
	var changed []jackdawbridge.Entry
	if m.Since() > 0 {
		changed = m.Entries()
	}
	p.adopt(s, table, changed)
}

// merged returns the table that a delta leads to.
func (p *settings) merged(s *tableState, m *jackdawbridge.Delta) (*jackdawbridge.Table, error) {
	if err := checkEntries(s.name, m.Entries()); err != nil {
		return nil, err
	}
	if m.Since() == 0 {
		return jackdawbridge.NewTable(m.Revision(), m.Change(), m.Entries())
	}
	return s.table.Merge(m.Revision(), m.Change(), m.Entries())
}

// question asks a peer to prove that the platform confirmed its tables later
// than the own ones. What a frame claims may be late, so it is only a hint; the
// answer counts from when the question was sent.
func (p *settings) question(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	if p.index.refusing == 0 || digest.Confirmed()+fresher > p.confirmedAge() || p.r.now-p.spread.asked < confirmGap {
		return
	}
	p.spread.asked = p.r.now
	p.r.members.check(from, pendingProbe{purpose: probeConfirm}, nil, relayTimeout)
}

// confirm takes the digest of a peer that answered a probe sent at the given
// instant. The platform confirmed the peer's revisions at that instant less
// their age, or later; the own tables are confirmed if they are as new.
func (p *settings) confirm(sent jackdawbridge.Millis, digest jackdawbridge.Digest) {
	if p.config.revision() < digest.Config() || p.keys.revision() < digest.Keys() || digest.Confirmed() < 0 {
		return
	}
	p.confirmAt(&p.config, sent-digest.Confirmed())
	p.confirmAt(&p.keys, sent-digest.Confirmed())
}

// confirmAt takes a confirmation of a table, and lets others know if it matters.
func (p *settings) confirmAt(s *tableState, at jackdawbridge.Millis) {
	if at <= s.confirmed {
		return
	}
	before := p.confirmedAge()
	s.confirmed = at
	if p.index.refusing > 0 && p.confirmedAge()+fresher <= before {
		p.spread.waves = max(p.spread.waves, 1)
	}
}

// tickSpread tells a few members of what is newer, and compares revisions with
// a random one now and then.
func (p *settings) tickSpread() {
	q := &p.spread
	if q.waves > 0 && p.r.now >= q.waveDue {
		q.waves--
		q.waveDue = p.r.now + newerInterval
		for _, peer := range p.r.members.random(newerFanout) {
			p.r.send(peer, jackdawbridge.NewNewer())
		}
		if p.watches() {
			for _, m := range p.r.members.regions.contacts() {
				p.r.send(m.peer, jackdawbridge.NewNewer())
			}
		}
	}
	if !q.settled && p.r.now >= q.ask {
		q.ask = p.r.now + askInterval
		if p.r.now-q.began > readyGrace {
			q.ask = p.r.now + readyGrace
		}
		for _, peer := range p.r.members.random(readyPeers) {
			p.r.members.check(peer, pendingProbe{purpose: probeConfirm}, nil, relayTimeout)
		}
	}
	if p.r.now < q.repair {
		return
	}
	first := q.repair == 0
	q.repair = p.r.now + repairInterval*2/3 + jackdawbridge.Millis(p.r.members.draw(int(repairInterval*2/3)))
	if first {
		return
	}
	for _, peer := range p.r.members.random(1) {
		p.r.send(peer, jackdawbridge.NewPull(jackdawbridge.ConfigTable, p.config.revision()))
		p.r.send(peer, jackdawbridge.NewPull(jackdawbridge.KeysTable, p.keys.revision()))
	}
}
