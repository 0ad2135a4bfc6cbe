package wire

import (
	"encoding/hex"
	"math"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/wire/pb"
)

// decoder converts protobuf messages to the types of the root package. It keeps the
// first error; the values that it returns after an error must not be used.
type decoder struct {
	err     error
	omitted int // rumors that were left out
}

// fail records err unless an earlier error is recorded.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

// enum converts an enumeration value. It fails for numbers above 255, which the
// conversion to 8 bits could turn into valid values.
func enum[T ~uint8](d *decoder, v uint32) T {
	if v > 255 {
		d.fail(errors.Errorf("enumeration value is %d: want at most 255", v))
	}
	return T(v)
}

func (d *decoder) node(p *pb.Node) jackdawbridge.Node {
	if p == nil {
		d.fail(errors.New("node is missing"))
	}
	return jackdawbridge.NewNode(jackdawbridge.Instance(p.GetInstance()), p.GetIncarnation())
}

// sender returns the sender of an envelope, or the zero node if it has none.
func (d *decoder) sender(p *pb.Node) jackdawbridge.Node {
	if p == nil {
		return jackdawbridge.Node{}
	}
	return d.node(p)
}

// address decodes an address. If data holds only a port, the IP address is defaultIP.
func (d *decoder) address(data []byte, defaultIP netip.Addr) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(data); err != nil {
		d.fail(errors.Errorf("address: %w", err))
	}
	if !a.Addr().IsValid() {
		a = netip.AddrPortFrom(defaultIP, a.Port())
	}
	return a
}

func (d *decoder) peer(p *pb.Peer) jackdawbridge.Peer {
	if p == nil {
		d.fail(errors.New("peer is missing"))
		return jackdawbridge.Peer{}
	}
	gossip := d.address(p.Gossip, netip.Addr{})
	addresses := jackdawbridge.NewAddresses(gossip, d.address(p.Rpc, gossip.Addr()), d.address(p.Link, gossip.Addr()))
	return jackdawbridge.NewPeer(d.node(p.Node), jackdawbridge.DataCentre(p.Centre), addresses).
		WithBackend(jackdawbridge.ServiceName(p.Service), int(p.Slots), int(p.Conns)).
		WithState(enum[jackdawbridge.PeerState](d, p.State)).WithVersion(p.Version)
}

func (d *decoder) digest(p *pb.Digest) jackdawbridge.Digest {
	if p == nil {
		d.fail(errors.New("digest is missing"))
	}
	era := jackdawbridge.NewEraDigest(p.GetEra(), p.GetInformed(), jackdawbridge.Millis(p.GetReturned()))
	return jackdawbridge.NewDigest(p.GetConfig(), p.GetKeys(), p.GetEpoch(), jackdawbridge.Millis(p.GetConfirmed())).
		WithMaybeStale(p.GetDoubtful()).WithEra(era)
}

func (d *decoder) rumor(p *pb.Rumor) jackdawbridge.Rumor {
	return jackdawbridge.NewRumor(d.peer(p.GetPeer()), enum[jackdawbridge.Liveness](d, p.GetSuspicion()))
}

// rumors decodes rumors. An invalid one may come from another version of this program. It is
// left out and counted.
func (d *decoder) rumors(list []*pb.Rumor) []jackdawbridge.Rumor {
	rumors := make([]jackdawbridge.Rumor, 0, len(list))
	for _, p := range list {
		var each decoder
		rumor := each.rumor(p)
		if each.err != nil || rumor.Check() != nil {
			d.omitted++
			continue
		}
		rumors = append(rumors, rumor)
	}
	return rumors
}

func (d *decoder) account(p *pb.Account) *jackdawbridge.Account {
	shares := mapSlice(p.GetShares(), func(s *pb.Share) jackdawbridge.Share {
		share, err := jackdawbridge.NewShare(jackdawbridge.DataCentre(s.GetCentre()), int(s.GetPermille()))
		if err != nil {
			d.fail(err)
		}
		return share
	})
	a, err := jackdawbridge.NewAccount(jackdawbridge.AccountName(p.GetName()), p.GetRate(), p.GetBurst(), shares)
	if err != nil {
		d.fail(err)
		return nil
	}
	if p.GetUnlimited() {
		a = a.WithoutLimit()
	}
	return a.WithPaidPriority(p.GetBought()).WithServeUnconfirmed(p.GetUnconfirmed())
}

