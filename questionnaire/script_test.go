package questionnaire

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestScripts guards against a faulty file that is accepted, and against faults that
// lack their line, field, reason or what the field may contain.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			data := []byte(d.Input)
			if d.HasArg("file") {
				var name string
				d.ScanArgs(t, "file", &name)
				var err error
				if data, err = os.ReadFile(filepath.Join("..", "examples", name)); err != nil {
					d.Fatalf(t, "%v", err)
				}
			}
			q, err := Read(data)
			if err != nil {
				return err.Error()
			}
			return render(q)
		})
	})
}

// render returns the content of a questionnaire as text.
func render(q *Questionnaire) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s in %s: %v\n", q.Deployment(), q.Region(), q.DataCentres())
	for _, c := range q.Callers() {
		fmt.Fprintf(&b, "caller %s enters %v at %d ms\n", c.Name(), c.DataCentres(), c.Distance())
	}
	for _, s := range q.ServiceSizes() {
		fmt.Fprintf(&b, "size %s: %d x %d slots, %d conns\n", s.Service(), s.Upstreams(), s.Slots(), s.Conns())
	}
	for _, e := range q.Entries() {
		fmt.Fprintln(&b, e.Name())
		if a := e.Account(); a != nil {
			fmt.Fprintf(&b, "  rate %d burst %d bought %t serve %t shares %v\n", a.Rate(), a.Burst(), a.PaidPriority(), a.ServeUnconfirmed(), a.Shares())
		}
		if s := e.Service(); s != nil {
			for _, r := range s.Routes() {
				fmt.Fprintf(&b, "  %v %s %s idempotent %t open %t\n", r.Methods(), r.Prefix(), r.Criticality(), r.Idempotent(), r.Open())
			}
		}
	}
	return b.String()
}

// TestSamplesMakeTables guards against samples whose entries are rejected as a config
// table or are incomplete.
func TestSamplesMakeTables(t *testing.T) {
	for _, name := range []string{"atlas.yaml", "sentieri.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", name))
		if err != nil {
			t.Fatal(err)
		}
		q, err := Read(data)
		if err != nil {
			t.Fatal(err)
		}
		table, err := jackdawbridge.NewTable(1, "sample", q.Entries())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(12, len(table.Entries())); diff != "" {
			t.Errorf("%s: entries (-want +got):\n%s", name, diff)
		}
	}
}
