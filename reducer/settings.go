package reducer

import (
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// storeRetry is the time before a failed call to the platform is repeated
	// for the first time.
	storeRetry = jackdawbridge.Second
	// maxStoreRetry bounds the time between repeated calls of a node without a
	// table, so that a fleet that starts during an outage does not swamp the
	// platform: 11,000 nodes make 1,400 calls a second.
	maxStoreRetry = 16 * jackdawbridge.Second
	// watchers is the number of members of a data centre that watch the platform.
	watchers = 2
	// deputies is the number of members that watch it while the tables are not
	// confirmed, since the watchers alone may be cut off from it.
	deputies = 6
	// confirmInterval is the time between two reads of a watcher while an account
	// is refused without confirmation. Two may fail within unconfirmedLimit.
	confirmInterval = 3 * jackdawbridge.Second
	// idleConfirmInterval is the default while no account needs confirmation; the
	// reads only repair a watch whose answer was lost.
	idleConfirmInterval = 15 * jackdawbridge.Second
	// unconfirmedLimit is the age of the last confirmation from which accounts
	// that ask for it are refused.
	unconfirmedLimit = 10 * jackdawbridge.Second
	// readyGrace bounds how long a node that has tables waits for peers that do
	// not answer before it serves. It asks 10 times meanwhile: with one message
	// in five lost, all fail once in 25,000.
	readyGrace = 5 * jackdawbridge.Second
	// readyFloor is the least wait of a new process that has peers: the first one
	// to answer has not told of the others yet.
	readyFloor = 300 * jackdawbridge.Millis(1)
	// behindGrace bounds how long it waits for a newer table that peers have.
	behindGrace = 3 * readyGrace
	// readyPeers is the number of peers whose revisions a node awaits.
	readyPeers = 3
)

func isTable(name jackdawbridge.RecordName) bool {
	return name == jackdawbridge.ConfigTable || name == jackdawbridge.KeysTable
}

func isSeed(name jackdawbridge.RecordName) bool {
	return strings.HasPrefix(string(name), string(jackdawbridge.SeedsPrefix))
}

// tableState is one table as this node knows it.
type tableState struct {
	name      jackdawbridge.RecordName
	table     *jackdawbridge.Table // nil until one is known; its revision never falls
	version   uint64               // of the platform's service when last read
	read      bool                 // version is known
	loading   bool                 // a Load is out
	watching  bool                 // a Watch is out
	sent      jackdawbridge.Millis // when the last Load went out
	loadDue   jackdawbridge.Millis // of the next Load
	watchDue  jackdawbridge.Millis // of the next Watch
	retry     jackdawbridge.Millis // before the next Load after a failure
	answered  bool                 // a Load ended since the start or since a freeze
	confirmed jackdawbridge.Millis // the platform held no newer revision then; 0 if never
	refusal   string               // why the platform's record was last refused, logged once
	wanted    uint64               // newest revision that a peer was heard to have
	source    jackdawbridge.Peer   // the peer that has it
	pulls     int                  // in a row that brought nothing
	pullDue   jackdawbridge.Millis // of the next Pull, while wanted is above the own revision
}

// revision returns the revision of the table, 0 if none is known.
func (s *tableState) revision() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Revision()
}

// settings is the part that keeps the configuration and the keys.
type settings struct {
	r      *Reducer
	config tableState
	keys   tableState
	index  index
	spread spread
	idle   jackdawbridge.Millis // between two reads of a watcher while no account needs confirmation
}

func newSettings(r *Reducer) settings {
	return settings{
		r:      r,
		config: tableState{name: jackdawbridge.ConfigTable, retry: storeRetry},
		keys:   tableState{name: jackdawbridge.KeysTable, retry: storeRetry},
		index:  newIndex(),
		spread: newSpread(r.now),
		idle:   idleConfirmInterval,
	}
}

// Digest returns the revisions in force at this node, for operators' commands.
func (r *Reducer) Digest() jackdawbridge.Digest { return r.digest() }

// ready reports whether the node may serve: it has both tables, and after a
// start or a freeze it knows of no newer revision at the platform or at a few
// peers, as far as these answer.
func (p *settings) ready() bool {
	if p.config.table == nil || p.keys.table == nil {
		return false
	}
	return p.spread.settled
}

