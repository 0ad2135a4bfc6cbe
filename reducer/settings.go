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
	// tables.
	watchers = 2
	// backupWatchers is the number of members that watch the platform, the regular
	// watchers included, while a confirmation of the tables is overdue: the regular
	// watchers may be cut off from the platform.
	backupWatchers = 6
	// confirmInterval is the time between two reads of a table by a watcher while
	// some account requires confirmed tables. Two reads may fail within
	// unconfirmedLimit.
	confirmInterval = 3 * jackdawbridge.Second
	// defaultIdleConfirmInterval is the default time between two reads while no account
	// requires confirmed tables. The reads are then needed only in case the answer
	// to a watch was lost.
	defaultIdleConfirmInterval = 15 * jackdawbridge.Second
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
	table        *jackdawbridge.Table // nil until one has been loaded; its revision never falls
	version      uint64               // version of the platform's record when last read
	versionValid bool                 // version has been set by a successful read
	loading      bool                 // a Load is pending
	watching     bool                 // a Watch is pending
	loadSent     jackdawbridge.Millis // when the last Load was sent
	loadDue      jackdawbridge.Millis // time of the next Load
	watchDue     jackdawbridge.Millis // time of the next Watch
	retryWait    jackdawbridge.Millis // mean time from the next failure to the call after it
	loadEnded    bool                 // a Load has succeeded or failed since the start or the last freeze
	confirmed    jackdawbridge.Millis // latest time at which the platform is proven to have had no newer revision, 0 if none
	refusal      string               // why a table was last refused, so that this is logged once
	newest       uint64               // newest revision that a peer reported
	source       jackdawbridge.Peer   // the peer that first reported newest
	pulls        int                  // number of repeated pulls of newest, at most maxPulls+1
	pullDue      jackdawbridge.Millis // time of the next Pull, while newest is above this node's revision
}

// revision returns the revision of the table in force, 0 if there is none.
func (s *tableState) revision() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Revision()
}

// settings is the part that keeps the configuration and key tables up to date.
type settings struct {
	r            *Reducer
	config       tableState
	keys         tableState
	index        index
	gossip       tableGossip
	idleInterval jackdawbridge.Millis // time between two reads by a watcher while no account requires confirmed tables
}

