package reducer

import (
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// storeRetry is the time before a failed call to the platform is repeated.
const storeRetry = jackdawbridge.Second

func isTable(name jackdawbridge.RecordName) bool {
	return name == jackdawbridge.ConfigTable || name == jackdawbridge.KeysTable
}

func isSeed(name jackdawbridge.RecordName) bool {
	return strings.HasPrefix(string(name), string(jackdawbridge.SeedsPrefix))
}

// tableState is one table as this node knows it.
type tableState struct {
	name    jackdawbridge.RecordName
	table   *jackdawbridge.Table // nil until one is known
	version uint64               // of the platform's service when last read
	asked   bool                 // a Load or a Watch is out
	due     jackdawbridge.Millis // of the next Load or Watch, when none is out
}

// settings is the part that keeps the configuration and the keys.
type settings struct {
	r         *Reducer
	config    tableState
	keys      tableState
	confirmed jackdawbridge.Millis // when the platform last confirmed both tables
}

func newSettings(r *Reducer) settings {
	return settings{
		r:      r,
		config: tableState{name: jackdawbridge.ConfigTable},
		keys:   tableState{name: jackdawbridge.KeysTable},
	}
}

// ready reports whether the node has a configuration and keys.
func (p *settings) ready() bool { return p.config.table != nil && p.keys.table != nil }

// revision returns the revision of a table, 0 if none is known.
func (p *settings) revision(name jackdawbridge.RecordName) uint64 {
	t := p.state(name).table
	if t == nil {
		return 0
	}
	return t.Revision()
}

// confirmedAge returns the time since the platform confirmed both tables,
// directly or relayed.
func (p *settings) confirmedAge() jackdawbridge.Millis { return p.r.now - p.confirmed }

// service returns the configuration of a service.
func (p *settings) service(name jackdawbridge.ServiceName) (*jackdawbridge.Service, bool) {
	e, ok := p.config.table.Entry("service/" + string(name))
	return e.Service(), ok && e.Service() != nil
}

// account returns the configuration of a client account.
func (p *settings) account(name jackdawbridge.AccountName) (*jackdawbridge.Account, bool) {
	if p.config.table == nil {
		return nil, false
	}
	e, ok := p.config.table.Entry("account/" + string(name))
	return e.Account(), ok && e.Account() != nil
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
	e, ok := p.keys.table.Entry(jackdawbridge.KeyEntryName(hash))
	if !ok || e.Key() == nil {
		return "", false, jackdawbridge.InvalidKey
	}
	account, ok := p.account(e.Key().Account())
	if !ok {
		return "", false, jackdawbridge.InvalidKey
	}
	return account.Name(), account.Bought(), jackdawbridge.NoReason
}

func (p *settings) state(name jackdawbridge.RecordName) *tableState {
	if name == jackdawbridge.KeysTable {
		return &p.keys
	}
	return &p.config
}

// loaded takes a table from the platform, unless a newer one is in force.
func (p *settings) loaded(e *jackdawbridge.StoreLoaded) {
	s := p.state(e.Name())
	s.asked = false
	s.due = p.r.now
	if e.Status() != jackdawbridge.StoreOK {
		s.due = p.r.now + storeRetry
		p.r.fx.Warn(jackdawbridge.PartSettings, "the platform gave no table").With(string(e.Name()), 0)
		return
	}
	s.version = e.Record().Version()
	table, ok := e.Record().Value().(*jackdawbridge.Table)
	if !ok {
		s.due = p.r.now + storeRetry
		return
	}
	p.adopt(s, table)
}

// adopt puts a table in force if its revision is newer.
func (p *settings) adopt(s *tableState, table *jackdawbridge.Table) {
	if s.table != nil && table.Revision() <= s.table.Revision() {
		return
	}
	s.table = table
	p.r.fx.Log(jackdawbridge.PartSettings, "revision in force").With(string(s.name), int64(table.Revision()))
}

// heard takes note of the revisions that a peer knows.
func (p *settings) heard(jackdawbridge.Peer, jackdawbridge.Digest) {}

// pull sends a peer what changed in a table.
func (p *settings) pull(jackdawbridge.Peer, *jackdawbridge.Pull) {}

// delta takes the changes of a table from a peer.
func (p *settings) delta(jackdawbridge.Peer, *jackdawbridge.Delta) {}

// thaw asks the platform again after the process was frozen.
func (p *settings) thaw() {}

func (p *settings) wake() jackdawbridge.Millis {
	return min(p.config.wake(), p.keys.wake())
}

func (s *tableState) wake() jackdawbridge.Millis {
	if s.asked {
		return never
	}
	return s.due
}

// tick asks the platform for what is due.
func (p *settings) tick() {
	p.refresh(&p.config)
	p.refresh(&p.keys)
}

func (p *settings) refresh(s *tableState) {
	if s.asked || p.r.now < s.due {
		return
	}
	s.asked = true
	if s.version == 0 {
		p.r.fx.Load(s.name)
		return
	}
	p.r.fx.Watch(s.name, s.version)
}

// confirm takes the digest of a peer that answered a probe sent at the given
// instant.
func (p *settings) confirm(jackdawbridge.Millis, jackdawbridge.Digest) {}
