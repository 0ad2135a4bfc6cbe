package jackdawbridge

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/go-faster/errors"
)

// Limits on input from other processes. They prevent one faulty sender from
// exhausting the memory of its receivers.
const (
	maxName         = 255     // bytes of a name, id or label
	maxPath         = 2048    // bytes of a route's prefix
	maxRumors       = 8       // piggybacked on a probe or its answer
	maxMembers      = 16384   // of a Members message; more than the nodes of the target fleet
	maxFingerprints = 16384   // of a CrashReport; as many as the calls that a node holds at once
	maxEntries      = 65536   // of a table; a stored record is limited to 1 MB
	maxShares       = 64      // of an account
	maxRoutes       = 1024    // of a service
	maxMethods      = 16      // of a route
	maxDestinations = 64      // of a route
	maxWeight       = 1 << 30 // of a destination; sums of weights cannot overflow
	maxWitnesses    = 5       // of a range record
	maxLots         = 65536   // shards of an account in a data centre
	maxTokens       = 1 << 40 // sums of tokens and of thousandths of a token cannot overflow
	maxSlots        = 1 << 20 // slots or connections of a backend server
	maxAllowance    = 64      // retries; more than any budget that an entry node sets
	maxBody         = 1 << 40 // bytes; the listeners set a lower limit
	maxSpan         = Millis(366 * 24 * 3600 * 1000)
	maxInstant      = Millis(1 << 50) // beyond any real date; adding durations cannot overflow
)

// validator records the first violation that it finds. Later checks have no
// effect.
type checks struct{ err error }

func (c *checks) that(ok bool, format string, args ...any) {
	if c.err == nil && !ok {
		c.err = errors.Errorf(format, args...)
	}
}

func (c *checks) within(v, low, high int64, what string) {
	if c.err == nil && (v < low || v > high) {
		c.err = errors.Errorf("%s is %d: want %d to %d", what, v, low, high)
	}
}

func (c *checks) add(err error, what string) {
	if c.err == nil && err != nil {
		c.err = errors.Errorf("%s: %w", what, err)
	}
}

func (c *checks) optional(name, what string) {
	c.that(len(name) <= maxName, "%s has %d bytes: want at most %d", what, len(name), maxName)
	c.that(!strings.ContainsFunc(name, unicode.IsControl), "%s has control characters", what)
}

func (c *checks) name(name, what string) {
	c.that(name != "", "%s is empty", what)
	c.optional(name, what)
}

func (c *checks) node(n Node, what string) { c.name(string(n.instance), what) }

func (c *checks) address(a netip.AddrPort, what string) {
	ip := a.Addr()
	c.that(a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.Zone() == "",
		"%s address %s is not a plain unicast address with a port", what, a)
}

// Check returns an error if a field of p has an invalid value.
func (p Peer) Check() error {
	var c checks
	c.node(p.node, "instance")
	c.name(string(p.dataCentre), "data centre")
	c.address(p.addresses.gossip, "gossip")
	c.address(p.addresses.rpc, "rpc")
	c.address(p.addresses.link, "link")
	c.optional(string(p.service), "service")
	minimum := int64(0) // no capacity is announced without a service
	if p.service != "" {
		minimum = 1
	}
	c.within(int64(p.slots), minimum, maxSlots, "slots")
	c.within(int64(p.conns), minimum, maxSlots, "connections")
	c.that(p.state <= PeerLeft, "state %d is unknown", p.state)
	return c.err
}

// Check returns an error if a field of e has an invalid value.
func (e Envelope) Check() error {
	var c checks
	c.name(string(e.id), "request id")
	c.optional(string(e.account), "account")
	c.name(string(e.service), "service")
	c.that(e.criticality <= Critical, "criticality %d is unknown", e.criticality)
	c.within(int64(e.budget), 1, int64(maxSpan), "budget")
	c.within(int64(e.allowance), 0, maxAllowance, "allowance")
	c.within(int64(e.depth), 0, MaxDepth, "depth")
	c.within(int64(e.objective), 0, int64(maxSpan), "objective")
	c.optional(string(e.sender.instance), "sender")
	c.within(int64(e.sent), 0, int64(maxInstant), "sending time")
	return c.err
}

// Check returns an error if a field of f has an invalid value.
func (f Passage) Check() error {
	var c checks
	c.add(f.envelope.Check(), "envelope")
	c.name(f.method, "method")
	c.that(strings.HasPrefix(f.path, "/"), "path %q has no leading slash", f.path)
	c.within(f.length, -1, maxBody, "length of the body")
	return c.err
}

// Check returns an error if a field of r has an invalid value.
func (r Reply) Check() error {
	var c checks
	if _, refused := r.Refusal(); refused {
		c.add(r.refusal.Check(), "refusal")
	} else {
		c.within(int64(r.status), 100, 599, "status")
	}
	c.within(r.length, -1, maxBody, "length of the body")
	c.feedback(r.feedback)
	return c.err
}

