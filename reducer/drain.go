package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// drainGrace is the default of how long a draining node or backend server goes
	// on with new forwarded requests, while the other nodes learn that it drains.
	drainGrace = 2 * jackdawbridge.Second
	// drainLimit is the default of how long a stopping node takes new calls and
	// waits for its ranges to be taken over. Its calls end by their deadlines.
	drainLimit = 10 * jackdawbridge.Second
)

// drain is the part that ends the node without cutting a request.
type drain struct {
	r        *Reducer
	grace    jackdawbridge.Millis // in which new forwarded requests are taken
	limit    jackdawbridge.Millis // in which a stopping node takes new calls
	stopping bool
	since    jackdawbridge.Millis // when the backend server began to drain, 0 if it does not
	exited   bool
}

func newDrain(r *Reducer, grace, limit jackdawbridge.Millis) drain {
	return drain{r: r, grace: grace, limit: limit}
}

// begin starts to drain the node.
func (p *drain) begin() {
	if p.stopping {
		return
	}
	p.stopping = true
	p.note(jackdawbridge.PeerDraining)
	p.r.fx.Log(jackdawbridge.PartDrain, "node stops").Int("calls_and_runs", int64(p.left()))
	p.r.announce(p.r.self.WithState(jackdawbridge.PeerDraining))
	p.r.shares.release()
	p.r.authority.release()
}

// note takes note of the state that the node announces.
func (p *drain) note(state jackdawbridge.PeerState) {
	switch {
	case state != jackdawbridge.PeerDraining:
		p.since = 0
	case p.since == 0:
		p.since = p.r.now
	}
}

// refuses reports whether new forwarded requests are refused as not run.
func (p *drain) refuses() bool { return p.since != 0 && p.r.now-p.since >= p.grace }

// closed reports whether new calls are refused, because the node is about to end.
func (p *drain) closed() bool { return p.stopping && p.r.now-p.since >= p.limit }

// left returns how many calls and runs are in progress.
func (p *drain) left() int { return len(p.r.calls.active) + len(p.r.runs.active) }

func (p *drain) wake() jackdawbridge.Millis {
	if !p.stopping || p.exited {
		return never
	}
	for _, at := range []jackdawbridge.Millis{p.since + p.grace, p.since + p.limit} {
		if p.r.now < at {
			return at
		}
	}
	return never
}

// tick ends the node when nothing is left to do.
func (p *drain) tick() {
	if !p.stopping || p.exited || !p.refuses() || p.left() > 0 {
		return
	}
	if !p.r.authority.released() && p.r.now-p.since < p.limit {
		return
	}
	p.exited = true
	p.r.members.depart()
	p.r.fx.Log(jackdawbridge.PartDrain, "node ends")
	p.r.fx.Exit()
}
