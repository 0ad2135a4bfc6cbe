package questionnaire

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxRate is the maximum rate of a client account in requests per second, and its
	// maximum burst in requests. It exceeds what the whole fleet serves.
	maxRate = 10_000_000
	// maxServiceSize is the maximum number of upstreams, slots and connections of a
	// service.
	maxServiceSize = 100_000
	// maxDistanceMillis is the maximum distance of a caller.
	maxDistanceMillis = 1000
	// totalPermille is the sum of the shares of a client account.
	totalPermille = 1000
)

// questionnaire reads the whole file. The data centres come first because callers
// and accounts are validated against them.
func (r *reader) questionnaire(f field) *Questionnaire {
	m := r.mapping(f, "deployment", "region", "data_centres", "callers", "services", "accounts")
	q := &Questionnaire{}
	if d, ok := r.required(m, "deployment", acceptedName); ok {
		q.deployment = r.name(d)
	}
	if d, ok := r.required(m, "region", acceptedName); ok {
		q.region = r.name(d)
	}
	for _, item := range r.list(m, "data_centres", "names of data centres") {
		dc := jackdawbridge.DataCentre(r.name(item))
		if slices.Contains(q.dataCentres, dc) {
			r.addFault(item, "each name once", "%q appears twice", dc)
			continue
		}
		q.dataCentres = append(q.dataCentres, dc)
	}
	for _, item := range r.list(m, "callers", "callers") {
		q.callers = append(q.callers, r.caller(item, q))
	}
	for _, item := range r.list(m, "services", "services") {
		r.service(item, q)
	}
	for _, item := range r.list(m, "accounts", "client accounts") {
		r.account(item, q)
	}
	return q
}

// caller reads a group of callers.
func (r *reader) caller(f field, q *Questionnaire) Caller {
	m := r.mapping(f, "name", "data_centres", "distance_ms")
	c := Caller{name: r.requiredName(m)}
	for _, item := range r.list(m, "data_centres", "names of data centres") {
		c.dataCentres = append(c.dataCentres, r.dataCentre(item, q))
	}
	c.distance = jackdawbridge.Millis(r.requiredNumber(m, "distance_ms", 0, maxDistanceMillis))
	return c
}

// dataCentre reads the name of a data centre, which the file must list.
func (r *reader) dataCentre(f field, q *Questionnaire) jackdawbridge.DataCentre {
	name, ok := scalarText(f.node)
	if !ok || !slices.Contains(q.dataCentres, jackdawbridge.DataCentre(name)) {
		r.addFault(f, "one of data_centres", "is %s", describe(f.node))
	}
	return jackdawbridge.DataCentre(name)
}

// service reads a service and adds it to q with its size.
func (r *reader) service(f field, q *Questionnaire) {
	m := r.mapping(f, "name", "upstreams", "slots", "conns", "routes")
	name := jackdawbridge.ServiceName(r.requiredName(m))
	for _, s := range q.services {
		if s.Name() == name {
			r.addFault(m.fields["name"], "a name that no other service has", "%q appears twice", name)
		}
	}
	size := ServiceSize{service: name, upstreams: int(r.requiredNumber(m, "upstreams", 1, maxServiceSize))}
	size.slots = int(r.requiredNumber(m, "slots", 1, maxServiceSize))
	size.conns = int(r.requiredNumber(m, "conns", int64(size.slots), maxServiceSize))
	var routes []*jackdawbridge.Route
	for _, item := range r.list(m, "routes", "routes") {
		if route := r.route(item, routes); route != nil {
			routes = append(routes, route)
		}
	}
	if name == "" || len(routes) == 0 {
		return
	}
	s, err := jackdawbridge.NewService(name, routes)
	if err != nil {
		r.addFault(f, "", "%v", err)
		return
	}
	q.serviceSizes = append(q.serviceSizes, size)
	q.services = append(q.services, s)
}

