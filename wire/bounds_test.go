package wire

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jackdawbridge/jackdawbridge"
)

// boundSlack is how far from a bound values are drawn.
const boundSlack = 2

// drawer draws values for encoding. Half of the numbers are within boundSlack of a bound,
// also beyond it.
type drawer struct{ *rand.Rand }

// number draws a number from low to high, or a few beyond.
func (d drawer) number(low, high int64) int64 {
	switch d.IntN(4) {
	case 0:
		return low + int64(d.IntN(2*boundSlack+1)) - boundSlack
	case 1:
		return high + int64(d.IntN(2*boundSlack+1)) - boundSlack
	}
	return low + d.Int64N(high-low+1)
}

func (d drawer) millis(high jackdawbridge.Millis) jackdawbridge.Millis {
	return jackdawbridge.Millis(d.number(0, int64(high)))
}

// count draws a number of elements, mostly a few.
func (d drawer) count(high int) int {
	if d.IntN(8) > 0 {
		return d.IntN(min(high, 3) + 1)
	}
	return int(max(d.number(int64(high), int64(high)), 0))
}

// name draws a name, which may be empty or too long.
func (d drawer) name() string {
	if d.IntN(24) > 0 {
		return "n" + strconv.Itoa(d.IntN(1000))
	}
	return strings.Repeat("x", int(max(d.number(0, jackdawbridge.MaxNameBytes), 0)))
}

func (d drawer) node() jackdawbridge.Node {
	return jackdawbridge.NewNode(jackdawbridge.Instance(d.name()), d.Uint64())
}

func (d drawer) address() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(d.IntN(256)), 0, 1})
	if d.IntN(4) == 0 {
		ip = netip.MustParseAddr("fd00::" + strconv.FormatInt(int64(d.IntN(1<<16)), 16))
	}
	return netip.AddrPortFrom(ip, uint16(d.number(0, 65535)))
}

func (d drawer) peer() jackdawbridge.Peer {
	address := d.address()
	addresses := jackdawbridge.NewAddresses(address, netip.AddrPortFrom(address.Addr(), 1), d.address())
	return jackdawbridge.NewPeer(d.node(), jackdawbridge.DataCentre(d.name()), addresses).
		WithBackend(jackdawbridge.ServiceName(d.name()), int(d.number(0, jackdawbridge.MaxCapacity)), int(d.number(0, jackdawbridge.MaxCapacity))).
		WithState(jackdawbridge.PeerState(d.IntN(int(jackdawbridge.PeerLeft) + 2))).WithVersion(d.Uint64())
}

// header draws a header, now and then with about as many fields as a head may have.
func (d drawer) header() http.Header {
	h := make(http.Header)
	for range d.count(3) {
		h["H"+strconv.Itoa(d.IntN(100))] = []string{d.name(), d.name()}
	}
	if d.IntN(256) == 0 {
		for i := range max(d.number(jackdawbridge.MaxHeaderFields, jackdawbridge.MaxHeaderFields), 0) {
			h["F"+strconv.FormatInt(i, 10)] = []string{""}
		}
	}
	return h
}

func (d drawer) refusal() jackdawbridge.Refusal {
	reason := jackdawbridge.Reason(d.IntN(int(jackdawbridge.Misconfigured) + 2))
	refusal := jackdawbridge.NotRunRefusal(reason)
	if d.IntN(2) == 0 {
		refusal = jackdawbridge.UnknownRefusal(reason)
	}
	return refusal.WithRetryAfter(d.millis(jackdawbridge.MaxDuration)).WithStatus(int(d.number(100, 599)))
}

func (d drawer) precedence() jackdawbridge.Precedence {
	return jackdawbridge.Precedence(d.IntN(int(jackdawbridge.MaxPrecedence) + 1))
}

