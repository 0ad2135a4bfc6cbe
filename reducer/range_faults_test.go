package reducer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
	"pgregory.net/rapid"
)

// limitChecks sets the number of cases that a property test draws, which is otherwise
// 100. The flag -rapid.checks takes precedence.
func limitChecks(t *testing.T, checks string) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(checks); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Value.Set(f.DefValue) })
	}
}

// rangeFaults draws and applies faults and requests for a few nodes in two data
// centres.
type rangeFaults struct {
	t              *rapid.T
	h              *harness
	names          []string
	random         *rand.Rand
	dropPermille   int            // of messages
	repeatPermille int            // of messages
	maxDelay       int            // longest delay of a message, ms
	counts         map[string]int // of faults by kind
}

func newRangeFaults(t *rapid.T) *rangeFaults {
	s := &rangeFaults{
		t: t, h: newHarness(), counts: make(map[string]int),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	s.h.onSend = func(_, _ *fakeNode, _ jackdawbridge.Frame) linkFault {
		return linkFault{
			drop:   s.random.IntN(1000) < s.dropPermille,
			repeat: s.random.IntN(1000) < s.repeatPermille,
			delay:  jackdawbridge.Millis(s.random.IntN(s.maxDelay + 1)),
		}
	}
	s.h.store.cut = make(map[string]bool)
	count := rapid.IntRange(3, 8).Draw(t, "nodes")
	for i := range count {
		s.names = append(s.names, fmt.Sprintf("n%d", i))
		s.h.clockSkews[s.names[i]] = jackdawbridge.Millis(i) * 1000
	}
	return s
}

// dc returns the data centre of a node: about two thirds are in the first.
func (s *rangeFaults) dc(name string) jackdawbridge.DataCentre {
	if int(name[1]-'0')%3 == 2 {
		return "two"
	}
	return "one"
}

func (s *rangeFaults) start(name string) { s.h.start(name, s.dc(name), s.joins(name)...) }

func (s *rangeFaults) joins(name string) []string {
	var joins []string
	for _, j := range s.names {
		if j != name && s.h.nodes[j] != nil {
			joins = append(joins, j)
		}
	}
	return joins
}

func (s *rangeFaults) node(label string) string { return rapid.SampledFrom(s.names).Draw(s.t, label) }

// fault draws one fault and applies it.
func (s *rangeFaults) fault() {
	kind := rapid.SampledFrom([]string{
		"kill", "kill-refused", "restart", "freeze", "cut", "cut", "heal", "store-down", "store-up",
		"shares", "store-cut", "store-heal", "lose", "slow", "drop", "repeat", "late", "calm", "stop", "refused",
	}).Draw(s.t, "fault")
	s.counts[kind]++
	name, other := s.node("node"), s.node("other")
	n := s.h.nodes[name]
	switch kind {
	case "kill":
		s.h.kill(name)
	case "kill-refused":
		s.h.kill(name)
		s.refuse(other, name)
	case "refused":
		s.refuse(other, name)
	case "restart":
		if n.alive {
			s.h.kill(name)
		}
		s.start(name)
	case "freeze":
		if n.alive && !n.frozen {
			s.h.freeze(name, jackdawbridge.Millis(rapid.IntRange(100, 15000).Draw(s.t, "freeze")))
		}
	case "cut":
		s.h.cut(name, other, true)
		if rapid.Bool().Draw(s.t, "both") {
			s.h.cut(other, name, true)
		}
	case "heal":
		clear(s.h.cuts)
	case "store-down", "store-up":
		s.h.store.setDown(kind == "store-down")
	case "store-cut", "store-heal":
		s.h.store.cut[name] = kind == "store-cut"
	case "lose":
		s.h.store.lostAnswers = rapid.IntRange(1, 3).Draw(s.t, "lose")
	case "slow":
		s.h.store.extraDelay = jackdawbridge.Millis(rapid.IntRange(0, 3000).Draw(s.t, "slow"))
	case "drop":
		s.dropPermille = rapid.IntRange(0, 500).Draw(s.t, "drop")
	case "repeat":
		s.repeatPermille = rapid.IntRange(0, 500).Draw(s.t, "repeat")
	case "late":
		s.maxDelay = rapid.SampledFrom([]int{5, 50, 500, 5000, 20000}).Draw(s.t, "late")
	case "calm":
		s.dropPermille, s.repeatPermille, s.maxDelay = 0, 0, 0
	case "shares":
		s.configure(rapid.IntRange(1, 9).Draw(s.t, "share"))
	case "stop":
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewStopRequested(at) })
	}
}

