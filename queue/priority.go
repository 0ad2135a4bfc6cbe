package queue

import (
	"math/bits"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/admission"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxFlows bounds the pairs of account and rank that have a flow each. Further
	// accounts of a rank share one flow.
	maxFlows = 256
	// waitPerRank is how long a call may wait in a standing queue for each step of
	// its rank. A longer wait uses up the time that the calls further down the chain
	// need. Critical calls wait until their deadline: with a limit of 600 to 1000 ms,
	// one node shed them while another admitted calls of lower rank.
	waitPerRank = 100 * jackdawbridge.Millis(1)
	// stagesPerLimit is the number of stages that add the wait of stage 0 once more.
	stagesPerLimit = 4
	// minCriticalRank is the lowest rank of critical calls.
	minCriticalRank = int(jackdawbridge.CriticalRank)
)

const (
	ranks  = int(jackdawbridge.MaxRank) + 1
	depths = jackdawbridge.MaxDepth + 1
	// stages is the number of steps of progress of a tree that are distinguished.
	stages = admission.MaxLeft + 1
	none   = int32(-1)
)

// entry is an element of Priority.entries: a waiting call, linked to others by index.
type entry struct {
	call       jackdawbridge.QueuedCall
	flow       int32 // index in flows
	prev, next int32 // among the calls of the same flow and depth
	older      int32 // among the calls of the same rank and stage, by arrival
	newer      int32
}

// list holds the ends of a doubly linked list of entries, both none if it is empty.
type list struct{ head, tail int32 }

// flowKey identifies the flow of an account and rank.
type flowKey struct {
	account jackdawbridge.AccountName
	rank    jackdawbridge.Level
}

// flow holds the waiting calls of one account and rank.
type flow struct {
	key         flowKey
	virtualTime int64 // cost of the calls served, raised to that of the rank when the flow becomes active
	length      int   // calls in the flow
	cost        int64 // sum over the calls in the flow
	depths      [depths]list
	mask        uint16 // bit set of the depths that have calls
	shared      bool   // used by all accounts of the rank that have no flow of their own
}

// rankState holds the active flows of a rank, and its calls by stage and arrival.
type rankState struct {
	active      []int32      // flows with calls
	virtualTime int64        // virtual time of the flow that was served last
	ages        [stages]list // heads are the oldest calls
	mask        uint32       // bit set of the stages that have calls
}

// Priority orders calls by rank, then by fair queueing by cost between their accounts, then
// by depth, deeper first, then by arrival. It does not allocate once its maps and slices have
// grown.
type Priority struct {
	size      int
	length    int // at most size
	entries   []entry
	free      []int32                        // unused entries
	index     map[jackdawbridge.CallID]int32 // entry of each call
	deadlines heap.Heap[jackdawbridge.CallID, jackdawbridge.Millis]
	flows     []flow            // the shared flow of each rank, then those of accounts
	flowIndex map[flowKey]int32 // index in flows of each account's flow
	idleFlows []int32           // account flows that became idle, the last reused first; some may have calls again
	ranks     [ranks]rankState
	mask      uint16 // bit set of the ranks that have calls
	standing  standing
}

// NewPriority returns a queue for up to size calls.
func NewPriority(size int) *Priority {
	size = max(size, 1)
	q := &Priority{
		size: size, entries: make([]entry, size), free: make([]int32, 0, size),
		index: make(map[jackdawbridge.CallID]int32, size), flows: make([]flow, 0, ranks+maxFlows),
		flowIndex: make(map[flowKey]int32, maxFlows),
	}
	for i := range size {
		q.free = append(q.free, int32(size-1-i))
	}
	for rank := range ranks {
		for i := range q.ranks[rank].ages {
			q.ranks[rank].ages[i] = list{none, none}
		}
		q.flows = append(q.flows, newFlow(flowKey{rank: jackdawbridge.Level(rank)}, true))
	}
	return q
}

func newFlow(key flowKey, shared bool) flow {
	f := flow{key: key, shared: shared}
	for i := range f.depths {
		f.depths[i] = list{none, none}
	}
	return f
}

// Push adds a call. When the queue is full, it sheds the least important call, which may be
// c, and returns that call and true. The least important call is one of the lowest rank, of
// the account whose waiting calls in that rank cost most, of the smallest depth, and the newest of
// these.
func (q *Priority) Push(at jackdawbridge.Millis, c jackdawbridge.QueuedCall) (jackdawbridge.QueuedCall, bool) {
	q.standing.advance(at, q.length)
	var shed jackdawbridge.QueuedCall
	full := q.length >= q.size
	if full {
		i := q.leastImportant(c)
		if i == none {
			return c, true
		}
		shed = q.entries[i].call
		q.remove(i)
	}
	q.add(c)
	return shed, full
}

