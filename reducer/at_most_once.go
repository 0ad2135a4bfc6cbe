package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// startRetryInterval is the time after which an unanswered StartRequest is sent
	// again.
	startRetryInterval = 50 * jackdawbridge.Millis(1)
	// startTimeout is how long a call waits for the holder of its key's range to
	// record the start.
	startTimeout = 500 * jackdawbridge.Millis(1)
	// completionResends is how many times the Completion of a request that did not
	// run is sent again. Completions are not acknowledged, and if one were lost, the
	// holder would refuse the caller's next attempt.
	completionResends = 2
	// completionInterval is the time between two sends of a Completion.
	completionInterval = 200 * jackdawbridge.Millis(1)
	// maxPendingCompletions bounds the Completions that are still to be sent again.
	maxPendingCompletions = 1024
)

// pendingStart is a call that waits until the holder of its idempotency key's range
// has recorded the start.
type pendingStart struct {
	call     jackdawbridge.CallID
	key      idempotencyKey
	message  *jackdawbridge.StartRequest
	deadline jackdawbridge.Millis // the call is refused at this time
}

// pendingCompletion is a Completion that is still to be sent again, because the holder
// does not acknowledge it.
type pendingCompletion struct {
	homeDataCentre jackdawbridge.DataCentre // of the key
	index          int                      // of the key's range
	message        *jackdawbridge.Completion
	sendsLeft      int
}

// atMostOnce is the part that runs requests with an idempotency key at most once. At
// the entry node it requests the holder of the key's range to record the start before
// anything runs. The records field is the holder's side.
type atMostOnce struct {
	r                  *Reducer
	pendingStarts      map[jackdawbridge.RequestID]*pendingStart                // calls that wait for a StartResponse
	startDue           heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis] // when to send each StartRequest again
	pendingCompletions map[jackdawbridge.RequestID]*pendingCompletion           // at most maxPendingCompletions
	completionDue      heap.Heap[jackdawbridge.RequestID, jackdawbridge.Millis] // when to send each Completion again
	records            keyRecords                                               // of the ranges that this node holds

	revision         uint64                     // of the configuration from which dataCentres was read
	dataCentres      []jackdawbridge.DataCentre // sorted
	dataCentresSince jackdawbridge.Millis       // when this node last saw dataCentres change
}

func newAtMostOnce(r *Reducer) atMostOnce {
	return atMostOnce{
		r:                  r,
		pendingStarts:      make(map[jackdawbridge.RequestID]*pendingStart),
		pendingCompletions: make(map[jackdawbridge.RequestID]*pendingCompletion),
		records:            newKeyRecords(),
	}
}

