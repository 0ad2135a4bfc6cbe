package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/window"
)

// coldRunTime is the time of a run for which a cold backend server announces slots: with
// runs of that time, as many slots are in use as its rate allows.
const coldRunTime = 250 * jackdawbridge.Millis(1)

// warmup is the part that bounds the rate of requests to the local backend server while it
// is cold. Only this node sends to it, so that the bound holds over the whole fleet. A
// request above the rate is refused as not run and not queued: other backend servers are
// warm, and a queue here would raise the admission level that entry nodes learn.
//
// The backend server says with each announcement how much longer it is cold. It counts as
// cold, until an announcement says otherwise, after its data centre was evacuated.
type warmup struct {
	r         *Reducer
	service   jackdawbridge.ServiceName // that the backend server announced last
	announces int                       // slots that the backend server announced last
	until     jackdawbridge.Millis      // when the backend server is warm, 0 if it is
	starts    *window.Bound             // starts of requests; nil until the service of the backend server is known to have a slow start
	refused   int                       // requests refused since the start of the process
	before    int                       // refused when the backend server became cold
}

func newWarmup(r *Reducer) warmup { return warmup{r: r} }

// slowStart returns the slow start of the local backend server's service, nil if it has none.
func (p *warmup) slowStart() *jackdawbridge.SlowStart {
	return p.r.settings.index.slowStarts[p.service]
}

// cold reports whether the backend server is cold.
func (p *warmup) cold() bool { return p.r.now < p.until }

// left returns for how long the backend server is still cold, 0 if it is not.
func (p *warmup) left() jackdawbridge.Millis { return max(p.until-p.r.now, 0) }

// announced records how much longer the backend server is cold.
func (p *warmup) announced(e *jackdawbridge.BackendAnnounced) {
	p.service, p.announces = e.Service(), e.Slots()
	if e.Left() {
		return // the announcement does not say how much longer it is cold
	}
	p.setUntil(e.At() + e.SlowStartLeft())
}

// setUntil sets the time at which the backend server is warm.
func (p *warmup) setUntil(until jackdawbridge.Millis) {
	was := p.cold()
	p.until = until
	if !p.cold() {
		p.until = 0
	}
	switch {
	case p.cold() && !was:
		p.before = p.refused
		line := p.r.fx.Log(jackdawbridge.PartAdmit, "backend server is cold, requests to it are limited").Duration("left_ms", until-p.r.now)
		if s := p.slowStart(); s != nil {
			limit, span := s.Bound()
			line.Int("limit", int64(limit)).Duration("span_ms", span)
		}
	case was && !p.cold():
		p.warm()
	}
}

// warm logs the end of the time in which the backend server was cold.
func (p *warmup) warm() {
	p.r.fx.Log(jackdawbridge.PartAdmit, "backend server is warm").Int("refused", int64(p.refused-p.before))
}

// evacuationEnded assumes that the backend server is cold, since it had nothing to do while
// its data centre was evacuated. The next announcement says whether it is.
func (p *warmup) evacuationEnded() {
	s := p.slowStart()
	if s == nil || p.r.self.State() == jackdawbridge.PeerStarting {
		return
	}
	p.setUntil(max(p.until, p.r.now+s.Time()))
	p.announceSlots()
}

// slots returns the slots to announce to the peers, which send in proportion to them.
func (p *warmup) slots() int {
	s := p.slowStart()
	if s == nil || !p.cold() {
		return p.announces
	}
	return min(max(int(s.Rate()*float64(coldRunTime)/float64(jackdawbridge.Second)), 1), p.announces)
}

// update applies a new config table.
func (p *warmup) update() {
	if p.cold() && p.r.self.State() != jackdawbridge.PeerStarting {
		p.announceSlots()
	}
}

// announceSlots announces the slots to the peers if they have changed.
func (p *warmup) announceSlots() {
	self := p.r.self.WithBackend(p.r.self.Service(), p.slots(), p.r.self.Conns())
	if self != p.r.self {
		p.r.announce(self)
	}
}

// bound returns the bound of starts for the slow start of the service. Starts are recorded
// while the backend server is warm too, since it may become cold at any moment. The bound
// is nil if the service has no slow start.
func (p *warmup) bound() *window.Bound {
	s := p.slowStart()
	if s == nil {
		p.starts = nil
		return nil
	}
	if limit, span := s.Bound(); p.starts == nil || !p.starts.Is(limit, span) {
		p.starts = window.New(limit, span)
	}
	return p.starts
}

// allows reports whether a request may be sent to the backend server now. A cold one gets
// none before the first config table gives its rate.
func (p *warmup) allows() bool {
	switch {
	case !p.cold():
		return true
	case p.r.settings.config.table == nil:
		return false
	}
	b := p.bound()
	return b == nil || b.Allows(p.r.now)
}

// occupancy returns the occupancy to report to an entry node. A cold backend server that
// gets no more requests now is full.
func (p *warmup) occupancy(busy, limit int) jackdawbridge.Occupancy {
	if p.cold() {
		limit = min(limit, p.slots())
		if !p.allows() {
			busy = max(busy, limit)
		}
	}
	return jackdawbridge.NewOccupancy(busy, limit)
}

// started records that a request is sent to the backend server.
func (p *warmup) started() {
	if b := p.bound(); b != nil {
		b.Add(p.r.now)
	}
}

func (p *warmup) wake() jackdawbridge.Millis {
	if p.until == 0 {
		return never
	}
	return p.until
}

// tick announces all slots once the backend server is warm.
func (p *warmup) tick() {
	if p.until == 0 || p.cold() {
		return
	}
	p.until = 0
	p.warm()
	if p.r.self.State() != jackdawbridge.PeerStarting {
		p.announceSlots()
	}
}
