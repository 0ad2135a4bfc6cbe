package jackdawbridge

import (
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"
)

// RecordName names a record in the platform's store.
type RecordName string

// The names of the records.
const (
	ConfigTable RecordName = "config"
	KeysTable   RecordName = "keys"
	// RangesPrefix is followed by the name of a data centre.
	RangesPrefix RecordName = "ranges/"
	// SeedsPrefix is followed by the name of a data centre, a slash and a number.
	SeedsPrefix RecordName = "seeds/"
	// DeparturesPrefix is followed by the name of an instance.
	DeparturesPrefix RecordName = "departures/"
)

// DepartureRecord returns the name of the departure record of an instance.
func DepartureRecord(instance Instance) RecordName { return DeparturesPrefix + RecordName(instance) }

// RangesRecord returns the name of the range record of a data centre.
func RangesRecord(dc DataCentre) RecordName { return RangesPrefix + RecordName(dc) }

// Value is the content of a record: a *Table, a *Ranges, a *Seed or a
// *Departures.
type Value interface{ value() }

// Record is a value as read from the platform's store.
type Record struct {
	name       RecordName
	version    uint64   // unique for each change, also over eras of the store; 0 if the record does not exist
	value      Value    // nil if the record does not exist or is unchanged
	unchanged  bool     // the record has the version that the reader named
	companions []Record // other records of the same item of the platform, read with this one
	latest     uint64   // see Latest
}

// NewRecord returns a record read at the given version.
func NewRecord(name RecordName, version uint64, value Value) Record {
	return Record{name: name, version: version, value: value}
}

// NewUnchangedRecord returns a record that still has the version that its reader named.
func NewUnchangedRecord(name RecordName, version uint64) Record {
	return Record{name: name, version: version, unchanged: true}
}

// WithCompanions returns r with other records that the platform holds in the same item,
// so that they are of the same state.
func (r Record) WithCompanions(companions ...Record) Record {
	r.companions = companions
	return r
}

// WithLatest returns r as the record of a table that was the latest one up to a revision.
func (r Record) WithLatest(revision uint64) Record {
	r.latest = revision
	return r
}

// Latest returns the revision up to which the table of r was the latest one when it was
// read, 0 if only the table's own revision is known. It orders tables from which an entry
// was removed without a change of the table's own revision.
func (r Record) Latest() uint64 { return r.latest }

// Unchanged reports whether r still has the version that its reader named.
func (r Record) Unchanged() bool { return r.unchanged }

// Companions returns the records of the same item that were read with r.
func (r Record) Companions() []Record { return r.companions }

// Name returns the name of r.
func (r Record) Name() RecordName { return r.name }

// Version returns the version of r in the platform's store, 0 if r does not exist.
func (r Record) Version() uint64 { return r.version }

// Value returns the value of r, nil if r does not exist.
func (r Record) Value() Value { return r.value }

// Entry is an entry of a table. Exactly one of the fields below revision is set, or none if
// the entry is a tombstone.
type Entry struct {
	name      string // unique in the table
	revision  uint64 // of the table at the last change of the entry
	account   *Account
	service   *Service
	key       *Key
	slowStart *SlowStart
	evacuated DataCentre
}

// AccountEntry returns the entry of a client account.
func AccountEntry(a *Account) Entry {
	return Entry{name: "account/" + string(a.name), account: a}
}

// ServiceEntry returns the entry of a service.
func ServiceEntry(s *Service) Entry {
	return Entry{name: "service/" + string(s.name), service: s}
}

// KeyEntry returns the entry of a key.
func KeyEntry(k *Key) Entry {
	return Entry{name: KeyEntryName(k.hash), key: k}
}

// KeyEntryName returns the name of the entry of the key with the given hash.
func KeyEntryName(hash KeyHash) string { return "key/" + hex.EncodeToString(hash[:]) }

// Tombstone returns the entry that removes the entry with the given name.
func Tombstone(name string) Entry { return Entry{name: name} }

// WithRevision returns e as changed at the given revision.
func (e Entry) WithRevision(revision uint64) Entry {
	e.revision = revision
	return e
}

// Name returns the name of e.
func (e Entry) Name() string { return e.name }

