//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// routeHost is the host of the route of each case.
const routeHost = "hulo84.example"

// callTimeout is how long a client waits.
const callTimeout = 5 * time.Second

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+lastID.Add(1)) }

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 if there was none
}

// call sends a request without a body to a node and waits for the answer.
func (n *node) call(path string, header http.Header) answer {
	a := answer{id: newID(), sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+n.addresses["callers"]+path, nil)
	if err != nil {
		return a
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = routeHost
	request.Header.Set("Attempt-Id", a.id)
	request.Header.Set("Timeout-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	request.Header.Set("Credential", credential)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return a
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	a.status = response.StatusCode
	return a
}
