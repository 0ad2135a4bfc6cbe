package reducer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/queue"
)

var (
	matrixSingles = flag.Int("matrix.singles", 120, "cases with one fault for each exchange, drawn by the seed; 0 for all")
	matrixPairs   = flag.Int("matrix.pairs", 30, "pairs of faults for each exchange")
	matrixSeed    = flag.Uint64("matrix.seed", 1, "seed of the cases that are drawn")
	matrixCase    = flag.String("matrix.case", "", "run only this case, such as publish/17-kill, and print its log")
)

const (
	// matrixSpan is how long a fault lasts that does not end by itself. It is
	// longer than a lease.
	matrixSpan = 8 * jackdawbridge.Second
	// inForceLimit bounds the time from the end of the faults until the newest
	// tables are in force at every node. A node that only a read of the platform
	// every 15 s tells of a change takes longer.
	inForceLimit = 25 * jackdawbridge.Second
	// cutOffSpan is how long a node is cut off from the platform and all others.
	// It is longer than unconfirmedLimit.
	cutOffSpan = 14 * jackdawbridge.Second
	// matrixQueue is the size of a node's queue, small so that few calls fill it.
	matrixQueue = 8
	// frameLimit bounds the messages of a run. A run has a few thousand.
	frameLimit = 50_000
	// raceShare is the part of the cases that run under the race detector, which
	// needs several times as long for each. The reducers have no goroutine.
	raceShare = 5
	// serveLimit bounds the time from the end of the faults until every node
	// serves again.
	serveLimit = 40 * jackdawbridge.Second
)

// stepKind tells what happens at a step of an exchange.
type stepKind uint8

const (
	stepEvent stepKind = iota // a node gets an event
	stepFrame                 // a node sends a message
	stepHop                   // a request or its answer goes from node to node
	stepSwap                  // the platform changes a record for a node
)

// matrixStep is a step of the run without a fault.
type matrixStep struct {
	kind   stepKind
	node   string
	label  string
	counts bool // belongs to the exchange, not to the background
}

// matrixFault is a fault that is injected right before a step takes effect. It
// returns when the fault ends.
type matrixFault struct {
	name   string
	kind   stepKind
	inject func(m *matrixRun, n *fakeNode) jackdawbridge.Millis
}

var matrixFaults = []matrixFault{
	{"kill", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.kill(n, matrixSpan) }},
	{"restart", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.kill(n, jackdawbridge.Second) }},
	{"freeze-4s", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.freeze(n, 4*jackdawbridge.Second) }},
	{"freeze-8s", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.freeze(n, 8*jackdawbridge.Second) }},
	{"lapse", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		return m.freeze(m.holder(), 8*jackdawbridge.Second)
	}},
	{"cut", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.cut(n, true, true) }},
	{"cut-out", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.cut(n, true, false) }},
	{"cut-in", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.cut(n, false, true) }},
	{"cut-off", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis {
		m.h.store.cutOff([]string{n.name}, true)
		m.cutFor(n, true, true, cutOffSpan)
		m.h.after(cutOffSpan, func() { m.h.store.cutOff([]string{n.name}, false) })
		return cutOffSpan
	}},
	{"platform-down", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.store.setDown(true)
		return matrixSpan
	}},
	{"platform-slow", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.store.slow = 2 * jackdawbridge.Second
		return matrixSpan
	}},
	{"operator", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.change(jackdawbridge.ConfigTable, m.h.config...)
		return 0
	}},
	{"answer-lost", stepSwap, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.store.lose = 1
		return jackdawbridge.Second
	}},
	{"repeat", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.link.repeat = true
		return 0
	}},
	{"drop", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.link.drop = true
		return 0
	}},
	{"late-100ms", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.late(100) }},
	{"late-10s", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.late(10 * jackdawbridge.Second) }},
	// 5 ms let the next message, its answer and one more overtake.
	{"reorder", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.late(5) }},
	{"hop-100ms", stepHop, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.late(100) }},
	{"hop-10s", stepHop, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.late(10 * jackdawbridge.Second) }},
}

