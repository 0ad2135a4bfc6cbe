package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// startRetryInterval is the time after which an unanswered StartRequest is sent
	// again.
	beginRepeat = 50 * jackdawbridge.Millis(1)
	// startTimeout is how long a call waits for the holder of its key's range to
	// record the start.
	beginLimit = 500 * jackdawbridge.Millis(1)
	// completionResends is how many times the Completion of a request that did not
	// run is sent again. Completions are not acknowledged, and if one was lost, the
	// holder would refuse the caller's next attempt.
	endRepeats = 2
	// completionInterval is the time between two sends of a Completion.
	endInterval = 200 * jackdawbridge.Millis(1)
	// maxPendingCompletions bounds the Completions that are still to be sent again.
	maxEnds = 1024
)

// pendingStart is a call that waits until the holder of its idempotency key's range
// has recorded the start.
type start struct {
	call    jackdawbridge.CallID
	key     idempotencyKey
	message *jackdawbridge.Begin
	limit   jackdawbridge.Millis // the call is refused at this time
}

// pendingCompletion is a Completion that is still to be sent again, because the holder
// does not acknowledge it.
type ending struct {
	home    jackdawbridge.DataCentre // of the key
	index   int                      // of the key's range
	message *jackdawbridge.Ended
	left    int // sends that remain
}

// atMostOnce is the part that runs requests with an idempotency key at most once. At
// the entry node it has the start recorded by the holder of the key's range before
// anything runs. The records field is the holder's side.
type once struct {
	r       *Reducer
	starts  map[jackdawbridge.RequestID]*start                       // calls that wait for a StartResponse
	due     heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis] // when to send each StartRequest again
	endings map[jackdawbridge.RequestID]*ending                      // at most maxEnds
	tell    heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis] // when to send each Completion again
	records records                                                  // of the ranges that this node holds

	revision    uint64                     // of the configuration from which dataCentres was read
	dataCentres []jackdawbridge.DataCentre // sorted
	since       jackdawbridge.Millis       // when this node last saw dataCentres change
}

func newOnce(r *Reducer) once {
	return once{
		r:       r,
		starts:  make(map[jackdawbridge.RequestID]*start),
		endings: make(map[jackdawbridge.RequestID]*ending),
		records: newRecords(),
	}
}

// requestStart has the start of a call recorded by the holder of its key's range. It
// calls calls.startAccepted or calls.startRefused, either before it returns or when
// the answer arrives.
func (p *once) begin(call jackdawbridge.CallID, request jackdawbridge.RequestID, account jackdawbridge.AccountName, text string) {
	p.refresh()
	key, err := parseIdempotencyKey(account, text)
	if err != nil || !key.acceptable(p.r.now) || !p.knows(key.dataCentre) {
		p.r.calls.unrecorded(call, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
		return
	}
	p.starts[request] = &start{
		call: call, key: key, message: jackdawbridge.NewBegin(request, account, text), limit: p.r.now + beginLimit,
	}
	p.ask(request)
}

// validDataCentre reports whether a key may name dc. An empty dc, that is, a key that
// names none, is valid once the data centres are known.
func (p *once) knows(dc jackdawbridge.DataCentre) bool {
	if dc == "" {
		return len(p.dataCentres) > 0
	}
	return slices.Contains(p.dataCentres, dc)
}

// sendStart sends the StartRequest of a waiting call to the holder of the key's range,
// or refuses the call if it has waited for startTimeout.
func (p *once) ask(request jackdawbridge.RequestID) {
	s := p.starts[request]
	if p.r.now >= s.limit {
		p.r.fx.Log(jackdawbridge.PartOnce, "start refused: the key's home node did not answer in time").About(request, jackdawbridge.Node{})
		p.r.calls.unrecorded(s.call, jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
		return
	}
	p.due.Set(request, min(p.r.now+beginRepeat, s.limit))
	holder, ok := p.r.authority.holder(s.key.home(p.dataCentres), s.key.rangeIndex())
	if !ok {
		return
	}
	if holder.Node() == p.r.self.Node() {
		p.answer(s, p.record(s.message))
		return
	}
	p.r.send(holder, s.message)
}

// startResponse handles a StartResponse. One that belongs to no waiting call is
// ignored.
func (p *once) begun(_ jackdawbridge.Peer, m *jackdawbridge.Begun) {
	if s, ok := p.starts[m.Request()]; ok && s.message.Key() == m.Key() {
		p.answer(s, m)
	}
}

// applyResponse starts or refuses a call by the answer to its StartRequest. If the node
// that answered does not hold the range any more, the call keeps waiting and the
// request is sent again, since there may be a new holder by then.
func (p *once) answer(s *start, m *jackdawbridge.Begun) {
	refusal, refused := m.Refusal()
	switch {
	case !refused:
		p.drop(m.Request())
		p.r.calls.recorded(s.call)
	case refusal.Reason() == jackdawbridge.HomeUnreachable:
	default:
		p.r.fx.Log(jackdawbridge.PartOnce, "start refused by the key's home node").About(m.Request(), jackdawbridge.Node{}).Str("reason", refusal.Reason().String())
		p.r.calls.unrecorded(s.call, refusal)
	}
}

func (p *once) drop(request jackdawbridge.RequestID) {
	delete(p.starts, request)
	p.due.Remove(request)
}

// end reports to the holder of a key's range how a request ended for which a StartRequest
// was made. A request that still waits for the answer did not run.
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
		message: jackdawbridge.NewEnded(request, account, text, outcome, status),
	}
	p.sendEnd(e)
	if outcome == jackdawbridge.NotRun && len(p.endings) < maxEnds {
		e.left = endRepeats
		p.endings[request] = e
		p.tell.Set(request, p.r.now+endInterval)
	}
}

