package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
)

// backend simulates a backend server under constant demand. A run takes base ms. With more
// runs than slots, the time grows faster than the number of runs.
type backend struct {
	limiter jackdawbridge.Limiter
	random  *rand.Rand
	slots   float64
	base    float64
	now     jackdawbridge.Millis
	ends    map[jackdawbridge.Millis][]jackdawbridge.Sample
	running int
	done    int
}

// run advances the time by span, with as many runs in progress as the limiter and the
// demand allow.
func (b *backend) run(span jackdawbridge.Millis, demand int) {
	for end := b.now + span; b.now < end; b.now++ {
		for _, s := range b.ends[b.now] {
			b.running--
			b.done++
			b.limiter.Observe(b.now, s)
		}
		delete(b.ends, b.now)
		for b.running < min(b.limiter.Limit(), demand) {
			b.running++
			load := max(float64(b.running)/b.slots, 1)
			took := jackdawbridge.Millis(b.base*math.Pow(load, 1.5)*(0.8+0.4*b.random.Float64())) + 1
			b.ends[b.now+took] = append(b.ends[b.now+took], jackdawbridge.NewSample(took, b.running, false))
		}
	}
}

// TestScripts runs the files of testdata. "new" makes a limiter and a backend server,
// "set" changes the server, and "resize" changes the announced slots. "run" advances the
// time and prints the mean limit and throughput of the last quarter.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *backend
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string, fallback int) int {
				for _, a := range d.CmdArgs {
					if a.Key == name {
						n, err := strconv.Atoi(strings.Join(a.Vals, ""))
						if err != nil {
							d.Fatalf(t, "%v", err)
						}
						return n
					}
				}
				return fallback
			}
			switch d.Cmd {
			case "new":
				b = &backend{
					limiter: NewAdaptive(number("announced", 100)), random: rand.New(rand.NewPCG(1, 1)),
					slots: float64(number("slots", 100)), base: float64(number("ms", 100)), now: 1,
					ends: make(map[jackdawbridge.Millis][]jackdawbridge.Sample),
				}
				return fmt.Sprintf("limit %d\n", b.limiter.Limit())
			case "set":
				b.slots, b.base = float64(number("slots", int(b.slots))), float64(number("ms", int(b.base)))
				return ""
			case "resize":
				b.limiter.Resize(number("announced", 100))
				return fmt.Sprintf("limit %d\n", b.limiter.Limit())
			case "run":
				span, demand := jackdawbridge.Millis(number("ms", 1000)), number("demand", 1000)
				b.run(span*3/4, demand)
				b.done = 0
				sum, steps := 0, 0
				for range 100 {
					b.run(span/400, demand)
					sum += b.limiter.Limit()
					steps++
				}
				best := b.slots / (b.base + 0.5)
				got := float64(b.done) / float64(span/4)
				return fmt.Sprintf("limit %d, %.0f%% of the best throughput\n", sum/steps, 100*got/min(best, float64(demand)/(b.base+0.5)))
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
	})
}
