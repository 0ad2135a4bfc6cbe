package jackdawbridge

// Part identifies a part of the reducer in log lines.
type Part uint8

// The parts of the reducer.
const (
	PartCall Part = iota
	PartRoute
	PartShare // quotas and tokens of client accounts
	PartAdmit // admission of runs to the local backend server
	PartRetry
	PartOnce // idempotency keys
	PartMember
	PartSettings
	PartAuthority // holders of ranges
	PartQuarantine
	PartDrain
)

// String returns the prefix of the part's log lines.
func (p Part) String() string {
	return enumName(p, "call", "route", "share", "admit", "retry", "once", "member", "settings",
		"authority", "quarantine", "drain")
}

// maxAttrs limits the attributes of a Log.
const maxAttrs = 12

// Attr is a named value of a Log: an input or a result of a decision.
type Attr struct {
	key    string // in snake case; ends with the unit, if there is one
	text   string // empty for a number
	number int64  // 0 for a text
}

// Key returns the name of a.
func (a Attr) Key() string { return a.key }

// Text returns the value of a, or "" if it is a number.
func (a Attr) Text() string { return a.text }

// Number returns the value of a, or 0 if it is a text.
func (a Attr) Number() int64 { return a.number }

// Log is the effect that logs a decision and its inputs.
type Log struct {
	part    Part
	warn    bool
	text    string    // a short sentence
	request RequestID // empty if the decision does not concern a request
	node    Node      // zero if the decision does not concern a node
	attrs   [maxAttrs]Attr
	count   int // number of attrs that are set, at most maxAttrs
}

// Part returns the part of the reducer that made the decision.
func (l *Log) Part() Part { return l.part }

// Warn reports whether l has the level of a warning: it needs the attention of an
// operator.
func (l *Log) Warn() bool { return l.warn }

// Text returns the decision as a short sentence.
func (l *Log) Text() string { return l.text }

// Request returns the request that l concerns, or "".
func (l *Log) Request() RequestID { return l.request }

// Node returns the node that l concerns, or zero.
func (l *Log) Node() Node { return l.node }

// Attrs returns the attributes of l in the order in which they were added. The
// slice is valid as long as l.
func (l *Log) Attrs() []Attr { return l.attrs[:l.count] }

// About sets the request and the node that l concerns and returns l.
func (l *Log) About(request RequestID, node Node) *Log {
	l.request = request
	l.node = node
	return l
}

// Str adds a text attribute, unless the text is empty, and returns l.
func (l *Log) Str(key, text string) *Log {
	if text == "" {
		return l
	}
	return l.add(Attr{key: key, text: text})
}

// Int adds a number attribute and returns l. Like Str and Duration, it drops the
// attribute if l already has maxAttrs attributes.
func (l *Log) Int(key string, number int64) *Log { return l.add(Attr{key: key, number: number}) }

// Duration adds a duration in milliseconds and returns l. The key must end with _ms.
func (l *Log) Duration(key string, duration Millis) *Log {
	return l.add(Attr{key: key, number: int64(duration)})
}

func (l *Log) add(a Attr) *Log {
	if l.count < maxAttrs {
		l.attrs[l.count] = a
		l.count++
	}
	return l
}
