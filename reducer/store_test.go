package reducer

import "github.com/jackdawbridge/jackdawbridge"

// fakeStore stands in for the platform's service.
type fakeStore struct {
	h          *harness
	records    map[jackdawbridge.RecordName]jackdawbridge.Record
	next       uint64 // last version given out
	waiting    []fakeWatch
	down       bool
	lose       int                      // answers to lose after the change has taken effect
	slow       jackdawbridge.Millis     // added to each answer
	cut        map[string]bool          // nodes that cannot reach the platform
	unreadable jackdawbridge.RecordName // the record that cannot be read
	held       []holding                // in order
	reads      int
	watches    int // of the reads
	writes     int
}

// holding tells which revision of a table the platform held from an instant on.
type holding struct {
	at       jackdawbridge.Millis
	name     jackdawbridge.RecordName
	revision uint64
}

type fakeWatch struct {
	node    *fakeNode
	name    jackdawbridge.RecordName
	version uint64
}

// put changes a record and wakes the watches.
func (s *fakeStore) put(name jackdawbridge.RecordName, value jackdawbridge.Value, lease jackdawbridge.Millis) uint64 {
	s.next++
	version := s.next
	if table, ok := value.(*jackdawbridge.Table); ok {
		s.held = append(s.held, holding{s.h.now, name, table.Revision()})
	}
	if value == nil {
		delete(s.records, name)
	} else {
		s.records[name] = jackdawbridge.NewRecord(name, version, value)
	}
	if lease > 0 {
		s.h.after(lease, func() {
			if s.records[name].Version() == version {
				s.put(name, nil, 0)
			}
		})
	}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		s.rewatch(w.node, w.name, w.version)
	}
	return version
}

func (s *fakeStore) unreachable(n *fakeNode) bool { return s.down || s.cut[n.name] }

func (s *fakeStore) answer(n *fakeNode, name jackdawbridge.RecordName, status jackdawbridge.StoreStatus, record jackdawbridge.Record, watch bool, delay jackdawbridge.Millis) {
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			loaded := jackdawbridge.NewStoreLoaded(at, name, status, record)
			if watch {
				return loaded.AsWatch()
			}
			return loaded
		})
	})
}

func (s *fakeStore) load(n *fakeNode, name jackdawbridge.RecordName) {
	s.reads++
	s.read(n, name, false)
}

func (s *fakeStore) read(n *fakeNode, name jackdawbridge.RecordName, watch bool) {
	if s.unreachable(n) {
		s.answer(n, name, jackdawbridge.StoreFailed, jackdawbridge.Record{}, watch, storeTimeout)
		return
	}
	if s.unreadable == name {
		s.answer(n, name, jackdawbridge.StoreInvalid, jackdawbridge.Record{}, watch, storeDelay+s.slow)
		return
	}
	record, ok := s.records[name]
	if !ok {
		record = jackdawbridge.NewRecord(name, 0, nil)
	}
	s.answer(n, name, jackdawbridge.StoreOK, record, watch, storeDelay+s.slow)
}

func (s *fakeStore) watch(n *fakeNode, name jackdawbridge.RecordName, version uint64) {
	s.reads++
	s.watches++
	s.rewatch(n, name, version)
}

// rewatch answers a watch, or lets it wait.
func (s *fakeStore) rewatch(n *fakeNode, name jackdawbridge.RecordName, version uint64) {
	if s.unreachable(n) || s.records[name].Version() != version {
		s.read(n, name, true)
		return
	}
	s.waiting = append(s.waiting, fakeWatch{n, name, version})
}

// setDown takes the platform out or brings it back. Waiting watches fail.
func (s *fakeStore) setDown(down bool) {
	s.down = down
	s.h.disturbed = s.h.now
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		s.rewatch(w.node, w.name, w.version)
	}
}

func (s *fakeStore) swap(n *fakeNode, name jackdawbridge.RecordName, version uint64, value jackdawbridge.Value, lease jackdawbridge.Millis) {
	s.writes++
	status, current := jackdawbridge.StoreFailed, uint64(0)
	delay := storeTimeout
	switch {
	case s.unreachable(n):
	case s.records[name].Version() != version:
		status, delay = jackdawbridge.StoreConflict, storeDelay+s.slow
	default:
		current = s.put(name, value, lease)
		status, delay = jackdawbridge.StoreOK, storeDelay+s.slow
	}
	if s.lose > 0 && status == jackdawbridge.StoreOK {
		s.lose--
		status, delay = jackdawbridge.StoreFailed, storeTimeout
	}
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewStoreSwapped(at, name, status, current)
		})
	})
}

// cutOff keeps nodes from the platform, or lets them reach it again.
func (s *fakeStore) cutOff(names []string, on bool) {
	if s.cut == nil {
		s.cut = make(map[string]bool)
	}
	for _, name := range names {
		s.cut[name] = on
	}
	s.setDown(s.down)
}

// damaged reports whether a record has not the newest table.
func (s *fakeStore) damaged() bool {
	for name, table := range s.h.published {
		if s.unreadable == name || s.records[name].Value() != jackdawbridge.Value(table) {
			return true
		}
	}
	return false
}

// lastHeld returns the last instant at which the platform held no newer
// revision of a table than the given one.
func (s *fakeStore) lastHeld(name jackdawbridge.RecordName, revision uint64) jackdawbridge.Millis {
	end := s.h.now
	for i := len(s.held) - 1; i >= 0; i-- {
		if h := s.held[i]; h.name != name {
			continue
		} else if h.revision <= revision {
			return end
		} else {
			end = h.at
		}
	}
	return end
}
