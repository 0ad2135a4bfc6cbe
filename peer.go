package jackdawbridge

import "net/netip"

// PeerState is the state that a member announces.
type PeerState uint8

// The states of a member.
const (
	PeerStarting PeerState = iota // no backend server has announced itself, or the last one was lost
	PeerServing
	PeerStopping // the node shuts down; its backend server still accepts requests
	PeerDraining // the node or its backend server accepts no new requests
	PeerLeft     // the process has exited
)

// AcceptsRequests reports whether a member in state s accepts requests for its
// backend server.
func (s PeerState) AcceptsRequests() bool { return s == PeerServing || s == PeerStopping }

// String returns the state in lower case.
func (s PeerState) String() string {
	return enumName(s, "starting", "serving", "stopping", "draining", "left")
}

// Addresses lists the addresses at which peers reach a node.
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

// Peer describes a member of the fleet as it announces itself.
type Peer struct {
	node       Node
	dataCentre DataCentre
	addresses  Addresses
	service    ServiceName // empty until a backend server has announced itself
	slots      int         // concurrent requests that the backend server accepts
	conns      int         // connections that the backend server accepts
	state      PeerState
	version    uint64 // increases with each change of the member's announcement
}

// NewPeer returns a member in the state PeerStarting without a backend server.
func NewPeer(node Node, dataCentre DataCentre, addresses Addresses) Peer {
	return Peer{node: node, dataCentre: dataCentre, addresses: addresses}
}

// Node returns the identity of p.
func (p Peer) Node() Node { return p.node }

// DataCentre returns the data centre of p.
func (p Peer) DataCentre() DataCentre { return p.dataCentre }

// Addresses returns the addresses of p.
func (p Peer) Addresses() Addresses { return p.addresses }

// Service returns the service of the backend server of p.
func (p Peer) Service() ServiceName { return p.service }

// Slots returns how many concurrent requests the backend server of p accepts.
func (p Peer) Slots() int { return p.slots }

// Conns returns how many connections the backend server of p accepts.
func (p Peer) Conns() int { return p.conns }

// State returns the announced state of p.
func (p Peer) State() PeerState { return p.state }

// Version returns the number of the announcement that describes p.
func (p Peer) Version() uint64 { return p.version }

// WithNode returns p under another identity.
func (p Peer) WithNode(node Node) Peer {
	p.node = node
	return p
}

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

// WithVersion returns p with the given announcement number.
func (p Peer) WithVersion(version uint64) Peer {
	p.version = version
	return p
}

// enumName returns the name of an enumeration value, or "invalid".
func enumName[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}
