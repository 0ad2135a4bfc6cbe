package node

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// The headers of requests and answers.
const (
	headerKey         = "Authorization"
	headerIdempotency = "Idempotency-Key"
	headerTimeout     = "Jackdaw-Timeout"  // milliseconds
	headerToken       = "Jackdaw-Token"    // hex
	headerRequest     = "Jackdaw-Request"  // request id
	headerOutcome     = "Jackdaw-Outcome"  // of a refusal
	headerReason      = "Jackdaw-Reason"   // of a refusal
	headerStatus      = "Jackdaw-Status"   // status of the run that came before
	headerEnvelope    = "Jackdaw-Envelope" // sealed, base64
	headerLevel       = "Jackdaw-Level"    // admission level, between nodes
	headerUnused      = "Jackdaw-Unused"   // retries given back, between nodes
	headerRetryAfter  = "Retry-After"      // seconds
)

const (
	ownPrefix = "Jackdaw-"
	// maxIdempotency bounds the length of an idempotency key. A UUID with the
	// name of a data centre fits well within it.
	maxIdempotency = 128
)

// hopHeaders concern one connection only and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passedHeader returns the headers of a request or an answer that go on to the
// next hop. Headers of this system and the caller's key never do.
func passedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		if !isOwn(name) && name != headerKey {
			to[name] = values
		}
	}
	for _, field := range from["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(to, name)
	}
	return to
}

// isOwn reports whether a header belongs to this system. An underscore counts
// as a hyphen, because some servers do not tell them apart.
func isOwn(name string) bool {
	if len(name) < len(ownPrefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(ownPrefix)], "_", "-"), ownPrefix)
}

// onlyValue returns the value of a header that may come once.
func onlyValue(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) > 1 {
		return "", errors.Errorf("header %s comes %d times: want once", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// keyOf returns the hash of the caller's key.
func keyOf(h http.Header) (hash jackdawbridge.KeyHash, keyed bool, err error) {
	value, err := onlyValue(h, headerKey)
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
	value, err := onlyValue(h, headerToken)
	if err != nil {
		return token, err
	}
	data, err := hex.DecodeString(value)
	if err != nil || len(data) != len(token) {
		return token, errors.Errorf("header %s has %d characters: want %d hexadecimal digits", headerToken, len(value), 2*len(token))
	}
	copy(token[:], data)
	return token, nil
}

// idempotencyOf returns the idempotency key of a request.
func idempotencyOf(h http.Header) (string, error) {
	value, err := onlyValue(h, headerIdempotency)
	if err != nil {
		return "", err
	}
	printable := !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
	if len(value) > maxIdempotency || !printable {
		return "", errors.Errorf("header %s has %d characters: want at most %d printable ones", headerIdempotency, len(value), maxIdempotency)
	}
	return value, nil
}

// budgetOf returns the time that a caller gives a request.
func budgetOf(h http.Header, limits Limits) (jackdawbridge.Millis, error) {
	value, err := onlyValue(h, headerTimeout)
	if err != nil {
		return 0, err
	}
	if value == "" {
		return millis(limits.defaultTimeout), nil
	}
	budget, err := strconv.ParseInt(value, 10, 64)
	if err != nil || budget < 1 {
		return 0, errors.Errorf("header %s is not a number of milliseconds above 0", headerTimeout)
	}
	return min(jackdawbridge.Millis(budget), millis(limits.maxTimeout)), nil
}

func millis(d time.Duration) jackdawbridge.Millis { return jackdawbridge.Millis(d.Milliseconds()) }

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

// requestURL returns the URL of a request at the next hop.
func requestURL(host, rawPath, query string) (*url.URL, error) {
	u, err := url.ParseRequestURI(rawPath)
	if err != nil {
		return nil, errors.Errorf("path: %w", err)
	}
	u.Scheme = "http"
	u.Host = host
	u.RawQuery = query
	return u, nil
}
