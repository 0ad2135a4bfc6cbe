package wire

import (
	"math"
	"net/netip"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

func fromNode(n jackdawbridge.Node) *pb.Node {
	return &pb.Node{Instance: string(n.Instance()), Incarnation: n.Incarnation()}
}

// fromSender returns nil for the zero node, which is not encoded.
func fromSender(n jackdawbridge.Node) *pb.Node {
	if n.IsZero() {
		return nil
	}
	return fromNode(n)
}

// fromAddress encodes an address. It omits the IP address if that is defaultIP.
func fromAddress(a netip.AddrPort, defaultIP netip.Addr) []byte {
	if a.Addr() == defaultIP {
		a = netip.AddrPortFrom(netip.Addr{}, a.Port())
	}
	data, _ := a.MarshalBinary() // never returns an error
	return data
}

func fromPeer(p jackdawbridge.Peer) *pb.Peer {
	a, ip := p.Addresses(), p.Addresses().Gossip().Addr()
	return &pb.Peer{
		Node: fromNode(p.Node()), Centre: string(p.DataCentre()),
		Gossip: fromAddress(a.Gossip(), netip.Addr{}), Rpc: fromAddress(a.RPC(), ip), Link: fromAddress(a.Link(), ip),
		Service: string(p.Service()), Slots: int64(p.Slots()), Conns: int64(p.Conns()),
		State: uint32(p.State()), Version: p.Version(),
	}
}

func fromDigest(d jackdawbridge.Digest) *pb.Digest {
	return &pb.Digest{
		Config: d.Config(), Keys: d.Keys(), Epoch: d.RangesProgress(), Confirmed: int64(d.SinceConfirmed()), Doubtful: d.MaybeStale(),
		Era: d.Era().Current(), Informed: d.Era().Informed(), Returned: int64(d.Era().SinceReturn()),
	}
}

func fromRumor(r jackdawbridge.Rumor) *pb.Rumor {
	return &pb.Rumor{Peer: fromPeer(r.Peer()), Suspicion: uint32(r.Liveness())}
}

func fromEntry(e jackdawbridge.Entry) *pb.Entry {
	p := &pb.Entry{Revision: e.Revision()}
	switch {
	case e.Account() != nil:
		a := e.Account()
		p.Value = &pb.Entry_Account{Account: &pb.Account{
			Name: string(a.Name()), Rate: a.Rate(), Burst: a.Burst(), Bought: a.PaidPriority(), Unconfirmed: a.ServeUnconfirmed(), Unlimited: a.Unlimited(),
			Shares: mapSlice(a.Shares(), func(s jackdawbridge.Share) *pb.Share {
				return &pb.Share{Centre: string(s.DataCentre()), Permille: int64(s.Permille())}
			}),
		}}
	case e.Service() != nil:
		s := e.Service()
		p.Value = &pb.Entry_Service{Service: &pb.Service{
			Name: string(s.Name()),
			Routes: mapSlice(s.Routes(), func(r *jackdawbridge.Route) *pb.Route {
				return &pb.Route{
					Prefix: r.Prefix(), Methods: r.Methods(), Criticality: uint32(r.Criticality()),
					Idempotent: r.Idempotent(), Open: r.Open(), Closed: r.Closed(),
					Timeout: int64(r.Timeout()), Objective: int64(r.Objective()), Attempts: int64(r.Attempts()),
					Destinations: mapSlice(r.Destinations(), func(d jackdawbridge.Destination) *pb.Destination {
						return &pb.Destination{Service: string(d.Service()), Weight: int64(d.Weight())}
					}),
				}
			}),
		}}
	case e.Key() != nil:
		k := e.Key()
		hash := k.Hash()
		p.Value = &pb.Entry_Key{Key: &pb.Key{Hash: hash[:], Account: string(k.Account()), Label: k.Label()}}
	case e.SlowStart() != nil:
		s := e.SlowStart()
		p.Value = &pb.Entry_Start{Start: &pb.SlowStart{Service: string(s.Service()), Time: int64(s.Time()), Rate: int64(math.Round(s.Rate() * 1000))}}
	case e.Evacuated() != "":
		p.Value = &pb.Entry_Evacuated{Evacuated: string(e.Evacuated())}
	default:
		p.Value = &pb.Entry_Tombstone{Tombstone: e.Name()}
	}
	return p
}

// fromOmissions returns nil if there are none.
func fromOmissions(o jackdawbridge.Omissions) *pb.Omitted {
	if o.Count() == 0 {
		return nil
	}
	return &pb.Omitted{Count: int64(o.Count()), Partial: o.Partial(), List: mapSlice(o.List(), func(o jackdawbridge.Omission) *pb.Omission {
		return &pb.Omission{Version: o.Version(), Entry: o.Entry(), Reason: o.Reason()}
	})}
}

// fromRanges encodes a range record. The holders refer to a list of nodes by numbers
// from 1, and 0 means no holder, so that each node is encoded once.
func fromRanges(r *jackdawbridge.Ranges) *pb.Ranges {
	p := &pb.Ranges{
		Epoch: r.Epoch(), Pending: r.Pending(),
		Witnesses: mapSlice(r.Witnesses(), fromNode), Electors: mapSlice(r.Electors(), fromNode),
	}
	numbers := map[jackdawbridge.Node]uint32{{}: 0}
	number := func(n jackdawbridge.Node) uint32 {
		i, ok := numbers[n]
		if !ok {
			p.Nodes = append(p.Nodes, fromNode(n))
			i = uint32(len(p.Nodes))
			numbers[n] = i
		}
		return i
	}
	for i := range jackdawbridge.RangeCount {
		p.Holders = append(p.Holders, number(r.Holder(i)))
		if r.Pending() {
			p.Previous = append(p.Previous, number(r.PreviousHolder(i)))
		}
	}
	return p
}

func fromSnapshot(dc jackdawbridge.DataCentre, version uint64, r *jackdawbridge.Ranges) *pb.Snapshot {
	return &pb.Snapshot{Centre: string(dc), Version: version, Ranges: fromRanges(r)}
}

// setMessage encodes message into f. The frame has passed its check, so the message is
// of a known type.
func setMessage(f *pb.Frame, message jackdawbridge.Message) {
	switch m := message.(type) {
	case *jackdawbridge.Probe:
		f.Message = &pb.Frame_Probe{Probe: &pb.Probe{Sequence: m.Sequence(), Rumors: mapSlice(m.Rumors(), fromRumor)}}
	case *jackdawbridge.ProbeAck:
		f.Message = &pb.Frame_Ack{Ack: &pb.Probe{Sequence: m.Sequence(), Rumors: mapSlice(m.Rumors(), fromRumor)}}
	case *jackdawbridge.IndirectProbe:
		f.Message = &pb.Frame_Via{Via: &pb.Via{Sequence: m.Sequence(), Target: fromPeer(m.Target())}}
	case *jackdawbridge.Members:
		f.Message = &pb.Frame_Members{Members: &pb.Members{
			Request: m.Request(), Rumors: mapSlice(m.Rumors(), fromRumor),
			Services: mapSlice(m.Services(), func(s jackdawbridge.ServiceName) string { return string(s) }),
		}}
	case *jackdawbridge.Leave:
		f.Message = &pb.Frame_Leave{Leave: &pb.Empty{}}
	case *jackdawbridge.RevisionNotice:
		f.Message = &pb.Frame_Newer{Newer: &pb.Empty{}}
	case *jackdawbridge.Pull:
		f.Message = &pb.Frame_Pull{Pull: &pb.Pull{Name: string(m.Name()), Since: m.Since()}}
	case *jackdawbridge.TableDelta:
		f.Message = &pb.Frame_Delta{Delta: &pb.Delta{
			Name: string(m.Name()), Since: m.Since(), Revision: m.Revision(), Change: m.Change(), Entries: mapSlice(m.Entries(), fromEntry),
			Omitted: fromOmissions(m.Omissions()),
		}}
	case *jackdawbridge.RangesUpdate:
		f.Message = &pb.Frame_Snapshot{Snapshot: fromSnapshot(m.DataCentre(), m.Version(), m.Ranges())}
	case *jackdawbridge.PrepareRequest:
		f.Message = &pb.Frame_Acknowledge{Acknowledge: fromSnapshot(m.DataCentre(), m.Version(), m.Ranges())}
	case *jackdawbridge.VoteRequest:
		f.Message = &pb.Frame_Vouch{Vouch: &pb.Vouch{Epoch: m.Epoch(), Asked: int64(m.RequestedAt())}}
	case *jackdawbridge.Vote:
		f.Message = &pb.Frame_Vouched{Vouched: &pb.Vouch{Epoch: m.Epoch(), Asked: int64(m.RequestedAt())}}
	case *jackdawbridge.Promise:
		f.Message = &pb.Frame_Acknowledged{Acknowledged: &pb.Acknowledged{Epoch: m.Epoch()}}
	case *jackdawbridge.TokenRequest:
		f.Message = &pb.Frame_Ask{Ask: &pb.Ask{Id: uint64(m.ID()), Account: string(m.Account()), Lot: int64(m.Shard()), Tokens: m.Tokens()}}
	case *jackdawbridge.TokenGrant:
		f.Message = &pb.Frame_Grant{Grant: &pb.Ask{Id: uint64(m.ID()), Account: string(m.Account()), Lot: int64(m.Shard()), Tokens: m.Tokens()}}
	case *jackdawbridge.TokenDenial:
		f.Message = &pb.Frame_Deny{Deny: &pb.Deny{Id: uint64(m.ID()), Account: string(m.Account()), Lot: int64(m.Shard()), After: int64(m.RetryAfter()), Closed: m.Unavailable()}}
	case *jackdawbridge.UsageReport:
		f.Message = &pb.Frame_Report{Report: &pb.Report{
			Id: uint64(m.ID()), Account: string(m.Account()), Lot: int64(m.Shard()), Spent: m.Spent(), Returned: m.Returned(),
		}}
	case *jackdawbridge.Handover:
		f.Message = &pb.Frame_Handover{Handover: &pb.Handover{
			Account: string(m.Account()), Lot: int64(m.Shard()), Epoch: m.Epoch(), Level: m.Level(), Outstanding: m.Outstanding(),
		}}
	case *jackdawbridge.StartRequest:
		f.Message = &pb.Frame_Begin{Begin: &pb.Begin{Request: string(m.Request()), Account: string(m.Account()), Key: m.Key()}}
	case *jackdawbridge.StartResponse:
		response := &pb.Begun{Request: string(m.Request()), Key: m.Key()}
		if r, refused := m.Refusal(); refused {
			response.Refusal = fromRefusal(r)
		}
		f.Message = &pb.Frame_Begun{Begun: response}
	case *jackdawbridge.Completion:
		f.Message = &pb.Frame_Ended{Ended: &pb.Ended{
			Request: string(m.Request()), Account: string(m.Account()), Key: m.Key(), Outcome: uint32(m.Outcome()), Status: int64(m.Status()),
		}}
	case *jackdawbridge.CrashReport:
		f.Message = &pb.Frame_Crash{Crash: &pb.Crash{
			Node: fromNode(m.Node()), Sequence: m.Sequence(), Age: int64(m.Age()), Cleared: m.Cleared(),
			Fingerprints: mapSlice(m.Fingerprints(), func(f jackdawbridge.Fingerprint) uint64 { return uint64(f) }),
		}}
	}
}

func fromRefusal(r jackdawbridge.Refusal) *pb.Refusal {
	return &pb.Refusal{
		Reason: uint32(r.Reason()), Outcome: uint32(r.Outcome()), After: int64(r.RetryAfter()), Status: int64(r.Status()),
	}
}

// fromDepartures returns the latest departure, which contains the earlier ones. Earlier
// versions of the program know only the latest.
func fromDepartures(value *jackdawbridge.Departures) *pb.Departure {
	list := mapSlice(value.List(), fromDepartedProcess)
	if len(list) == 0 {
		return &pb.Departure{}
	}
	latest := list[len(list)-1]
	latest.Earlier = list[:len(list)-1]
	return latest
}

func fromDepartedProcess(d jackdawbridge.DepartedProcess) *pb.Departure {
	p := d.Process()
	return &pb.Departure{Backend: p.Backend(), Generation: p.Generation(), Sequence: p.Sequence(), Left: d.Left(), Time: int64(d.Time())}
}
