package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// livePeer returns the peer with the given instance name if it is this node or a
// live member.
func (r *Reducer) livePeer(instance jackdawbridge.Instance) (jackdawbridge.Peer, bool) {
	if instance == r.self.Node().Instance() {
		return r.self, true
	}
	m := r.members.find(instance)
	if m == nil || !m.live() {
		return jackdawbridge.Peer{}, false
	}
	return m.peer, true
}

// eligibleHolders returns the members of this data centre that may hold ranges.
func (r *Reducer) eligibleHolders() []jackdawbridge.Peer {
	return slices.DeleteFunc(r.members.inDataCentre(r.self.DataCentre()), func(p jackdawbridge.Peer) bool {
		return p.State() != jackdawbridge.PeerStarting && p.State() != jackdawbridge.PeerServing
	})
}

// dataCentres returns the names of the other data centres that this node tracks.
func (r *Reducer) dataCentres() []jackdawbridge.DataCentre {
	var list []jackdawbridge.DataCentre
	for _, g := range r.members.remote.list {
		list = append(list, g.name)
	}
	return list
}

// remotePeer returns a pseudo-random member of another data centre. It hashes this
// node's name and the time, so that the choice varies between nodes and calls.
func (r *Reducer) remotePeer(dc jackdawbridge.DataCentre) (jackdawbridge.Peer, bool) {
	peers := r.members.inDataCentre(dc)
	if len(peers) == 0 {
		return jackdawbridge.Peer{}, false
	}
	draw := hashOf(string(r.self.Node().Instance()), uint64(r.now))
	return peers[draw%uint64(len(peers))], true
}

// accounts calls visit for each client account of the configuration, in the
// order of the table.
func (r *Reducer) accounts(visit func(*jackdawbridge.Account)) {
	if r.settings.config.table == nil {
		return
	}
	for _, e := range r.settings.config.table.Entries() {
		if a := e.Account(); a != nil {
			visit(a)
		}
	}
}
