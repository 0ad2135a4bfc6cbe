// Package budget bounds the memory that a process spends on requests that it has read and
// not yet passed on. Bounds on each connection do not bound their sum, so all connections
// share one budget. Only requests whose clients are silent can be evicted from it, the one
// that was begun first before the others: an ordinary client sends a request within
// milliseconds, however large the crowd is that stops in the middle of one.
package budget

import "github.com/jackdawbridge/jackdawbridge/heap"

// Holder identifies a request that holds bytes.
type Holder uint64

// holding is what one holder holds.
type holding struct {
	bytes int64  // above 0
	began uint64 // position in the order in which holders began, from 1
}

// Budget is a bounded number of bytes that is shared by holders. It is not safe for
// concurrent use.
type Budget struct {
	limit   int64
	held    int64 // sum over holders; above limit only if there is one holder
	began   uint64
	holders map[Holder]holding
	waiting heap.Heap[Holder, uint64] // holders that wait for their client, by their position
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[Holder]holding)}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held }

// Charge adds bytes to what h holds. If the budget is exceeded, it evicts waiting holders in
// the order in which they began, and returns them: they hold nothing any more, and the
// caller ends their requests. It reports false if h was evicted itself, or if the bytes do
// not fit although nobody else waits. A single holder always fits.
func (b *Budget) Charge(h Holder, bytes int64) (evicted []Holder, ok bool) {
	mine := b.holders[h]
	if mine.began == 0 {
		b.began++
		mine.began = b.began
	}
	mine.bytes += bytes
	b.held += bytes
	b.holders[h] = mine
	for b.held > b.limit && b.held > mine.bytes {
		oldest, _, found := b.waiting.Min()
		if !found {
			b.Release(h)
			return evicted, false
		}
		b.Release(oldest)
		if oldest == h {
			return evicted, false
		}
		evicted = append(evicted, oldest)
	}
	return evicted, true
}

// Wait marks that h waits for its client, so that it can be evicted. A holder that holds
// nothing is not marked.
func (b *Budget) Wait(h Holder) {
	if mine, ok := b.holders[h]; ok {
		b.waiting.Set(h, mine.began)
	}
}

// Proceed marks that h no longer waits for its client.
func (b *Budget) Proceed(h Holder) { b.waiting.Remove(h) }

// Release frees everything that h holds.
func (b *Budget) Release(h Holder) {
	b.waiting.Remove(h)
	b.held -= b.holders[h].bytes
	delete(b.holders, h)
}