func (c *checks) feedback(f Feedback) {
	c.that(f.level <= MaxRank+1, "level %d is unknown", f.level)
	c.within(int64(f.unused), 0, maxAllowance, "unused retries")
	c.within(int64(f.occupancy.busy), 0, maxSlots, "busy requests")
	c.within(int64(f.occupancy.limit), 0, maxSlots, "concurrency limit")
	c.within(int64(f.waited), 0, int64(maxSpan), "waiting time")
}

// Check returns an error if a field of r has an invalid value.
func (r Refusal) Check() error {
	var c checks
	c.that(r.reason != NoReason && r.reason <= BackendFull, "reason %d is unknown", r.reason)
	c.that(r.outcome == NotRun || r.outcome == Unknown, "outcome %d of a refusal: want not-run or unknown", r.outcome)
	c.within(int64(r.retryAfter), 0, int64(maxSpan), "retry delay")
	c.status(r.status)
	return c.err
}

// status accepts 0, which stands for no answer.
func (c *checks) status(status int) {
	c.that(status == 0 || status >= 100 && status <= 599, "status is %d: want 100 to 599", status)
}

// Check returns an error if a field of f or of its message has an invalid value.
func (f Frame) Check() error {
	var c checks
	c.add(f.from.Check(), "sender")
	c.within(int64(f.digest.confirmed), 0, int64(maxInstant), "time since confirmation")
	c.message(f.message)
	return c.err
}

func (c *checks) message(message Message) {
	switch m := message.(type) {
	case *Probe:
		c.rumors(m.rumors, maxRumors)
	case *ProbeAck:
		c.rumors(m.rumors, maxRumors)
	case *ProbeVia:
		c.add(m.target.Check(), "target")
	case *Members:
		c.that(!m.request || len(m.rumors) == 0, "request for members carries rumors")
		c.rumors(m.rumors, maxMembers)
	case *Leave, *Newer, *Acknowledged:
	case *Pull:
		c.recordName(m.name)
	case *Delta:
		c.that(m.revision > m.since, "revision %d does not follow %d", m.revision, m.since)
		c.optional(m.change, "change")
		c.entries(m.name, m.since, m.revision, m.entries)
	case *RangesDelta:
		c.name(string(m.dataCentre), "data centre")
		c.ranges(m.ranges)
	case *Acknowledge:
		c.name(string(m.dataCentre), "data centre")
		c.ranges(m.ranges)
	case *Vouch:
		c.within(int64(m.asked), 0, int64(maxInstant), "time of the vote request")
	case *Vouched:
		c.within(int64(m.asked), 0, int64(maxInstant), "time of the vote request")
	case *Ask:
		c.lot(m.account, m.lot)
		c.within(m.want, 1, maxTokens, "requested tokens")
	case *Grant:
		c.lot(m.account, m.lot)
		c.within(m.tokens, 1, maxTokens, "granted tokens")
	case *Deny:
		c.lot(m.account, m.lot)
		c.within(int64(m.after), 0, int64(maxSpan), "retry delay")
	case *Report:
		c.lot(m.account, m.lot)
		c.within(m.spent, 0, maxTokens, "spent tokens")
		c.within(m.returned, 0, maxTokens, "returned tokens")
	case *Handover:
		c.lot(m.account, m.lot)
		c.within(m.level, 0, maxTokens*1000, "level")
		c.within(m.outstanding, 0, maxTokens, "outstanding tokens")
	case *Begin:
		c.once(m.request, m.key)
		c.optional(string(m.account), "account")
	case *Begun:
		c.once(m.request, m.key)
		if m.refused {
			c.add(m.refusal.Check(), "refusal")
		}
	case *Ended:
		c.once(m.request, m.key)
		c.optional(string(m.account), "account")
		c.that(m.outcome <= Unknown, "outcome %d is unknown", m.outcome)
		c.status(m.status)
	case *Crash:
		c.node(m.node, "instance")
		c.within(int64(m.age), 0, int64(maxSpan), "age")
		c.that(len(m.fingerprints) <= maxFingerprints, "%d fingerprints: want at most %d", len(m.fingerprints), maxFingerprints)
	default:
		c.that(false, "message %T is unknown", message)
	}
}

func (c *checks) once(request RequestID, key string) {
	c.name(string(request), "request id")
	c.name(key, "idempotency key")
}

func (c *checks) lot(account AccountName, index int) {
	c.name(string(account), "account")
	c.within(int64(index), 0, maxLots-1, "shard")
}

func (c *checks) rumors(rumors []Rumor, limit int) {
	c.that(len(rumors) <= limit, "%d rumors: want at most %d", len(rumors), limit)
	for _, r := range rumors {
		if c.err != nil {
			return
		}
		c.add(r.peer.Check(), "rumor")
		c.that(r.suspicion <= Dead, "liveness %d is unknown", r.suspicion)
	}
}

