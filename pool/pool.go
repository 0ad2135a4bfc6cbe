// Package pool provides a free list for values that are allocated often, and a pool of
// goroutines.
package pool

// Pool reuses values. It is not safe for concurrent use. The zero value is
// ready to use.
type Pool[T any] struct {
	free []*T // zeroed values
}

// New returns a pool whose free list has capacity for size values. It grows if needed.
func New[T any](size int) *Pool[T] {
	return &Pool[T]{free: make([]*T, 0, size)}
}

// Take removes a value from the free list, or allocates one. The value is zeroed.
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

// Put zeroes v and returns it to the free list. The caller must not use it again.
func (p *Pool[T]) Put(v *T) {
	var zero T
	*v = zero
	p.free = append(p.free, v)
}