// configure publishes the accounts. The first data centre receives the given tenths
// of each account's rate, the second the rest.
func (s *rangeFaults) configure(tenths int) {
	config := "route svc / high idempotent\n"
	for name, limits := range map[string]string{"big": "200 20", "odd": "50 3", "tiny": "5 1", "wide": "4000 400"} {
		config += fmt.Sprintf("account %s %s one:%d,two:%d\nkey %s %s\n", name, limits, tenths*100, 1000-tenths*100, name, name)
	}
	if _, err := s.h.configure(config); err != nil {
		s.t.Fatal(err)
	}
}

// traffic schedules bursts of requests over a span. Nodes with a low number receive
// most of them.
func (s *rangeFaults) traffic(span jackdawbridge.Millis) {
	for range s.random.IntN(60) {
		name := s.names[min(s.random.IntN(len(s.names)), s.random.IntN(len(s.names)))]
		key := []string{"big", "odd", "tiny", "wide"}[s.random.IntN(4)]
		count := 1 + s.random.IntN(1+s.random.IntN(60))
		s.h.after(jackdawbridge.Millis(s.random.Int64N(int64(span)+1)), func() {
			for range count {
				s.h.call(name, jackdawbridge.NewRequest("r", "svc", "GET", "/", 1000).WithKey(keyHash(key)))
			}
		})
	}
}

// refuse reports to a node that connections to a process are refused, if that process
// has ended.
func (s *rangeFaults) refuse(at, name string) {
	if !s.h.nodes[name].alive {
		s.h.reportRefused(at, name)
	}
}

// endFaults ends all faults and starts a process in each slot that has none.
func (s *rangeFaults) endFaults() {
	s.dropPermille, s.repeatPermille, s.maxDelay = 0, 0, 0
	clear(s.h.cuts)
	clear(s.h.store.cut)
	s.h.store.lostAnswers, s.h.store.extraDelay = 0, 0
	s.h.store.setDown(false)
	for _, name := range s.names {
		if n := s.h.nodes[name]; !n.alive {
			s.start(name)
		}
	}
}

// TestRangeFaults guards against two nodes that act for one range at the same time,
// and against accounts that exceed their rate, under random combinations of faults.
func TestRangeFaults(t *testing.T) {
	// With 20 cases the tests of the package took 52 s under the race detector.
	limitChecks(t, "10")
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := newRangeFaults(t)
		check := newShareChecker(s.h)
		s.configure(5)
		for _, name := range s.names {
			s.start(name)
		}
		s.h.run(jackdawbridge.Millis(rapid.IntRange(0, 8000).Draw(t, "warm")))
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			s.fault()
			pause := jackdawbridge.Millis(rapid.SampledFrom([]int{1, 3, 10, 100, 500, 1000, 3000, 8000}).Draw(t, "pause"))
			s.traffic(pause)
			s.h.run(pause)
			if check.violation != "" {
				t.Fatal(check.violation)
			}
		}
		s.endFaults()
		s.traffic(40 * jackdawbridge.Second)
		s.h.run(40 * jackdawbridge.Second)
		if check.violation != "" {
			t.Fatal(check.violation)
		}
		for kind, n := range s.counts {
			total[kind] += n
		}
		for name, m := range check.meters {
			total["admitted "+string(name)] += m.count
		}
	})
	t.Logf("faults: %v", total)
}
