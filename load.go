package jackdawbridge

// UsualPace is the pace of a machine on which work takes as long as usual.
const UsualPace = 1000

// maxPace bounds the pace that is believed, as a multiple of UsualPace.
const maxPace = 100 * UsualPace

// BackendLoad is the load that a backend server reports with an answer. It is advisory:
// a backend server may report any numbers.
type BackendLoad struct {
	running int // requests being processed, 0 to maxAnnouncedCapacity
	waiting int // requests in its queue, 0 to maxAnnouncedCapacity
	slots   int // requests that it processes at once, 1 to maxAnnouncedCapacity
	pace    int // time that work takes on its machine now, in permille of the usual time, above 0
}

// NewBackendLoad returns the load of a backend server. It reports false if a number was out
// of range and has been clamped.
func NewBackendLoad(running, waiting, slots, pace int) (BackendLoad, bool) {
	l := BackendLoad{
		running: min(max(running, 0), maxAnnouncedCapacity),
		waiting: min(max(waiting, 0), maxAnnouncedCapacity),
		slots:   min(max(slots, 1), maxAnnouncedCapacity),
		pace:    min(max(pace, 1), maxPace),
	}
	return l, l == BackendLoad{running: running, waiting: waiting, slots: slots, pace: pace}
}

// IsZero reports whether l is unknown.
func (l BackendLoad) IsZero() bool { return l.slots == 0 }

// Running returns the number of requests being processed.
func (l BackendLoad) Running() int { return l.running }

// Waiting returns the number of requests in the queue of the backend server.
func (l BackendLoad) Waiting() int { return l.waiting }

// Slots returns how many requests the backend server processes at once.
func (l BackendLoad) Slots() int { return l.slots }

// Pace returns the time that work takes on the machine now, in permille of the usual time.
func (l BackendLoad) Pace() int { return l.pace }

// maxBacklog bounds the work of a backlog: maxAnnouncedCapacity requests of 100 s each.
const maxBacklog = maxAnnouncedCapacity * 100 * Second

// Backlog is the work that an upstream still has to do, as estimated by its node.
type Backlog struct {
	work       Millis // expected remaining time of the requests that run and wait, at the usual pace of the upstream
	perRequest Millis // expected time of one request there, at the usual pace of the upstream
	pace       int    // see BackendLoad, 0 if the backlog is unknown
}

// NewBacklog returns the backlog of an upstream.
func NewBacklog(work, perRequest Millis, pace int) Backlog {
	return Backlog{work: min(max(work, 0), maxBacklog), perRequest: min(max(perRequest, 0), MaxDuration), pace: min(max(pace, 1), maxPace)}
}

// IsZero reports whether b is unknown.
func (b Backlog) IsZero() bool { return b.pace == 0 }

// Work returns the expected remaining time of the requests that run and wait at the
// upstream, at its usual pace. Its slots share the work.
func (b Backlog) Work() Millis { return b.work }

// PerRequest returns the expected time of one request at the upstream, at its usual pace.
func (b Backlog) PerRequest() Millis { return b.perRequest }

// Pace returns the time that work takes at the upstream now, in permille of its usual time.
func (b Backlog) Pace() int { return b.pace }
