// Package queue orders the calls that wait for a slot of a backend server.
package queue

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
)

// FIFO is a queue in the order of arrival. It sheds new calls when it is full.
type FIFO struct {
	waiting []jackdawbridge.QueuedCall // at most size
	size    int                        // at least 1
}

// NewFIFO returns a queue for up to size calls.
func NewFIFO(size int) *FIFO { return &FIFO{size: max(size, 1)} }

// Push adds a call. If the queue is full, it returns the call and true instead.
func (q *FIFO) Push(_ jackdawbridge.Millis, c jackdawbridge.QueuedCall) (jackdawbridge.QueuedCall, bool) {
	if len(q.waiting) >= q.size {
		return c, true
	}
	q.waiting = append(q.waiting, c)
	return jackdawbridge.QueuedCall{}, false
}

// Pop removes and returns the call that arrived first.
func (q *FIFO) Pop(jackdawbridge.Millis) (jackdawbridge.QueuedCall, bool) {
	if len(q.waiting) == 0 {
		return jackdawbridge.QueuedCall{}, false
	}
	c := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return c, true
}

// Expire removes nothing: a FIFO keeps calls whose deadline has passed.
func (q *FIFO) Expire(_, _ jackdawbridge.Millis) (jackdawbridge.QueuedCall, bool) {
	return jackdawbridge.QueuedCall{}, false
}

// Remove removes a call and reports whether it was waiting.
func (q *FIFO) Remove(call jackdawbridge.CallID) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(c jackdawbridge.QueuedCall) bool { return c.Call() == call })
	return len(q.waiting) < n
}

// Len returns how many calls wait.
func (q *FIFO) Len() int { return len(q.waiting) }

// Level returns 0: a FIFO admits every rank.
func (q *FIFO) Level(jackdawbridge.Millis) jackdawbridge.Level { return 0 }
