package reducer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"pgregory.net/rapid"
)

const (
	// storeAgainLimit is how long the nodes may take to write again what the store has
	// lost, once it answers and the links work.
	storeAgainLimit = 15 * jackdawbridge.Second
	// departureAgainLimit is that time for a departure of a backend server.
	departureAgainLimit = 5 * jackdawbridge.Second
)

// eraFaults draws moments at which the store of a fleet comes back from an older copy.
type eraFaults struct {
	h        *harness
	checks   *invariantCheckers
	rates    *shareChecker
	sequence uint64                          // of the last announcement
	departed map[string]jackdawbridge.Millis // by node, when its backend server's departure was announced, if it was acknowledged
}

func newEraFaults(t *rapid.T) *eraFaults {
	h := newHarness()
	h.store.era, h.store.keepCopies = rapid.Uint64Range(0, 1).Draw(t, "era"), true
	h.options = []datadriven.CmdArg{{Key: "apply", Vals: []string{"2000"}}}
	f := &eraFaults{h: h, rates: newShareChecker(h), departed: make(map[string]jackdawbridge.Millis), sequence: 1}
	rated := h.afterStep
	f.checks = h.installCheckers(t.Fatalf)
	checked := h.afterStep
	h.afterStep = func(n *fakeNode) {
		checked(n)
		if rated != nil {
			rated(n)
		}
	}
	if _, err := h.configure("account atlas 100 100 one:1000\nroute balancedesk /balance high idempotent\nkey k0 atlas"); err != nil {
		t.Fatal(err)
	}
	for i := range rapid.IntRange(3, 6).Draw(t, "nodes") {
		name, join := fmt.Sprint("n", i), "n0"
		if i == 0 {
			h.start(name, "one")
		} else {
			h.start(name, "one", join)
		}
		f.announce(name, "")
	}
	h.run(jackdawbridge.Millis(rapid.IntRange(0, 20_000).Draw(t, "warm")))
	return f
}

func (f *eraFaults) announce(name, state string) {
	f.sequence++
	f.h.announceAs(name, "balancedesk", 4, state, jackdawbridge.NewBackendProcess("i-"+name, 900, f.sequence), 0)
}

func (f *eraFaults) node(t *rapid.T) *fakeNode {
	return f.h.nodes[rapid.SampledFrom(f.h.nodeNames).Draw(t, "node")]
}

// back makes the store come back from an older copy after an outage, and publishes the
// tables that it has lost a moment later.
func (f *eraFaults) back(t *rapid.T) {
	f.h.store.setDown(true)
	f.h.run(jackdawbridge.Millis(rapid.IntRange(0, 1500).Draw(t, "away")))
	f.h.store.setDown(false)
	f.h.store.damagedAt = f.h.now
	f.h.store.returnFrom(jackdawbridge.Millis(rapid.IntRange(0, 8000).Draw(t, "age")))
	f.h.after(jackdawbridge.Millis(rapid.IntRange(0, 3000).Draw(t, "again")), func() {
		f.h.store.damagedAt = f.h.now
		f.h.store.publishAgain()
	})
}

// drain announces that a backend server has left, and notes whether that was acknowledged.
func (f *eraFaults) drain(t *rapid.T) {
	n := f.node(t)
	before, at := n.acknowledged, f.h.now
	f.announce(n.name, "left")
	f.h.run(jackdawbridge.Millis(rapid.IntRange(1, 300).Draw(t, "ms")))
	if n.alive && n.acknowledged > before {
		f.departed[n.name] = at
	}
}

func (f *eraFaults) change(t *rapid.T) {
	if err := f.h.publishKeys(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), "atlas", 1); err != nil {
		t.Fatal(err)
	}
}

// restart starts a new process of a node, to which a late announcement from before the
// departure of its backend server is sent.
func (f *eraFaults) restart(t *rapid.T) {
	n := f.node(t)
	join := f.h.nodeNames[(slices.Index(f.h.nodeNames, n.name)+1)%len(f.h.nodeNames)]
	f.h.start(n.name, "one", join)
	f.h.announceAs(n.name, "balancedesk", 4, "", jackdawbridge.NewBackendProcess("i-"+n.name, 900, 2), 0)
	f.h.run(jackdawbridge.Millis(rapid.IntRange(1, 3000).Draw(t, "ms")))
}

func (f *eraFaults) kill(t *rapid.T) { f.h.kill(f.node(t).name) }

func (f *eraFaults) lose(t *rapid.T) {
	f.h.store.lostAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
	f.h.store.extraDelay = jackdawbridge.Millis(rapid.IntRange(0, 300).Draw(t, "slow"))
}

func (f *eraFaults) cut(t *rapid.T) {
	f.h.cutAll(f.node(t).name, f.node(t).name, true, rapid.Bool().Draw(t, "both ways"))
}

func (f *eraFaults) heal(*rapid.T) { clear(f.h.cuts) }

func (f *eraFaults) freeze(t *rapid.T) {
	if n := f.node(t); n.up() {
		f.h.freeze(n.name, jackdawbridge.Millis(rapid.IntRange(1, 15_000).Draw(t, "ms")))
	}
}

