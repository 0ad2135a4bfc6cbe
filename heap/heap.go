// Package heap provides a priority queue in which the priority of a key can be changed. Most
// priorities are deadlines.
package heap

import "cmp"

type item[K comparable, P cmp.Ordered] struct {
	key      K
	priority P
}

// Heap is a min-heap of keys by their priorities. The zero value is an empty heap that is
// ready to use.
type Heap[K comparable, P cmp.Ordered] struct {
	items []item[K, P] // a binary heap by priority
	index map[K]int    // position of each key in items
}

// Len returns how many keys h holds.
func (h *Heap[K, P]) Len() int { return len(h.items) }

// Contains reports whether h holds a key.
func (h *Heap[K, P]) Contains(key K) bool {
	_, ok := h.index[key]
	return ok
}

// Set adds a key, or changes its priority if the heap has it.
func (h *Heap[K, P]) Set(key K, priority P) {
	if h.index == nil {
		h.index = make(map[K]int)
	}
	i, ok := h.index[key]
	if !ok {
		i = len(h.items)
		h.items = append(h.items, item[K, P]{key, priority})
		h.index[key] = i
	}
	h.items[i].priority = priority
	h.fix(i)
}

// Remove removes a key and reports whether the heap had it.
func (h *Heap[K, P]) Remove(key K) bool {
	i, ok := h.index[key]
	if !ok {
		return false
	}
	last := len(h.items) - 1
	h.swap(i, last)
	delete(h.index, key)
	var zero item[K, P]
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
	return true
}

// Min returns the key with the lowest priority value, without removing it. It returns false
// if the heap is empty.
func (h *Heap[K, P]) Min() (key K, priority P, ok bool) {
	if len(h.items) == 0 {
		return key, priority, false
	}
	return h.items[0].key, h.items[0].priority, true
}

// PopUntil removes and returns the key with the lowest priority value if that is at most
// limit.
func (h *Heap[K, P]) PopUntil(limit P) (key K, ok bool) {
	key, priority, ok := h.Min()
	if !ok || priority > limit {
		var zero K
		return zero, false
	}
	h.Remove(key)
	return key, true
}

// fix restores the heap order after the priority of item i has changed.
func (h *Heap[K, P]) fix(i int) {
	for i > 0 && h.items[i].priority < h.items[(i-1)/2].priority {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.items[child].priority < h.items[least].priority {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *Heap[K, P]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.index[h.items[i].key] = i
	h.index[h.items[j].key] = j
}
