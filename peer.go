package jackdawbridge

import "net/netip"

// PeerState is the state of a member as it announces it.
type PeerState uint8

// The states of a member, in the order in which they follow each other.
const (
	PeerStarting PeerState = iota
	PeerServing
	PeerStopping // the node stops, its backend server stays and takes requests
	PeerDraining
	PeerLeft
)

// Upstream reports whether a member in state s takes requests for its backend
// server.
func (s PeerState) Upstream() bool { return s == PeerServing || s == PeerStopping }

// String returns the state in lower case.
func (s PeerState) String() string {
	return nameOf(s, "starting", "serving", "stopping", "draining", "left")
}

// Addresses holds the addresses at which peers reach a node.
type Addresses struct {
	gossip netip.AddrPort // UDP
	rpc    netip.AddrPort // TCP, gRPC
	link   netip.AddrPort // TCP, forwarded requests
}

// NewAddresses returns the addresses of a node.
func NewAddresses(gossip, rpc, link netip.AddrPort) Addresses {
	return Addresses{gossip: gossip, rpc: rpc, link: link}
}

// Gossip returns the UDP address for datagrams.
func (a Addresses) Gossip() netip.AddrPort { return a.gossip }

// RPC returns the TCP address for large messages.
func (a Addresses) RPC() netip.AddrPort { return a.rpc }

// Link returns the TCP address for forwarded requests.
func (a Addresses) Link() netip.AddrPort { return a.link }

// Peer describes a member of the fleet.
type Peer struct {
	node       Node
	dataCentre DataCentre
	addresses  Addresses
	service    ServiceName // empty while no backend server has announced itself
	slots      int         // concurrent requests the backend server takes
	conns      int         // connections the backend server takes
	state      PeerState
	version    uint64 // rises with each change that the member announces of itself
}

// NewPeer returns a starting member without a backend server.
func NewPeer(node Node, dataCentre DataCentre, addresses Addresses) Peer {
	return Peer{node: node, dataCentre: dataCentre, addresses: addresses}
}

// Node returns the identity of p.
func (p Peer) Node() Node { return p.node }

// DataCentre returns the data centre of p.
func (p Peer) DataCentre() DataCentre { return p.dataCentre }

// Addresses returns the addresses of p.
func (p Peer) Addresses() Addresses { return p.addresses }

// Service returns the service of the backend server beside p.
func (p Peer) Service() ServiceName { return p.service }

// Slots returns how many requests the backend server of p takes at once.
func (p Peer) Slots() int { return p.slots }

// Conns returns how many connections the backend server of p takes.
func (p Peer) Conns() int { return p.conns }

// State returns the announced state of p.
func (p Peer) State() PeerState { return p.state }

// Version returns the number of the announcement that p comes from.
func (p Peer) Version() uint64 { return p.version }

// WithBackend returns p with the backend server's service, slots and connections.
func (p Peer) WithBackend(service ServiceName, slots, conns int) Peer {
	p.service = service
	p.slots = slots
	p.conns = conns
	return p
}

// WithState returns p in the given state.
func (p Peer) WithState(state PeerState) Peer {
	p.state = state
	return p
}

// WithVersion returns p with the number of its announcement.
func (p Peer) WithVersion(version uint64) Peer {
	p.version = version
	return p
}

func nameOf[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}
