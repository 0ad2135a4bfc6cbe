package jackdawbridge

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/go-faster/errors"
)

// Limits on input from other processes. They prevent one faulty sender from
// exhausting the memory of its receivers. What operators may configure is bounded by the
// size of a stored value, so that the limits on it only exclude what no request can use.
const (
	MaxNameBytes         = 1024    // bytes of a name, id or label
	maxPrefixBytes       = 1 << 20 // bytes of a route's prefix; the largest request header that a node can be set to accept
	MaxPiggybackedRumors = 8       // of a probe or its answer
	MaxMembers           = 16384   // of a Members message; more than the nodes of the target fleet
	MaxFingerprints      = 16384   // of a CrashReport; as many as the calls that a node holds at once
	maxEntries           = 1 << 18 // of a table; more than a stored record of 1 MB has
	maxShares            = 64      // of an account
	maxRoutes            = 1 << 16 // of a service; a stored value has no room for more
	maxMethods           = 16      // of a route
	maxDestinations      = 1 << 16 // of a route; a stored value has no room for more
	maxWitnesses         = 5       // of a range record
	MaxShards            = 65536   // of an account in a data centre
	MaxTokens            = 1 << 40 // sums of tokens and of thousandths of a token stay far from overflow
	MaxCapacity          = 1 << 20 // slots or connections of a backend server
	MaxRetryAllowance    = 64      // retries; more than any budget that an entry node sets
	MaxBodyBytes         = 1 << 40 // bytes; each node may set a smaller maximum for its listeners
	MaxDuration          = Millis(366 * 24 * 3600 * 1000)
	MaxTime              = Millis(1 << 50) // far beyond any real date; adding a duration cannot overflow
)

// MaxHeaderFields bounds the fields of the header of a request or an answer, of which each
// value counts. A head of 32 KB, the default limit of the listeners for callers, has less.
const MaxHeaderFields = 16 << 10

// MaxWeight is the largest weight of a destination. Sums of weights stay far from overflow.
const MaxWeight = 1 << 30

// CheckHeader returns an error if a header has more fields than a node forwards.
func CheckHeader(header http.Header) error {
	var c validator
	c.header(header)
	return c.err
}

// CheckName returns an error if name cannot be that of an account, a service or a host.
func CheckName(name string) error {
	var c validator
	c.name(name, "name")
	return c.err
}

// CheckPrefix returns an error if prefix cannot be that of a route.
func CheckPrefix(prefix string) error {
	var c validator
	c.prefix(prefix)
	return c.err
}

// validator records the first violation that its methods find. Checks after that have
// no effect.
type validator struct{ err error }

func (c *validator) require(ok bool, format string, args ...any) {
	if c.err == nil && !ok {
		c.err = errors.Errorf(format, args...)
	}
}

func (c *validator) requireRange(v, low, high int64, what string) {
	if c.err == nil && (v < low || v > high) {
		c.err = errors.Errorf("%s is %d: want %d to %d", what, v, low, high)
	}
}

func (c *validator) requireNoError(err error, what string) {
	if c.err == nil && err != nil {
		c.err = errors.Errorf("%s: %w", what, err)
	}
}

func (c *validator) optionalName(name, what string) {
	c.require(len(name) <= MaxNameBytes, "%s has %d bytes: want at most %d", what, len(name), MaxNameBytes)
	c.require(!strings.ContainsFunc(name, unicode.IsControl), "%s has control characters", what)
}

func (c *validator) name(name, what string) {
	c.require(name != "", "%s is empty", what)
	c.optionalName(name, what)
}

func (c *validator) prefix(prefix string) {
	c.require(len(prefix) <= maxPrefixBytes, "prefix has %d bytes: want at most %d", len(prefix), maxPrefixBytes)
}

func (c *validator) header(header http.Header) {
	fields := 0
	for _, values := range header {
		fields += len(values)
	}
	c.require(fields <= MaxHeaderFields, "header has %d fields: want at most %d", fields, MaxHeaderFields)
}

func (c *validator) node(n Node, what string) { c.name(string(n.instance), what) }

func (c *validator) address(a netip.AddrPort, what string) {
	ip := a.Addr()
	c.require(a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.Zone() == "",
		"%s address %s is not a plain unicast address with a port", what, a)
}