// requestStart requests the holder of the key's range to record the start of a call. It
// calls calls.startAccepted or calls.startRefused, either before it returns or when
// the answer arrives.
func (p *atMostOnce) requestStart(call jackdawbridge.CallID, request jackdawbridge.RequestID, account jackdawbridge.AccountName, text string) {
	p.refreshDataCentres()
	key, err := parseIdempotencyKey(account, text)
	if err != nil || !key.validAt(p.r.now) || !p.validDataCentre(key.dataCentre) {
		p.r.calls.startRefused(call, jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
		return
	}
	p.pendingStarts[request] = &pendingStart{
		call: call, key: key, message: jackdawbridge.NewStartRequest(request, account, text), deadline: p.r.now + startTimeout,
	}
	p.sendStart(request)
}

// validDataCentre reports whether a key may name dc. An empty dc, that is, a key that
// names none, is valid once the data centres are known.
func (p *atMostOnce) validDataCentre(dc jackdawbridge.DataCentre) bool {
	if dc == "" {
		return len(p.dataCentres) > 0
	}
	return slices.Contains(p.dataCentres, dc)
}

// sendStart sends the StartRequest of a waiting call to the holder of the key's range,
// or refuses the call if it has waited for startTimeout.
func (p *atMostOnce) sendStart(request jackdawbridge.RequestID) {
	s := p.pendingStarts[request]
	if p.r.now >= s.deadline {
		p.r.fx.Log(jackdawbridge.PartOnce, "start refused: the key's home node did not record it in time").About(request, jackdawbridge.Node{})
		p.r.calls.startRefused(s.call, jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
		return
	}
	p.startDue.Set(request, min(p.r.now+startRetryInterval, s.deadline))
	holder, ok := p.r.authority.holder(s.key.homeDataCentre(p.dataCentres), s.key.rangeIndex())
	if !ok {
		return
	}
	if holder.Node() == p.r.self.Node() {
		p.applyResponse(s, p.recordStart(s.message))
		return
	}
	p.r.send(holder, s.message)
}

// startResponseReceived handles a StartResponse. It ignores a response that belongs to no
// waiting call.
func (p *atMostOnce) startResponseReceived(_ jackdawbridge.Peer, m *jackdawbridge.StartResponse) {
	if s, ok := p.pendingStarts[m.Request()]; ok && s.message.Key() == m.Key() {
		p.applyResponse(s, m)
	}
}

// applyResponse continues or refuses a call according to the answer to its StartRequest.
// If the node that answered does not hold the range any more, the call keeps waiting:
// the StartRequest is sent again later, when there may be a new holder.
func (p *atMostOnce) applyResponse(s *pendingStart, m *jackdawbridge.StartResponse) {
	refusal, refused := m.Refusal()
	switch {
	case !refused:
		p.removeStart(m.Request())
		p.r.calls.startAccepted(s.call)
	case refusal.Reason() == jackdawbridge.HomeUnreachable:
	default:
		p.r.fx.Log(jackdawbridge.PartOnce, "start refused by the key's home node").About(m.Request(), jackdawbridge.Node{}).Str("reason", refusal.Reason().String())
		p.r.calls.startRefused(s.call, refusal)
	}
}

func (p *atMostOnce) removeStart(request jackdawbridge.RequestID) {
	delete(p.pendingStarts, request)
	p.startDue.Remove(request)
}

// reportCompletion reports the outcome of a call to the holder of the range of its
// idempotency key. A call that still waits for its start to be recorded did not run.
func (p *atMostOnce) reportCompletion(request jackdawbridge.RequestID, account jackdawbridge.AccountName, text string, outcome jackdawbridge.Outcome, status int) {
	if _, waiting := p.pendingStarts[request]; waiting {
		p.removeStart(request)
		outcome = jackdawbridge.NotRun
	}
	key, err := parseIdempotencyKey(account, text)
	if err != nil || len(p.dataCentres) == 0 {
		return
	}
	e := &pendingCompletion{
		homeDataCentre: key.homeDataCentre(p.dataCentres), index: key.rangeIndex(),
		message: jackdawbridge.NewCompletion(request, account, text, outcome, status),
	}
	p.sendCompletion(e)
	if outcome == jackdawbridge.NotRun && len(p.pendingCompletions) < maxPendingCompletions {
		e.sendsLeft = completionResends
		p.pendingCompletions[request] = e
		p.completionDue.Set(request, p.r.now+completionInterval)
	}
}

func (p *atMostOnce) sendCompletion(e *pendingCompletion) {
	holder, ok := p.r.authority.holder(e.homeDataCentre, e.index)
	if !ok {
		return
	}
	if holder.Node() == p.r.self.Node() {
		p.recordCompletion(p.r.self, e.message)
		return
	}
	p.r.send(holder, e.message)
}

// startRequested answers a peer's request to record a start at this node.
func (p *atMostOnce) startRequested(from jackdawbridge.Peer, m *jackdawbridge.StartRequest) {
	p.refreshDataCentres()
	p.r.send(from, p.recordStart(m))
}

// recordStart records the start of a request if this node holds the key's range and no
// other request with the same key can have run before.
func (p *atMostOnce) recordStart(m *jackdawbridge.StartRequest) *jackdawbridge.StartResponse {
	refuse := func(refusal jackdawbridge.Refusal) *jackdawbridge.StartResponse {
		return jackdawbridge.NewStartRefused(m.Request(), m.Key(), refusal)
	}
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil || !key.validAt(p.r.now) {
		return refuse(jackdawbridge.NotRunRefusal(jackdawbridge.BadInput))
	}
	since, ok := p.r.authority.holds(key.rangeIndex())
	if !ok || !p.validDataCentre(key.dataCentre) || key.homeDataCentre(p.dataCentres) != p.r.self.DataCentre() {
		return refuse(jackdawbridge.UnknownRefusal(jackdawbridge.HomeUnreachable))
	}
	inDoubtUntil := since // keys created until this time may have been used at another holder
	if key.dataCentre == "" {
		// The home data centre of such a key changes with the list of data centres.
		inDoubtUntil = max(since, p.dataCentresSince)
	}
	refusal, refused := p.records.begin(key, hashRequest(m.Request()), inDoubtUntil+maxCallerSkew+maxNodeSkew)
	if refused {
		return refuse(refusal)
	}
	return jackdawbridge.NewStartAccepted(m.Request(), m.Key())
}

// recordCompletion records the outcome of a request whose start is recorded at this node.
func (p *atMostOnce) recordCompletion(_ jackdawbridge.Peer, m *jackdawbridge.Completion) {
	key, err := parseIdempotencyKey(m.Account(), m.Key())
	if err != nil {
		return
	}
	p.records.end(key, hashRequest(m.Request()), m.Outcome(), m.Status())
}

// gained drops the records that remain from an earlier period in which this node held the
// range. Another holder may have recorded more since, and keys created before the change
// of holder are in doubt anyway.
func (p *atMostOnce) gained(index int) { p.records.removeRange(index) }

// lost drops the records of a range that this node does not hold any more.
func (p *atMostOnce) lost(index int) { p.records.removeRange(index) }

// refreshDataCentres reads the data centres from the configuration in force, if its
// revision has changed.
func (p *atMostOnce) refreshDataCentres() {
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
		p.dataCentresSince = p.r.now
	}
}

func (p *atMostOnce) wake() jackdawbridge.Millis {
	wake := p.records.wake()
	if _, at, ok := p.startDue.Min(); ok {
		wake = min(wake, at)
	}
	if _, at, ok := p.completionDue.Min(); ok {
		wake = min(wake, at)
	}
	return wake
}

// tick resends the StartRequests and Completions that are due, and drops expired records.
func (p *atMostOnce) tick() {
	p.refreshDataCentres()
	p.records.expire(p.r.now)
	for {
		request, ok := p.startDue.PopUntil(p.r.now)
		if !ok {
			break
		}
		p.sendStart(request)
	}
	for {
		request, ok := p.completionDue.PopUntil(p.r.now)
		if !ok {
			return
		}
		p.resendCompletion(request)
	}
}

func (p *atMostOnce) resendCompletion(request jackdawbridge.RequestID) {
	e := p.pendingCompletions[request]
	p.sendCompletion(e)
	e.sendsLeft--
	if e.sendsLeft == 0 {
		delete(p.pendingCompletions, request)
		return
	}
	p.completionDue.Set(request, p.r.now+completionInterval)
}
