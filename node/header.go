package node

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// headerRequest is the header that returns the id of a request to its caller.
const headerRequest = "Jackdaw-Request"

// internalPrefix is the prefix of the headers of this system.
const internalPrefix = "Jackdaw-"

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeader returns the headers of a request or an answer that are forwarded
// to the next hop. Headers of this system are never forwarded.
func endToEndHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		if !isInternalHeader(name) {
			to[name] = values
		}
	}
	for _, field := range from["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	return to
}

// isInternalHeader reports whether a header belongs to this system. An underscore
// counts as a hyphen, because some servers treat the two as the same.
func isInternalHeader(name string) bool {
	if len(name) < len(internalPrefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(internalPrefix)], "_", "-"), internalPrefix)
}

// requestURL builds the URL of a request to the next hop from the escaped path
// and the query as they were received.
func requestURL(host, rawPath, query string) (*url.URL, error) {
	u, err := url.ParseRequestURI(rawPath)
	if err != nil {
		return nil, errors.Errorf("parse request path: %w", err)
	}
	u.Scheme = "http"
	u.Host = host
	u.RawQuery = query
	return u, nil
}
