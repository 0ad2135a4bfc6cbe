package reducer

import (
	"fmt"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// shareChecker checks after each event of a node that a range has one holder, and
// at each admission that the account stays inside its rate and burst. It keeps the
// first violation.
type checker struct {
	h      *harness
	broken string
	meters map[jackdawbridge.AccountName]*meter
}

// rateMeter is a leaky bucket. It overflows if and only if the admissions in some
// interval exceed rate x time + burst.
type meter struct {
	rate, burst int64 // the greatest that were ever configured
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

// checkRate reports an account that is admitted more than its rate and burst.
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
		c.broken = fmt.Sprintf("%d: admissions of %s exceed its rate and burst by %d thousandths of a request", c.h.now-harnessOrigin, account, (m.level-m.burst*micro)/1000)
	}
}

func (c *checker) step() {
	// A change of holders may rely on a proof that a process has ended. The design
	// assumes that no such proof is false.
	if c.broken == "" && !c.h.falseProof {
		c.holders()
	}
}

// actsFor reports whether the process would act for range i in response to an event
// at the present instant.
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

// checkHolders reports two nodes that act for one range at the same instant.
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

// holders returns for how many ranges of a data centre each node acts.
func (h *harness) holders(dc jackdawbridge.DataCentre) string {
	var lines []string
	unheld := jackdawbridge.RangeCount
	for _, name := range h.order {
		if n := h.nodes[name]; n.peer.DataCentre() == dc {
			count := 0
			for i := range jackdawbridge.RangeCount {
				if n.acts(i) {
					count++
				}
			}
			unheld -= count
			lines = append(lines, fmt.Sprintf("%s: %d", name, count))
		}
	}
	return strings.Join(append(lines, fmt.Sprintf("none: %d", unheld)), "\n")
}

// reportAdmission calls onAdmit the first time that a caller's request passes the
// rate limit of its account.
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