func (p *once) sendEnd(e *ending) {
	holder, ok := p.r.authority.holder(e.home, e.index)
	if !ok {
		return
	}
	if holder.Node() == p.r.self.Node() {
		p.ended(p.r.self, e.message)
		return
	}
	p.r.send(holder, e.message)
}

// startRequested answers a peer's request to record a start at this node.
func (p *once) beginAsked(from jackdawbridge.Peer, m *jackdawbridge.Begin) {
	p.refresh()
	p.r.send(from, p.record(m))
}

// recordStart records the start of a request if this node holds the key's range and no
// request with the same key can have run before.
func (p *once) record(m *jackdawbridge.Begin) *jackdawbridge.Begun {
	refuse := func(refusal jackdawbridge.Refusal) *jackdawbridge.Begun {
		return jackdawbridge.NewBegunRefused(m.Request(), m.Key(), refusal)
	}
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil || !key.acceptable(p.r.now) {
		return refuse(jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
	}
	since, ok := p.r.authority.holds(key.rangeIndex())
	if !ok || !p.knows(key.dataCentre) || key.home(p.dataCentres) != p.r.self.DataCentre() {
		return refuse(jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
	}
	inDoubtUntil := since // keys created until this time may have been used at another holder
	if key.dataCentre == "" {
		inDoubtUntil = max(since, p.since)
	}
	refusal, refused := p.records.begin(key, hashRequest(m.Request()), inDoubtUntil+keySkew+nodeSkew)
	if refused {
		return refuse(refusal)
	}
	return jackdawbridge.NewBegun(m.Request(), m.Key())
}

// recordCompletion records how a request ended whose start is recorded at this node.
func (p *once) ended(_ jackdawbridge.Peer, m *jackdawbridge.Ended) {
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil {
		return
	}
	p.records.end(key, hashRequest(m.Request()), m.Outcome(), m.Status())
}

// gained drops the records that remain from an earlier time as holder of the range.
// Another holder may have recorded more since, and keys created before the change of
// holder are in doubt anyway.
func (p *once) gained(index int) { p.records.forget(index) }

// lost drops the records of a range that this node does not hold any more.
func (p *once) lost(index int) { p.records.forget(index) }

// refreshDataCentres reads the data centres from the configuration in force, if its
// revision has changed.
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

// tick sends StartRequests and Completions again that are due, and drops expired
// records.
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
