package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// departureTime is for how long a departure is remembered. It is far above the time by
	// which an announcement may be late.
	departureTime = 120 * jackdawbridge.Second
	// recordedTime is how old a departure in the record of an earlier process may be. The
	// time of day may have stepped since, but by less than the difference to departureTime.
	recordedTime = 2 * departureTime
	// departureReadWait is how long a new process waits for the record before it
	// believes an announcement that another one confirms.
	departureReadWait = jackdawbridge.Second
	// confirmAfter is how much later than the first announcement another one must arrive to
	// confirm it. A backend server that has left sends none, and of those that are late, few
	// are.
	confirmAfter = jackdawbridge.Second
	// departureCallLimit is how long a call to the platform may take until the next one is
	// made. A connection on which an answer was lost stays silent.
	departureCallLimit = jackdawbridge.Second
	// The time between two calls to the platform that does not answer doubles from
	// departureRetryMin to departureRetryMax.
	departureRetryMin = jackdawbridge.Second / 4
	departureRetryMax = jackdawbridge.Second
	// maxReceipts bounds the announcements that wait for an acknowledgement. A backend
	// server repeats an announcement about once a second, and gives up the one before.
	maxReceipts = 64
)

// departures is the part that remembers the departures of local backend servers over a
// restart of the node, so that a late announcement does not undo them:
//
//   - A departure is acknowledged only once the platform has a record of it, whether the
//     node knows the backend server or not. The record has no lease.
//   - A new process of the node believes that a backend server serves once it has read
//     that record and found no departure of the backend server's process in it. While the
//     platform does not answer, it believes a second announcement, and corrects that as soon
//     as the record is read. The same holds while the store may have lost a part of the record,
//     because it came back from an older copy.
//   - Draining may be taken back by a later announcement of the same process. A process that
//     has left does not serve again, whatever the number of an announcement.
type departures struct {
	r *Reducer

	read    bool                            // the record of earlier processes was read and is complete, or cannot exist
	partial bool                            // the record was read, but the store may have lost a part of it; read is false
	readBy  jackdawbridge.Millis            // when an announcement may be believed without it
	held    *jackdawbridge.BackendAnnounced // announcement that waits for the record
	heldAt  jackdawbridge.Millis            // when the first announcement of its process was held
	serving *jackdawbridge.BackendAnnounced // last announcement in force, nil if it was a departure

	list     []departure // at most MaxDepartures, the latest at the end
	change   uint64      // number of the last change of list
	stored   uint64      // number of the last change that the platform has
	receipts []uint64    // of announcements that wait until stored is change, at most maxReceipts

	version    uint64               // of the record at the platform
	calling    bool                 // a call to the platform is pending and has not taken too long
	callDue    jackdawbridge.Millis // when the pending call has taken too long, or the next one is due
	retryDelay jackdawbridge.Millis // until the next call after one that fails
	swaps      int                  // writes that the runtime has not answered
	swapChange uint64               // number of the change that the last write contains
	doubtful   bool                 // the record must be read before the next write
}

// departure is a departure that is remembered.
type departure struct {
	jackdawbridge.DepartedProcess
	until     jackdawbridge.Millis // when it is forgotten
	earlier   bool                 // an earlier process of the node has recorded it
	takenBack bool                 // a later announcement of the process says that it serves
}

func newDepartures(r *Reducer, firstStart bool) departures {
	return departures{r: r, read: firstStart, readBy: r.now + departureReadWait, retryDelay: departureRetryMin}
}

func (p *departures) name() jackdawbridge.RecordName {
	return jackdawbridge.DepartureRecord(p.r.self.Node().Instance())
}

func isDeparture(name jackdawbridge.RecordName) bool {
	return strings.HasPrefix(string(name), string(jackdawbridge.DeparturesPrefix))
}

// announced applies an announcement of the local backend server. One that says that
// the backend server serves waits until it can be believed.
func (p *departures) announced(e *jackdawbridge.BackendAnnounced) {
	if !p.read && !e.Draining() && p.serving == nil && !p.confirms(e) {
		p.hold(e)
		p.r.fx.Acknowledge(e.Receipt())
		return
	}
	p.held = nil
	p.apply(e)
}

// hold keeps the newest announcement until it can be believed.
func (p *departures) hold(e *jackdawbridge.BackendAnnounced) {
	if p.held == nil || !p.held.Process().SameProcess(e.Process()) {
		p.heldAt = p.r.now
	}
	p.held = e
}

// confirms reports whether an announcement may be believed without the record, because it
// is a later one of the process whose announcement is held.
func (p *departures) confirms(e *jackdawbridge.BackendAnnounced) bool {
	if p.held == nil || p.r.now < p.readBy || p.r.now-p.heldAt < confirmAfter {
		return false
	}
	first, second := p.held.Process(), e.Process()
	if !first.SameProcess(second) || second.Sequence() != 0 && second.Sequence() <= first.Sequence() {
		return false
	}
	p.r.fx.Warn(jackdawbridge.PartDrain, "backend server believed without the record of departures: the platform does not answer, and a second announcement has arrived").
		Str("backend", second.Backend()).Int("born", int64(second.Generation())).Int("sequence", int64(second.Sequence()))
	return true
}

