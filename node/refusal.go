package node

import (
	"io"
	"net/http"
	"strconv"

	"github.com/jackdawbridge/jackdawbridge"
)

// writeRefusal answers a request with a refusal: the dialect's headers and status
// code, and the outcome and reason as text.
func (n *Node) writeRefusal(w http.ResponseWriter, refusal jackdawbridge.Refusal) {
	status := n.deps.dialect.WriteRefusal(w.Header(), refusal)
	writeRefusalText(w, status, refusal)
}

func writeRefusalText(w http.ResponseWriter, status int, refusal jackdawbridge.Refusal) {
	text := refusal.Outcome().String() + ": " + refusal.Reason().String() + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text))) // the end of the text must not depend on that of the request
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
