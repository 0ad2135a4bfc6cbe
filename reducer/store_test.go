package reducer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// fakeStore is a fake of the platform's store of records.
type fakeStore struct {
	h              *harness
	records        map[jackdawbridge.RecordName]jackdawbridge.Record
	lastVersion    uint64 // last version assigned
	pendingWatches []fakeWatch
	lastWatch      int // number of the last watch that had to wait
	down           bool
	lostAnswers    int                      // how many of the next writes succeed but are answered with a failure
	extraDelay     jackdawbridge.Millis     // added to the delay of each answer
	failAfter      jackdawbridge.Millis     // how long a call that cannot reach the platform takes to fail, 0 for storeTimeout
	cut            map[string]bool          // nodes that cannot reach the platform
	unreadable     jackdawbridge.RecordName // the record that cannot be read
	damagedAt      jackdawbridge.Millis     // when a record was last damaged or repaired
	tableHistory   []heldRevision           // in order of time
	reads          int                      // including watches
	watches        int
	writes         int
	calls          map[string]int                      // by verb and kind of record
	era            uint64                              // 0 for a store without eras
	keepCopies     bool                                // the store may come back from an older copy
	copies         []storeCopy                         // after each change, in order of time
	leased         map[jackdawbridge.RecordName]uint64 // versions of the records under a lease
}

// count counts a call. A write under a lease is two calls.
func (s *fakeStore) count(verb string, name jackdawbridge.RecordName, calls int) {
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	kind, _, _ := strings.Cut(string(name), "/")
	s.calls[verb+" "+kind] += calls
}

// showCalls lists the calls since the last time, per node where that is a whole number
// or more.
func (s *fakeStore) showCalls() string {
	total := 0
	var lines []string
	for _, kind := range slices.Sorted(maps.Keys(s.calls)) {
		total += s.calls[kind]
		lines = append(lines, fmt.Sprintf("%s: %d", kind, s.calls[kind]))
	}
	clear(s.calls)
	return strings.Join(append(lines, fmt.Sprintf("all: %d", total)), "\n")
}

// heldRevision records from which instant on the platform held a revision of a
// table.
type heldRevision struct {
	at       jackdawbridge.Millis
	name     jackdawbridge.RecordName
	revision uint64
}

// fakeWatch is a watch that has not been answered.
type fakeWatch struct {
	node    *fakeNode
	name    jackdawbridge.RecordName
	version uint64
	number  int // distinguishes watches that are otherwise equal
}

// put writes a record, or deletes it if the value is nil, and answers the watches of
// it. A record with a lease is deleted when the lease ends, unless it is changed
// before.
func (s *fakeStore) put(name jackdawbridge.RecordName, value jackdawbridge.Value, lease jackdawbridge.Millis) uint64 {
	s.lastVersion++
	version := s.version(s.lastVersion)
	if table, ok := value.(*jackdawbridge.Table); ok {
		s.tableHistory = append(s.tableHistory, heldRevision{s.h.now, name, table.Revision()})
	}
	if value == nil {
		delete(s.records, name)
	} else {
		s.records[name] = jackdawbridge.NewRecord(name, version, value)
	}
	s.expire(name, version, lease)
	delete(s.leased, name)
	if lease > 0 {
		if s.leased == nil {
			s.leased = make(map[jackdawbridge.RecordName]uint64)
		}
		s.leased[name] = version
	}
	s.keepCopy(name, lease)
	waiting := s.pendingWatches
	s.pendingWatches = nil
	for _, w := range waiting {
		s.resumeWatch(w.node, w.name, w.version)
	}
	return version
}

func (s *fakeStore) unreachable(n *fakeNode) bool { return s.down || s.cut[n.name] }

// failDelay returns how long a call that cannot reach the platform takes to fail.
func (s *fakeStore) failDelay() jackdawbridge.Millis {
	if s.failAfter > 0 {
		return s.failAfter
	}
	return storeTimeout
}

func (s *fakeStore) answer(n *fakeNode, name jackdawbridge.RecordName, status jackdawbridge.StoreStatus, record jackdawbridge.Record, watch bool, delay jackdawbridge.Millis) {
	era := s.answeringEra(status)
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			loaded := jackdawbridge.WithEra(jackdawbridge.NewStoreLoaded(at, name, status, record), era)
			if watch {
				return loaded.AsWatch()
			}
			return loaded
		})
	})
}

func (s *fakeStore) load(n *fakeNode, name jackdawbridge.RecordName) {
	s.reads++
	s.count("load", name, 1)
	s.read(n, name, false)
}

// loadTables reads both tables in a call each, or checks them in one.
func (s *fakeStore) loadTables(n *fakeNode, e *jackdawbridge.LoadTables) {
	started, status, delay := s.h.now+n.clockSkew, jackdawbridge.StoreOK, storeDelay+s.extraDelay
	check := e.Known(jackdawbridge.ConfigTable) > 0 && e.Known(jackdawbridge.KeysTable) > 0
	if check {
		s.reads++
		s.count("check", "tables", 1)
	}
	var records []jackdawbridge.Record
	for _, name := range []jackdawbridge.RecordName{jackdawbridge.ConfigTable, jackdawbridge.KeysTable} {
		if !check {
			s.reads++
			s.count("load", name, 1)
		}
		record, ok := s.records[name]
		switch {
		case !ok:
			record = jackdawbridge.NewRecord(name, 0, nil)
		case s.unreadable == name:
			record = jackdawbridge.NewRecord(name, record.Version(), nil)
		case e.Known(name) == record.Version():
			record = jackdawbridge.NewUnchangedRecord(name, record.Version())
		}
		records = append(records, record)
	}
	if s.unreachable(n) {
		status, delay, records = jackdawbridge.StoreFailed, s.failDelay(), nil
	}
	era := s.answeringEra(status)
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.WithEra(jackdawbridge.NewTablesLoaded(at, started, status, records), era)
		})
	})
}

