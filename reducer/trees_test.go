package reducer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestTrees guards against decisions that spend what a service has left on call trees that
// fail all the same. It runs loads in virtual time in which one service at the leaves of
// all trees binds, and compares what callers get by kind, account and data centre with an
// oracle that knows what each tree costs.
func TestTrees(t *testing.T) {
	datadriven.Walk(t, "testdata/trees", func(t *testing.T, path string) {
		var top *topology
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "topology" {
				top = readTopology(t, d)
				return fmt.Sprintf("capacity %.0f requests/s\n", top.capacity)
			}
			if raceEnabled {
				return d.Expected // the policy cases cover the same code
			}
			s := newSimulation(top, readTrigger(d), policies[len(policies)-1])
			firsts, repeats := s.countRuns()
			s.simulate()
			return s.treeReport(d.HasArg("accounts")) + fmt.Sprintf("first arrivals %d, repeats %d\n", *firsts, *repeats)
		})
	})
}

// share is a number of served requests of those that were offered.
type share struct{ served, refused, offered int }

func (p share) String() string {
	return fmt.Sprintf("%5.1f%% served %5.1f%% refused of %d", p.percent(p.served), p.percent(p.refused), p.offered)
}

func (p share) percent(n int) float64 { return float64(100*n) / float64(max(p.offered, 1)) }

// treeReport returns what callers got during the trigger, for each account if byAccount is
// set.
func (s *simulation) treeReport(byAccount bool) string {
	kinds := make([]share, len(s.topology.kinds))
	accounts := make([]share, len(s.topology.accounts))
	centres := make([]share, s.topology.dcs)
	for _, req := range s.requests {
		if req.at < triggerStart || req.at >= triggerEnd {
			continue
		}
		for _, p := range []*share{&kinds[req.kind], &accounts[req.account], &centres[req.centre]} {
			p.offered++
			if req.served {
				p.served++
			} else if req.notRun {
				p.refused++
			}
		}
	}
	var b strings.Builder
	for i, k := range s.topology.kinds {
		fmt.Fprintf(&b, "%-10s %s\n", k.name, kinds[i])
	}
	for i, a := range s.topology.accounts {
		if byAccount {
			fmt.Fprintf(&b, "%-10s %s\n", a.name, accounts[i])
		}
	}
	least := func(list []share) float64 {
		least := 100.0
		for _, p := range list {
			least = min(least, p.percent(p.served))
		}
		return least
	}
	fmt.Fprintf(&b, "worst account %.1f%%, worst data centre %.1f%%\n", least(accounts), least(centres))
	goodput, oracle := s.servedIn(triggerStart, triggerEnd), s.trigger.oracle(s.topology, triggerStart, triggerEnd)
	fmt.Fprintf(&b, "goodput %.0f of %.0f, recovery %s\n", goodput, oracle,
		recoveryText(s.recovery(s.servedIn(warmUp, triggerStart))))
	return b.String()
}

// countRuns counts the runs that the backend servers of the leaf receive during the trigger.
func (s *simulation) countRuns() (firsts, repeats *int) {
	firsts, repeats = new(int), new(int)
	s.onEffect = func(n *fakeNode, effect jackdawbridge.Effect) {
		e, ok := effect.(*jackdawbridge.Run)
		if at := s.now - harnessOrigin; !ok || n.reducer.self.Service() != "leaf" || at < triggerStart || at >= triggerEnd {
			return
		}
		if n.runs[e.Call()].envelope.Repeated() {
			*repeats++
		} else {
			*firsts++
		}
	}
	return firsts, repeats
}
