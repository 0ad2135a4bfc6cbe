package jackdawbridge

// GrantID identifies a grant of tokens. The asking node chooses it, and uses it once.
type GrantID uint64

// Ask asks the home of a client account's share for tokens.
type Ask struct {
	id      GrantID
	account AccountName
	lot     int
	want    int64 // whole tokens, at least 1
}

// NewAsk returns the request for tokens of one lot of an account.
func NewAsk(id GrantID, account AccountName, lot int, want int64) *Ask {
	return &Ask{id: id, account: account, lot: lot, want: want}
}

// ID returns the id of the grant that is asked for.
func (a *Ask) ID() GrantID { return a.id }

// Account returns the client account.
func (a *Ask) Account() AccountName { return a.account }

// Lot returns the lot of the account's share.
func (a *Ask) Lot() int { return a.lot }

// Want returns how many tokens are asked for.
func (a *Ask) Want() int64 { return a.want }

// Grant answers an Ask with tokens. They lapse a lifetime after the node asked.
type Grant struct {
	id      GrantID
	account AccountName
	lot     int
	tokens  int64 // at least 1
}

// NewGrant returns a grant of tokens.
func NewGrant(id GrantID, account AccountName, lot int, tokens int64) *Grant {
	return &Grant{id: id, account: account, lot: lot, tokens: tokens}
}

// ID returns the id of the grant.
func (g *Grant) ID() GrantID { return g.id }

// Account returns the client account.
func (g *Grant) Account() AccountName { return g.account }

// Lot returns the lot of the account's share.
func (g *Grant) Lot() int { return g.lot }

// Tokens returns the granted tokens.
func (g *Grant) Tokens() int64 { return g.tokens }

// Deny answers an Ask that cannot be granted.
type Deny struct {
	id      GrantID
	account AccountName
	lot     int
	after   Millis // until a token is due
	closed  bool   // the node does not grant at present
}

// NewDeny returns the refusal of tokens, with the time until one is due.
func NewDeny(id GrantID, account AccountName, lot int, after Millis) *Deny {
	return &Deny{id: id, account: account, lot: lot, after: after}
}

// ID returns the id of the grant that was asked for.
func (d *Deny) ID() GrantID { return d.id }

// Account returns the client account.
func (d *Deny) Account() AccountName { return d.account }

// Lot returns the lot of the account's share.
func (d *Deny) Lot() int { return d.lot }

// After returns the time until a token is due.
func (d *Deny) After() Millis { return d.after }

// AsClosed marks d as the answer of a node that does not grant at present,
// whatever tokens there are, and returns it.
func (d *Deny) AsClosed() *Deny {
	d.closed = true
	return d
}

// Closed reports whether the node does not grant at present.
func (d *Deny) Closed() bool { return d.closed }

// Report tells a home what became of a grant. Both counts are cumulative, and
// their sum never passes the granted tokens.
type Report struct {
	id       GrantID
	account  AccountName
	lot      int
	spent    int64
	returned int64 // never used, and never to be used
}

// NewReport returns the report on a grant.
func NewReport(id GrantID, account AccountName, lot int, spent, returned int64) *Report {
	return &Report{id: id, account: account, lot: lot, spent: spent, returned: returned}
}

// ID returns the id of the grant.
func (r *Report) ID() GrantID { return r.id }

// Account returns the client account.
func (r *Report) Account() AccountName { return r.account }

// Lot returns the lot of the account's share.
func (r *Report) Lot() int { return r.lot }

// Spent returns how many of the tokens were spent so far.
func (r *Report) Spent() int64 { return r.spent }

// Returned returns how many of the tokens were given back so far.
func (r *Report) Returned() int64 { return r.returned }

// Handover gives the successor of a home its level and what is outstanding.
type Handover struct {
	account     AccountName
	lot         int
	epoch       uint64 // of the record that names the successor
	level       int64  // thousandths of a token
	outstanding int64  // whole tokens
}

// NewHandover returns the state of one lot for the home's successor.
func NewHandover(account AccountName, lot int, epoch uint64, level, outstanding int64) *Handover {
	return &Handover{account: account, lot: lot, epoch: epoch, level: level, outstanding: outstanding}
}

// Account returns the client account.
func (h *Handover) Account() AccountName { return h.account }

// Lot returns the lot of the account's share.
func (h *Handover) Lot() int { return h.lot }

// Epoch returns the epoch of the record that names the successor.
func (h *Handover) Epoch() uint64 { return h.epoch }

// Level returns the level of the bucket in thousandths of a token.
func (h *Handover) Level() int64 { return h.level }

// Outstanding returns the tokens that may still be spent.
func (h *Handover) Outstanding() int64 { return h.outstanding }

func (*Ask) message()      {}
func (*Grant) message()    {}
func (*Deny) message()     {}
func (*Report) message()   {}
func (*Handover) message() {}
