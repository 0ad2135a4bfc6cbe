package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The times of the uploads whose client stops in the middle.
const (
	pausedUploads  = 12
	routeTimeout   = time.Second            // timeoutMs of their route
	answerSlack    = 500 * time.Millisecond // after routeTimeout
	pausedPatience = 4 * time.Second        // the client's own timeout
)

// runPause sends uploads whose client stops after the first part of the body and waits for the
// answer. With the disruption, the backend servers answer before they have read the body, keep
// the connection and read on. Without it, they answer after it, and the node has to answer.
func runPause(f *fleet, trouble bool) error {
	var mu sync.Mutex
	runs, unanswered, late := 0, 0, 0
	serve := func(b *backend, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get("Attempt-Id")
		f.record.line("backend %s: begins to run %s", b.id, id)
		mu.Lock()
		runs++
		mu.Unlock()
		if trouble {
			if !b.answer(conn, r) {
				return false
			}
			f.record.line("backend %s: has answered %s with status 200", b.id, id)
		}
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil && (trouble || b.answer(conn, r))
	}
	hosts := []listener{{Host: "stands.example", Rules: []rule{newRule("r-upload", "upload", "/upload/", logs, int(routeTimeout.Milliseconds()))}}}
	if err := f.start(newConfiguration(7, hosts, "key-a"), serve); err != nil {
		return err
	}
	var group sync.WaitGroup
	for i := range pausedUploads {
		group.Go(func() {
			took := f.pausedUpload(f.machineOf(zoneA, balance), "upload-"+strconv.Itoa(i+1))
			mu.Lock()
			defer mu.Unlock()
			if took >= routeTimeout {
				unanswered++
			}
			if took >= routeTimeout+answerSlack {
				late++
			}
		})
	}
	group.Wait()
	f.record.line("%d uploads have run, %d had no answer at %v, %d of them had none %v later", runs, unanswered, routeTimeout, late, answerSlack)
	switch {
	case runs == 0:
		return errors.New("no upload has run")
	case 2*late > unanswered:
		return fmt.Errorf("%w: CONFIG: of %d uploads without an answer at their route's timeout, %d had none %v later", errBroken, unanswered, late, answerSlack)
	}
	return nil
}

// pausedUpload sends the first part of an upload, and returns after which time the answer came.
// Without one it returns the client's own timeout.
func (f *fleet) pausedUpload(m *machine, id string) time.Duration {
	conn, err := net.Dial("tcp", m.callers)
	if err != nil {
		f.record.line("client: %s could not be sent: %v", id, err)
		return 0
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	began := time.Now()
	_ = conn.SetDeadline(began.Add(pausedPatience))
	head := fmt.Sprintf("POST /upload/2f HTTP/1.1\r\nHost: stands.example\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: key-a\r\nContent-Length: %d\r\n\r\n",
		id, pausedPatience.Milliseconds(), uploadBytes)
	if _, err := conn.Write(append([]byte(head), uploadBody()[:uploadFirst]...)); err != nil {
		f.record.line("client: %s could not be sent: %v", id, err)
		return 0
	}
	f.record.line("client: has sent the head of %s and %d of %d bytes of its body, and stops", id, uploadFirst, uploadBytes)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(began).Round(time.Millisecond)
	if err != nil {
		f.record.line("client: %s has no answer after %v: %v", id, took, err)
		return max(took, pausedPatience)
	}
	f.record.line("client: %s is answered with status %d after %v", id, response.StatusCode, took)
	return took
}
