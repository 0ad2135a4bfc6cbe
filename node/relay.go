package node

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// relayToCaller writes an answer to a caller and reports whether all of it was
// written. If not, the caller's connection must be closed, so that the answer
// does not look complete.
func relayToCaller(w http.ResponseWriter, answer *jackdawbridge.Answer, stallTimeout time.Duration) bool {
	control := http.NewResponseController(w)
	reply := answer.Reply()
	h := w.Header()
	for name, values := range reply.Header() {
		h[name] = values
	}
	if control.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
		return false
	}
	w.WriteHeader(reply.Status())
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for first := true; ; first = false {
		n, err := answer.Body().Read(buffer[:])
		if !first && control.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
			return false
		}
		if n > 0 && !writeChunk(w, control, buffer[:n], reply.Length() < 0) {
			return false
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// writeChunk writes a part of an answer and reports whether it succeeded. Flush is
// set for an answer of unknown length, whose parts are sent without delay.
func writeChunk(w io.Writer, control *http.ResponseController, part []byte, flush bool) bool {
	if _, err := w.Write(part); err != nil {
		return false
	}
	return !flush || control.Flush() == nil
}