func (d *decoder) service(p *pb.Service) *jackdawbridge.Service {
	s, err := jackdawbridge.NewService(jackdawbridge.ServiceName(p.GetName()), mapSlice(p.GetRoutes(), d.route))
	if err != nil {
		d.fail(err)
	}
	return s
}

func (d *decoder) route(p *pb.Route) *jackdawbridge.Route {
	criticality := enum[jackdawbridge.Criticality](d, p.GetCriticality())
	route, err := jackdawbridge.NewRoute(p.GetPrefix(), p.GetMethods(), criticality, p.GetIdempotent(), p.GetOpen())
	if err != nil {
		d.fail(err)
		return nil
	}
	destinations := mapSlice(p.GetDestinations(), func(q *pb.Destination) jackdawbridge.Destination {
		destination, err := jackdawbridge.NewDestination(jackdawbridge.ServiceName(q.GetService()), int(q.GetWeight()))
		if err != nil {
			d.fail(err)
		}
		return destination
	})
	if p.GetClosed() {
		route = route.AsClosed()
	} else {
		route = route.WithDestinations(destinations)
	}
	return route.
		WithTimes(jackdawbridge.Millis(p.GetTimeout()), jackdawbridge.Millis(p.GetObjective())).
		WithAttempts(int(p.GetAttempts()))
}

func (d *decoder) key(p *pb.Key) *jackdawbridge.Key {
	var hash jackdawbridge.KeyHash
	if copy(hash[:], p.GetHash()); len(p.GetHash()) != len(hash) {
		d.fail(errors.Errorf("key hash has %d bytes: want %d", len(p.GetHash()), len(hash)))
	}
	k, err := jackdawbridge.NewKey(hash, jackdawbridge.AccountName(p.GetAccount()), p.GetLabel())
	if err != nil {
		d.fail(err)
	}
	return k
}

func (d *decoder) entry(p *pb.Entry) jackdawbridge.Entry {
	var e jackdawbridge.Entry
	switch v := p.GetValue().(type) {
	case *pb.Entry_Account:
		if a := d.account(v.Account); a != nil {
			e = jackdawbridge.AccountEntry(a)
		}
	case *pb.Entry_Service:
		if s := d.service(v.Service); s != nil {
			e = jackdawbridge.ServiceEntry(s)
		}
	case *pb.Entry_Key:
		if k := d.key(v.Key); k != nil {
			e = jackdawbridge.KeyEntry(k)
		}
	case *pb.Entry_Start:
		s, err := jackdawbridge.NewSlowStart(jackdawbridge.ServiceName(v.Start.GetService()), jackdawbridge.Millis(v.Start.GetTime()), float64(v.Start.GetRate())/1000)
		if err != nil {
			d.fail(err)
		} else {
			e = jackdawbridge.SlowStartEntry(s)
		}
	case *pb.Entry_Evacuated:
		e = jackdawbridge.EvacuationEntry(jackdawbridge.DataCentre(v.Evacuated))
	case *pb.Entry_Tombstone:
		e = jackdawbridge.Tombstone(v.Tombstone)
	default:
		d.fail(errors.New("entry is empty"))
	}
	return e.WithRevision(p.GetRevision())
}

// omissions decodes the omissions of a table. They are only reported, so that none of them is
// invalid: texts that are too long are truncated.
func omissions(p *pb.Omitted) jackdawbridge.Omissions {
	list := mapSlice(p.GetList(), func(o *pb.Omission) jackdawbridge.Omission {
		return jackdawbridge.NewOmission(o.GetVersion(), o.GetEntry(), o.GetReason())
	})
	decoded := jackdawbridge.NewOmissions(list, int(min(max(p.GetCount(), 0), math.MaxInt32)))
	if p.GetPartial() && decoded.Count() > 0 {
		decoded = decoded.AsPartial()
	}
	return decoded
}

