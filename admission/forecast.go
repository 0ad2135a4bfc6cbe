package admission

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxRoutes and maxServices bound what an entry node learns. When a table is full, all
	// of it is learned again.
	maxRoutes   = 4096
	maxServices = 1024
	// reportWeight is the divisor that gives a report a weight of 1/8 in the threshold of a
	// service, so that the nodes of a service count alike.
	reportWeight = 8
	// silence is how long a threshold holds without a report. It then falls by a rank every
	// fallTime, so that a service that is reached only by refused trees is tried again.
	silence  = 200 * jackdawbridge.Millis(1)
	fallTime = 250 * jackdawbridge.Millis(1)
	// minCalls is the average number of calls of a route at a service, in 1/averageUnit,
	// from which its requests are refused at the entry node. The queue decides as well
	// about a request that makes a single call there, and later.
	minCalls = averageUnit * 3 / 2
	// rankUnit is the value of a rank in a precedence.
	rankUnit = 1 << 8
)

// RouteKey identifies a route of a service.
type RouteKey struct {
	service jackdawbridge.ServiceName
	prefix  string
}

// NewRouteKey returns the key of the route of a service with the given prefix.
func NewRouteKey(service jackdawbridge.ServiceName, prefix string) RouteKey {
	return RouteKey{service: service, prefix: prefix}
}

// profile holds what the requests of a route use.
type profile struct {
	length   int // at most MaxUsage
	services [jackdawbridge.MaxUsage]reached
}

// reached is a service that the requests of a route reach.
type reached struct {
	name  jackdawbridge.ServiceName
	calls Average
	work  Average
}

// report is what the answers of a service said last.
type report struct {
	threshold int // average, in precedence
	at        jackdawbridge.Millis
}

// Forecast is what an entry node knows about its routes and the services that their
// requests reach. It refuses requests that a service behind the first one has no room for,
// before any work is done on them.
type Forecast struct {
	routes   map[RouteKey]*profile                 // at most maxRoutes
	services map[jackdawbridge.ServiceName]*report // at most maxServices
	evicted  int                                   // tables that were emptied because they were full
}

// NewForecast returns an empty Forecast.
func NewForecast() *Forecast {
	return &Forecast{routes: make(map[RouteKey]*profile), services: make(map[jackdawbridge.ServiceName]*report)}
}

// Observe records what the services report that a request or a call has reached.
func (f *Forecast) Observe(at jackdawbridge.Millis, usage *jackdawbridge.Usage) {
	for i := range usage.Len() {
		u := usage.At(i)
		s, ok := f.services[u.Service()]
		if !ok {
			if u.Threshold() == 0 {
				continue // nothing to remember
			}
			if len(f.services) >= maxServices {
				clear(f.services)
				f.evicted++
			}
			s = &report{at: at}
			f.services[u.Service()] = s
		}
		s.threshold = s.current(at)
		s.threshold += (int(min(u.Threshold(), jackdawbridge.MaxPrecedence)) - s.threshold) / reportWeight
		s.at = at
	}
}

// current returns the threshold after its fall.
func (s *report) current(at jackdawbridge.Millis) int {
	silent := min(max(at-s.at-silence, 0), 60*jackdawbridge.Second)
	return max(s.threshold-int(silent*rankUnit/fallTime), 0)
}

// Learn adds the usage of a request that was served to the profile of its route. A service
// of the profile that the request has not reached counts with no calls.
func (f *Forecast) Learn(route RouteKey, usage *jackdawbridge.Usage) {
	p, ok := f.routes[route]
	if !ok {
		if len(f.routes) >= maxRoutes {
			clear(f.routes)
			f.evicted++
		}
		p = &profile{}
		f.routes[route] = p
	}
	for i := range p.length {
		if s := &p.services[i]; !usage.Has(s.name) {
			s.calls.Add(0)
			s.work.Add(0)
		}
	}
	for i := range usage.Len() {
		u := usage.At(i)
		if s := p.service(u.Service()); s != nil {
			s.calls.Add(u.Calls())
			s.work.Add(int(u.Work()))
		}
	}
}

// service returns a service of the profile, and adds it if there is room or if another one
// is hardly reached any more.
func (p *profile) service(name jackdawbridge.ServiceName) *reached {
	for i := range p.length {
		if p.services[i].name == name {
			return &p.services[i]
		}
	}
	if p.length == len(p.services) {
		for i := range p.services {
			if s := &p.services[i]; s.calls.Round() == 0 {
				*s = reached{name: name}
				return s
			}
		}
		return nil
	}
	p.services[p.length].name = name
	p.length++
	return &p.services[p.length-1]
}

// Threshold returns the highest threshold of the services that the requests of a route
// reach, and the service that has it.
func (f *Forecast) Threshold(at jackdawbridge.Millis, route RouteKey) (jackdawbridge.Precedence, jackdawbridge.ServiceName) {
	p, ok := f.routes[route]
	if !ok {
		return 0, ""
	}
	highest, name := 0, jackdawbridge.ServiceName("")
	for i := range p.length {
		s, ok := f.services[p.services[i].name]
		if !ok || p.services[i].calls.sum < minCalls {
			continue
		}
		if t := s.current(at); t > highest {
			highest, name = t, p.services[i].name
		}
	}
	return jackdawbridge.Precedence(highest), name
}

// Evicted returns how often a table was emptied because it was full.
func (f *Forecast) Evicted() int { return f.evicted }
