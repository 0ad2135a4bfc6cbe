package main

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/audit"
)

const (
	// maxAttempts bounds how often a change is attempted.
	maxAttempts = 10
	// callTimeout is the timeout of one call to the platform's service.
	callTimeout = 5 * time.Second
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = 500 * time.Millisecond
)

var (
	errOtherChange = errors.New("another change was made in the meantime")
	errMaybeStored = errors.New("the platform's service did not answer, the change may have been made")
)

// edit returns the entries to change in a table, or none if the table already has
// the wanted content.
type edit func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error)

// change is one change of a table in the platform's service. It takes effect at
// most once: compare-and-swap stores it only on top of the revision that it was
// computed from, and after a lost answer its id in the record shows whether it was
// stored.
type change struct {
	store jackdawbridge.Store
	name  jackdawbridge.RecordName
	id    string
	edit  edit
	// replacesTable is set if the change replaces the whole table. Such a change is
	// not attempted again on top of another operator's revision, because it would
	// undo that operator's change.
	replacesTable bool
	retryDelay    time.Duration // delay before a failed call is repeated
}

// newChange returns a change of the named table with a random id.
func newChange(store jackdawbridge.Store, name jackdawbridge.RecordName, e edit) *change {
	return &change{store: store, name: name, id: uuid.NewString(), edit: e, retryDelay: retryDelay}
}

// asReplacement marks c as a change that replaces the whole table and returns c.
func (c *change) asReplacement() *change {
	c.replacesTable = true
	return c
}

// commit stores the change and returns the revision that contains it. It reports
// false if the table had the wanted content already and no earlier attempt may have
// stored it. If the error is errMaybeStored, the revision is the one that the change
// would have, or 0 if another change was stored on top of the same revision.
func (c *change) commit(ctx context.Context) (revision uint64, changed bool, err error) {
	first := true
	var base uint64 // revision that the last attempt was based on
	maybeStored := false
	for range maxAttempts {
		record, table, err := c.load(ctx)
		if err != nil {
			if maybeStored {
				return base + 1, false, errors.Errorf("change %s of %s at revision %d: %w: %w", c.id, c.name, base+1, errMaybeStored, err)
			}
			return 0, false, err
		}
		if table.Change() == c.id {
			return table.Revision(), true, nil
		}
		entries, err := c.edit(table)
		if err != nil {
			return 0, false, err
		}
		if len(entries) == 0 {
			return table.Revision(), maybeStored, nil
		}
		if maybeStored && c.replacesTable && table.Revision() != base {
			return 0, false, errors.Errorf("revision %d of %s was stored by change %s: %w; on an earlier attempt %w", table.Revision(), c.name, table.Change(), errOtherChange, errMaybeStored)
		}
		if !first && c.replacesTable && table.Revision() != base {
			return 0, false, errors.Errorf("change not stored: revision %d of %s was stored by change %s: %w", table.Revision(), c.name, table.Change(), errOtherChange)
		}
		first, base = false, table.Revision()
		next, err := table.Merge(base+1, c.id, atRevision(entries, base+1))
		if err != nil {
			return 0, false, errors.Errorf("change %s: %w", c.name, err)
		}
		err = c.swap(ctx, record.Version(), next)
		if err == nil {
			return next.Revision(), true, nil
		}
		if !errors.Is(err, jackdawbridge.ErrConflict) {
			maybeStored = true
			if !sleep(ctx, c.retryDelay) {
				return base + 1, false, errors.Errorf("change %s of %s: %w: %w", c.id, c.name, errMaybeStored, err)
			}
		}
	}
	if maybeStored {
		return base + 1, false, errors.Errorf("change %s of %s after %d attempts: %w", c.id, c.name, maxAttempts, errMaybeStored)
	}
	return 0, false, errors.Errorf("change %s of %s not stored after %d attempts: %w", c.id, c.name, maxAttempts, errOtherChange)
}

func (c *change) load(ctx context.Context) (jackdawbridge.Record, *jackdawbridge.Table, error) {
	record, err := loadRecord(ctx, c.store, c.name)
	if err != nil {
		return record, nil, err
	}
	table, err := tableFromRecord(record)
	return record, table, err
}

func (c *change) swap(ctx context.Context, version uint64, table *jackdawbridge.Table) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.store.Swap(ctx, c.name, version, table, 0)
	return err
}

// loadRecord reads a record. It makes up to three attempts.
func loadRecord(ctx context.Context, store jackdawbridge.Store, name jackdawbridge.RecordName) (jackdawbridge.Record, error) {
	var record jackdawbridge.Record
	var err error
	for attempt := range 3 {
		if attempt > 0 && !sleep(ctx, retryDelay) {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		record, err = store.Load(callCtx, name)
		cancel()
		if err == nil {
			return record, nil
		}
	}
	return record, errors.Errorf("read %s from the platform: %w", name, err)
}

// tableFromRecord returns the table in a record, or an empty table if the record
// does not exist.
func tableFromRecord(record jackdawbridge.Record) (*jackdawbridge.Table, error) {
	switch value := record.Value().(type) {
	case nil:
		return jackdawbridge.NewTable(0, "", nil)
	case *jackdawbridge.Table:
		return value, nil
	}
	return nil, errors.Errorf("record %s does not hold a table", record.Name())
}

func atRevision(entries []jackdawbridge.Entry, revision uint64) []jackdawbridge.Entry {
	revised := make([]jackdawbridge.Entry, len(entries))
	for i, e := range entries {
		revised[i] = e.WithRevision(revision)
	}
	return revised
}

// replaceWith returns an edit that leaves exactly the given entries in a table.
func replaceWith(entries []jackdawbridge.Entry) edit {
	return func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error) {
		var changed []jackdawbridge.Entry
		for _, d := range audit.Compare(table, entries) {
			changed = append(changed, d.After())
		}
		return changed, nil
	}
}

// sleep waits for the given duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// formatJSON returns a value as indented JSON.
func formatJSON(value any) (string, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return "", errors.Errorf("encode as JSON: %w", err)
	}
	return b.String(), nil
}
