package reducer

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/queue"
)

// The times of a policy case, since the start of the simulation, and the steps of its
// figures.
const (
	warmUp       = 5 * jackdawbridge.Second // end of the warm-up
	triggerStart = warmUp + 3*jackdawbridge.Second
	triggerEnd   = triggerStart + 6*jackdawbridge.Second
	caseEnd      = triggerEnd + 8*jackdawbridge.Second
	figureStep   = 250 * jackdawbridge.Millis(1) // length of a step
	figureSteps  = int(caseEnd / figureStep)
)

// policy is a combination of strategies under which a case is run.
type policy struct {
	name       string
	strategies func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue)
	naive      bool // no retry allowance; every hop makes up to naiveAttempts attempts
}

// unlimited is the limiter of nodes without overload control.
type unlimited struct{}

func (unlimited) Limit() int                                         { return 1 << 20 }
func (unlimited) Observe(jackdawbridge.Millis, jackdawbridge.Sample) {}
func (unlimited) Resize(int)                                         {}

var policies = []policy{
	{name: "none", strategies: func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewTwoChoices(), unlimited{}, queue.NewFIFO(1 << 20)
	}},
	{name: "static", strategies: func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewTwoChoices(), limiter.NewStatic(1), queue.NewFIFO(64)
	}},
	{name: "fifo", naive: true, strategies: func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewTwoChoices(), limiter.NewStatic(1), queue.NewFIFO(1 << 20)
	}},
	{name: "adaptive", strategies: func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewCompletion(), limiter.NewAdaptive(1), queue.NewPriority(256)
	}},
}

// TestPolicies guards against a change of policy that loses goodput, starves an
// account or sheds critical requests. It runs the cases of each deployment under
// every policy in virtual time, compares the figures with those in the file and
// requires the last policy to meet the bounds.
func TestPolicies(t *testing.T) {
	paths, err := filepath.Glob("testdata/policy/*")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			var top *topology
			var missed []missedBound
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "topology" {
					top = readTopology(t, d)
					return fmt.Sprintf("capacity %.0f requests/s\n", top.capacity)
				}
				if raceEnabled && arg(d, "trigger", "") != "surge" {
					return d.Expected // one case is enough for the race detector
				}
				return runCase(top, d, func(m missedBound) { missed = append(missed, m) })
			})
			for _, m := range missed {
				t.Run(m.name, func(t *testing.T) { t.Error(m.text) })
			}
		})
	}
}

// requestKind describes a kind of request and its chain of calls.
type requestKind struct {
	name        string
	criticality jackdawbridge.Criticality
	fraction    float64 // of all requests
	idempotent  bool
	hops        []hop
}

func (k *requestKind) weight() float64 { return float64(int(1) << k.criticality) }

// occupancy returns how many milliseconds a request of the kind holds a slot of a
// service. slow has the factors of the services that are slower than usual.
func (k *requestKind) occupancy(service jackdawbridge.ServiceName, slow map[jackdawbridge.ServiceName]float64) float64 {
	below, total := 0.0, 0.0
	for i := len(k.hops) - 1; i >= 0; i-- {
		factor := 1.0
		if f, ok := slow[k.hops[i].service]; ok {
			factor = f
		}
		below += float64(float64(k.hops[i].work) * factor)
		if i < len(k.hops)-1 {
			below += 2 * float64(linkDelay)
		}
		below *= float64(k.hops[i].times)
		if k.hops[i].service == service {
			total += below
		}
	}
	return total
}

type serviceSize struct {
	name                    jackdawbridge.ServiceName
	upstreams, slots, conns int
}

type accountSize struct {
	name  jackdawbridge.AccountName
	share float64 // fraction of all requests
	paid  bool
}

