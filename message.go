package jackdawbridge

// Message is a one-way message between nodes. It may be lost, duplicated, delayed or
// reordered.
type Message interface{ message() }

// Digest lists the newest revisions that a member has. Each frame carries the digest
// of its sender.
type Digest struct {
	config         uint64 // revision of the config table
	keys           uint64 // revision of the keys table
	rangesProgress uint64 // progress of the range record: twice its epoch, plus one if it is settled
	sinceConfirmed Millis // time since the platform last confirmed these revisions, directly or through peers
	maybeStale     bool   // the sender resumed after a freeze and has not checked for newer tables yet
	era            EraDigest
}

// EraDigest says what a member knows of the eras of the platform's store.
type EraDigest struct {
	current     uint64 // 0 if unknown, or if the store has no eras
	informed    bool   // the sender would know of a return of the store in the last minutes
	sinceReturn Millis // time since the sender or its source learned of the last return, 0 if it knows of none
}

// NewEraDigest returns what a member knows of the eras of the platform's store.
func NewEraDigest(current uint64, informed bool, sinceReturn Millis) EraDigest {
	return EraDigest{current: current, informed: informed, sinceReturn: max(sinceReturn, 0)}
}

// Current returns the highest era that the sender knows, 0 if none.
func (d EraDigest) Current() uint64 { return d.current }

// Informed reports whether the sender would know if the store had come back from an older
// copy in the last minutes.
func (d EraDigest) Informed() bool { return d.informed }

// SinceReturn returns the time since the last return that the sender knows of, 0 if none.
func (d EraDigest) SinceReturn() Millis { return d.sinceReturn }

// NewDigest returns a digest.
func NewDigest(config, keys, rangesProgress uint64, sinceConfirmed Millis) Digest {
	return Digest{config: config, keys: keys, rangesProgress: rangesProgress, sinceConfirmed: sinceConfirmed}
}

// WithMaybeStale returns d marked as that of a node that resumed after a freeze and
// has not checked for newer tables yet, or without that mark.
func (d Digest) WithMaybeStale(maybeStale bool) Digest {
	d.maybeStale = maybeStale
	return d
}

// WithEra returns d with what the sender knows of the eras of the store.
func (d Digest) WithEra(era EraDigest) Digest {
	d.era = era
	return d
}

// Era returns what the sender knows of the eras of the store.
func (d Digest) Era() EraDigest { return d.era }

// MaybeStale reports whether the sender may lack revisions that other nodes have had
// for a long time, because it resumed after a freeze.
func (d Digest) MaybeStale() bool { return d.maybeStale }

// Config returns the revision of the config table.
func (d Digest) Config() uint64 { return d.config }

// Keys returns the revision of the keys table.
func (d Digest) Keys() uint64 { return d.keys }

// RangesProgress returns twice the epoch of the data centre's range record, plus one if
// the record is settled. It increases when a change of the record is written and again
// when the change is settled.
func (d Digest) RangesProgress() uint64 { return d.rangesProgress }

// SinceConfirmed returns the time since the platform last confirmed the revisions.
func (d Digest) SinceConfirmed() Millis { return d.sinceConfirmed }

// Frame is a message with its sender and the sender's digest.
type Frame struct {
	from    Peer
	digest  Digest
	message Message
	omitted int // rumors of the message that could not be decoded and were left out
}

// NewFrame returns a frame.
func NewFrame(from Peer, digest Digest, message Message) Frame {
	return Frame{from: from, digest: digest, message: message}
}

// WithOmitted returns f with the number of rumors that were left out when it was decoded.
func (f Frame) WithOmitted(omitted int) Frame {
	f.omitted = omitted
	return f
}

// Omitted returns the number of rumors that were left out when f was decoded, because they
// are not valid for this version of the program. It is not encoded.
func (f Frame) Omitted() int { return f.omitted }

// From returns the sender's description of itself.
func (f Frame) From() Peer { return f.from }

// Digest returns the digest of the sender.
func (f Frame) Digest() Digest { return f.digest }

// Message returns the message.
func (f Frame) Message() Message { return f.message }
