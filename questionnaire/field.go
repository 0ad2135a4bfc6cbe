package questionnaire

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// field is a YAML value with its path in the file.
type field struct {
	node ast.Node // nil if the value is absent
	path string   // as in services[0].name
	line int      // line of the key, used if the value is absent
}

// lineNumber returns the line of the value, or of its key if the value is absent.
func (f field) lineNumber() int {
	if f.node == nil {
		return max(f.line, 1)
	}
	return f.node.GetToken().Position.Line
}

// childPath returns the path of a field of this mapping.
func (f field) childPath(name string) string {
	if f.path == "" {
		return name
	}
	return f.path + "." + name
}

// reader converts fields to values and collects the faults that it finds. After a
// fault it continues with a substitute value, so that Read returns all faults.
type reader struct{ faults Faults }

// addFault records a fault of a field, with what the field may contain.
func (r *reader) addFault(f field, accepted, format string, args ...any) {
	r.faults = append(r.faults, Fault{line: f.lineNumber(), field: f.path, reason: fmt.Sprintf(format, args...), accepted: accepted})
}

// syntaxFault returns the fault of a file that is not valid YAML.
func syntaxFault(err error) Fault {
	f := Fault{line: 1, reason: err.Error(), accepted: "YAML"}
	if e, ok := err.(yaml.Error); ok { //nolint:errorlint // the parser returns it unwrapped
		f.reason = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			f.line = t.Position.Line
		}
	}
	return f
}

// mapping is a YAML mapping with its fields by name.
type mapping struct {
	source  field
	fields  map[string]field
	invalid bool // the value is not a mapping, and the fault is recorded
}

// mapping reads a mapping. A field whose name is not among the given ones is a fault.
// If no names are given, all are accepted.
func (r *reader) mapping(f field, names ...string) mapping {
	m := mapping{source: f, fields: make(map[string]field)}
	accepted := strings.Join(names, ", ")
	values, ok := mappingValues(f.node)
	if !ok {
		r.addFault(f, "a mapping with "+accepted, "is %s", describe(f.node))
		m.invalid = true
		return m
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		child := field{node: v.Value, path: f.childPath(name), line: v.Key.GetToken().Position.Line}
		if len(names) > 0 && !slices.Contains(names, name) {
			r.addFault(child, accepted, "unknown field")
			continue
		}
		m.fields[name] = child
	}
	return m
}

// mappingValues returns the key-value pairs of a mapping. The parser may
// represent a mapping with a single pair as a MappingValueNode.
func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// required returns a field of a mapping. A missing field is a fault.
func (r *reader) required(m mapping, name, accepted string) (field, bool) {
	f, ok := m.fields[name]
	if !ok && !m.invalid {
		r.addFault(field{path: m.source.childPath(name), line: m.source.lineNumber()}, accepted, "is missing")
	}
	return f, ok
}

// list returns the items of a required sequence. An empty sequence is a fault.
func (r *reader) list(m mapping, name, accepted string) []field {
	f, ok := r.required(m, name, accepted)
	if !ok {
		return nil
	}
	s, ok := f.node.(*ast.SequenceNode)
	if !ok || len(s.Values) == 0 {
		r.addFault(f, "a list of "+accepted, "is %s", describe(f.node))
		return nil
	}
	items := make([]field, len(s.Values))
	for i, v := range s.Values {
		items[i] = field{node: v, path: fmt.Sprintf("%s[%d]", f.path, i)}
	}
	return items
}

const acceptedName = "a name of up to 64 lower-case letters, digits and hyphens"

// name reads a name that needs no escaping in paths, logs and record names.
func (r *reader) name(f field) string {
	text, ok := scalarText(f.node)
	unsafe := strings.ContainsFunc(text, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-'
	})
	if !ok || text == "" || len(text) > 64 || unsafe {
		r.addFault(f, acceptedName, "is %s", describe(f.node))
		return ""
	}
	return text
}

// requiredName reads the required field "name".
func (r *reader) requiredName(m mapping) string {
	f, ok := r.required(m, "name", acceptedName)
	if !ok {
		return ""
	}
	return r.name(f)
}

// choice reads a field that contains one of the given values. An absent field has
// the first value.
func (r *reader) choice(m mapping, name string, values ...string) string {
	f, ok := m.fields[name]
	if !ok {
		return values[0]
	}
	text, ok := scalarText(f.node)
	if !ok || !slices.Contains(values, text) {
		r.addFault(f, strings.Join(values, " or "), "is %s", describe(f.node))
		return values[0]
	}
	return text
}

// boolean reads a field that contains true or false. An absent field is false.
func (r *reader) boolean(m mapping, name string) bool {
	f, ok := m.fields[name]
	if !ok {
		return false
	}
	b, ok := f.node.(*ast.BoolNode)
	if !ok {
		r.addFault(f, "true or false", "is %s", describe(f.node))
		return false
	}
	return b.Value
}

// number reads a whole number from low to high.
func (r *reader) number(f field, low, high int64) int64 {
	value, ok := integerValue(f.node)
	if !ok || value < low || value > high {
		r.addFault(f, fmt.Sprintf("a whole number from %d to %d", low, high), "is %s", describe(f.node))
		return low
	}
	return value
}

// requiredNumber reads a whole number from low to high from a required field.
func (r *reader) requiredNumber(m mapping, name string, low, high int64) int64 {
	f, ok := r.required(m, name, fmt.Sprintf("a whole number from %d to %d", low, high))
	if !ok {
		return low
	}
	return r.number(f, low, high)
}

// integerValue returns the value of an integer that fits in an int64.
func integerValue(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

// scalarText returns the text of a string or an integer. An unquoted name that
// consists of digits is an integer in YAML.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// maxQuotedBytes bounds how much of a value is quoted in a fault.
const maxQuotedBytes = 60

// describe returns a description of a value for the reason of a fault.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		if len(n.Values) == 0 {
			return "an empty list"
		}
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or an alias"
	}
	text := node.GetToken().Value
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("%q", text)
}
