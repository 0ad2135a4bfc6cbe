// Package estimate predicts how long a request takes at a backend server and how much work
// the backend server still has to do. It does no I/O, and no method allocates.
//
// A Backend is kept by the node beside a backend server, which knows the start and the end of
// each run. An Upstream is kept by each entry node and is fed by the backlogs that the
// upstream's node sends with its answers.
package estimate

import "github.com/jackdawbridge/jackdawbridge"

const (
	// fullWeightRuns is the number of runs over which the time of a class is averaged.
	fullWeightRuns = 64
	// runsHalfLife is the time without runs in which the weight of an average halves, so
	// that a backend server that gets few requests is seen to have become faster or slower.
	runsHalfLife = float64(4 * jackdawbridge.Second)
	// maxDeviation bounds a run time from above, as a multiple of the average of its class,
	// and from below. A long run among short ones, or some runs of a route that takes a
	// hundredth of the time, say nothing about the speed of the backend server.
	maxDeviation = 3
	// boundedRuns is the number of runs in an average from which maxDeviation applies. The
	// first run may be the exception itself.
	boundedRuns = 8
	// A pace outside of minPace and maxPace, relative to the usual one of the backend
	// server, is not believed.
	minPace = jackdawbridge.UsualPace / 4
	maxPace = 16 * jackdawbridge.UsualPace
	// paceHalfLife is the time in which the distance of a reported pace from the usual
	// one halves.
	paceHalfLife = 250 * jackdawbridge.Millis(1)
	// usualPaceTime is the time over which the reported paces are averaged. It spans many
	// spells in which a machine is slow. A report counts for at most maxReportGap.
	usualPaceTime = float64(10 * jackdawbridge.Second)
	maxReportGap  = jackdawbridge.Second
	// maxHalfLives is the number of half-lives after which a report counts for nothing.
	maxHalfLives = 8
)

// classTime is the average time of the runs of a class.
type classTime struct {
	ms   float64              // own time at the usual pace, without the time of child calls; 0 if unknown
	runs float64              // weight of the runs in the average, at most fullWeightRuns, 0 if there are none
	at   jackdawbridge.Millis // time of the last run
}

// Backend estimates the work of one backend server. Its zero value knows nothing.
type Backend struct {
	classes  [jackdawbridge.MaxClass + 1]classTime
	overall  classTime            // of all classes
	work     jackdawbridge.Millis // expected time of the requests that wait and run, at the usual pace
	extra    int                  // requests that the backend server reports beyond those of its node, 0 to its slots
	usual    float64              // average of the reported paces, 0 if none was reported
	pace     int                  // last reported, relative to the usual one, minPace to maxPace
	reported jackdawbridge.Millis // time of the last report
	clamped  int64                // reports that were not believed as they were
}

// Expected returns the expected own time of a request of a class, at the usual pace. A
// class that has not been seen is taken to be like the others.
func (b *Backend) Expected(class int) jackdawbridge.Millis {
	t := b.classes[class]
	if t.runs == 0 {
		t = b.overall
	}
	return jackdawbridge.Millis(t.ms + 0.5)
}

// Add counts a request of a class that has arrived and returns its expected time, with
// which Remove is to be called when the request has ended.
func (b *Backend) Add(class int) jackdawbridge.Millis {
	expected := b.Expected(class)
	b.work += expected
	return expected
}

// Remove ends a request that was counted with the expected time.
func (b *Backend) Remove(expected jackdawbridge.Millis) { b.work = max(b.work-expected, 0) }

// Report records the load that the backend server reports when own requests of its node
// run there. It reports false if the load was not believed as it was.
func (b *Backend) Report(now jackdawbridge.Millis, load jackdawbridge.BackendLoad, own, slots int) bool {
	if load.IsZero() {
		return true
	}
	reported := float64(load.Pace())
	if b.usual == 0 {
		b.usual = jackdawbridge.UsualPace
	}
	b.usual += float64((reported-b.usual)*float64(min(now-b.reported, maxReportGap))) / usualPaceTime
	relative := int(float64(reported*jackdawbridge.UsualPace) / b.usual)
	extra := load.Running() + load.Waiting() - own
	b.pace, b.extra, b.reported = min(max(relative, minPace), maxPace), min(max(extra, 0), slots), now
	if b.pace == relative && extra <= slots {
		return true
	}
	b.clamped++
	return false
}

// Reported reports whether the backend server has reported its load.
func (b *Backend) Reported() bool { return b.usual != 0 }

// Clamped returns the number of reports that were not believed as they were.
func (b *Backend) Clamped() int64 { return b.clamped }

// Observe adds a run that was served, with the time that it took without its child calls.
func (b *Backend) Observe(now jackdawbridge.Millis, class int, own jackdawbridge.Millis) {
	ms := float64(max(own, 1)) * jackdawbridge.UsualPace / float64(b.paceAt(now))
	b.classes[class].add(now, ms)
	b.overall.add(now, ms)
}

// add adds a run to the average.
func (t *classTime) add(now jackdawbridge.Millis, ms float64) {
	if t.runs >= boundedRuns {
		ms = min(max(ms, t.ms/maxDeviation), float64(maxDeviation*t.ms))
	}
	if t.runs > 0 {
		t.runs = float64(t.runs*runsHalfLife) / (runsHalfLife + float64(max(now-t.at, 0)))
	}
	t.runs = min(t.runs+1, fullWeightRuns)
	t.at = now
	t.ms += (ms - t.ms) / t.runs
}

// paceAt returns the pace as it is expected now.
func (b *Backend) paceAt(now jackdawbridge.Millis) int {
	if b.usual == 0 {
		return jackdawbridge.UsualPace
	}
	return agePace(b.pace, now-b.reported)
}

// Backlog returns the work of the backend server, to be sent with the answer to a request
// of a class whose expected time is deducted. It is zero if the backend server has never
// reported its load, or if no run has ended.
func (b *Backend) Backlog(now jackdawbridge.Millis, class int, expected jackdawbridge.Millis) jackdawbridge.Backlog {
	if b.usual == 0 || b.overall.runs == 0 {
		return jackdawbridge.Backlog{}
	}
	extra := b.extra >> min((now-b.reported)/paceHalfLife, maxHalfLives)
	work := b.work - expected + jackdawbridge.Millis(extra)*b.Expected(class)
	return jackdawbridge.NewBacklog(work, b.Expected(class), b.paceAt(now))
}

// agePace returns what is left of a pace that was reported some time ago.
func agePace(pace int, age jackdawbridge.Millis) int {
	return jackdawbridge.UsualPace + (pace-jackdawbridge.UsualPace)/(1<<min(max(age, 0)/paceHalfLife, maxHalfLives))
}
