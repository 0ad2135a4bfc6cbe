package reducer

import (
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// cleanInterval is the time between two scans for records of departures that are no longer
	// of use. It is far above recordedTime, so that a record which has not changed since the
	// last scan is not needed by any process.
	cleanInterval = 600 * jackdawbridge.Second
	// maxRemovals bounds the records that are removed after a scan, and so the calls to the
	// platform. At the target, seven instances are replaced in that time.
	maxRemovals = 64
)

// departureCleaner removes the records of departures that have not changed for a long time,
// most of them of instances that are gone for good. The member of lowest rank does so.
type departureCleaner struct {
	r    *Reducer
	due  jackdawbridge.Millis                // of the next scan
	seen map[jackdawbridge.RecordName]uint64 // versions of the records at the last scan
}

func newDepartureCleaner(r *Reducer) departureCleaner {
	return departureCleaner{r: r, due: r.now + cleanInterval}
}

func (p *departureCleaner) wake() jackdawbridge.Millis { return p.due }

// tick scans the records if that is due.
func (p *departureCleaner) tick() {
	if p.r.now < p.due {
		return
	}
	p.due = p.r.now + cleanInterval
	if p.r.members.hashRank != 0 || p.r.members.starting() || p.r.drain.stopping {
		p.seen = nil
		return
	}
	p.r.fx.Scan(jackdawbridge.DeparturesPrefix)
}

// scanned removes the records that have the same version as at the scan before. Its own is
// left to the process, which may be about to write it.
func (p *departureCleaner) scanned(e *jackdawbridge.StoreScanned) {
	if e.Status() != jackdawbridge.StoreOK {
		return
	}
	before := p.seen
	p.seen = make(map[jackdawbridge.RecordName]uint64)
	removed := 0
	for _, record := range e.Records() {
		name := record.Name()
		if name == p.r.departures.name() || !strings.HasPrefix(string(name), string(jackdawbridge.DeparturesPrefix)) {
			continue
		}
		if before[name] == record.Version() && removed < maxRemovals {
			p.r.fx.Swap(name, record.Version(), nil, 0)
			removed++
			continue
		}
		p.seen[name] = record.Version()
	}
	if removed > 0 {
		p.r.fx.Log(jackdawbridge.PartDrain, "records of departures removed: they have not changed for a long time").Int("count", int64(removed))
	}
}
