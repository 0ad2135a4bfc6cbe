package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxLevels is the maximum number of routes with a learned level.
	maxLevels = 4096
	// levelShift sets the weight of an answer in the learned level to 1/2^3 = 1/8.
	levelShift = 3
	// levelUnit is the value of one rank in a learned level.
	levelUnit = 256
	// levelGrace is how long a learned level stays unchanged without an answer;
	// levelDecay is the time in which it then falls by one rank. Without the decay a
	// service whose requests are all shed would never receive a request again.
	levelGrace = 200 * jackdawbridge.Millis(1)
	levelDecay = 100 * jackdawbridge.Millis(1)
	// shedRetryAfter is the retry time in the refusal of a request that is shed at
	// the entry node.
	shedRetryAfter = jackdawbridge.Second
)

// levelKey identifies a route. The requests of a route make the same calls to other
// services, so they depend on the capacity of the same services.
type levelKey struct {
	service jackdawbridge.ServiceName
	prefix  string
}

// learnedLevel is the admission level of a route as learned from answers. An answer
// reports the highest level of the service and of the services that it calls.
type learnedLevel struct {
	level int                  // exponential average, in units of 1/levelUnit rank
	at    jackdawbridge.Millis // time of the last answer
}

// learn records the admission level that came with an answer, for the upstream and
// for the route.
func (p *routes) learn(node jackdawbridge.Node, key levelKey, level jackdawbridge.Level) {
	if o, ok := p.observations[node]; ok {
		o.level, o.levelAt = level, p.r.now
	}
	l, ok := p.levels[key]
	if !ok {
		if len(p.levels) >= maxLevels {
			clear(p.levels) // drops removed routes; the others are learned again
		}
		l = &learnedLevel{}
		p.levels[key] = l
	}
	l.learn(p.r.now, level)
}

// learn adds a reported level to the average.
func (l *learnedLevel) learn(now jackdawbridge.Millis, level jackdawbridge.Level) {
	l.level = l.current(now)
	l.level += (int(level)*levelUnit - l.level) >> levelShift
	l.at = now
}

// current returns the level after its decay.
func (l *learnedLevel) current(now jackdawbridge.Millis) int {
	silent := max(now-l.at-levelGrace, 0)
	return max(l.level-int(min(silent, 10*jackdawbridge.Second)*levelUnit/levelDecay), 0)
}

// levelOf returns the admission level learned for the route of a call, 0 if there
// is none.
func (p *routes) levelOf(c *call) jackdawbridge.Level {
	if c.route == nil {
		return 0
	}
	l, ok := p.levels[c.levelKey()]
	if !ok {
		return 0
	}
	return jackdawbridge.Level(l.current(p.r.now) / levelUnit)
}

// sheds reports whether a request is below the admission level of its route. Entry
// nodes learn a level at different times, so requests with paid priority are shed
// here only if critical ones are shed as well; otherwise the upstream's queue
// decides about them.
func (p *routes) sheds(key levelKey, rank jackdawbridge.Level, paid bool) bool {
	l, ok := p.levels[key]
	if !ok {
		return false
	}
	if paid && rank < jackdawbridge.CriticalRank {
		rank = jackdawbridge.CriticalRank - 1
	}
	return int(rank) < l.current(p.r.now)/levelUnit
}
