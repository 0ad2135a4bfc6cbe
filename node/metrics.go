package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

const metricsPrefix = "jackdawbridge_"

// metrics holds the counters, gauges and histograms of a node.
type metrics struct {
	registry gometrics.Registry
	calls    *histogram // duration of a call at its entry node
	runs     *histogram // time from sending a request to the local backend server to the start of its answer

	raising sync.Mutex // held by setCounter
}

func newMetrics(registry gometrics.Registry) *metrics {
	return &metrics{registry: registry, calls: &histogram{}, runs: &histogram{}}
}

// count increments a counter, which is created if needed.
func (m *metrics) count(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// set sets a gauge, which is created if needed.
func (m *metrics) set(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// setCounter raises a counter, which is created if needed, to a value.
func (m *metrics) setCounter(name string, value int64) {
	m.raising.Lock()
	defer m.raising.Unlock()
	counter := gometrics.GetOrRegisterCounter(name, m.registry)
	counter.Inc(value - counter.Count())
}

// write writes all metrics in the Prometheus text format.
func (m *metrics) write(w io.Writer) {
	all := make(map[string]any)
	m.registry.Each(func(name string, metric any) { all[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fullName := metricsPrefix + strings.Map(replaceInvalidRune, name)
		switch metric := all[name].(type) {
		case gometrics.Counter:
			_, _ = fmt.Fprintf(w, "# TYPE %s_total counter\n%s_total %d\n", fullName, fullName, metric.Count())
		case gometrics.Gauge:
			_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", fullName, fullName, metric.Value())
		}
	}
	m.calls.write(w, metricsPrefix+"call_seconds")
	m.runs.write(w, metricsPrefix+"run_seconds")
}

// replaceInvalidRune replaces a character that is not allowed in a metric name of
// the text format by an underscore.
func replaceInvalidRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
		return r
	}
	return '_'
}
