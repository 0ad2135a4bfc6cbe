package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// drainGrace is the default of how long a draining node or backend server goes
	// on with new forwarded requests, while the other nodes learn that it drains.
	drainGrace = 2 * jackdawbridge.Second
	// stopHold is how long a stopping node goes on as an upstream before it tells the
	// others that it drains. Its backend server stays, and has no other way in until
	// the next process is ready: restarts that overlap took two of three backend
	// servers of a service away at once. Clients need as long to leave the node.
	stopHold = 1500 * jackdawbridge.Millis(1)
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
	stopped  jackdawbridge.Millis // when the node began to stop
	since    jackdawbridge.Millis // when node or backend server began to drain, 0 if neither does
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
	p.stopping, p.stopped = true, p.r.now
	p.r.fx.Log(jackdawbridge.PartDrain, "node stops").Int("calls_and_runs", int64(p.left()))
	if p.r.self.State() == jackdawbridge.PeerServing {
		p.r.announce(p.r.self.WithState(jackdawbridge.PeerStopping))
	} else {
		p.leave()
	}
	p.r.shares.release()
	p.r.authority.release()
}

// state returns what a node with a backend server that does not drain announces.
func (p *drain) state() jackdawbridge.PeerState {
	switch {
	case !p.stopping:
		return jackdawbridge.PeerServing
	case p.r.now-p.stopped < stopHold:
		return jackdawbridge.PeerStopping
	}
	return jackdawbridge.PeerDraining
}

// leave tells the others that the stopping node takes no more requests.
func (p *drain) leave() {
	p.note(jackdawbridge.PeerDraining)
	p.r.announce(p.r.self.WithState(jackdawbridge.PeerDraining))
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
func (p *drain) closed() bool { return p.stopping && p.r.now-p.stopped >= p.limit }

// left returns how many calls and runs are in progress.
func (p *drain) left() int { return len(p.r.calls.active) + len(p.r.runs.active) }

func (p *drain) wake() jackdawbridge.Millis {
	if !p.stopping || p.exited {
		return never
	}
	if p.since == 0 {
		return p.stopped + stopHold
	}
	for _, at := range []jackdawbridge.Millis{p.since + p.grace, p.stopped + p.limit} {
		if p.r.now < at {
			return at
		}
	}
	return never
}

// tick ends the node when nothing is left to do.
func (p *drain) tick() {
	if !p.stopping || p.exited {
		return
	}
	if p.since == 0 && p.r.now-p.stopped >= stopHold {
		p.leave()
	}
	if !p.refuses() || p.left() > 0 {
		return
	}
	if !p.r.authority.released() && p.r.now-p.stopped < p.limit {
		return
	}
	p.exited = true
	p.r.members.depart()
	p.r.fx.Log(jackdawbridge.PartDrain, "node ends")
	p.r.fx.Exit()
}
