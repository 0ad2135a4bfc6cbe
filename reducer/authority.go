package reducer

import "github.com/jackdawbridge/jackdawbridge"

// authority is the part that knows which node holds each range.
type authority struct{ r *Reducer }

func newAuthority(r *Reducer) authority { return authority{r: r} }

// epoch returns the epoch of the own data centre's range record, 0 if unknown.
func (p *authority) epoch() uint64 { return 0 }

// holder returns the node that holds a range of a data centre, and whether
// there is one.
func (p *authority) holder(jackdawbridge.DataCentre, int) (jackdawbridge.Peer, bool) {
	return jackdawbridge.Peer{}, false
}

// holds reports whether this node may act for a range of its data centre at
// this instant, and since when.
func (p *authority) holds(int) (since jackdawbridge.Millis, ok bool) { return 0, false }

// heard takes note of the epoch that a peer knows.
func (p *authority) heard(jackdawbridge.Peer, jackdawbridge.Digest) {}

// gone takes note that a node is proven to have ended.
func (p *authority) gone(jackdawbridge.Node) {}

// changed takes note that the membership of the own data centre has changed.
func (p *authority) changed() {}

// release gives up all ranges before the node ends.
func (p *authority) release() {}

// released reports whether this node holds no range any more.
func (p *authority) released() bool { return true }

func (p *authority) pull(jackdawbridge.Peer, *jackdawbridge.Pull)                 {}
func (p *authority) delta(jackdawbridge.Peer, *jackdawbridge.RangesDelta)         {}
func (p *authority) vouch(jackdawbridge.Peer, *jackdawbridge.Vouch)               {}
func (p *authority) vouched(jackdawbridge.Peer, *jackdawbridge.Vouched)           {}
func (p *authority) acknowledge(jackdawbridge.Peer, *jackdawbridge.Acknowledge)   {}
func (p *authority) acknowledged(jackdawbridge.Peer, *jackdawbridge.Acknowledged) {}
func (p *authority) loaded(*jackdawbridge.StoreLoaded)                            {}
func (p *authority) swapped(*jackdawbridge.StoreSwapped)                          {}

// thaw drops every promise after the process was frozen.
func (p *authority) thaw() {}

func (p *authority) wake() jackdawbridge.Millis { return never }

func (p *authority) tick() {}