func newSettings(r *Reducer) settings {
	return settings{
		r:            r,
		config:       tableState{name: jackdawbridge.ConfigTable, retryWait: storeRetry},
		keys:         tableState{name: jackdawbridge.KeysTable, retryWait: storeRetry},
		index:        newIndex(),
		gossip:       newTableGossip(r.now),
		idleInterval: defaultIdleConfirmInterval,
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
	sourcesAnswered := p.config.loadEnded && p.keys.loadEnded && p.r.members.seeds.scanned || p.gossip.afterFreeze && len(p.gossip.reporters) > 0
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
		return "", false, jackdawbridge.InvalidKey
	}
	account, ok := p.index.accounts[key.Account()]
	if !ok {
		return "", false, jackdawbridge.InvalidKey
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

// loaded handles the result of a Load or Watch of a table, and puts the table in force
// if it is newer than the present one. Only a Load confirms a table, as of the time
// when it was sent: for a Watch it is unknown when the platform answered.
func (p *settings) loaded(e *jackdawbridge.StoreLoaded) {
	s := p.state(e.Name())
	if e.Watch() {
		s.watching = false
		s.watchDue = p.r.now
	} else {
		s.loading = false
		s.loadEnded = true
		s.loadDue = p.r.now + p.readInterval()
	}
	if e.Status() != jackdawbridge.StoreOK {
		p.failed(s, e.Status())
		return
	}
	s.retryWait = storeRetry
	s.versionValid = true
	s.version = e.Record().Version()
	table, reason := p.readable(s, e.Record())
	if reason != "" {
		if s.table == nil && !p.watches() {
			s.loadDue = p.r.now + missingTableInterval
		}
		p.refuse(s, reason, int64(s.version))
		return
	}
	s.refusal = ""
	source := "read"
	if e.Watch() {
		source = "watch"
	}
	p.adopt(s, table, nil, source, jackdawbridge.Node{})
	if !e.Watch() && table.Revision() == s.revision() {
		p.confirmAt(s, s.loadSent)
	}
}

// failed schedules the next calls to the platform after one that failed. The wait
// doubles with each failure only while this node has no table.
func (p *settings) failed(s *tableState, status jackdawbridge.StoreStatus) {
	if status == jackdawbridge.StoreInvalid {
		p.refuse(s, "table in force not replaced: the platform's record is unreadable", 0)
	} else {
		p.refuse(s, "table in force not replaced: the platform did not answer", 0)
	}
	wait := p.r.members.jitter(s.retryWait)
	s.loadDue, s.watchDue = p.r.now+wait, p.r.now+wait
	s.retryWait = min(s.retryWait*2, maxStoreRetry)
	if s.table != nil {
		s.retryWait = storeRetry
	}
}

// readable returns the table in a record, or the text to log if it is refused.
func (p *settings) readable(s *tableState, record jackdawbridge.Record) (*jackdawbridge.Table, string) {
	table, ok := record.Value().(*jackdawbridge.Table)
	if !ok {
		return nil, "table in force not replaced: the platform has no table"
	}
	if err := checkEntries(s.name, table.Entries()); err != nil {
		return nil, "table in force not replaced: the platform's table has entries that do not belong in it"
	}
	if table.Revision() == 0 {
		return nil, "table in force not replaced: the platform's table has no revision"
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

// adopt puts a table in force if its revision is newer, and schedules notices to
// peers. If changed is nil, the changed entries are unknown and the index is rebuilt.
// The source is a read, a watch or a peer; from is that peer.
func (p *settings) adopt(s *tableState, table *jackdawbridge.Table, changed []jackdawbridge.Entry, source string, from jackdawbridge.Node) {
	if s.table != nil && table.Revision() <= s.table.Revision() {
		return
	}
	s.table = table
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
	if s.name == jackdawbridge.ConfigTable {
		for _, dc := range p.index.dataCentres() {
			p.r.members.remote.follow(dc)
		}
	}
	// The table may have the first account that requires confirmed tables. The next
	// read must then not wait for the end of the longer idle interval.
	due := max(p.r.now, p.r.now-p.confirmedAge()+p.readInterval())
	p.config.loadDue, p.keys.loadDue = min(p.config.loadDue, due), min(p.keys.loadDue, due)
	p.gossip.roundsLeft, p.gossip.roundDue = roundCount, p.r.now
}

// watches reports whether this node is currently a watcher of the platform.
func (p *settings) watches() bool {
	if p.r.members.starting() {
		return false
	}
	rank := p.r.members.hashRank
	return rank < watchers || rank < backupWatchers && p.confirmedAge() > 2*p.readInterval()
}

// readInterval returns the time between two reads of a table by a watcher.
func (p *settings) readInterval() jackdawbridge.Millis {
	if p.index.accountsRequiringConfirmation > 0 {
		return confirmInterval
	}
	return p.idleInterval
}

// resetAfterFreeze schedules new checks of the tables at peers and at the platform
// after the process was frozen. The node does not serve until checkReady has marked
// the tables as up to date again.
func (p *settings) resetAfterFreeze() {
	p.gossip.restart(p.r.now)
	for _, s := range []*tableState{&p.config, &p.keys} {
		s.loadEnded = false
		s.loadDue = p.r.now
	}
}

func (p *settings) wake() jackdawbridge.Millis {
	return min(p.config.wake(p), p.keys.wake(p), p.gossip.wake())
}

func (s *tableState) wake(p *settings) jackdawbridge.Millis {
	wake := never
	watches := p.watches()
	if !s.loading && (watches || !s.loadEnded || s.table == nil) {
		wake = s.loadDue
	}
	if watches && !s.watching && s.versionValid {
		wake = min(wake, s.watchDue)
	}
	if s.newest > s.revision() {
		wake = min(wake, s.pullDue)
	}
	return wake
}

// tick sends the reads, watches, pulls, notices and probes that are due.
func (p *settings) tick() {
	p.refresh(&p.config)
	p.refresh(&p.keys)
	p.tickGossip()
	p.checkReady()
}

func (p *settings) refresh(s *tableState) {
	if s.newest > s.revision() && p.r.now >= s.pullDue {
		p.pullAgain(s)
	}
	watches := p.watches()
	if watches && s.table == nil && s.retryWait == storeRetry {
		s.loadDue = min(s.loadDue, s.loadSent+p.readInterval())
	}
	if !s.loading && p.r.now >= s.loadDue && (watches || !s.loadEnded || s.table == nil) {
		s.loading = true
		s.loadSent = p.r.now
		p.r.fx.Load(s.name)
	}
	if watches && !s.watching && s.versionValid && p.r.now >= s.watchDue {
		s.watching = true
		p.r.fx.Watch(s.name, s.version)
	}
}