// injection is a fault at a step.
type injection struct {
	step  int
	fault *matrixFault
}

func (i injection) String() string { return fmt.Sprintf("%d-%s", i.step, i.fault.name) }

// exchange is a data file of the matrix.
type exchange struct {
	name   string
	config string
	setup  []string
	steps  []string
	also   []string // messages of the background that count as steps
}

// matrixRun is one run of an exchange.
type matrixRun struct {
	*exchange
	h       *harness
	checks  *matrixChecks
	plan    []injection
	exact   bool // a fault is injected at exactly its step
	on      bool // the exchange has begun and its steps count
	steps   []matrixStep
	frames  int
	current int       // the event whose effects are executed
	link    linkFault // for the message in hand
	ends    jackdawbridge.Millis
	stopped map[string]bool // nodes that the exchange stops or kills
	served  jackdawbridge.Millis
}

// run runs the exchange with the given faults. The checkers hold the result.
func (x *exchange) run(plan []injection, exact bool) *matrixRun {
	m := &matrixRun{exchange: x, h: newHarness(), plan: plan, exact: exact, stopped: make(map[string]bool)}
	m.h.strategies = func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewObserved(), limiter.NewAdaptive(1), queue.NewPriority(matrixQueue)
	}
	m.checks = newMatrixChecks(m.h)
	m.h.onEvent, m.h.onEffect, m.h.onHop, m.h.onSend = m.event, m.effect, m.hop, m.send
	m.h.onRun, m.h.onResult = m.checks.serve, m.checks.childEnded
	if _, err := m.h.configure(x.config); err != nil {
		m.checks.report("%v", err)
	}
	m.commands(x.setup)
	m.on = true
	m.commands(x.steps)
	m.on = false
	if m.ends > m.h.now {
		m.h.run(m.ends - m.h.now)
	}
	m.checks.healed = m.h.now
	m.serve()
	return m
}

func (m *matrixRun) commands(lines []string) {
	for _, line := range lines {
		cmd, args, err := datadriven.ParseLine(line)
		if err == nil {
			_, err = m.h.command(&datadriven.TestData{Cmd: cmd, CmdArgs: args})
		}
		if err != nil {
			m.checks.report("%s: %v", line, err)
		}
	}
}

// step counts a step and injects the faults that are due at it.
func (m *matrixRun) step(kind stepKind, n *fakeNode, label string, counts bool) {
	if !m.on && (m.exact || len(m.plan) == 0 || kind == stepFrame) {
		return
	}
	k := len(m.steps)
	m.steps = append(m.steps, matrixStep{kind, n.name, label, counts})
	for len(m.plan) > 0 {
		next := m.plan[0]
		if k < next.step || next.fault.kind != kind {
			return
		}
		m.plan = m.plan[1:]
		m.checks.faulty = true
		end := m.h.now + next.fault.inject(m, n)
		m.ends = max(m.ends, end)
	}
}

// background lists the messages that are sent all the time.
var background = []string{"Probe", "ProbeAck", "ProbeVia", "Members", "Vouch", "Vouched", "Newer", "Pull", "Delta"}

func (m *matrixRun) counts(label string) bool {
	return !slices.Contains(background, label) || slices.Contains(m.also, label)
}

// event runs before a node gets an event.
func (m *matrixRun) event(n *fakeNode, e jackdawbridge.Event) {
	label, counts := kindOf(e), false
	switch e := e.(type) {
	case *jackdawbridge.Tick:
	case *jackdawbridge.Received:
		label = kindOf(e.Frame().Message())
		counts = m.counts(label)
	case *jackdawbridge.StoreLoaded:
		counts = !e.Watch() || slices.Contains(m.also, "Watch")
	default:
		counts = true
	}
	m.current = len(m.steps)
	m.step(stepEvent, n, label, counts)
	if n.up() { // else it gets the event later or never
		m.checks.event(n, e)
	}
}

