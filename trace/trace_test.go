package trace_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/jackdawbridge/jackdawbridge/trace"
)

// TestScripts runs the files of testdata. The input of "explain" is a log, its output the
// report on one request. The comments of the files name the failures that they guard
// against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "explain" {
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			var request string
			d.ScanArgs(t, "request", &request)
			requestTrace := trace.New(request)
			if err := requestTrace.Read(strings.NewReader(d.Input)); err != nil {
				return err.Error()
			}
			var b strings.Builder
			if err := requestTrace.Report(&b); err != nil {
				return err.Error()
			}
			if requestTrace.Unreadable() > 0 {
				b.WriteString("unreadable lines\n")
			}
			return b.String()
		})
	})
}
