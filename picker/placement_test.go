package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/estimate"
)

// fleet plays a load on uneven upstreams in virtual time, with entry nodes that learn only
// from the answers to their own calls. An upstream runs as many requests as it has slots
// and queues the others.
type fleet struct {
	load      int // permille of what the upstreams can do
	span      jackdawbridge.Millis
	spell     int // permille of the usual time that a run takes in a slow spell
	random    *rand.Rand
	upstreams []*server
	entries   []*entry
	kinds     []kind
	events    map[jackdawbridge.Millis][]func()
	now       jackdawbridge.Millis
	times     []float64
	objective float64
}

// kind is a kind of request that a caller cannot tell from the others of its class.
type kind struct{ share, ms, class, tailShare, tailFactor float64 }

// server is an upstream and its node.
type server struct {
	slots, running int
	slowness       float64 // time of a run, relative to the usual one
	spell          float64 // factor of the times during a slow spell, 1 outside of them
	lie            int     // requests and permille of pace that are reported in place of the true ones, 0 for none
	queue          []func()
	work           estimate.Backend
}

// entry is an entry node.
type entry struct {
	mean  estimate.Service
	known []view
}

// view is what an entry node knows about an upstream.
type view struct {
	work                      estimate.Upstream
	latency                   float64
	inFlight, busy, inFlight0 int
	at                        jackdawbridge.Millis
}

// TestPlacement runs the commands "place" of testdata/placement. Each line is a kind of
// upstreams (up: number, slots, slowness, reported lie) or of requests (req: share, mean
// ms, class, share and factor of the tail). The output compares the pickers.
func TestPlacement(t *testing.T) {
	datadriven.RunTest(t, "testdata/placement/uneven", func(t *testing.T, d *datadriven.TestData) string {
		var b strings.Builder
		for _, c := range []struct {
			name string
			p    jackdawbridge.Picker
		}{{"two choices", NewTwoChoices()}, {"observed", NewObserved()}, {"completion", NewCompletion()}} {
			f := newFleet(t, d)
			f.play(c.p)
			fmt.Fprintf(&b, "%s: %s\n", c.name, f.report())
		}
		return b.String()
	})
}

func newFleet(t *testing.T, d *datadriven.TestData) *fleet {
	f := &fleet{load: 500, spell: 1000, random: rand.New(rand.NewPCG(1, 2)), events: make(map[jackdawbridge.Millis][]func())}
	entries := 0
	d.ScanArgs(t, "entries", &entries)
	objective := 0
	d.ScanArgs(t, "objective", &objective)
	f.objective = float64(objective)
	span := 8
	d.MaybeScanArgs(t, "span", &span)
	f.span = jackdawbridge.Millis(span) * jackdawbridge.Second
	d.MaybeScanArgs(t, "load", &f.load)
	d.MaybeScanArgs(t, "spell", &f.spell)
	for line := range strings.Lines(d.Input) {
		var n, slots, lie int
		var slowness float64
		var k kind
		if _, err := fmt.Sscanf(line, "up %d %d %g %d", &n, &slots, &slowness, &lie); err == nil {
			for range n {
				f.upstreams = append(f.upstreams, &server{slots: slots, slowness: slowness, spell: 1, lie: lie})
			}
		} else if _, err := fmt.Sscanf(line, "req %g %g %g %g %g", &k.share, &k.ms, &k.class, &k.tailShare, &k.tailFactor); err == nil {
			f.kinds = append(f.kinds, k)
		} else {
			d.Fatalf(t, "line %q", line)
		}
	}
	for range entries {
		f.entries = append(f.entries, &entry{known: make([]view, len(f.upstreams))})
	}
	return f
}

func (f *fleet) at(delay float64, do func()) {
	at := f.now + max(jackdawbridge.Millis(math.Round(delay)), 1)
	f.events[at] = append(f.events[at], do)
}

// play sends load (a permille of what the upstreams can do) for the span. In a slow spell
// of 600 ms the runs that begin at an upstream take spell permille of their time; each
// upstream is in one a seventh of the time.
func (f *fleet) play(p jackdawbridge.Picker) {
	capacity, mean := 0.0, 0.0
	for _, u := range f.upstreams {
		capacity += float64(u.slots) / u.slowness
	}
	for _, k := range f.kinds {
		mean += float64(k.share * k.ms * (1 + float64(k.tailShare*(k.tailFactor-1))))
	}
	perMilli := float64(f.load) / 1000 * capacity / mean
	due := 0.0
	for f.now = 1; f.now < f.span; f.now++ {
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
		if f.now%600 == 0 {
			for _, u := range f.upstreams {
				u.spell = 1
				if f.random.IntN(7) == 0 {
					u.spell = float64(f.spell) / 1000
				}
			}
		}
		for due += float64(2 * f.random.Float64() * perMilli); due >= 1; due-- {
			f.send(p)
		}
	}
}