// effect runs before an effect of a node is executed. A tick that does
// something for the exchange is a step of it.
func (m *matrixRun) effect(n *fakeNode, e jackdawbridge.Effect) {
	m.checks.effect(n, e)
	switch e := e.(type) {
	case *jackdawbridge.Log, *jackdawbridge.Load, *jackdawbridge.Watch:
		return
	case *jackdawbridge.Swap:
		seed := isSeed(e.Name())
		m.step(stepSwap, n, string(e.Name()), !seed)
		if seed {
			return
		}
	case *jackdawbridge.Send:
		if !m.counts(kindOf(e.Frame().Message())) {
			return
		}
	}
	if m.current < len(m.steps) {
		m.steps[m.current].counts = true
	}
}

func (m *matrixRun) send(from, _ *fakeNode, frame jackdawbridge.Frame) linkFault {
	label := kindOf(frame.Message())
	if m.frames++; m.frames > frameLimit {
		m.checks.report("messages: more than %d, last a %s from %s", frameLimit, label, from.name)
		return linkFault{drop: true} // else the run would not end
	}
	m.link = linkFault{}
	m.step(stepFrame, from, label, m.counts(label))
	return m.link
}

// hop returns how late a request or an answer arrives at the next node.
func (m *matrixRun) hop(from *fakeNode) jackdawbridge.Millis {
	m.link = linkFault{}
	m.step(stepHop, from, "hop", true)
	return m.link.delay
}

func kindOf(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "*jackdawbridge.") }

func (m *matrixRun) late(delay jackdawbridge.Millis) jackdawbridge.Millis {
	m.link.delay = delay
	return delay
}

// kill ends a process. Another takes its slot after a span.
func (m *matrixRun) kill(n *fakeNode, span jackdawbridge.Millis) jackdawbridge.Millis {
	m.h.kill(n.name)
	service, slots, state := n.reducer.self.Service(), n.reducer.self.Slots(), n.reducer.self.State()
	m.h.after(span, func() {
		if m.h.nodes[n.name] != n || n.exited {
			return
		}
		var joins []string
		for _, name := range m.h.order {
			if name != n.name {
				joins = append(joins, name)
			}
		}
		m.h.start(n.name, n.peer.DataCentre(), joins...)
		if service != "" {
			m.h.announce(n.name, service, slots, state == jackdawbridge.PeerDraining)
		}
	})
	return span
}

func (m *matrixRun) freeze(n *fakeNode, span jackdawbridge.Millis) jackdawbridge.Millis {
	if n.up() {
		m.h.freeze(n.name, span)
	}
	return span
}

// holder returns the node that acts for most ranges of the first data centre.
func (m *matrixRun) holder() *fakeNode {
	best, most := m.h.nodes[m.h.order[0]], 0
	for _, name := range m.h.order {
		n, count := m.h.nodes[name], 0
		for i := range jackdawbridge.RangeCount {
			if n.up() && n.peer.DataCentre() == best.peer.DataCentre() && n.acts(i) {
				count++
			}
		}
		if count > most {
			best, most = n, count
		}
	}
	return best
}

func (m *matrixRun) cut(n *fakeNode, out, in bool) jackdawbridge.Millis {
	return m.cutFor(n, out, in, matrixSpan)
}

// cutFor cuts a node off from all others for a span.
func (m *matrixRun) cutFor(n *fakeNode, out, in bool, span jackdawbridge.Millis) jackdawbridge.Millis {
	set := func(on bool) {
		for _, other := range m.h.order {
			if out && other != n.name {
				m.h.cut(n.name, other, on)
			}
			if in && other != n.name {
				m.h.cut(other, n.name, on)
			}
		}
	}
	set(true)
	m.h.after(span, func() { set(false) })
	return span
}

// serve ends the faults and expects every node to serve again within the limit.
func (m *matrixRun) serve() {
	m.h.store.lose, m.h.store.slow = 0, 0
	m.h.store.setDown(false)
	start := m.h.now
	for m.checks.broken == "" {
		lacks := m.h.lacks()
		unserved := m.checks.probe()
		if lacks == "" && unserved == "" {
			m.served = m.h.now - start
			return
		}
		if lacks != "" && m.h.now-start > inForceLimit {
			m.checks.report("configuration: after %d ms %s", m.h.now-start, lacks)
		}
		if m.h.now-start > serveLimit {
			m.checks.report("recovery: after %d ms %s %s", m.h.now-start, lacks, unserved)
		}
	}
}

