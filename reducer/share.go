package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxWait bounds how long a call waits for a token.
	maxWait = 50 * jackdawbridge.Millis(1)
	// silentWait bounds it while no home of the own data centre answers and the node
	// has no floor to spend: a home that stops hands over in a few hundred
	// milliseconds, and nobody knows that the account is over its rate.
	silentWait = 500 * jackdawbridge.Millis(1)
	// askTimeout is when an Ask is repeated. Data centres of a region are 0.5 ms
	// apart. With one message in five lost, maxSends fail once in 60, and those
	// to the next home as well once in 3,500.
	askTimeout = 5 * jackdawbridge.Millis(1)
	// maxSends is how often a home is asked before it counts as silent.
	maxSends = 4
	// silentPause is how long a silent home is not asked again.
	silentPause = 250 * jackdawbridge.Millis(1)
	// emptyPause is how long a home is passed over that gave less than was
	// wanted. Without it a trickle from one home keeps a node from the others.
	emptyPause = 10 * jackdawbridge.Millis(1)
	// keepTime is how long unspent tokens are kept before they are returned.
	keepTime = 500 * jackdawbridge.Millis(1)
	// window is the span over which arrivals are counted.
	window = 100 * jackdawbridge.Millis(1)

	maxWaiting = 256  // calls of one account
	maxHeld    = 8    // grants of one account
	maxTries   = 3    // lots of one data centre that are asked in a row
	maxAsks    = 8192 // asks that may still be answered
)

// grantTimes orders grants by an instant.
type grantTimes = heap.Heap[jackdawbridge.GrantID, jackdawbridge.Millis]

// shares is the part that keeps each client account inside its rate.
type shares struct {
	r        *Reducer
	plans    map[jackdawbridge.AccountName]*plan // of the configuration's accounts
	names    []jackdawbridge.AccountName         // of plans, sorted
	revision uint64                              // of the configuration that plans come from
	heldBack bool                                // some plan is held
	settle   jackdawbridge.Millis                // when held plans are looked at again
	configs  map[jackdawbridge.DataCentre]uint64 // newest revision that a data centre has heard of
	home     home

	floors bool // nodes spend a part of a share by themselves while no home answers
	size   size

	newest      uint64               // newest revision of the configuration heard of
	behindSince jackdawbridge.Millis // when newest passed the own revision

	wallets map[jackdawbridge.AccountName]*wallet // of accounts with a plan
	nextID  jackdawbridge.GrantID
	asks    map[jackdawbridge.GrantID]asked // at most maxAsks
	lapse   grantTimes
	silent  grantTimes
	returns grantTimes
	owners  map[jackdawbridge.GrantID]*wallet // of the grants in returns
	waits   heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]
	retries heap.Heap[jackdawbridge.AccountName, jackdawbridge.Millis]
}

func newShares(r *Reducer) shares {
	return shares{
		r:       r,
		plans:   make(map[jackdawbridge.AccountName]*plan),
		configs: make(map[jackdawbridge.DataCentre]uint64),
		home:    newHome(),
		wallets: make(map[jackdawbridge.AccountName]*wallet),
		// A new process must not take a grant for one that it asked for itself.
		nextID: jackdawbridge.GrantID(hashOf(r.self.Node().String(), hashLot) | 1),
		asks:   make(map[jackdawbridge.GrantID]asked),
		owners: make(map[jackdawbridge.GrantID]*wallet),
	}
}

// take takes a token for a call. The answer is calls.funded or calls.unfunded,
// at once or later.
func (p *shares) take(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	w := p.walletOf(account)
	if w == nil {
		p.r.calls.unfunded(call, jackdawbridge.OverRate, jackdawbridge.Second)
		return
	}
	w.arrived(p.r.now)
	if len(w.waiting) == 0 && p.spend(w) {
		if w.asking == 0 && p.r.now >= w.denied && w.left() < w.recent {
			p.seek(w)
		}
		p.r.calls.funded(call)
		return
	}
	if w.denied > p.r.now+p.patience(w) || len(w.waiting) >= maxWaiting {
		p.refuse(call, w, max(w.denied-p.r.now, maxWait))
		return
	}
	w.waiting = append(w.waiting, call)
	p.waits.Set(call, p.r.now+maxWait)
	p.seek(w)
}

// patience returns how long a call of a wallet may wait for a token.
func (p *shares) patience(w *wallet) jackdawbridge.Millis {
	if p.floors || p.r.now-w.heard < homeSilence {
		return maxWait
	}
	return silentWait
}

// denial returns why a call of a wallet gets no token.
func (p *shares) denial(w *wallet) jackdawbridge.Reason {
	if w != nil && p.patience(w) > maxWait {
		return jackdawbridge.HomeUnreachable
	}
	return jackdawbridge.OverRate
}

