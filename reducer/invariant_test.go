package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// recoveryLimit is how long the fleet may take to recover after a fault began
	// or ended. Until then wrong declarations of death and late changes are allowed.
	recoveryLimit = 60 * jackdawbridge.Second
	// spreadLimit is how long a change may take until it is in force at every node.
	spreadLimit = 5 * jackdawbridge.Second
)

// withdrawal records the revision of the keys table that withdrew a key.
type withdrawal struct {
	hash     jackdawbridge.KeyHash
	revision uint64
	until    uint64 // revision that publishes the key again, 0 if none does
}

// instanceHistory records which revisions the processes of an instance have had.
type instanceHistory struct {
	node         jackdawbridge.Node // the current process
	config, keys uint64             // latest revisions of the current process
	served       [2]uint64          // highest revisions that the instance served with, config and keys
	before       [2]uint64          // value of served when the current process started
	ready        bool               // the current process was ready after its last event
}

// invariantCheckers checks the invariants of membership and settings. It keeps the
// state of those that span several steps.
type invariantCheckers struct {
	h           *harness
	fail        func(format string, args ...any)
	withdrawals []withdrawal
	histories   map[string]*instanceHistory
}

// installCheckers installs checkers that run after each event of a node. They
// report a violation with fail.
func (h *harness) installCheckers(fail func(format string, args ...any)) *invariantCheckers {
	c := &invariantCheckers{h: h, fail: fail, histories: make(map[string]*instanceHistory)}
	h.afterStep = func(n *fakeNode) {
		c.checkDeclaredDead(n)
		c.checkRevision(n)
		c.checkWithdrawn(n)
		c.checkConfirmed(n)
	}
	h.onChange = c.recordChange
	return c
}

func (c *invariantCheckers) report(format string, args ...any) {
	c.fail("%d ms: "+format, append([]any{c.h.now - harnessOrigin}, args...)...)
}

// checkDeclaredDead reports a node that has declared a member dead although the
// member runs and the two have been connected for recoveryLimit.
func (c *invariantCheckers) checkDeclaredDead(n *fakeNode) {
	if c.h.now-c.h.lastFaultChange < recoveryLimit {
		return
	}
	for _, m := range n.reducer.members.failed {
		o := c.h.byNode(m.peer.Node())
		if o != nil && o.up() && n.up() && c.h.linked(n.name, o.name) {
			c.report("%s has declared %s dead, although it runs and is connected", n.name, o.name)
		}
	}
}

// checkViews reports a view of the members that is still wrong after the given
// time without a change of faults.
func (c *invariantCheckers) checkViews(within jackdawbridge.Millis) {
	if got := c.h.converge(within); got != "converged" {
		c.report("after %d ms without a new fault: %s", within, got)
	}
}

