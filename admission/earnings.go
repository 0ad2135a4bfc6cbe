package admission

const (
	// earnSpan is the number of windows whose first arrivals earn second tries.
	earnSpan = 100
	// earnLag is the number of windows by which the older of two such spans ended before the
	// current one.
	earnLag = 50
)

// earnings counts first arrivals in the last windows.
type earnings struct {
	counts [earnSpan + earnLag]int // of a window each, a ring
	next   int                     // index of the oldest count
	recent int                     // sum of the last earnSpan counts
	older  int                     // sum of the earnSpan counts that ended earnLag windows ago
}

// add ends a window with the given number of first arrivals.
func (e *earnings) add(n int) {
	e.recent += n - e.at(earnSpan)
	e.older += e.at(earnLag) - e.counts[e.next]
	e.counts[e.next] = n
	e.next = (e.next + 1) % len(e.counts)
}

// at returns the count of the window that ended n windows ago; 1 is the last one.
func (e *earnings) at(n int) int { return e.counts[(e.next-n+len(e.counts))%len(e.counts)] }

// perWindow returns what is earned in a window at the given rate for each first arrival.
func (e *earnings) perWindow(permille int) int { return max(e.recent, e.older) * permille / earnSpan }
