package jackdawbridge

// VoteRequest requests the vote of a witness for the sender's lease on its ranges.
type VoteRequest struct {
	epoch       uint64
	requestedAt Millis // by the sender's clock, repeated in the Vote
}

// NewVoteRequest returns the request to vote for the sender's lease at an epoch.
func NewVoteRequest(epoch uint64, requestedAt Millis) *VoteRequest {
	return &VoteRequest{epoch: epoch, requestedAt: requestedAt}
}

// Epoch returns the epoch of the range record that names the sender as a holder.
func (v *VoteRequest) Epoch() uint64 { return v.epoch }

// RequestedAt returns when the request was sent, by the sender's clock.
func (v *VoteRequest) RequestedAt() Millis { return v.requestedAt }

// Vote is the answer of a witness to a VoteRequest. A holder has a lease while it has
// valid votes of a majority of the witnesses; the validity of a vote counts from when
// the holder sent the request. A witness that has promised a newer epoch does not vote
// for an older one.
type Vote struct {
	epoch       uint64
	requestedAt Millis
}

// NewVote returns the answer to a VoteRequest.
func NewVote(epoch uint64, requestedAt Millis) *Vote {
	return &Vote{epoch: epoch, requestedAt: requestedAt}
}

// Epoch returns the epoch that the witness votes for.
func (v *Vote) Epoch() uint64 { return v.epoch }

// RequestedAt returns when the holder sent the VoteRequest, by the holder's clock.
func (v *Vote) RequestedAt() Millis { return v.requestedAt }

// PrepareRequest requests a promise about a pending range record: a witness promises to
// vote for no earlier epoch, a former holder to act no longer for the ranges that the
// record moves.
type PrepareRequest struct {
	dataCentre DataCentre
	version    uint64 // version of the record in the platform's store
	ranges     *Ranges
}

// NewPrepareRequest returns the request for a promise on a pending range record.
func NewPrepareRequest(dc DataCentre, version uint64, ranges *Ranges) *PrepareRequest {
	return &PrepareRequest{dataCentre: dc, version: version, ranges: ranges}
}

// DataCentre returns the data centre of the record.
func (r *PrepareRequest) DataCentre() DataCentre { return r.dataCentre }

// Version returns the version of the record in the platform's store.
func (r *PrepareRequest) Version() uint64 { return r.version }

// Ranges returns the pending record.
func (r *PrepareRequest) Ranges() *Ranges { return r.ranges }

// Promise answers a PrepareRequest: the sender no longer votes for any epoch before the
// given one, nor acts for the ranges that the pending record of that epoch moves.
type Promise struct{ epoch uint64 }

// NewPromise returns the answer to a PrepareRequest.
func NewPromise(epoch uint64) *Promise { return &Promise{epoch: epoch} }

// Epoch returns the oldest epoch that the sender may still vote for.
func (p *Promise) Epoch() uint64 { return p.epoch }

func (*VoteRequest) message()    {}
func (*Vote) message()           {}
func (*PrepareRequest) message() {}
func (*Promise) message()        {}