// topology describes a deployment.
type topology struct {
	dcs         int
	clientDelay jackdawbridge.Millis // one-way delay between clients and nodes
	deadline    jackdawbridge.Millis
	open        bool // calls of backend servers go over open routes
	reports     bool // backend servers report their load
	services    []serviceSize
	accounts    []accountSize
	kinds       []*requestKind
	capacity    float64 // requests per second at which the most loaded service is full
}

func (t *topology) slots(service jackdawbridge.ServiceName) float64 {
	for _, s := range t.services {
		if s.name == service {
			return float64(s.upstreams * s.slots)
		}
	}
	return 0
}

// readTopology parses a deployment, one item per line:
//
//	service NAME UPSTREAMS SLOTS CONNECTIONS
//	account NAME PERCENT [paid]
//	kind NAME CRITICALITY PERCENT idempotent|once SERVICE:MS>SERVICE:MSxTIMES...
func readTopology(t *testing.T, d *datadriven.TestData) *topology {
	top := &topology{
		dcs: intArg(d, "dcs", 1), clientDelay: jackdawbridge.Millis(intArg(d, "client", 1)),
		deadline: jackdawbridge.Millis(intArg(d, "deadline", 2000)),
		open:     d.HasArg("open"), reports: d.HasArg("reports"),
	}
	integer := func(s string) int {
		n, err := strconv.Atoi(s)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return n
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "service":
			top.services = append(top.services, serviceSize{jackdawbridge.ServiceName(f[1]), integer(f[2]), integer(f[3]), integer(f[4])})
		case "account":
			top.accounts = append(top.accounts, accountSize{jackdawbridge.AccountName(f[1]), float64(integer(f[2])) / 100, slices.Contains(f, "paid")})
		case "kind":
			c, err := jackdawbridge.ParseCriticality(f[2])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			k := &requestKind{name: f[1], criticality: c, fraction: float64(integer(f[3])) / 100, idempotent: f[4] == "idempotent"}
			for _, part := range strings.Split(f[5], ">") {
				service, ms, _ := strings.Cut(part, ":")
				ms, times, repeated := strings.Cut(ms, "x")
				if !repeated {
					times = "1"
				}
				k.hops = append(k.hops, hop{jackdawbridge.ServiceName(service), jackdawbridge.Millis(integer(ms)), integer(times)})
			}
			top.kinds = append(top.kinds, k)
		}
	}
	for _, s := range top.services {
		need := 0.0
		for _, k := range top.kinds {
			need += float64(k.fraction * k.occupancy(s.name, nil))
		}
		if c := top.slots(s.name) * 1000 / need; need > 0 && (top.capacity == 0 || c < top.capacity) {
			top.capacity = c
		}
	}
	return top
}

// trigger describes the load of a case and the disturbance between triggerStart and
// triggerEnd.
type trigger struct {
	name    string
	load    float64 // demand as a fraction of the capacity, outside the trigger
	surge   float64 // demand as a fraction of the capacity, during the trigger
	service jackdawbridge.ServiceName
	factor  float64 // by which the service becomes slower or the account's demand rises
	account jackdawbridge.AccountName
	retries int     // of clients, during the trigger
	kind    string  // that surges, all if empty
	rejects float64 // part of the calls that backend servers of the service reject, during the trigger
	hit     int     // backend servers of the service that reject, all if 0
	slots   float64 // real slots of the service as a fraction of those announced
}

func readTrigger(d *datadriven.TestData) trigger {
	decimal := func(name string, fallback float64) float64 {
		v, err := strconv.ParseFloat(arg(d, name, ""), 64)
		if err != nil {
			return fallback
		}
		return v
	}
	g := trigger{
		name: arg(d, "trigger", ""), load: decimal("load", 0.7), factor: decimal("factor", 1),
		service: jackdawbridge.ServiceName(arg(d, "service", "")), account: jackdawbridge.AccountName(arg(d, "account", "")),
		retries: intArg(d, "retries", 0), slots: decimal("slots", 1),
		kind: arg(d, "kind", ""), rejects: decimal("rejects", 0), hit: intArg(d, "hit", 0),
	}
	g.surge = decimal("surge", g.load)
	return g
}

