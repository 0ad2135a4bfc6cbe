package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/estimate"
)

// backendWork is what an upstream's node knows about the work of its backend server.
type backendWork struct {
	estimate estimate.Backend
	warned   bool                 // a load that was not believed has been logged
	expected jackdawbridge.Millis // sum of the expected own times of the runs that were served
	actual   jackdawbridge.Millis // sum of their own times
}

// classOf returns the class of a request: its criticality and its depth. A request that is
// too deep, which is refused, has a class as well.
func classOf(envelope jackdawbridge.Envelope) int {
	depth := min(max(envelope.Depth(), 0), jackdawbridge.MaxDepth)
	return int(envelope.Criticality())*(jackdawbridge.MaxDepth+1) + depth
}

// ended adds a run that was served to its end. The time during which the run waited for
// the calls that it made is left out, because another service spent it.
func (w *backendWork) ended(now jackdawbridge.Millis, u *run) {
	own := max(now-u.began-u.childTime, 0)
	w.expected += u.expected
	w.actual += own
	w.estimate.Observe(now, classOf(u.envelope), own)
}

// cost returns the work of a run by which it counts against the share of its account, 0
// if the backend server does not report its load.
func (w *backendWork) cost(u *run) jackdawbridge.Millis {
	if !w.estimate.Reported() {
		return 0
	}
	return u.expected
}

// reported records the load that came with an answer of the backend server.
func (p *runs) reported(load jackdawbridge.BackendLoad) {
	slots := max(p.r.warmup.announces, 1)
	if p.work.estimate.Report(p.r.now, load, p.running, slots) || p.work.warned {
		return
	}
	p.work.warned = true
	p.r.fx.Warn(jackdawbridge.PartAdmit, "load reported by the backend server is out of range and is clamped").Int("running", int64(load.Running())).
		Int("waiting", int64(load.Waiting())).Int("slots", int64(load.Slots())).Int("pace", int64(load.Pace())).Int("own", int64(p.running))
}

// workReported records the work of an upstream that came with an answer to a call.
func (p *routes) workReported(c *call, backlog jackdawbridge.Backlog) {
	o, known := p.observations[c.target]
	s, listed := p.subsets[c.envelope.Service()]
	if known && listed {
		o.work.Report(p.r.now, &s.mean, classOf(c.envelope), o.inFlight, backlog)
	}
}

// fillEstimates sets the expected time of a request of a class, and of the work that is
// left, at each candidate. One that says that it is full counts as having a request in each
// slot: a cold backend server is full with little work.
func (p *routes) fillEstimates(mean *estimate.Service, class int) {
	for i, u := range p.chosen {
		own, work := u.observation.work.Expect(p.r.now, mean, class, u.observation.inFlight)
		if own == 0 {
			return // the class is not known
		}
		c := p.candidates[i]
		if c.Busy() >= c.Slots() {
			work = max(work, float64(float64(c.Busy())*own))
		}
		p.candidates[i] = c.WithEstimate(own, work)
	}
}

// picked counts the pick of a candidate.
func (p *routes) picked(c jackdawbridge.Candidate) {
	p.expected = jackdawbridge.Millis(c.Own())
	if c.Own() > 0 {
		p.estimated++
	}
}
