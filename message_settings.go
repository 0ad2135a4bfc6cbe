package jackdawbridge

// Newer tells that the sender has newer revisions; they are in its digest.
type Newer struct{}

// NewNewer returns the announcement of newer revisions.
func NewNewer() *Newer { return &Newer{} }

// Pull asks for what changed in a record since a revision or an epoch.
type Pull struct {
	name  RecordName
	since uint64
}

// NewPull returns the request for the changes of a record since a revision.
func NewPull(name RecordName, since uint64) *Pull { return &Pull{name: name, since: since} }

// Name returns the name of the record.
func (p *Pull) Name() RecordName { return p.name }

// Since returns the revision that the sender has.
func (p *Pull) Since() uint64 { return p.since }

// Delta carries the entries of a table that changed since a revision.
type Delta struct {
	name     RecordName
	since    uint64 // the revision that the entries follow
	revision uint64 // above since
	change   string // id of the change that made the revision
	entries  []Entry
}

// NewDelta returns the changes that lead from one revision to another.
func NewDelta(name RecordName, since, revision uint64, change string, entries []Entry) *Delta {
	return &Delta{name: name, since: since, revision: revision, change: change, entries: entries}
}

// Name returns the name of the table.
func (d *Delta) Name() RecordName { return d.name }

// Since returns the revision that the entries follow.
func (d *Delta) Since() uint64 { return d.since }

// Revision returns the revision that the entries lead to.
func (d *Delta) Revision() uint64 { return d.revision }

// Change returns the id of the change that made the revision.
func (d *Delta) Change() string { return d.change }

// Entries returns the changed entries.
func (d *Delta) Entries() []Entry { return d.entries }

// RangesDelta carries the range record of a data centre.
type RangesDelta struct {
	dataCentre DataCentre
	version    uint64 // of the platform's service
	ranges     *Ranges
}

// NewRangesDelta returns the range record of a data centre as read at a version.
func NewRangesDelta(dc DataCentre, version uint64, ranges *Ranges) *RangesDelta {
	return &RangesDelta{dataCentre: dc, version: version, ranges: ranges}
}

// DataCentre returns the data centre of the record.
func (d *RangesDelta) DataCentre() DataCentre { return d.dataCentre }

// Version returns the platform's version of the record.
func (d *RangesDelta) Version() uint64 { return d.version }

// Ranges returns the record.
func (d *RangesDelta) Ranges() *Ranges { return d.ranges }

func (*Newer) message()       {}
func (*Pull) message()        {}
func (*Delta) message()       {}
func (*RangesDelta) message() {}
