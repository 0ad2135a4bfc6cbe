package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	metricsPrefix = "jackdawbridge_"
	// sampleSize is the number of observations that a histogram keeps.
	sampleSize = 1028
)

// metrics counts what happens at a node.
type metrics struct{ registry gometrics.Registry }

func newMetrics(registry gometrics.Registry) *metrics { return &metrics{registry: registry} }

// count adds one to a counter.
func (m *metrics) count(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// set sets a gauge.
func (m *metrics) set(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// observe adds a time to a histogram.
func (m *metrics) observe(name string, span time.Duration) {
	h := m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	})
	h.(gometrics.Histogram).Update(span.Milliseconds())
}

// write writes all metrics in the Prometheus text format.
func (m *metrics) write(w io.Writer) {
	all := make(map[string]any)
	m.registry.Each(func(name string, metric any) { all[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		full := metricsPrefix + strings.Map(metricRune, name)
		switch metric := all[name].(type) {
		case gometrics.Counter:
			_, _ = fmt.Fprintf(w, "# TYPE %s_total counter\n%s_total %d\n", full, full, metric.Count())
		case gometrics.Gauge:
			_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", full, full, metric.Value())
		case gometrics.Histogram:
			writeSummary(w, full, metric.Snapshot())
		}
	}
}

func writeSummary(w io.Writer, name string, h gometrics.Histogram) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	quantiles := []float64{0.5, 0.9, 0.99}
	for i, value := range h.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}

// metricRune replaces what the text format does not allow in a name.
func metricRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
		return r
	}
	return '_'
}
