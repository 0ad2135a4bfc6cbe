package budget

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *Budget
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var holder, bytes int64
			d.MaybeScanArgs(t, "holder", &holder)
			d.MaybeScanArgs(t, "bytes", &bytes)
			h := Holder(holder)
			switch d.Cmd {
			case "budget":
				b = New(bytes)
				return ""
			case "charge":
				evicted, ok := b.Charge(h, bytes)
				return fmt.Sprintf("fits %t, evicted %d, held %d", ok, evicted, b.Held())
			case "wait":
				b.Wait(h)
			case "proceed":
				b.Proceed(h)
			case "release":
				b.Release(h)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return fmt.Sprintf("held %d", b.Held())
		})
	})
}