const acceptedPrefix = `a path that starts with a slash, without segments that start with a dot and without spaces, ?, # and \`

// route reads a route of a service. It records a fault and returns nil if no route
// can be built from the fields.
func (r *reader) route(f field, others []*jackdawbridge.Route) *jackdawbridge.Route {
	m := r.mapping(f, "prefix", "methods", "criticality", "idempotent", "open")
	prefix, ok := r.required(m, "prefix", acceptedPrefix)
	if !ok {
		return nil
	}
	path, ok := scalarText(prefix.node)
	if !ok || !strings.HasPrefix(path, "/") || strings.Contains(path, "/.") || strings.ContainsAny(path, " ?#\\") {
		r.addFault(prefix, acceptedPrefix, "is %s", describe(prefix.node))
		return nil
	}
	methods := r.methods(m)
	for _, o := range others {
		if o.Prefix() == path && overlap(o.Methods(), methods) {
			r.addFault(prefix, "one route for each prefix and method", "%q appears twice", path)
		}
	}
	accepted := []string{"sheddable", "normal", "high", "critical"}
	if _, ok := r.required(m, "criticality", strings.Join(accepted, " or ")); !ok {
		return nil
	}
	if _, ok := r.required(m, "idempotent", "true or false"); !ok {
		return nil
	}
	criticality, err := jackdawbridge.ParseCriticality(r.choice(m, "criticality", accepted...))
	if err != nil {
		r.addFault(m.fields["criticality"], "", "%v", err)
		return nil
	}
	route, err := jackdawbridge.NewRoute(path, methods, criticality, r.boolean(m, "idempotent"), r.boolean(m, "open"))
	if err != nil {
		r.addFault(f, "", "%v", err)
		return nil
	}
	return route
}

// methods reads the methods of a route. It returns none if the field is absent, in
// which case the route applies to all methods.
func (r *reader) methods(m mapping) []string {
	if _, ok := m.fields["methods"]; !ok {
		return nil
	}
	accepted := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	var methods []string
	for _, item := range r.list(m, "methods", strings.Join(accepted, ", ")) {
		method, _ := scalarText(item.node)
		if !slices.Contains(accepted, method) {
			r.addFault(item, strings.Join(accepted, ", "), "is %s", describe(item.node))
			continue
		}
		methods = append(methods, method)
	}
	return methods
}

// overlap reports whether two lists of methods share a method. An empty list contains
// all methods.
func overlap(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// account reads a client account and adds it to q.
func (r *reader) account(f field, q *Questionnaire) {
	m := r.mapping(f, "name", "rate", "burst", "bought", "unconfirmed", "shares")
	name := jackdawbridge.AccountName(r.requiredName(m))
	for _, a := range q.accounts {
		if a.Name() == name {
			r.addFault(m.fields["name"], "a name that no other client account has", "%q appears twice", name)
		}
	}
	rate := r.requiredNumber(m, "rate", 1, maxRate)
	burst := r.requiredNumber(m, "burst", 1, maxRate)
	paidPriority := r.boolean(m, "bought")
	serveUnconfirmed := r.choice(m, "unconfirmed", "serve", "refuse") == "serve"
	shares := r.shares(m, q)
	if name == "" || shares == nil {
		return
	}
	a, err := jackdawbridge.NewAccount(name, rate, burst, shares)
	if err != nil {
		r.addFault(f, "", "%v", err)
		return
	}
	q.accounts = append(q.accounts, a.WithPaidPriority(paidPriority).WithServeUnconfirmed(serveUnconfirmed))
}

// shares reads the base shares of a client account. If the field is absent, the
// shares are equal.
func (r *reader) shares(m mapping, q *Questionnaire) []jackdawbridge.Share {
	f, ok := m.fields["shares"]
	if !ok {
		return r.equalShares(f, q)
	}
	values, ok := mappingValues(f.node)
	accepted := fmt.Sprintf("permille for each data centre that sum to %d", totalPermille)
	if !ok {
		r.addFault(f, accepted, "is %s", describe(f.node))
		return nil
	}
	var shares []jackdawbridge.Share
	sum := int64(0)
	for _, v := range values {
		shares, sum = r.share(f, v, q, shares, sum)
	}
	if sum != totalPermille {
		r.addFault(f, accepted, "the sum is %d", sum)
		return nil
	}
	return shares
}

// share reads the share of one data centre. It returns the shares and their sum with
// the new share added.
func (r *reader) share(f field, v *ast.MappingValueNode, q *Questionnaire, shares []jackdawbridge.Share, sum int64) ([]jackdawbridge.Share, int64) {
	name := v.Key.GetToken().Value
	item := field{node: v.Value, path: f.childPath(name), line: v.Key.GetToken().Position.Line}
	if !slices.Contains(q.dataCentres, jackdawbridge.DataCentre(name)) {
		r.addFault(item, "one of data_centres", "unknown data centre")
		return shares, sum
	}
	permille := r.number(item, 1, totalPermille)
	share, err := jackdawbridge.NewShare(jackdawbridge.DataCentre(name), int(permille))
	if err != nil {
		r.addFault(item, "", "%v", err)
		return shares, sum
	}
	return append(shares, share), sum + permille
}

// equalShares divides a client account equally among the data centres. The remainder
// is added to the first ones, one permille each.
func (r *reader) equalShares(f field, q *Questionnaire) []jackdawbridge.Share {
	var shares []jackdawbridge.Share
	count := len(q.dataCentres)
	for i, dc := range q.dataCentres {
		permille := totalPermille / count
		if i < totalPermille%count {
			permille++
		}
		share, err := jackdawbridge.NewShare(dc, permille)
		if err != nil {
			r.addFault(f, "", "%v", err)
			return nil
		}
		shares = append(shares, share)
	}
	return shares
}
