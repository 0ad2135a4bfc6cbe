package reducer

import (
	"encoding/binary"
	"net/http"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// expireInterval is the time between two searches for waiting requests that
	// cannot meet their deadlines.
	expireInterval = 20 * jackdawbridge.Millis(1)
	// minTimeLeft is the time that every waiting request must have left before its
	// deadline. The time that its class needs is checked when the request leaves the
	// queue.
	minTimeLeft = 2 * jackdawbridge.Millis(1)
	// runTimeWeight is the divisor of the exponential average of run times: each new
	// run counts for 1/32.
	runTimeWeight = 32
	// requiredPart is the part of the typical run time of its class that a request
	// must have left to be run. Runs of a class differ in length; requiring the whole
	// time would drop short ones.
	requiredPart = 0.8
	// runTimeHalfLife is the time without runs of a class in which its typical run
	// time halves. Without this decay a class whose requests are all refused for lack
	// of time would never run again.
	runTimeHalfLife = jackdawbridge.Second
)

// runTime is the typical run time of a class, an exponential average.
type runTime struct {
	ms float64
	at jackdawbridge.Millis // time of the last update
}

// required returns the time that a request of the class must have left to be run.
func (p *runTime) required(now jackdawbridge.Millis) jackdawbridge.Millis {
	return jackdawbridge.Millis(p.ms*requiredPart) >> min((now-p.at)/runTimeHalfLife, 32)
}

// update adds the run time of an ended run to the average.
func (p *runTime) update(now, span jackdawbridge.Millis, dropped bool) {
	// A dropped run was not served to its end, which would have taken at least span,
	// so it counts only if span is not below the average.
	if dropped && float64(span) < p.ms {
		return
	}
	p.ms += (float64(span) - p.ms) / runTimeWeight
	p.at = now
}

// class returns the index of the class of a request: the requests of the same
// criticality and call depth.
func (u *run) class() int {
	return int(u.envelope.Criticality())*(jackdawbridge.MaxDepth+1) + u.envelope.Depth()
}

// runTime returns the typical run time of the class of a request.
func (p *runs) runTime(u *run) *runTime {
	return &p.runTimes[u.class()]
}

// canStartNow reports whether a new request may run without waiting in the queue.
func (p *runs) canStartNow(u *run) bool {
	return p.queue.Len() == 0 && p.nextExclusive == nil && !u.envelope.Exclusive() && p.hasSlot(u)
}

// hasSlot reports whether a request may start now. While an exclusive request runs,
// only calls of the same request start.
func (p *runs) hasSlot(u *run) bool {
	if p.exclusive != nil && p.exclusive.envelope.ID() != u.envelope.ID() {
		return false
	}
	return p.running < p.limiter.Limit()
}

// dispatch sends waiting requests to the backend server while it has free slots, or
// refuses them all once the backend server gets no more.
func (p *runs) dispatch() {
	p.expire()
	if p.r.drain.refusesRuns() {
		p.refuseWaiting(jackdawbridge.Draining)
		return
	}
	for {
		if p.nextExclusive != nil {
			if !p.noOtherRunning(p.nextExclusive) {
				return
			}
			u := p.nextExclusive
			p.nextExclusive = nil
			p.exclusive = u
			p.launch(u)
			continue
		}
		if p.exclusive != nil || p.running >= p.limiter.Limit() {
			return
		}
		w, ok := p.queue.Pop(p.r.now)
		if !ok {
			return
		}
		u := p.active[w.Call()]
		if u.deadline-p.r.now < p.runTime(u).required(p.r.now) {
			p.refuse(u, jackdawbridge.NotRunRefusal(jackdawbridge.DeadlinePassed))
			continue
		}
		if u.envelope.Exclusive() {
			p.r.fx.Log(jackdawbridge.PartAdmit, "request suspected of crashing a backend server waits until nothing else runs").About(u.envelope.ID(), p.r.self.Node()).Int("running", int64(p.running))
			p.nextExclusive = u
			continue
		}
		p.launch(u)
	}
}

// noOtherRunning reports whether no other request is running. Calls made for the
// same request carry its ID and do not count.
func (p *runs) noOtherRunning(u *run) bool {
	for _, other := range p.tokens {
		if other.envelope.ID() != u.envelope.ID() {
			return false
		}
	}
	return true
}

