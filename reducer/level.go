package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// maxLevels bounds the routes whose level is known.
	maxLevels = 4096
	// levelShift makes one answer count for 1/8 of the learned level.
	levelShift = 3
	// levelUnit is one rank in the learned level.
	levelUnit = 256
	// levelGrace is how long a learned level holds without an answer, and
	// levelDecay the time in which it then falls by one rank. Without a fall a
	// service whose requests are all shed would never be tried again.
	levelGrace = 200 * jackdawbridge.Millis(1)
	levelDecay = 100 * jackdawbridge.Millis(1)
	// shedRetryAfter is what a caller is told that is shed at the entry.
	shedRetryAfter = jackdawbridge.Second
)

// levelKey names a route. The requests of a route make the same calls below,
// and so need the same services to have room.
type levelKey struct {
	service jackdawbridge.ServiceName
	prefix  string
}

// learnedLevel is the admission level of a route: that of the service and of
// the services that it calls.
type learnedLevel struct {
	level int // smoothed, in levelUnit
	at    jackdawbridge.Millis
}

// learn takes note of the admission level that came with an answer.
func (p *routes) learn(node jackdawbridge.Node, key levelKey, level jackdawbridge.Level) {
	if o, ok := p.seen[node]; ok {
		o.level, o.levelAt = level, p.r.now
	}
	l, ok := p.levels[key]
	if !ok {
		if len(p.levels) >= maxLevels {
			clear(p.levels) // of routes that were removed; the others are learned again
		}
		l = &learnedLevel{}
		p.levels[key] = l
	}
	l.learn(p.r.now, level)
}

// learn takes note of a level.
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

// learned returns the admission level that was learned for the route of a call, 0
// if none was.
func (p *routes) learned(c *call) jackdawbridge.Level {
	if c.route == nil {
		return 0
	}
	l, ok := p.levels[c.levelKey()]
	if !ok {
		return 0
	}
	return jackdawbridge.Level(l.current(p.r.now) / levelUnit)
}

// sheds reports whether a request is below the admission level of its route. The
// nodes learn a level at different times, so the upstream's queue decides about
// requests with paid priority unless critical ones are shed as well.
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
