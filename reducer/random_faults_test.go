package reducer

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"pgregory.net/rapid"
)

// TestRandomFaults guards against combinations of faults that no script covers. It
// begins and ends random faults in a fleet of two data centres, checks the
// invariants after each step, and requires that all views are right in the end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFaults(t)
		t.Repeat(map[string]func(*rapid.T){
			"kill":    f.kill,
			"restart": f.restart,
			"freeze":  f.freeze,
			"cut":     f.cut,
			"heal":    f.heal,
			"lose":    f.lose,
			"store":   f.store,
			"refuse":  f.refuse,
			"change":  f.change,
			"damage":  f.setRecordState,
			"stray":   f.cutFromPlatform,
			"run":     f.run,
		})
		f.recover()
	})
}

// randomFaults draws and applies the faults of TestRandomFaults.
type randomFaults struct {
	h      *harness
	checks *invariantCheckers
}

func newRandomFaults(t *rapid.T) *randomFaults {
	h := newHarness()
	f := &randomFaults{h: h, checks: h.installCheckers(t.Fatalf)}
	if _, err := h.configure("account atlas 100 100 one:500,two:500 refuse\nroute balancedesk /balance high idempotent\nkey k0 atlas"); err != nil {
		t.Fatal(err)
	}
	nodes := rapid.IntRange(2, 10).Draw(t, "nodes in one")
	if nodes%2 == 0 { // in half of the runs a change must be in force sooner
		h.options = append(h.options, datadriven.CmdArg{Key: "apply", Vals: []string{"2000"}})
	}
	h.startFleet("a", "one", nodes, "balancedesk", "")
	h.startFleet("b", "two", rapid.IntRange(2, 4).Draw(t, "nodes in two"), "balancedesk", "")
	h.run(10 * jackdawbridge.Second)
	return f
}

func (f *randomFaults) node(t *rapid.T) *fakeNode {
	return f.h.nodes[rapid.SampledFrom(f.h.nodeNames).Draw(t, "node")]
}

func (f *randomFaults) kill(t *rapid.T) { f.h.kill(f.node(t).name) }

// restart starts a process in the slot of one that has ended. The new process joins
// through any node.
func (f *randomFaults) restart(t *rapid.T) {
	n := f.node(t)
	if n.alive {
		return
	}
	f.h.start(n.name, n.peer.DataCentre(), f.node(t).name)
	f.h.announce(n.name, "balancedesk", 4, rapid.Bool().Draw(t, "draining"))
}

func (f *randomFaults) freeze(t *rapid.T) {
	if n := f.node(t); n.up() {
		f.h.freeze(n.name, jackdawbridge.Millis(rapid.IntRange(1, 30_000).Draw(t, "ms")))
	}
}

func (f *randomFaults) cut(t *rapid.T) {
	f.h.cutAll(f.group(t), f.group(t), true, rapid.Bool().Draw(t, "both ways"))
}

// group draws a node or a whole data centre.
func (f *randomFaults) group(t *rapid.T) string {
	return rapid.SampledFrom(append([]string{"one", "two"}, f.h.nodeNames...)).Draw(t, "group")
}

func (f *randomFaults) heal(t *rapid.T) { f.h.cutAll(f.group(t), f.group(t), false, true) }

func (f *randomFaults) lose(t *rapid.T) {
	percent := rapid.IntRange(0, 20)
	f.h.setLinkFaults(percent.Draw(t, "percent lost"), percent.Draw(t, "percent repeated"), percent.Draw(t, "percent late"))
	f.h.lastFaultChange = f.h.now
}

// store starts or ends an outage of the platform, and sets how many of the next writes
// are answered with a failure although they succeed.
func (f *randomFaults) store(t *rapid.T) {
	f.h.store.setDown(rapid.Bool().Draw(t, "down"))
	f.h.store.lostAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
}

// refuse reports to a node that connections to a process are refused, if that process
// has ended.
func (f *randomFaults) refuse(t *rapid.T) {
	if n := f.node(t); !n.alive {
		f.h.reportRefused(f.node(t).name, n.name)
	}
}

// change withdraws or publishes a key, or publishes the configuration again.
func (f *randomFaults) change(t *rapid.T) {
	switch key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key")); rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		f.h.change(jackdawbridge.KeysTable, jackdawbridge.Tombstone(jackdawbridge.KeyEntryName(keyHash(key))))
	case 1:
		if err := f.h.publishKeys(key, "atlas", 1); err != nil {
			t.Fatal(err)
		}
	default:
		f.h.change(jackdawbridge.ConfigTable, f.h.config...)
	}
}

func (f *randomFaults) setRecordState(t *rapid.T) {
	name := rapid.SampledFrom([]jackdawbridge.RecordName{jackdawbridge.ConfigTable, jackdawbridge.KeysTable}).Draw(t, "table")
	state := rapid.SampledFrom([]string{"older", "unreadable", "missing", "good"}).Draw(t, "state")
	if _, err := f.h.setRecordState(name, state); err != nil {
		t.Fatal(err)
	}
	f.h.lastFaultChange = f.h.now
}

// cutFromPlatform cuts a node off from the platform, or restores its connection.
func (f *randomFaults) cutFromPlatform(t *rapid.T) {
	f.h.store.cutOff([]string{f.node(t).name}, rapid.Bool().Draw(t, "cut"))
}

func (f *randomFaults) run(t *rapid.T) {
	f.h.run(jackdawbridge.Millis(rapid.IntRange(1, 20_000).Draw(t, "ms")))
}

// recover ends all faults, except that ended processes stay down, and requires that
// every node then reaches the right view of the members and the newest revisions.
func (f *randomFaults) recover() {
	f.h.run(60 * jackdawbridge.Second)
	clear(f.h.cuts)
	f.h.onSend = nil
	f.h.store.setDown(false)
	f.h.store.lostAnswers = 0
	f.h.store.cutOff(f.h.nodeNames, false)
	for name := range f.h.published {
		if _, err := f.h.setRecordState(name, "good"); err != nil {
			f.checks.report("%v", err)
		}
	}
	f.h.lastFaultChange = f.h.now
	f.checks.checkViews(recoveryLimit)
	f.h.run(2 * recoveryLimit)
	if got := f.h.outdatedNode(); got != "" {
		f.checks.report("after recovery: %s", got)
	}
	if got := f.h.wrongView(); got != "" {
		f.checks.report("after recovery: %s", got)
	}
}
