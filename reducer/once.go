package reducer

import "github.com/jackdawbridge/jackdawbridge"

// once is the part that runs requests with an idempotency key at most once.
type once struct{ r *Reducer }

func newOnce(r *Reducer) once { return once{r: r} }

// begin asks the home of a key to record a start. The answer is calls.recorded
// or calls.unrecorded, at once or later.
func (p *once) begin(call jackdawbridge.CallID, _ jackdawbridge.RequestID, _ jackdawbridge.AccountName, _ string) {
	p.r.calls.recorded(call)
}

// end tells the home of a key how a request ended that asked to begin.
func (p *once) end(jackdawbridge.CallID, jackdawbridge.RequestID, jackdawbridge.AccountName, string, jackdawbridge.Outcome, int) {
}

// beginAsked answers a peer that wants to record a start at this node.
func (p *once) beginAsked(jackdawbridge.Peer, *jackdawbridge.Begin) {}

// begun takes the answer of a home.
func (p *once) begun(jackdawbridge.Peer, *jackdawbridge.Begun) {}

// ended takes note of how a request ended whose start is recorded here.
func (p *once) ended(jackdawbridge.Peer, *jackdawbridge.Ended) {}

// gained takes note that this node holds a range from now on.
func (p *once) gained(int) {}

// lost takes note that this node holds a range no more.
func (p *once) lost(int) {}

func (p *once) wake() jackdawbridge.Millis { return never }

func (p *once) tick() {}
