package reducer

import (
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// storeRetry is the mean time before the first retry of a failed call to the
	// platform.
	storeRetry = jackdawbridge.Second
	// maxStoreRetry bounds the mean time between the retries of a node without a
	// table. It is long enough that a fleet that starts during an outage does not
	// overload the platform: 11,000 nodes make 1,400 calls a second.
	maxStoreRetry = 16 * jackdawbridge.Second
	// missingTableInterval is the time between two reads by a node that has found no table
	// and has peers. The watchers among them send the table when there is one.
	missingTableInterval = 5 * jackdawbridge.Second
	// watchers is the number of members of a data centre that watch the platform's
	// tables, so that a change spreads at once.
	watchers = 2
	// defaultApplyLimit is the default time within which a change of the tables must be
	// in force.
	defaultApplyLimit = 10 * jackdawbridge.Second
	// defaultFullReadInterval is the default time between two reads of the tables in
	// full. The reads between them only check whether the tables have changed.
	defaultFullReadInterval = 30 * jackdawbridge.Second
	// unconfirmedLimit is the age of the last confirmation above which accounts
	// that require confirmed tables are refused.
	unconfirmedLimit = 10 * jackdawbridge.Second
	// readyTimeout bounds how long a node that has tables waits, before it serves, for
	// peers or a platform that do not answer. It sends 10 rounds of probes in this
	// time: with one message in five lost, all fail once in 25,000 times.
	readyTimeout = 5 * jackdawbridge.Second
	// minReadyWait is the least time that a new process that expects peers waits
	// before it serves: when the first peer answers, the list of the other members
	// has not arrived yet.
	minReadyWait = 300 * jackdawbridge.Millis(1)
	// behindTimeout bounds how long a node waits for a newer table that peers have
	// before it serves with the older one.
	behindTimeout = 3 * readyTimeout
	// readyPeers is the number of peers whose revisions a node waits for before it
	// serves.
	readyPeers = 3
)

func isTable(name jackdawbridge.RecordName) bool {
	return name == jackdawbridge.ConfigTable || name == jackdawbridge.KeysTable
}

func isSeed(name jackdawbridge.RecordName) bool {
	return strings.HasPrefix(string(name), string(jackdawbridge.SeedsPrefix))
}

// tableState is the state of one table at this node.
type tableState struct {
	name         jackdawbridge.RecordName
	table        *jackdawbridge.Table    // nil until one has been loaded; its revision never falls
	version      uint64                  // version of the platform's record when last read
	versionValid bool                    // version has been set by a successful read
	readRevision uint64                  // revision of the table in the record of that version, 0 if it was refused
	watching     bool                    // a Watch is pending
	watchDue     jackdawbridge.Millis    // time of the next Watch
	confirmed    jackdawbridge.Millis    // latest time at which the platform is proven to have had no newer revision, 0 if none
	refusal      string                  // why a table was last refused, so that this is logged once
	omissions    jackdawbridge.Omissions // of the table in force, logged
	fromPeer     bool                    // the table in force was received from a peer
	newest       uint64                  // newest revision that a peer reported
	source       jackdawbridge.Peer      // the peer that first reported newest
	pulls        int                     // number of repeated pulls of newest, at most maxPulls+1
	pullDue      jackdawbridge.Millis    // time of the next Pull, while newest is above this node's revision
	held         heldTable               // a newer table that waits for its counterpart
}

// heldTable is a table from a peer that waits until the other table has the revision
// that the peer had with it. Together they were in force there, so that a node never
// decides by one table and an older state of the other.
type heldTable struct {
	table   *jackdawbridge.Table // nil if none is held, otherwise newer than the one in force
	base    *jackdawbridge.Table // table in force to which changed applies
	changed []jackdawbridge.Entry
	from    jackdawbridge.Node   // the peer that sent it
	needs   uint64               // revision of the other table
	since   jackdawbridge.Millis // when it was first held
}

// revision returns the revision of the table in force, 0 if there is none.
func (s *tableState) revision() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Revision()
}

// received returns the newest revision that this node has of the table, in force or held.
func (s *tableState) received() uint64 {
	if s.held.table != nil {
		return max(s.held.table.Revision(), s.revision())
	}
	return s.revision()
}

// settings is the part that keeps the configuration and key tables up to date.
type settings struct {
	r      *Reducer
	config tableState
	keys   tableState
	index  index
	gossip tableGossip
	reader tableReader

	omitted int // parts that could not be used of all tables that were in force
}

