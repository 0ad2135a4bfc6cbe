package jackdawbridge

// Message is a one-way value that one node sends to another. It may be lost,
// repeated, late or reordered.
type Message interface{ message() }

// Digest tells the newest revisions that a member knows. It travels with each
// datagram.
type Digest struct {
	config    uint64 // revision of the config table
	keys      uint64 // revision of the keys table
	epoch     uint64 // twice the epoch of the data centre's range record, plus one once that is settled
	confirmed Millis // time since the platform last confirmed the above, directly or relayed
	doubtful  bool   // the sender woke from a freeze and has not looked for newer tables yet
}

// NewDigest returns a digest.
func NewDigest(config, keys, epoch uint64, confirmed Millis) Digest {
	return Digest{config: config, keys: keys, epoch: epoch, confirmed: confirmed}
}

// WithDoubt returns d of a node that woke from a freeze and has not looked for newer
// tables yet, or of any other.
func (d Digest) WithDoubt(doubtful bool) Digest {
	d.doubtful = doubtful
	return d
}

// Doubtful reports whether the sender may not know of tables that others have for
// long.
func (d Digest) Doubtful() bool { return d.doubtful }

// Config returns the revision of the config table.
func (d Digest) Config() uint64 { return d.config }

// Keys returns the revision of the keys table.
func (d Digest) Keys() uint64 { return d.keys }

// Epoch returns twice the epoch of the data centre's range record, plus one
// once that is settled. It rises with each state of the record.
func (d Digest) Epoch() uint64 { return d.epoch }

// Confirmed returns the time since the platform last confirmed the revisions.
func (d Digest) Confirmed() Millis { return d.confirmed }

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

// From returns the sender as it describes itself.
func (f Frame) From() Peer { return f.from }

// Digest returns the digest of the sender.
func (f Frame) Digest() Digest { return f.digest }

// Message returns the message.
func (f Frame) Message() Message { return f.message }
