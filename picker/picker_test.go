package picker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestScripts runs the files of testdata. A command names the picker, and each line below
// it is an upstream: its true slots, announced slots, time of a run in ms, consecutive
// failures, slot share in slow start in permille, and whether it is in another data
// centre. With more runs than true slots, a run takes longer in proportion. The output is
// the share of the calls that each upstream receives, and its calls in flight at the end.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/share", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var p jackdawbridge.Picker = NewObserved()
			if d.Cmd == "two-choices" {
				p = NewTwoChoices()
			}
			return simulate(t, d, p)
		})
	})
}

type upstream struct {
	slots, announced, ms, failures, slotShare int // slotShare in permille
	remote                                    bool

	inFlight, calls int
	latency         float64
}

func simulate(t *testing.T, d *datadriven.TestData, p jackdawbridge.Picker) string {
	var list []*upstream
	for _, line := range strings.Split(d.Input, "\n") {
		u := &upstream{}
		if _, err := fmt.Sscan(line, &u.slots, &u.announced, &u.ms, &u.failures, &u.slotShare, &u.remote); err != nil {
			d.Fatalf(t, "%v", err)
		}
		list = append(list, u)
	}
	random := rand.New(rand.NewPCG(1, 1))
	ends := make(map[int][]func())
	const span, perMilli = 5000, 2
	for now := range span {
		for _, end := range ends[now] {
			end()
		}
		for range perMilli {
			candidates := make([]jackdawbridge.Candidate, 0, len(list))
			for _, u := range list {
				candidates = append(candidates, jackdawbridge.NewCandidate(u.inFlight, jackdawbridge.Millis(u.latency), u.failures, u.announced*u.slotShare/1000).WithRemote(u.remote))
			}
			u := list[p.Pick(candidates, random.Uint64())]
			u.inFlight++
			u.calls++
			took := max(u.ms*u.inFlight/u.slots, u.ms)
			ends[now+took] = append(ends[now+took], func() {
				u.inFlight--
				u.latency += (float64(took) - u.latency) / 8
			})
		}
	}
	var b strings.Builder
	for _, u := range list {
		fmt.Fprintf(&b, "%.0f%%, %d in flight\n", float64(u.calls)*100/(span*perMilli), u.inFlight)
	}
	return b.String()
}