func (s *fakeStore) scan(n *fakeNode, prefix jackdawbridge.RecordName) {
	s.reads++
	s.count("scan", prefix, 1)
	status, delay := jackdawbridge.StoreOK, storeDelay+s.extraDelay
	var records []jackdawbridge.Record
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		if !strings.HasPrefix(string(name), string(prefix)) {
			continue
		}
		record := s.records[name]
		if s.unreadable == name {
			record = jackdawbridge.NewRecord(name, record.Version(), nil)
		}
		records = append(records, record)
	}
	if s.unreachable(n) {
		status, delay, records = jackdawbridge.StoreFailed, s.failDelay(), nil
	}
	era := s.answeringEra(status)
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.WithEra(jackdawbridge.NewStoreScanned(at, prefix, status, records), era)
		})
	})
}

func (s *fakeStore) read(n *fakeNode, name jackdawbridge.RecordName, watch bool) {
	if s.unreachable(n) {
		s.answer(n, name, jackdawbridge.StoreFailed, jackdawbridge.Record{}, watch, s.failDelay())
		return
	}
	if s.unreadable == name {
		s.answer(n, name, jackdawbridge.StoreInvalid, jackdawbridge.NewRecord(name, s.records[name].Version(), nil), watch, storeDelay+s.extraDelay)
		return
	}
	record, ok := s.records[name]
	if !ok {
		record = jackdawbridge.NewRecord(name, 0, nil)
	}
	s.answer(n, name, jackdawbridge.StoreOK, record, watch, storeDelay+s.extraDelay)
}

func (s *fakeStore) watch(n *fakeNode, name jackdawbridge.RecordName, version uint64) {
	s.reads++
	s.watches++
	s.count("watch", name, 1)
	s.resumeWatch(n, name, version)
}

// resumeWatch answers a watch if the record has another version or the platform
// cannot be reached, and otherwise keeps it pending.
func (s *fakeStore) resumeWatch(n *fakeNode, name jackdawbridge.RecordName, version uint64) {
	if s.unreachable(n) || s.records[name].Version() != version {
		s.read(n, name, true)
		return
	}
	s.lastWatch++
	w := fakeWatch{n, name, version, s.lastWatch}
	s.pendingWatches = append(s.pendingWatches, w)
	s.h.after(watchTimeout, func() {
		if i := slices.Index(s.pendingWatches, w); i >= 0 {
			s.pendingWatches = slices.Delete(s.pendingWatches, i, i+1)
			s.read(n, name, true)
		}
	})
}

// setDown starts or ends an outage of the platform. Pending watches fail when it
// starts.
func (s *fakeStore) setDown(down bool) {
	for name := range s.h.nodes {
		if s.down || s.cut[name] {
			s.h.nodeFaults[name] = s.h.now
		}
	}
	s.down = down
	s.h.lastFaultChange = s.h.now
	waiting := s.pendingWatches
	s.pendingWatches = nil
	for _, w := range waiting {
		s.resumeWatch(w.node, w.name, w.version)
	}
}

func (s *fakeStore) swap(n *fakeNode, name jackdawbridge.RecordName, version uint64, value jackdawbridge.Value, lease jackdawbridge.Millis) {
	s.writes++
	s.count("swap", name, 1+min(int(lease), 1))
	status, current := jackdawbridge.StoreFailed, uint64(0)
	delay := s.failDelay()
	switch {
	case s.unreachable(n):
	case s.records[name].Version() != version:
		status, delay = jackdawbridge.StoreConflict, storeDelay+s.extraDelay
	default:
		if s.unreadable == name {
			s.unreadable = ""
		}
		current = s.put(name, value, lease)
		status, delay = jackdawbridge.StoreOK, storeDelay+s.extraDelay
	}
	if s.lostAnswers > 0 && status == jackdawbridge.StoreOK {
		s.lostAnswers--
		status, delay = jackdawbridge.StoreFailed, storeTimeout
	}
	era := s.answeringEra(status)
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.WithEra(jackdawbridge.NewStoreSwapped(at, name, status, current), era)
		})
	})
}

// lapse ends all leases, as in an outage in which they run out.
func (s *fakeStore) lapse() {
	for _, name := range slices.Sorted(maps.Keys(s.leased)) {
		if s.records[name].Version() == s.leased[name] {
			s.put(name, nil, 0)
		}
	}
}

// cutOff cuts nodes off from the platform, or restores their connection.
func (s *fakeStore) cutOff(names []string, on bool) {
	if s.cut == nil {
		s.cut = make(map[string]bool)
	}
	for _, name := range names {
		if s.cut[name] {
			s.h.nodeFaults[name] = s.h.now
		}
		s.cut[name] = on
	}
	s.setDown(s.down)
}

// damaged reports whether a record does not hold the newest table or cannot be
// read.
func (s *fakeStore) damaged() bool {
	for name, table := range s.h.published {
		if s.unreadable == name || s.records[name].Value() != jackdawbridge.Value(table) {
			return true
		}
	}
	return false
}

// lastHeld returns the last instant at which the platform held no revision of a
// table that is newer than the given one.
func (s *fakeStore) lastHeld(name jackdawbridge.RecordName, revision uint64) jackdawbridge.Millis {
	end := s.h.now
	for i := len(s.tableHistory) - 1; i >= 0; i-- {
		if h := s.tableHistory[i]; h.name != name {
			continue
		} else if h.revision <= revision {
			return end
		} else {
			end = h.at
		}
	}
	return end
}
