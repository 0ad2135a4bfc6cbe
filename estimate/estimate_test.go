package estimate

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestScripts runs the files of testdata: the node of a backend server with 10 slots, and an
// entry node that gets its backlogs. A command moves the clock by after ms, does n times what
// it says, and prints what both nodes expect of the next request.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b Backend
		var u Upstream
		var s Service
		now := jackdawbridge.Millis(1_000_000)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			n, class, after, ms, running, pace := 1, 0, 0, 0, 0, jackdawbridge.UsualPace
			for name, value := range map[string]*int{"n": &n, "class": &class, "after": &after, "ms": &ms, "running": &running, "pace": &pace} {
				d.MaybeScanArgs(t, name, value)
			}
			believed := true
			for range n {
				now += jackdawbridge.Millis(after)
				switch d.Cmd {
				case "reset":
					b, u, s = Backend{}, Upstream{}, Service{}
				case "add":
					b.Add(class)
				case "load":
					load, _ := jackdawbridge.NewBackendLoad(running, 0, 10, pace)
					believed = b.Report(now, load, 0, 10) && believed
				case "run":
					b.Observe(now, class, jackdawbridge.Millis(ms))
				case "other": // another upstream reports the time of a class
					new(Upstream).Report(now, &s, class, 0, jackdawbridge.NewBacklog(0, jackdawbridge.Millis(ms), pace))
				case "answer":
					u.Report(now, &s, class, 0, b.Backlog(now, class, 0))
				}
			}
			own, work := u.Expect(now, &s, class, 0)
			return fmt.Sprintf("node: %d ms, entry: %.0f ms, work %.0f ms, believed %t\n", b.Expected(class), own, work, believed)
		})
	})
}
