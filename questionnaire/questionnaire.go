// Package questionnaire parses and validates the file in which operators describe a
// deployment, and compiles it to entries of the config table.
//
// Read either accepts a file as a whole or returns all of its faults, each with its
// line, its field, the reason and what the field may contain.
package questionnaire

import (
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/parser"
	"github.com/jackdawbridge/jackdawbridge"
)

// Fault is an error in a questionnaire.
type Fault struct {
	line     int    // from 1
	field    string // path in the file, empty for the whole file
	reason   string
	accepted string // what the field may contain, empty if the reason says it
}

// Line returns the line of f in the file, counted from 1.
func (f Fault) Line() int { return f.line }

// Field returns the path of the faulty field in the file, as in services[0].name.
func (f Fault) Field() string { return f.field }

// Reason returns what is wrong with the field.
func (f Fault) Reason() string { return f.reason }

// Accepted returns what the field may contain.
func (f Fault) Accepted() string { return f.accepted }

// String returns f as one line of text.
func (f Fault) String() string {
	text := "line " + strconv.Itoa(f.line) + ": "
	if f.field != "" {
		text += f.field + ": "
	}
	text += f.reason
	if f.accepted != "" {
		text += ": want " + f.accepted
	}
	return text
}

// Faults is the error that Read returns for a questionnaire: all of its faults,
// sorted by line.
type Faults []Fault

// Error returns the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Caller describes a group of callers and the data centres at which they enter a
// deployment. It informs operators and is not compiled to configuration.
type Caller struct {
	name        string
	dataCentres []jackdawbridge.DataCentre // at least one
	distance    jackdawbridge.Millis       // one way
}

// Name returns the name of the group.
func (c Caller) Name() string { return c.name }

// DataCentres returns the data centres at which the calls enter.
func (c Caller) DataCentres() []jackdawbridge.DataCentre { return c.dataCentres }

// Distance returns the one-way network latency to a node.
func (c Caller) Distance() jackdawbridge.Millis { return c.distance }

// ServiceSize is the number of backend servers of a service and the size of each.
type ServiceSize struct {
	service   jackdawbridge.ServiceName
	upstreams int // at least 1
	slots     int // of each backend server, at least 1
	conns     int // of each backend server, at least slots
}

// Service returns the name of the service.
func (s ServiceSize) Service() jackdawbridge.ServiceName { return s.service }

// Upstreams returns the number of backend servers of the service.
func (s ServiceSize) Upstreams() int { return s.upstreams }

// Slots returns the number of requests that each backend server serves concurrently.
func (s ServiceSize) Slots() int { return s.slots }

// Conns returns the number of connections that each backend server accepts.
func (s ServiceSize) Conns() int { return s.conns }

// Questionnaire is the content of a valid file.
type Questionnaire struct {
	deployment   string
	region       string
	dataCentres  []jackdawbridge.DataCentre // at least one, without duplicates
	callers      []Caller
	serviceSizes []ServiceSize // one for each service
	services     []*jackdawbridge.Service
	accounts     []*jackdawbridge.Account
}

// Deployment returns the name of the deployment.
func (q *Questionnaire) Deployment() string { return q.deployment }

// Region returns the region of the deployment.
func (q *Questionnaire) Region() string { return q.region }

// DataCentres returns the data centres. The result must not be changed.
func (q *Questionnaire) DataCentres() []jackdawbridge.DataCentre { return q.dataCentres }

// Callers returns the groups of callers. The result must not be changed.
func (q *Questionnaire) Callers() []Caller { return q.callers }

// ServiceSizes returns the size of each service. The result must not be changed.
func (q *Questionnaire) ServiceSizes() []ServiceSize { return q.serviceSizes }

// Services returns the services. The result must not be changed.
func (q *Questionnaire) Services() []*jackdawbridge.Service { return q.services }

// Accounts returns the client accounts. The result must not be changed.
func (q *Questionnaire) Accounts() []*jackdawbridge.Account { return q.accounts }

// Entries returns the client accounts and services as entries of the config table,
// sorted by name.
func (q *Questionnaire) Entries() []jackdawbridge.Entry {
	entries := make([]jackdawbridge.Entry, 0, len(q.accounts)+len(q.services))
	for _, a := range q.accounts {
		entries = append(entries, jackdawbridge.AccountEntry(a))
	}
	for _, s := range q.services {
		entries = append(entries, jackdawbridge.ServiceEntry(s))
	}
	slices.SortFunc(entries, func(a, b jackdawbridge.Entry) int { return strings.Compare(a.Name(), b.Name()) })
	return entries
}

// Read parses and validates the content of a file. The error, if any, is of type
// Faults.
func Read(data []byte) (*Questionnaire, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Faults{{line: 1, reason: "the file has " + strconv.Itoa(len(file.Docs)) + " documents or an empty document", accepted: "one document"}}
	}
	r := &reader{}
	q := r.questionnaire(field{node: file.Docs[0].Body})
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.line - b.line })
		return nil, r.faults
	}
	return q, nil
}
