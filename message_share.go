package jackdawbridge

// GrantID identifies a grant of tokens. The borrower chooses a new one for each
// TokenRequest.
type GrantID uint64

// TokenRequest requests tokens of a client account from the holder of the range to
// which a shard of the account belongs.
type Ask struct {
	id      GrantID
	account AccountName
	lot     int
	want    int64 // requested number of whole tokens, at least 1
}

// NewTokenRequest returns the request for tokens of one shard of an account.
func NewAsk(id GrantID, account AccountName, lot int, want int64) *Ask {
	return &Ask{id: id, account: account, lot: lot, want: want}
}

// ID returns the id of the requested grant.
func (r *Ask) ID() GrantID { return r.id }

// Account returns the client account.
func (r *Ask) Account() AccountName { return r.account }

// Shard returns the index of the shard.
func (r *Ask) Lot() int { return r.lot }

// Tokens returns how many tokens are requested.
func (r *Ask) Want() int64 { return r.want }

// TokenGrant answers a TokenRequest with tokens. They expire one grant lifetime after
// the borrower sent the request.
type Grant struct {
	id      GrantID
	account AccountName
	lot     int
	tokens  int64 // at least 1
}

// NewTokenGrant returns a grant of tokens.
func NewGrant(id GrantID, account AccountName, lot int, tokens int64) *Grant {
	return &Grant{id: id, account: account, lot: lot, tokens: tokens}
}

// ID returns the id of the grant.
func (g *Grant) ID() GrantID { return g.id }

// Account returns the client account.
func (g *Grant) Account() AccountName { return g.account }

// Shard returns the index of the shard.
func (g *Grant) Lot() int { return g.lot }

// Tokens returns the number of granted tokens.
func (g *Grant) Tokens() int64 { return g.tokens }

// TokenDenial answers a TokenRequest that cannot be granted.
type Deny struct {
	id      GrantID
	account AccountName
	lot     int
	after   Millis // time until a token is available
	closed  bool   // the node grants no tokens at present
}

// NewTokenDenial returns the denial of tokens, with the time until one is available.
func NewDeny(id GrantID, account AccountName, lot int, after Millis) *Deny {
	return &Deny{id: id, account: account, lot: lot, after: after}
}

// ID returns the id of the requested grant.
func (d *Deny) ID() GrantID { return d.id }

// Account returns the client account.
func (d *Deny) Account() AccountName { return d.account }

// Shard returns the index of the shard.
func (d *Deny) Lot() int { return d.lot }

// RetryAfter returns the time until a token is available.
func (d *Deny) After() Millis { return d.after }

// AsUnavailable marks d as the answer of a node that grants no tokens at present,
// even if some are available, and returns it.
func (d *Deny) AsClosed() *Deny {
	d.closed = true
	return d
}

// Unavailable reports whether the node grants no tokens at present.
func (d *Deny) Closed() bool { return d.closed }

// UsageReport reports to the issuer how the tokens of a grant were used. Both counts
// are cumulative, and their sum never exceeds the granted tokens.
type Report struct {
	id       GrantID
	account  AccountName
	lot      int
	spent    int64
	returned int64 // not spent, and no longer available to the borrower
}

// NewUsageReport returns the report on a grant.
func NewReport(id GrantID, account AccountName, lot int, spent, returned int64) *Report {
	return &Report{id: id, account: account, lot: lot, spent: spent, returned: returned}
}

// ID returns the id of the grant.
func (r *Report) ID() GrantID { return r.id }

// Account returns the client account.
func (r *Report) Account() AccountName { return r.account }

// Shard returns the index of the shard.
func (r *Report) Lot() int { return r.lot }

// Spent returns how many tokens were spent so far.
func (r *Report) Spent() int64 { return r.spent }

// Returned returns how many tokens were returned unspent so far.
func (r *Report) Returned() int64 { return r.returned }

// Handover transfers the state of a shard's token bucket to the next holder of the
// range.
type Handover struct {
	account     AccountName
	lot         int
	epoch       uint64 // of the range record that names the new holder
	level       int64  // of the token bucket, in thousandths of a token
	outstanding int64  // granted tokens that may still be spent, whole tokens
}

// NewHandover returns the state of one shard for the next holder of its range.
func NewHandover(account AccountName, lot int, epoch uint64, level, outstanding int64) *Handover {
	return &Handover{account: account, lot: lot, epoch: epoch, level: level, outstanding: outstanding}
}

// Account returns the client account.
func (h *Handover) Account() AccountName { return h.account }

// Shard returns the index of the shard.
func (h *Handover) Lot() int { return h.lot }

// Epoch returns the epoch of the range record that names the new holder.
func (h *Handover) Epoch() uint64 { return h.epoch }

// Level returns the level of the token bucket in thousandths of a token.
func (h *Handover) Level() int64 { return h.level }

// Outstanding returns the number of granted tokens that may still be spent.
func (h *Handover) Outstanding() int64 { return h.outstanding }

func (*Ask) message()      {}
func (*Grant) message()    {}
func (*Deny) message()     {}
func (*Report) message()   {}
func (*Handover) message() {}
