package reducer

import "github.com/jackdawbridge/jackdawbridge"

// maxSplits is the maximum number of routes whose traffic split is kept.
const maxSplits = 4096

// weightedSplit distributes the requests of a route over its destinations in
// proportion to their weights, as evenly in time as whole requests allow (smooth
// weighted round robin). Each node distributes the requests that it receives, so
// the totals keep the weights as well.
type weightedSplit struct {
	destinations []jackdawbridge.Destination // at least two
	credit       []int                       // credit of each destination; the sum is 0 between requests
}

// destination returns the service to which the next request of a route is sent: the
// requested service if the route names no destinations.
func (p *routes) destination(service jackdawbridge.ServiceName, route *jackdawbridge.Route) jackdawbridge.ServiceName {
	destinations := route.Destinations()
	switch len(destinations) {
	case 0:
		return service
	case 1:
		return destinations[0].Service()
	}
	s, ok := p.splits[route]
	if !ok {
		if len(p.splits) >= maxSplits {
			clear(p.splits) // drops replaced routes; the others start again
		}
		s = &weightedSplit{destinations: destinations, credit: make([]int, len(destinations))}
		p.splits[route] = s
		// The start is random, because otherwise all nodes would send their first
		// requests to the same destination.
		for range p.random.Uint64() % uint64(2*len(destinations)) {
			s.next()
		}
	}
	return s.next()
}

// next returns the destination that is furthest below its share of the requests.
func (s *weightedSplit) next() jackdawbridge.ServiceName {
	best, total := 0, 0
	for i, d := range s.destinations {
		s.credit[i] += d.Weight()
		total += d.Weight()
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.destinations[best].Service()
}
