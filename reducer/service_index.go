package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// serviceIndex holds the serving peers by service. Appending the peers of a
// service to a list allocates nothing if the list has enough capacity.
type serviceIndex struct {
	services  map[jackdawbridge.ServiceName]*servicePeers
	serviceOf map[jackdawbridge.Instance]jackdawbridge.ServiceName // the service under which each instance is listed
}

// servicePeers holds the peers of one service.
type servicePeers struct {
	peers      []jackdawbridge.Peer
	generation uint64 // rises with each change of peers
}

func newServiceIndex() serviceIndex {
	return serviceIndex{
		services:  make(map[jackdawbridge.ServiceName]*servicePeers),
		serviceOf: make(map[jackdawbridge.Instance]jackdawbridge.ServiceName),
	}
}

// set adds or updates a peer under its service if it serves, and removes it
// otherwise.
func (r *serviceIndex) set(peer jackdawbridge.Peer, on bool) {
	instance := peer.Node().Instance()
	name, listed := r.serviceOf[instance]
	if listed && (!on || name != peer.Service()) {
		s := r.services[name]
		i := slices.IndexFunc(s.peers, func(o jackdawbridge.Peer) bool { return o.Node().Instance() == instance })
		s.peers = slices.Delete(s.peers, i, i+1)
		s.generation++
		delete(r.serviceOf, instance)
		listed = false
	}
	if !on {
		return
	}
	s, ok := r.services[peer.Service()]
	if !ok {
		s = &servicePeers{}
		r.services[peer.Service()] = s
	}
	s.generation++
	if !listed {
		r.serviceOf[instance] = peer.Service()
		s.peers = append(s.peers, peer)
		return
	}
	i := slices.IndexFunc(s.peers, func(o jackdawbridge.Peer) bool { return o.Node().Instance() == instance })
	s.peers[i] = peer
}

// append appends the peers of a service to list.
func (r *serviceIndex) append(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	if s, ok := r.services[service]; ok {
		list = append(list, s.peers...)
	}
	return list
}

// count returns how many peers serve a service.
func (r *serviceIndex) count(service jackdawbridge.ServiceName) int {
	if s, ok := r.services[service]; ok {
		return len(s.peers)
	}
	return 0
}

// generation returns a number that changes whenever the peers of a service change.
func (r *serviceIndex) generation(service jackdawbridge.ServiceName) uint64 {
	if s, ok := r.services[service]; ok {
		return s.generation
	}
	return 0
}
