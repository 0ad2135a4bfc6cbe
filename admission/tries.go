package admission

import "github.com/jackdawbridge/jackdawbridge"

const (
	// window is the time after which a node computes its thresholds anew.
	window = 100 * jackdawbridge.Millis(1)
	// maxWindows is the number of windows without calls after which all averages have
	// faded.
	maxWindows = 64
	// fadeDivisor gives a window a weight of 1/4 in the averages.
	fadeDivisor = 4
	// one is the value of one call in the averages.
	one = 1024
	// burstWindows is the number of windows whose earnings accumulate beyond the burst.
	burstWindows = 4
	// correctionDivisor gives the part of a surplus that is granted in one window.
	correctionDivisor = 2
	// criticalReserve is the divisor of the burst that gives the part of it that only
	// critical calls use.
	criticalReserve = 4
	// slackWindows is the number of windows whose grants bound that slack beyond minSlack.
	slackWindows = 2
	// minSlack is the number of repeats that are not charged at a node that grants none.
	minSlack = 2
	// maxOutstanding bounds the granted tries that are taken to be on their way.
	maxOutstanding = 64
	// minRejections is the average number of rejections in a window, in 1/one, below which
	// no share of rejected calls is reported: single calls are no spell.
	minRejections = 2 * one
)

// Tries grants second tries of calls that the backend server beside the node has
// rejected. The first arrivals of the last seconds earn them, so that the repeats that reach
// the service, summed over its nodes, stay a part of the requests for it, whoever sends
// them. Arrivals earn for several seconds, because trees that are rejected make no further
// calls: a service that begins to reject gets fewer first arrivals just then. When more calls
// are rejected than tries are earned, a threshold gives the trees above it as many tries
// as they need and those below it none: a tree of eight calls that may repeat only some of
// them fails like one that may repeat none.
type Tries struct {
	permille    int // thousandths of a try that a first arrival earns, at least 0
	firsts      earnings
	ledger      ledger
	room        int                  // tries that the ledger allows in the current window, in thousandths
	earned      int                  // in a window, in thousandths of a try
	burst       int                  // tries that may accumulate without recent arrivals, at least 0
	capacity    int                  // tries that may accumulate, in thousandths: the burst and recent earnings
	balance     int                  // in thousandths of a try, -capacity to capacity
	outstanding int                  // granted tries less repeats that arrived, -slack to maxOutstanding
	began       jackdawbridge.Millis // start of the current window
	current     tally
	average     tally // of a window, in 1/one
	rejected    histogram
	demand      histogram // average of rejected, in 1/one
	threshold   jackdawbridge.Precedence
}

// tally counts the calls of a window.
type tally struct {
	firsts     int // arrivals that repeat nothing
	repeats    int
	rejections int
	grants     int
	unasked    int // repeats that were charged though no try was granted for them
	charges    int // tries that were charged
}

// NewTries returns a Tries in which a first arrival earns permille thousandths of a try,
// and burst tries accumulate beyond those of the last windows.
func NewTries(permille, burst int) *Tries {
	t := &Tries{permille: max(permille, 0), burst: max(burst, 0)}
	t.capacity = t.burst * 1000
	t.balance, t.room = t.capacity, t.capacity
	return t
}

// Arrive counts a call that is sent to the backend server. repeated reports whether another
// backend server has received it, or the request for which it is made, before.
func (t *Tries) Arrive(at jackdawbridge.Millis, repeated bool) {
	t.advance(at)
	if !repeated {
		t.current.firsts++
		return
	}
	t.current.repeats++
	if t.outstanding > -t.slack() {
		t.outstanding--
		return
	}
	t.current.unasked++
	t.charge()
}

// Reject counts a call that the backend server has rejected, and reports whether it may be
// sent to another one.
func (t *Tries) Reject(at jackdawbridge.Millis, p jackdawbridge.Precedence) bool {
	t.advance(at)
	t.current.rejections++
	t.rejected.add(p, 1)
	if !t.allows(p) {
		return false
	}
	t.charge()
	t.current.grants++
	t.outstanding = min(t.outstanding+1, maxOutstanding)
	return true
}

// charge deducts a try.
func (t *Tries) charge() {
	t.balance = max(t.balance-1000, -t.capacity)
	t.current.charges++
}

// slack returns how many repeats may arrive beyond the tries granted here before they are
// charged. Tries that one node of a service grants arrive at the others.
func (t *Tries) slack() int { return minSlack + slackWindows*t.average.grants/one }

// allows reports whether a call gets a second try. Critical calls may use a reserve, and
// the threshold, which follows averages, binds them only once they do.
func (t *Tries) allows(p jackdawbridge.Precedence) bool {
	if (t.current.charges+1)*1000 > t.room {
		return false
	}
	reserve := t.capacity / criticalReserve
	if p.Rank() >= jackdawbridge.CriticalRank && t.balance >= 1000+reserve {
		return true
	}
	if p.Rank() >= jackdawbridge.CriticalRank {
		reserve = 0
	}
	return p >= t.threshold && t.balance >= 1000+reserve
}

// Threshold returns the precedence below which no second try is granted.
func (t *Tries) Threshold(at jackdawbridge.Millis) jackdawbridge.Precedence {
	t.advance(at)
	return t.threshold
}

// Rejected returns the part of the arriving calls that the backend server rejects, in
// permille.
func (t *Tries) Rejected(at jackdawbridge.Millis) int {
	t.advance(at)
	arrivals := t.average.firsts + t.average.repeats
	if t.average.rejections < minRejections || arrivals == 0 {
		return 0
	}
	return min(t.average.rejections*1000/arrivals, 1000)
}

// Balance returns the second tries that may be granted at once, below 0 if repeats that
// were not granted have arrived.
func (t *Tries) Balance() int { return t.balance / 1000 }

// advance ends the windows that have passed.
func (t *Tries) advance(at jackdawbridge.Millis) {
	for n := 0; at-t.began >= window; n++ {
		if n == maxWindows {
			t.began = at
			t.firsts, t.ledger, t.room = earnings{}, ledger{}, t.burst*1000
			return
		}
		t.began += window
		t.endWindow()
	}
}

// endWindow adds the window to the averages and computes the threshold from them.
func (t *Tries) endWindow() {
	fade := func(average *int, current int) { *average += (current*one - *average) / fadeDivisor }
	fade(&t.average.firsts, t.current.firsts)
	fade(&t.average.repeats, t.current.repeats)
	fade(&t.average.rejections, t.current.rejections)
	fade(&t.average.grants, t.current.grants)
	fade(&t.average.unasked, t.current.unasked)
	t.firsts.add(t.current.firsts)
	t.ledger.add(t.current.firsts, t.current.charges)
	t.room = t.ledger.room(t.permille) + t.burst*1000
	t.current = tally{}
	t.demand.fade(&t.rejected)
	t.earned = t.firsts.perWindow(t.permille)
	t.capacity = t.burst*1000 + t.earned*burstWindows
	t.balance = min(t.balance+t.earned, t.capacity)
	// The room is what a window earns and others do not spend, corrected so that the balance tends to a half of the
	// capacity: an empty one denies calls above the threshold.
	room := (t.earned+(t.balance-t.capacity/2)/correctionDivisor)*one/1000 - t.average.unasked
	t.threshold = t.demand.threshold(max(room, 0))
}