// stray cuts a node off from the store, or restores its connection.
func (f *eraFaults) stray(t *rapid.T) {
	f.h.store.cutOff([]string{f.node(t).name}, rapid.Bool().Draw(t, "cut"))
}

func (f *eraFaults) run(t *rapid.T) {
	f.h.run(jackdawbridge.Millis(rapid.IntRange(1, 10_000).Draw(t, "ms")))
}

// check reports a backend server that serves after its departure was acknowledged, a rate
// that was exceeded, and two nodes that act for one range.
func (f *eraFaults) check(t *rapid.T) {
	if f.rates.violation != "" {
		t.Fatal(f.rates.violation)
	}
	for name, at := range f.departed {
		if f.h.store.era <= firstEra {
			break // a process that no peer informs takes this for an era without a return
		}
		if f.h.now-at >= departureTime {
			delete(f.departed, name)
		} else if n := f.h.nodes[name]; n.up() && n.reducer.departures.serving != nil {
			t.Fatalf("%d: %s serves by a late announcement, after the departure was acknowledged", f.h.now-harnessOrigin, name)
		}
	}
}

// recover ends all faults and requires that what the store has lost is written again, and
// that changes are possible again.
func (f *eraFaults) recover(t *rapid.T) {
	s := f.h.store
	s.lostAnswers, s.extraDelay = 0, 0
	if len(f.h.cuts) > 0 || slices.Contains(slices.Collect(maps.Values(s.cut)), true) || f.frozen() {
		clear(f.h.cuts)
		s.cutOff(f.h.nodeNames, false)
		f.h.run(recoveryLimit)
	}
	s.publishAgain()
	writes := s.writes
	f.h.run(departureAgainLimit)
	for _, name := range slices.Sorted(maps.Keys(f.departed)) {
		n := f.h.nodes[name]
		list := n.reducer.departures.list
		recorded, _ := s.records[n.reducer.departures.name()].Value().(*jackdawbridge.Departures)
		if n.up() && len(list) > 0 && !recorded.Equal(n.reducer.departures.value()) {
			t.Fatalf("%s has an acknowledged departure that the store does not have", name)
		}
	}
	f.h.run(storeAgainLimit - departureAgainLimit)
	if got, most := s.writes-writes, 3*seedSlots+readers+4*len(f.h.nodeNames); got > most {
		t.Fatalf("%d writes after the store came back: want at most %d", got, most)
	}
	for _, name := range f.h.nodeNames {
		if !f.h.nodes[name].alive {
			f.h.start(name, "one", f.h.nodeNames...)
		}
	}
	f.h.lastFaultChange = f.h.now
	f.h.run(departureTime + 2*recoveryLimit) // a first record may wait for departureTime
	f.checkRecords(t)
	if got := f.h.outdatedNode(); got != "" {
		t.Fatalf("after recovery: %s", got)
	}
}

// frozen reports whether a process is frozen.
func (f *eraFaults) frozen() bool {
	return slices.ContainsFunc(f.h.nodeNames, func(name string) bool { return f.h.nodes[name].frozen })
}

// checkRecords reports records that the store has not in the state that the nodes have.
func (f *eraFaults) checkRecords(t *rapid.T) {
	stored, _ := f.h.store.records[jackdawbridge.RangesRecord("one")].Value().(*jackdawbridge.Ranges)
	for _, name := range f.h.nodeNames {
		ranges := f.h.nodes[name].reducer.authority.localRanges
		if ranges == nil && stored == nil && len(f.h.nodes[name].reducer.eligibleHolders()) == 0 {
			continue
		}
		if ranges == nil || stored == nil || progress(ranges) != progress(stored) || ranges.Holders() != stored.Holders() {
			t.Fatalf("%s has range record %d, the store has %d", name, progress(ranges), progress(stored))
		}
		if f.h.nodes[name].reducer.departures.serving != nil && !slices.Contains(named(ranges), f.h.nodes[name].peer.Node()) {
			t.Fatalf("%s is not named by the range record", name)
		}
	}
	for i := range seedSlots {
		if _, ok := f.h.store.records[seedName("one", i)]; !ok {
			t.Fatalf("the store has no seed record %d", i)
		}
	}
}

// TestStoreReturns guards against records that stay lost when the store comes back from an
// older copy of them, against two nodes that act for a range after that, against tables
// that go back, and against departures of backend servers that are forgotten.
func TestStoreReturns(t *testing.T) {
	limitChecks(t, "30")
	rapid.Check(t, func(t *rapid.T) {
		f := newEraFaults(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        f.check,
			"back":    f.back,
			"drain":   f.drain,
			"change":  f.change,
			"restart": f.restart,
			"kill":    f.kill,
			"lose":    f.lose,
			"cut":     f.cut,
			"heal":    f.heal,
			"freeze":  f.freeze,
			"stray":   f.stray,
			"run":     f.run,
		})
		f.recover(t)
		f.check(t)
	})
}