// Revision returns the revision of the table at which e last changed.
func (e Entry) Revision() uint64 { return e.revision }

// Account returns the client account of e, or nil.
func (e Entry) Account() *Account { return e.account }

// Service returns the service of e, or nil.
func (e Entry) Service() *Service { return e.service }

// Key returns the key of e, or nil.
func (e Entry) Key() *Key { return e.key }

// SlowStart returns the slow start of e, or nil.
func (e Entry) SlowStart() *SlowStart { return e.slowStart }

// Evacuated returns the data centre whose backend servers are to get no requests, or "".
func (e Entry) Evacuated() DataCentre { return e.evacuated }

// Removed reports whether e is a tombstone.
func (e Entry) Removed() bool {
	return e.account == nil && e.service == nil && e.key == nil && e.slowStart == nil && e.evacuated == ""
}

// Table is a set of entries under one revision. It is immutable; a change creates a
// new table.
type Table struct {
	revision uint64  // increases with each change
	change   string  // id of the change that created this revision
	entries  []Entry // sorted by name; no entry has a revision above that of the table

	omissions Omissions // parts of the table's source that cannot be used
}

// NewTable returns a table with the given entries.
func NewTable(revision uint64, change string, entries []Entry) (*Table, error) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b Entry) int {
		if a.name < b.name {
			return -1
		}
		if a.name > b.name {
			return 1
		}
		return 0
	})
	for i, e := range sorted {
		if i > 0 && sorted[i-1].name == e.name {
			return nil, errors.Errorf("duplicate entry %s", e.name)
		}
		if e.revision > revision {
			return nil, errors.Errorf("entry %s has revision %d: want at most %d", e.name, e.revision, revision)
		}
	}
	return &Table{revision: revision, change: change, entries: sorted}, nil
}

func (*Table) value() {}

// Revision returns the revision of t.
func (t *Table) Revision() uint64 { return t.revision }

// At returns a copy of t as a later revision of all its entries.
func (t *Table) At(revision uint64) *Table {
	c := *t
	c.revision = revision
	c.entries = slices.Clone(t.entries)
	for i := range c.entries {
		c.entries[i].revision = revision
	}
	return &c
}

// Change returns the id of the change that created t.
func (t *Table) Change() string { return t.change }

// WithOmissions returns a copy of t whose source has parts that cannot be used.
func (t *Table) WithOmissions(omissions Omissions) *Table {
	c := *t
	c.omissions = omissions
	return &c
}

// Omissions returns the parts of the table's source that cannot be used.
func (t *Table) Omissions() Omissions { return t.omissions }

// Entries returns the entries of t, tombstones included, sorted by name. The caller
// must not change them.
func (t *Table) Entries() []Entry { return t.entries }

// Entry returns the entry with the given name, and whether it exists and is not a
// tombstone.
func (t *Table) Entry(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(t.entries, name, func(e Entry, name string) int {
		if e.name < name {
			return -1
		}
		if e.name > name {
			return 1
		}
		return 0
	})
	if !ok || t.entries[i].Removed() {
		return Entry{}, false
	}
	return t.entries[i], true
}

// Since returns the entries that changed after the given revision.
func (t *Table) Since(revision uint64) []Entry {
	var changed []Entry
	for _, e := range t.entries {
		if e.revision > revision {
			changed = append(changed, e)
		}
	}
	return changed
}

// Merge returns a copy of t at a newer revision in which the changed entries replace
// those with the same names.
func (t *Table) Merge(revision uint64, change string, changed []Entry) (*Table, error) {
	if revision <= t.revision {
		return nil, errors.Errorf("revision %d does not follow %d", revision, t.revision)
	}
	byName := make(map[string]Entry, len(t.entries)+len(changed))
	for _, e := range t.entries {
		byName[e.name] = e
	}
	for _, e := range changed {
		byName[e.name] = e
	}
	entries := make([]Entry, 0, len(byName))
	for _, e := range byName {
		entries = append(entries, e)
	}
	merged, err := NewTable(revision, change, entries)
	if err != nil {
		return nil, errors.Errorf("merge entries into a table of revision %d: %w", revision, err)
	}
	return merged, nil
}