// settle decides once after a start or a freeze that the tables are new enough.
func (p *settings) settle() {
	if p.spread.settled || p.config.table == nil || p.keys.table == nil {
		return
	}
	waited := p.r.now - p.spread.began
	behind := p.config.wanted > p.config.revision() || p.keys.wanted > p.keys.revision()
	asked := p.config.answered && p.keys.answered && p.r.members.seeds.looked || p.spread.thawed && len(p.spread.heard) > 0
	heard := len(p.spread.heard) >= min(readyPeers, len(p.r.members.live))
	peers := len(p.r.members.live) > 0 || len(p.r.members.seeds.joins) > 0 || p.r.members.seeds.found
	alone := peers && len(p.r.members.live) == 0
	early := peers && !p.spread.thawed && waited < readyFloor
	complete := asked && heard && !alone && !early || waited >= readyGrace
	if complete && !behind || waited >= behindGrace {
		p.spread.settled = true
		p.r.fx.Log(jackdawbridge.PartSettings, "ready").Int("peers_heard", int64(len(p.spread.heard))).Span("waited_ms", waited)
	}
}

// revision returns the revision of a table, 0 if none is known.
func (p *settings) revision(name jackdawbridge.RecordName) uint64 { return p.state(name).revision() }

// confirmedAge returns the time since the platform confirmed both tables,
// directly or relayed.
func (p *settings) confirmedAge() jackdawbridge.Millis {
	return p.r.now - min(p.config.confirmed, p.keys.confirmed)
}

// service returns the configuration of a service.
func (p *settings) service(name jackdawbridge.ServiceName) (*jackdawbridge.Service, bool) {
	s, ok := p.index.services[name]
	return s, ok
}

// identify returns the client account that a request's key stands for.
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
	return account.Name(), account.Bought(), jackdawbridge.NoReason
}

// unlimited reports whether the rate of an account is not enforced.
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

// loaded takes a table from the platform, unless a newer one is in force. Only
// a Load confirms: when a Watch was answered is not known.
func (p *settings) loaded(e *jackdawbridge.StoreLoaded) {
	s := p.state(e.Name())
	if e.Watch() {
		s.watching = false
		s.watchDue = p.r.now
	} else {
		s.loading = false
		s.answered = true
		s.loadDue = p.r.now + p.confirmEvery()
	}
	if e.Status() != jackdawbridge.StoreOK {
		p.failed(s, e.Status())
		return
	}
	s.retry = storeRetry
	s.read = true
	s.version = e.Record().Version()
	table, reason := p.readable(s, e.Record())
	if reason != "" {
		p.refuse(s, reason, int64(s.version))
		return
	}
	s.refusal = ""
	p.adopt(s, table, nil)
	if !e.Watch() && table.Revision() == s.revision() {
		p.confirmAt(s, s.sent)
	}
}

// failed plans the next call after one that the platform did not answer.
func (p *settings) failed(s *tableState, status jackdawbridge.StoreStatus) {
	if status == jackdawbridge.StoreInvalid {
		p.refuse(s, "the platform's record is unreadable", 0)
	} else {
		p.refuse(s, "the platform gave no answer", 0)
	}
	wait := p.r.members.jitter(s.retry)
	s.loadDue, s.watchDue = p.r.now+wait, p.r.now+wait
	s.retry = min(s.retry*2, maxStoreRetry)
	if s.table != nil {
		s.retry = storeRetry
	}
}

// readable returns the table of a record, or why it cannot be put in force.
func (p *settings) readable(s *tableState, record jackdawbridge.Record) (*jackdawbridge.Table, string) {
	table, ok := record.Value().(*jackdawbridge.Table)
	if !ok {
		return nil, "the platform has no table"
	}
	if err := checkEntries(s.name, table.Entries()); err != nil {
		return nil, "the platform's table is refused"
	}
	if table.Revision() == 0 {
		return nil, "the platform's table has no revision"
	}
	if table.Revision() < s.revision() {
		return nil, "the platform's table is older than the one in force"
	}
	if table.Revision() == s.revision() && table.Change() != s.table.Change() {
		return nil, "the platform has another table of the revision in force"
	}
	return table, ""
}

