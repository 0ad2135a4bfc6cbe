package jackdawbridge

// RevisionNotice announces that the sender has newer revisions. Its frame's digest
// lists them.
type RevisionNotice struct{}

// NewRevisionNotice returns the announcement of newer revisions.
func NewRevisionNotice() *RevisionNotice { return &RevisionNotice{} }

// Pull requests the changes of a table since a revision, or the range record of a data
// centre if it is newer than that of the sender.
type Pull struct {
	name  RecordName
	since uint64 // revision of a table, Digest.RangesProgress of a range record
}

// NewPull returns the request for the changes of a record since the given revision or
// progress.
func NewPull(name RecordName, since uint64) *Pull { return &Pull{name: name, since: since} }

// Name returns the name of the record.
func (p *Pull) Name() RecordName { return p.name }

// Since returns the revision of the sender's table, or the progress of its range record
// as in Digest.RangesProgress.
func (p *Pull) Since() uint64 { return p.since }

// TableDelta carries the entries of a table that changed since a revision.
type TableDelta struct {
	name     RecordName
	since    uint64 // revision to which the entries are applied
	revision uint64 // above since
	change   string // id of the change that created the revision
	entries  []Entry

	omissions Omissions // of the table
}

// NewTableDelta returns the changes from the revision since to a newer revision.
func NewTableDelta(name RecordName, since, revision uint64, change string, entries []Entry) *TableDelta {
	return &TableDelta{name: name, since: since, revision: revision, change: change, entries: entries}
}

// WithOmissions returns d with the omissions of the table.
func (d *TableDelta) WithOmissions(omissions Omissions) *TableDelta {
	d.omissions = omissions
	return d
}

// Omissions returns the omissions of the table that results from applying the entries.
func (d *TableDelta) Omissions() Omissions { return d.omissions }

// Name returns the name of the table.
func (d *TableDelta) Name() RecordName { return d.name }

// Since returns the revision to which the entries are applied.
func (d *TableDelta) Since() uint64 { return d.since }

// Revision returns the revision that results from applying the entries.
func (d *TableDelta) Revision() uint64 { return d.revision }

// Change returns the id of the change that created the revision.
func (d *TableDelta) Change() string { return d.change }

// Entries returns the changed entries.
func (d *TableDelta) Entries() []Entry { return d.entries }

// RangesUpdate carries the whole range record of a data centre.
type RangesUpdate struct {
	dataCentre DataCentre
	version    uint64 // version of the record in the platform's store
	ranges     *Ranges
}

// NewRangesUpdate returns the range record of a data centre as it was read from the
// platform at a version.
func NewRangesUpdate(dc DataCentre, version uint64, ranges *Ranges) *RangesUpdate {
	return &RangesUpdate{dataCentre: dc, version: version, ranges: ranges}
}

// DataCentre returns the data centre of the record.
func (u *RangesUpdate) DataCentre() DataCentre { return u.dataCentre }

// Version returns the version of the record in the platform's store.
func (u *RangesUpdate) Version() uint64 { return u.version }

// Ranges returns the range record.
func (u *RangesUpdate) Ranges() *Ranges { return u.ranges }

func (*RevisionNotice) message() {}
func (*Pull) message()           {}
func (*TableDelta) message()     {}
func (*RangesUpdate) message()   {}
