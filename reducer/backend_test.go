package reducer

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// fakeAttempt identifies an attempt of a call at its entry node.
type fakeAttempt struct {
	call    jackdawbridge.CallID
	attempt int
}

// fakeTarget identifies the run that an attempt caused at an upstream's node.
type fakeTarget struct {
	node *fakeNode
	id   jackdawbridge.CallID
}

// callEnded records the result of a call at its entry node, or passes it to the fake
// backend server that made the call.
func (n *fakeNode) callEnded(id jackdawbridge.CallID, end result) {
	if n.backend != nil && n.backend.childEnded(id, end) {
		delete(n.requests, id)
		return
	}
	if n.h.onResult != nil {
		end.request = n.requests[id].ID()
		n.h.onResult(n, id, end)
	}
	if n.h.withoutTrace {
		delete(n.requests, id)
		return
	}
	n.h.results[n.requests[id].ID()] = end
}

func (n *fakeNode) run(e *jackdawbridge.Run) {
	id := e.Call()
	u := n.runs[id]
	request := u.request
	if n.backend != nil {
		n.backend.start(id, request, e.Token())
		return
	}
	if n.h.onRun != nil && n.h.onRun(n, id, e.Token()) {
		return
	}
	n.h.executions = append(n.h.executions, execution{
		at: n.h.now, node: n.name, request: u.envelope.ID(), account: u.envelope.Account(),
		idempotency: request.IdempotencyKey(), idempotent: u.envelope.Idempotent(),
	})
	n.h.after(n.serviceTime, func() {
		if u.ended || !n.alive {
			return
		}
		if n.resets {
			n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
				return jackdawbridge.NewRunFinished(at, id, jackdawbridge.Unknown, 0)
			})
			return
		}
		if strings.Contains(request.Path()+"?"+request.Query(), "poison") {
			n.crash()
			return
		}
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewRunAnswered(at, id, 200).WithLoad(n.load)
		})
	})
}

func (n *fakeNode) deliver(e *jackdawbridge.Deliver) {
	if u, ok := n.runs[e.Call()]; ok {
		id, feedback := e.Call(), e.Feedback()
		u.ended = true
		delete(n.runs, id)
		n.h.after(n.hopDelay(), func() {
			delete(u.origin.attempts, fakeAttempt{u.call, u.attempt})
			u.origin.status = u.status
			u.origin.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
				return jackdawbridge.NewAttemptAnswered(at, u.call, u.attempt, u.status, feedback)
			})
		})
		n.h.after(n.transferTime, func() {
			n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
				return jackdawbridge.NewRunFinished(at, id, jackdawbridge.Served, u.status)
			})
		})
		return
	}
	id := e.Call()
	n.callEnded(id, result{at: n.h.now, served: true, status: n.status})
	n.h.after(0, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewCallFinished(at, id, true) })
	})
}

func (n *fakeNode) refuse(e *jackdawbridge.Refuse) {
	if u, ok := n.runs[e.Call()]; ok {
		u.ended = true
		delete(n.runs, e.Call())
		if r := e.Refusal().Reason(); n.backend != nil && e.Refusal().Outcome() == jackdawbridge.NotRun &&
			(r == jackdawbridge.Overloaded || r == jackdawbridge.DeadlinePassed) {
			n.backend.onRefused(u.envelope.Service(), u.envelope.ID())
		}
		refusal, feedback := e.Refusal(), e.Feedback()
		n.h.after(n.hopDelay(), func() { u.origin.attemptFailed(u.call, u.attempt, refusal, feedback, false) })
		return
	}
	if r := e.Refusal().Reason(); r == jackdawbridge.NoUpstream || r == jackdawbridge.UpstreamsFull {
		n.reportAdmission(e.Call())
	}
	n.callEnded(e.Call(), result{at: n.h.now, refusal: e.Refusal()})
}

func (n *fakeNode) cancel(e *jackdawbridge.Cancel) {
	if u, ok := n.runs[e.Call()]; ok {
		u.ended = true
		if n.backend != nil {
			n.backend.abandon(e.Call())
		}
		return
	}
	target, ok := n.attempts[fakeAttempt{e.Call(), e.Attempt()}]
	if !ok {
		return
	}
	delete(n.attempts, fakeAttempt{e.Call(), e.Attempt()})
	n.h.after(linkDelay, func() {
		target.node.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewCallCancelled(at, target.id)
		})
	})
}

// withdraw reports to the nodes of the attempts in progress that they are withdrawn.
func (n *fakeNode) withdraw() {
	for _, target := range n.attempts {
		n.h.after(linkDelay+n.h.messageDelays[[2]string{n.name, target.node.name}], func() {
			if n.h.reaches(n.name, target.node.name) {
				target.node.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
					return jackdawbridge.NewForwardWithdrawn(at, target.id)
				})
			}
		})
	}
}

// hop is one step in the chain of calls of a request kind: the service, how long its
// backend server works on a call without overload, and the number of calls in a row.
type hop struct {
	service jackdawbridge.ServiceName
	work    jackdawbridge.Millis
	times   int
}

// thrashExponent is the exponent by which work slows down in a backend server with
// more runs than slots. It is above 1, so that overload lowers throughput: with twice
// as many runs as slots the throughput is 1/sqrt(2) of the full one.
const thrashExponent = 1.5

// naiveAttempts is the number of attempts of a call that a backend server without a
// control layer makes.
const naiveAttempts = 3

