package reducer

import (
	"fmt"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// checker looks at the invariants after each step of a harness and keeps the
// first one that broke.
type checker struct {
	h      *harness
	broken string
	meters map[jackdawbridge.AccountName]*meter
}

// meter is a leaky bucket: it overflows exactly if the admissions of some
// interval exceed rate x time + burst.
type meter struct {
	rate, burst int64 // the greatest ever configured
	level       int64 // micro-tokens
	at          jackdawbridge.Millis
	count       int
}

func newChecker(h *harness) *checker {
	c := &checker{h: h, meters: make(map[jackdawbridge.AccountName]*meter)}
	before := h.afterStep
	h.afterStep = func(n *fakeNode) {
		if before != nil {
			before(n)
		}
		c.step()
	}
	h.onAdmit = c.admitted
	return c
}

// admitted guards against an account that gets more than its rate and burst.
func (c *checker) admitted(account jackdawbridge.AccountName) {
	m, ok := c.meters[account]
	if !ok {
		m = &meter{}
		c.meters[account] = m
	}
	for _, e := range c.h.config {
		if a := e.Account(); a != nil && a.Name() == account {
			m.rate, m.burst = max(m.rate, a.Rate()), max(m.burst, a.Burst())
		}
	}
	m.level = max(m.level-int64(c.h.now-m.at)*m.rate*1000, 0) + micro
	m.at = c.h.now
	m.count++
	if m.level > m.burst*micro && c.broken == "" {
		c.broken = fmt.Sprintf("%d: admissions of %s pass its rate and burst by %d thousandths", c.h.now-harnessOrigin, account, (m.level-m.burst*micro)/1000)
	}
}

func (c *checker) step() {
	// A change may rest on the proof that a process ended. The design assumes
	// that no such proof is false.
	if c.broken == "" && !c.h.falseProof {
		c.holders()
	}
}

// acts reports whether a process may act for a range if it gets an event now.
func (n *fakeNode) acts(i int) bool {
	r := n.reducer
	if !n.alive || r.authority.own == nil || max(r.authority.lease.until, r.authority.lease.current) <= n.h.now+n.skew {
		return false
	}
	now := r.now
	defer func() { r.now = now }()
	r.now = max(r.now, n.h.now+n.skew)
	_, ok := r.authority.holds(i)
	return ok
}

// holders guards against two nodes that act for one range at the same instant.
func (c *checker) holders() {
	var holder [2][jackdawbridge.RangeCount]string
	dcs := make(map[jackdawbridge.DataCentre]int)
	for _, name := range c.h.order {
		n := c.h.nodes[name]
		dc, ok := dcs[n.peer.DataCentre()]
		if !ok {
			dc = len(dcs)
			dcs[n.peer.DataCentre()] = dc
		}
		for i := range jackdawbridge.RangeCount {
			if !n.acts(i) {
				continue
			}
			if other := holder[dc][i]; other != "" {
				c.broken = fmt.Sprintf("%d: %s and %s both act for range %d of %s", c.h.now-harnessOrigin, other, name, i, n.peer.DataCentre())
				return
			}
			holder[dc][i] = name
		}
	}
}

// holders returns how many ranges of a data centre each node acts for.
func (h *harness) holders(dc jackdawbridge.DataCentre) string {
	var lines []string
	none := jackdawbridge.RangeCount
	for _, name := range h.order {
		if n := h.nodes[name]; n.peer.DataCentre() == dc {
			count := 0
			for i := range jackdawbridge.RangeCount {
				if n.acts(i) {
					count++
				}
			}
			none -= count
			lines = append(lines, fmt.Sprintf("%s: %d", name, count))
		}
	}
	return strings.Join(append(lines, fmt.Sprintf("none: %d", none)), "\n")
}

// admit tells of the first time that a caller's request gets past the rate of
// its account.
func (n *fakeNode) admit(call jackdawbridge.CallID) {
	request := n.requests[call]
	hash, keyed := request.Key()
	if n.h.onAdmit == nil || !keyed || n.admitted[call] {
		return
	}
	n.admitted[call] = true
	for _, e := range n.h.keys {
		if e.Key().Hash() == hash {
			n.h.onAdmit(e.Key().Account())
		}
	}
}
