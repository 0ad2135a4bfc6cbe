package reducer

import "github.com/jackdawbridge/jackdawbridge"

// drain is the part that ends the node without cutting a request.
type drain struct {
	r        *Reducer
	stopping bool
	exited   bool
}

func newDrain(r *Reducer) drain { return drain{r: r} }

// begin starts to drain the node.
func (p *drain) begin() {
	if p.stopping {
		return
	}
	p.stopping = true
	p.r.fx.Log(jackdawbridge.PartDrain, "stops, calls and runs left").With("", int64(len(p.r.calls.active)+len(p.r.runs.active)))
	p.r.announce(p.r.self.WithState(jackdawbridge.PeerDraining))
	p.r.shares.release()
	p.r.authority.release()
}

func (p *drain) wake() jackdawbridge.Millis { return never }

// tick ends the node when nothing is left to do.
func (p *drain) tick() {
	if !p.stopping || p.exited || len(p.r.calls.active)+len(p.r.runs.active) > 0 || !p.r.authority.released() {
		return
	}
	p.exited = true
	p.r.members.depart()
	p.r.fx.Exit()
}
