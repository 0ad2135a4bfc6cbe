package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// beginRepeat is the time after which an unanswered Begin is sent again.
	beginRepeat = 50 * jackdawbridge.Millis(1)
	// beginLimit is how long a call waits for the home of its key.
	beginLimit = 500 * jackdawbridge.Millis(1)
	// endRepeats is how often the end of a request that did not run is told
	// again. Ends are not acknowledged, and a lost one would make the home
	// refuse the caller's next attempt.
	endRepeats = 2
	// endInterval is the time between two of them.
	endInterval = 200 * jackdawbridge.Millis(1)
	// maxEnds bounds the ends that are told again.
	maxEnds = 1024
)

// start is a call that waits for the home of its idempotency key.
type start struct {
	call    jackdawbridge.CallID
	key     idempotencyKey
	message *jackdawbridge.StartRequest
	limit   jackdawbridge.Millis // when the call stops waiting
}

// ending is the end of a request that is told again.
type ending struct {
	home    jackdawbridge.DataCentre
	index   int // of the range
	message *jackdawbridge.Completion
	left    int // times to tell it
}

// once is the part that runs requests with an idempotency key at most once. At
// the entry node it asks the key's home before anything runs; home.records is
// the home's side.
type once struct {
	r       *Reducer
	starts  map[jackdawbridge.RequestID]*start // waiting
	due     heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis]
	endings map[jackdawbridge.RequestID]*ending // at most maxEnds
	tell    heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis]
	records records

	revision    uint64                     // of the configuration that dataCentres comes from
	dataCentres []jackdawbridge.DataCentre // sorted
	since       jackdawbridge.Millis       // when dataCentres last changed, as seen here
}

func newOnce(r *Reducer) once {
	return once{
		r:       r,
		starts:  make(map[jackdawbridge.RequestID]*start),
		endings: make(map[jackdawbridge.RequestID]*ending),
		records: newRecords(),
	}
}