// Check returns an error if a field of p has an invalid value.
func (p Peer) Check() error {
	var c validator
	c.node(p.node, "instance")
	c.name(string(p.dataCentre), "data centre")
	c.address(p.addresses.gossip, "gossip")
	c.address(p.addresses.rpc, "rpc")
	c.address(p.addresses.link, "link")
	c.optionalName(string(p.service), "service")
	minimum := int64(0) // a member without a backend server has no capacity
	if p.service != "" {
		minimum = 1
	}
	c.requireRange(int64(p.slots), minimum, MaxCapacity, "slots")
	c.requireRange(int64(p.conns), minimum, MaxCapacity, "connections")
	c.require(p.state <= PeerLeft, "state %d is unknown", p.state)
	return c.err
}

// Check returns an error if a field of r has an invalid value.
func (r Rumor) Check() error {
	var c validator
	c.requireNoError(r.peer.Check(), "member")
	c.require(r.liveness <= Dead, "liveness %d is unknown", r.liveness)
	return c.err
}

// Check returns an error if a field of e has an invalid value.
func (e Envelope) Check() error {
	var c validator
	c.name(string(e.id), "request id")
	c.optionalName(string(e.account), "account")
	c.name(string(e.service), "service")
	c.require(e.criticality <= Critical, "criticality %d is unknown", e.criticality)
	c.requireRange(int64(e.budget), 1, int64(MaxDuration), "budget")
	c.requireRange(int64(e.retryAllowance), 0, MaxRetryAllowance, "retry allowance")
	c.requireRange(int64(e.depth), 0, MaxDepth, "depth")
	c.requireRange(int64(e.objective), 0, int64(MaxDuration), "objective")
	c.optionalName(string(e.sender.instance), "sender")
	c.requireRange(int64(e.sent), 0, int64(MaxTime), "sending time")
	return c.err
}

// Check returns an error if a field of f has an invalid value.
func (f ForwardedRequest) Check() error {
	var c validator
	c.requireNoError(f.envelope.Check(), "envelope")
	c.name(f.method, "method")
	c.require(strings.HasPrefix(f.path, "/"), "path %q has no leading slash", f.path)
	c.requireRange(f.length, -1, MaxBodyBytes, "length of the body")
	c.header(f.header)
	return c.err
}

// Check returns an error if a field of r has an invalid value.
func (r Reply) Check() error {
	var c validator
	if _, refused := r.Refusal(); refused {
		c.requireNoError(r.refusal.Check(), "refusal")
	} else {
		c.requireRange(int64(r.status), 100, 599, "status")
	}
	c.requireRange(r.length, -1, MaxBodyBytes, "length of the body")
	c.header(r.header)
	c.feedback(r.feedback)
	return c.err
}

func (c *validator) feedback(f Feedback) {
	c.require(f.level <= MaxRank+1, "admission level %d is unknown", f.level) // MaxRank+1 admits no request
	c.requireRange(int64(f.unusedRetries), 0, MaxRetryAllowance, "unused retries")
	c.requireRange(int64(f.occupancy.busy), 0, MaxCapacity, "busy requests")
	c.requireRange(int64(f.occupancy.limit), 0, MaxCapacity, "concurrency limit")
	c.requireRange(int64(f.waited), 0, int64(MaxDuration), "waiting time")
	for i := range f.usage.length {
		c.name(string(f.usage.services[i].service), "used service")
	}
}

// Check returns an error if a field of r has an invalid value.
func (r Refusal) Check() error {
	var c validator
	c.require(r.reason != NoReason && r.reason <= Misconfigured, "reason %d is unknown", r.reason)
	c.require(r.outcome == NotRun || r.outcome == Unknown, "outcome %d of a refusal: want not-run or unknown", r.outcome)
	c.requireRange(int64(r.retryAfter), 0, int64(MaxDuration), "retry delay")
	c.status(r.status)
	return c.err
}

// status accepts 0, which stands for no answer.
func (c *validator) status(status int) {
	c.require(status == 0 || status >= 100 && status <= 599, "status is %d: want 100 to 599", status)
}

// Check returns an error if a field of f or of its message has an invalid value.
func (f Frame) Check() error {
	var c validator
	c.requireNoError(f.from.Check(), "sender")
	c.requireRange(int64(f.digest.sinceConfirmed), 0, int64(MaxTime), "time since confirmation")
	c.message(f.message)
	return c.err
}

