package limiter

import "github.com/jackdawbridge/jackdawbridge"

const (
	// minWindowSamples is the minimum number of runs in a window. If the limit is
	// lower, as many runs as the limit are enough.
	minWindowSamples = 24
	// A window lasts at least minWindowTime. It closes after maxWindowTime even if it
	// has fewer runs than it needs.
	minWindowTime = 100 * jackdawbridge.Millis(1)
	maxWindowTime = 2 * jackdawbridge.Second
	// Slow start begins with a limit of the slots divided by slowStartDivisor.
	slowStartDivisor = 4
	// busyPercent is the percentage of the limit that must be in use before the limit
	// rises: the latency of an idle backend server does not show that it can run more.
	busyPercent = 80
	// tolerance is the latency, as a multiple of the base, above which the limit
	// falls. With a lower value the limit would react to the noise of a window.
	tolerance = 1.4
	// increaseFactor is the factor by which the limit rises after a window, except in
	// slow start. The limit rises by at least 1.
	increaseFactor = 1.1
	// strongestDecrease and weakestDecrease bound the factor by which the limit falls.
	// The weakest applies while there are hardly more runs in progress than recently
	// caused no congestion: then the backend server is likely to be slow for another
	// reason.
	strongestDecrease = 0.7
	weakestDecrease   = 0.85
	// effectiveGain decides whether a decrease was effective. If the limit was cut by
	// the fraction c, the latency must fall by at least the fraction effectiveGain*c.
	// Runs that share a processor become faster in proportion to the cut.
	effectiveGain = 0.6
	// uncongestedFactor is the latency, as a multiple of the base, below which the
	// runs in progress count as causing no congestion. The same factor is the margin
	// by which the runs in progress may exceed uncongestedRuns before the limit falls
	// by more than weakestDecrease, and by which the latency may rise after a decrease
	// that counts as ineffective.
	uncongestedFactor = 1.15
	// uncongestedDecay is the factor by which uncongestedRuns decreases with each
	// window whose latency is below uncongestedFactor.
	uncongestedDecay = 0.99
	// fallingBaseRuns and risingBaseRuns are the numbers of runs after which the base
	// of a class has moved half of the way to a lower and to a higher latency,
	// respectively.
	fallingBaseRuns = 64
	risingBaseRuns  = 64 * 64
)

const classes = jackdawbridge.MaxClass + 1

// class holds the latencies of the runs of one class of requests.
type class struct {
	base  float64 // latency in ms without queueing, 0 if unknown
	sum   float64 // of the latencies in the window, in ms
	count int     // of the runs in the window
}

// Adaptive finds how many runs a backend server can process at the same time. The limit
// rises while latency stays near its base, and falls when latency is higher. If a lower
// limit does not shorten the latency, the backend server is slow for another reason, and
// the base is raised instead.
type Adaptive struct {
	slots int     // at least 1
	limit float64 // from 1 to slots

	classes     [classes]class
	windowStart jackdawbridge.Millis // start of the window, 0 before the first sample
	count       int                  // runs answered in the window
	dropped     int                  // runs dropped in the window
	maxInFlight int                  // most runs in progress seen in the window

	uncongestedRuns float64              // number of runs in progress that recently caused no congestion
	decreasedAt     jackdawbridge.Millis // when the limit last fell; answered runs that started before are ignored
	trial           bool                 // the limit has fallen, and the effect is not known yet
	limitBefore     float64              // limit before the first decrease of the trial
	latencyBefore   float64              // latency that caused the last decrease, as a multiple of the base
	lastDecrease    float64              // factor of the last decrease
	slowStart       bool                 // in slow start
}

// NewAdaptive returns a limiter in slow start.
func NewAdaptive(slots int) *Adaptive {
	l := &Adaptive{slots: 1, limit: 1, slowStart: true}
	l.Resize(slots)
	return l
}

// Limit returns how many runs may be in progress at the same time.
func (l *Adaptive) Limit() int { return max(int(l.limit), 1) }

// Resize changes the number of slots. A growth from one slot restarts the limiter in slow
// start: the node resizes to one slot when the backend server is lost, so such a growth
// means that the backend server has announced itself again.
func (l *Adaptive) Resize(slots int) {
	slots = max(slots, 1)
	switch {
	case slots > l.slots && l.slots == 1:
		*l = Adaptive{limit: max(float64(slots/slowStartDivisor), 1), slowStart: true}
	case !l.slowStart:
		l.limit *= float64(slots) / float64(l.slots)
	}
	l.slots = slots
	l.clamp()
}

