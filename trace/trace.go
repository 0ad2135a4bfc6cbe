package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
	// maxContext bounds the lines that are kept until the path of the request is
	// known.
	maxContext = 1 << 20
	// margin is how long before and after the request the warnings of its nodes are
	// still reported and their omitted lines still counted.
	margin = time.Second
)

// Trace collects the log lines that concern one request.
type Trace struct {
	request    string
	lines      []Line // about the request and the calls made for it
	context    []Line // warnings about no request, and lines that count omitted ones; at most maxContext
	unreadable int    // lines that could not be parsed
}

// New returns a trace of the request with the given id. The trace includes the calls that
// backend servers made for the request, whose ids begin with that id and a full stop.
func New(request string) *Trace { return &Trace{request: request} }

// Read adds all lines of a log. It counts lines that it cannot parse and continues.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		line, err := ParseLine(scanner.Bytes())
		if err != nil {
			t.unreadable++
			continue
		}
		t.Add(line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Errorf("read log: %w", err)
	}
	return nil
}

// Add adds a line if it concerns the request or may explain what happened to it.
func (t *Trace) Add(l Line) {
	switch {
	case l.request == t.request, strings.HasPrefix(l.request, t.request+"."):
		t.lines = append(t.lines, l)
	case (l.warn && l.request == "" || l.omitted > 0) && len(t.context) < maxContext:
		t.context = append(t.context, l)
	}
}

// Found reports whether any line is about the request.
func (t *Trace) Found() bool { return len(t.lines) > 0 }

// Unreadable returns how many lines could not be parsed.
func (t *Trace) Unreadable() int { return t.unreadable }

// Report writes the lines about the request in order of time, together with the warnings
// that its nodes logged at that time, except those about other nodes, and how many lines
// its nodes omitted from their logs meanwhile.
func (t *Trace) Report(w io.Writer) error {
	if !t.Found() {
		return t.print(w, "no log line mentions request %s\n", t.request)
	}
	lines := slices.Clone(t.lines)
	byTime := func(a, b Line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(lines, byTime)
	first, last := lines[0].at, lines[len(lines)-1].at
	nodes := nodesOf(lines)
	omitted := make(map[string]int64)
	for _, l := range t.context {
		if l.at.Before(first.Add(-margin)) || l.at.After(last.Add(margin)) || !nodes[l.instance] {
			continue
		}
		if l.omitted > 0 {
			omitted[l.instance] += l.omitted
		}
		if l.warn && l.request == "" && (l.node == "" || nodes[l.node]) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	if err := t.print(w, "request %s from %s\n", t.request, first.UTC().Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, l := range lines {
		if err := t.print(w, "%9.3f s %s%s\n", l.at.Sub(first).Seconds(), t.mark(l), l); err != nil {
			return err
		}
	}
	for _, name := range sortedNames(omitted) {
		if err := t.print(w, "%s omitted %d log lines at that time\n", name, omitted[name]); err != nil {
			return err
		}
	}
	return nil
}

// mark returns the mark in front of a line: an exclamation mark if the line is about no
// request, the end of the id if it is about a call made for the request, and blanks if it is
// about the request itself.
func (t *Trace) mark(l Line) string {
	switch {
	case l.request == "":
		return "! "
	case l.request != t.request:
		return "  " + strings.TrimPrefix(l.request, t.request) + " "
	}
	return "  "
}

func (t *Trace) print(w io.Writer, format string, args ...any) error {
	if _, err := fmt.Fprintf(w, format, args...); err != nil {
		return errors.Errorf("write report: %w", err)
	}
	return nil
}

// nodesOf returns the instances that the request reached: those that wrote the lines or that
// the lines are about.
func nodesOf(lines []Line) map[string]bool {
	nodes := make(map[string]bool)
	for _, l := range lines {
		nodes[l.instance] = true
		if l.node != "" {
			nodes[l.node] = true
		}
	}
	return nodes
}

func sortedNames(counts map[string]int64) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
