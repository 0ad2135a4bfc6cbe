package jackdawbridge

import (
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
)

// Dialect is the protocol between a node, its callers and the local backend server.
// It only translates messages and makes no decision about a request.
// A Dialect is safe for concurrent use.
type Dialect interface {
	// ReadCall reads the head of a request at its entry node. It changes header, which has
	// the fields of the request that are not meant for its connection only, into the header
	// for the backend server. If child is set, the request arrived at the listener for the
	// local backend server.
	ReadCall(r *http.Request, header http.Header, child bool) (Head, error)
	// SetBackendHeaders adds the headers for the backend server to a request.
	SetBackendHeaders(h http.Header, call BackendCall)
	// AnsweredRequest returns the request id in an answer of a backend server, or
	// "" if the answer has none. It reports false if answers of this protocol
	// carry no request id.
	AnsweredRequest(answer *http.Response) (RequestID, bool)
	// ClassifyAnswer reports whether an answer of a backend server is a refusal of
	// the request. The error means that the answer does not come from a backend
	// server.
	ClassifyAnswer(answer *http.Response) (refusal Refusal, refused bool, err error)
	// ReadLoad returns the load of a backend server as reported in an answer. It reports
	// false if the answer has none that can be read.
	ReadLoad(answer *http.Response) (BackendLoad, bool)
	// WriteRefusal sets the headers of a refusal and returns its status code.
	WriteRefusal(h http.Header, refusal Refusal) int
	// IsAnnouncement reports whether a request is an announcement of the local
	// backend server.
	IsAnnouncement(r *http.Request) bool
	// ReadAnnouncement parses an announcement.
	ReadAnnouncement(r *http.Request) (Announcement, error)
	// AcknowledgeAnnouncement answers an announcement that was accepted.
	AcknowledgeAnnouncement(w http.ResponseWriter)
	// ReadyPath returns the path of the readiness check.
	ReadyPath() string
	// ConfigVersion returns the version that operators gave to the configuration with the
	// given revision of the config table, 0 for none.
	ConfigVersion(revision uint64) uint64
}

