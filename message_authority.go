package jackdawbridge

// Vouch asks a witness to confirm that the sender still holds its ranges.
type Vouch struct {
	epoch uint64
	asked Millis // the sender's clock, repeated in the answer
}

// NewVouch returns the request to vouch for the sender at an epoch.
func NewVouch(epoch uint64, asked Millis) *Vouch { return &Vouch{epoch: epoch, asked: asked} }

// Epoch returns the epoch of the record that names the sender.
func (v *Vouch) Epoch() uint64 { return v.epoch }

// Asked returns when the sender asked, by its own clock.
func (v *Vouch) Asked() Millis { return v.asked }

// Vouched is a witness's promise not to acknowledge a newer epoch in silence:
// the holder may act until a lease after it asked.
type Vouched struct {
	epoch uint64
	asked Millis
}

// NewVouched returns the answer to a Vouch.
func NewVouched(epoch uint64, asked Millis) *Vouched { return &Vouched{epoch: epoch, asked: asked} }

// Epoch returns the epoch at which the witness vouches.
func (v *Vouched) Epoch() uint64 { return v.epoch }

// Asked returns when the holder asked, by its own clock.
func (v *Vouched) Asked() Millis { return v.asked }

// Acknowledge asks a witness to vouch no more for epochs before the given one.
type Acknowledge struct {
	dataCentre DataCentre
	version    uint64 // of the platform's service
	ranges     *Ranges
}

// NewAcknowledge returns the request to acknowledge a pending range record.
func NewAcknowledge(dc DataCentre, version uint64, ranges *Ranges) *Acknowledge {
	return &Acknowledge{dataCentre: dc, version: version, ranges: ranges}
}

// DataCentre returns the data centre of the record.
func (a *Acknowledge) DataCentre() DataCentre { return a.dataCentre }

// Version returns the platform's version of the record.
func (a *Acknowledge) Version() uint64 { return a.version }

// Ranges returns the pending record.
func (a *Acknowledge) Ranges() *Ranges { return a.ranges }

// Acknowledged is a witness's promise to vouch for no epoch before the given one.
type Acknowledged struct{ epoch uint64 }

// NewAcknowledged returns the answer to an Acknowledge.
func NewAcknowledged(epoch uint64) *Acknowledged { return &Acknowledged{epoch: epoch} }

// Epoch returns the acknowledged epoch.
func (a *Acknowledged) Epoch() uint64 { return a.epoch }

func (*Vouch) message()        {}
func (*Vouched) message()      {}
func (*Acknowledge) message()  {}
func (*Acknowledged) message() {}
