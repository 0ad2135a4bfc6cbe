package jackdawbridge

import (
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
)

// Dialect is the protocol that callers and the own backend server speak with a
// node. It only translates: what becomes of a request is decided elsewhere.
// A Dialect is safe for concurrent use.
type Dialect interface {
	// ReadCall reads the head of a request at its entry node. A child comes on
	// the listener for the own backend server.
	ReadCall(r *http.Request, child bool) (Head, error)
	// Launch sets the headers that a backend server gets with a request.
	Launch(h http.Header, launch Launch)
	// Echo returns the id of the request that an answer of a backend server names,
	// "" if it names none. It reports false if answers of the protocol name none.
	Echo(answer *http.Response) (RequestID, bool)
	// Judge tells whether an answer of a backend server says that the request
	// was refused. The error tells that it is no answer of a backend server.
	Judge(answer *http.Response) (refusal Refusal, refused bool, err error)
	// Refuse sets the headers of a refusal and returns its status code.
	Refuse(h http.Header, refusal Refusal) int
	// Announces reports whether a request is an announcement of the own backend
	// server.
	Announces(r *http.Request) bool
	// ReadAnnouncement reads an announcement.
	ReadAnnouncement(r *http.Request) (Announcement, error)
	// Acknowledge answers an announcement that was taken.
	Acknowledge(w http.ResponseWriter)
	// ReadyPath returns the path at which the node tells whether it serves.
	ReadyPath() string
}

// OnlyValue returns the value of a header that may come once, "" if it does not
// come. Two values could be read in different ways.
func OnlyValue(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) > 1 {
		return "", errors.Errorf("header %s comes %d times: want once", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// Head is what a request says before its body.
type Head struct {
	request *Request
	rawPath string // as it goes on, starts with a slash
	query   string
	header  http.Header // that goes on
}

// NewHead returns the head of a request.
func NewHead(request *Request, rawPath, query string, header http.Header) Head {
	return Head{request: request, rawPath: rawPath, query: query, header: header}
}

// Request returns what the decisions need to know of the request.
func (h Head) Request() *Request { return h.request }

// RawPath returns the path for the backend server, as it was sent.
func (h Head) RawPath() string { return h.rawPath }

// Query returns the query as it was sent.
func (h Head) Query() string { return h.query }

// Header returns the headers that go on. The caller may change them.
func (h Head) Header() http.Header { return h.header }

// Launch is what a backend server is told with a request.
type Launch struct {
	id      RequestID
	account AccountName // empty on open routes
	token   Token       // for the backend server's own calls
	budget  Millis      // time left to the deadline, above 0
	backend string      // id of the backend server, empty if it has none
}

// NewLaunch returns what a backend server is told with a request.
func NewLaunch(envelope Envelope, token Token, budget Millis, backend string) Launch {
	return Launch{id: envelope.id, account: envelope.account, token: token, budget: budget, backend: backend}
}

// ID returns the id of the request.
func (l Launch) ID() RequestID { return l.id }

// Account returns the client account, empty on open routes.
func (l Launch) Account() AccountName { return l.account }

// Token returns the token for the backend server's own calls.
func (l Launch) Token() Token { return l.token }

// Budget returns the time left to the deadline.
func (l Launch) Budget() Millis { return l.budget }

// Backend returns the id of the backend server that the request is for, or "".
func (l Launch) Backend() string { return l.backend }

// BackendState is what a backend server says of itself.
type BackendState uint8

// The states of a backend server.
const (
	BackendServing  BackendState = iota
	BackendDraining              // wants no new work
	BackendLeft                  // has left, and may still serve for a while
)

// Announcement is what the own backend server tells of itself.
type Announcement struct {
	backend string // id of the backend server, empty if it has none
	service ServiceName
	address netip.AddrPort
	slots   int // at least 1
	conns   int // at least 1
	state   BackendState
	cold    Millis // for which it stays slow after its start
	born    uint64 // rises with each start of the backend server, 0 if unknown
	number  uint64 // rises with each announcement of one start, 0 if unknown
}

// maxAnnounced bounds the slots and connections of one backend server.
const maxAnnounced = 100_000

// NewAnnouncement returns the announcement of a backend server.
func NewAnnouncement(service ServiceName, address netip.AddrPort, slots, conns int, state BackendState) (Announcement, error) {
	var none Announcement
	switch {
	case service == "":
		return none, errors.New("announcement names no service")
	case slots < 1 || slots > maxAnnounced:
		return none, errors.Errorf("announcement has %d slots: want 1 to %d", slots, maxAnnounced)
	case conns < 1 || conns > maxAnnounced:
		return none, errors.Errorf("announcement has %d conns: want 1 to %d", conns, maxAnnounced)
	case address.Port() == 0:
		return none, errors.Errorf("announcement has address %q: want an IP address with a port", address)
	}
	return Announcement{service: service, address: address, slots: slots, conns: conns, state: state}, nil
}

// Departure returns the announcement of a backend server that has left.
func Departure(backend string, born, number uint64) Announcement {
	return Announcement{backend: backend, state: BackendLeft, born: born, number: number}
}

// WithBackend returns a with the id of the backend server, the time for which it
// stays slow, and the numbers of its start and of the announcement.
func (a Announcement) WithBackend(id string, cold Millis, born, number uint64) Announcement {
	a.backend, a.cold, a.born, a.number = id, cold, born, number
	return a
}

// WithState returns a in another state.
func (a Announcement) WithState(state BackendState) Announcement {
	a.state = state
	return a
}

// Backend returns the id of the backend server, or "".
func (a Announcement) Backend() string { return a.backend }

// Service returns the service of the backend server.
func (a Announcement) Service() ServiceName { return a.service }

// Address returns where the backend server listens.
func (a Announcement) Address() netip.AddrPort { return a.address }

// Slots returns how many requests the backend server takes at once.
func (a Announcement) Slots() int { return a.slots }

// Conns returns how many connections the backend server takes.
func (a Announcement) Conns() int { return a.conns }

// State returns what the backend server says of itself.
func (a Announcement) State() BackendState { return a.state }

// Cold returns for how long the backend server stays slow after its start.
func (a Announcement) Cold() Millis { return a.cold }

// Born returns the number of the start of the backend server, 0 if unknown.
func (a Announcement) Born() uint64 { return a.born }

// Number returns the number of the announcement, 0 if unknown.
func (a Announcement) Number() uint64 { return a.number }

// Follows reports whether a is newer than an announcement that was taken
// before. One of an earlier start, or an earlier one of the same start, is late.
func (a Announcement) Follows(before Announcement) bool {
	if a.born != before.born {
		return a.born > before.born
	}
	return a.number == 0 || a.number > before.number
}