// leastImportant returns the entry to shed for the new call c, or none if c itself is the
// least important.
func (q *Priority) leastImportant(c jackdawbridge.QueuedCall) int32 {
	lowest := jackdawbridge.Level(bits.TrailingZeros16(q.mask))
	if c.Rank() < lowest {
		return none
	}
	heaviest, cost := none, int64(0)
	for _, f := range q.ranks[lowest].active {
		sum := q.flows[f].cost
		if c.Rank() == lowest && q.flows[f].key.account == c.Account() {
			sum += int64(c.Cost())
		}
		if sum > cost {
			heaviest, cost = f, sum
		}
	}
	f := &q.flows[heaviest]
	shallowest := bits.TrailingZeros16(f.mask)
	if c.Rank() == lowest && f.key.account == c.Account() && c.Depth() <= shallowest {
		return none
	}
	return f.depths[shallowest].tail
}

// flowOf returns the flow of a call: that of its account and rank, or the shared one of the
// rank if no further account can have one.
func (q *Priority) flowOf(c jackdawbridge.QueuedCall) int32 {
	key := flowKey{c.Account(), c.Rank()}
	if f, ok := q.flowIndex[key]; ok {
		return f
	}
	switch {
	case len(q.flows) < cap(q.flows):
		q.flows = append(q.flows, newFlow(key, false))
		f := int32(len(q.flows) - 1)
		q.flowIndex[key] = f
		return f
	case len(q.idleFlows) > 0:
		f := q.popIdleFlow()
		if f == none {
			break
		}
		delete(q.flowIndex, q.flows[f].key)
		q.flows[f].key, q.flows[f].virtualTime = key, 0
		q.flowIndex[key] = f
		return f
	}
	return int32(c.Rank())
}

// popIdleFlow removes and returns an idle flow without calls, or returns none.
func (q *Priority) popIdleFlow() int32 {
	for len(q.idleFlows) > 0 {
		f := q.idleFlows[len(q.idleFlows)-1]
		q.idleFlows = q.idleFlows[:len(q.idleFlows)-1]
		if q.flows[f].length == 0 {
			return f
		}
	}
	return none
}

// add adds a call to its flow. There must be a free entry.
func (q *Priority) add(c jackdawbridge.QueuedCall) {
	i := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	n := q.flowOf(c)
	f, rank := &q.flows[n], &q.ranks[c.Rank()]
	if f.length == 0 {
		// An account gains no credit for the time in which it had no calls.
		f.virtualTime = max(f.virtualTime, rank.virtualTime)
		rank.active = append(rank.active, n)
		q.mask |= 1 << c.Rank()
	}
	f.length++
	f.cost += int64(c.Cost())
	d, ages := &f.depths[c.Depth()], &rank.ages[stage(c)]
	q.entries[i] = entry{call: c, flow: n, prev: d.tail, next: none, older: ages.tail, newer: none}
	if d.tail == none {
		d.head = i
		f.mask |= 1 << c.Depth()
	} else {
		q.entries[d.tail].next = i
	}
	d.tail = i
	if ages.tail == none {
		ages.head = i
		rank.mask |= 1 << stage(c)
	} else {
		q.entries[ages.tail].newer = i
	}
	ages.tail = i
	q.index[c.Call()] = i
	q.deadlines.Set(c.Call(), c.Deadline())
	q.length++
}

// remove removes an entry from its flow and frees it.
func (q *Priority) remove(i int32) {
	e := &q.entries[i]
	c := e.call
	f := &q.flows[e.flow]
	d := &f.depths[c.Depth()]
	q.unlink(i, d)
	if d.head == none {
		f.mask &^= 1 << c.Depth()
	}
	f.length--
	f.cost -= int64(c.Cost())
	if f.length == 0 {
		q.deactivate(e.flow, c.Rank())
	}
	delete(q.index, c.Call())
	q.deadlines.Remove(c.Call())
	*e = entry{}
	q.free = append(q.free, i)
	q.length--
	if q.length == 0 {
		q.standing.wasEmpty = true
	}
}

// unlink removes an entry from the list of its flow and depth and from that of its rank.
func (q *Priority) unlink(i int32, d *list) {
	e := &q.entries[i]
	rank := &q.ranks[e.call.Rank()]
	ages := &rank.ages[stage(e.call)]
	if e.prev == none {
		d.head = e.next
	} else {
		q.entries[e.prev].next = e.next
	}
	if e.next == none {
		d.tail = e.prev
	} else {
		q.entries[e.next].prev = e.prev
	}
	if e.older == none {
		ages.head = e.newer
	} else {
		q.entries[e.older].newer = e.newer
	}
	if e.newer == none {
		ages.tail = e.older
	} else {
		q.entries[e.newer].older = e.older
	}
	if ages.head == none {
		rank.mask &^= 1 << stage(e.call)
	}
}

