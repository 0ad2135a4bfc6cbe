package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// storeTimeout bounds a call to the platform.
	storeTimeout = 5 * time.Second
	// watchTimeout bounds the wait for a change of a record. If the connection fails
	// without an error, changes go unnoticed for at most this time.
	watchTimeout = 30 * time.Second
)

// loadRecord reads a record and reports it to the reducer.
func (n *Node) loadRecord(name jackdawbridge.RecordName) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	era := n.deps.store.Era()
	record, err := n.deps.store.Load(ctx, name)
	n.apply(inEra(n, era, n.loadedEvent(name, record, err)))
}

// loadTables reads both tables and reports them to the reducer.
func (n *Node) loadTables(e *jackdawbridge.LoadTables) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	started, era := n.now(), n.deps.store.Era()
	records, err := n.readTables(ctx, e)
	n.apply(inEra(n, era, jackdawbridge.NewTablesLoaded(n.now(), started, storeStatus(err), records)))
}

// readTables returns the records of both tables. One that cannot be decoded has no
// value.
func (n *Node) readTables(ctx context.Context, e *jackdawbridge.LoadTables) ([]jackdawbridge.Record, error) {
	config, err := n.readTable(ctx, e, jackdawbridge.ConfigTable)
	if err != nil {
		return nil, err
	}
	// A store that has both tables in one item returns them together.
	if len(config.Companions()) > 0 {
		return append([]jackdawbridge.Record{config}, config.Companions()...), nil
	}
	keys, err := n.readTable(ctx, e, jackdawbridge.KeysTable)
	if err != nil {
		return nil, err
	}
	return []jackdawbridge.Record{config, keys}, nil
}

func (n *Node) readTable(ctx context.Context, e *jackdawbridge.LoadTables, name jackdawbridge.RecordName) (jackdawbridge.Record, error) {
	var record jackdawbridge.Record
	var err error
	if known := e.Known(name); known > 0 {
		record, err = n.deps.store.Check(ctx, name, known)
	} else {
		record, err = n.deps.store.Load(ctx, name)
	}
	n.countStoreCall(name, err)
	if errors.Is(err, jackdawbridge.ErrInvalid) {
		return record, nil
	}
	return record, err
}

// scanRecords reads the records with a prefix and reports them to the reducer.
func (n *Node) scanRecords(prefix jackdawbridge.RecordName) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	era := n.deps.store.Era()
	records, err := n.deps.store.Scan(ctx, prefix)
	n.countStoreCall(prefix, err)
	n.apply(inEra(n, era, jackdawbridge.NewStoreScanned(n.now(), prefix, storeStatus(err), records)))
}

// watchRecord waits for a change of a record and reports it to the reducer. If
// none occurs within watchTimeout, it reads the record, so that the reducer learns
// whether the platform still answers.
func (n *Node) watchRecord(name jackdawbridge.RecordName, version uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, watchTimeout)
	defer cancel()
	era := n.deps.store.Era()
	record, err := n.deps.store.Watch(ctx, name, version)
	if err != nil && ctx.Err() != nil {
		loadCtx, cancelLoad := context.WithTimeout(n.ctx, storeTimeout)
		defer cancelLoad()
		era = n.deps.store.Era()
		record, err = n.deps.store.Load(loadCtx, name)
	}
	n.apply(inEra(n, era, n.loadedEvent(name, record, err).AsWatch()))
}

// loadedEvent counts the result of a read and returns the event for it.
func (n *Node) loadedEvent(name jackdawbridge.RecordName, record jackdawbridge.Record, err error) *jackdawbridge.StoreLoaded {
	n.countStoreCall(name, err)
	return jackdawbridge.NewStoreLoaded(n.now(), name, storeStatus(err), record)
}

// swapRecord replaces a record if it still has the given version and reports the
// result to the reducer.
func (n *Node) swapRecord(name jackdawbridge.RecordName, version uint64, value jackdawbridge.Value, lease jackdawbridge.Millis) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	era := n.deps.store.Era()
	next, err := n.deps.store.Swap(ctx, name, version, value, lease)
	n.countStoreCall(name, err)
	n.apply(inEra(n, era, jackdawbridge.NewStoreSwapped(n.now(), name, storeStatus(err), next)))
}

// inEra returns the result of a call that began in the given era of the store. If the era
// has changed meanwhile, it is unknown in which one the store answered, and the result counts
// as none. The first answer of all names the era.
func inEra[E jackdawbridge.StoreResult](n *Node, began uint64, result E) E {
	era := n.deps.store.Era()
	if began != 0 && era != began {
		result.Discard()
	}
	return jackdawbridge.WithEra(result, era)
}

// countStoreCall counts the result of a call to the platform, notes the era, and logs a
// failure.
func (n *Node) countStoreCall(name jackdawbridge.RecordName, err error) {
	n.metrics.count("store_" + storeStatus(err).String())
	n.metrics.set("store_era", int64(n.deps.store.Era()))
	if err != nil && n.ctx.Err() == nil {
		n.log.warn("node: call to the platform failed", "record", string(name), "error", err)
	}
}

// storeStatus converts the error of a store call to the status for the reducer.
func storeStatus(err error) jackdawbridge.StoreStatus {
	switch {
	case err == nil:
		return jackdawbridge.StoreOK
	case errors.Is(err, jackdawbridge.ErrConflict):
		return jackdawbridge.StoreConflict
	case errors.Is(err, jackdawbridge.ErrInvalid):
		return jackdawbridge.StoreInvalid
	}
	return jackdawbridge.StoreFailed
}