// entries decodes the entries of a table, or changed ones since a revision, and adds to the
// omissions. An entry with an invalid value may come from another version of this program. It
// is left out, so that the others come into force, and a tombstone replaces it among changes,
// so that no earlier value of it stays in force.
func entries(list []*pb.Entry, since uint64, change string, omitted jackdawbridge.Omissions) ([]jackdawbridge.Entry, jackdawbridge.Omissions) {
	decoded := make([]jackdawbridge.Entry, 0, len(list))
	for _, p := range list {
		var d decoder
		e := d.entry(p)
		if d.err == nil {
			d.err = e.Check()
		}
		if d.err == nil {
			decoded = append(decoded, e)
			continue
		}
		removed := jackdawbridge.Tombstone(entryName(p)).WithRevision(p.GetRevision())
		omitted = omitted.With(jackdawbridge.NewOmission(change, removed.Name(), d.err.Error())).AsPartial()
		if since > 0 && removed.Check() == nil {
			decoded = append(decoded, removed)
		}
	}
	return decoded, omitted
}

// entryName returns the name of an entry whose value may be invalid, "" if it has none.
func entryName(p *pb.Entry) string {
	switch v := p.GetValue().(type) {
	case *pb.Entry_Account:
		return "account/" + v.Account.GetName()
	case *pb.Entry_Service:
		return "service/" + v.Service.GetName()
	case *pb.Entry_Key:
		return "key/" + hex.EncodeToString(v.Key.GetHash())
	case *pb.Entry_Start:
		return "slowstart/" + v.Start.GetService()
	case *pb.Entry_Evacuated:
		return "evacuation/" + v.Evacuated
	case *pb.Entry_Tombstone:
		return v.Tombstone
	}
	return ""
}

// holders returns the holder of each range. A number n > 0 means nodes[n-1], and 0 means
// that the range has no holder.
func (d *decoder) holders(nodes []jackdawbridge.Node, numbers []uint32) (holders [jackdawbridge.RangeCount]jackdawbridge.Node) {
	if len(numbers) != len(holders) {
		d.fail(errors.Errorf("list of range holders has %d entries: want %d", len(numbers), len(holders)))
		return holders
	}
	for i, n := range numbers {
		switch {
		case int(n) > len(nodes):
			d.fail(errors.Errorf("holder of range %d is node %d: want at most %d", i, n, len(nodes)))
		case n > 0:
			holders[i] = nodes[n-1]
		}
	}
	return holders
}

func (d *decoder) ranges(p *pb.Ranges) *jackdawbridge.Ranges {
	if p == nil {
		d.fail(errors.New("range record is missing"))
		return nil
	}
	nodes := mapSlice(p.Nodes, d.node)
	holders := d.holders(nodes, p.Holders)
	witnesses := mapSlice(p.Witnesses, d.node)
	if p.Pending {
		return jackdawbridge.RestorePending(p.Epoch, holders, d.holders(nodes, p.Previous), witnesses, mapSlice(p.Electors, d.node))
	}
	if len(p.Previous) > 0 || len(p.Electors) > 0 {
		d.fail(errors.New("settled range record has previous holders or electors"))
	}
	return jackdawbridge.NewRanges(p.Epoch, holders, witnesses)
}

func (d *decoder) value(p *pb.Value) jackdawbridge.Value {
	switch v := p.Value.(type) {
	case *pb.Value_Table:
		entries, omitted := entries(v.Table.GetEntries(), 0, v.Table.GetChange(), omissions(v.Table.GetOmitted()))
		t, err := jackdawbridge.NewTable(v.Table.GetRevision(), v.Table.GetChange(), entries)
		if err != nil {
			d.fail(err)
			return nil
		}
		return t.WithOmissions(omitted)
	case *pb.Value_Ranges:
		return d.ranges(v.Ranges)
	case *pb.Value_Seed:
		return jackdawbridge.NewSeed(d.peer(v.Seed))
	case *pb.Value_Departure:
		return jackdawbridge.NewDepartures(append(mapSlice(v.Departure.GetEarlier(), departedProcess), departedProcess(v.Departure)))
	}
	d.fail(errors.New("value is empty"))
	return nil
}

