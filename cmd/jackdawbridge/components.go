package main

import (
	"log/slog"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/clock"
	"github.com/jackdawbridge/jackdawbridge/gossip"
	"github.com/jackdawbridge/jackdawbridge/platform"
	"github.com/jackdawbridge/jackdawbridge/rpc"
	"github.com/jackdawbridge/jackdawbridge/transport"
	"github.com/jackdawbridge/jackdawbridge/wire"
	gometrics "github.com/rcrowley/go-metrics"
)

// openStore returns a client of the platform's key-value service at the given
// address.
func openStore(address string) (*platform.Store, error) {
	if _, err := parseAddrPort("platform", address); err != nil {
		return nil, err
	}
	store, err := platform.New("http://"+address, wire.Codec{})
	if err != nil {
		return nil, errors.Errorf("--platform: %w", err)
	}
	return store, nil
}

// components are the parts that a node is built from, except for its reducer.
type components struct {
	store  *platform.Store
	tables jackdawbridge.Store // holds the node's tables and records; store itself or a view of it
	codec  jackdawbridge.Codec
	sealer *wire.Sealer
	clock  jackdawbridge.Clock
}

func newComponents(platform string, secrets []string) (components, error) {
	store, err := openStore(platform)
	if err != nil {
		return components{}, err
	}
	system := clock.New()
	keys := make([][]byte, len(secrets))
	for i, s := range secrets {
		keys[i] = []byte(s)
	}
	sealer, err := wire.NewSealer(system, keys...)
	if err != nil {
		return components{}, errors.Errorf("--secret: %w", err)
	}
	return components{store: store, tables: store, codec: wire.Codec{}, sealer: sealer, clock: system}, nil
}

// listenPeers opens the gossip and RPC listeners for messages of peers and returns
// the transport over both.
func (c components) listenPeers(at jackdawbridge.Addresses, registry gometrics.Registry, logger *slog.Logger, handle func(jackdawbridge.Frame), status func() jackdawbridge.Status) (jackdawbridge.Transport, error) {
	small, err := gossip.Listen(at.Gossip(), c.codec, c.sealer, registry, logger, handle)
	if err != nil {
		return nil, errors.Errorf("--gossip=%s: %w", at.Gossip(), err)
	}
	large, err := rpc.Listen(at.RPC(), c.codec, c.sealer, registry, logger, handle, status)
	if err != nil {
		_ = small.Close()
		return nil, errors.Errorf("--rpc=%s: %w", at.RPC(), err)
	}
	return transport.New(c.codec, c.sealer, small, gossip.MaxFrame, large), nil
}
