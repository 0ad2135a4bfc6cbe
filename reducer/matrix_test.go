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
	matrixSingles = flag.Int("matrix.singles", 120, "number of one-fault cases to draw for each exchange; 0 runs all of them")
	matrixPairs   = flag.Int("matrix.pairs", 30, "number of two-fault cases to draw for each exchange")
	matrixSeed    = flag.Uint64("matrix.seed", 1, "seed with which the cases are drawn")
	matrixCase    = flag.String("matrix.case", "", "run only this case, such as publish/17-kill, and print its log")
)

const (
	// faultSpan is how long a fault lasts, unless it ends by itself. It is longer
	// than a lease.
	faultSpan = 8 * jackdawbridge.Second
	// inForceLimit bounds the time from the end of the faults until the newest
	// tables are in force at every node. It allows for a node that learns of a
	// change only when it reads the platform, which it does every 15 s.
	inForceLimit = 25 * jackdawbridge.Second
	// cutOffSpan is how long a node is cut off from the platform and all other
	// nodes. It is longer than unconfirmedLimit.
	cutOffSpan = 14 * jackdawbridge.Second
	// matrixQueueLength is the length of a node's queue. It is small so that a few calls
	// fill it.
	matrixQueueLength = 8
	// messageLimit bounds the messages of a run, which usually has a few thousand.
	messageLimit = 50_000
	// raceDivisor divides the number of cases under the race detector, where each
	// takes several times as long. Fewer cases suffice there, since the reducers
	// start no goroutines.
	raceDivisor = 5
	// serveLimit bounds the time from the end of the faults until every node
	// serves again.
	serveLimit = 40 * jackdawbridge.Second
)

// stepKind is the kind of what happens at a step of an exchange.
type stepKind uint8

const (
	stepEvent stepKind = iota // an event is applied at a node
	stepFrame                 // a node sends a message
	stepHop                   // a request or its answer is sent to another node
	stepSwap                  // a node sends a conditional write to the platform
)

// matrixStep is a step of a run, at which a fault can be injected.
type matrixStep struct {
	kind   stepKind
	node   string
	label  string
	counts bool // belongs to the exchange, not to the background traffic
}

// matrixFault is a fault that is injected immediately before a step takes effect.
// inject returns how long the fault lasts.
type matrixFault struct {
	name   string
	kind   stepKind
	inject func(m *matrixRun, n *fakeNode) jackdawbridge.Millis
}

var matrixFaults = []matrixFault{
	{"kill", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.kill(n, faultSpan) }},
	{"restart", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.kill(n, jackdawbridge.Second) }},
	{"freeze-4s", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.freeze(n, 4*jackdawbridge.Second) }},
	{"freeze-8s", stepEvent, func(m *matrixRun, n *fakeNode) jackdawbridge.Millis { return m.freeze(n, 8*jackdawbridge.Second) }},
	// A freeze that is longer than a lease, of the node that holds the most ranges.
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
		return faultSpan
	}},
	{"platform-slow", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.store.extraDelay = 2 * jackdawbridge.Second
		return faultSpan
	}},
	{"operator", stepEvent, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.change(jackdawbridge.ConfigTable, m.h.config...)
		return 0
	}},
	{"answer-lost", stepSwap, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis {
		m.h.store.lostAnswers = 1
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
	{"late-100ms", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.delayMessage(100) }},
	{"late-10s", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.delayMessage(10 * jackdawbridge.Second) }},
	// In 5 ms the next message, its answer and one more can overtake this one.
	{"reorder", stepFrame, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.delayMessage(5) }},
	{"hop-100ms", stepHop, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.delayMessage(100) }},
	{"hop-10s", stepHop, func(m *matrixRun, _ *fakeNode) jackdawbridge.Millis { return m.delayMessage(10 * jackdawbridge.Second) }},
}

// injection is a fault at a step.
type injection struct {
	step  int
	fault *matrixFault
}

func (i injection) String() string { return fmt.Sprintf("%d-%s", i.step, i.fault.name) }

// exchange is the scenario in a data file of testdata/matrix.
type exchange struct {
	name     string
	config   string
	setup    []string // commands that run before, without faults
	commands []string // commands during which faults are injected
	also     []string // background messages that count as steps of the exchange
}

// matrixRun is one run of an exchange with the given faults.
type matrixRun struct {
	*exchange
	h            *harness
	checks       *matrixChecks
	plan         []injection // faults not yet injected, by step
	exchangeOnly bool        // inject faults only during the exchange
	inExchange   bool        // the commands of the exchange are running
	steps        []matrixStep
	frames       int                  // number of messages sent
	current      int                  // step of the event whose effects are being executed
	link         linkFault            // for the message that is being sent
	faultsEnd    jackdawbridge.Millis // when the last fault ends
	stopped      map[string]bool      // nodes that the exchange stops or kills
	recoveryTime jackdawbridge.Millis // time from the end of the faults until all nodes serve
}