// members decodes a request for members or the list that answers it.
func (d *decoder) members(m *pb.Members) jackdawbridge.Message {
	rumors := d.rumors(m.GetRumors())
	services := mapSlice(m.GetServices(), func(s string) jackdawbridge.ServiceName { return jackdawbridge.ServiceName(s) })
	if m.GetRequest() {
		if len(rumors) > 0 {
			d.fail(errors.New("request for members carries rumors"))
		}
		return jackdawbridge.NewServiceMembersRequest(services)
	}
	if len(services) > 0 {
		d.fail(errors.New("members list names services: only a request may"))
	}
	return jackdawbridge.NewMembers(rumors)
}

// message decodes the message of a frame.
func (d *decoder) message(f *pb.Frame) jackdawbridge.Message {
	switch m := f.Message.(type) {
	case *pb.Frame_Probe:
		return jackdawbridge.NewProbe(m.Probe.GetSequence(), d.rumors(m.Probe.GetRumors()))
	case *pb.Frame_Ack:
		return jackdawbridge.NewProbeAck(m.Ack.GetSequence(), d.rumors(m.Ack.GetRumors()))
	case *pb.Frame_Via:
		return jackdawbridge.NewIndirectProbe(m.Via.GetSequence(), d.peer(m.Via.GetTarget()))
	case *pb.Frame_Members:
		return d.members(m.Members)
	case *pb.Frame_Leave:
		return jackdawbridge.NewLeave()
	case *pb.Frame_Newer:
		return jackdawbridge.NewRevisionNotice()
	case *pb.Frame_Pull:
		return jackdawbridge.NewPull(jackdawbridge.RecordName(m.Pull.GetName()), m.Pull.GetSince())
	case *pb.Frame_Delta:
		entries, omitted := entries(m.Delta.GetEntries(), m.Delta.GetSince(), m.Delta.GetChange(), omissions(m.Delta.GetOmitted()))
		return jackdawbridge.NewTableDelta(jackdawbridge.RecordName(m.Delta.GetName()), m.Delta.GetSince(), m.Delta.GetRevision(),
			m.Delta.GetChange(), entries).WithOmissions(omitted)
	case *pb.Frame_Snapshot:
		return jackdawbridge.NewRangesUpdate(jackdawbridge.DataCentre(m.Snapshot.GetCentre()), m.Snapshot.GetVersion(), d.ranges(m.Snapshot.GetRanges()))
	case *pb.Frame_Acknowledge:
		return jackdawbridge.NewPrepareRequest(jackdawbridge.DataCentre(m.Acknowledge.GetCentre()), m.Acknowledge.GetVersion(), d.ranges(m.Acknowledge.GetRanges()))
	case *pb.Frame_Vouch:
		return jackdawbridge.NewVoteRequest(m.Vouch.GetEpoch(), jackdawbridge.Millis(m.Vouch.GetAsked()))
	case *pb.Frame_Vouched:
		return jackdawbridge.NewVote(m.Vouched.GetEpoch(), jackdawbridge.Millis(m.Vouched.GetAsked()))
	case *pb.Frame_Acknowledged:
		return jackdawbridge.NewPromise(m.Acknowledged.GetEpoch())
	}
	return d.requestPathMessage(f)
}