// demand returns the requests per second that an account sends of a kind at a time
// since the start.
func (g trigger) demand(top *topology, a accountSize, k *requestKind, at jackdawbridge.Millis) float64 {
	load := g.load
	during := at >= triggerStart && at < triggerEnd
	if during && (g.kind == "" || g.kind == k.name) {
		load = g.surge
	}
	rate := top.capacity * load * a.share * k.fraction
	// A hot account keeps within its rate, see rate.
	if (g.name == "account" || g.name == "hot") && a.name == g.account && during {
		rate *= g.factor
	}
	// The idle account becomes active in the middle of the overload.
	if g.name == "idle" && a.name == g.account && (at < (triggerStart+triggerEnd)/2 || at >= triggerEnd) {
		rate = 0
	}
	return rate
}

// oracle returns the weight per second that can be served in a window if the
// heaviest requests receive capacity first. Kinds of the same weight share a service
// in proportion to their demand.
func (g trigger) oracle(top *topology, from, to jackdawbridge.Millis) float64 {
	slow := make(map[jackdawbridge.ServiceName]float64)
	if g.name == "slow" && from >= triggerStart && from < triggerEnd {
		slow[g.service] = g.factor
	}
	left := make(map[jackdawbridge.ServiceName]float64)
	for _, s := range top.services {
		left[s.name] = top.slots(s.name) * 1000
		if g.name == "wrong" && g.service == s.name {
			left[s.name] *= g.slots
		}
	}
	total := 0.0
	for c := int(jackdawbridge.Critical); c >= 0; c-- {
		need := make(map[jackdawbridge.ServiceName]float64)
		used := make(map[jackdawbridge.ServiceName]float64)
		for _, k := range top.kinds {
			for _, s := range top.services {
				if int(k.criticality) == c {
					need[s.name] += float64(g.offered(top, k, from, to) * k.occupancy(s.name, slow))
				}
			}
		}
		for _, k := range top.kinds {
			if int(k.criticality) != c {
				continue
			}
			part := 1.0
			for _, h := range k.hops {
				part = min(part, left[h.service]/max(need[h.service], 1))
			}
			total += float64(g.offered(top, k, from, to) * part * k.weight())
			for _, s := range top.services {
				used[s.name] += float64(g.offered(top, k, from, to) * part * k.occupancy(s.name, slow))
			}
		}
		for _, s := range top.services {
			left[s.name] -= used[s.name]
		}
	}
	return total
}

// oversubscription is the sum of the accounts' rates as a multiple of the capacity.
// Admission control is needed only if the rates that are sold exceed the capacity.
const oversubscription = 3

// rate returns the configured rate of an account. The rates sum to the capacity if
// the trigger is an account that sends several times its rate, and otherwise to
// oversubscription times the capacity.
func (g trigger) rate(top *topology, a accountSize) float64 {
	rate := a.share * top.capacity
	if g.name == "account" {
		return rate
	}
	return rate * oversubscription
}

// insideRate returns the fraction of an account's demand that is inside its rate.
func (g trigger) insideRate(top *topology, a accountSize, at jackdawbridge.Millis) float64 {
	total := 0.0
	for _, k := range top.kinds {
		total += g.demand(top, a, k, at)
	}
	return min(g.rate(top, a)/max(total, 1), 1)
}

// offered returns the mean demand of a kind in a window, without the demand that
// exceeds the rates of the accounts.
func (g trigger) offered(top *topology, k *requestKind, from, to jackdawbridge.Millis) float64 {
	sum := 0.0
	n := 0
	for at := from; at < to; at += figureStep {
		for _, a := range top.accounts {
			sum += float64(g.demand(top, a, k, at) * g.insideRate(top, a, at))
		}
		n++
	}
	return sum / float64(n)
}
