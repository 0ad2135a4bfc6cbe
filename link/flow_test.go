package link

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSmallChunks guards against a body that arrives in many small chunks and takes a
// multiple of the window in memory while nobody reads it, and against a mix-up of chunks
// that are joined.
func TestSmallChunks(t *testing.T) {
	for _, size := range []int{1, 7, smallChunk - 1, smallChunk, MaxChunk} {
		f := newFlow(0, true)
		var want []byte
		for len(want)+size <= window {
			chunk := make([]byte, size)
			for i := range chunk {
				chunk[i] = byte(len(want) + i*i)
			}
			want = append(want, chunk...)
			if err := f.check(size); err != nil {
				t.Fatalf("chunk of %d bytes refused with %d of %d bytes buffered: %v", size, len(want)-size, window, err)
			}
			f.receive(chunk, false)
		}
		held := 0
		for _, chunk := range f.chunks {
			held += cap(chunk)
		}
		if held > 2*window || len(f.chunks) > window/smallChunk {
			t.Errorf("chunks of %d bytes: %d bytes are held in %d slices for a window of %d, want at most twice the window in %d", size, held, len(f.chunks), window, window/smallChunk)
		}
		if err := f.check(0); err != nil {
			t.Fatalf("end of the body refused: %v", err)
		}
		f.receive(nil, true)
		got := make([]byte, 0, len(want))
		for buffer := make([]byte, 1000); ; {
			n, _, err := f.readBody(buffer)
			got = append(got, buffer[:n]...)
			if err != nil {
				break
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("body of chunks of %d bytes (-want +got):\n%s", size, diff)
		}
	}
}
