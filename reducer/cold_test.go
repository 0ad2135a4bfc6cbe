package reducer

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// newSlowStart parses the fields of a cold line in the input of configure.
func newSlowStart(f []string) (*jackdawbridge.SlowStart, error) {
	time, _ := strconv.Atoi(f[2])
	rate, _ := strconv.ParseFloat(f[3], 64)
	return jackdawbridge.NewSlowStart(jackdawbridge.ServiceName(f[1]), jackdawbridge.Millis(time), rate)
}

// evacuate writes a config table in which a data centre is evacuated, or takes that back.
// The table without the evacuation has the revision and the change that it had before, as on
// a platform where operators remove an item without a change of the configuration.
func (h *harness) evacuate(dc jackdawbridge.DataCentre, on bool) {
	entry := jackdawbridge.EvacuationEntry(dc)
	if on {
		h.change(jackdawbridge.ConfigTable, entry)
		return
	}
	old := h.published[jackdawbridge.ConfigTable]
	latest := old.Revision() + 1
	entries := slices.DeleteFunc(slices.Clone(old.Entries()), func(e jackdawbridge.Entry) bool { return e.Name() == entry.Name() })
	table, err := jackdawbridge.NewTable(old.Revision(), h.previous[jackdawbridge.ConfigTable].Change(), entries)
	if err != nil {
		panic(err)
	}
	h.previous[jackdawbridge.ConfigTable] = old
	h.published[jackdawbridge.ConfigTable] = table.At(latest)
	version := h.store.put(jackdawbridge.ConfigTable, table.At(latest), 0)
	h.store.records[jackdawbridge.ConfigTable] = jackdawbridge.NewRecord(jackdawbridge.ConfigTable, version, table).WithLatest(latest)
	if h.onChange != nil {
		h.onChange(jackdawbridge.ConfigTable, latest, []jackdawbridge.Entry{jackdawbridge.Tombstone(entry.Name())})
	}
}

// starts returns the number of requests that were sent to the backend servers of the nodes
// with a name, or of a data centre, and the largest number within a second at one of them.
// If last is above 0, only the last milliseconds count.
func (h *harness) starts(name string, last jackdawbridge.Millis) (string, error) {
	total, busiest := 0, 0
	for _, node := range h.matchingNodes(name) {
		var times []jackdawbridge.Millis
		for _, e := range h.executions {
			if e.node == node && (last == 0 || e.at > h.now-last) {
				times = append(times, e.at)
			}
		}
		first := 0
		for i, at := range times {
			for at-times[first] >= jackdawbridge.Second {
				first++
			}
			busiest = max(busiest, i-first+1)
		}
		total += len(times)
	}
	return fmt.Sprintf("%d, at most %d in a second", total, busiest), nil
}

// TestSlowStartRates guards against a bound that allows more than the rate of the
// configuration, or none at all.
func TestSlowStartRates(t *testing.T) {
	for _, rate := range []float64{0.25, 1, 1.9, 14, 250.5} {
		s, err := jackdawbridge.NewSlowStart("s", 3000, rate)
		if err != nil {
			t.Fatal(err)
		}
		limit, span := s.Bound()
		if perSecond := float64(limit) * 1000 / float64(span); limit < 1 || perSecond > rate || perSecond < rate/2 {
			t.Errorf("rate %g allows %d requests in %d ms", rate, limit, span)
		}
	}
}