// run runs the exchange with the given faults. The checks of the returned run hold
// the first violation.
func (x *exchange) run(plan []injection, exchangeOnly bool) *matrixRun {
	m := &matrixRun{exchange: x, h: newHarness(), plan: plan, exchangeOnly: exchangeOnly, stopped: make(map[string]bool)}
	m.h.strategies = func() (jackdawbridge.Picker, jackdawbridge.Limiter, jackdawbridge.Queue) {
		return picker.NewCompletion(), limiter.NewAdaptive(1), queue.NewPriority(matrixQueueLength)
	}
	m.checks = newMatrixChecks(m.h)
	m.h.onEvent, m.h.onEffect, m.h.onHop, m.h.onSend = m.event, m.effect, m.hop, m.send
	m.h.onRun, m.h.onResult = m.checks.serve, m.checks.childEnded
	if _, err := m.h.configure(x.config); err != nil {
		m.checks.report("%v", err)
	}
	m.runCommands(x.setup)
	m.inExchange = true
	m.runCommands(x.commands)
	m.inExchange = false
	if m.faultsEnd > m.h.now {
		m.h.run(m.faultsEnd - m.h.now)
	}
	m.checks.healed = m.h.now
	m.requireServing()
	return m
}

func (m *matrixRun) runCommands(lines []string) {
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

// step records a step and injects the faults planned for it. A fault whose step is
// of another kind is injected at the next step of its kind.
func (m *matrixRun) step(kind stepKind, n *fakeNode, label string, counts bool) {
	if !m.inExchange && (m.exchangeOnly || len(m.plan) == 0 || kind == stepFrame) {
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
		m.faultsEnd = max(m.faultsEnd, end)
	}
}

// backgroundMessages lists the types of the messages that nodes send continually.
var backgroundMessages = []string{"Probe", "ProbeAck", "IndirectProbe", "Members", "VoteRequest", "Vote", "RevisionNotice", "Pull", "TableDelta"}

func (m *matrixRun) counts(label string) bool {
	return !slices.Contains(backgroundMessages, label) || slices.Contains(m.also, label)
}

// event is called before an event is applied at a node.
func (m *matrixRun) event(n *fakeNode, e jackdawbridge.Event) {
	label, counts := typeName(e), false
	switch e := e.(type) {
	case *jackdawbridge.Tick:
	case *jackdawbridge.Received:
		label = typeName(e.Frame().Message())
		counts = m.counts(label)
	case *jackdawbridge.StoreLoaded:
		counts = !e.Watch() || slices.Contains(m.also, "Watch")
	case *jackdawbridge.TablesLoaded:
		counts = slices.Contains(m.also, "Watch")
	default:
		counts = true
	}
	m.current = len(m.steps)
	m.step(stepEvent, n, label, counts)
	if n.up() { // otherwise the event is applied later or never
		m.checks.event(n, e)
	}
}

// effect is called before an effect of a node is executed. A tick with an effect
// that belongs to the exchange counts as a step of it.
func (m *matrixRun) effect(n *fakeNode, e jackdawbridge.Effect) {
	m.checks.effect(n, e)
	switch e := e.(type) {
	case *jackdawbridge.Log, *jackdawbridge.Load, *jackdawbridge.LoadTables, *jackdawbridge.Watch:
		return
	case *jackdawbridge.Swap:
		seed := isSeed(e.Name())
		m.step(stepSwap, n, string(e.Name()), !seed)
		if seed {
			return
		}
	case *jackdawbridge.Send:
		if !m.counts(typeName(e.Frame().Message())) {
			return
		}
	}
	if m.current < len(m.steps) {
		m.steps[m.current].counts = true
	}
}

func (m *matrixRun) send(from, _ *fakeNode, frame jackdawbridge.Frame) linkFault {
	label := typeName(frame.Message())
	if m.frames++; m.frames > messageLimit {
		m.checks.report("messages: more than %d sent, the last a %s from %s", messageLimit, label, from.name)
		return linkFault{drop: true} // otherwise the run might not end
	}
	m.link = linkFault{}
	m.step(stepFrame, from, label, m.counts(label))
	return m.link
}

// hop returns the extra delay of a request or an answer to the next node.
func (m *matrixRun) hop(from *fakeNode) jackdawbridge.Millis {
	m.link = linkFault{}
	m.step(stepHop, from, "hop", true)
	return m.link.delay
}

func typeName(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "*jackdawbridge.") }

func (m *matrixRun) delayMessage(delay jackdawbridge.Millis) jackdawbridge.Millis {
	m.link.delay = delay
	return delay
}