func (d drawer) request() jackdawbridge.ForwardedRequest {
	envelope := jackdawbridge.NewEnvelope(jackdawbridge.RequestID(d.name()), jackdawbridge.AccountName(d.name()), jackdawbridge.ServiceName(d.name()),
		jackdawbridge.Criticality(d.IntN(int(jackdawbridge.Critical)+2)), d.millis(jackdawbridge.MaxDuration)).
		WithPaidPriority(d.IntN(2) == 0).WithIdempotent(d.IntN(2) == 0).WithRetryAllowance(int(d.number(0, jackdawbridge.MaxRetryAllowance))).
		WithDepth(int(d.number(0, jackdawbridge.MaxDepth))).WithFingerprint(jackdawbridge.Fingerprint(d.Uint64()), d.IntN(2) == 0).
		WithObjective(d.millis(jackdawbridge.MaxDuration)).WithSent(d.node(), d.millis(jackdawbridge.MaxTime)).
		WithPrecedence(d.precedence()).WithRepeated(d.IntN(2) == 0)
	return jackdawbridge.NewForwardedRequest(envelope, d.name(), d.name(), "/"+d.name(), d.name(), d.header(), d.number(-1, jackdawbridge.MaxBodyBytes))
}

func (d drawer) reply() jackdawbridge.Reply {
	var usage jackdawbridge.Usage
	for range d.count(jackdawbridge.MaxUsage) {
		usage.Add(jackdawbridge.NewServiceUsage(jackdawbridge.ServiceName(d.name()), int(d.Int32()), jackdawbridge.Millis(d.Int32())).
			WithThresholds(d.precedence(), d.precedence()).WithRejected(int(d.number(0, 1000))))
	}
	feedback := jackdawbridge.NewFeedback(jackdawbridge.Level(d.IntN(int(jackdawbridge.MaxRank)+3)), int(d.number(0, jackdawbridge.MaxRetryAllowance))).
		WithOccupancy(jackdawbridge.NewOccupancy(int(d.number(0, jackdawbridge.MaxCapacity)), int(d.number(0, jackdawbridge.MaxCapacity))), d.millis(jackdawbridge.MaxDuration)).
		WithBacklog(jackdawbridge.NewBacklog(d.millis(jackdawbridge.MaxDuration), d.millis(jackdawbridge.MaxDuration), int(d.number(0, 1<<20)))).
		WithUsage(usage).WithRetryGranted(d.IntN(2) == 0)
	if d.IntN(2) == 0 {
		return jackdawbridge.RefusedReply(d.refusal(), feedback)
	}
	return jackdawbridge.NewReply(int(d.number(100, 599)), d.header(), d.number(-1, jackdawbridge.MaxBodyBytes), feedback)
}

func (d drawer) rumors(high int) []jackdawbridge.Rumor {
	rumors := make([]jackdawbridge.Rumor, 0, high)
	for range d.count(high) {
		rumors = append(rumors, jackdawbridge.NewRumor(d.peer(), jackdawbridge.Liveness(d.IntN(int(jackdawbridge.Dead)+2))))
	}
	return rumors
}

func (d drawer) ranges() *jackdawbridge.Ranges {
	var holders, previous [jackdawbridge.RangeCount]jackdawbridge.Node
	nodes := []jackdawbridge.Node{{}, d.node(), d.node()}
	for i := range holders {
		holders[i], previous[i] = nodes[d.IntN(len(nodes))], nodes[d.IntN(len(nodes))]
	}
	witnesses := nodes[1 : 1+d.IntN(len(nodes))]
	if d.IntN(2) == 0 {
		return jackdawbridge.RestorePending(d.Uint64(), holders, previous, witnesses, nodes[1:1+d.IntN(len(nodes))])
	}
	return jackdawbridge.NewRanges(d.Uint64(), holders, witnesses)
}