// send places one request of a random kind from a random entry node.
func (f *fleet) send(p jackdawbridge.Picker) {
	e := f.entries[f.random.IntN(len(f.entries))]
	k, left := f.kinds[0], f.random.Float64()
	for _, k = range f.kinds {
		if left -= k.share; left < 0 {
			break
		}
	}
	candidates := make([]jackdawbridge.Candidate, len(f.upstreams))
	for i := range candidates {
		v := &e.known[i]
		busy := max(v.busy>>min((f.now-v.at)/250, 8)+v.inFlight-v.inFlight0, v.inFlight)
		own, work := v.work.Expect(f.now, &e.mean, int(k.class), v.inFlight)
		candidates[i] = jackdawbridge.NewCandidate(busy, jackdawbridge.Millis(v.latency), 0, f.upstreams[i].slots).WithEstimate(own, work)
	}
	i := p.Pick(candidates, f.random.Uint64())
	v, u, sent, class := &e.known[i], f.upstreams[i], f.now, int(k.class)
	v.inFlight++
	ms := k.ms * (0.5 + f.random.Float64())
	if f.random.Float64() < k.tailShare {
		ms *= k.tailFactor
	}
	f.at(1, func() {
		arrived, expected := f.now, u.work.Add(class)
		u.queue = append(u.queue, func() {
			took, waited := ms*u.slowness*u.spell, f.now-arrived
			f.at(took, func() {
				backlog := f.end(u, class, expected, jackdawbridge.Millis(took))
				busy := u.running + len(u.queue)
				f.at(1, func() {
					v.inFlight--
					v.busy, v.at, v.inFlight0 = busy, f.now, v.inFlight
					v.work.Report(f.now, &e.mean, class, v.inFlight, backlog)
					latency := float64(f.now - sent - waited)
					if v.latency == 0 {
						v.latency = latency
					}
					v.latency += (latency - v.latency) / 8
					f.times = append(f.times, float64(f.now-sent))
				})
			})
		})
		u.start()
	})
}

// start runs the requests of the queue for which there is a slot.
func (u *server) start() {
	for len(u.queue) > 0 && u.running < u.slots {
		u.running++
		next := u.queue[0]
		u.queue = u.queue[1:]
		next()
	}
}

// end ends a run and returns the backlog that its answer carries.
func (f *fleet) end(u *server, class int, expected, took jackdawbridge.Millis) jackdawbridge.Backlog {
	running, pace := u.running, int(u.spell*jackdawbridge.UsualPace)
	if u.lie > 0 {
		running, pace = u.lie, u.lie
	}
	load, _ := jackdawbridge.NewBackendLoad(running, len(u.queue), u.slots, pace)
	u.work.Report(f.now, load, u.running+len(u.queue), u.slots)
	backlog := u.work.Backlog(f.now, class, expected)
	u.work.Observe(f.now, class, took)
	u.work.Remove(expected)
	u.running--
	u.start()
	return backlog
}

// report returns the figures of the requests that were answered.
func (f *fleet) report() string {
	slices.Sort(f.times)
	sum, within := 0.0, 0
	for _, t := range f.times {
		sum += t
		if t <= f.objective {
			within++
		}
	}
	n := len(f.times)
	return fmt.Sprintf("mean %.0f ms, p99 %.0f ms, within objective %.1f%%", sum/float64(n), f.times[n*99/100], float64(within)*100/float64(n))
}

// BenchmarkPick reports the time of a choice among 32 candidates, and its ratio to that of
// the picker that compares four of them.
func BenchmarkPick(b *testing.B) {
	var candidates []jackdawbridge.Candidate
	for i := range 32 {
		candidates = append(candidates, jackdawbridge.NewCandidate(i, jackdawbridge.Millis(50+i), 0, 54).
			WithRemote(i >= 16).WithEstimate(float64(50+i), float64(100*i)))
	}
	measure := func(p jackdawbridge.Picker) time.Duration {
		start := time.Now()
		for i := range b.N {
			p.Pick(candidates, uint64(i)*0x9e3779b97f4a7c15)
		}
		return time.Since(start)
	}
	observed, completion := measure(NewObserved()), measure(NewCompletion())
	b.ReportMetric(float64(completion)/float64(observed), "ratio")
	b.ReportMetric(float64(completion.Nanoseconds())/float64(b.N), "ns/pick")
	b.ReportMetric(float64(observed.Nanoseconds())/float64(b.N), "ns/pick-observed")
}