// SingleHeaderValue returns the value of a header that may occur at most once, ""
// if it is missing. More than one value is an error because processes on the
// request's path could choose different ones.
func SingleHeaderValue(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) > 1 {
		return "", errors.Errorf("header %s occurs %d times: want at most once", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// Head is a request without its body.
type Head struct {
	request *Request
	rawPath string // as forwarded to the backend server, starts with a slash
	query   string
	header  http.Header // as forwarded to the backend server
}

// NewHead returns the head of a request, and sets the query of the request.
func NewHead(request *Request, rawPath, query string, header http.Header) Head {
	return Head{request: request.WithQuery(query), rawPath: rawPath, query: query, header: header}
}

// Request returns the parts of the request that decisions depend on.
func (h Head) Request() *Request { return h.request }

// RawPath returns the path for the backend server, encoded as the caller sent it.
func (h Head) RawPath() string { return h.rawPath }

// Query returns the raw query as the caller sent it.
func (h Head) Query() string { return h.query }

// Header returns the headers for the backend server. The caller may change them.
func (h Head) Header() http.Header { return h.header }

// BackendCall is what a node sends to the backend server along with a request.
type BackendCall struct {
	id      RequestID
	account AccountName // empty on open routes
	token   Token       // for calls that the backend server makes for the request
	budget  Millis      // time left to the deadline, above 0
	backend string      // id of the backend server, empty if it has none
}

// NewBackendCall returns what a node sends to the backend server along with a
// request.
func NewBackendCall(envelope Envelope, token Token, budget Millis, backend string) BackendCall {
	return BackendCall{id: envelope.id, account: envelope.account, token: token, budget: budget, backend: backend}
}

// ID returns the id of the request.
func (c BackendCall) ID() RequestID { return c.id }

// Account returns the client account, empty on open routes.
func (c BackendCall) Account() AccountName { return c.account }

// Token returns the token for calls that the backend server makes for the request.
func (c BackendCall) Token() Token { return c.token }

// Budget returns the time left to the deadline.
func (c BackendCall) Budget() Millis { return c.budget }

// Backend returns the id of the backend server that the request is sent to, or "".
func (c BackendCall) Backend() string { return c.backend }

// BackendState is the state that a backend server announces.
type BackendState uint8

// The states of a backend server.
const (
	BackendServing  BackendState = iota
	BackendDraining              // accepts no new requests
	BackendLeft                  // has signed off, but may still answer requests for a while
)

// String returns the name of the state.
func (s BackendState) String() string {
	switch s {
	case BackendServing:
		return "serving"
	case BackendDraining:
		return "draining"
	case BackendLeft:
		return "left"
	}
	return "invalid"
}

// Announcement is how the local backend server registers with its node and reports
// its capacity and state.
type Announcement struct {
	backend       string // id of the backend server, empty if it has none
	service       ServiceName
	address       netip.AddrPort
	slots         int // at least 1
	conns         int // at least 1
	state         BackendState
	slowStartLeft Millis // how much longer the backend server is slow after its start, 0 if it is not slow or if unknown
	generation    uint64 // Unix time of the backend server's start in milliseconds, 0 if unknown
	sequence      uint64 // increases with each announcement after one start, 0 if unknown
}

// maxAnnouncedCapacity limits the slots and the connections of one backend server.
const maxAnnouncedCapacity = 100_000

// NewAnnouncement returns the announcement of a backend server.
func NewAnnouncement(service ServiceName, address netip.AddrPort, slots, conns int, state BackendState) (Announcement, error) {
	var none Announcement
	switch {
	case service == "":
		return none, errors.New("announcement has no service")
	case slots < 1 || slots > maxAnnouncedCapacity:
		return none, errors.Errorf("announcement has %d slots: want 1 to %d", slots, maxAnnouncedCapacity)
	case conns < 1 || conns > maxAnnouncedCapacity:
		return none, errors.Errorf("announcement has %d conns: want 1 to %d", conns, maxAnnouncedCapacity)
	case address.Port() == 0:
		return none, errors.Errorf("announcement has address %q: want an IP address with a port", address)
	}
	return Announcement{service: service, address: address, slots: slots, conns: conns, state: state}, nil
}

// NewDeparture returns the announcement of a backend server that has left.
func NewDeparture(backend string, generation, sequence uint64) Announcement {
	return Announcement{backend: backend, state: BackendLeft, generation: generation, sequence: sequence}
}

// WithBackend returns a with the id of the backend server, how much longer it is slow
// after its start, the time of the start and the number of the announcement.
func (a Announcement) WithBackend(id string, slowStartLeft Millis, generation, sequence uint64) Announcement {
	a.backend, a.slowStartLeft, a.generation, a.sequence = id, slowStartLeft, generation, sequence
	return a
}

// WithState returns a in another state.
func (a Announcement) WithState(state BackendState) Announcement {
	a.state = state
	return a
}

// WithGeneration returns a with another time of the backend server's start.
func (a Announcement) WithGeneration(generation uint64) Announcement {
	a.generation = generation
	return a
}

// Backend returns the id of the backend server, or "".
func (a Announcement) Backend() string { return a.backend }

// Service returns the service of the backend server.
func (a Announcement) Service() ServiceName { return a.service }

// Address returns where the backend server listens.
func (a Announcement) Address() netip.AddrPort { return a.address }

// Slots returns how many concurrent requests the backend server accepts.
func (a Announcement) Slots() int { return a.slots }

// Conns returns how many connections the backend server accepts.
func (a Announcement) Conns() int { return a.conns }

// State returns the state that the backend server announces.
func (a Announcement) State() BackendState { return a.state }

// SlowStartLeft returns how much longer the backend server is slow after its start,
// counted from the announcement. It is 0 if the backend server is not slow or if the
// time is unknown.
func (a Announcement) SlowStartLeft() Millis { return a.slowStartLeft }

// Generation returns the Unix time of the backend server's start in milliseconds, 0 if
// unknown. It increases with each start.
func (a Announcement) Generation() uint64 { return a.generation }

// Sequence returns the number of the announcement, 0 if unknown.
func (a Announcement) Sequence() uint64 { return a.sequence }

// Process returns which announcement of which process a is.
func (a Announcement) Process() BackendProcess {
	return NewBackendProcess(a.backend, a.generation, a.sequence)
}

// NewerThan reports whether a is newer than the last accepted announcement. An
// announcement of an earlier start, or an earlier announcement of the same start, has
// arrived late. One without a sequence number counts as newer within its start.
func (a Announcement) NewerThan(last Announcement) bool {
	if a.generation != last.generation {
		return a.generation > last.generation
	}
	return a.sequence == 0 || a.sequence > last.sequence
}
