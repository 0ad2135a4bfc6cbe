package trace

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// The JSON keys of a log line that have fields in Line. All other keys are attributes.
const (
	keyTime     = "time"
	keyLevel    = "level"
	keyText     = "msg"
	keyInstance = "instance"
	keyRequest  = "request"
	keyNode     = "node"
	keyOmitted  = "omitted"
)

// Attr is an attribute of a log line.
type Attr struct{ key, value string }

// Line is a log line of a node.
type Line struct {
	at       time.Time
	warn     bool   // level is WARN or ERROR
	text     string // message; begins with the name of the part that wrote it
	instance string // node that wrote the line
	request  string // empty if the line is about no request
	node     string // instance of the node that the line is about, empty if about none
	omitted  int64  // lines with the same text that were omitted before this one
	attrs    []Attr // all other fields, sorted by key
}

// ParseLine parses a line in the JSON format of the program's log. It ignores everything
// before the first brace, since log collectors put their own prefix there.
func ParseLine(data []byte) (Line, error) {
	var l Line
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return l, errors.New("parse log line: no JSON object found")
	}
	if err := l.setFields(data[start:]); err != nil {
		return l, errors.Errorf("parse log line: %w", err)
	}
	if l.at.IsZero() || l.text == "" || l.instance == "" {
		return l, errors.Errorf("parse log line: field %s, %s or %s is missing", keyTime, keyText, keyInstance)
	}
	slices.SortFunc(l.attrs, func(a, b Attr) int { return strings.Compare(a.key, b.key) })
	return l, nil
}

// setFields stores the fields of a JSON object in l. A key may occur twice, since an
// attribute of a line may have the name of one of its other fields.
func (l *Line) setFields(data []byte) error {
	if !json.Valid(data) {
		return errors.New("text after the prefix is no JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return errors.Errorf("read begin of the object: %w", err)
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return errors.Errorf("read key: %w", err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return errors.Errorf("read value of %v: %w", key, err)
		}
		if err := l.set(key.(string), value); err != nil {
			return err
		}
	}
	return nil
}

// set stores one field of the JSON object in l.
func (l *Line) set(key string, value json.RawMessage) error {
	var err error
	var level string
	switch key {
	case keyTime:
		err = json.Unmarshal(value, &l.at)
	case keyLevel:
		if json.Unmarshal(value, &level) != nil {
			l.attrs = append(l.attrs, Attr{key: key, value: string(value)}) // an admission level, which is a number
			break
		}
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
		l.attrs = append(l.attrs, Attr{key: key, value: unquote(value)})
	}
	if err != nil {
		return errors.Errorf("parse field %s of log line: %w", key, err)
	}
	return nil
}

// unquote returns a JSON value as text. A string loses its quotes.
func unquote(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// String returns the line without its time, its request and its level.
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
