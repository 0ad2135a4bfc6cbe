package limiter

import "github.com/jackdawbridge/jackdawbridge"

const (
	// windowSamples is how many runs a window has at least. A limit below it
	// needs only as many runs as it allows at once.
	windowSamples = 24
	// windowSpan is how long a window lasts at least, and windowLimit at most.
	windowSpan  = 100 * jackdawbridge.Millis(1)
	windowLimit = 2 * jackdawbridge.Second
	// coldPart is the part of the slots that a cold backend server gets.
	coldPart = 4
	// busyPart is the part of the limit, in percent, that must be used before
	// the limit rises: an idle backend server proves nothing.
	busyPart = 80
	// tolerance is how far latency may rise above the base before the limit
	// falls. Less reacts to the noise of a window.
	tolerance = 1.4
	// increase is the factor by which the limit rises.
	increase = 1.1
	// steepest and gentlest bound the factor by which the limit falls. It falls
	// gently while no more runs go on than were seen to do no harm: then the
	// backend server is likely to be slow for another reason.
	steepest = 0.7
	gentlest = 0.85
	// helped is the part of the latency before a fall, for each part of the limit
	// that was cut, below which the fall has helped. Runs that share a processor
	// get faster in proportion to the cut.
	helped = 0.6
	// harmless is the latency, as a multiple of the base, up to which the runs in
	// progress count as doing no harm.
	harmless = 1.15
	// provenDecay is the factor by which a proven number of runs fades with each
	// window.
	provenDecay = 0.99
	// lowerRuns and higherRuns are the runs after which the base of a class has
	// gone half of the way to a lower and a higher latency.
	lowerRuns  = 64
	higherRuns = 64 * 64
)

const classes = jackdawbridge.MaxClass + 1

// class holds the latency of the runs of one class.
type class struct {
	base  float64 // latency in ms without queueing, 0 when unknown
	sum   float64 // of the window
	count int     // of the window
}

// Adaptive finds how many runs a backend server can do at once: the limit
// rises while latency stays near its base and falls when it does not. When a
// lower limit does not shorten the latency, the backend server is slow for
// another reason, and the base moves instead.
type Adaptive struct {
	slots int     // at least 1
	limit float64 // from 1 to slots

	classes [classes]class
	begun   jackdawbridge.Millis // start of the window, 0 before the first sample
	count   int
	dropped int
	peak    int // most runs seen in the window

	proven  float64              // runs in progress that did no harm lately
	fell    jackdawbridge.Millis // when the limit fell; runs from before are not looked at
	trial   bool                 // the limit has fallen and the effect is not known yet
	before  float64              // limit when the trial began
	suspect float64              // latency before the last fall
	cut     float64              // factor of the last fall
	ramp    bool                 // the backend server is cold
}

// NewAdaptive returns a limiter for a cold backend server.
func NewAdaptive(slots int) *Adaptive {
	l := &Adaptive{slots: 1, limit: 1, ramp: true}
	l.Resize(slots)
	return l
}

// Limit returns how many runs may go on at once.
func (l *Adaptive) Limit() int { return max(int(l.limit), 1) }

// Resize changes the slots. A backend server that announces itself after it
// was gone, which the node tells by a Resize to one slot, starts cold.
func (l *Adaptive) Resize(slots int) {
	slots = max(slots, 1)
	switch {
	case slots > l.slots && l.slots == 1:
		*l = Adaptive{limit: max(float64(slots/coldPart), 1), ramp: true}
	case !l.ramp:
		l.limit *= float64(slots) / float64(l.slots)
	}
	l.slots = slots
	l.clamp()
}

// Observe learns from a run that ended.
func (l *Adaptive) Observe(at jackdawbridge.Millis, sample jackdawbridge.Sample) {
	if l.begun == 0 {
		l.begun = at
	}
	if !sample.Dropped() && at-sample.Latency() < l.fell {
		return
	}
	l.peak = max(l.peak, sample.InFlight())
	if sample.Dropped() {
		l.dropped++
	} else {
		c := &l.classes[min(max(sample.Class(), 0), classes-1)]
		c.sum += float64(max(sample.Latency(), 1))
		c.count++
		l.count++
	}
	span := at - l.begun
	if span >= windowSpan && l.count+l.dropped >= min(windowSamples, l.Limit()) || span >= windowLimit {
		l.close(at)
		l.begun, l.count, l.dropped, l.peak = at, 0, 0, 0
	}
}

// close changes the limit by what the window has shown.
func (l *Adaptive) close(at jackdawbridge.Millis) {
	if l.count == 0 {
		if l.dropped > 0 {
			l.limit *= gentlest
			l.clamp()
		}
		return
	}
	busy := float64(l.peak) >= l.limit*busyPart/100
	latency := l.learn(busy)
	if latency > tolerance {
		l.ramp = false
		l.fall(at, latency)
	} else {
		l.trial = false
		if latency < harmless {
			l.proven = max(l.proven*provenDecay, float64(l.peak))
		}
		l.rise(busy)
	}
	l.clamp()
}

// learn moves the bases and returns the latency of the window as a multiple of
// them. A busy backend server moves them down only: its latency holds a part
// that comes from the runs beside each other.
func (l *Adaptive) learn(busy bool) float64 {
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
		runs := float64(lowerRuns)
		if mean > c.base {
			runs = higherRuns
		}
		if !busy || mean < c.base {
			c.base += (mean - c.base) * n / (n + runs)
		}
		c.sum, c.count = 0, 0
	}
	return sum / float64(l.count)
}

// fall lowers the limit. If the last fall has not helped it moves the bases
// instead: with fewer runs the latency would have come down.
func (l *Adaptive) fall(at jackdawbridge.Millis, latency float64) {
	// With one run at a time nothing queues: the latency is the base.
	// A latency that still rises shows the runs from before the fall.
	useless := l.Limit() == 1 || l.trial && latency > l.suspect*(1-helped*(1-l.cut)) && latency < l.suspect*harmless
	if useless {
		for i := range l.classes {
			l.classes[i].base *= latency
		}
		l.limit = max(l.limit, l.before)
		l.trial = false
		return
	}
	if !l.trial {
		l.trial, l.before = true, l.limit
	}
	l.cut = gentlest
	if float64(l.peak) > l.proven*harmless {
		l.cut = min(max(tolerance/latency, steepest), gentlest)
	}
	l.suspect = latency
	l.limit = min(l.limit, max(float64(l.peak), 1)) * l.cut
	l.fell = at
}

// rise raises the limit if it is used.
func (l *Adaptive) rise(busy bool) {
	switch {
	case !busy:
	case l.ramp:
		l.limit *= 2
	default:
		l.limit = max(l.limit*increase, l.limit+1)
	}
}

func (l *Adaptive) clamp() {
	if l.limit >= float64(l.slots) {
		l.limit = float64(l.slots)
		l.ramp = false
	}
	l.limit = max(l.limit, 1)
}