// requestPathMessage decodes the messages about tokens, idempotency keys and crashes.
func (d *decoder) requestPathMessage(f *pb.Frame) jackdawbridge.Message {
	switch m := f.Message.(type) {
	case *pb.Frame_Ask:
		p := m.Ask
		return jackdawbridge.NewTokenRequest(jackdawbridge.GrantID(p.GetId()), jackdawbridge.AccountName(p.GetAccount()), int(p.GetLot()), p.GetTokens())
	case *pb.Frame_Grant:
		p := m.Grant
		return jackdawbridge.NewTokenGrant(jackdawbridge.GrantID(p.GetId()), jackdawbridge.AccountName(p.GetAccount()), int(p.GetLot()), p.GetTokens())
	case *pb.Frame_Deny:
		p := m.Deny
		denial := jackdawbridge.NewTokenDenial(jackdawbridge.GrantID(p.GetId()), jackdawbridge.AccountName(p.GetAccount()), int(p.GetLot()), jackdawbridge.Millis(p.GetAfter()))
		if p.GetClosed() {
			denial = denial.AsUnavailable()
		}
		return denial
	case *pb.Frame_Report:
		p := m.Report
		return jackdawbridge.NewUsageReport(jackdawbridge.GrantID(p.GetId()), jackdawbridge.AccountName(p.GetAccount()), int(p.GetLot()), p.GetSpent(), p.GetReturned())
	case *pb.Frame_Handover:
		p := m.Handover
		return jackdawbridge.NewHandover(jackdawbridge.AccountName(p.GetAccount()), int(p.GetLot()), p.GetEpoch(), p.GetLevel(), p.GetOutstanding())
	case *pb.Frame_Begin:
		p := m.Begin
		return jackdawbridge.NewStartRequest(jackdawbridge.RequestID(p.GetRequest()), jackdawbridge.AccountName(p.GetAccount()), p.GetKey())
	case *pb.Frame_Begun:
		id, key, r := jackdawbridge.RequestID(m.Begun.GetRequest()), m.Begun.GetKey(), m.Begun.GetRefusal()
		if r == nil {
			return jackdawbridge.NewStartAccepted(id, key)
		}
		return jackdawbridge.NewStartRefused(id, key, d.refusal(r))
	case *pb.Frame_Ended:
		p := m.Ended
		return jackdawbridge.NewCompletion(jackdawbridge.RequestID(p.GetRequest()), jackdawbridge.AccountName(p.GetAccount()), p.GetKey(),
			enum[jackdawbridge.Outcome](d, p.GetOutcome()), int(p.GetStatus()))
	case *pb.Frame_Crash:
		p := m.Crash
		node := d.node(p.GetNode())
		fingerprints := mapSlice(p.GetFingerprints(), func(f uint64) jackdawbridge.Fingerprint { return jackdawbridge.Fingerprint(f) })
		if !p.GetCleared() {
			return jackdawbridge.NewCrashReport(node, p.GetSequence(), jackdawbridge.Millis(p.GetAge()), fingerprints)
		}
		if p.GetAge() != 0 {
			d.fail(errors.Errorf("cleared crash has age %d: want none", p.GetAge()))
		}
		return jackdawbridge.NewCrashCleared(node, p.GetSequence(), fingerprints)
	}
	d.fail(errors.New("message is missing or unknown"))
	return nil
}

func (d *decoder) refusal(p *pb.Refusal) jackdawbridge.Refusal {
	reason := enum[jackdawbridge.Reason](d, p.GetReason())
	var r jackdawbridge.Refusal
	switch outcome := enum[jackdawbridge.Outcome](d, p.GetOutcome()); outcome {
	case jackdawbridge.NotRun:
		r = jackdawbridge.NotRunRefusal(reason)
	case jackdawbridge.Unknown:
		r = jackdawbridge.UnknownRefusal(reason)
	default:
		d.fail(errors.Errorf("outcome %d of a refusal: want not-run or unknown", outcome))
	}
	return r.WithRetryAfter(jackdawbridge.Millis(p.GetAfter())).WithStatus(int(p.GetStatus()))
}

func departedProcess(d *pb.Departure) jackdawbridge.DepartedProcess {
	return jackdawbridge.NewDepartedProcess(jackdawbridge.NewBackendProcess(d.GetBackend(), d.GetGeneration(), d.GetSequence()), d.GetLeft()).
		WithTime(min(max(jackdawbridge.Millis(d.GetTime()), 0), math.MaxInt32*jackdawbridge.Second))
}
