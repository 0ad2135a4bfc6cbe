package jackdawbridge

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Criticality ranks requests by the harm done when they are refused.
type Criticality uint8

// The criticalities, from the first to be shed to the last.
const (
	Sheddable Criticality = iota
	Normal
	High
	Critical
)

// String returns the criticality in lower case.
func (c Criticality) String() string {
	return enumName(c, "sheddable", "normal", "high", "critical")
}

// ParseCriticality returns the criticality with the given name.
func ParseCriticality(name string) (Criticality, error) {
	for c := Sheddable; c <= Critical; c++ {
		if c.String() == name {
			return c, nil
		}
	}
	return 0, errors.Errorf("criticality %q: want sheddable, normal, high or critical", name)
}

// Share is the base share of a data centre: its part of a client account's rate and
// burst as configured.
type Share struct {
	dataCentre DataCentre
	permille   int // from 1 to 1000
}

// NewShare returns the base share of a data centre in thousandths.
func NewShare(dataCentre DataCentre, permille int) (Share, error) {
	if permille < 1 || permille > 1000 {
		return Share{}, errors.Errorf("share of data centre %s is %d permille: want 1 to 1000", dataCentre, permille)
	}
	return Share{dataCentre: dataCentre, permille: permille}, nil
}

// DataCentre returns the data centre of s.
func (s Share) DataCentre() DataCentre { return s.dataCentre }

// Permille returns the size of s in thousandths.
func (s Share) Permille() int { return s.permille }

// Account is a client account as configured.
type Account struct {
	name             AccountName
	rate             int64 // requests per second in all data centres together, at least 1
	burst            int64 // requests in all data centres together, at least 1
	paidPriority     bool
	serveUnconfirmed bool    // served while the platform cannot confirm the account's keys
	unlimited        bool    // rate and burst are not enforced
	shares           []Share // at most one for each data centre, 1000 permille in total
}

// NewAccount returns a client account with the given rate in requests per second,
// burst and base shares. It is served even while its keys are unconfirmed.
func NewAccount(name AccountName, rate, burst int64, shares []Share) (*Account, error) {
	if name == "" {
		return nil, errors.New("account has no name")
	}
	if rate < 1 || burst < 1 {
		return nil, errors.Errorf("account %s has rate %d and burst %d: want at least 1 each", name, rate, burst)
	}
	sum := 0
	for i, s := range shares {
		sum += s.permille
		if slices.ContainsFunc(shares[:i], func(o Share) bool { return o.dataCentre == s.dataCentre }) {
			return nil, errors.Errorf("account %s has two shares for data centre %s: want one", name, s.dataCentre)
		}
	}
	if sum != 1000 {
		return nil, errors.Errorf("account %s has shares of %d permille in total: want 1000", name, sum)
	}
	return &Account{name: name, rate: rate, burst: burst, serveUnconfirmed: true, shares: slices.Clone(shares)}, nil
}

// WithPaidPriority returns a copy of a with or without paid priority.
func (a *Account) WithPaidPriority(paidPriority bool) *Account {
	c := *a
	c.paidPriority = paidPriority
	return &c
}

// WithServeUnconfirmed returns a copy of a that is served or refused while the
// platform cannot confirm its keys.
func (a *Account) WithServeUnconfirmed(serve bool) *Account {
	c := *a
	c.serveUnconfirmed = serve
	return &c
}

// WithoutLimit returns a copy of a whose rate and burst are not enforced.
func (a *Account) WithoutLimit() *Account {
	c := *a
	c.unlimited = true
	return &c
}

// Name returns the name of a.
func (a *Account) Name() AccountName { return a.name }

// Rate returns the rate of a in all data centres together, in requests per second.
func (a *Account) Rate() int64 { return a.rate }

// Burst returns the burst of a in all data centres together, in requests.
func (a *Account) Burst() int64 { return a.burst }

// PaidPriority reports whether a has paid priority.
func (a *Account) PaidPriority() bool { return a.paidPriority }

// Unlimited reports whether the rate and burst of a are not enforced.
func (a *Account) Unlimited() bool { return a.unlimited }

// ServeUnconfirmed reports whether a is served while the platform cannot confirm
// its keys.
func (a *Account) ServeUnconfirmed() bool { return a.serveUnconfirmed }

// Shares returns the base shares of a. The caller must not change them.
func (a *Account) Shares() []Share { return a.shares }

// Destination is a service that receives a weighted part of a route's requests.
type Destination struct {
	service ServiceName
	weight  int // at least 1, relative to the other destinations of the route
}

// NewDestination returns a destination with the given weight.
func NewDestination(service ServiceName, weight int) (Destination, error) {
	if service == "" {
		return Destination{}, errors.New("destination has no service")
	}
	if weight < 1 {
		return Destination{}, errors.Errorf("destination %s has weight %d: want at least 1", service, weight)
	}
	return Destination{service: service, weight: weight}, nil
}

// Service returns the service of d.
func (d Destination) Service() ServiceName { return d.service }

// Weight returns the weight of d.
func (d Destination) Weight() int { return d.weight }

