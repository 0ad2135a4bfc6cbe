package estimate

import "github.com/jackdawbridge/jackdawbridge"

const (
	// workHalfLife is the time in which the distance of a reported work from the mean of
	// the service halves. What was there has then been done in part, and other entry nodes
	// have sent more.
	workHalfLife = jackdawbridge.Second
	// slownessHalfLife is the time in which the distance of an upstream's slowness from the
	// mean of the service halves, so that an upstream that was slow is tried again.
	slownessHalfLife = 15 * jackdawbridge.Second
	// slownessWeight and meanWeight are the divisors of the exponential averages of an
	// upstream's slowness and of the mean time of a class. A report is an average of many
	// runs itself.
	slownessWeight = 4
	meanWeight     = 16
)

// Service holds the mean time of a request of each class over the upstreams of a service.
// Its zero value knows nothing.
type Service struct {
	ms       [jackdawbridge.MaxClass + 1]float64 // at an upstream of slowness 1, 0 if unknown
	requests float64                             // mean work of an upstream, as a number of requests
}

// Upstream is what an entry node knows about the speed and the work of an upstream. Its zero
// value knows nothing.
type Upstream struct {
	slowness float64 // time of a request there relative to the mean of the service, at the usual pace; 0 if unknown
	backlog  jackdawbridge.Backlog
	at       jackdawbridge.Millis // time of the report
	inFlight int                  // calls of the entry node in progress at the report
}

// Report records the backlog that came with an answer to a request of a class, when
// inFlight other calls of the entry node were in progress there.
func (u *Upstream) Report(now jackdawbridge.Millis, s *Service, class, inFlight int, backlog jackdawbridge.Backlog) {
	if backlog.IsZero() {
		return
	}
	u.backlog, u.at, u.inFlight = backlog, now, inFlight
	ms := float64(max(backlog.PerRequest(), 1))
	s.requests += (float64(backlog.Work())/ms - s.requests) / meanWeight
	mean := &s.ms[class]
	switch {
	case *mean == 0 && u.slowness == 0:
		*mean, u.slowness = ms, 1
	case *mean == 0:
		*mean = ms / u.slowness
	case u.slowness == 0:
		u.slowness = ms / *mean
	default:
		// The time of a class at an upstream is taken as a product, so that what one
		// class shows about an upstream holds for the others.
		*mean += (ms/u.slowness - *mean) / meanWeight
		u.slowness += (ms / *mean - u.slowness) / slownessWeight
	}
}

// Known reports whether the upstream has reported its work.
func (u *Upstream) Known() bool { return u.slowness > 0 }

// slownessAt returns the slowness as it is expected now, 1 if it is unknown.
func (u *Upstream) slownessAt(now jackdawbridge.Millis) float64 {
	if u.slowness == 0 {
		return 1
	}
	return 1 + (u.slowness-1)/float64(int(1)<<min(max(now-u.at, 0)/slownessHalfLife, maxHalfLives))
}

// Expect returns the expected time in ms of a request of a class at the upstream, and of the
// work that it still has to do, at its present pace. inFlight is the number of calls of the
// entry node in progress there. It returns 0 if nothing is known about the class.
func (u *Upstream) Expect(now jackdawbridge.Millis, s *Service, class, inFlight int) (own, work float64) {
	mean := s.ms[class]
	if mean == 0 {
		return 0, 0
	}
	usual := float64(mean * u.slownessAt(now))
	prior := float64(s.requests * usual)
	if !u.Known() {
		return usual, max(prior, float64(float64(inFlight)*usual))
	}
	age := now - u.at
	pace := float64(agePace(u.backlog.Pace(), age)) / jackdawbridge.UsualPace
	reported := prior + (float64(u.backlog.Work())-prior)/float64(int(1)<<min(max(age, 0)/workHalfLife, maxHalfLives))
	sent := float64(float64(inFlight-u.inFlight) * usual)
	work = max(reported+sent, float64(float64(inFlight)*usual), 0)
	return float64(usual * pace), float64(work * pace)
}
