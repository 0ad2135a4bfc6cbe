// Package arena provides a reusable store for values that live for one step.
package arena

const chunkSize = 64

// Arena hands out pointers to zeroed values and takes all of them back at once.
// The zero value is ready to use.
type Arena[T any] struct {
	chunks [][]T // each chunk has chunkSize values
	used   int   // values handed out since the last Reset
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

// Reset takes back and zeroes all values.
func (a *Arena[T]) Reset() {
	for i := range a.chunks {
		n := min(a.used, chunkSize)
		clear(a.chunks[i][:n])
		a.used -= n
	}
}

// Len returns how many values are handed out.
func (a *Arena[T]) Len() int { return a.used }
