package node

import (
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

// TestEvictedHoldsNothing guards against a connection that charges the budget between its
// eviction and the end of its request, and is then a holder without a connection.
func TestEvictedHoldsNothing(t *testing.T) {
	r := newReadBudget(100, newMetrics(gometrics.NewRegistry()))
	c := &boundedConn{reading: r}
	if !r.charge(c, 60, true) {
		t.Fatal("the first charge does not fit")
	}
	evicted, _ := r.budget.Charge(99, 60)
	_ = r.takeConns(evicted)
	if r.charge(c, 10, true) || r.held() != 60 {
		t.Errorf("an evicted connection has charged the budget: held %d, want 60", r.held())
	}
}
