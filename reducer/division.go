package reducer

import "github.com/jackdawbridge/jackdawbridge"

// maxSplits bounds the routes whose division is remembered.
const maxSplits = 4096

// division divides the requests of a route among its destinations by their
// weights, as evenly in time as whole requests allow (smooth weighted round
// robin). Each node divides its own requests, so the sum keeps the weights too.
type division struct {
	destinations []jackdawbridge.Destination // at least one
	credit       []int                       // of each destination; the sum is 0 between requests
}

// destination returns the service that the next request of a route goes to.
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
			clear(p.splits) // of routes that were replaced; the others begin anew
		}
		s = &division{destinations: destinations, credit: make([]int, len(destinations))}
		p.splits[route] = s
		// Nodes that all begin at the same point would send their first requests
		// to one destination.
		for range p.random.Uint64() % uint64(2*len(destinations)) {
			s.next()
		}
	}
	return s.next()
}

// next returns the destination that is furthest behind its part.
func (s *division) next() jackdawbridge.ServiceName {
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
