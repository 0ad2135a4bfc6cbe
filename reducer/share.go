package reducer

import "github.com/jackdawbridge/jackdawbridge"

// shares is the part that keeps each client account inside its rate.
type shares struct{ r *Reducer }

func newShares(r *Reducer) shares { return shares{r: r} }

// take takes a token for a call. The answer is calls.funded or calls.unfunded,
// at once or later.
func (p *shares) take(call jackdawbridge.CallID, _ jackdawbridge.AccountName) {
	p.r.calls.funded(call)
}

// forget drops a call that waits for a token.
func (p *shares) forget(jackdawbridge.CallID, jackdawbridge.AccountName) {}

// ask answers a peer that wants tokens of a share that this node holds.
func (p *shares) ask(jackdawbridge.Peer, *jackdawbridge.Ask) {}

// grant takes tokens that a home gave.
func (p *shares) grant(jackdawbridge.Peer, *jackdawbridge.Grant) {}

// deny takes note that a home has no tokens.
func (p *shares) deny(jackdawbridge.Peer, *jackdawbridge.Deny) {}

// report takes note of what became of a grant.
func (p *shares) report(jackdawbridge.Peer, *jackdawbridge.Report) {}

// handover takes over the state of a home that leaves.
func (p *shares) handover(jackdawbridge.Peer, *jackdawbridge.Handover) {}

// gained takes note that this node holds a range from now on.
func (p *shares) gained(int) {}

// lost takes note that this node holds a range no more.
func (p *shares) lost(int) {}

// release hands over every share to the successors, before the node ends.
func (p *shares) release() {}

// thaw drops all tokens after the process was frozen.
func (p *shares) thaw() {}

func (p *shares) wake() jackdawbridge.Millis { return never }

func (p *shares) tick() {}
