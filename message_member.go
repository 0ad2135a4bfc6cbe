package jackdawbridge

// Liveness is the state of a member in the failure detector of another.
type Liveness uint8

// The states of a member in the failure detector.
const (
	Alive Liveness = iota
	Suspect
	Dead
)

// String returns the state in lower case.
func (l Liveness) String() string { return enumName(l, "alive", "suspect", "dead") }

// Rumor is a membership update that spreads by gossip.
type Rumor struct {
	peer     Peer
	liveness Liveness
}

// NewRumor returns an update about a member.
func NewRumor(peer Peer, liveness Liveness) Rumor {
	return Rumor{peer: peer, liveness: liveness}
}

// Peer returns the member that r is about.
func (r Rumor) Peer() Peer { return r.peer }

// Liveness returns the state of the member in the sender's failure detector.
func (r Rumor) Liveness() Liveness { return r.liveness }

// Probe checks whether a member is alive. The member answers with a ProbeAck.
type Probe struct {
	sequence uint64
	rumors   []Rumor // at most MaxPiggybackedRumors
}

// NewProbe returns a probe with piggybacked rumors.
func NewProbe(sequence uint64, rumors []Rumor) *Probe {
	return &Probe{sequence: sequence, rumors: rumors}
}

// Sequence returns the number of the probe, which the answer repeats.
func (p *Probe) Sequence() uint64 { return p.sequence }

// Rumors returns the piggybacked rumors.
func (p *Probe) Rumors() []Rumor { return p.rumors }

// ProbeAck answers a Probe, directly or through the node that relayed the probe.
type ProbeAck struct {
	sequence uint64
	rumors   []Rumor // at most MaxPiggybackedRumors
}

// NewProbeAck returns the answer to the probe with the given number.
func NewProbeAck(sequence uint64, rumors []Rumor) *ProbeAck {
	return &ProbeAck{sequence: sequence, rumors: rumors}
}

// Sequence returns the number of the probe.
func (p *ProbeAck) Sequence() uint64 { return p.sequence }

// Rumors returns the piggybacked rumors.
func (p *ProbeAck) Rumors() []Rumor { return p.rumors }

// IndirectProbe requests an indirect probe: the receiver probes the target and relays
// its answer.
type IndirectProbe struct {
	sequence uint64
	target   Peer
}

// NewIndirectProbe returns the request to probe target.
func NewIndirectProbe(sequence uint64, target Peer) *IndirectProbe {
	return &IndirectProbe{sequence: sequence, target: target}
}

// Sequence returns the number that the relayed answer repeats.
func (p *IndirectProbe) Sequence() uint64 { return p.sequence }

// Target returns the member to probe.
func (p *IndirectProbe) Target() Peer { return p.target }

// MaxRequestedServices limits the services in a request for members.
const MaxRequestedServices = 32

// Members requests or lists members of a data centre. A joining node receives all of
// them, a node of another data centre a limited number for each service.
type Members struct {
	request  bool          // requests the receiver's members
	services []ServiceName // of a request from another data centre, at most MaxRequestedServices
	rumors   []Rumor
}

// NewMembersRequest returns the request for all members that the receiver has.
func NewMembersRequest() *Members { return &Members{request: true} }

// NewServiceMembersRequest returns the request of a node of another data centre for
// members that run the given services.
func NewServiceMembersRequest(services []ServiceName) *Members {
	return &Members{request: true, services: services}
}

// NewMembers returns the answer with the given members.
func NewMembers(rumors []Rumor) *Members { return &Members{rumors: rumors} }

// Request reports whether m is a request.
func (m *Members) Request() bool { return m.request }

// Services returns the services whose members are requested.
func (m *Members) Services() []ServiceName { return m.services }

// Rumors returns the members.
func (m *Members) Rumors() []Rumor { return m.rumors }

// Leave announces that the sender exits and no longer acts for any range.
type Leave struct{}

// NewLeave returns a leave message.
func NewLeave() *Leave { return &Leave{} }

func (*Probe) message()         {}
func (*ProbeAck) message()      {}
func (*IndirectProbe) message() {}
func (*Members) message()       {}
func (*Leave) message()         {}