// apply passes an announcement on. One that a recorded departure covers counts as that of
// a draining backend server.
func (p *departures) apply(e *jackdawbridge.BackendAnnounced) {
	if !e.Draining() && p.covers(e.Process()) {
		p.ignore(e)
		p.r.fx.Acknowledge(e.Receipt())
		return
	}
	p.r.runs.announced(e, e.Draining())
	if !e.Draining() {
		p.serving = e
		if d := p.find(e.Process()); d != nil {
			d.takenBack = true
		}
		p.r.fx.Acknowledge(e.Receipt())
		return
	}
	p.serving = nil
	p.depart(e.Process(), e.Left())
	p.await(e.Receipt())
}

// departed records the departure of a process that is not the current one of the local
// backend server.
func (p *departures) departed(e *jackdawbridge.BackendDeparted) {
	p.depart(e.Process(), true)
	if p.held != nil && p.covers(p.held.Process()) {
		p.held = nil
	}
	p.await(e.Receipt())
}

// ignore applies an announcement that a recorded departure covers.
func (p *departures) ignore(e *jackdawbridge.BackendAnnounced) {
	p.r.fx.Warn(jackdawbridge.PartDrain, "late announcement: the departure of the backend server is on record").
		Str("backend", e.Process().Backend()).Int("born", int64(e.Process().Generation())).Int("sequence", int64(e.Process().Sequence()))
	p.serving = nil
	p.r.runs.announced(e, true)
}

// covers reports whether a departure is remembered that an announcement does not take
// back. Announcements without numbers are in order within this process of the node, so
// that only the departures of earlier ones cover them.
func (p *departures) covers(process jackdawbridge.BackendProcess) bool {
	return slices.ContainsFunc(p.list, func(d departure) bool {
		return (d.earlier || process.Sequence() != 0) && p.r.now < d.until && d.Covers(process)
	})
}

// find returns the departure of a process, nil if there is none.
func (p *departures) find(process jackdawbridge.BackendProcess) *departure {
	for i := range p.list {
		if p.list[i].Process().SameProcess(process) {
			return &p.list[i]
		}
	}
	return nil
}

// depart remembers a departure, and that it must be stored unless it is known already. That
// of a later process of the same backend server includes it.
func (p *departures) depart(process jackdawbridge.BackendProcess, left bool) {
	if slices.ContainsFunc(p.list, func(d departure) bool {
		return d.Process().Backend() == process.Backend() && d.Process().Generation() > process.Generation() && p.r.now < d.until
	}) {
		return
	}
	known := p.find(process)
	if known != nil && !known.takenBack && (!left || known.Left()) {
		known.until = p.r.now + departureTime
		return
	}
	p.add(departure{
		DepartedProcess: jackdawbridge.NewDepartedProcess(process, left).WithTime(p.r.now),
		until:           p.r.now + departureTime, earlier: known != nil && known.earlier,
	})
	p.change++
	p.callDue = p.r.now
	p.retryDelay = departureRetryMin
}

// add adds a departure in place of an earlier one of the same backend server.
func (p *departures) add(d departure) {
	p.list = slices.DeleteFunc(p.list, func(other departure) bool {
		return other.Process().Backend() == d.Process().Backend() || p.r.now >= other.until
	})
	if len(p.list) >= jackdawbridge.MaxDepartures {
		p.list = slices.Delete(p.list, 0, 1)
	}
	p.list = append(p.list, d)
}

// await acknowledges an announcement once all departures are stored.
func (p *departures) await(receipt uint64) {
	if p.stored == p.change {
		p.r.fx.Acknowledge(receipt)
		return
	}
	if len(p.receipts) >= maxReceipts {
		p.receipts = slices.Delete(p.receipts, 0, 1)
	}
	p.receipts = append(p.receipts, receipt)
}

// acknowledge answers the announcements that wait, if all departures are stored.
func (p *departures) acknowledge() {
	if p.stored != p.change {
		return
	}
	for _, receipt := range p.receipts {
		p.r.fx.Acknowledge(receipt)
	}
	p.receipts = p.receipts[:0]
}

// value returns the record of the departures.
func (p *departures) value() *jackdawbridge.Departures {
	list := make([]jackdawbridge.DepartedProcess, 0, len(p.list))
	for _, d := range p.list {
		list = append(list, d.DepartedProcess)
	}
	return jackdawbridge.NewDepartures(list)
}