// begin asks the home of a key to record a start. The answer is calls.recorded
// or calls.unrecorded, at once or later.
func (p *once) begin(call jackdawbridge.CallID, request jackdawbridge.RequestID, account jackdawbridge.AccountName, text string) {
	p.refresh()
	key, err := parseIdempotencyKey(account, text)
	if err != nil || !key.acceptable(p.r.now) || !p.knows(key.dataCentre) {
		p.r.calls.startRefused(call, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
		return
	}
	p.starts[request] = &start{
		call: call, key: key, message: jackdawbridge.NewStartRequest(request, account, text), limit: p.r.now + beginLimit,
	}
	p.ask(request)
}

// knows reports whether a key may name the data centre.
func (p *once) knows(dc jackdawbridge.DataCentre) bool {
	if dc == "" {
		return len(p.dataCentres) > 0
	}
	return slices.Contains(p.dataCentres, dc)
}

// ask sends a StartRequest to the home of a waiting call, or gives up.
func (p *once) ask(request jackdawbridge.RequestID) {
	s := p.starts[request]
	if p.r.now >= s.limit {
		p.r.fx.Log(jackdawbridge.PartOnce, "home did not answer").About(request, jackdawbridge.Node{})
		p.r.calls.startRefused(s.call, jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
		return
	}
	p.due.Set(request, min(p.r.now+beginRepeat, s.limit))
	home, ok := p.r.authority.holder(s.key.home(p.dataCentres), s.key.rangeIndex())
	if !ok {
		return
	}
	if home.Node() == p.r.self.Node() {
		p.answer(s, p.record(s.message))
		return
	}
	p.r.send(home, s.message)
}

// begun takes the answer of a home.
func (p *once) begun(_ jackdawbridge.Peer, m *jackdawbridge.StartResponse) {
	if s, ok := p.starts[m.Request()]; ok && s.message.Key() == m.Key() {
		p.answer(s, m)
	}
}

// answer goes on with a call whose home has answered. A home that does not
// hold the range any more is asked again, since the holder may have changed.
func (p *once) answer(s *start, m *jackdawbridge.StartResponse) {
	refusal, refused := m.Refusal()
	switch {
	case !refused:
		p.drop(m.Request())
		p.r.calls.startAccepted(s.call)
	case refusal.Reason() == jackdawbridge.HomeUnreachable:
	default:
		p.r.fx.Log(jackdawbridge.PartOnce, "home refused the start").About(m.Request(), jackdawbridge.Node{}).Str("reason", refusal.Reason().String())
		p.r.calls.startRefused(s.call, refusal)
	}
}

func (p *once) drop(request jackdawbridge.RequestID) {
	delete(p.starts, request)
	p.due.Remove(request)
}

// end tells the home of a key how a request ended that asked to begin.
func (p *once) end(request jackdawbridge.RequestID, account jackdawbridge.AccountName, text string, outcome jackdawbridge.Outcome, status int) {
	if _, waiting := p.starts[request]; waiting {
		p.drop(request)
		outcome = jackdawbridge.NotRun
	}
	key, err := parseIdempotencyKey(account, text)
	if err != nil || len(p.dataCentres) == 0 {
		return
	}
	e := &ending{
		home: key.home(p.dataCentres), index: key.rangeIndex(),
		message: jackdawbridge.NewCompletion(request, account, text, outcome, status),
	}
	p.sendEnd(e)
	if outcome == jackdawbridge.NotRun && len(p.endings) < maxEnds {
		e.left = endRepeats
		p.endings[request] = e
		p.tell.Set(request, p.r.now+endInterval)
	}
}

func (p *once) sendEnd(e *ending) {
	home, ok := p.r.authority.holder(e.home, e.index)
	if !ok {
		return
	}
	if home.Node() == p.r.self.Node() {
		p.ended(p.r.self, e.message)
		return
	}
	p.r.send(home, e.message)
}

// beginAsked answers a peer that wants to record a start at this node.
func (p *once) beginAsked(from jackdawbridge.Peer, m *jackdawbridge.StartRequest) {
	p.refresh()
	p.r.send(from, p.record(m))
}

// record records the start of a request if this node is the key's home and no
// earlier run can have happened.
func (p *once) record(m *jackdawbridge.StartRequest) *jackdawbridge.StartResponse {
	refuse := func(refusal jackdawbridge.Refusal) *jackdawbridge.StartResponse {
		return jackdawbridge.NewStartRefused(m.Request(), m.Key(), refusal)
	}
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil || !key.acceptable(p.r.now) {
		return refuse(jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
	}
	since, ok := p.r.authority.holds(key.rangeIndex())
	if !ok || !p.knows(key.dataCentre) || key.home(p.dataCentres) != p.r.self.DataCentre() {
		return refuse(jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
	}
	blind := since // keys made up to this instant may have been seen elsewhere
	if key.dataCentre == "" {
		blind = max(since, p.since)
	}
	refusal, refused := p.records.begin(key, hashRequest(m.Request()), blind+keySkew+nodeSkew)
	if refused {
		return refuse(refusal)
	}
	return jackdawbridge.NewStartAccepted(m.Request(), m.Key())
}

// ended takes note of how a request ended whose start is recorded here.
func (p *once) ended(_ jackdawbridge.Peer, m *jackdawbridge.Completion) {
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil {
		return
	}
	p.records.end(key, hashRequest(m.Request()), m.Outcome(), m.Status())
}

// gained forgets what an earlier tenure recorded: another holder may have
// recorded more since, and keys from before are in doubt anyway.
func (p *once) gained(index int) { p.records.forget(index) }

// lost forgets the records of a range that has another holder.
func (p *once) lost(index int) { p.records.forget(index) }

// refresh takes the data centres from the configuration in force.
func (p *once) refresh() {
	revision := p.r.settings.revision(jackdawbridge.ConfigTable)
	if revision == p.revision || p.r.settings.config.table == nil {
		return
	}
	p.revision = revision
	var found []jackdawbridge.DataCentre
	for _, e := range p.r.settings.config.table.Entries() {
		if e.Account() == nil {
			continue
		}
		for _, s := range e.Account().Shares() {
			found = append(found, s.DataCentre())
		}
	}
	slices.Sort(found)
	found = slices.Compact(found)
	if !slices.Equal(found, p.dataCentres) {
		p.dataCentres = found
		p.since = p.r.now
	}
}

func (p *once) wake() jackdawbridge.Millis {
	wake := p.records.wake()
	if _, at, ok := p.due.Min(); ok {
		wake = min(wake, at)
	}
	if _, at, ok := p.tell.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// tick repeats what was not answered and drops expired records.
func (p *once) tick() {
	p.refresh()
	p.records.expire(p.r.now)
	for {
		request, ok := p.due.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.ask(request)
	}
	for {
		request, ok := p.tell.PopUntil(p.r.now)
		if !ok {
			return
		}
		p.tellAgain(request)
	}
}

func (p *once) tellAgain(request jackdawbridge.RequestID) {
	e := p.endings[request]
	p.sendEnd(e)
	e.left--
	if e.left == 0 {
		delete(p.endings, request)
		return
	}
	p.tell.Set(request, p.r.now+endInterval)
}