// launch sends a request to the backend server under a new random token.
func (p *runs) launch(u *run) {
	p.running++
	u.state = runRunning
	u.began = p.r.now
	u.inFlight = p.running
	p.tries.Arrive(p.r.now, u.envelope.Repeated())
	binary.LittleEndian.PutUint64(u.token[:8], p.r.random.Uint64())
	binary.LittleEndian.PutUint64(u.token[8:], p.r.random.Uint64())
	p.tokens[u.token] = u
	p.requests[u.envelope.ID()] = u
	p.r.fx.Run(u.id, u.token, u.deadline-p.r.now, p.r.drain.sendWithin())
	text := "request sent to the backend server"
	if p.r.drain.drainingSince != 0 {
		text = "request sent to the draining backend server"
	}
	p.r.fx.Log(jackdawbridge.PartAdmit, text).About(u.envelope.ID(), p.r.self.Node()).Duration("waited_ms", p.r.now-u.arrived).
		Int("running", int64(p.running)).Int("limit", int64(p.limiter.Limit())).Duration("left_ms", u.deadline-p.r.now).
		Duration("draining_ms", p.r.drain.elapsed())
}

// removeWaiting removes a request from the queue, or from its wait for exclusive
// execution.
func (p *runs) removeWaiting(u *run) {
	if p.nextExclusive == u {
		p.nextExclusive = nil
		return
	}
	p.queue.Remove(u.id)
}

// expire refuses the waiting requests that cannot meet their deadlines and those
// that have waited too long in a standing queue.
func (p *runs) expire() {
	for {
		w, ok := p.queue.Expire(p.r.now, minTimeLeft)
		if !ok {
			return
		}
		reason := jackdawbridge.Overloaded
		if w.Deadline()-p.r.now < minTimeLeft {
			reason = jackdawbridge.DeadlinePassed
		}
		p.refuse(p.active[w.Call()], jackdawbridge.NotRunRefusal(reason))
	}
}

// observe reports an ended run to the limiter and adds its time to the typical run
// time of its class. The limiter's sample leaves out the time during which the run
// waited for calls that it made, because that does not depend on the load of this
// backend server. A run with an error answer is ignored, because the error ends the
// work early.
func (p *runs) observe(u *run, dropped bool) {
	if u.status >= http.StatusInternalServerError {
		return
	}
	elapsed := p.r.now - u.began
	p.limiter.Observe(p.r.now, jackdawbridge.NewSample(max(elapsed-u.childTime, 0), u.inFlight, dropped).WithClass(u.envelope.Criticality(), u.envelope.Depth()))
	p.runTime(u).update(p.r.now, elapsed, dropped)
	if !dropped {
		p.gate.Done(elapsed - u.childTime)
	}
}

// level returns the admission level to report with the answer to a request: the
// highest of this node's level and those of the services that the request called.
// Calls that name neither the token nor the ID of a running request cannot be
// assigned to one, so their level counts for every request that the backend server
// runs.
func (p *runs) level(u *run) jackdawbridge.Level {
	unlinked := jackdawbridge.Level(p.unlinkedLevel.current(p.r.now) / levelUnit)
	return max(p.queue.Level(p.r.now), u.level, unlinked)
}

// feedback returns the load report for the entry node that accompanies the answer
// to a request, or its refusal.
func (p *runs) feedback(u *run, level jackdawbridge.Level, unused int) jackdawbridge.Feedback {
	until, busy := p.r.now, p.running+p.queue.Len()
	if u.state != runWaiting {
		until = u.began
		busy-- // the request itself
	}
	occupancy := jackdawbridge.NewOccupancy(busy, p.limiter.Limit())
	return jackdawbridge.NewFeedback(level, unused).WithOccupancy(occupancy, until-u.arrived).WithUsage(p.usage(u))
}

// byToken returns the run that a call of the backend server belongs to.
func (p *runs) byToken(token jackdawbridge.Token) (*run, bool) {
	u, ok := p.tokens[token]
	return u, ok
}

// attach adds a call of the backend server to its run.
func (p *runs) attach(u *run, c *call) {
	if u.children == 0 {
		u.childrenSince = p.r.now
	}
	u.children++
	c.next = u.firstChild
	if c.next != nil {
		c.next.previous = c
	}
	u.firstChild = c
}

// detach removes an ended call from its run and returns the unused retries to the
// run.
func (p *runs) detach(c *call) {
	u, ok := p.active[c.parent]
	if !ok {
		return
	}
	if c.previous == nil {
		u.firstChild = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	}
	c.next, c.previous = nil, nil
	u.children--
	if u.children == 0 {
		u.childTime += p.r.now - u.childrenSince
	}
	// An answered run has already returned its retries to the entry node.
	if c.inheritedRetries && u.state == runRunning {
		u.allowance += c.allowance
	}
}