// kill ends a process and starts another one in its slot after a span.
func (m *matrixRun) kill(n *fakeNode, span jackdawbridge.Millis) jackdawbridge.Millis {
	m.h.kill(n.name)
	service, slots, state := n.reducer.self.Service(), n.reducer.self.Slots(), n.reducer.self.State()
	m.h.after(span, func() {
		if m.h.nodes[n.name] != n || n.exited {
			return
		}
		var joins []string
		for _, name := range m.h.nodeNames {
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

// holder returns the node of the first data centre that acts for the most ranges.
func (m *matrixRun) holder() *fakeNode {
	best, most := m.h.nodes[m.h.nodeNames[0]], 0
	for _, name := range m.h.nodeNames {
		n, count := m.h.nodes[name], 0
		for i := range jackdawbridge.RangeCount {
			if n.up() && n.peer.DataCentre() == best.peer.DataCentre() && n.actsFor(i) {
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
	return m.cutFor(n, out, in, faultSpan)
}

// cutFor cuts the links from a node, to it, or both for a span.
func (m *matrixRun) cutFor(n *fakeNode, out, in bool, span jackdawbridge.Millis) jackdawbridge.Millis {
	set := func(on bool) {
		for _, other := range m.h.nodeNames {
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

// requireServing ends the remaining faults and reports a violation unless every node
// has the newest tables within inForceLimit and serves again within serveLimit.
func (m *matrixRun) requireServing() {
	m.h.store.lostAnswers, m.h.store.extraDelay = 0, 0
	m.h.store.setDown(false)
	start := m.h.now
	for m.checks.violation == "" {
		outdated := m.h.outdatedNode()
		unserved := m.checks.probe()
		if outdated == "" && unserved == "" {
			m.recoveryTime = m.h.now - start
			return
		}
		if outdated != "" && m.h.now-start > inForceLimit {
			m.checks.report("configuration: %d ms after the end of the faults %s", m.h.now-start, outdated)
		}
		if m.h.now-start > serveLimit {
			m.checks.report("recovery: %d ms after the end of the faults not all nodes serve: outdated node %q, failed probe %q", m.h.now-start, outdated, unserved)
		}
	}
}

// outcome returns the first violation, or the outcomes of the requests if there is
// none.
func (m *matrixRun) outcome() string {
	if m.checks.violation != "" {
		return m.checks.violation
	}
	return m.checks.summary()
}

// cases returns every fault at every step where it can be injected, and the drawn
// pairs of them. steps are those of the run without a fault.
func (x *exchange) cases(steps []matrixStep) (single, pairs [][]injection) {
	count := *matrixPairs
	if raceEnabled {
		count /= raceDivisor
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

// TestMatrix guards against a fault, or a pair of them, that breaks an invariant at
// some step of an exchange, or after which the system does not serve again. Each
// file of testdata/matrix is an exchange. Its output is the expected outcome of the
// run without a fault.
func TestMatrix(t *testing.T) {
	known, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	paths, err := filepath.Glob("testdata/matrix/*")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no exchanges in testdata/matrix: %v", err)
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
					x.commands = lines
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

// sweep runs the cases of an exchange and returns the outcome of the run without a
// fault. It passes over violations in cases that KNOWN-RED.txt lists.
func (x *exchange) sweep(t *testing.T, known string) string {
	faultless := x.run(nil, true)
	all, pairs := x.cases(faultless.steps)
	single := slices.Clone(all)
	if *matrixSingles > 0 && *matrixCase == "" && len(single) > *matrixSingles {
		limit := *matrixSingles
		if raceEnabled {
			limit /= raceDivisor
		}
		random := rand.New(rand.NewPCG(*matrixSeed, 0))
		random.Shuffle(len(single), func(i, j int) { single[i], single[j] = single[j], single[i] })
		single = single[:limit]
	}
	stepSet := make(map[int]bool)
	for _, c := range all {
		stepSet[c[0].step] = true
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
		slowest = max(slowest, m.recoveryTime)
		if *matrixCase != "" {
			t.Logf("%s: %s\n%s", name, m.outcome(), strings.Join(m.h.trace, "\n"))
		}
		switch {
		case m.checks.violation == "":
		case strings.Contains(known, "case "+name+":"):
			red++
			t.Logf("known red: %s: %s", name, m.checks.violation)
		default:
			if failed++; failed <= 10 {
				s := faultless.steps[plan[0].step]
				t.Errorf("%s (%s at %s): %s", name, s.label, s.node, m.checks.violation)
			}
		}
	}
	t.Logf("%s: %d steps, %d of %d cases with one fault, %d with two, %d failed, %d known red, served again after at most %d ms",
		x.name, len(stepSet), len(single), len(all), len(pairs), failed, red, slowest)
	return faultless.outcome()
}