// fakeBackend is a backend server with slots. It does half of the work of a run,
// then makes the call to the next service of the chain, if there is one, and does
// the other half after the answer.
type fakeBackend struct {
	n         *fakeNode
	random    *rand.Rand
	chains    map[string][]hop // by path
	slots     int              // real slots, which may differ from those announced
	slowdown  float64          // factor by which all work takes longer
	naive     bool             // makes up to naiveAttempts attempts of its calls
	open      bool             // names the request instead of the token in its calls
	reports   bool             // reports its load
	onStart   func(jackdawbridge.ServiceName, jackdawbridge.Level)
	onRefused func(jackdawbridge.ServiceName, jackdawbridge.RequestID)
	rejects   float64                       // part of the runs that are rejected
	running   int                           // runs in progress
	jobs      map[jackdawbridge.CallID]*job // by run
	children  map[jackdawbridge.CallID]*job // by the call that the job is waiting for
}

// job is one run at a fake backend server.
type job struct {
	run      jackdawbridge.CallID
	request  *jackdawbridge.Request
	token    jackdawbridge.Token // sent with the call to the next service
	hops     []hop               // remaining hops, beginning with this run's
	attempts int                 // attempts of the call to the next service
	made     int                 // calls to the next service that were served
	ended    bool
	child    jackdawbridge.CallID // last attempt of that call
}

// start begins to work on a run.
func (b *fakeBackend) start(id jackdawbridge.CallID, request *jackdawbridge.Request, token jackdawbridge.Token) {
	if b.rejects > 0 && b.random.Float64() < b.rejects {
		b.n.h.after(1, func() {
			b.n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
				return jackdawbridge.NewRunRejected(at, id, jackdawbridge.BackendFull)
			})
		})
		return
	}
	hops := b.chains[request.Path()]
	envelope := b.n.runs[id].envelope
	depth := envelope.Depth()
	b.onStart(envelope.Service(), jackdawbridge.Rank(envelope.Criticality(), envelope.PaidPriority()))
	j := &job{run: id, request: request, token: token, hops: hops[depth:]}
	b.jobs[id] = j
	b.running++
	b.work(j, func() { b.callNext(j) })
}

// work runs the function then when half of a job's work is done, unless the job has
// ended or the node has been killed by that time.
func (b *fakeBackend) work(j *job, then func()) {
	load := max(float64(b.running)/float64(b.slots), 1)
	// The conversions round each product, so that processors that fuse it with a sum
	// give the recorded results too.
	span := float64(j.hops[0].work) / 2 * b.slowdown * math.Pow(load, thrashExponent) * (0.7 + float64(0.6*b.random.Float64()))
	b.n.h.after(max(jackdawbridge.Millis(float64(span)+0.5), 1), func() {
		if !j.ended && b.n.alive {
			then()
		}
	})
}

// callNext calls the next service of the job's chain, or answers after the second
// half of the work if there is none.
func (b *fakeBackend) callNext(j *job) {
	if len(j.hops) == 1 {
		b.work(j, func() { b.answer(j, 200) })
		return
	}
	j.attempts++
	request := jackdawbridge.NewRequest(j.request.ID(), j.hops[1].service, "POST", j.request.Path(), j.request.Budget())
	if b.open {
		request.WithMaybeInternal(j.request.ID())
	} else {
		request.WithToken(j.token)
	}
	b.n.h.nextCall++
	id := b.n.h.nextCall
	j.child = id
	b.children[id] = j
	b.n.requests[id] = request
	b.n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
		return jackdawbridge.NewCallArrived(at, id, request)
	})
}

// childEnded continues the job that made a call which has ended. It returns false if
// no job made the call.
func (b *fakeBackend) childEnded(id jackdawbridge.CallID, end result) bool {
	j, ok := b.children[id]
	if !ok {
		return false
	}
	delete(b.children, id)
	if j.ended {
		return true
	}
	// The next event must not be applied inside the current Apply.
	b.n.h.after(0, func() {
		switch {
		case j.ended || !b.n.alive:
		case end.served && end.status == 200 && j.made+1 < j.hops[1].times:
			j.made++
			b.callNext(j)
		case end.served && end.status == 200:
			b.work(j, func() { b.answer(j, 200) })
		case b.naive && j.attempts < naiveAttempts:
			b.callNext(j)
		default:
			b.answer(j, 503)
		}
	})
	return true
}

func (b *fakeBackend) answer(j *job, status int) {
	b.endJob(j)
	b.n.runs[j.run].status = status
	b.n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
		return jackdawbridge.NewRunAnswered(at, j.run, status).WithLoad(b.load())
	})
}

// load returns the load that the backend server reports, zero if it reports none.
func (b *fakeBackend) load() jackdawbridge.BackendLoad {
	if !b.reports {
		return jackdawbridge.BackendLoad{}
	}
	load, _ := jackdawbridge.NewBackendLoad(b.running, 0, b.slots, jackdawbridge.UsualPace)
	return load
}

// abandon ends a run that the node has cancelled.
func (b *fakeBackend) abandon(id jackdawbridge.CallID) {
	if j, ok := b.jobs[id]; ok {
		b.endJob(j)
	}
}

func (b *fakeBackend) endJob(j *job) {
	if !j.ended {
		j.ended = true
		b.running--
		delete(b.jobs, j.run)
	}
}
