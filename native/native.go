// Package native is the product's own protocol for callers and backend servers.
//
// Callers send METHOD /SERVICE/path with a key and get refusals with an outcome
// and a reason. A backend server announces itself with PUT /jackdaw/backend.
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
	HeaderKey         = "Authorization"
	HeaderIdempotency = "Idempotency-Key"
	HeaderTimeout     = "Jackdaw-Timeout" // milliseconds
	HeaderToken       = "Jackdaw-Token"   // hex
	HeaderRequest     = "Jackdaw-Request" // request id
	HeaderOutcome     = "Jackdaw-Outcome" // of a refusal
	HeaderReason      = "Jackdaw-Reason"  // of a refusal
	HeaderStatus      = "Jackdaw-Status"  // status of the run that came before
	HeaderRetryAfter  = "Retry-After"     // seconds
)

const (
	// announcePath is where the own backend server announces itself.
	announcePath = "/jackdaw/backend"
	// readyPath tells whether the node serves.
	readyPath = "/ready"
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 4 << 10
	// maxIdempotency bounds the length of an idempotency key. A UUID with the
	// name of a data centre fits well within it.
	maxIdempotency = 128
)

// Dialect is the product's own protocol.
type Dialect struct {
	timeout    jackdawbridge.Millis // of a call that names none
	maxTimeout jackdawbridge.Millis
}

var _ jackdawbridge.Dialect = Dialect{}

// New returns the protocol with the default and the greatest time for a call.
func New(timeout, maxTimeout time.Duration) Dialect {
	return Dialect{
		timeout:    jackdawbridge.Millis(timeout.Milliseconds()),
		maxTimeout: jackdawbridge.Millis(maxTimeout.Milliseconds()),
	}
}

// ReadCall reads the head of a request of a caller, or of the own backend
// server.
func (d Dialect) ReadCall(r *http.Request, child bool) (jackdawbridge.Head, error) {
	var none jackdawbridge.Head
	to, err := targetOf(r.URL)
	if err != nil {
		return none, err
	}
	budget, err := d.budgetOf(r.Header)
	if err != nil {
		return none, err
	}
	idempotency, err := idempotencyOf(r.Header)
	if err != nil {
		return none, err
	}
	id := jackdawbridge.RequestID(uuid.Must(uuid.NewV7()).String())
	request := jackdawbridge.NewRequest(id, to.service, r.Method, to.path, budget).WithIdempotency(idempotency)
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
	header := r.Header.Clone()
	header.Del(HeaderKey)
	return jackdawbridge.NewHead(request, to.raw, to.query, header), nil
}

// SetBackendHeaders tells a backend server the request's id, its time and the token for
// own calls.
func (d Dialect) SetBackendHeaders(h http.Header, launch jackdawbridge.BackendCall) {
	token := launch.Token()
	h.Set(HeaderToken, hex.EncodeToString(token[:]))
	h.Set(HeaderTimeout, strconv.FormatInt(int64(launch.Budget()), 10))
	h.Set(HeaderRequest, string(launch.ID()))
}

// AnsweredRequest reports that answers name no request.
func (d Dialect) AnsweredRequest(*http.Response) (jackdawbridge.RequestID, bool) { return "", false }

// ClassifyAnswer takes every answer that tells its end: a backend server of this
// protocol does not say that it has not run a request.
func (d Dialect) ClassifyAnswer(answer *http.Response) (jackdawbridge.Refusal, bool, error) {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && answer.Body != http.NoBody {
		return jackdawbridge.Refusal{}, false, errors.New("answer has no length, its end could not be told from a failure")
	}
	return jackdawbridge.Refusal{}, false, nil
}

// WriteRefusal tells the outcome and the reason of a refusal.
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

// announcement is what the own backend server tells of itself.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Conns    int    `json:"conns"`
	Draining bool   `json:"draining"`
}

// IsAnnouncement reports whether a request is an announcement.
func (d Dialect) IsAnnouncement(r *http.Request) bool { return r.URL.Path == announcePath }

// ReadAnnouncement reads an announcement. A backend server is reached over
// loopback.
func (d Dialect) ReadAnnouncement(r *http.Request) (jackdawbridge.Announcement, error) {
	var none jackdawbridge.Announcement
	if r.Method != http.MethodPut {
		return none, errors.Errorf("announcement by %s: want PUT", r.Method)
	}
	var a announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return none, errors.Errorf("announcement: %w", err)
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

// AcknowledgeAnnouncement answers an announcement.
func (d Dialect) AcknowledgeAnnouncement(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }

// ReadyPath returns the path at which the node tells whether it serves.
func (d Dialect) ReadyPath() string { return readyPath }

// keyOf returns the hash of the caller's key.
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

// tokenOf returns the token of a backend server's own call.
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

// idempotencyOf returns the idempotency key of a request.
func idempotencyOf(h http.Header) (string, error) {
	value, err := jackdawbridge.SingleHeaderValue(h, HeaderIdempotency)
	if err != nil {
		return "", err
	}
	printable := !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
	if len(value) > maxIdempotency || !printable {
		return "", errors.Errorf("header %s has %d characters: want at most %d printable ones", HeaderIdempotency, len(value), maxIdempotency)
	}
	return value, nil
}

// budgetOf returns the time that a caller gives a request.
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

// target is where a caller's request goes.
type target struct {
	service jackdawbridge.ServiceName
	path    string // below the service, decoded
	raw     string // the same, as sent
	query   string
}

// targetOf splits the path /SERVICE/rest. A path that a backend server could
// read in another way than the routes do is refused: it could reach a route
// that needs a key as one that is open.
func targetOf(u *url.URL) (target, error) {
	escaped := u.EscapedPath()
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%00") || strings.Contains(u.Path, `\`) {
		return target{}, errors.New("path has an escaped separator")
	}
	if cleaned := path.Clean(u.Path); u.Path != cleaned && u.Path != cleaned+"/" {
		return target{}, errors.New("path has empty or dot segments")
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	_, raw, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	if !strings.HasPrefix(u.Path, "/") || service == "" {
		return target{}, errors.New("path names no service: want /SERVICE/rest")
	}
	return target{service: jackdawbridge.ServiceName(service), path: "/" + rest, raw: "/" + raw, query: u.RawQuery}, nil
}
