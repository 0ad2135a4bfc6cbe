// Package native implements the product's native protocol for callers and backend
// servers.
//
// Callers send METHOD /SERVICE/path with a key. A refusal has the outcome and the
// reason in its headers. A backend server announces itself with PUT
// /jackdaw/backend.
package native

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

// The headers of requests and answers.
const (
	HeaderKey         = "Authorization" // "Bearer" and the caller's key
	HeaderIdempotency = "Idempotency-Key"
	HeaderTimeout     = "Jackdaw-Timeout" // how much longer the caller waits, in milliseconds
	HeaderToken       = "Jackdaw-Token"   // token for calls that the backend server makes for a request, in hex
	HeaderRequest     = "Jackdaw-Request" // request id
	HeaderOutcome     = "Jackdaw-Outcome" // outcome of a refused request
	HeaderReason      = "Jackdaw-Reason"  // reason of a refusal
	HeaderStatus      = "Jackdaw-Status"  // status code of the earlier run with the same idempotency key
	HeaderRetryAfter  = "Retry-After"     // seconds
)

const (
	// announcePath is the path to which the local backend server sends its
	// announcements.
	announcePath = "/jackdaw/backend"
	// readyPath is the path of the readiness check.
	readyPath = "/ready"
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxIdempotencyKey limits the length of an idempotency key. It leaves ample
	// room for a UUID with the name of a data centre.
	maxIdempotencyKey = 128
)

// Dialect is the product's native protocol.
type Dialect struct {
	timeout    jackdawbridge.Millis // for a request without a timeout
	maxTimeout jackdawbridge.Millis
}

var _ jackdawbridge.Dialect = Dialect{}

// New returns the native protocol with the default and the longest timeout of a
// request.
func New(timeout, maxTimeout time.Duration) Dialect {
	return Dialect{
		timeout:    jackdawbridge.Millis(timeout.Milliseconds()),
		maxTimeout: jackdawbridge.Millis(maxTimeout.Milliseconds()),
	}
}

// ReadCall reads the head of a request of a caller or, if child is set, of the local
// backend server.
func (d Dialect) ReadCall(r *http.Request, header http.Header, child bool) (jackdawbridge.Head, error) {
	var none jackdawbridge.Head
	to, err := targetOf(r.URL)
	if err != nil {
		return none, err
	}
	budget, err := d.budgetOf(r.Header)
	if err != nil {
		return none, err
	}
	idempotency, err := idempotencyKeyOf(r.Header)
	if err != nil {
		return none, err
	}
	id := jackdawbridge.RequestID(uuid.Must(uuid.NewV7()).String())
	request := jackdawbridge.NewRequest(id, to.service, r.Method, to.path, budget).WithIdempotencyKey(idempotency)
	if child {
		token, err := tokenOf(r.Header)
		if err != nil {
			return none, err
		}
		request.WithToken(token)
	} else {
		hash, keyed, err := keyOf(r.Header)
		if err != nil {
			return none, err
		}
		if keyed {
			request.WithKey(hash)
		}
	}
	header.Del(HeaderKey)
	return jackdawbridge.NewHead(request, to.rawPath, to.query, header), nil
}

// SetBackendHeaders sets the request id, the time left and the token for calls that
// the backend server makes for the request.
func (d Dialect) SetBackendHeaders(h http.Header, call jackdawbridge.BackendCall) {
	token := call.Token()
	h.Set(HeaderToken, hex.EncodeToString(token[:]))
	h.Set(HeaderTimeout, strconv.FormatInt(int64(call.Budget()), 10))
	h.Set(HeaderRequest, string(call.ID()))
}

// AnsweredRequest reports that answers of this protocol carry no request id.
func (d Dialect) AnsweredRequest(*http.Response) (jackdawbridge.RequestID, bool) { return "", false }

// ClassifyAnswer accepts every answer whose end can be detected. A backend server
// of this protocol has no way to report that it did not run a request, so no answer
// is a refusal.
func (d Dialect) ClassifyAnswer(answer *http.Response) (jackdawbridge.Refusal, bool, error) {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && answer.Body != http.NoBody {
		return jackdawbridge.Refusal{}, false, errors.New("answer has neither a length nor chunked encoding: its end looks like a lost connection")
	}
	return jackdawbridge.Refusal{}, false, nil
}

// ReadLoad reports false: backend servers of this protocol do not report their load with
// answers.
func (d Dialect) ReadLoad(*http.Response) (jackdawbridge.BackendLoad, bool) {
	return jackdawbridge.BackendLoad{}, false
}

// WriteRefusal sets the headers for the outcome and the reason of a refusal and
// returns its status code.
func (d Dialect) WriteRefusal(h http.Header, refusal jackdawbridge.Refusal) int {
	h.Set(HeaderOutcome, refusal.Outcome().String())
	h.Set(HeaderReason, refusal.Reason().String())
	if after := refusal.RetryAfter(); after > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64((after+jackdawbridge.Second-1)/jackdawbridge.Second), 10))
	}
	if refusal.Status() != 0 {
		h.Set(HeaderStatus, strconv.Itoa(refusal.Status()))
	}
	if refusal.Reason() == jackdawbridge.MissingKey || refusal.Reason() == jackdawbridge.InvalidKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	return statusOf(refusal.Reason())
}

