package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// storeTimeout bounds a call to the platform's service.
	storeTimeout = 5 * time.Second
	// watchTimeout bounds a waiting watch: a connection that was lost in
	// silence must not hide changes for longer.
	watchTimeout = 30 * time.Second
)

func (n *Node) load(name jackdawbridge.RecordName) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	record, err := n.parts.store.Load(ctx, name)
	n.apply(n.loaded(name, record, err))
}

// watch waits for a change of a record. When none comes in time the record is
// read, so that the reducer learns that the platform still answers.
func (n *Node) watch(name jackdawbridge.RecordName, version uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, watchTimeout)
	defer cancel()
	record, err := n.parts.store.Watch(ctx, name, version)
	if err != nil && ctx.Err() != nil {
		loadCtx, cancelLoad := context.WithTimeout(n.ctx, storeTimeout)
		defer cancelLoad()
		record, err = n.parts.store.Load(loadCtx, name)
	}
	n.apply(n.loaded(name, record, err).AsWatch())
}

func (n *Node) loaded(name jackdawbridge.RecordName, record jackdawbridge.Record, err error) *jackdawbridge.StoreLoaded {
	n.storeCalled(name, err)
	return jackdawbridge.NewStoreLoaded(n.now(), name, storeStatus(err), record)
}

func (n *Node) swap(name jackdawbridge.RecordName, version uint64, value jackdawbridge.Value, lease jackdawbridge.Millis) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	next, err := n.parts.store.Swap(ctx, name, version, value, lease)
	n.storeCalled(name, err)
	n.apply(jackdawbridge.NewStoreSwapped(n.now(), name, storeStatus(err), next))
}

func (n *Node) storeCalled(name jackdawbridge.RecordName, err error) {
	n.metrics.count("store_" + storeStatus(err).String())
	if err != nil && n.ctx.Err() == nil {
		n.log.warn("node: platform call failed", "record", string(name), "error", err)
	}
}

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
