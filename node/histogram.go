package node

import (
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of a histogram's buckets. They range from the
// latency that a node adds to a call to the longest time that callers wait.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// histogram counts durations in buckets. Unlike a random sample it keeps the tail
// of the distribution. It is safe for concurrent use.
type histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64 // the last one has no upper bound
	sum     atomic.Int64                        // sum of all durations, in nanoseconds
}

// observe adds a duration to its bucket.
func (h *histogram) observe(duration time.Duration) {
	i := 0
	for i < len(bucketBounds) && duration > bucketBounds[i] {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(int64(duration))
}

// write writes the histogram in the Prometheus text format, in seconds.
func (h *histogram) write(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "# TYPE %s histogram\n", name)
	total := int64(0)
	for i, bound := range bucketBounds {
		total += h.buckets[i].Load()
		_, _ = fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", name, strconv.FormatFloat(bound.Seconds(), 'g', -1, 64), total)
	}
	total += h.buckets[len(bucketBounds)].Load()
	_, _ = fmt.Fprintf(w, "%s_bucket{le=\"+Inf\"} %d\n", name, total)
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, time.Duration(h.sum.Load()).Seconds(), name, total)
}