func newSettings(r *Reducer) settings {
	return settings{
		r:      r,
		config: tableState{name: jackdawbridge.ConfigTable},
		keys:   tableState{name: jackdawbridge.KeysTable},
		index:  newIndex(),
		gossip: newTableGossip(r.now),
		reader: newTableReader(),
	}
}

// Digest returns the revisions in force at this node, for operator commands.
func (r *Reducer) Digest() jackdawbridge.Digest { return r.digest() }

// ready reports whether the node may serve: it has both tables, and has checked
// since the start or the last freeze that neither the platform nor a few peers
// have a newer revision. The check ends without those that do not answer in time,
// see readyTimeout and behindTimeout.
func (p *settings) ready() bool {
	if p.config.table == nil || p.keys.table == nil {
		return false
	}
	return p.gossip.upToDate
}

// checkReady marks the tables as up to date, once after a start or a freeze, when
// they are new enough to serve or the wait has timed out.
func (p *settings) checkReady() {
	if p.gossip.upToDate || p.config.table == nil || p.keys.table == nil {
		return
	}
	waited := p.r.now - p.gossip.waitStart
	behind := p.config.newest > p.config.revision() || p.keys.newest > p.keys.revision()
	// After a freeze, a peer's report replaces the reads of the tables and seed records.
	sourcesAnswered := p.reader.ended && p.r.members.seeds.scanned || p.gossip.afterFreeze && len(p.gossip.reporters) > 0
	enoughReporters := len(p.gossip.reporters) >= min(readyPeers, len(p.r.members.live))
	peersExpected := len(p.r.members.live) > 0 || len(p.r.members.seeds.joins) > 0 || p.r.members.seeds.foundOther
	noLivePeer := peersExpected && len(p.r.members.live) == 0
	tooEarly := peersExpected && !p.gossip.afterFreeze && waited < minReadyWait
	checked := sourcesAnswered && enoughReporters && !noLivePeer && !tooEarly || waited >= readyTimeout
	if checked && !behind || waited >= behindTimeout {
		p.gossip.upToDate = true
		p.r.fx.Log(jackdawbridge.PartSettings, "node may serve: tables are up to date, or the wait for newer ones timed out").Int("peers_heard", int64(len(p.gossip.reporters))).Duration("waited_ms", waited)
	}
}

// revision returns the revision in force of a table, 0 if there is none.
func (p *settings) revision(name jackdawbridge.RecordName) uint64 { return p.state(name).revision() }

// confirmedAge returns the time since the platform confirmed both tables, either
// to this node or to a peer that passed the confirmation on.
func (p *settings) confirmedAge() jackdawbridge.Millis {
	return p.r.now - min(p.config.confirmed, p.keys.confirmed)
}

// service returns the configuration of a service.
func (p *settings) service(name jackdawbridge.ServiceName) (*jackdawbridge.Service, bool) {
	s, ok := p.index.services[name]
	return s, ok
}

// identify returns the client account of a request's key and whether it has paid
// priority, or the reason why the request is refused.
func (p *settings) identify(request *jackdawbridge.Request, route *jackdawbridge.Route) (jackdawbridge.AccountName, bool, jackdawbridge.Reason) {
	if route.Open() {
		return "", false, jackdawbridge.NoReason
	}
	hash, keyed := request.Key()
	if !keyed {
		return "", false, jackdawbridge.MissingKey
	}
	key, ok := p.index.keys[hash]
	if !ok {
		return "", false, p.keys.missing(jackdawbridge.InvalidKey)
	}
	account, ok := p.index.accounts[key.Account()]
	if !ok {
		return "", false, p.config.missing(jackdawbridge.InvalidKey)
	}
	if !account.ServeUnconfirmed() && p.confirmedAge() > unconfirmedLimit {
		return "", false, jackdawbridge.Unconfirmed
	}
	return account.Name(), account.PaidPriority(), jackdawbridge.NoReason
}

// unlimited reports whether an account has no rate limit.
func (p *settings) unlimited(name jackdawbridge.AccountName) bool {
	account, ok := p.index.accounts[name]
	return ok && account.Unlimited()
}

func (p *settings) state(name jackdawbridge.RecordName) *tableState {
	if name == jackdawbridge.KeysTable {
		return &p.keys
	}
	return &p.config
}

// tables returns the states of both tables.
func (p *settings) tables() [2]*tableState { return [2]*tableState{&p.config, &p.keys} }

