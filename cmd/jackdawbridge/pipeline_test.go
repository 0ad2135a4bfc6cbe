package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
)

// pipeline is a connection on which several requests were sent before the first answer.
type pipeline struct {
	conn    net.Conn
	answers chan string // receives all answers, one in each line, and the end of the connection
}

// pipeline sends the requests of a script on one connection, without waiting for answers.
// Each line has a method, a path and the number of bytes in the body, followed by the number
// of those that are sent, if not all are, and the word unkeyed for a request without a key.
func (f *fleet) pipeline(d *datadriven.TestData) error {
	conn, err := net.Dial("tcp", f.nodes[arg(d, "node")].callers)
	if err != nil {
		return err
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	var sent strings.Builder
	lines := strings.Split(strings.TrimSpace(d.Input), "\n")
	for _, line := range lines {
		var method, path string
		var size int
		fields := strings.Fields(line)
		if _, err := fmt.Sscan(line, &method, &path, &size); err != nil {
			return errors.Errorf("request %q: %w", line, err)
		}
		fmt.Fprintf(&sent, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", method, path, size)
		if len(fields) > 3 && fields[3] == "unkeyed" {
			fields = fields[:3]
		} else {
			fmt.Fprintf(&sent, "Authorization: Bearer %s\r\n", f.keys[arg(d, "key")])
		}
		if len(fields) > 3 {
			if _, err := fmt.Sscan(fields[3], &size); err != nil {
				return errors.Errorf("request %q: %w", line, err)
			}
		}
		sent.WriteString("\r\n" + strings.Repeat("x", size))
	}
	f.pipelined = &pipeline{conn: conn, answers: make(chan string, 1)}
	go f.pipelined.read(len(lines))
	_, err = io.WriteString(conn, sent.String())
	return err
}

// read reads up to the given number of answers.
func (p *pipeline) read(count int) {
	var lines []string
	reader := bufio.NewReader(p.conn)
	for range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			lines = append(lines, "end of the connection")
			break
		}
		size, err := io.Copy(io.Discard, response.Body)
		line := fmt.Sprintf("%d %s %d bytes", response.StatusCode, response.Header.Get("Jackdaw-Reason"), size)
		if response.StatusCode != http.StatusOK {
			line = fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Jackdaw-Reason"))
		}
		if err != nil {
			line += " broken"
		}
		if response.Close {
			line += ", closes"
		}
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	p.answers <- strings.Join(lines, "\n")
}

// answersInOrder waits for the answers to the requests of the last pipeline.
func (f *fleet) answersInOrder() (string, error) {
	select {
	case answers := <-f.pipelined.answers:
		return answers, nil
	case <-time.After(stepTimeout):
		return "", errors.New("not all answers have arrived")
	}
}
