package node

import (
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// statusOf returns the status code of a refusal.
func statusOf(reason jackdawbridge.Reason) int {
	switch reason {
	case jackdawbridge.UnknownService, jackdawbridge.UnknownRoute:
		return http.StatusNotFound
	case jackdawbridge.MissingKey, jackdawbridge.InvalidKey:
		return http.StatusUnauthorized
	case jackdawbridge.InvalidToken:
		return http.StatusForbidden
	case jackdawbridge.TooDeep:
		return http.StatusLoopDetected
	case jackdawbridge.OverRate:
		return http.StatusTooManyRequests
	case jackdawbridge.DeadlinePassed:
		return http.StatusGatewayTimeout
	case jackdawbridge.UpstreamFailed:
		return http.StatusBadGateway
	case jackdawbridge.Quarantined:
		return http.StatusUnprocessableEntity
	case jackdawbridge.AlreadyRunning, jackdawbridge.AlreadyRan, jackdawbridge.InDoubt:
		return http.StatusConflict
	case jackdawbridge.BadInput:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// writeRefusal answers a request with a refusal.
func writeRefusal(w http.ResponseWriter, refusal jackdawbridge.Refusal) {
	h := w.Header()
	h.Set(headerOutcome, refusal.Outcome().String())
	h.Set(headerReason, refusal.Reason().String())
	if after := refusal.RetryAfter(); after > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(int64((after+jackdawbridge.Second-1)/jackdawbridge.Second), 10))
	}
	if refusal.Status() != 0 {
		h.Set(headerStatus, strconv.Itoa(refusal.Status()))
	}
	if refusal.Reason() == jackdawbridge.MissingKey || refusal.Reason() == jackdawbridge.InvalidKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(statusOf(refusal.Reason()))
	_, _ = io.WriteString(w, refusal.Outcome().String()+": "+refusal.Reason().String()+"\n")
}

// maxAllowance bounds the retries that an answer may give back. The reducer
// takes no more than it gave.
const maxAllowance = 1 << 10

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
	switch outcome := h.Get(headerOutcome); outcome {
	case "":
		return rep, nil
	case jackdawbridge.NotRun.String():
		rep.refusal = jackdawbridge.NotRunRefusal(reasonOf(h.Get(headerReason)))
	case jackdawbridge.Unknown.String():
		rep.refusal = jackdawbridge.UnknownRefusal(reasonOf(h.Get(headerReason)))
	default:
		return report{}, errors.Errorf("header %s is %q", headerOutcome, outcome)
	}
	rep.refused = true
	return rep, nil
}

func boundedHeader(h http.Header, name string, greatest int) (int, error) {
	value, err := onlyValue(h, name)
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