// watched handles the result of a Watch of a table. It confirms nothing, since it is
// unknown when the platform answered.
func (p *settings) watched(e *jackdawbridge.StoreLoaded) {
	s := p.state(e.Name())
	s.watching = false
	s.watchDue = p.r.now
	switch e.Status() {
	case jackdawbridge.StoreOK:
		p.recordRead(s, e.Record(), "watch")
		for _, record := range e.Record().Companions() {
			p.recordRead(p.state(record.Name()), record, "watch")
		}
	case jackdawbridge.StoreInvalid:
		p.recordRead(s, e.Record(), "watch")
		s.watchDue = p.r.now + p.r.members.jitter(storeRetry)
	default:
		p.refuse(s, unanswered, 0)
		s.watchDue = p.r.now + p.r.members.jitter(storeRetry)
	}
}

// unanswered is the text to log when a call to the platform failed.
const unanswered = "table in force not replaced: the platform did not answer"

// recordRead handles the record of a table that was read from the platform, and puts the
// table in force if it is newer than the present one. It reports whether the platform
// had no newer table than the one that is in force then.
func (p *settings) recordRead(s *tableState, record jackdawbridge.Record, source string) bool {
	if record.Unchanged() {
		if s.table != nil && s.version == record.Version() && s.readRevision == s.revision() {
			return true
		}
		s.readRevision = 0 // so that the next read is in full
		return false
	}
	s.version, s.versionValid, s.readRevision = record.Version(), true, 0
	table, reason := p.readable(s, record)
	if reason != "" {
		p.refuse(s, reason, int64(s.version))
		return false
	}
	s.refusal = ""
	s.readRevision = table.Revision()
	p.adopt(s, table, nil, source, jackdawbridge.Node{})
	p.correct(s, record, source)
	return true
}

// readable returns the table in a record, or the text to log if it is refused.
func (p *settings) readable(s *tableState, record jackdawbridge.Record) (*jackdawbridge.Table, string) {
	table, ok := record.Value().(*jackdawbridge.Table)
	switch {
	case record.Version() == 0:
		return nil, "table in force not replaced: the platform has no table"
	case !ok:
		return nil, "table in force not replaced: the platform's record is unreadable"
	}
	if err := checkEntries(s.name, table.Entries()); err != nil {
		return nil, "table in force not replaced: the platform's table has entries that do not belong in it"
	}
	if table.Revision() == 0 {
		return nil, "table in force not replaced: the platform's table has no revision"
	}
	if record.Latest() > 0 && s.table != nil && table.Change() == s.table.Change() && table.Revision() <= s.revision() {
		return s.table, ""
	}
	if table.Revision() <= s.revision() && record.Latest() > s.revision() {
		table = table.At(record.Latest())
	}
	if table.Revision() < s.revision() {
		return nil, "table in force not replaced: the platform's table is older"
	}
	if table.Revision() == s.revision() && table.Change() != s.table.Change() {
		return nil, "table in force not replaced: the platform's table differs but has the same revision"
	}
	return table, ""
}

// refuse logs why the table in force was not replaced, unless the last refusal of this
// table had the same reason. The offered version or revision is 0 if unknown.
func (p *settings) refuse(s *tableState, reason string, offered int64) {
	if s.refusal == reason {
		return
	}
	s.refusal = reason
	p.r.fx.Warn(jackdawbridge.PartSettings, reason).Str("table", string(s.name)).
		Int("in_force", int64(s.revision())).Int("offered", offered)
}

// checkEntries returns an error if a table has an entry of another table, or an
// entry whose name does not fit its value.
func checkEntries(name jackdawbridge.RecordName, entries []jackdawbridge.Entry) error {
	for _, e := range entries {
		isKey := strings.HasPrefix(e.Name(), keyPrefix)
		if isKey != (name == jackdawbridge.KeysTable) || !e.Removed() && isKey != (e.Key() != nil) {
			return errors.Errorf("entry %s does not belong in table %s", e.Name(), name)
		}
	}
	return nil
}

// other returns the state of the other table.
func (p *settings) other(s *tableState) *tableState {
	if s == &p.config {
		return &p.keys
	}
	return &p.config
}

// hold keeps a table from a peer until the other table has the given revision.
func (p *settings) hold(s *tableState, held heldTable) {
	held.since = p.r.now
	if s.held.table != nil {
		held.since = s.held.since
	}
	s.held = held
}