func (c *validator) message(message Message) {
	switch m := message.(type) {
	case *Probe:
		c.rumors(m.rumors, MaxPiggybackedRumors)
	case *ProbeAck:
		c.rumors(m.rumors, MaxPiggybackedRumors)
	case *IndirectProbe:
		c.requireNoError(m.target.Check(), "target")
	case *Members:
		c.require(!m.request || len(m.rumors) == 0, "request for members carries rumors")
		c.require(m.request || len(m.services) == 0, "members list names services: only a request may")
		c.require(len(m.services) <= MaxRequestedServices, "request for members names %d services: want at most %d", len(m.services), MaxRequestedServices)
		c.rumors(m.rumors, MaxMembers)
	case *Leave, *RevisionNotice, *Promise:
	case *Pull:
		c.recordName(m.name)
	case *TableDelta:
		c.require(m.revision > m.since, "revision %d does not follow %d", m.revision, m.since)
		c.optionalName(m.change, "change")
		c.entries(m.name, m.since, m.revision, m.entries)
	case *RangesUpdate:
		c.name(string(m.dataCentre), "data centre")
		c.ranges(m.ranges)
	case *PrepareRequest:
		c.name(string(m.dataCentre), "data centre")
		c.ranges(m.ranges)
	case *VoteRequest:
		c.requireRange(int64(m.requestedAt), 0, int64(MaxTime), "time of the vote request")
	case *Vote:
		c.requireRange(int64(m.requestedAt), 0, int64(MaxTime), "time of the vote request")
	case *TokenRequest:
		c.shard(m.account, m.shard)
		c.requireRange(m.tokens, 1, MaxTokens, "requested tokens")
	case *TokenGrant:
		c.shard(m.account, m.shard)
		c.requireRange(m.tokens, 1, MaxTokens, "granted tokens")
	case *TokenDenial:
		c.shard(m.account, m.shard)
		c.requireRange(int64(m.retryAfter), 0, int64(MaxDuration), "retry delay")
	case *UsageReport:
		c.shard(m.account, m.shard)
		c.requireRange(m.spent, 0, MaxTokens, "spent tokens")
		c.requireRange(m.returned, 0, MaxTokens, "returned tokens")
	case *Handover:
		c.shard(m.account, m.shard)
		c.requireRange(m.level, 0, MaxTokens*1000, "token level")
		c.requireRange(m.outstanding, 0, MaxTokens, "outstanding tokens")
	case *StartRequest:
		c.requestAndKey(m.request, m.key)
		c.optionalName(string(m.account), "account")
	case *StartResponse:
		c.requestAndKey(m.request, m.key)
		if m.refused {
			c.requireNoError(m.refusal.Check(), "refusal")
		}
	case *Completion:
		c.requestAndKey(m.request, m.key)
		c.optionalName(string(m.account), "account")
		c.require(m.outcome <= Unknown, "outcome %d is unknown", m.outcome)
		c.status(m.status)
	case *CrashReport:
		c.node(m.node, "instance")
		c.requireRange(int64(m.age), 0, int64(MaxDuration), "age")
		c.require(len(m.fingerprints) <= MaxFingerprints, "%d fingerprints: want at most %d", len(m.fingerprints), MaxFingerprints)
	default:
		c.require(false, "message %T is unknown", message)
	}
}

func (c *validator) requestAndKey(request RequestID, key string) {
	c.name(string(request), "request id")
	c.name(key, "idempotency key")
}

func (c *validator) shard(account AccountName, index int) {
	c.name(string(account), "account")
	c.requireRange(int64(index), 0, MaxShards-1, "shard")
}

func (c *validator) rumors(rumors []Rumor, limit int) {
	c.require(len(rumors) <= limit, "%d rumors: want at most %d", len(rumors), limit)
	for _, r := range rumors {
		if c.err != nil {
			return
		}
		c.requireNoError(r.Check(), "rumor")
	}
}

func (c *validator) recordName(name RecordName) {
	rest, ranges := strings.CutPrefix(string(name), string(RangesPrefix))
	c.require(name == ConfigTable || name == KeysTable || ranges && rest != "", "record %q is not exchanged between nodes", name)
	c.optionalName(string(name), "record")
}

// entries checks the entries of a table, or those of a TableDelta that changed
// after the revision since.
func (c *validator) entries(name RecordName, since, revision uint64, entries []Entry) {
	c.require(name == ConfigTable || name == KeysTable, "record %q is not a table", name)
	c.require(len(entries) <= maxEntries, "%d entries: want at most %d", len(entries), maxEntries)
	seen := make(map[string]struct{}, min(len(entries), maxEntries))
	for _, e := range entries {
		if c.err != nil {
			return
		}
		_, duplicate := seen[e.name]
		seen[e.name] = struct{}{}
		c.require(!duplicate, "duplicate entry %q", e.name)
		c.require(e.revision > since && e.revision <= revision, "entry %q has revision %d: want %d to %d", e.name, e.revision, since+1, revision)
		c.require(strings.HasPrefix(e.name, "key/") == (name == KeysTable), "entry %q does not belong to table %s", e.name, name)
		c.requireNoError(e.Check(), "entry")
	}
}

