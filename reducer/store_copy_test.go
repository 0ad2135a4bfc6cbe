package reducer

import (
	"maps"

	"github.com/jackdawbridge/jackdawbridge"
)

// eraBits is the size of the part of a version below the era.
const eraBits = 40

// storeCopy is a copy of the records of the fake store.
type storeCopy struct {
	at          jackdawbridge.Millis
	records     map[jackdawbridge.RecordName]jackdawbridge.Record
	leases      map[jackdawbridge.RecordName]jackdawbridge.Millis // of the records under one
	lastVersion uint64
}

// version returns the version for a number that the store has assigned in this era.
func (s *fakeStore) version(number uint64) uint64 { return s.era<<eraBits | number }

// answeringEra returns the era that an answer names, 0 if there is none.
func (s *fakeStore) answeringEra(status jackdawbridge.StoreStatus) uint64 {
	if status == jackdawbridge.StoreFailed {
		return 0
	}
	return s.era
}

// expire deletes a record when its lease ends, unless it is changed before.
func (s *fakeStore) expire(name jackdawbridge.RecordName, version uint64, lease jackdawbridge.Millis) {
	if lease == 0 {
		return
	}
	s.h.after(lease, func() {
		if s.records[name].Version() == version {
			s.put(name, nil, 0)
		}
	})
}

// keepCopy keeps a copy of the records after the change of one, if it may be needed.
func (s *fakeStore) keepCopy(changed jackdawbridge.RecordName, lease jackdawbridge.Millis) {
	if !s.keepCopies {
		return
	}
	leases := make(map[jackdawbridge.RecordName]jackdawbridge.Millis)
	if len(s.copies) > 0 {
		leases = maps.Clone(s.copies[len(s.copies)-1].leases)
	}
	leases[changed] = lease
	s.copies = append(s.copies, storeCopy{s.h.now, maps.Clone(s.records), leases, s.lastVersion})
}

// returnFrom makes the store come back from a copy that is the given time old. Versions
// are assigned again from that of the copy. The tables are older until they are
// published again.
func (s *fakeStore) returnFrom(age jackdawbridge.Millis) {
	back := storeCopy{records: make(map[jackdawbridge.RecordName]jackdawbridge.Record)}
	for i, c := range s.copies {
		if c.at > s.h.now-age {
			s.copies = s.copies[:i]
			break
		}
		back = c
	}
	s.era++
	s.lastVersion = back.lastVersion
	s.records = make(map[jackdawbridge.RecordName]jackdawbridge.Record)
	for name, record := range back.records {
		version := s.version(record.Version() & (1<<eraBits - 1))
		s.records[name] = jackdawbridge.NewRecord(name, version, record.Value())
		s.expire(name, version, back.leases[name])
		if table, ok := record.Value().(*jackdawbridge.Table); ok {
			s.tableHistory = append(s.tableHistory, heldRevision{s.h.now, name, table.Revision()})
		}
	}
	s.setDown(s.down)
}

// publishAgain writes the newest tables that the store has lost, as the operators do.
func (s *fakeStore) publishAgain() {
	for name, table := range s.h.published {
		if s.records[name].Value() != jackdawbridge.Value(table) {
			s.put(name, table, 0)
		}
	}
}
