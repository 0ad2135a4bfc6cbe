// Package pool provides a free list for values that come and go often.
package pool

// Pool reuses values. It is not safe for concurrent use. The zero value is
// ready to use.
type Pool[T any] struct {
	free []*T // zeroed values
}

// New returns a pool that keeps up to size free values from the start.
func New[T any](size int) *Pool[T] {
	return &Pool[T]{free: make([]*T, 0, size)}
}

// Take returns a pointer to a zeroed value.
func (p *Pool[T]) Take() *T {
	if len(p.free) == 0 {
		return new(T)
	}
	last := len(p.free) - 1
	v := p.free[last]
	p.free[last] = nil
	p.free = p.free[:last]
	return v
}

// Put gives a value back. The caller must not use it again.
func (p *Pool[T]) Put(v *T) {
	var zero T
	*v = zero
	p.free = append(p.free, v)
}
