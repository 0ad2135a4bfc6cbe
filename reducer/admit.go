package reducer

import (
	"encoding/binary"
	"net/http"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// expireInterval is the time between two looks for waiting requests that
	// cannot meet their deadlines.
	expireInterval = 20 * jackdawbridge.Millis(1)
	// leastNeed is the time that any request must have left. The time that its
	// class needs is looked at when its turn comes.
	leastNeed = 2 * jackdawbridge.Millis(1)
	// typicalWeight is how slowly the typical time of a run follows new runs.
	typicalWeight = 32
	// needPart is the part of the typical time of its class that a request must
	// have left to be run. Runs of a class differ; the whole time would drop
	// short ones.
	needPart = 0.8
	// typicalLife is the time without runs of a class after which half of its
	// typical time is believed. Without it a class whose runs all came too late
	// would never be tried again.
	typicalLife = jackdawbridge.Second
)

// pace is the smoothed time of the runs of a class.
type pace struct {
	ms float64
	at jackdawbridge.Millis
}

// need returns the time that a request of a class must have left.
func (p *pace) need(now jackdawbridge.Millis) jackdawbridge.Millis {
	return jackdawbridge.Millis(p.ms*needPart) >> min((now-p.at)/typicalLife, 32)
}

// learn takes note of a run.
func (p *pace) learn(now, span jackdawbridge.Millis, cut bool) {
	// A run that was cut short took at least that long.
	if cut && float64(span) < p.ms {
		return
	}
	p.ms += (float64(span) - p.ms) / typicalWeight
	p.at = now
}

// pace returns the pace of the runs that do the same work as a request.
func (p *runs) pace(u *run) *pace {
	return &p.paces[int(u.envelope.Criticality())*(jackdawbridge.MaxDepth+1)+u.envelope.Depth()]
}

// direct reports whether a request may run without waiting.
func (p *runs) direct(u *run) bool {
	return p.queue.Len() == 0 && p.held == nil && !u.envelope.Alone() && p.room(u)
}

// room reports whether a request may start now. While a request runs alone
// only the calls that belong to it start.
func (p *runs) room(u *run) bool {
	if p.solo != nil && p.solo.envelope.ID() != u.envelope.ID() {
		return false
	}
	return p.running < p.limiter.Limit()
}

// pump hands waiting requests to the backend server while it has room.
func (p *runs) pump() {
	p.expire()
	for {
		if p.held != nil {
			if !p.lonely(p.held) {
				return
			}
			u := p.held
			p.held = nil
			p.solo = u
			p.launch(u)
			continue
		}
		if p.solo != nil || p.running >= p.limiter.Limit() {
			return
		}
		w, ok := p.queue.Pop(p.r.now)
		if !ok {
			return
		}
		u := p.active[w.Call()]
		if p.r.drain.refuses() {
			p.refuse(u, jackdawbridge.NotRunRefusal(jackdawbridge.Draining))
			continue
		}
		if u.deadline-p.r.now < p.pace(u).need(p.r.now) {
			p.refuse(u, jackdawbridge.NotRunRefusal(jackdawbridge.DeadlinePassed))
			continue
		}
		if u.envelope.Alone() {
			p.r.fx.Log(jackdawbridge.PartAdmit, "waits to run alone").About(u.envelope.ID(), p.r.self.Node()).Int("running", int64(p.running))
			p.held = u
			continue
		}
		p.launch(u)
	}
}

// lonely reports whether nothing runs but what the same request has caused.
func (p *runs) lonely(u *run) bool {
	for _, other := range p.tokens {
		if other.envelope.ID() != u.envelope.ID() {
			return false
		}
	}
	return true
}

// launch hands a request to the backend server.
func (p *runs) launch(u *run) {
	p.running++
	u.state = runRunning
	u.began = p.r.now
	u.inFlight = p.running
	binary.LittleEndian.PutUint64(u.token[:8], p.r.random.Uint64())
	binary.LittleEndian.PutUint64(u.token[8:], p.r.random.Uint64())
	p.tokens[u.token] = u
	p.requests[u.envelope.ID()] = u
	p.r.fx.Run(u.id, u.token, u.deadline-p.r.now)
	p.r.fx.Log(jackdawbridge.PartAdmit, "runs").About(u.envelope.ID(), p.r.self.Node()).Span("waited_ms", p.r.now-u.arrived).
		Int("running", int64(p.running)).Int("limit", int64(p.limiter.Limit())).Span("left_ms", u.deadline-p.r.now)
}

// unqueue takes a request out of the queue, or out of its wait to run alone.
func (p *runs) unqueue(u *run) {
	if p.held == u {
		p.held = nil
		return
	}
	p.queue.Remove(u.id)
}

// expire refuses the waiting requests that cannot meet their deadlines, and
// those that have waited too long in a standing queue.
func (p *runs) expire() {
	for {
		w, ok := p.queue.Expire(p.r.now, leastNeed)
		if !ok {
			return
		}
		reason := jackdawbridge.Overloaded
		if w.Deadline()-p.r.now < leastNeed {
			reason = jackdawbridge.DeadlinePassed
		}
		p.refuse(p.active[w.Call()], jackdawbridge.NotRunRefusal(reason))
	}
}

// observe tells the limiter of a run that ended. The time in which the run
// waited for its own calls says nothing of this backend server, and neither
// does the time of an error answer, which cuts the work short.
func (p *runs) observe(u *run, dropped bool) {
	if u.status >= http.StatusInternalServerError {
		return
	}
	whole := p.r.now - u.began
	p.limiter.Observe(p.r.now, jackdawbridge.NewSample(max(whole-u.away, 0), u.inFlight, dropped).WithClass(u.envelope.Criticality(), u.envelope.Depth()))
	p.pace(u).learn(p.r.now, whole, dropped)
}

// level returns the admission level that goes back with a request: that of
// this node, or a higher one of the services that the request needed. Calls
// without a token are not tied to a request; their level counts for all that the
// backend server runs.
func (p *runs) level(u *run) jackdawbridge.Level {
	below := jackdawbridge.Level(p.below.current(p.r.now) / levelUnit)
	return max(p.queue.Level(p.r.now), u.level, below)
}

// feedback returns what the entry node is told with the answer to a request, or
// with its refusal.
func (p *runs) feedback(u *run, level jackdawbridge.Level, unused int) jackdawbridge.Feedback {
	until, busy := p.r.now, p.running+p.queue.Len()
	if u.state != runWaiting {
		until = u.began
		busy-- // the request itself
	}
	occupancy := jackdawbridge.NewOccupancy(busy, p.limiter.Limit())
	return jackdawbridge.NewFeedback(level, unused).WithOccupancy(occupancy, until-u.arrived)
}

// byToken returns the run that a backend server's call belongs to.
func (p *runs) byToken(token jackdawbridge.Token) (*run, bool) {
	u, ok := p.tokens[token]
	return u, ok
}

// attach ties a backend server's call to its run.
func (p *runs) attach(u *run, c *call) {
	if u.children == 0 {
		u.asked = p.r.now
	}
	u.children++
	c.next = u.first
	if c.next != nil {
		c.next.previous = c
	}
	u.first = c
}

// detach takes a call that has ended from its run, with its unused retries.
func (p *runs) detach(c *call) {
	u, ok := p.active[c.parent]
	if !ok {
		return
	}
	if c.previous == nil {
		u.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	}
	c.next, c.previous = nil, nil
	u.children--
	if u.children == 0 {
		u.away += p.r.now - u.asked
	}
	// An answered run has given its retries back already.
	if c.lent && u.state == runRunning {
		u.allowance += c.allowance
	}
}
