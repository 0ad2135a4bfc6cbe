package reducer

import (
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// departureLease is how long the record of a departure is kept, and for how long a
	// new process refuses announcements from before it. It is far above the time by
	// which an announcement may be late.
	departureLease = 120 * jackdawbridge.Second
	// departureLoadLimit is how long the first announcement waits for the record of an
	// earlier process while the platform does not answer.
	departureLoadLimit = jackdawbridge.Second
	// departureStoreLimit is how long the acknowledgement of a departure waits for the
	// record while the platform does not answer. A backend server takes its
	// announcement for lost after a second.
	departureStoreLimit = jackdawbridge.Second / 2
	// departureRetry is the time between two calls to the platform for the record.
	departureRetry = jackdawbridge.Second / 4
	// maxReceipts bounds the announcements that wait for an acknowledgement. A backend
	// server repeats an announcement about once a second.
	maxReceipts = 64
)

// departures is the part that remembers the departure of the local backend server over
// a restart of the node. It stores the departure at the platform before it is
// acknowledged. A new process reads the record before it believes that the backend
// server serves, since its first announcement may be a late one.
type departures struct {
	r *Reducer

	loaded    bool                            // the read has ended or is not needed
	loadedAt  jackdawbridge.Millis            // when the read ended
	loadUntil jackdawbridge.Millis            // when the read is given up
	record    *jackdawbridge.Departure        // as read, nil if there is none
	version   uint64                          // of the record at the platform
	held      *jackdawbridge.BackendAnnounced // announcement that waits for the end of the read

	current    *jackdawbridge.Departure // departure in force, nil if the backend server serves
	stored     bool                     // the platform has the record of current
	receipts   []uint64                 // of announcements that wait until current is stored, at most maxReceipts
	storeUntil jackdawbridge.Millis     // when they are acknowledged without it
	calling    bool                     // a call to the platform is pending
	retryAt    jackdawbridge.Millis     // time of the next call, if one is needed
}

func newDepartures(r *Reducer, firstStart bool) departures {
	return departures{r: r, loaded: firstStart, loadUntil: r.now + departureLoadLimit}
}

func (p *departures) name() jackdawbridge.RecordName {
	return jackdawbridge.DepartureRecord(p.r.self.Node().Instance())
}

func isDeparture(name jackdawbridge.RecordName) bool {
	return strings.HasPrefix(string(name), string(jackdawbridge.DeparturesPrefix))
}

// announced applies an announcement of the local backend server. One that says that
// the backend server serves waits until the record of an earlier process is read.
func (p *departures) announced(e *jackdawbridge.BackendAnnounced) {
	if !p.loaded && !e.Draining() {
		if p.held != nil {
			p.r.fx.Acknowledge(p.held.Receipt())
		}
		p.held = e
		return
	}
	if p.held != nil {
		p.r.fx.Acknowledge(p.held.Receipt())
		p.held = nil
	}
	p.apply(e)
}

// apply passes an announcement on. One from before the recorded departure counts as
// that of a draining backend server.
func (p *departures) apply(e *jackdawbridge.BackendAnnounced) {
	draining := e.Draining()
	if !draining && p.record != nil && p.r.now-p.loadedAt < departureLease && e.Process().NotAfter(p.record.Process()) {
		p.r.fx.Warn(jackdawbridge.PartDrain, "late announcement: an earlier process of the node has recorded the departure of the backend server").
			Str("backend", e.Process().Backend()).Int("born", int64(e.Process().Generation())).Int("sequence", int64(e.Process().Sequence()))
		draining = true
	}
	p.r.runs.announced(e, draining)
	if !draining {
		p.current, p.stored = nil, false
		p.acknowledge()
		p.r.fx.Acknowledge(e.Receipt())
		return
	}
	if p.current == nil {
		p.current = jackdawbridge.NewDepartureValue(e.Process())
		p.stored = p.record != nil && e.Process().NotAfter(p.record.Process())
		p.storeUntil = p.r.now + departureStoreLimit
		p.retryAt = p.r.now
	}
	if p.stored || p.r.now >= p.storeUntil || len(p.receipts) >= maxReceipts {
		p.r.fx.Acknowledge(e.Receipt())
		return
	}
	p.receipts = append(p.receipts, e.Receipt())
}

// acknowledge answers the announcements that wait until the departure is stored.
func (p *departures) acknowledge() {
	for _, receipt := range p.receipts {
		p.r.fx.Acknowledge(receipt)
	}
	p.receipts = p.receipts[:0]
}

// recordLoaded handles the answer to a read of the record.
func (p *departures) recordLoaded(e *jackdawbridge.StoreLoaded) {
	if e.Name() != p.name() {
		return
	}
	p.calling = false
	switch e.Status() {
	case jackdawbridge.StoreOK, jackdawbridge.StoreInvalid:
	default:
		p.retryAt = p.r.now + departureRetry
		return
	}
	p.version = e.Record().Version()
	p.record, _ = e.Record().Value().(*jackdawbridge.Departure)
	p.loadedAt = p.r.now
	p.stored = p.current != nil && p.record != nil && *p.record == *p.current
	p.retryAt = p.r.now
	p.endLoad()
}

// endLoad applies the announcement that waited for the read.
func (p *departures) endLoad() {
	p.loaded = true
	if e := p.held; e != nil {
		p.held = nil
		p.apply(e)
	}
}

// recordSwapped handles the answer to a write of the record. After a failure the record
// is read again, since the write may have taken effect.
func (p *departures) recordSwapped(e *jackdawbridge.StoreSwapped) {
	if e.Name() != p.name() {
		return
	}
	if e.Status() != jackdawbridge.StoreOK {
		p.r.fx.Load(p.name())
		return
	}
	p.calling = false
	p.version = e.Version()
	p.stored = p.current != nil
}

// wanted reports whether a call to the platform is needed.
func (p *departures) wanted() bool { return !p.loaded || p.current != nil && !p.stored }

func (p *departures) wake() jackdawbridge.Millis {
	next := never
	if !p.calling && p.wanted() {
		next = p.retryAt
	}
	if !p.loaded {
		next = min(next, p.loadUntil)
	}
	if len(p.receipts) > 0 {
		next = min(next, p.storeUntil)
	}
	return next
}

// tick makes the calls to the platform that are due. Announcements that have waited for
// them until their limit are answered.
func (p *departures) tick() {
	if !p.loaded && p.r.now >= p.loadUntil {
		p.r.fx.Warn(jackdawbridge.PartDrain, "departure record not read in time: an announcement from before a departure would be believed")
		p.loadedAt = p.r.now
		p.endLoad()
	}
	if len(p.receipts) > 0 && (p.stored || p.r.now >= p.storeUntil) {
		if !p.stored {
			p.r.fx.Warn(jackdawbridge.PartDrain, "departure acknowledged without a record: the platform did not answer in time")
		}
		p.acknowledge()
	}
	if p.calling || !p.wanted() || p.r.now < p.retryAt {
		return
	}
	p.calling = true
	p.retryAt = p.r.now + departureRetry
	if !p.loaded {
		p.r.fx.Load(p.name())
		return
	}
	p.r.fx.Swap(p.name(), p.version, p.current, departureLease)
}
