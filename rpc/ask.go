package rpc

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
)

// Revisions is what a node tells operators of the settings that it has in force.
type Revisions struct {
	instance   jackdawbridge.Instance
	dataCentre jackdawbridge.DataCentre
	config     uint64
	keys       uint64
}

// TokenRequest asks the node at an address which settings are in force there.
func Ask(ctx context.Context, address netip.AddrPort) (Revisions, error) {
	conn, err := dial(address)
	if err != nil {
		return Revisions{}, errors.Errorf("ask %s: %w", address, err)
	}
	defer conn.Close() //nolint:errcheck // nothing is left to do
	r, err := pb.NewPeerClient(conn).Ask(ctx, &pb.Empty{})
	if err != nil {
		return Revisions{}, errors.Errorf("ask %s: %w", address, err)
	}
	return Revisions{
		instance: jackdawbridge.Instance(r.Instance), dataCentre: jackdawbridge.DataCentre(r.Centre),
		config: r.Config, keys: r.Keys,
	}, nil
}

// Instance returns the instance of the node.
func (r Revisions) Instance() jackdawbridge.Instance { return r.instance }

// DataCentre returns the data centre of the node.
func (r Revisions) DataCentre() jackdawbridge.DataCentre { return r.dataCentre }

// Of returns the revision of a table that is in force.
func (r Revisions) Of(name jackdawbridge.RecordName) uint64 {
	if name == jackdawbridge.KeysTable {
		return r.keys
	}
	return r.config
}