// outcome describes how the run ended.
func (m *matrixRun) outcome() string {
	if m.checks.broken != "" {
		return m.checks.broken
	}
	return m.checks.summary()
}

// cases lists every fault at every step of the run without a fault, then pairs.
func (x *exchange) cases(steps []matrixStep) (single, pairs [][]injection) {
	count := *matrixPairs
	if raceEnabled {
		count /= raceShare
	}
	for i := range matrixFaults {
		f := &matrixFaults[i]
		for k, s := range steps {
			if s.counts && s.kind == f.kind {
				single = append(single, []injection{{k, f}})
			}
		}
	}
	random := rand.New(rand.NewPCG(*matrixSeed, uint64(len(x.name))))
	for range count {
		a, b := single[random.IntN(len(single))][0], single[random.IntN(len(single))][0]
		if a.step > b.step {
			a, b = b, a
		}
		pairs = append(pairs, []injection{a, b})
	}
	return single, pairs
}

// TestMatrix guards against a fault, or two, that break an invariant at some
// step of an exchange, or after which the system does not serve again. Each
// file of testdata/matrix is an exchange; its output is the expected end of the
// run without a fault.
func TestMatrix(t *testing.T) {
	known, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	paths, err := filepath.Glob("testdata/matrix/*")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no exchanges: %v", err)
	}
	for _, path := range paths {
		x := &exchange{name: filepath.Base(path)}
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				lines := strings.Split(strings.TrimSpace(d.Input), "\n")
				switch d.Cmd {
				case "config":
					x.config = d.Input
				case "setup":
					x.setup = lines
				case "exchange":
					x.steps = lines
					x.also = strings.Split(arg(d, "also", ""), "+")
					return x.sweep(t, string(known))
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
				return ""
			})
		})
	}
}

// sweep runs all cases of an exchange and returns the end without a fault.
func (x *exchange) sweep(t *testing.T, known string) string {
	plain := x.run(nil, true)
	all, pairs := x.cases(plain.steps)
	single := slices.Clone(all)
	if *matrixSingles > 0 && *matrixCase == "" && len(single) > *matrixSingles {
		limit := *matrixSingles
		if raceEnabled {
			limit /= raceShare
		}
		random := rand.New(rand.NewPCG(*matrixSeed, 0))
		random.Shuffle(len(single), func(i, j int) { single[i], single[j] = single[j], single[i] })
		single = single[:limit]
	}
	counts := make(map[int]bool)
	for _, c := range all {
		counts[c[0].step] = true
	}
	slowest, failed, red := jackdawbridge.Millis(0), 0, 0
	for _, plan := range slices.Concat(single, pairs) {
		parts := make([]string, 0, 2)
		for _, i := range plan {
			parts = append(parts, i.String())
		}
		name := x.name + "/" + strings.Join(parts, "+")
		if *matrixCase != "" && *matrixCase != name {
			continue
		}
		m := x.run(plan, len(plan) == 1)
		slowest = max(slowest, m.served)
		if *matrixCase != "" {
			t.Logf("%s: %s\n%s", name, m.outcome(), strings.Join(m.h.trace, "\n"))
		}
		switch {
		case m.checks.broken == "":
		case strings.Contains(known, "case "+name+":"):
			red++
			t.Logf("known red: %s: %s", name, m.checks.broken)
		default:
			if failed++; failed <= 10 {
				s := plain.steps[plan[0].step]
				t.Errorf("%s (%s at %s): %s", name, s.label, s.node, m.checks.broken)
			}
		}
	}
	t.Logf("%s: %d steps, %d of %d cases with one fault, %d with two, %d failed, %d known red, served again after at most %d ms",
		x.name, len(counts), len(single), len(all), len(pairs), failed, red, slowest)
	return plain.outcome()
}