// Observe adds a finished run to the window and closes the window if it is complete. It
// ignores an answered run that started before the limit last fell.
func (l *Adaptive) Observe(at jackdawbridge.Millis, sample jackdawbridge.Sample) {
	if l.windowStart == 0 {
		l.windowStart = at
	}
	if !sample.Dropped() && at-sample.Latency() < l.decreasedAt {
		return
	}
	l.maxInFlight = max(l.maxInFlight, sample.InFlight())
	if sample.Dropped() {
		l.dropped++
	} else {
		c := &l.classes[min(max(sample.Class(), 0), classes-1)]
		c.sum += float64(max(sample.Latency(), 1))
		c.count++
		l.count++
	}
	span := at - l.windowStart
	if span >= minWindowTime && l.count+l.dropped >= min(minWindowSamples, l.Limit()) || span >= maxWindowTime {
		l.closeWindow(at)
		l.windowStart, l.count, l.dropped, l.maxInFlight = at, 0, 0, 0
	}
}

// closeWindow adjusts the limit according to the runs of the window.
func (l *Adaptive) closeWindow(at jackdawbridge.Millis) {
	if l.count == 0 {
		if l.dropped > 0 {
			l.limit *= weakestDecrease
			l.clamp()
		}
		return
	}
	busy := float64(l.maxInFlight) >= l.limit*busyPercent/100
	latency := l.updateBases(busy)
	if latency > tolerance {
		l.slowStart = false
		l.lower(at, latency)
	} else {
		l.trial = false
		if latency < uncongestedFactor {
			l.uncongestedRuns = max(l.uncongestedRuns*uncongestedDecay, float64(l.maxInFlight))
		}
		l.raise(busy)
	}
	l.clamp()
}

// updateBases moves the bases and returns the latency of the window as a multiple of them.
// While the backend server is busy the bases only fall, since part of its latency comes
// from runs that compete with each other.
func (l *Adaptive) updateBases(busy bool) float64 {
	sum := 0.0
	for i := range l.classes {
		c := &l.classes[i]
		if c.count == 0 {
			continue
		}
		mean, n := c.sum/float64(c.count), float64(c.count)
		if c.base == 0 {
			c.base = mean
		}
		sum += n * mean / c.base
		runs := float64(fallingBaseRuns)
		if mean > c.base {
			runs = risingBaseRuns
		}
		if !busy || mean < c.base {
			c.base += (mean - c.base) * n / (n + runs)
		}
		c.sum, c.count = 0, 0
	}
	return sum / float64(l.count)
}

// lower decreases the limit. If the last decrease was not effective, it restores the limit
// and raises the bases instead: if the number of runs were the cause, the latency would
// have fallen.
func (l *Adaptive) lower(at jackdawbridge.Millis, latency float64) {
	// With one run at a time nothing queues, so the latency is the base. A latency
	// that still rises is caused by competing runs that started before the decrease,
	// so it does not show that the decrease was ineffective.
	ineffective := l.Limit() == 1 || l.trial && latency > l.latencyBefore*(1-effectiveGain*(1-l.lastDecrease)) && latency < l.latencyBefore*uncongestedFactor
	if ineffective {
		for i := range l.classes {
			l.classes[i].base *= latency
		}
		l.limit = max(l.limit, l.limitBefore)
		l.trial = false
		return
	}
	if !l.trial {
		l.trial, l.limitBefore = true, l.limit
	}
	l.lastDecrease = weakestDecrease
	if float64(l.maxInFlight) > l.uncongestedRuns*uncongestedFactor {
		l.lastDecrease = min(max(tolerance/latency, strongestDecrease), weakestDecrease)
	}
	l.latencyBefore = latency
	l.limit = min(l.limit, max(float64(l.maxInFlight), 1)) * l.lastDecrease
	l.decreasedAt = at
}

// raise increases the limit if the backend server is busy. In slow start it doubles the
// limit.
func (l *Adaptive) raise(busy bool) {
	switch {
	case !busy:
	case l.slowStart:
		l.limit *= 2
	default:
		l.limit = max(l.limit*increaseFactor, l.limit+1)
	}
}

// clamp keeps the limit between 1 and the slots. Slow start ends when the limit reaches
// the slots.
func (l *Adaptive) clamp() {
	if l.limit >= float64(l.slots) {
		l.limit = float64(l.slots)
		l.slowStart = false
	}
	l.limit = max(l.limit, 1)
}
