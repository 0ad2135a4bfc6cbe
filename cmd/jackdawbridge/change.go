package main

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxTries bounds how often a change starts over.
	maxTries = 10
	// callTimeout bounds one call to the platform's service.
	callTimeout = 5 * time.Second
	// retryPause is the time before a call that was not answered is repeated.
	retryPause = 500 * time.Millisecond
)

var (
	errOvertaken = errors.New("another change was made in the meantime")
	errUndecided = errors.New("the platform's service did not answer, the change may have been made")
)

// edit returns the entries to change in a table, none if the table is as wanted.
type edit func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error)

// change is one change of a table in the platform's service. It is made once:
// compare-and-swap lets it follow one revision only, and its id in the record
// tells after a lost answer whether it was made.
type change struct {
	store jackdawbridge.Store
	name  jackdawbridge.RecordName
	id    string
	edit  edit
	// replaces is set for a change that replaces the whole table. It must not
	// start over on the revision of another operator, whose change it would undo.
	replaces bool
	retry    time.Duration // before a call that was not answered is repeated
}

// newChange returns a change of a table with a new id.
func newChange(store jackdawbridge.Store, name jackdawbridge.RecordName, e edit) *change {
	return &change{store: store, name: name, id: uuid.NewString(), edit: e, retry: retryPause}
}

// replacing returns c as a change that replaces the whole table.
func (c *change) replacing() *change {
	c.replaces = true
	return c
}

// make makes the change and returns the revision that holds it, and whether
// the table had to change.
func (c *change) make(ctx context.Context) (revision uint64, changed bool, err error) {
	first := true
	var base uint64 // revision that the change follows
	doubtful := false
	for range maxTries {
		record, table, err := c.load(ctx)
		if err != nil {
			if doubtful {
				return base + 1, false, errors.Errorf("change %s of %s at revision %d: %w: %w", c.id, c.name, base+1, errUndecided, err)
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
			return table.Revision(), doubtful, nil
		}
		if doubtful && c.replaces && table.Revision() != base {
			return 0, false, errors.Errorf("revision %d of %s by change %s: %w; before it, %w", table.Revision(), c.name, table.Change(), errOvertaken, errUndecided)
		}
		if !first && c.replaces && table.Revision() != base {
			return 0, false, errors.Errorf("revision %d of %s by change %s: %w", table.Revision(), c.name, table.Change(), errOvertaken)
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
			doubtful = true
			if !pause(ctx, c.retry) {
				return base + 1, false, errors.Errorf("change %s of %s: %w: %w", c.id, c.name, errUndecided, err)
			}
		}
	}
	if doubtful {
		return base + 1, false, errors.Errorf("change %s of %s after %d tries: %w", c.id, c.name, maxTries, errUndecided)
	}
	return 0, false, errors.Errorf("change %s of %s after %d tries: %w", c.id, c.name, maxTries, errOvertaken)
}

func (c *change) load(ctx context.Context) (jackdawbridge.Record, *jackdawbridge.Table, error) {
	record, err := loadRecord(ctx, c.store, c.name)
	if err != nil {
		return record, nil, err
	}
	table, err := tableOf(record)
	return record, table, err
}

func (c *change) swap(ctx context.Context, version uint64, table *jackdawbridge.Table) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.store.Swap(ctx, c.name, version, table, 0)
	return err
}

// loadRecord reads a record and repeats a call that fails once or twice.
func loadRecord(ctx context.Context, store jackdawbridge.Store, name jackdawbridge.RecordName) (jackdawbridge.Record, error) {
	var record jackdawbridge.Record
	var err error
	for try := range 3 {
		if try > 0 && !pause(ctx, retryPause) {
			break
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		record, err = store.Load(call, name)
		cancel()
		if err == nil {
			return record, nil
		}
	}
	return record, errors.Errorf("read %s from the platform: %w", name, err)
}

// tableOf returns the table in a record, an empty one if there is none.
func tableOf(record jackdawbridge.Record) (*jackdawbridge.Table, error) {
	switch value := record.Value().(type) {
	case nil:
		return jackdawbridge.NewTable(0, "", nil)
	case *jackdawbridge.Table:
		return value, nil
	}
	return nil, errors.Errorf("record %s holds no table", record.Name())
}

func atRevision(entries []jackdawbridge.Entry, revision uint64) []jackdawbridge.Entry {
	at := make([]jackdawbridge.Entry, len(entries))
	for i, e := range entries {
		at[i] = e.WithRevision(revision)
	}
	return at
}

// replaceWith returns the edit that makes a table hold exactly the given entries.
func replaceWith(entries []jackdawbridge.Entry) edit {
	return func(table *jackdawbridge.Table) ([]jackdawbridge.Entry, error) {
		var changed []jackdawbridge.Entry
		wanted := make(map[string]bool, len(entries))
		for _, e := range entries {
			wanted[e.Name()] = true
			old, ok := table.Entry(e.Name())
			if !ok || !reflect.DeepEqual(old.WithRevision(0), e.WithRevision(0)) {
				changed = append(changed, e)
			}
		}
		for _, old := range table.Entries() {
			if !wanted[old.Name()] && !old.Removed() {
				changed = append(changed, jackdawbridge.Tombstone(old.Name()))
			}
		}
		return changed, nil
	}
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// printJSON returns a value as indented JSON.
func printJSON(value any) (string, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return "", errors.Errorf("print: %w", err)
	}
	return b.String(), nil
}
