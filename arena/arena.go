// Package arena provides an allocator for values that are used during one step of the
// reducer and freed together.
package arena

const chunkSize = 64 // values in a chunk

// Arena allocates zeroed values in chunks, which it reuses after all values were freed by
// Reset. The zero value is ready to use.
type Arena[T any] struct {
	chunks [][]T // each chunk has chunkSize values
	used   int   // values allocated since the last Reset
}

// New returns a pointer to a zeroed value that is valid until Reset.
func (a *Arena[T]) New() *T {
	chunk, index := a.used/chunkSize, a.used%chunkSize
	if chunk == len(a.chunks) {
		a.chunks = append(a.chunks, make([]T, chunkSize))
	}
	a.used++
	return &a.chunks[chunk][index]
}

// Reset frees and zeroes all values. Pointers to them must not be used afterwards.
func (a *Arena[T]) Reset() {
	for i := range a.chunks {
		n := min(a.used, chunkSize)
		clear(a.chunks[i][:n])
		a.used -= n
	}
}

// Len returns how many values were allocated since the last Reset.
func (a *Arena[T]) Len() int { return a.used }
