package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
)

// faultyStore holds one table and injects the faults that a script lists.
type faultyStore struct {
	record jackdawbridge.Record
	faults []string // one for each of the next swaps, see Swap
}

// Era returns 0: the store has no eras.
func (s *faultyStore) Era() uint64 { return 0 }

// Load returns the record.
func (s *faultyStore) Load(context.Context, jackdawbridge.RecordName) (jackdawbridge.Record, error) {
	return s.record, nil
}

// Check returns the record. The commands under test do not use it.
func (s *faultyStore) Check(ctx context.Context, name jackdawbridge.RecordName, _ uint64) (jackdawbridge.Record, error) {
	return s.Load(ctx, name)
}

// Scan returns the record. The commands under test do not use it.
func (s *faultyStore) Scan(context.Context, jackdawbridge.RecordName) ([]jackdawbridge.Record, error) {
	return []jackdawbridge.Record{s.record}, nil
}

// Watch returns the record immediately. The commands under test do not use it.
func (s *faultyStore) Watch(ctx context.Context, name jackdawbridge.RecordName, _ uint64) (jackdawbridge.Record, error) {
	return s.Load(ctx, name)
}

// Swap replaces the record if the version matches. The next fault of the script
// applies to it:
//
//   - lose-request: the record stays unchanged, and the call returns an error.
//   - lose-answer: the record is replaced, but the call returns an error.
//   - other:NAME: another operator adds the account NAME before the swap.
//   - lose-answer-then-other:NAME: the record is replaced, another operator then
//     adds the account NAME, and the call returns an error.
func (s *faultyStore) Swap(_ context.Context, name jackdawbridge.RecordName, version uint64, value jackdawbridge.Value, _ jackdawbridge.Millis) (uint64, error) {
	fault := ""
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	if other, ok := strings.CutPrefix(fault, "other:"); ok {
		s.addAsOtherOperator(other)
	}
	if fault == "lose-request" {
		return 0, errors.New("no answer")
	}
	if version != s.record.Version() {
		return 0, jackdawbridge.ErrConflict
	}
	s.record = jackdawbridge.NewRecord(name, version+1, value)
	if fault == "lose-answer" {
		return 0, errors.New("no answer")
	}
	if other, ok := strings.CutPrefix(fault, "lose-answer-then-other:"); ok {
		s.addAsOtherOperator(other)
		return 0, errors.New("no answer")
	}
	return version + 1, nil
}

// addAsOtherOperator stores a change by another operator that adds an account.
func (s *faultyStore) addAsOtherOperator(account string) {
	table, err := tableFromRecord(s.record)
	if err != nil {
		panic(err)
	}
	next, err := table.Merge(table.Revision()+1, "of-another", []jackdawbridge.Entry{testAccount(account).WithRevision(table.Revision() + 1)})
	if err != nil {
		panic(err)
	}
	s.record = jackdawbridge.NewRecord(s.record.Name(), s.record.Version()+1, next)
}

func testAccount(name string) jackdawbridge.Entry {
	share, err := jackdawbridge.NewShare("one", 1000)
	if err != nil {
		panic(err)
	}
	a, err := jackdawbridge.NewAccount(jackdawbridge.AccountName(name), 1, 1, []jackdawbridge.Share{share})
	if err != nil {
		panic(err)
	}
	return jackdawbridge.AccountEntry(a)
}

// TestChanges runs the scripts of testdata/change, which change a table while
// answers are lost and other operators change the same table.
func TestChanges(t *testing.T) {
	datadriven.Walk(t, "testdata/change", func(t *testing.T, path string) {
		s := &faultyStore{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.faults = strings.Fields(d.Input)
			c := newChange(s, jackdawbridge.ConfigTable, nil)
			c.id, c.retryDelay = arg(d, "id"), 0
			switch d.Cmd {
			case "reset":
				*s = faultyStore{}
				return ""
			case "apply":
				var entries []jackdawbridge.Entry
				for _, name := range strings.Split(arg(d, "accounts"), ",") {
					entries = append(entries, testAccount(name))
				}
				c.edit, c.replacesTable = replaceWith(entries), true
			case "give":
				c.edit = createKey(sha256.Sum256([]byte(arg(d, "key"))), arg(d, "account"), "")
			case "withdraw":
				c.edit = withdrawKey(fmt.Sprintf("%x", sha256.Sum256([]byte(arg(d, "key")))))
			}
			return commitAndDescribe(s, c)
		})
	})
}

// commitAndDescribe commits a change and returns its result and the table after it
// as text.
func commitAndDescribe(s *faultyStore, c *change) string {
	var b strings.Builder
	revision, changed, err := c.commit(context.Background())
	if err != nil {
		fmt.Fprintf(&b, "error: %v\n", err)
	} else {
		fmt.Fprintf(&b, "revision %d changed %t\n", revision, changed)
	}
	table, err := tableFromRecord(s.record)
	if err != nil {
		return err.Error()
	}
	fmt.Fprintf(&b, "table: revision %d by %s:", table.Revision(), table.Change())
	for _, e := range table.Entries() {
		name := e.Name()
		if strings.HasPrefix(name, "key/") {
			name = name[:8]
		}
		if e.Removed() {
			name = "-" + name
		}
		fmt.Fprintf(&b, " %s@%d", name, e.Revision())
	}
	return b.String()
}
