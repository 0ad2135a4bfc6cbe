package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// latencyHalfLife is how fast an old latency is forgotten, so that an
	// upstream that was slow is tried again.
	latencyHalfLife = 4 * jackdawbridge.Second
	// failuresHalfLife is how fast failures in a row are forgotten.
	failuresHalfLife = 5 * jackdawbridge.Second
	// ejectAfter is how many failures in a row eject an upstream.
	ejectAfter = 3
	// ejectSpan is how long the first ejection lasts; each further one without a
	// success between lasts twice as long, up to ejectLimit.
	ejectSpan  = jackdawbridge.Second
	ejectLimit = 16 * jackdawbridge.Second
	// probeSpan is the time between two requests to an upstream whose ejection
	// has ended but that has not answered since.
	probeSpan = 250 * jackdawbridge.Millis(1)
	// levelLife is how long an upstream's admission level is believed.
	levelLife = 500 * jackdawbridge.Millis(1)
	// occupancyHalfLife is how fast an occupancy that an upstream told is forgotten,
	// and occupancyLives the half-lives after which only own calls count.
	occupancyHalfLife = 250 * jackdawbridge.Millis(1)
	occupancyLives    = 8
	// listGap is the absence from the subset after which an upstream ramps again.
	listGap = 3 * subsetInterval
)

// observation is what this node has seen of an upstream.
type observation struct {
	dc         jackdawbridge.DataCentre
	inFlight   int
	latency    jackdawbridge.Millis // smoothed, 0 when unknown
	latencyAge jackdawbridge.Millis // when latency was last learned
	failures   int                  // in a row
	failed     jackdawbridge.Millis // when the last failure was
	ejections  int                  // without a success between
	until      jackdawbridge.Millis // end of the ejection, 0 for none
	first      jackdawbridge.Millis // when the upstream came
	last       jackdawbridge.Millis // when it was last in the subset
	level      jackdawbridge.Level  // that it told last
	levelAt    jackdawbridge.Millis
	occupancy  jackdawbridge.Occupancy // that it told last
	occupiedAt jackdawbridge.Millis
	told       int // own calls in flight when it told its occupancy
	reach      reach
}

// report takes note of an occupancy that an upstream told.
func (o *observation) report(now jackdawbridge.Millis, occupancy jackdawbridge.Occupancy) {
	if occupancy.Limit() > 0 {
		o.occupancy, o.occupiedAt, o.told = occupancy, now, o.inFlight
	}
}

// occupied returns how many requests run and wait at the upstream, and how many
// may run: what it told, less the longer ago that was, and the own calls since.
func (o *observation) occupied(now jackdawbridge.Millis, slots int) (busy, limit int) {
	age := (now - o.occupiedAt) / occupancyHalfLife
	if o.occupancy.Limit() == 0 || age > occupancyLives {
		return o.inFlight, slots
	}
	return max(o.occupancy.Busy()>>age+o.inFlight-o.told, o.inFlight, 0), o.occupancy.Limit()
}

// listed takes note that the upstream is in the subset.
func (o *observation) listed(now jackdawbridge.Millis) {
	if o.last != 0 && now-o.last > listGap {
		o.first = now
	}
	o.last = now
}

// ended takes note of how an attempt ended and reports whether the upstream
// is ejected for it. A refusal for overload or a cancelled call is no failure.
func (o *observation) ended(now, latency jackdawbridge.Millis, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) bool {
	if outcome == jackdawbridge.Served {
		o.failures, o.ejections, o.until = 0, 0, 0
		if o.latency == 0 {
			o.latency = latency
		}
		o.latency += (latency - o.latency) / 8
		o.latencyAge = now
		return false
	}
	switch reason {
	case jackdawbridge.UpstreamFailed, jackdawbridge.BackendDown, jackdawbridge.Draining, jackdawbridge.NotReady:
	case jackdawbridge.DeadlinePassed:
		if outcome == jackdawbridge.NotRun {
			return false
		}
	default:
		return false
	}
	o.failures = o.failuresAt(now) + 1
	o.failed = now
	// A node that tells that it takes no work is believed at once.
	if o.failures < ejectAfter && reason != jackdawbridge.BackendDown && reason != jackdawbridge.Draining {
		return false
	}
	if now < o.until {
		return false
	}
	o.until = now + min(ejectSpan<<min(o.ejections, 8), ejectLimit)
	o.ejections++
	return true
}

// ejected reports whether the upstream gets no request now.
func (o *observation) ejected(now jackdawbridge.Millis) bool { return now < o.until }

// probed takes note that a request goes to the upstream. After an ejection
// the next one waits.
func (o *observation) probed(now jackdawbridge.Millis) {
	if o.until != 0 && now >= o.until {
		o.until = now + probeSpan
	}
}

// admits returns the admission level that the upstream told lately, 0 if none.
func (o *observation) admits(now jackdawbridge.Millis) jackdawbridge.Level {
	if now-o.levelAt >= levelLife {
		return 0
	}
	return o.level
}

// latencyAt returns the latency, less the longer ago it was learned.
func (o *observation) latencyAt(now jackdawbridge.Millis) jackdawbridge.Millis {
	return o.latency >> min((now-o.latencyAge)/latencyHalfLife, 32)
}

// failuresAt returns the failures in a row, less the longer ago they were.
func (o *observation) failuresAt(now jackdawbridge.Millis) int {
	return o.failures >> min((now-o.failed)/failuresHalfLife, 32)
}

// warmth returns the part of its slots that a ramping upstream gets, in permille.
func (o *observation) warmth(now jackdawbridge.Millis) int {
	return int(min(max((now-o.first)*fullWarmth/rampSpan, rampStart), fullWarmth))
}
