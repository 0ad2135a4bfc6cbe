package jackdawbridge

// Suspicion is what a member believes of another.
type Suspicion uint8

// The beliefs about a member.
const (
	Alive Suspicion = iota
	Suspect
	Dead
)

// String returns the belief in lower case.
func (s Suspicion) String() string { return nameOf(s, "alive", "suspect", "dead") }

// Rumor is one update of the membership.
type Rumor struct {
	peer      Peer
	suspicion Suspicion
}

// NewRumor returns an update about a member.
func NewRumor(peer Peer, suspicion Suspicion) Rumor {
	return Rumor{peer: peer, suspicion: suspicion}
}

// Peer returns the member that r is about.
func (r Rumor) Peer() Peer { return r.peer }

// Suspicion returns the belief about the member.
func (r Rumor) Suspicion() Suspicion { return r.suspicion }

// Probe asks a member to prove that it is alive.
type Probe struct {
	sequence uint64
	rumors   []Rumor // at most 8
}

// NewProbe returns a probe with piggybacked rumors.
func NewProbe(sequence uint64, rumors []Rumor) *Probe {
	return &Probe{sequence: sequence, rumors: rumors}
}

// Sequence returns the number that the answer repeats.
func (p *Probe) Sequence() uint64 { return p.sequence }

// Rumors returns the piggybacked rumors.
func (p *Probe) Rumors() []Rumor { return p.rumors }

// ProbeAck answers a Probe, directly or through the node that relayed it.
type ProbeAck struct {
	sequence uint64
	rumors   []Rumor // at most 8
}

// NewProbeAck returns the answer to the probe with the given number.
func NewProbeAck(sequence uint64, rumors []Rumor) *ProbeAck {
	return &ProbeAck{sequence: sequence, rumors: rumors}
}

// Sequence returns the number of the probe.
func (p *ProbeAck) Sequence() uint64 { return p.sequence }

// Rumors returns the piggybacked rumors.
func (p *ProbeAck) Rumors() []Rumor { return p.rumors }

// ProbeVia asks a member to probe another and to relay the answer.
type ProbeVia struct {
	sequence uint64
	target   Peer
}

// NewProbeVia returns the request for an indirect probe.
func NewProbeVia(sequence uint64, target Peer) *ProbeVia {
	return &ProbeVia{sequence: sequence, target: target}
}

// Sequence returns the number that the relayed answer repeats.
func (p *ProbeVia) Sequence() uint64 { return p.sequence }

// Target returns the member to probe.
func (p *ProbeVia) Target() Peer { return p.target }

// MaxWanted bounds the services that a request for members names.
const MaxWanted = 32

// Members carries members of a data centre: all of them to a joining node, or
// a bounded subset for each service to a node of another data centre.
type Members struct {
	request  bool          // asks for the receiver's members
	services []ServiceName // whose members a node of another data centre wants, at most MaxWanted
	rumors   []Rumor
}

// NewMembersRequest returns the request for the receiver's members.
func NewMembersRequest() *Members { return &Members{request: true} }

// NewMembersOf returns the request of a node of another data centre for the
// receiver's members that run the given services.
func NewMembersOf(services []ServiceName) *Members {
	return &Members{request: true, services: services}
}

// NewMembers returns the answer with the given members.
func NewMembers(rumors []Rumor) *Members { return &Members{rumors: rumors} }

// Request reports whether m asks for members.
func (m *Members) Request() bool { return m.request }

// Services returns the services that a request names.
func (m *Members) Services() []ServiceName { return m.services }

// Rumors returns the members.
func (m *Members) Rumors() []Rumor { return m.rumors }

// Leave announces that the sender ends and holds nothing any more.
type Leave struct{}

// NewLeave returns a leave message.
func NewLeave() *Leave { return &Leave{} }

func (*Probe) message()    {}
func (*ProbeAck) message() {}
func (*ProbeVia) message() {}
func (*Members) message()  {}
func (*Leave) message()    {}