// refuse keeps the last good table in force and logs the reason once, with the
// version or revision that is refused, 0 if none is known.
func (p *settings) refuse(s *tableState, reason string, offered int64) {
	if s.refusal == reason {
		return
	}
	s.refusal = reason
	p.r.fx.Warn(jackdawbridge.PartSettings, reason).Str("table", string(s.name)).
		Int("in_force", int64(s.revision())).Int("offered", offered)
}

// checkEntries fails if a table holds what does not belong there.
func checkEntries(name jackdawbridge.RecordName, entries []jackdawbridge.Entry) error {
	for _, e := range entries {
		isKey := strings.HasPrefix(e.Name(), keyPrefix)
		if isKey != (name == jackdawbridge.KeysTable) || !e.Removed() && isKey != (e.Key() != nil) {
			return errors.Errorf("entry %s does not belong in table %s", e.Name(), name)
		}
	}
	return nil
}

// adopt puts a table in force if its revision is newer, and tells others. The
// changed entries are nil if they are not known.
func (p *settings) adopt(s *tableState, table *jackdawbridge.Table, changed []jackdawbridge.Entry) {
	if s.table != nil && table.Revision() <= s.table.Revision() {
		return
	}
	s.table = table
	if changed != nil {
		p.index.update(changed)
	} else {
		p.index.rebuild(s.name, table.Entries())
	}
	p.r.fx.Log(jackdawbridge.PartSettings, "revision in force").Str("table", string(s.name)).
		Int("revision", int64(table.Revision())).Int("entries", int64(len(table.Entries())))
	if s.name == jackdawbridge.ConfigTable {
		for _, dc := range p.index.dataCentres() {
			p.r.members.regions.follow(dc)
		}
	}
	// Accounts that are refused without a confirmation must not wait for one.
	due := max(p.r.now, p.r.now-p.confirmedAge()+p.confirmEvery())
	p.config.loadDue, p.keys.loadDue = min(p.config.loadDue, due), min(p.keys.loadDue, due)
	p.spread.waves, p.spread.waveDue = waveCount, p.r.now
}

// watches reports whether this node watches the platform at present.
func (p *settings) watches() bool {
	place := p.r.members.place
	return place < watchers || place < deputies && p.confirmedAge() > 2*p.confirmEvery()
}

// confirmEvery returns the time between two reads of a watcher.
func (p *settings) confirmEvery() jackdawbridge.Millis {
	if p.index.refusing > 0 {
		return confirmInterval
	}
	return p.idle
}

// thaw makes the node ask peers and the platform again after the process was
// frozen. It serves again when they have answered.
func (p *settings) thaw() {
	p.spread.restart(p.r.now)
	for _, s := range []*tableState{&p.config, &p.keys} {
		s.answered = false
		s.loadDue = p.r.now
	}
}

func (p *settings) wake() jackdawbridge.Millis {
	return min(p.config.wake(p), p.keys.wake(p), p.spread.wake())
}

func (s *tableState) wake(p *settings) jackdawbridge.Millis {
	wake := never
	watches := p.watches()
	if !s.loading && (watches || !s.answered || s.table == nil) {
		wake = s.loadDue
	}
	if watches && !s.watching && s.read {
		wake = min(wake, s.watchDue)
	}
	if s.wanted > s.revision() {
		wake = min(wake, s.pullDue)
	}
	return wake
}

// tick asks the platform and peers for what is due.
func (p *settings) tick() {
	p.refresh(&p.config)
	p.refresh(&p.keys)
	p.tickSpread()
	p.settle()
}

func (p *settings) refresh(s *tableState) {
	if s.wanted > s.revision() && p.r.now >= s.pullDue {
		p.pullAgain(s)
	}
	watches := p.watches()
	if !s.loading && p.r.now >= s.loadDue && (watches || !s.answered || s.table == nil) {
		s.loading = true
		s.sent = p.r.now
		p.r.fx.Load(s.name)
	}
	if watches && !s.watching && s.read && p.r.now >= s.watchDue {
		s.watching = true
		p.r.fx.Watch(s.name, s.version)
	}
}