// checkRevision reports a process whose revision decreases. It also reports a
// process that begins to serve, after a restart or a freeze, with an older revision
// than its instance has served with, although a peer in its view has that revision or
// a newer one.
func (c *invariantCheckers) checkRevision(n *fakeNode) {
	s := &n.reducer.settings
	now := [2]uint64{s.config.revision(), s.keys.revision()}
	past, ok := c.histories[n.name]
	if !ok || past.node != n.peer.Node() {
		fresh := &instanceHistory{node: n.peer.Node()}
		if ok {
			fresh.before = past.served
		}
		past = fresh
		c.histories[n.name] = past
	}
	if now[0] < past.config || now[1] < past.keys {
		c.report("%s went back from config revision %d and keys revision %d to %d and %d", n.name, past.config, past.keys, now[0], now[1])
	}
	past.config, past.keys = now[0], now[1]
	ready := s.ready()
	if ready && !past.ready {
		for i := range now {
			if now[i] < past.before[i] {
				c.reportNewerPeers(n, i, now[i], past.before[i])
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

// reportNewerPeers reports each running peer in the node's view that the node can reach
// and that has the revision with which the node's instance served before, or a newer
// one.
func (c *invariantCheckers) reportNewerPeers(n *fakeNode, table int, now, before uint64) {
	for _, o := range c.h.nodes {
		s := &o.reducer.settings
		has := [2]uint64{s.config.revision(), s.keys.revision()}[table]
		if o != n && o.up() && has >= before && c.h.linked(n.name, o.name) && n.reducer.members.alive(o.peer.Node()) {
			c.report("%s serves with revision %d of table %d, served with %d before, and %s has that", n.name, now, table, before, o.name)
		}
	}
}

// recordChange records which keys a change withdraws or publishes again, and
// schedules the check that the change is in force in time.
func (c *invariantCheckers) recordChange(name jackdawbridge.RecordName, revision uint64, entries []jackdawbridge.Entry) {
	for _, e := range entries {
		for i := range c.withdrawals {
			if w := &c.withdrawals[i]; jackdawbridge.KeyEntryName(w.hash) == e.Name() && w.until == 0 {
				w.until = revision
			}
		}
		if old, ok := keyOf(e.Name()); ok && e.Removed() {
			c.withdrawals = append(c.withdrawals, withdrawal{hash: old, revision: revision})
		}
	}
	c.h.after(spreadLimit, func() { c.checkInForce(name, revision) })
	published := c.h.now
	c.h.after(c.applyLimit(), func() { c.checkApplied(name, revision, published) })
}

// applyLimit returns the limit that the nodes are given.
func (c *invariantCheckers) applyLimit() jackdawbridge.Millis {
	return c.h.applyOptions(Options{applyLimit: defaultApplyLimit}).applyLimit
}

// checkApplied reports a node that does not have a change in force at the end of its
// limit, although it ran and reached the platform all the while and before, whatever the
// state of its peers and of its links to them.
func (c *invariantCheckers) checkApplied(name jackdawbridge.RecordName, revision uint64, published jackdawbridge.Millis) {
	if c.h.store.down || c.h.store.damaged() || c.h.store.damagedAt >= published || c.h.store.extraDelay > 0 {
		return
	}
	for _, node := range c.h.nodeNames {
		n := c.h.nodes[node]
		unfit := !n.up() || c.h.store.cut[node] || c.h.nodeFaults[node] > published-c.applyLimit()
		if got := n.reducer.settings.revision(name); !unfit && got < revision {
			c.report("%s has %s revision %d in force %d ms after the change, want %d", node, name, got, c.h.now-published, revision)
		}
	}
}

// checkWithdrawn reports a process that admits a key although the revision in force
// there has withdrawn it.
func (c *invariantCheckers) checkWithdrawn(n *fakeNode) {
	s := &n.reducer.settings
	for _, w := range c.withdrawals {
		if inForce := s.keys.revision(); inForce < w.revision || w.until != 0 && inForce >= w.until {
			continue
		}
		if _, ok := s.index.keys[w.hash]; ok {
			c.report("%s with revision %d admits a key that revision %d withdrew", n.name, s.keys.revision(), w.revision)
		}
	}
}

// checkConfirmed reports a node that regards a table as confirmed at an instant when
// the platform already held a newer one.
func (c *invariantCheckers) checkConfirmed(n *fakeNode) {
	for _, s := range []*tableState{&n.reducer.settings.config, &n.reducer.settings.keys} {
		if newestUntil := c.h.store.lastHeld(s.name, s.revision()); s.confirmed > newestUntil {
			c.report("%s regards %s revision %d as confirmed at %d ms, but it was the newest only until %d ms",
				n.name, s.name, s.revision(), s.confirmed-harnessOrigin, newestUntil-harnessOrigin)
		}
	}
}

// checkInForce reports a node where a change is not in force in time. It postpones
// the check while the platform is faulty or a fault began or ended recently.
func (c *invariantCheckers) checkInForce(name jackdawbridge.RecordName, revision uint64) {
	if c.h.store.down || c.h.store.damaged() || c.h.now-c.h.lastFaultChange < recoveryLimit+spreadLimit {
		c.h.after(spreadLimit, func() { c.checkInForce(name, revision) })
		return
	}
	for _, node := range c.h.nodeNames {
		n := c.h.nodes[node]
		if got := n.reducer.settings.revision(name); n.up() && c.connected(n) && got < revision {
			c.report("%s has %s revision %d in force, want %d", node, name, got, revision)
		}
	}
}

// connected reports whether a node can reach the platform, or is linked with every
// running node that can.
func (c *invariantCheckers) connected(n *fakeNode) bool {
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
