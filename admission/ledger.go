package admission

// ledgerWindows is the number of windows that a ledger remembers: a span of earnSpan windows
// and the one before it.
const ledgerWindows = 2 * earnSpan

// ledger remembers the first arrivals and the charged tries of the last windows, so that
// tries stay a part of the first arrivals in every span of earnSpan windows. A balance alone
// does not ensure that when arrivals become fewer.
type ledger struct {
	firsts  [ledgerWindows + 1]int // running totals at the ends of windows, a ring
	charges [ledgerWindows + 1]int // like firsts
	last    int                    // index of the end of the last window
}

// add ends a window with the given first arrivals and charged tries.
func (l *ledger) add(firsts, charges int) {
	next := (l.last + 1) % len(l.firsts)
	l.firsts[next], l.charges[next] = l.firsts[l.last]+firsts, l.charges[l.last]+charges
	l.last = next
}

// ago returns the index of the end of the window n windows before the last one.
func (l *ledger) ago(n int) int { return (l.last - n + len(l.firsts)) % len(l.firsts) }

// between returns the first arrivals from one end of a window to a later one.
func (l *ledger) between(from, to int) int { return l.firsts[l.ago(from)] - l.firsts[l.ago(to)] }

// room returns how many thousandths of a try may be charged now at the given rate for each
// first arrival. In every span of earnSpan windows that includes the current one, the
// charged tries are compared with the first arrivals of that span, of the span before it or
// of the span that began half its length before it.
func (l *ledger) room(permille int) int {
	least := 0
	for n := range earnSpan {
		firsts := max(l.between(0, n), l.between(max(n-earnLag, 0), n+earnLag), l.between(n, n+earnSpan))
		room := firsts*permille - (l.charges[l.last]-l.charges[l.ago(n)])*1000
		if n == 0 || room < least {
			least = room
		}
	}
	return least
}
