package admission

import "github.com/jackdawbridge/jackdawbridge"

const (
	// bucketShift is the number of bits of a precedence that a bucket covers: 2^5 = 32
	// orders, an eighth of a rank.
	bucketShift = 5
	buckets     = int(jackdawbridge.MaxPrecedence) >> bucketShift
)

// histogram counts calls by precedence.
type histogram [buckets]int // each at least 0

// add adds n to the count of a precedence. Precedences out of range count as the highest.
func (h *histogram) add(p jackdawbridge.Precedence, n int) {
	h[min(int(p)>>bucketShift, buckets-1)] += n
}

// fade moves h towards the counts of a window and clears these.
func (h *histogram) fade(current *histogram) {
	for i := range h {
		h[i] += (current[i]*one - h[i]) / fadeDivisor
		current[i] = 0
	}
}

// threshold returns the lowest precedence above which at most room is counted, in
// fractions of a bucket, and 0 if there is room for all.
func (h *histogram) threshold(room int) jackdawbridge.Precedence {
	for i := buckets - 1; i >= 0; i-- {
		if h[i] <= room {
			room -= h[i]
			continue
		}
		refused := ((h[i] - max(room, 0)) << bucketShift) / h[i]
		return jackdawbridge.Precedence(i<<bucketShift + refused)
	}
	return 0
}

// above returns the precedence up to which there is the given count above a threshold, at
// most MaxPrecedence.
func (h *histogram) above(threshold, count int) int {
	for i := threshold >> bucketShift; i < buckets; i++ {
		low := max(threshold, i<<bucketShift)
		left := (i+1)<<bucketShift - low
		part := h[i] * left >> bucketShift
		if part >= count {
			return low + left*count/max(part, 1)
		}
		count -= part
	}
	return int(jackdawbridge.MaxPrecedence)
}

// width returns the range of precedence that would hold the given count at the density of
// the rank above a threshold, and a whole rank if that has none.
func (h *histogram) width(threshold, count int) int {
	const rankWidth = 1 << 8
	density, i := 0, threshold>>bucketShift
	for n := 0; n < rankWidth>>bucketShift && i+n < buckets; n++ {
		density += h[i+n]
	}
	if density == 0 {
		return rankWidth
	}
	return count * rankWidth / density
}