func (c *checks) recordName(name RecordName) {
	rest, ranges := strings.CutPrefix(string(name), string(RangesPrefix))
	c.that(name == ConfigTable || name == KeysTable || ranges && rest != "", "record %q is not exchanged between nodes", name)
	c.optional(string(name), "record")
}

// entries checks the entries of a table, or those of a TableDelta that changed
// after the revision since.
func (c *checks) entries(name RecordName, since, revision uint64, entries []Entry) {
	c.that(name == ConfigTable || name == KeysTable, "record %q is not a table", name)
	c.that(len(entries) <= maxEntries, "%d entries: want at most %d", len(entries), maxEntries)
	seen := make(map[string]struct{}, min(len(entries), maxEntries))
	for _, e := range entries {
		if c.err != nil {
			return
		}
		_, duplicate := seen[e.name]
		seen[e.name] = struct{}{}
		c.that(!duplicate, "duplicate entry %q", e.name)
		c.that(e.revision > since && e.revision <= revision, "entry %q has revision %d: want %d to %d", e.name, e.revision, since+1, revision)
		c.that(strings.HasPrefix(e.name, "key/") == (name == KeysTable), "entry %q does not belong to table %s", e.name, name)
		c.add(e.check(), "entry")
	}
}

func (e Entry) check() error {
	var c checks
	kind, name, ok := strings.Cut(e.name, "/")
	c.that(ok && (kind == "account" || kind == "service" || kind == "key"), "name %q has no known prefix", e.name)
	c.name(name, "name")
	switch {
	case e.account != nil:
		a := e.account
		c.within(a.rate, 1, maxTokens, "rate")
		c.within(a.burst, 1, maxTokens, "burst")
		c.that(len(a.shares) <= maxShares, "%d shares: want at most %d", len(a.shares), maxShares)
		for _, s := range a.shares {
			c.name(string(s.dataCentre), "data centre")
		}
	case e.service != nil:
		c.that(len(e.service.routes) <= maxRoutes, "%d routes: want at most %d", len(e.service.routes), maxRoutes)
		for _, r := range e.service.routes {
			c.that(len(r.prefix) <= maxPath, "prefix has %d bytes: want at most %d", len(r.prefix), maxPath)
			c.that(len(r.methods) <= maxMethods, "%d methods: want at most %d", len(r.methods), maxMethods)
			for _, m := range r.methods {
				c.name(m, "method")
			}
			c.that(len(r.destinations) <= maxDestinations, "%d destinations: want at most %d", len(r.destinations), maxDestinations)
			for _, d := range r.destinations {
				c.name(string(d.service), "destination")
				c.within(int64(d.weight), 1, maxWeight, "weight")
			}
			c.within(int64(r.timeout), 0, int64(maxSpan), "timeout")
			c.within(int64(r.objective), 0, int64(maxSpan), "objective")
			c.within(int64(r.attempts), 0, maxAllowance, "attempts")
		}
	case e.key != nil:
		c.name(string(e.key.account), "account")
		c.optional(e.key.label, "label")
	}
	return c.err
}

func (c *checks) witnesses(nodes []Node) {
	c.that(len(nodes) <= maxWitnesses, "%d witnesses: want at most %d", len(nodes), maxWitnesses)
	for i, n := range nodes {
		c.node(n, "witness")
		// Two processes of one instance would have two votes.
		c.that(!slices.ContainsFunc(nodes[:i], func(o Node) bool { return o.instance == n.instance }), "duplicate witness %s", n)
	}
}

func (c *checks) ranges(r *Ranges) {
	if r == nil {
		c.that(false, "range record is missing")
		return
	}
	c.witnesses(r.witnesses)
	c.witnesses(r.electors)
	c.that(r.pending || len(r.electors) == 0, "settled range record has electors")
	for i := range RangeCount {
		c.that(r.holders[i].IsZero() || r.holders[i].instance != "", "holder of range %d has no instance", i)
		c.that(r.previous[i].IsZero() || r.pending && r.previous[i].instance != "", "previous holder of range %d is invalid", i)
		c.optional(string(r.holders[i].instance), "holder")
		c.optional(string(r.previous[i].instance), "previous holder")
	}
}

// CheckValue returns an error if v is not a valid value of the named record.
func CheckValue(name RecordName, v Value) error {
	var c checks
	switch v := v.(type) {
	case *Table:
		c.optional(v.change, "change")
		c.entries(name, 0, v.revision, v.entries)
	case *Ranges:
		c.that(strings.HasPrefix(string(name), string(RangesPrefix)), "record %q is not a range record", name)
		c.ranges(v)
	case *Seed:
		c.that(strings.HasPrefix(string(name), string(SeedsPrefix)), "record %q is not a seed record", name)
		c.add(v.peer.Check(), "seed")
	default:
		c.that(false, "value %T is unknown", v)
	}
	return c.err
}
