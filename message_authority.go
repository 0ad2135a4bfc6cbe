package jackdawbridge

// VoteRequest requests the vote of a witness for the lease of the sender on its
// ranges.
type Vouch struct {
	epoch uint64
	asked Millis // by the sender's clock, repeated in the Vote
}

// NewVoteRequest returns the request to vote for the sender's lease at an epoch.
func NewVouch(epoch uint64, asked Millis) *Vouch { return &Vouch{epoch: epoch, asked: asked} }

// Epoch returns the epoch of the range record that names the sender as a holder.
func (v *Vouch) Epoch() uint64 { return v.epoch }

// RequestedAt returns when the request was sent, by the sender's clock.
func (v *Vouch) Asked() Millis { return v.asked }

// Vote is the answer of a witness to a VoteRequest. With a quorum of votes the holder
// has a lease that starts at the time of its request. A witness that has promised a
// newer epoch does not vote for an older one.
type Vouched struct {
	epoch uint64
	asked Millis
}

// NewVote returns the answer to a VoteRequest.
func NewVouched(epoch uint64, asked Millis) *Vouched { return &Vouched{epoch: epoch, asked: asked} }

// Epoch returns the epoch that the witness votes for.
func (v *Vouched) Epoch() uint64 { return v.epoch }

// RequestedAt returns when the holder sent the VoteRequest, by the holder's clock.
func (v *Vouched) Asked() Millis { return v.asked }

// PrepareRequest requests the promise of a witness, or of a former holder, that it no
// longer votes or acts for epochs before that of a pending range record.
type Acknowledge struct {
	dataCentre DataCentre
	version    uint64 // version of the record in the platform's store
	ranges     *Ranges
}

// NewPrepareRequest returns the request for a promise on a pending range record.
func NewAcknowledge(dc DataCentre, version uint64, ranges *Ranges) *Acknowledge {
	return &Acknowledge{dataCentre: dc, version: version, ranges: ranges}
}

// DataCentre returns the data centre of the record.
func (r *Acknowledge) DataCentre() DataCentre { return r.dataCentre }

// Version returns the version of the record in the platform's store.
func (r *Acknowledge) Version() uint64 { return r.version }

// Ranges returns the pending record.
func (r *Acknowledge) Ranges() *Ranges { return r.ranges }

// Promise answers a PrepareRequest: the sender no longer votes or acts for any epoch
// before the given one.
type Acknowledged struct{ epoch uint64 }

// NewPromise returns the answer to a PrepareRequest.
func NewAcknowledged(epoch uint64) *Acknowledged { return &Acknowledged{epoch: epoch} }

// Epoch returns the oldest epoch that the sender may still vote for.
func (p *Acknowledged) Epoch() uint64 { return p.epoch }

func (*Vouch) message()        {}
func (*Vouched) message()      {}
func (*Acknowledge) message()  {}
func (*Acknowledged) message() {}
