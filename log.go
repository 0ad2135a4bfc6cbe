package jackdawbridge

// Part is a part of the reducer, for logs.
type Part uint8

// The parts of the reducer.
const (
	PartCall Part = iota
	PartRoute
	PartShare
	PartAdmit
	PartRetry
	PartOnce
	PartMember
	PartSettings
	PartAuthority
	PartQuarantine
	PartDrain
)

// String returns the prefix of the part's log lines.
func (p Part) String() string {
	return nameOf(p, "call", "route", "share", "admit", "retry", "once", "member", "settings",
		"authority", "quarantine", "drain")
}

// maxAttrs bounds the attributes of a Log.
const maxAttrs = 10

// Attr is a named input or result of a decision.
type Attr struct {
	key    string // of lower-case words with underscores; ends with its unit
	text   string // empty for a number
	number int64
}

// Key returns the name of a.
func (a Attr) Key() string { return a.key }

// Text returns the value of a, or "" if it is a number.
func (a Attr) Text() string { return a.text }

// Number returns the value of a if it is a number.
func (a Attr) Number() int64 { return a.number }

// Log records a decision with its inputs.
type Log struct {
	part    Part
	warn    bool
	text    string    // a short sentence
	request RequestID // empty if the decision is about no request
	node    Node      // zero if the decision is about no node
	attrs   [maxAttrs]Attr
	count   int // of attrs, at most maxAttrs
}

// Part returns the part that decided.
func (l *Log) Part() Part { return l.part }

// Warn reports whether an operator should look at l.
func (l *Log) Warn() bool { return l.warn }

// Text returns the decision as a short sentence.
func (l *Log) Text() string { return l.text }

// Request returns the request that l is about, or "".
func (l *Log) Request() RequestID { return l.request }

// Node returns the node that l is about, or zero.
func (l *Log) Node() Node { return l.node }

// Attrs returns the named values of l in the order in which they were added.
// They are valid as long as l.
func (l *Log) Attrs() []Attr { return l.attrs[:l.count] }

// About sets the request and the node that l is about and returns l.
func (l *Log) About(request RequestID, node Node) *Log {
	l.request = request
	l.node = node
	return l
}

// Str adds a text, unless it is empty, and returns l.
func (l *Log) Str(key, text string) *Log {
	if text == "" {
		return l
	}
	return l.add(Attr{key: key, text: text})
}

// Int adds a number and returns l.
func (l *Log) Int(key string, number int64) *Log { return l.add(Attr{key: key, number: number}) }

// Span adds a time under a key that ends with _ms and returns l.
func (l *Log) Span(key string, span Millis) *Log { return l.add(Attr{key: key, number: int64(span)}) }

func (l *Log) add(a Attr) *Log {
	if l.count < maxAttrs {
		l.attrs[l.count] = a
		l.count++
	}
	return l
}
