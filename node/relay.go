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
// does not look complete. BeforeEnd is set for an answer to a request that is still being
// read, which may end long after the answer: all parts are flushed, and beforeEnd is called
// before the caller can know the end of the answer.
func relayToCaller(w http.ResponseWriter, answer *jackdawbridge.Answer, beforeEnd func(), stallTimeout time.Duration) bool {
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
	left := reply.Length()
	early := beforeEnd != nil
	if early && left == 0 {
		beforeEnd()
	}
	if early && control.Flush() != nil {
		return false
	}
	flush := early || left < 0 // the parts of an answer of unknown length are sent without delay
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for first := true; ; first = false {
		n, err := answer.Body().Read(buffer[:])
		if !first && control.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
			return false
		}
		left -= int64(n)
		if early && (left == 0 || errors.Is(err, io.EOF)) {
			beforeEnd()
		}
		if n > 0 && !writeChunk(w, control, buffer[:n], flush) {
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

// writeChunk writes a part of an answer, flushes it if flush is set, and reports whether it
// succeeded.
func writeChunk(w io.Writer, control *http.ResponseController, part []byte, flush bool) bool {
	if _, err := w.Write(part); err != nil {
		return false
	}
	return !flush || control.Flush() == nil
}