// release puts a held table in force once its counterpart is, or if that has not arrived
// within the limit for changes.
func (p *settings) release(s *tableState) {
	held := s.held
	if held.table == nil {
		return
	}
	if held.table.Revision() <= s.revision() {
		s.held = heldTable{}
		return
	}
	o := p.other(s)
	arrived := o.revision() >= held.needs || o.held.table != nil && o.held.table.Revision() >= held.needs && o.held.needs <= held.table.Revision()
	if !arrived && p.r.now-held.since < p.applyLimit() {
		return
	}
	s.held = heldTable{}
	if held.base != s.table {
		held.changed = nil
	}
	p.adopt(s, held.table, held.changed, "peer", held.from)
	p.release(o)
}

// adopt puts a table in force if its revision is newer, and schedules notices to
// peers. If changed is nil, the changed entries are unknown and the index is rebuilt.
// The source is a read, a watch or a peer; from is that peer.
func (p *settings) adopt(s *tableState, table *jackdawbridge.Table, changed []jackdawbridge.Entry, source string, from jackdawbridge.Node) {
	if s.table != nil && table.Revision() <= s.table.Revision() {
		return
	}
	if s.table == nil { // the wait for a missing table is over
		p.reader.due = p.r.now
		if !from.IsZero() {
			p.reader.due += p.r.members.jitter(p.limitPart(firstReadPermille))
		}
	}
	p.enforce(s, table, changed, source, from)
}

// enforce puts a table in force. See adopt for the arguments.
func (p *settings) enforce(s *tableState, table *jackdawbridge.Table, changed []jackdawbridge.Entry, source string, from jackdawbridge.Node) {
	first := s.table == nil
	s.table = table
	s.fromPeer = !from.IsZero()
	if changed != nil {
		p.index.update(changed)
	} else {
		p.index.rebuild(s.name, table.Entries())
	}
	line := p.r.fx.Log(jackdawbridge.PartSettings, "new table revision in force").About("", from).Str("table", string(s.name)).
		Int("revision", int64(table.Revision())).Int("entries", int64(len(table.Entries()))).Str("source", source)
	if s.confirmed > 0 {
		line.Duration("unconfirmed_ms", p.r.now-s.confirmed)
	}
	p.reportOmissions(s)
	if s.name == jackdawbridge.ConfigTable {
		for _, dc := range p.index.dataCentres() {
			p.r.members.remote.follow(dc)
		}
		p.r.evacuation.update(first)
		p.r.warmup.update()
	}
	p.gossip.roundsLeft, p.gossip.roundDue = roundCount, p.r.now
}

// watches reports whether this node watches the tables.
func (p *settings) watches() bool {
	return !p.r.members.starting() && p.r.members.hashRank < watchers
}

// resetAfterFreeze schedules new checks of the tables at peers and at the platform
// after the process was frozen. The node does not serve until checkReady has marked
// the tables as up to date again.
func (p *settings) resetAfterFreeze() {
	p.gossip.restart(p.r.now)
	p.reader.restart(p.r.now)
}

// eraBegan handles a return of the store from an older copy. Its records are read in full
// at the next reads that are due anyway. The tables in force stay, and an older one in the
// store confirms nothing, until the operators have written the newest one again.
func (p *settings) eraBegan() {
	for _, s := range p.tables() {
		s.versionValid, s.version, s.readRevision = false, 0, 0
	}
}

func (p *settings) wake() jackdawbridge.Millis {
	return min(p.config.wake(p), p.keys.wake(p), p.nextRead(), p.gossip.wake())
}

func (s *tableState) wake(p *settings) jackdawbridge.Millis {
	wake := never
	if p.watches() && !s.watching && s.versionValid {
		wake = s.watchDue
	}
	if s.newest > s.received() {
		wake = min(wake, s.pullDue)
	}
	if s.held.table != nil {
		wake = min(wake, s.held.since+p.applyLimit())
	}
	return wake
}

// tick sends the reads, watches, pulls, notices and probes that are due.
func (p *settings) tick() {
	p.refresh(&p.config)
	p.refresh(&p.keys)
	p.tickReads()
	p.tickGossip()
	p.checkReady()
}

func (p *settings) refresh(s *tableState) {
	p.release(s)
	if s.newest > s.received() && p.r.now >= s.pullDue {
		p.pullAgain(s)
	}
	if p.watches() && !s.watching && s.versionValid && p.r.now >= s.watchDue {
		s.watching = true
		p.r.fx.Watch(s.name, s.version)
	}
}
