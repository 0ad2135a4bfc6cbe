package reducer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestTooDeepHasClass guards against a request from another node that is deeper than any
// class and ends the process.
func TestTooDeepHasClass(t *testing.T) {
	p := newCallPath(t, 1)
	for _, depth := range []int{jackdawbridge.MaxDepth + 1, 1 << 40, -1} {
		p.fx.Reset()
		envelope := jackdawbridge.NewEnvelope("r", "a", "s", jackdawbridge.Critical, 1000).WithDepth(depth)
		p.upstream.Apply(jackdawbridge.NewForwardArrived(p.at, jackdawbridge.CallID(depth), envelope), &p.fx)
	}
	if diff := cmp.Diff(1, p.upstream.runs.running); diff != "" {
		t.Errorf("running (-want +got):\n%s", diff)
	}
}
