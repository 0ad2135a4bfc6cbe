package rpc

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/rpc/pb"
)

// Revisions holds the revisions of the settings that a node has in force, as the
// node reports them to operators.
type Revisions struct {
	instance   jackdawbridge.Instance
	dataCentre jackdawbridge.DataCentre
	config     uint64
	keys       uint64
}

// QueryRevisions requests the revisions in force from the node at address.
func QueryRevisions(ctx context.Context, address netip.AddrPort) (Revisions, error) {
	conn, err := dial(address)
	if err != nil {
		return Revisions{}, errors.Errorf("connect to %s: %w", address, err)
	}
	defer conn.Close() //nolint:errcheck // the connection is no longer needed
	r, err := pb.NewPeerClient(conn).Ask(ctx, &pb.Empty{})
	if err != nil {
		return Revisions{}, errors.Errorf("request revisions from %s: %w", address, err)
	}
	return Revisions{
		instance: jackdawbridge.Instance(r.Instance), dataCentre: jackdawbridge.DataCentre(r.Centre),
		config: r.Config, keys: r.Keys,
	}, nil
}

// Instance returns the instance that the node runs on.
func (r Revisions) Instance() jackdawbridge.Instance { return r.instance }

// DataCentre returns the data centre of the node.
func (r Revisions) DataCentre() jackdawbridge.DataCentre { return r.dataCentre }

// Revision returns the revision of a table that is in force.
func (r Revisions) Revision(name jackdawbridge.RecordName) uint64 {
	if name == jackdawbridge.KeysTable {
		return r.keys
	}
	return r.config
}