// entries draws valid entries of the config table that have changed after a revision.
func (d drawer) entries(since uint64) []jackdawbridge.Entry {
	var entries []jackdawbridge.Entry
	for range d.count(4) {
		e := jackdawbridge.Tombstone("service/" + d.name())
		if start, err := jackdawbridge.NewSlowStart(jackdawbridge.ServiceName(d.name()), d.millis(jackdawbridge.MaxDuration), float64(d.number(0, 100_000))/1000); err == nil && d.IntN(2) == 0 {
			e = jackdawbridge.SlowStartEntry(start)
		}
		if account, err := jackdawbridge.NewAccount(jackdawbridge.AccountName(d.name()), d.number(1, jackdawbridge.MaxTokens), d.number(1, jackdawbridge.MaxTokens), []jackdawbridge.Share{d.share()}); err == nil && d.IntN(2) == 0 {
			e = jackdawbridge.AccountEntry(account)
		}
		entries = append(entries, e.WithRevision(since+uint64(d.number(1, 5))))
	}
	return entries
}

func (d drawer) share() jackdawbridge.Share {
	share, _ := jackdawbridge.NewShare(jackdawbridge.DataCentre(d.name()), 1000)
	return share
}

func (d drawer) message() jackdawbridge.Message {
	account, shard, tokens := jackdawbridge.AccountName(d.name()), int(d.number(0, jackdawbridge.MaxShards-1)), func() int64 { return d.number(0, jackdawbridge.MaxTokens) }
	grant, request, dc := jackdawbridge.GrantID(d.Uint64()), jackdawbridge.RequestID(d.name()), jackdawbridge.DataCentre(d.name())
	switch d.IntN(20) {
	case 0:
		return jackdawbridge.NewProbe(d.Uint64(), d.rumors(jackdawbridge.MaxPiggybackedRumors))
	case 1:
		return jackdawbridge.NewProbeAck(d.Uint64(), d.rumors(jackdawbridge.MaxPiggybackedRumors))
	case 2:
		return jackdawbridge.NewIndirectProbe(d.Uint64(), d.peer())
	case 3:
		services := make([]jackdawbridge.ServiceName, d.count(jackdawbridge.MaxRequestedServices))
		for i := range services {
			services[i] = jackdawbridge.ServiceName(d.name())
		}
		return jackdawbridge.NewServiceMembersRequest(services)
	case 4:
		return jackdawbridge.NewMembers(d.rumors(64))
	case 5:
		return jackdawbridge.NewPull(jackdawbridge.RangesRecord(dc), d.Uint64())
	case 6, 7:
		since := uint64(d.IntN(10))
		return jackdawbridge.NewTableDelta(jackdawbridge.ConfigTable, since, since+uint64(d.number(1, 5)), d.name(), d.entries(since))
	case 8:
		return jackdawbridge.NewRangesUpdate(dc, d.Uint64(), d.ranges())
	case 9:
		return jackdawbridge.NewPrepareRequest(dc, d.Uint64(), d.ranges())
	case 10:
		return jackdawbridge.NewVoteRequest(d.Uint64(), d.millis(jackdawbridge.MaxTime))
	case 11:
		return jackdawbridge.NewVote(d.Uint64(), d.millis(jackdawbridge.MaxTime))
	case 12:
		return jackdawbridge.NewTokenRequest(grant, account, shard, tokens())
	case 13:
		return jackdawbridge.NewTokenGrant(grant, account, shard, tokens())
	case 14:
		return jackdawbridge.NewTokenDenial(grant, account, shard, d.millis(jackdawbridge.MaxDuration))
	case 15:
		return jackdawbridge.NewUsageReport(grant, account, shard, tokens(), tokens())
	case 16:
		return jackdawbridge.NewHandover(account, shard, d.Uint64(), 1000*tokens(), tokens())
	case 17:
		return jackdawbridge.NewStartRefused(request, d.name(), d.refusal())
	case 18:
		return jackdawbridge.NewCompletion(request, account, d.name(), jackdawbridge.Outcome(d.IntN(4)), int(d.number(100, 599)))
	}
	fingerprints := make([]jackdawbridge.Fingerprint, d.count(jackdawbridge.MaxFingerprints))
	return jackdawbridge.NewCrashReport(d.node(), d.Uint64(), d.millis(jackdawbridge.MaxDuration), fingerprints)
}

