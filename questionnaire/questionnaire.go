// Package questionnaire reads, checks and compiles the operators' file.
//
// A file that is refused changes nothing: Read returns every fault with its
// line, its field, the reason and what is accepted.
package questionnaire

import (
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/parser"
	"github.com/jackdawbridge/jackdawbridge"
)

// Fault is a reason to refuse a questionnaire.
type Fault struct {
	line     int // from 1
	field    string
	reason   string
	accepted string // what the field may hold
}

// Line returns the line of f, from 1.
func (f Fault) Line() int { return f.line }

// Field returns the path of the field in the file.
func (f Fault) Field() string { return f.field }

// Reason returns what is wrong.
func (f Fault) Reason() string { return f.reason }

// Accepted returns what the field may hold.
func (f Fault) Accepted() string { return f.accepted }

// String returns f as one line.
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

// Faults are the reasons to refuse a questionnaire, in the order of lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Caller describes where callers enter a deployment. It is for operators and
// does not become configuration.
type Caller struct {
	name        string
	dataCentres []jackdawbridge.DataCentre // where it enters, at least one
	distance    jackdawbridge.Millis       // one way
}

// Name returns the name of c.
func (c Caller) Name() string { return c.name }

// DataCentres returns where c enters.
func (c Caller) DataCentres() []jackdawbridge.DataCentre { return c.dataCentres }

// Distance returns the time to reach a node, one way.
func (c Caller) Distance() jackdawbridge.Millis { return c.distance }

// Size is the number and size of the backend servers of a service.
type Size struct {
	service   jackdawbridge.ServiceName
	upstreams int // at least 1
	slots     int // of each, at least 1
	conns     int // of each, at least slots
}

// Service returns the service.
func (s Size) Service() jackdawbridge.ServiceName { return s.service }

// Upstreams returns the number of backend servers.
func (s Size) Upstreams() int { return s.upstreams }

// Slots returns the requests that each takes at once.
func (s Size) Slots() int { return s.slots }

// Conns returns the connections that each takes.
func (s Size) Conns() int { return s.conns }

// Questionnaire is a file that was accepted.
type Questionnaire struct {
	deployment  string
	region      string
	dataCentres []jackdawbridge.DataCentre // at least one, without repeats
	callers     []Caller
	sizes       []Size // one for each service
	services    []*jackdawbridge.Service
	accounts    []*jackdawbridge.Account
}

// Deployment returns the name of the deployment.
func (q *Questionnaire) Deployment() string { return q.deployment }

// Region returns the region of the deployment.
func (q *Questionnaire) Region() string { return q.region }

// DataCentres returns the data centres. The caller must not change them.
func (q *Questionnaire) DataCentres() []jackdawbridge.DataCentre { return q.dataCentres }

// Callers returns where callers enter. The caller must not change them.
func (q *Questionnaire) Callers() []Caller { return q.callers }

// Sizes returns the sizes of the services. The caller must not change them.
func (q *Questionnaire) Sizes() []Size { return q.sizes }

// Services returns the services. The caller must not change them.
func (q *Questionnaire) Services() []*jackdawbridge.Service { return q.services }

// Accounts returns the client accounts. The caller must not change them.
func (q *Questionnaire) Accounts() []*jackdawbridge.Account { return q.accounts }

// Entries returns the entries of the config table, sorted by name.
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

// Read returns the questionnaire in a file, or Faults.
func Read(data []byte) (*Questionnaire, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Faults{{line: 1, reason: "the file holds " + strconv.Itoa(len(file.Docs)) + " documents or an empty one", accepted: "one document"}}
	}
	r := &reader{}
	q := r.questionnaire(field{node: file.Docs[0].Body})
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.line - b.line })
		return nil, r.faults
	}
	return q, nil
}
