package reducer

import (
	"fmt"

	"github.com/jackdawbridge/jackdawbridge"
)

// undisturbed is how long the fleet runs without a change of faults before the
// checkers expect it to have recovered.
const undisturbed = 60 * jackdawbridge.Second

// checkers holds what the invariants that span several steps need.
type checkers struct {
	h    *harness
	fail func(format string, args ...any)
	live map[string]jackdawbridge.Millis // since when a process runs without a fault of its own
}

// check installs the invariant checkers. They run after each step of a node.
func (h *harness) check(fail func(format string, args ...any)) *checkers {
	c := &checkers{h: h, fail: fail, live: make(map[string]jackdawbridge.Millis)}
	h.afterStep = func(n *fakeNode) {
		c.checkLost(n)
	}
	return c
}

// checkLost fails if a node takes a member to be dead that runs and that it has
// been able to reach throughout.
func (c *checkers) checkLost(n *fakeNode) {
	if c.h.now-c.h.disturbed < undisturbed {
		return
	}
	for _, m := range n.reducer.members.lost {
		o := c.h.byNode(m.peer.Node())
		if o != nil && o.up() && n.up() && c.h.linked(n.name, o.name) {
			c.fail("%d ms: %s takes %s to be dead, which runs and is connected", c.h.now-harnessOrigin, n.name, o.name)
		}
	}
}

// checkViews fails if the views of the members are wrong although no fault has
// changed for long enough.
func (c *checkers) checkViews(within jackdawbridge.Millis) {
	if got := c.h.converge(within); got != "converged" {
		c.fail("%d ms: after %d ms without a new fault %s", c.h.now-harnessOrigin, within, got)
	}
}

// String names the state that a failure is reported with.
func (c *checkers) String() string {
	return fmt.Sprintf("%d nodes at %d ms", len(c.h.order), c.h.now-harnessOrigin)
}