// recordLoaded handles the answer to a read of the record.
func (p *departures) recordLoaded(e *jackdawbridge.StoreLoaded) {
	if e.Name() != p.name() {
		return
	}
	if e.Status() != jackdawbridge.StoreOK && e.Status() != jackdawbridge.StoreInvalid {
		p.callFailed()
		return
	}
	p.calling, p.doubtful = false, false
	p.callDue, p.retryDelay = p.r.now, departureRetryMin
	p.version = e.Record().Version()
	recorded, _ := e.Record().Value().(*jackdawbridge.Departures)
	p.merge(recorded)
	if p.change != p.stored && recorded.Equal(p.value()) {
		p.stored = p.change
	}
	p.acknowledge()
	if !p.read {
		p.partial = true
		p.complete()
	}
}

// complete decides whether the record that an earlier process has left can be relied on. If
// the store may have lost a part of it, announcements are believed as while the store does
// not answer.
func (p *departures) complete() {
	if !p.partial || p.r.eras.lost() {
		return
	}
	p.read, p.partial = true, false
	p.recheck()
}

// eraBegan handles a return of the store from an older copy. The record is read again, and
// written again if it lacks a departure that this process remembers.
func (p *departures) eraBegan() {
	p.partial, p.doubtful = false, true
	remembers := slices.ContainsFunc(p.list, func(d departure) bool { return p.r.now < d.until })
	if remembers {
		p.change++
	}
	if remembers || !p.read {
		p.callDue = p.r.now + jackdawbridge.Millis(p.r.members.draw(int(eraSpread)))
		p.calling = false
	}
}

// merge adds the departures that an earlier process has recorded to those that this
// process has learned of.
func (p *departures) merge(recorded *jackdawbridge.Departures) {
	for _, d := range recorded.List() {
		if d.Time() > 0 && p.r.now-d.Time() >= recordedTime {
			continue // no announcement is as late as that
		}
		if p.read || slices.ContainsFunc(p.list, func(own departure) bool { return own.Process().Backend() == d.Process().Backend() }) {
			continue // this process knows the backend server better
		}
		p.list = slices.Insert(p.list, 0, departure{DepartedProcess: d, until: p.r.now + departureTime, earlier: true})
	}
	if over := len(p.list) - jackdawbridge.MaxDepartures; over > 0 {
		p.list = slices.Delete(p.list, 0, over)
	}
}

// recheck decides on the announcement that has waited for the record, and once more on the
// one that was believed without it.
func (p *departures) recheck() {
	if e := p.serving; e != nil && p.covers(e.Process()) {
		p.ignore(e)
	}
	if e := p.held; e != nil {
		p.held = nil
		p.apply(e.WithReceipt(0)) // it was acknowledged when it arrived
	}
}

// recordSwapped handles the answer to a write of the record. After a failure the record
// is read again, since the write may have taken effect. It is also read if the answer may
// be that to an earlier write.
func (p *departures) recordSwapped(e *jackdawbridge.StoreSwapped) {
	if e.Name() != p.name() {
		return
	}
	p.swaps--
	if e.Status() != jackdawbridge.StoreOK || p.swaps > 0 || p.doubtful {
		p.doubtful = true
		p.callFailed()
		if e.Status() != jackdawbridge.StoreFailed {
			p.callDue = p.r.now
		}
		return
	}
	p.calling = false
	p.version = e.Version()
	p.stored = p.swapChange
	p.acknowledge()
}

// callFailed schedules the next call to the platform after one that has failed.
func (p *departures) callFailed() {
	p.calling = false
	p.callDue = p.r.now + p.retryDelay
	p.retryDelay = min(2*p.retryDelay, departureRetryMax)
}

// wanted reports whether a call to the platform is needed.
func (p *departures) wanted() bool { return !p.read && !p.partial || p.stored != p.change }

func (p *departures) wake() jackdawbridge.Millis {
	wake := never
	if p.partial {
		wake = p.r.eras.lostUntil()
	}
	if !p.calling && !p.wanted() {
		return wake
	}
	return min(wake, p.callDue)
}

// tick makes the call to the platform that is due.
func (p *departures) tick() {
	p.complete()
	if p.r.now < p.callDue {
		return
	}
	if p.calling {
		p.doubtful = true
		p.calling = false
	}
	if !p.wanted() {
		return
	}
	if p.change != p.stored && len(p.receipts) > 0 && p.retryDelay > departureRetryMin {
		p.r.fx.Warn(jackdawbridge.PartDrain, "departure not acknowledged yet: the platform has not confirmed the record").Int("waiting", int64(len(p.receipts)))
	}
	p.calling = true
	p.callDue = p.r.now + departureCallLimit
	if !p.read && !p.partial || p.doubtful {
		p.r.fx.Load(p.name())
		return
	}
	p.swaps++
	p.swapChange = p.change
	// Without a lease: leases may run out in an outage of the platform, and the acknowledgement
	// binds also then. Records that are no longer of use are removed by departureCleaner.
	p.r.fx.Swap(p.name(), p.version, p.value(), 0)
}