// forget drops a call that waits for a token.
func (p *shares) forget(call jackdawbridge.CallID, account jackdawbridge.AccountName) {
	if !p.waits.Remove(call) {
		return
	}
	w := p.wallets[account]
	if i := slices.Index(w.waiting, call); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

// spend takes a token that the node has.
func (p *shares) spend(w *wallet) bool {
	for i := range w.held {
		g := &w.held[i]
		if p.r.now >= g.expires {
			continue
		}
		g.left--
		g.spent++
		if g.left == 0 {
			p.giveBack(w, i)
		}
		return true
	}
	return false
}

// giveBack reports a grant and gives back what is left of it.
func (p *shares) giveBack(w *wallet, i int) {
	g := w.held[i]
	w.held = slices.Delete(w.held, i, i+1)
	p.returns.Remove(g.id)
	delete(p.owners, g.id)
	p.post(g.home, jackdawbridge.NewReport(g.id, w.account, g.lot, g.spent, g.left))
}

// seek asks the next home for the tokens that are wanted.
func (p *shares) seek(w *wallet) {
	want := int64(len(w.waiting)) + max(2*w.recent, 0) - w.left()
	if w.asking != 0 || want < 1 || len(w.held) >= maxHeld {
		return
	}
	next := p.r.now + maxDenial
	for i := range w.targets {
		t := &w.targets[i]
		if t.pause > p.r.now {
			next = min(next, t.pause)
			continue
		}
		home, ok := p.r.authority.holder(t.dc, lotRange(w.account, t.lot))
		if !ok || len(p.asks) >= maxAsks {
			t.pause = p.r.now + notHome
			next = min(next, t.pause)
			continue
		}
		p.request(w, i, home, want)
		return
	}
	w.denied = next
	p.suspend(w)
}

// suspend lets the waiting calls wait for the next home that may be asked, or
// refuses them if that is too late.
func (p *shares) suspend(w *wallet) {
	if w.denied <= p.r.now+p.patience(w) {
		if len(w.waiting) > 0 {
			p.retries.Set(w.account, w.denied)
		}
		return
	}
	waiting := w.waiting
	w.waiting = nil
	for _, call := range waiting {
		p.waits.Remove(call)
		p.refuse(call, w, w.denied-p.r.now)
	}
}

// request sends an Ask. What was spent is reported first, since it makes room
// at its home.
func (p *shares) request(w *wallet, i int, home jackdawbridge.Peer, want int64) {
	for j := range w.held {
		if g := &w.held[j]; g.spent > g.reported {
			g.reported = g.spent
			p.post(g.home, jackdawbridge.NewReport(g.id, w.account, g.lot, g.spent, 0))
		}
	}
	p.nextID += 2
	id := p.nextID
	w.asking = id
	p.asks[id] = asked{wallet: w, home: home, lot: w.targets[i].lot, target: i, want: want, at: p.r.now, sends: 1}
	p.lapse.Set(id, p.r.now+grantLife)
	p.silent.Set(id, p.r.now+askTimeout)
	p.post(home, jackdawbridge.NewAsk(id, w.account, w.targets[i].lot, want))
}

// answered returns the Ask that a home answers and ends it.
func (p *shares) answered(from jackdawbridge.Peer, id jackdawbridge.GrantID, account jackdawbridge.AccountName, lot int) (asked, bool) {
	a, ok := p.asks[id]
	if !ok || a.home.Node() != from.Node() || a.wallet.account != account || a.lot != lot {
		return asked{}, false
	}
	delete(p.asks, id)
	p.lapse.Remove(id)
	p.silent.Remove(id)
	if a.wallet.asking == id {
		a.wallet.asking = 0
	}
	return a, p.r.now < a.at+grantLife
}

// grant takes tokens that a home gave. They expire a lifetime after the Ask.
func (p *shares) grant(from jackdawbridge.Peer, m *jackdawbridge.Grant) {
	a, ok := p.answered(from, m.ID(), m.Account(), m.Lot())
	if !ok || m.Tokens() < 1 {
		return
	}
	w := a.wallet
	w.denied = 0
	p.answers(a, 0)
	if m.Tokens() < a.want {
		p.pause(a, emptyPause)
	}
	w.held = append(w.held, grant{
		id: m.ID(), home: from, lot: m.Lot(), left: m.Tokens(), expires: a.at + grantLife,
	})
	p.owners[m.ID()] = w
	p.returns.Set(m.ID(), a.at+keepTime)
	p.serve(w)
}

// serve gives tokens to the calls that wait.
func (p *shares) serve(w *wallet) {
	for len(w.waiting) > 0 && p.spend(w) {
		call := w.waiting[0]
		w.waiting = slices.Delete(w.waiting, 0, 1)
		p.waits.Remove(call)
		p.r.calls.funded(call)
	}
	if len(w.waiting) > 0 {
		p.seek(w)
	}
}

// deny takes note that a home has no tokens.
func (p *shares) deny(from jackdawbridge.Peer, m *jackdawbridge.Deny) {
	a, ok := p.answered(from, m.ID(), m.Account(), m.Lot())
	if !ok {
		return
	}
	if !m.Closed() {
		p.answers(a, m.After())
	}
	p.pass(a, max(m.After(), 1))
}

// answers takes note that a home of the own data centre acts. Its answer holds
// for the given time.
func (p *shares) answers(a asked, span jackdawbridge.Millis) {
	if a.home.DataCentre() == p.r.self.DataCentre() {
		a.wallet.heard = max(a.wallet.heard, p.r.now+span)
	}
}

// pass goes on to the next home. The one passed over is paused, and the other
// lots of its data centre get their turn.
func (p *shares) pass(a asked, pause jackdawbridge.Millis) {
	p.pause(a, pause)
	p.seek(a.wallet)
}

func (p *shares) pause(a asked, span jackdawbridge.Millis) {
	w := a.wallet
	if a.target >= len(w.targets) || w.targets[a.target].lot != a.lot {
		return
	}
	t := &w.targets[a.target]
	t.pause = p.r.now + min(span, maxDenial)
	if t.lots > maxTries {
		t.lot = (t.lot + maxTries) % t.lots
	}
}

// release gives back every token before the node ends. The shares are handed
// over as soon as the range record names the successors.
func (p *shares) release() {
	for _, name := range p.names {
		if w, ok := p.wallets[name]; ok {
			for len(w.held) > 0 {
				p.giveBack(w, 0)
			}
		}
	}
}

// thaw drops all tokens after the process was frozen.
func (p *shares) thaw() {
	for _, w := range p.wallets {
		w.held = w.held[:0]
		w.asking = 0
		w.denied = 0
		w.recent, w.count = 0, 0
	}
	clear(p.asks)
	p.lapse, p.silent, p.returns = grantTimes{}, grantTimes{}, grantTimes{}
	clear(p.owners)
}

// post sends a message, or handles it at once if it is for this node.
func (p *shares) post(to jackdawbridge.Peer, message jackdawbridge.Message) {
	if to.Node() != p.r.self.Node() {
		p.r.send(to, message)
		return
	}
	switch m := message.(type) {
	case *jackdawbridge.Ask:
		p.ask(to, m)
	case *jackdawbridge.Grant:
		p.grant(to, m)
	case *jackdawbridge.Deny:
		p.deny(to, m)
	case *jackdawbridge.Report:
		p.report(to, m)
	}
}

// heard takes note of the configuration that a peer's data centre has heard of.
func (p *shares) heard(from jackdawbridge.Peer, digest jackdawbridge.Digest) {
	if known, ok := p.configs[from.DataCentre()]; digest.Config() > known && (ok || len(p.configs) < maxForeign) {
		p.configs[from.DataCentre()] = digest.Config()
	}
	if digest.Config() > p.newest {
		if p.newest <= p.revision {
			p.behindSince = p.r.now
		}
		p.newest = digest.Config()
	}
}

func (p *shares) wake() jackdawbridge.Millis {
	at := p.home.wake()
	for _, h := range [...]*grantTimes{&p.lapse, &p.silent, &p.returns} {
		if _, t, ok := h.Min(); ok {
			at = min(at, t)
		}
	}
	if _, t, ok := p.waits.Min(); ok {
		at = min(at, t)
	}
	if _, t, ok := p.retries.Min(); ok {
		at = min(at, t)
	}
	if p.heldBack {
		at = min(at, p.settle)
	}
	return at
}

func (p *shares) tick() {
	p.reload()
	p.home.tick(p)
	p.expire()
	for {
		name, ok := p.retries.PopUntil(p.r.now)
		if !ok {
			break
		}
		if w, ok := p.wallets[name]; ok {
			p.seek(w)
		}
	}
	for {
		call, at, ok := p.waits.Min()
		if !ok || at > p.r.now {
			return
		}
		p.overdue(call)
	}
}

// overdue ends the wait of a call for a token, or lets it go on while no home
// answers.
func (p *shares) overdue(call jackdawbridge.CallID) {
	w := p.wallets[p.r.calls.account(call)]
	if w != nil && p.patience(w) > maxWait && p.r.now-p.r.calls.active[call].arrived < silentWait {
		p.waits.Set(call, p.r.now+maxWait)
		p.seek(w)
		return
	}
	if w != nil && p.spendFloor(w) {
		p.forget(call, w.account)
		p.r.calls.funded(call)
		return
	}
	// The end of the call removes it from its wallet.
	p.r.calls.unfunded(call, p.denial(w), maxWait)
	p.waits.Remove(call)
}

// expire ends what is too old: asks without an answer, and grants.
func (p *shares) expire() {
	for {
		id, ok := p.returns.PopUntil(p.r.now)
		if !ok {
			break
		}
		w := p.owners[id]
		i := slices.IndexFunc(w.held, func(g grant) bool { return g.id == id })
		p.giveBack(w, i)
	}
	for {
		id, ok := p.silent.PopUntil(p.r.now)
		if !ok {
			break
		}
		a := p.asks[id]
		switch {
		case a.wallet.asking != id:
		case a.sends < maxSends && len(a.wallet.waiting) > 0:
			a.sends++
			p.asks[id] = a
			p.silent.Set(id, p.r.now+askTimeout)
			p.post(a.home, jackdawbridge.NewAsk(id, a.wallet.account, a.lot, a.want))
		default:
			a.wallet.asking = 0
			p.pass(a, silentPause)
		}
	}
	for {
		id, ok := p.lapse.PopUntil(p.r.now)
		if !ok {
			return
		}
		delete(p.asks, id)
	}
}
