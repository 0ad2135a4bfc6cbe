package node

import (
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// writeRefusal answers a caller's request with a refusal.
func (n *Node) writeRefusal(w http.ResponseWriter, refusal jackdawbridge.Refusal) {
	status := n.parts.dialect.Refuse(w.Header(), refusal)
	writeText(w, status, refusal)
}

// writePeerRefusal tells the entry node that a request is refused.
func writePeerRefusal(w http.ResponseWriter, refusal jackdawbridge.Refusal) {
	h := w.Header()
	h.Set(headerOutcome, refusal.Outcome().String())
	h.Set(headerReason, refusal.Reason().String())
	h.Set(headerAfter, strconv.FormatInt(int64(refusal.RetryAfter()), 10))
	status := http.StatusServiceUnavailable
	if refusal.Reason() == jackdawbridge.BadInput {
		status = http.StatusBadRequest
	}
	writeText(w, status, refusal)
}

func writeText(w http.ResponseWriter, status int, refusal jackdawbridge.Refusal) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, refusal.Outcome().String()+": "+refusal.Reason().String()+"\n")
}

// maxAllowance bounds the retries that an answer may give back. The reducer
// takes no more than it gave.
const maxAllowance = 1 << 10

// maxAfter bounds the time to a retry that an answer may name, in milliseconds.
const maxAfter = 1 << 20

// writeReport adds what an upstream's node tells the entry node.
func writeReport(h http.Header, level jackdawbridge.Level, unused int) {
	h.Set(headerLevel, strconv.Itoa(int(level)))
	h.Set(headerUnused, strconv.Itoa(unused))
}

// report is what the header of an upstream's node tells the entry node.
type report struct {
	level   jackdawbridge.Level
	unused  int
	refused bool
	refusal jackdawbridge.Refusal
}

// readReport reads the header of an answer between nodes. An answer without a
// valid report does not come from a node.
func readReport(h http.Header) (report, error) {
	level, err := boundedHeader(h, headerLevel, int(jackdawbridge.MaxRank)+1)
	if err != nil {
		return report{}, err
	}
	unused, err := boundedHeader(h, headerUnused, maxAllowance)
	if err != nil {
		return report{}, err
	}
	rep := report{level: jackdawbridge.Level(level), unused: unused}
	reason := reasonOf(h.Get(headerReason))
	if reason == jackdawbridge.BadInput {
		// The entry node has read the request, so the caller is not at fault.
		reason = jackdawbridge.UpstreamFailed
	}
	switch outcome := h.Get(headerOutcome); outcome {
	case "":
		return rep, nil
	case jackdawbridge.NotRun.String():
		rep.refusal = jackdawbridge.NotRunRefusal(reason)
	case jackdawbridge.Unknown.String():
		rep.refusal = jackdawbridge.UnknownRefusal(reason)
	default:
		return report{}, errors.Errorf("header %s is %q", headerOutcome, outcome)
	}
	after, err := boundedHeader(h, headerAfter, maxAfter)
	if err != nil {
		return report{}, err
	}
	rep.refusal = rep.refusal.WithRetryAfter(jackdawbridge.Millis(after))
	rep.refused = true
	return rep, nil
}

func boundedHeader(h http.Header, name string, greatest int) (int, error) {
	value, err := jackdawbridge.OnlyValue(h, name)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < 0 || number > greatest {
		return 0, errors.Errorf("header %s is %q: want 0 to %d", name, value, greatest)
	}
	return number, nil
}

// reasonOf returns the reason with the given text. A reason that this version
// does not know is a failure of the upstream.
func reasonOf(text string) jackdawbridge.Reason {
	for r := jackdawbridge.NoReason + 1; r.String() != "invalid"; r++ {
		if r.String() == text {
			return r
		}
	}
	return jackdawbridge.UpstreamFailed
}
