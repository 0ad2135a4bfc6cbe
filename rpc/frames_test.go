package rpc

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFrames guards against frames that are not counted, or counted twice, when they arrive in
// pieces. Each line of a script is a piece in hexadecimal.
func TestFrames(t *testing.T) {
	datadriven.RunTest(t, "testdata/frames", func(t *testing.T, d *datadriven.TestData) string {
		f := frameCounter{begun: d.HasArg("begun")}
		var b strings.Builder
		for line := range strings.Lines(d.Input) {
			piece, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(line), " ", ""))
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			fmt.Fprintln(&b, f.count(piece))
		}
		return b.String()
	})
}