// entryKinds are the prefixes of the names of entries.
var entryKinds = []string{"account", "service", "key", "slowstart", "evacuation"}

// Check returns an error if e has an invalid name or value.
func (e Entry) Check() error {
	var c validator
	kind, name, ok := strings.Cut(e.name, "/")
	c.require(ok && slices.Contains(entryKinds, kind), "name %q has no known prefix", e.name)
	c.name(name, "name")
	switch {
	case e.account != nil:
		a := e.account
		c.requireRange(a.rate, 1, MaxTokens, "rate")
		c.requireRange(a.burst, 1, MaxTokens, "burst")
		c.require(len(a.shares) <= maxShares, "%d shares: want at most %d", len(a.shares), maxShares)
		for _, s := range a.shares {
			c.name(string(s.dataCentre), "data centre")
		}
	case e.service != nil:
		c.require(len(e.service.routes) <= maxRoutes, "%d routes: want at most %d", len(e.service.routes), maxRoutes)
		for _, r := range e.service.routes {
			c.prefix(r.prefix)
			c.require(len(r.methods) <= maxMethods, "%d methods: want at most %d", len(r.methods), maxMethods)
			for _, m := range r.methods {
				c.name(m, "method")
			}
			c.require(len(r.destinations) <= maxDestinations, "%d destinations: want at most %d", len(r.destinations), maxDestinations)
			for _, d := range r.destinations {
				c.name(string(d.service), "destination")
				c.requireRange(int64(d.weight), 1, MaxWeight, "weight")
			}
			c.requireRange(int64(r.timeout), 0, int64(MaxDuration), "timeout")
			c.requireRange(int64(r.objective), 0, int64(MaxDuration), "objective")
			c.requireRange(int64(r.attempts), 0, MaxRetryAllowance, "attempts")
		}
	case e.key != nil:
		c.name(string(e.key.account), "account")
		c.optionalName(e.key.label, "label")
	}
	return c.err
}

func (c *validator) witnesses(nodes []Node) {
	c.require(len(nodes) <= maxWitnesses, "%d witnesses: want at most %d", len(nodes), maxWitnesses)
	for i, n := range nodes {
		c.node(n, "witness")
		// Two processes of one instance would have two votes.
		c.require(!slices.ContainsFunc(nodes[:i], func(o Node) bool { return o.instance == n.instance }), "duplicate witness %s", n)
	}
}

func (c *validator) ranges(r *Ranges) {
	if r == nil {
		c.require(false, "range record is missing")
		return
	}
	c.witnesses(r.witnesses)
	c.witnesses(r.electors)
	c.require(r.pending || len(r.electors) == 0, "settled range record has electors")
	for i := range RangeCount {
		c.require(r.holders[i].IsZero() || r.holders[i].instance != "", "holder of range %d has no instance", i)
		c.require(r.previousHolders[i].IsZero() || r.pending && r.previousHolders[i].instance != "", "previous holder of range %d is invalid", i)
		c.optionalName(string(r.holders[i].instance), "holder")
		c.optionalName(string(r.previousHolders[i].instance), "previous holder")
	}
}

// CheckValue returns an error if v is not a valid value of the named record.
func CheckValue(name RecordName, v Value) error {
	var c validator
	switch v := v.(type) {
	case *Table:
		c.optionalName(v.change, "change")
		c.entries(name, 0, v.revision, v.entries)
	case *Ranges:
		c.require(strings.HasPrefix(string(name), string(RangesPrefix)), "record %q is not a range record", name)
		c.ranges(v)
	case *Seed:
		c.require(strings.HasPrefix(string(name), string(SeedsPrefix)), "record %q is not a seed record", name)
		c.requireNoError(v.peer.Check(), "seed")
	case *Departures:
		c.require(strings.HasPrefix(string(name), string(DeparturesPrefix)), "record %q is not a departure record", name)
		for _, d := range v.list {
			c.optionalName(d.process.backend, "backend server")
		}
	default:
		c.require(false, "value %T is unknown", v)
	}
	return c.err
}