// deactivate removes a flow without calls from the active flows of its rank.
func (q *Priority) deactivate(n int32, rank jackdawbridge.Level) {
	r := &q.ranks[rank]
	for j, other := range r.active {
		if other == n {
			last := len(r.active) - 1
			r.active[j] = r.active[last]
			r.active = r.active[:last]
			break
		}
	}
	if len(r.active) == 0 {
		q.mask &^= 1 << rank
	}
	if !q.flows[n].shared && len(q.idleFlows) < maxFlows {
		q.idleFlows = append(q.idleFlows, n)
	}
}

// Pop removes and returns the most important call.
func (q *Priority) Pop(at jackdawbridge.Millis) (jackdawbridge.QueuedCall, bool) {
	q.standing.advance(at, q.length)
	if q.length == 0 {
		return jackdawbridge.QueuedCall{}, false
	}
	rank := bits.Len16(q.mask) - 1
	r := &q.ranks[rank]
	best := r.active[0]
	for _, f := range r.active[1:] {
		if q.flows[f].virtualTime < q.flows[best].virtualTime {
			best = f
		}
	}
	f := &q.flows[best]
	r.virtualTime = f.virtualTime
	i := f.depths[bits.Len16(f.mask)-1].head
	c := q.entries[i].call
	f.virtualTime += int64(c.Cost())
	q.remove(i)
	q.standing.admitted(c.Rank())
	return c, true
}

// Expire removes and returns a call that has less than minTimeLeft until its deadline, or
// that has waited too long in a standing queue.
func (q *Priority) Expire(at, minTimeLeft jackdawbridge.Millis) (jackdawbridge.QueuedCall, bool) {
	q.standing.advance(at, q.length)
	if q.length == 0 {
		return jackdawbridge.QueuedCall{}, false
	}
	if call, deadline, _ := q.deadlines.Min(); deadline-at < minTimeLeft {
		return q.take(q.index[call]), true
	}
	if !q.standing.on {
		return jackdawbridge.QueuedCall{}, false
	}
	for mask := q.mask; mask != 0; mask &= mask - 1 {
		rank := bits.TrailingZeros16(mask)
		if rank >= minCriticalRank {
			break
		}
		if i := q.overdue(at, rank); i != none {
			return q.take(i), true
		}
	}
	return jackdawbridge.QueuedCall{}, false
}

// overdue returns a call of a rank that has waited too long, of the least progress, or none.
func (q *Priority) overdue(at jackdawbridge.Millis, rank int) int32 {
	r := &q.ranks[rank]
	for mask := r.mask; mask != 0; mask &= mask - 1 {
		stage := bits.TrailingZeros32(mask)
		if i := r.ages[stage].head; at-q.entries[i].call.Arrived() > standingWaitLimit(rank, stage) {
			return i
		}
	}
	return none
}

// stage returns how far the tree of a call has come: 0 for a caller's request and for calls
// of which nothing is known, and more for those that have fewer calls after them.
func stage(c jackdawbridge.QueuedCall) int {
	if c.Depth() == 0 {
		return 0
	}
	return admission.MaxLeft - admission.Left(c.Precedence())
}

// standingWaitLimit returns how long a call of a rank below critical may wait in a
// standing queue. Calls of trees near their end wait longer, so that the
// trees that are refused are those that have cost the least.
func standingWaitLimit(rank, stage int) jackdawbridge.Millis {
	limit := waitPerRank * jackdawbridge.Millis(rank)
	return limit + limit*jackdawbridge.Millis(stage)/stagesPerLimit
}

// take removes an entry and returns its call.
func (q *Priority) take(i int32) jackdawbridge.QueuedCall {
	c := q.entries[i].call
	q.remove(i)
	return c
}

// Remove removes a call and reports whether it was waiting.
func (q *Priority) Remove(call jackdawbridge.CallID) bool {
	i, ok := q.index[call]
	if ok {
		q.remove(i)
	}
	return ok
}

// Len returns how many calls wait.
func (q *Priority) Len() int { return q.length }

// Level returns the lowest rank that was admitted recently if the queue is a standing
// one, and 0 if it is not.
func (q *Priority) Level(at jackdawbridge.Millis) jackdawbridge.Level {
	q.standing.advance(at, q.length)
	return q.standing.level()
}
