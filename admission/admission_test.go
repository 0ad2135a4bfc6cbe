package admission

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"pgregory.net/rapid"
)

// TestScripts guards against second tries that are spent on trees that fail all the same,
// against a gate that swings or stays shut, and against a forecast that outlives its news.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, s.run)
	})
}

// script is the state of one data file.
type script struct {
	at       jackdawbridge.Millis
	tries    *Tries
	gate     Gate
	forecast *Forecast
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "tries":
		s.tries = NewTries(intArg(t, d, "permille"), intArg(t, d, "burst"))
	case "reject":
		return s.reject(t, d)
	case "gate":
		return s.work(t, d)
	case "forecast":
		s.forecast = NewForecast()
	case "learn":
		usage, count := s.usage(t, d), 1
		d.MaybeScanArgs(t, "count", &count)
		for range count {
			s.forecast.Learn(NewRouteKey("entry", "/"), &usage)
		}
	case "hear":
		usage := s.usage(t, d)
		s.forecast.Observe(s.at, &usage)
	case "wait":
		s.at += jackdawbridge.Millis(intArg(t, d, "ms"))
	case "threshold":
		threshold, service := s.forecast.Threshold(s.at, NewRouteKey("entry", "/"))
		return fmt.Sprintf("%d %s\n", threshold, service)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

func intArg(t *testing.T, d *datadriven.TestData, name string) int {
	n := 0
	d.MaybeScanArgs(t, name, &n)
	return n
}

// reject plays windows in which calls arrive, of which one part repeats others. The input has
// a line for each precedence of the rejected calls: the rank, the calls left and how many.
func (s *script) reject(t *testing.T, d *datadriven.TestData) string {
	lines := strings.Split(strings.TrimSpace(d.Input), "\n")
	granted, requested := make([]int, len(lines)), make([]int, len(lines))
	for range intArg(t, d, "windows") {
		for range intArg(t, d, "firsts") {
			s.tries.Arrive(s.at, false)
		}
		for range intArg(t, d, "repeats") {
			s.tries.Arrive(s.at, true)
		}
		for i, line := range lines {
			var rank, left, count int
			if _, err := fmt.Sscan(line, &rank, &left, &count); err != nil {
				d.Fatalf(t, "%v", err)
			}
			for n := range count {
				requested[i]++
				if s.tries.Reject(s.at, NewPrecedence(jackdawbridge.Level(rank), left, uint8(n))) {
					granted[i]++
				}
			}
		}
		s.at += window
	}
	var b strings.Builder
	for i, line := range lines {
		fmt.Fprintf(&b, "%s: granted %d of %d\n", line, granted[i], requested[i])
	}
	fmt.Fprintf(&b, "rejected %d permille\n", s.tries.Rejected(s.at))
	return b.String()
}

// work plays windows in which calls of ranks 2 and 3 arrive at a gate with 10 slots.
func (s *script) work(t *testing.T, d *datadriven.TestData) string {
	lowest, highest := int(jackdawbridge.MaxPrecedence), 0
	for range intArg(t, d, "windows") {
		threshold := s.gate.Threshold(s.at, 10, intArg(t, d, "full") > 0)
		lowest, highest = min(lowest, int(threshold)), max(highest, int(threshold))
		for _, rank := range []int{2, 3} {
			for n := range intArg(t, d, "rank"+strconv.Itoa(rank)) {
				p := NewPrecedence(jackdawbridge.Level(rank), 0, uint8(n*7))
				if EntryPrecedence(p) < threshold {
					continue
				}
				s.gate.Arrive(p)
				s.gate.Done(50)
			}
		}
		s.at += window
	}
	return fmt.Sprintf("threshold %d to %d, load %d\n", lowest, highest, s.gate.Load())
}

func (s *script) usage(t *testing.T, d *datadriven.TestData) jackdawbridge.Usage {
	var usage jackdawbridge.Usage
	var service string
	d.ScanArgs(t, "service", &service)
	usage.Add(jackdawbridge.NewServiceUsage(jackdawbridge.ServiceName(service), intArg(t, d, "calls"), 50).
		WithThresholds(jackdawbridge.Precedence(intArg(t, d, "threshold")), 0))
	return usage
}

// TestTriesBound guards against second tries beyond the configured part: in any order of
// events, those that a node has granted since its start stay below that part of the first
// arrivals, apart from the burst.
func TestTriesBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const permille, burst = 200, 4
		tries := NewTries(permille, burst)
		granted, firsts := 0, 0
		for at := jackdawbridge.Millis(0); at < 10*jackdawbridge.Second; at += window {
			n := rapid.IntRange(0, 40).Draw(t, "firsts")
			for range n {
				tries.Arrive(at, false)
			}
			firsts += n
			for i := range rapid.IntRange(0, 60).Draw(t, "rejected") {
				if tries.Reject(at, NewPrecedence(jackdawbridge.CriticalRank, i, uint8(i))) {
					granted++
				}
			}
		}
		if bound := firsts*permille/1000 + burst + 1; granted > bound {
			t.Fatalf("%d second tries of %d first arrivals: want at most %d", granted, firsts, bound)
		}
	})
}