// recoded encodes a drawn value of one of the kinds and decodes it again. It returns nil if
// the value cannot be encoded.
func (d drawer) recoded() (value, decoded any, err error) {
	var c Codec
	switch d.IntN(4) {
	case 0:
		f := jackdawbridge.NewFrame(d.peer(), jackdawbridge.NewDigest(d.Uint64(), d.Uint64(), d.Uint64(), d.millis(jackdawbridge.MaxTime)).
			WithEra(jackdawbridge.NewEraDigest(d.Uint64(), d.IntN(2) == 0, d.millis(jackdawbridge.MaxTime))), d.message())
		if data, failed := c.EncodeFrame(f); failed == nil {
			decoded, err = c.DecodeFrame(data)
			return f, decoded, err
		}
	case 1:
		r := d.request()
		if data, failed := c.EncodeForwardedRequest(r); failed == nil {
			decoded, err = c.DecodeForwardedRequest(data)
			return r, decoded, err
		}
	case 2:
		r := d.reply()
		if data, failed := c.EncodeReply(r); failed == nil {
			decoded, err = c.DecodeReply(data)
			return r, decoded, err
		}
	default:
		name, value := d.value()
		if jackdawbridge.CheckValue(name, value) != nil {
			return nil, nil, nil // the store does not write it
		}
		if data, failed := c.EncodeValue(value); failed == nil {
			decoded, err = c.DecodeValue(name, data)
			return value, decoded, err
		}
	}
	return nil, nil, nil
}

func (d drawer) value() (jackdawbridge.RecordName, jackdawbridge.Value) {
	switch d.IntN(4) {
	case 0:
		table, err := jackdawbridge.NewTable(uint64(d.number(1, 5)), d.name(), d.entries(0))
		if err == nil {
			return jackdawbridge.ConfigTable, table
		}
	case 1:
		return jackdawbridge.RangesRecord("dc1"), d.ranges()
	case 2:
		return jackdawbridge.SeedsPrefix + "a1", jackdawbridge.NewSeed(d.peer())
	}
	process := jackdawbridge.NewBackendProcess(d.name(), d.Uint64(), d.Uint64())
	departed := jackdawbridge.NewDepartedProcess(process, d.IntN(2) == 0).WithTime(jackdawbridge.Millis(d.Int32()))
	return jackdawbridge.DepartureRecord("a1"), jackdawbridge.NewDepartures([]jackdawbridge.DepartedProcess{departed})
}

// checkRecoded draws a value and reports whether it could be encoded. What was encoded must be
// decoded to the same value.
func checkRecoded(t *testing.T, seed uint64) bool {
	value, decoded, err := drawer{rand.New(rand.NewPCG(seed, 0))}.recoded()
	if err != nil {
		t.Fatalf("seed %d: what was encoded cannot be decoded: %v\n%+v", seed, err, value)
	}
	if diff := cmp.Diff(value, decoded, equal); diff != "" {
		t.Fatalf("seed %d: value after encoding and decoding (-want +got):\n%s", seed, diff)
	}
	return value != nil
}

// TestEncodedIsDecoded guards against a message that its sender encodes and its receiver
// refuses, which loses more than that message where others share its connection.
func TestEncodedIsDecoded(t *testing.T) {
	const draws = 20_000
	encoded := 0
	for seed := range uint64(draws) {
		if checkRecoded(t, seed) {
			encoded++
		}
	}
	if encoded < draws/20 {
		t.Errorf("%d of %d drawn values were encoded: too few to show anything", encoded, draws)
	}
}

// FuzzEncoded draws further values, as TestEncodedIsDecoded.
func FuzzEncoded(f *testing.F) {
	f.Add(uint64(0))
	f.Fuzz(func(t *testing.T, seed uint64) { checkRecoded(t, seed) })
}