// Route configures how the requests of a service with a path prefix and certain
// methods are treated.
type Route struct {
	prefix       string   // of the path, starts with a slash
	methods      []string // upper case; empty for all
	criticality  Criticality
	idempotent   bool
	open         bool          // needs no key
	closed       bool          // see AsClosed
	destinations []Destination // empty to use the service that the request names
	timeout      Millis        // longest time to the answer, 0 for no limit
	objective    Millis        // latency objective: later answers are worth less; 0 if unknown
	attempts     int           // maximum number of upstreams that a request is sent to, 0 for the default
}

// NewRoute returns a route for requests with the given path prefix and methods.
// Requests of an open route need no key.
func NewRoute(prefix string, methods []string, criticality Criticality, idempotent, open bool) (*Route, error) {
	if !strings.HasPrefix(prefix, "/") {
		return nil, errors.Errorf("route prefix %q: want a leading slash", prefix)
	}
	if criticality > Critical {
		return nil, errors.Errorf("route %s has criticality %d: want 0 to %d", prefix, criticality, Critical)
	}
	return &Route{
		prefix: prefix, methods: slices.Clone(methods),
		criticality: criticality, idempotent: idempotent, open: open,
	}, nil
}

// WithDestinations returns a copy of r whose requests go to the given services.
func (r *Route) WithDestinations(destinations []Destination) *Route {
	c := *r
	c.destinations = slices.Clone(destinations)
	return &c
}

// AsClosed returns a copy of r whose requests are refused as not run, since the configuration
// names no service that they may be sent to.
func (r *Route) AsClosed() *Route {
	c := *r
	c.closed = true
	c.destinations = nil
	return &c
}

// WithTimes returns a copy of r with the given timeout and latency objective, 0 for
// none.
func (r *Route) WithTimes(timeout, objective Millis) *Route {
	c := *r
	c.timeout = max(timeout, 0)
	c.objective = max(objective, 0)
	return &c
}

// WithAttempts returns a copy of r whose requests are sent to at most the given
// number of upstreams, 0 for the default.
func (r *Route) WithAttempts(attempts int) *Route {
	c := *r
	c.attempts = max(attempts, 0)
	return &c
}

// Prefix returns the path prefix of r.
func (r *Route) Prefix() string { return r.prefix }

// Methods returns the methods of r, empty for all.
func (r *Route) Methods() []string { return r.methods }

// Criticality returns the criticality of r.
func (r *Route) Criticality() Criticality { return r.criticality }

// Idempotent reports whether requests of r may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Open reports whether requests of r need no key.
func (r *Route) Open() bool { return r.open }

// Closed reports whether all requests of r are refused as not run.
func (r *Route) Closed() bool { return r.closed }

// Destinations returns the services that requests of r are sent to. If there are
// none, a request is sent to the service that it names. The caller must not change
// the slice.
func (r *Route) Destinations() []Destination { return r.destinations }

// Timeout returns the longest time to an answer, 0 for no limit.
func (r *Route) Timeout() Millis { return r.timeout }

// Objective returns the latency objective of r, 0 if unknown. Answers that come
// later are worth less.
func (r *Route) Objective() Millis { return r.objective }

// Attempts returns the maximum number of upstreams that a request is sent to, 0 for
// the default.
func (r *Route) Attempts() int { return r.attempts }

// Matches reports whether r applies to the method and path.
func (r *Route) Matches(method, path string) bool {
	if !strings.HasPrefix(path, r.prefix) {
		return false
	}
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// Service is a service as configured.
type Service struct {
	name   ServiceName
	routes []*Route // the matching route with the longest prefix applies
}

// NewService returns a service with the given routes.
func NewService(name ServiceName, routes []*Route) (*Service, error) {
	if name == "" {
		return nil, errors.New("service has no name")
	}
	if len(routes) == 0 {
		return nil, errors.Errorf("service %s has no routes: want at least one", name)
	}
	return &Service{name: name, routes: slices.Clone(routes)}, nil
}

// Name returns the name of s.
func (s *Service) Name() ServiceName { return s.name }

// Routes returns the routes of s. The caller must not change them.
func (s *Service) Routes() []*Route { return s.routes }

// Route returns the route that matches the method and path. If several match, it
// returns the one with the longest prefix; if none does, nil.
func (s *Service) Route(method, path string) *Route {
	var longest *Route
	for _, r := range s.routes {
		if r.Matches(method, path) && (longest == nil || len(r.prefix) > len(longest.prefix)) {
			longest = r
		}
	}
	return longest
}

// Key is the hash of an API key and the client account that the key authenticates.
type Key struct {
	hash    KeyHash
	account AccountName
	label   string // chosen by the operator, shown in listings
}

// NewKey returns the key of an account with the given hash.
func NewKey(hash KeyHash, account AccountName, label string) (*Key, error) {
	if account == "" {
		return nil, errors.New("key has no account")
	}
	return &Key{hash: hash, account: account, label: label}, nil
}

// Hash returns the hash of the key.
func (k *Key) Hash() KeyHash { return k.hash }

// Account returns the client account of k.
func (k *Key) Account() AccountName { return k.account }

// Label returns the label that the operator gave to k.
func (k *Key) Label() string { return k.label }
