package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The sizes in bytes and the times of the uploads. The client sends the first part of a body at
// once and the rest as fast as a slow uplink carries it, in under half a second.
const (
	uploads       = 6
	uploadBytes   = 240 << 10
	uploadFirst   = 96 << 10
	uploadPiece   = 8 << 10
	uploadPause   = 25 * time.Millisecond
	uploadTimeout = 4 * time.Second
	answerBytes   = 192 << 10
)

// uploadBody returns a body in which each line of 16 bytes gives its own offset.
func uploadBody() []byte {
	body := make([]byte, 0, uploadBytes)
	for len(body) < uploadBytes {
		body = fmt.Appendf(body, "%015d\n", len(body))
	}
	return body
}

// uploadServer is a backend server that answers uploads.
type uploadServer struct {
	early bool // answers before it has read the body, and reads on then

	mu    sync.Mutex
	runs  int
	wrong int // runs with other bytes than the client had sent
}

// serve reads the body of an upload and writes an answer.
func (s *uploadServer) serve(b *backend, conn net.Conn, r *http.Request) bool {
	answer := append([]byte(b.head(r, http.StatusOK, answerBytes)), bytes.Repeat([]byte("x"), answerBytes)...)
	written := make(chan error, 1)
	write := func() { _, err := conn.Write(answer); written <- err }
	if s.early {
		go write()
	}
	body, err := io.ReadAll(r.Body)
	s.check(b, r, body, err)
	if !s.early {
		write()
	}
	return <-written == nil && err == nil
}

// check compares what has arrived of a body with what the client has sent. A body that was
// broken off is no fault if what has arrived is its beginning.
func (s *uploadServer) check(b *backend, r *http.Request, got []byte, err error) {
	want, wrong := uploadBody(), -1
	for i := range got {
		if i >= len(want) || got[i] != want[i] {
			wrong = i
			break
		}
	}
	if wrong < 0 && err == nil && len(got) < len(want) {
		wrong = len(got)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	text := "as sent"
	if wrong >= 0 {
		s.wrong++
		text = "other than sent from byte " + strconv.Itoa(wrong) + " on"
	}
	end := "it ended in order"
	if err != nil {
		end = "it was broken off: " + err.Error()
	}
	b.machine.fleet.record.line("backend %s: runs %s: got %d of %d bytes of the body, %s; %s", b.id, r.Header.Get("Attempt-Id"), len(got), len(want), text, end)
}

// runEarly sends uploads over a slow uplink. With the disruption, the backend servers answer
// before they have read the body, keep the connection and read on.
func runEarly(f *fleet, trouble bool) error {
	server := &uploadServer{early: trouble}
	hosts := []listener{{Host: "stands.example", Rules: []rule{newRule("r-upload", "upload", "/upload/", logs, int(uploadTimeout.Milliseconds()))}}}
	if err := f.start(newConfiguration(7, hosts, "key-a"), server.serve); err != nil {
		return err
	}
	for i := range uploads {
		if err := f.upload(f.machineOf(zoneA, balance), "upload-"+strconv.Itoa(i+1), i%2 == 0); err != nil {
			f.record.line("client: %v", err)
		}
	}
	time.Sleep(time.Second)
	server.mu.Lock()
	defer server.mu.Unlock()
	f.record.line("%d uploads have run, %d of them with other bytes than the client had sent", server.runs, server.wrong)
	switch {
	case server.runs == 0:
		return errors.New("no upload has run")
	case server.wrong > 0:
		return fmt.Errorf("%w: UNASKED: %d of %d uploads ran with other bytes than the client had sent", errBroken, server.wrong, server.runs)
	}
	return nil
}

// upload sends one upload and reads the answer as it arrives.
func (f *fleet) upload(m *machine, id string, chunked bool) error {
	conn, err := net.Dial("tcp", m.callers)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(uploadTimeout))
	framing := "Content-Length: " + strconv.Itoa(uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	head := fmt.Sprintf("POST /upload/2f HTTP/1.1\r\nHost: stands.example\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: key-a\r\n%s\r\n\r\n",
		id, uploadTimeout.Milliseconds(), framing)
	f.record.line("client: sends %s, %s", id, framing)
	sent := make(chan error, 1)
	go func() { sent <- sendUpload(conn, head, chunked) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("%s has no answer: %w", id, err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	f.record.line("client: %s is answered with status %d and %d of %d bytes of body, error: %v", id, response.StatusCode, n, response.ContentLength, err)
	return <-sent
}

// sendUpload sends the head and the body of an upload.
func sendUpload(conn net.Conn, head string, chunked bool) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	body := uploadBody()
	for first := true; len(body) > 0; first = false {
		piece := body[:min(uploadPiece, len(body))]
		if first {
			piece = body[:uploadFirst]
		} else {
			time.Sleep(uploadPause)
		}
		body = body[len(piece):]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	if !chunked {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
