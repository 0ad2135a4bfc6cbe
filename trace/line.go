package trace

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// The keys of a log line that are not its attributes.
const (
	keyTime     = "time"
	keyLevel    = "level"
	keyText     = "msg"
	keyInstance = "instance"
	keyRequest  = "request"
	keyNode     = "node"
	keyOmitted  = "omitted"
)

// Attr is a named value of a line.
type Attr struct{ key, value string }

// Line is a log line of a node.
type Line struct {
	at       time.Time
	warn     bool
	text     string // begins with the part that decided
	instance string // that wrote the line
	request  string // empty if the line is about no request
	node     string // instance of the node that the line is about, empty if about none
	omitted  int64  // lines of the same text that were left out before this one
	attrs    []Attr // the others, sorted by key
}

// ParseLine reads a line in the JSON format of the program's log. What comes before
// the first brace is passed over, since collectors put their own prefix there.
func ParseLine(data []byte) (Line, error) {
	var l Line
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return l, errors.New("no log line in JSON")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return l, errors.Errorf("log line: %w", err)
	}
	for key, value := range fields {
		if err := l.set(key, value); err != nil {
			return l, err
		}
	}
	if l.at.IsZero() || l.text == "" || l.instance == "" {
		return l, errors.Errorf("log line lacks %s, %s or %s", keyTime, keyText, keyInstance)
	}
	slices.SortFunc(l.attrs, func(a, b Attr) int { return strings.Compare(a.key, b.key) })
	return l, nil
}

// set takes one field of a line.
func (l *Line) set(key string, value json.RawMessage) error {
	var err error
	var level string
	switch key {
	case keyTime:
		err = json.Unmarshal(value, &l.at)
	case keyLevel:
		err = json.Unmarshal(value, &level)
		l.warn = level == "WARN" || level == "ERROR"
	case keyText:
		err = json.Unmarshal(value, &l.text)
	case keyInstance:
		err = json.Unmarshal(value, &l.instance)
	case keyRequest:
		err = json.Unmarshal(value, &l.request)
	case keyNode:
		err = json.Unmarshal(value, &l.node)
		l.node, _, _ = strings.Cut(l.node, "#") // the rest is the incarnation
	case keyOmitted:
		err = json.Unmarshal(value, &l.omitted)
	default:
		l.attrs = append(l.attrs, Attr{key: key, value: plain(value)})
	}
	if err != nil {
		return errors.Errorf("field %s of a log line: %w", key, err)
	}
	return nil
}

// plain returns a JSON value as text, without the quotes of a string.
func plain(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// String returns the line without its time.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.instance)
	b.WriteString("  ")
	b.WriteString(l.text)
	if l.node != "" && l.node != l.instance {
		b.WriteString(" " + keyNode + "=" + l.node)
	}
	for _, a := range l.attrs {
		b.WriteString(" " + a.key + "=" + a.value)
	}
	return b.String()
}
