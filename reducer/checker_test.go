package reducer

import (
	"fmt"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// shareChecker checks after each event of a node that at most one node of a data
// centre acts for a range, and at each admission that the account stays inside its
// rate and burst. It keeps the first violation.
type shareChecker struct {
	h         *harness
	violation string
	meters    map[jackdawbridge.AccountName]*rateMeter
}

// rateMeter is a leaky bucket. It overflows if and only if the admissions in some
// interval exceed rate x time + burst.
type rateMeter struct {
	rate, burst int64                // the greatest that were ever configured, tokens per second and tokens
	level       int64                // micro-tokens at the last admission
	at          jackdawbridge.Millis // of the last admission
	count       int                  // of all admissions
}

func newShareChecker(h *harness) *shareChecker {
	c := &shareChecker{h: h, meters: make(map[jackdawbridge.AccountName]*rateMeter)}
	before := h.afterStep
	h.afterStep = func(n *fakeNode) {
		if before != nil {
			before(n)
		}
		c.check()
	}
	h.onAdmit = c.checkRate
	return c
}

// checkRate reports an account that is admitted more than its rate and burst.
func (c *shareChecker) checkRate(account jackdawbridge.AccountName) {
	m, ok := c.meters[account]
	if !ok {
		m = &rateMeter{}
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
	if m.level > m.burst*micro && c.violation == "" {
		c.violation = fmt.Sprintf("%d ms: admissions of %s exceed its rate and burst by %d thousandths of a request", c.h.now-harnessOrigin, account, (m.level-m.burst*micro)/1000)
	}
}

func (c *shareChecker) check() {
	// A change of holders may rely on a proof that a process has ended. The design
	// assumes that no such proof is false.
	if c.violation == "" && !c.h.falseEndReported {
		c.checkHolders()
	}
}

// actsFor reports whether the process would act for range i in response to an event
// at the present instant.
func (n *fakeNode) actsFor(i int) bool {
	r := n.reducer
	if !n.alive || r.authority.localRanges == nil || max(r.authority.lease.end, r.authority.lease.endAtEpoch) <= n.h.now+n.clockSkew {
		return false
	}
	now := r.now
	defer func() { r.now = now }()
	r.now = max(r.now, n.h.now+n.clockSkew)
	_, ok := r.authority.holds(i)
	return ok
}

// checkHolders reports two nodes of a data centre that act for the same range at the
// same instant.
func (c *shareChecker) checkHolders() {
	var holder [2][jackdawbridge.RangeCount]string
	dcs := make(map[jackdawbridge.DataCentre]int)
	for _, name := range c.h.nodeNames {
		n := c.h.nodes[name]
		dc, ok := dcs[n.peer.DataCentre()]
		if !ok {
			dc = len(dcs)
			dcs[n.peer.DataCentre()] = dc
		}
		for i := range jackdawbridge.RangeCount {
			if !n.actsFor(i) {
				continue
			}
			if other := holder[dc][i]; other != "" {
				c.violation = fmt.Sprintf("%d ms: %s and %s both act for range %d of %s", c.h.now-harnessOrigin, other, name, i, n.peer.DataCentre())
				return
			}
			holder[dc][i] = name
		}
	}
}

// holders returns for how many ranges of a data centre each node acts, and for how
// many none does.
func (h *harness) holders(dc jackdawbridge.DataCentre) string {
	var lines []string
	unheld := jackdawbridge.RangeCount
	for _, name := range h.nodeNames {
		if n := h.nodes[name]; n.peer.DataCentre() == dc {
			count := 0
			for i := range jackdawbridge.RangeCount {
				if n.actsFor(i) {
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
func (n *fakeNode) reportAdmission(call jackdawbridge.CallID) {
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