// TestAllocations guards against garbage on the path of a call.
func TestAllocations(t *testing.T) {
	tries, forecast := NewTries(200, 10), NewForecast()
	var gate Gate
	var usage jackdawbridge.Usage
	usage.Add(jackdawbridge.NewServiceUsage("leaf", 4, 200).WithThresholds(600, 0))
	key, at := NewRouteKey("entry", "/"), jackdawbridge.Millis(0)
	decide := func() {
		at += 3
		p := NewPrecedence(3, 2, uint8(at))
		tries.Arrive(at, false)
		tries.Reject(at, p)
		gate.Arrive(p)
		gate.Done(40)
		gate.Threshold(at, 40, true)
		forecast.Observe(at, &usage)
		forecast.Learn(key, &usage)
		forecast.Threshold(at, key)
	}
	decide()
	if n := testing.AllocsPerRun(1000, decide); n != 0 {
		t.Errorf("a call allocates %.0f times: want 0", n)
	}
}

// BenchmarkDecisions measures all decisions about one call.
func BenchmarkDecisions(b *testing.B) {
	tries, forecast := NewTries(200, 10), NewForecast()
	var gate Gate
	var usage jackdawbridge.Usage
	usage.Add(jackdawbridge.NewServiceUsage("leaf", 4, 200).WithThresholds(600, 0))
	key := NewRouteKey("entry", "/")
	for i := range b.N {
		at := jackdawbridge.Millis(i / 2)
		p := NewPrecedence(3, 2, uint8(i))
		tries.Arrive(at, false)
		tries.Reject(at, p)
		gate.Arrive(p)
		gate.Done(40)
		gate.Threshold(at, 40, true)
		forecast.Observe(at, &usage)
		forecast.Learn(key, &usage)
		forecast.Threshold(at, key)
	}
}

// TestTriesBoundOfSpan guards against second tries beyond the configured part in any span of
// 10 s when the first arrivals become fewer: they may be compared with the arrivals of that
// span, of the one before it, or of the one that began 5 s before it.
func TestTriesBoundOfSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const permille, burst, length = 200, 4, 400
		tries := NewTries(permille, burst)
		phase := rapid.IntRange(20, 200).Draw(t, "phase")
		rates := rapid.SliceOfN(rapid.IntRange(0, 100), length/20, length/20).Draw(t, "rates")
		var firsts, granted [length + 1]int // sums up to each window
		for i := range length {
			n, at := rates[i/phase], jackdawbridge.Millis(i)*window
			for range n {
				tries.Arrive(at, false)
			}
			firsts[i+1], granted[i+1] = firsts[i]+n, granted[i]
			for range 40 {
				if tries.Reject(at, NewPrecedence(jackdawbridge.CriticalRank, 0, 0)) {
					granted[i+1]++
				}
			}
			sum := func(counts *[length + 1]int, from, to int) int {
				return counts[max(to, 0)] - counts[max(from, 0)]
			}
			end := i + 1
			offered := max(sum(&firsts, end-earnSpan, end), sum(&firsts, end-earnSpan-earnLag, end-earnLag), sum(&firsts, end-2*earnSpan, end-earnSpan))
			most := offered*permille/1000 + burst
			if got := sum(&granted, end-earnSpan, end); got > most {
				t.Fatalf("%d second tries in the 10 s to window %d with %d first arrivals: want at most %d", got, i, offered, most)
			}
		}
	})
}
