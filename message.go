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
}

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
}

// NewFrame returns a frame.
func NewFrame(from Peer, digest Digest, message Message) Frame {
	return Frame{from: from, digest: digest, message: message}
}

// From returns the sender's description of itself.
func (f Frame) From() Peer { return f.from }

// Digest returns the digest of the sender.
func (f Frame) Digest() Digest { return f.digest }

// Message returns the message.
func (f Frame) Message() Message { return f.message }