// statusOf returns the status code of a refusal.
func statusOf(reason jackdawbridge.Reason) int {
	switch reason {
	case jackdawbridge.UnknownService, jackdawbridge.UnknownRoute:
		return http.StatusNotFound
	case jackdawbridge.MissingKey, jackdawbridge.InvalidKey:
		return http.StatusUnauthorized
	case jackdawbridge.InvalidToken:
		return http.StatusForbidden
	case jackdawbridge.TooDeep:
		return http.StatusLoopDetected
	case jackdawbridge.OverRate:
		return http.StatusTooManyRequests
	case jackdawbridge.DeadlinePassed:
		return http.StatusGatewayTimeout
	case jackdawbridge.UpstreamFailed:
		return http.StatusBadGateway
	case jackdawbridge.Quarantined:
		return http.StatusUnprocessableEntity
	case jackdawbridge.AlreadyRunning, jackdawbridge.AlreadyRan, jackdawbridge.InDoubt:
		return http.StatusConflict
	case jackdawbridge.BadInput:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// announcement is the body of an announcement of the local backend server.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"` // IP:PORT
	Slots    int    `json:"slots"`   // requests that the backend server serves concurrently
	Conns    int    `json:"conns"`   // connections that the backend server accepts
	Draining bool   `json:"draining"`
}

// IsAnnouncement reports whether a request is an announcement.
func (d Dialect) IsAnnouncement(r *http.Request) bool { return r.URL.Path == announcePath }

// ReadAnnouncement parses an announcement. The address must be a loopback address,
// because a node reaches its backend server over loopback only.
func (d Dialect) ReadAnnouncement(r *http.Request) (jackdawbridge.Announcement, error) {
	var none jackdawbridge.Announcement
	if r.Method != http.MethodPut {
		return none, errors.Errorf("announcement has method %s: want PUT", r.Method)
	}
	var a announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return none, errors.Errorf("parse announcement: %w", err)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || !address.Addr().IsLoopback() {
		return none, errors.Errorf("announcement has address %q: want a loopback IP address with a port", a.Address)
	}
	state := jackdawbridge.BackendServing
	if a.Draining {
		state = jackdawbridge.BackendDraining
	}
	return jackdawbridge.NewAnnouncement(jackdawbridge.ServiceName(a.Service), address, a.Slots, a.Conns, state)
}

// ConfigVersion returns the revision, since operators give the configuration no other version.
func (d Dialect) ConfigVersion(revision uint64) uint64 { return revision }

// AcknowledgeAnnouncement answers an announcement that was accepted.
func (d Dialect) AcknowledgeAnnouncement(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }

// ReadyPath returns the path of the readiness check.
func (d Dialect) ReadyPath() string { return readyPath }

// keyOf returns the hash of the caller's key. It reports false if the request has
// no bearer key.
func keyOf(h http.Header) (hash jackdawbridge.KeyHash, keyed bool, err error) {
	value, err := jackdawbridge.SingleHeaderValue(h, HeaderKey)
	if err != nil {
		return hash, false, err
	}
	scheme, key, _ := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return hash, false, nil
	}
	return sha256.Sum256([]byte(key)), true, nil
}

// tokenOf returns the token of a request that the local backend server makes.
func tokenOf(h http.Header) (jackdawbridge.Token, error) {
	var token jackdawbridge.Token
	value, err := jackdawbridge.SingleHeaderValue(h, HeaderToken)
	if err != nil {
		return token, err
	}
	data, err := hex.DecodeString(value)
	if err != nil || len(data) != len(token) {
		return token, errors.Errorf("header %s has %d characters: want %d hexadecimal digits", HeaderToken, len(value), 2*len(token))
	}
	copy(token[:], data)
	return token, nil
}

// idempotencyKeyOf returns the idempotency key of a request, or "" if it has none.
func idempotencyKeyOf(h http.Header) (string, error) {
	value, err := jackdawbridge.SingleHeaderValue(h, HeaderIdempotency)
	if err != nil {
		return "", err
	}
	printable := !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
	if len(value) > maxIdempotencyKey || !printable {
		return "", errors.Errorf("header %s has %d characters: want at most %d printable ASCII characters without spaces", HeaderIdempotency, len(value), maxIdempotencyKey)
	}
	return value, nil
}

// budgetOf returns the time that a caller allows for a request, at most the longest
// timeout.
func (d Dialect) budgetOf(h http.Header) (jackdawbridge.Millis, error) {
	value, err := jackdawbridge.SingleHeaderValue(h, HeaderTimeout)
	if err != nil {
		return 0, err
	}
	if value == "" {
		return d.timeout, nil
	}
	budget, err := strconv.ParseInt(value, 10, 64)
	if err != nil || budget < 1 {
		return 0, errors.Errorf("header %s is not a number of milliseconds above 0", HeaderTimeout)
	}
	return min(jackdawbridge.Millis(budget), d.maxTimeout), nil
}

// target is the service and the path of a request.
type target struct {
	service jackdawbridge.ServiceName
	path    string // below the service, decoded
	rawPath string // below the service, encoded as the caller sent it
	query   string
}

// targetOf splits a path of the form /SERVICE/rest. It rejects paths that a backend
// server could interpret differently from the node, because a request for a route that
// requires a key could otherwise pass as a request for an open route.
func targetOf(u *url.URL) (target, error) {
	escaped := u.EscapedPath()
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%00") || strings.Contains(u.Path, `\`) {
		return target{}, errors.New("path has a backslash or an escaped slash, backslash or zero byte")
	}
	if cleaned := path.Clean(u.Path); u.Path != cleaned && u.Path != cleaned+"/" {
		return target{}, errors.New("path has empty or dot segments")
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	_, rawPath, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	if !strings.HasPrefix(u.Path, "/") || service == "" {
		return target{}, errors.New("path has no service: want /SERVICE/rest")
	}
	return target{service: jackdawbridge.ServiceName(service), path: "/" + rest, rawPath: "/" + rawPath, query: u.RawQuery}, nil
}
