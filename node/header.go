package node

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// headerRequest tells a caller the id of its request.
const headerRequest = "Jackdaw-Request"

// ownPrefix begins the headers of this system.
const ownPrefix = "Jackdaw-"

// hopHeaders concern one connection only and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passedHeader returns the headers of a request or an answer that go on to the
// next hop. Headers of this system never do.
func passedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		if !isOwn(name) {
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
