package reducer

import "github.com/jackdawbridge/jackdawbridge"

// fakeStore stands in for the platform's service.
type fakeStore struct {
	h       *harness
	records map[jackdawbridge.RecordName]jackdawbridge.Record
	next    uint64 // last version given out
	waiting []fakeWatch
	down    bool
	lose    int                  // answers to lose after the change has taken effect
	slow    jackdawbridge.Millis // added to each answer
	cut     map[string]bool      // nodes that cannot reach the platform
	reads   int
	writes  int
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
		s.watch(w.node, w.name, w.version)
	}
	return version
}

func (s *fakeStore) unreachable(n *fakeNode) bool { return s.down || s.cut[n.name] }

func (s *fakeStore) answer(n *fakeNode, name jackdawbridge.RecordName, status jackdawbridge.StoreStatus, record jackdawbridge.Record, delay jackdawbridge.Millis) {
	s.h.after(delay, func() {
		n.apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewStoreLoaded(at, name, status, record)
		})
	})
}

func (s *fakeStore) load(n *fakeNode, name jackdawbridge.RecordName) {
	s.reads++
	if s.unreachable(n) {
		s.answer(n, name, jackdawbridge.StoreFailed, jackdawbridge.Record{}, storeTimeout)
		return
	}
	record, ok := s.records[name]
	if !ok {
		record = jackdawbridge.NewRecord(name, 0, nil)
	}
	s.answer(n, name, jackdawbridge.StoreOK, record, storeDelay+s.slow)
}

func (s *fakeStore) watch(n *fakeNode, name jackdawbridge.RecordName, version uint64) {
	if s.unreachable(n) || s.records[name].Version() != version {
		s.load(n, name)
		return
	}
	s.waiting = append(s.waiting, fakeWatch{n, name, version})
}

// setDown takes the platform out or brings it back. Waiting watches fail.
func (s *fakeStore) setDown(down bool) {
	s.down = down
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		s.watch(w.node, w.name, w.version)
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