// RangeCount is the number of ranges of each data centre.
const RangeCount = 64

// Ranges is the range record of a data centre: it names the node that holds each
// range. It is immutable.
type Ranges struct {
	epoch           uint64           // increases with each change
	pending         bool             // ranges with a new holder are not in use yet
	holders         [RangeCount]Node // zero for a range without a holder
	previousHolders [RangeCount]Node // holders of the last settled epoch, while pending
	witnesses       []Node           // of this epoch, at most maxWitnesses
	electors        []Node           // witnesses of the last settled epoch, while pending
}

// NewRanges returns a settled range record.
func NewRanges(epoch uint64, holders [RangeCount]Node, witnesses []Node) *Ranges {
	return &Ranges{epoch: epoch, holders: holders, witnesses: slices.Clone(witnesses)}
}

func (*Ranges) value() {}

// Next returns the pending record of the epoch after the settled record r.
func (r *Ranges) Next(holders [RangeCount]Node, witnesses []Node) *Ranges {
	return &Ranges{
		epoch: r.epoch + 1, pending: true, holders: holders, previousHolders: r.holders,
		witnesses: slices.Clone(witnesses), electors: r.witnesses,
	}
}

// RestorePending returns a pending record that was read from the platform or received
// from a peer.
func RestorePending(epoch uint64, holders, previousHolders [RangeCount]Node, witnesses, electors []Node) *Ranges {
	return &Ranges{
		epoch: epoch, pending: true, holders: holders, previousHolders: previousHolders,
		witnesses: slices.Clone(witnesses), electors: slices.Clone(electors),
	}
}

// Settle returns the settled record of r, in which the ranges with a new holder are in
// use.
func (r *Ranges) Settle() *Ranges {
	return &Ranges{epoch: r.epoch, holders: r.holders, witnesses: r.witnesses}
}

// Epoch returns the epoch of r.
func (r *Ranges) Epoch() uint64 { return r.epoch }

// Pending reports whether r is not settled: ranges with a new holder are not in use
// yet.
func (r *Ranges) Pending() bool { return r.pending }

// Holder returns the holder of range i, zero if it has none.
func (r *Ranges) Holder(i int) Node { return r.holders[i] }

// Holders returns the holders of all ranges.
func (r *Ranges) Holders() [RangeCount]Node { return r.holders }

// PreviousHolder returns the holder of range i at the last settled epoch.
func (r *Ranges) PreviousHolder(i int) Node {
	if r.pending {
		return r.previousHolders[i]
	}
	return r.holders[i]
}

// Witnesses returns the witnesses of r. The caller must not change them.
func (r *Ranges) Witnesses() []Node { return r.witnesses }

// Electors returns the witnesses of the last settled epoch, whose promises allow r to
// be settled. A settled record has none. The caller must not change them.
func (r *Ranges) Electors() []Node { return r.electors }

// Seed is a leased record that names a member of a data centre, through which new
// nodes join.
type Seed struct{ peer Peer }

// NewSeed returns the seed record of a member.
func NewSeed(peer Peer) *Seed { return &Seed{peer: peer} }

func (*Seed) value() {}

// Peer returns the member that s names.
func (s *Seed) Peer() Peer { return s.peer }

// MaxDepartures is the maximum number of departures in a record.
const MaxDepartures = 8

// Departures is the record of the last departures that backend servers of an instance
// announced. A new process of the node reads it, so that it does not believe a late
// announcement from before a departure. A nil record has none.
type Departures struct {
	list []DepartedProcess // at most MaxDepartures, the latest at the end
}

// NewDepartures returns the record of the last MaxDepartures of a list of departures, the
// latest at the end.
func NewDepartures(list []DepartedProcess) *Departures {
	return &Departures{list: list[max(0, len(list)-MaxDepartures):]}
}

func (*Departures) value() {}

// List returns the departures, the latest at the end.
func (d *Departures) List() []DepartedProcess {
	if d == nil {
		return nil
	}
	return d.list
}

// Equal reports whether d and o contain the same departures in the same order.
func (d *Departures) Equal(o *Departures) bool { return slices.Equal(d.List(), o.List()) }
