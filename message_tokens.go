package jackdawbridge

// GrantID identifies a grant of tokens. The borrower chooses a new id for each request
// and repeats it if it sends the request again, so that the tokens are granted once.
type GrantID uint64

// TokenRequest requests tokens of a client account from the holder of the range to
// which a shard of the account belongs.
type TokenRequest struct {
	id      GrantID
	account AccountName
	shard   int
	tokens  int64 // requested number of whole tokens, at least 1
}

// NewTokenRequest returns the request for tokens of one shard of an account.
func NewTokenRequest(id GrantID, account AccountName, shard int, tokens int64) *TokenRequest {
	return &TokenRequest{id: id, account: account, shard: shard, tokens: tokens}
}

// ID returns the id of the requested grant.
func (r *TokenRequest) ID() GrantID { return r.id }

// Account returns the client account.
func (r *TokenRequest) Account() AccountName { return r.account }

// Shard returns the index of the shard.
func (r *TokenRequest) Shard() int { return r.shard }

// Tokens returns how many tokens are requested.
func (r *TokenRequest) Tokens() int64 { return r.tokens }

// TokenGrant answers a TokenRequest with tokens. They expire one grant lifetime after
// the borrower first sent the request.
type TokenGrant struct {
	id      GrantID
	account AccountName
	shard   int
	tokens  int64 // at least 1
}

// NewTokenGrant returns a grant of tokens.
func NewTokenGrant(id GrantID, account AccountName, shard int, tokens int64) *TokenGrant {
	return &TokenGrant{id: id, account: account, shard: shard, tokens: tokens}
}

// ID returns the id of the grant.
func (g *TokenGrant) ID() GrantID { return g.id }

// Account returns the client account.
func (g *TokenGrant) Account() AccountName { return g.account }

// Shard returns the index of the shard.
func (g *TokenGrant) Shard() int { return g.shard }

// Tokens returns the number of granted tokens.
func (g *TokenGrant) Tokens() int64 { return g.tokens }

// TokenDenial answers a TokenRequest that cannot be granted.
type TokenDenial struct {
	id          GrantID
	account     AccountName
	shard       int
	retryAfter  Millis // time until a token is available
	unavailable bool   // the node grants no tokens at present
}

// NewTokenDenial returns the denial of tokens, with the time until a token is
// available.
func NewTokenDenial(id GrantID, account AccountName, shard int, retryAfter Millis) *TokenDenial {
	return &TokenDenial{id: id, account: account, shard: shard, retryAfter: retryAfter}
}

// ID returns the id of the requested grant.
func (d *TokenDenial) ID() GrantID { return d.id }

// Account returns the client account.
func (d *TokenDenial) Account() AccountName { return d.account }

// Shard returns the index of the shard.
func (d *TokenDenial) Shard() int { return d.shard }

// RetryAfter returns the time until a token is available.
func (d *TokenDenial) RetryAfter() Millis { return d.retryAfter }

// AsUnavailable marks d as the answer of a node that grants no tokens at present,
// even if some are available, and returns it.
func (d *TokenDenial) AsUnavailable() *TokenDenial {
	d.unavailable = true
	return d
}

// Unavailable reports whether the node grants no tokens at present.
func (d *TokenDenial) Unavailable() bool { return d.unavailable }

// UsageReport reports to the issuer how the tokens of a grant were used. Both counts
// are cumulative, and their sum never exceeds the granted tokens.
type UsageReport struct {
	id       GrantID
	account  AccountName
	shard    int
	spent    int64 // whole tokens
	returned int64 // not spent, and no longer available to the borrower
}

// NewUsageReport returns the report on a grant.
func NewUsageReport(id GrantID, account AccountName, shard int, spent, returned int64) *UsageReport {
	return &UsageReport{id: id, account: account, shard: shard, spent: spent, returned: returned}
}

// ID returns the id of the grant.
func (r *UsageReport) ID() GrantID { return r.id }

// Account returns the client account.
func (r *UsageReport) Account() AccountName { return r.account }

// Shard returns the index of the shard.
func (r *UsageReport) Shard() int { return r.shard }

// Spent returns how many tokens were spent so far.
func (r *UsageReport) Spent() int64 { return r.spent }

// Returned returns how many tokens were returned unspent so far.
func (r *UsageReport) Returned() int64 { return r.returned }

// Handover transfers the state of a shard's token bucket to the next holder of the
// range.
type Handover struct {
	account     AccountName
	shard       int
	epoch       uint64 // of the range record that names the new holder
	level       int64  // of the token bucket, in thousandths of a token
	outstanding int64  // granted tokens that may still be spent, whole tokens
}

// NewHandover returns the state of one shard for the next holder of its range.
func NewHandover(account AccountName, shard int, epoch uint64, level, outstanding int64) *Handover {
	return &Handover{account: account, shard: shard, epoch: epoch, level: level, outstanding: outstanding}
}

// Account returns the client account.
func (h *Handover) Account() AccountName { return h.account }

// Shard returns the index of the shard.
func (h *Handover) Shard() int { return h.shard }

// Epoch returns the epoch of the range record that names the new holder.
func (h *Handover) Epoch() uint64 { return h.epoch }

// Level returns the level of the token bucket in thousandths of a token.
func (h *Handover) Level() int64 { return h.level }

// Outstanding returns the number of granted tokens that may still be spent.
func (h *Handover) Outstanding() int64 { return h.outstanding }

func (*TokenRequest) message() {}
func (*TokenGrant) message()   {}
func (*TokenDenial) message()  {}
func (*UsageReport) message()  {}
func (*Handover) message()     {}
