package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// serviceIndex holds, by service, the peers that accept requests. Appending the
// peers of a service to a list allocates nothing if the list has enough capacity.
type serviceIndex struct {
	services  map[jackdawbridge.ServiceName]*servicePeers
	serviceOf map[jackdawbridge.Instance]jackdawbridge.ServiceName // the service under which each instance is listed
}

// servicePeers holds the peers of one service.
type servicePeers struct {
	peers      []jackdawbridge.Peer
	generation uint64 // incremented with each change of peers
}

func newServiceIndex() serviceIndex {
	return serviceIndex{
		services:  make(map[jackdawbridge.ServiceName]*servicePeers),
		serviceOf: make(map[jackdawbridge.Instance]jackdawbridge.ServiceName),
	}
}

// set adds or updates a peer under its service if it is serving, and removes it
// otherwise.
func (x *serviceIndex) set(peer jackdawbridge.Peer, serving bool) {
	instance := peer.Node().Instance()
	name, listed := x.serviceOf[instance]
	if listed && (!serving || name != peer.Service()) {
		s := x.services[name]
		i := slices.IndexFunc(s.peers, func(o jackdawbridge.Peer) bool { return o.Node().Instance() == instance })
		s.peers = slices.Delete(s.peers, i, i+1)
		s.generation++
		delete(x.serviceOf, instance)
		listed = false
	}
	if !serving {
		return
	}
	s, ok := x.services[peer.Service()]
	if !ok {
		s = &servicePeers{}
		x.services[peer.Service()] = s
	}
	s.generation++
	if !listed {
		x.serviceOf[instance] = peer.Service()
		s.peers = append(s.peers, peer)
		return
	}
	i := slices.IndexFunc(s.peers, func(o jackdawbridge.Peer) bool { return o.Node().Instance() == instance })
	s.peers[i] = peer
}

// append appends the peers of a service to list.
func (x *serviceIndex) append(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	if s, ok := x.services[service]; ok {
		list = append(list, s.peers...)
	}
	return list
}

// count returns the number of peers that serve a service.
func (x *serviceIndex) count(service jackdawbridge.ServiceName) int {
	if s, ok := x.services[service]; ok {
		return len(s.peers)
	}
	return 0
}

// generation returns a number that changes whenever the peers of a service change.
func (x *serviceIndex) generation(service jackdawbridge.ServiceName) uint64 {
	if s, ok := x.services[service]; ok {
		return s.generation
	}
	return 0
}
