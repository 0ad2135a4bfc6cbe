package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callTimeout is the timeout of a client's request.
const callTimeout = 2 * time.Second

// call sends one request without a body on a connection of its own and returns the status of
// the answer, 0 if there is none.
func (m *machine) call(method, host, path, id, key string) int {
	status, err := m.send(method, host, path, id, key)
	if err != nil {
		m.fleet.record.line("client: %s at %s: %s %s has no answer: %v", id, m.name, method, path, err)
		return 0
	}
	m.fleet.record.line("client: %s at %s: %s %s with key %s is answered with status %d", id, m.name, method, path, key, status)
	return status
}

func (m *machine) send(method, host, path, id, key string) (int, error) {
	conn, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(callTimeout + time.Second))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: %s\r\nContent-Length: 0\r\n\r\n",
		method, path, host, id, callTimeout.Milliseconds(), key); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
