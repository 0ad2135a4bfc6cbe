package reducer

import (
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/estimate"
)

const (
	// latencyHalfLife is the time in which the latency of an upstream without new
	// answers halves, so that an upstream that was slow is tried again.
	latencyHalfLife = 4 * jackdawbridge.Second
	// failuresHalfLife is the time in which the count of consecutive failures halves.
	failuresHalfLife = 5 * jackdawbridge.Second
	// ejectAfter is the number of consecutive failures after which an upstream is
	// ejected.
	ejectAfter = 3
	// ejectTime is how long the first ejection lasts. Each further one without a
	// success in between lasts twice as long, up to maxEjectTime.
	ejectTime    = jackdawbridge.Second
	maxEjectTime = 16 * jackdawbridge.Second
	// trialInterval is the time between two requests to an upstream whose ejection
	// has ended but that has not answered since.
	trialInterval = 250 * jackdawbridge.Millis(1)
	// maxLevelAge is how long an upstream's reported admission level is used.
	maxLevelAge = 500 * jackdawbridge.Millis(1)
	// occupancyHalfLife is the time in which an upstream's reported occupancy halves.
	// After occupancyHalfLives of them only this node's calls in progress count.
	occupancyHalfLife  = 250 * jackdawbridge.Millis(1)
	occupancyHalfLives = 8
	// relistGap is the absence from the subset after which the slow start of an
	// upstream begins again.
	relistGap = 3 * subsetInterval
)

// observation holds what this node has learned about an upstream from its answers
// and failures.
type observation struct {
	dc               jackdawbridge.DataCentre
	inFlight         int                     // calls of this node in progress
	latency          jackdawbridge.Millis    // exponential average, 0 when unknown
	latencyUpdated   jackdawbridge.Millis    // time of the last update of latency
	failures         int                     // consecutive failures
	failedAt         jackdawbridge.Millis    // time of the last failure
	ejections        int                     // ejections since the last success
	ejectedUntil     jackdawbridge.Millis    // end of the ejection, 0 for none
	slowStartFrom    jackdawbridge.Millis    // start of the slow start
	listedAt         jackdawbridge.Millis    // when the upstream was last in the subset
	level            jackdawbridge.Level     // last reported admission level
	levelAt          jackdawbridge.Millis    // when level was reported
	occupancy        jackdawbridge.Occupancy // last reported occupancy
	occupancyAt      jackdawbridge.Millis    // when occupancy was reported
	inFlightAtReport int                     // calls of this node in progress when occupancy was reported
	work             estimate.Upstream       // work and speed as last reported
	reachability     reachability
}

// setOccupancy records an occupancy that the upstream reported.
func (o *observation) setOccupancy(now jackdawbridge.Millis, occupancy jackdawbridge.Occupancy) {
	if occupancy.Limit() > 0 {
		o.occupancy, o.occupancyAt, o.inFlightAtReport = occupancy, now, o.inFlight
	}
}

// load estimates how many requests run and wait at the upstream, and returns it
// with the number that may run. The estimate is the reported number, halved every
// occupancyHalfLife, plus the change in this node's calls in progress since the
// report. Without a recent report it returns this node's calls in progress and the
// given number of slots.
func (o *observation) load(now jackdawbridge.Millis, slots int) (busy, limit int) {
	age := (now - o.occupancyAt) / occupancyHalfLife
	if o.occupancy.Limit() == 0 || age > occupancyHalfLives {
		return o.inFlight, slots
	}
	return max(o.occupancy.Busy()>>age+o.inFlight-o.inFlightAtReport, o.inFlight, 0), o.occupancy.Limit()
}

// listed records that the upstream is in the subset. After an absence of more than
// relistGap the slow start begins again.
func (o *observation) listed(now jackdawbridge.Millis) {
	if o.listedAt != 0 && now-o.listedAt > relistGap {
		o.slowStartFrom = now
	}
	o.listedAt = now
}

// attemptEnded records how an attempt ended and reports whether this ejects the
// upstream. A refusal for overload, a cancelled call and a deadline that passed before
// the request ran are not failures.
func (o *observation) attemptEnded(now, latency jackdawbridge.Millis, outcome jackdawbridge.Outcome, reason jackdawbridge.Reason) bool {
	if outcome == jackdawbridge.Served {
		o.failures, o.ejections, o.ejectedUntil = 0, 0, 0
		if o.latency == 0 {
			o.latency = latency
		}
		o.latency += (latency - o.latency) / 8
		o.latencyUpdated = now
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
	o.failedAt = now
	// A node that reports that it accepts no requests is ejected at once.
	if o.failures < ejectAfter && reason != jackdawbridge.BackendDown && reason != jackdawbridge.Draining {
		return false
	}
	if now < o.ejectedUntil {
		return false
	}
	o.ejectedUntil = now + min(ejectTime<<min(o.ejections, 8), maxEjectTime)
	o.ejections++
	return true
}

// ejected reports whether the upstream is excluded from new requests.
func (o *observation) ejected(now jackdawbridge.Millis) bool { return now < o.ejectedUntil }

// picked records that a request is sent to the upstream. If its ejection has ended
// and it has not answered since, it is excluded again for trialInterval.
func (o *observation) picked(now jackdawbridge.Millis) {
	if o.ejectedUntil != 0 && now >= o.ejectedUntil {
		o.ejectedUntil = now + trialInterval
	}
}

// currentLevel returns the admission level that the upstream reported within the
// last maxLevelAge, or 0 if it reported none.
func (o *observation) currentLevel(now jackdawbridge.Millis) jackdawbridge.Level {
	if now-o.levelAt >= maxLevelAge {
		return 0
	}
	return o.level
}

// latencyAt returns the latency, halved for every latencyHalfLife since its last
// update.
func (o *observation) latencyAt(now jackdawbridge.Millis) jackdawbridge.Millis {
	return o.latency >> min((now-o.latencyUpdated)/latencyHalfLife, 32)
}

// failuresAt returns the number of consecutive failures, halved for every
// failuresHalfLife since the last one.
func (o *observation) failuresAt(now jackdawbridge.Millis) int {
	return o.failures >> min((now-o.failedAt)/failuresHalfLife, 32)
}

// slotShare returns the part of its slots, in permille, that the upstream receives
// at this point of its slow start.
func (o *observation) slotShare(now jackdawbridge.Millis) int {
	return int(min(max((now-o.slowStartFrom)*fullSlotShare/slowStartTime, slowStartPermille), fullSlotShare))
}
