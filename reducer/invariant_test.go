package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// undisturbed is how long the fleet runs without a change of faults before
	// the checkers expect it to have recovered.
	undisturbed = 60 * jackdawbridge.Second
	// forceLimit is how long a change may take to be in force everywhere.
	forceLimit = 5 * jackdawbridge.Second
)

// withdrawal is a key that was withdrawn at a revision of the keys.
type withdrawal struct {
	hash     jackdawbridge.KeyHash
	revision uint64
	until    uint64 // revision that grants it again, 0 if none
}

// history is what a process of an instance has been seen to do.
type history struct {
	node         jackdawbridge.Node
	config, keys uint64 // of this process
	served       [2]uint64
	before       [2]uint64 // highest revisions that the instance served with, config and keys
	ready        bool
}

// checkers holds what the invariants that span several steps need.
type checkers struct {
	h         *harness
	fail      func(format string, args ...any)
	withdrawn []withdrawal
	seen      map[string]*history
}

// check installs the invariant checkers. They run after each step of a node.
func (h *harness) check(fail func(format string, args ...any)) *checkers {
	c := &checkers{h: h, fail: fail, seen: make(map[string]*history)}
	h.afterStep = func(n *fakeNode) {
		c.checkLost(n)
		c.checkRevision(n)
		c.checkWithdrawn(n)
		c.checkConfirmed(n)
	}
	h.onChange = c.changed
	return c
}

func (c *checkers) report(format string, args ...any) {
	c.fail("%d ms: "+format, append([]any{c.h.now - harnessOrigin}, args...)...)
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
			c.report("%s takes %s to be dead, which runs and is connected", n.name, o.name)
		}
	}
}

// checkViews fails if the views of the members are wrong although no fault has
// changed for long enough.
func (c *checkers) checkViews(within jackdawbridge.Millis) {
	if got := c.h.converge(within); got != "converged" {
		c.report("after %d ms without a new fault %s", within, got)
	}
}

// checkRevision fails if a revision falls at a process, or if a restarted or
// thawed process begins to serve with an older revision than its instance has
// served with, although a peer that it knows has that one.
func (c *checkers) checkRevision(n *fakeNode) {
	s := &n.reducer.settings
	now := [2]uint64{s.config.revision(), s.keys.revision()}
	past, ok := c.seen[n.name]
	if !ok || past.node != n.peer.Node() {
		fresh := &history{node: n.peer.Node()}
		if ok {
			fresh.before = past.served
		}
		past = fresh
		c.seen[n.name] = past
	}
	if now[0] < past.config || now[1] < past.keys {
		c.report("%s fell from config %d and keys %d to %d and %d", n.name, past.config, past.keys, now[0], now[1])
	}
	past.config, past.keys = now[0], now[1]
	ready := s.ready()
	if ready && !past.ready {
		for i := range now {
			if now[i] < past.before[i] {
				c.checkPeers(n, i, now[i], past.before[i])
			}
		}
	}
	past.ready = ready
	if ready {
		past.served = [2]uint64{max(past.before[0], now[0]), max(past.before[1], now[1])}
	} else {
		past.served = [2]uint64{max(past.before[0], past.served[0]), max(past.before[1], past.served[1])}
	}
}

// checkPeers fails if a live peer that a node can reach has the revision that
// the instance served with before.
func (c *checkers) checkPeers(n *fakeNode, table int, now, before uint64) {
	for _, o := range c.h.nodes {
		s := &o.reducer.settings
		has := [2]uint64{s.config.revision(), s.keys.revision()}[table]
		if o != n && o.up() && has >= before && c.h.linked(n.name, o.name) && n.reducer.members.alive(o.peer.Node()) {
			c.report("%s serves with revision %d of table %d, served with %d before, and %s has that", n.name, now, table, before, o.name)
		}
	}
}

// changed takes note of a change and of the keys that it withdraws or grants.
func (c *checkers) changed(name jackdawbridge.RecordName, revision uint64, entries []jackdawbridge.Entry) {
	for _, e := range entries {
		for i := range c.withdrawn {
			if w := &c.withdrawn[i]; jackdawbridge.KeyEntryName(w.hash) == e.Name() && w.until == 0 {
				w.until = revision
			}
		}
		if old, ok := keyOf(e.Name()); ok && e.Removed() {
			c.withdrawn = append(c.withdrawn, withdrawal{hash: old, revision: revision})
		}
	}
	c.h.after(forceLimit, func() { c.checkForce(name, revision) })
}

// checkWithdrawn fails if a process admits a key whose withdrawal it has known.
func (c *checkers) checkWithdrawn(n *fakeNode) {
	s := &n.reducer.settings
	for _, w := range c.withdrawn {
		if known := s.keys.revision(); known < w.revision || w.until != 0 && known >= w.until {
			continue
		}
		if _, ok := s.index.keys[w.hash]; ok {
			c.report("%s admits a key at revision %d that was withdrawn at %d", n.name, s.keys.revision(), w.revision)
		}
	}
}

// checkConfirmed fails if a node takes its tables to be confirmed later than the
// last instant at which the platform held no newer one.
func (c *checkers) checkConfirmed(n *fakeNode) {
	for _, s := range []*tableState{&n.reducer.settings.config, &n.reducer.settings.keys} {
		if truth := c.h.store.lastHeld(s.name, s.revision()); s.confirmed > truth {
			c.report("%s takes %s %d to be confirmed at %d ms, the truth is %d ms",
				n.name, s.name, s.revision(), s.confirmed-harnessOrigin, truth-harnessOrigin)
		}
	}
}

// checkForce fails if a change is not in force everywhere in time. While faults
// begin or end it looks again later.
func (c *checkers) checkForce(name jackdawbridge.RecordName, revision uint64) {
	if c.h.store.down || c.h.store.damaged() || c.h.now-c.h.disturbed < undisturbed+forceLimit {
		c.h.after(forceLimit, func() { c.checkForce(name, revision) })
		return
	}
	for _, node := range c.h.order {
		n := c.h.nodes[node]
		if got := n.reducer.settings.revision(name); n.up() && c.connected(n) && got < revision {
			c.report("%s has %s %d in force, want %d", node, name, got, revision)
		}
	}
}

// connected reports whether a node can reach the platform, or every node of a
// data centre that can.
func (c *checkers) connected(n *fakeNode) bool {
	if !c.h.store.cut[n.name] {
		return true
	}
	for _, o := range c.h.nodes {
		if o.up() && !c.h.store.cut[o.name] && !c.h.linked(n.name, o.name) {
			return false
		}
	}
	return true
}
