package reducer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"github.com/jackdawbridge/jackdawbridge"
)

// controlMemory bounds the memory that a node may use for control state at the stated
// target.
const controlMemory = 32 << 20 // bytes

// TestCapacitySlopes guards against control state that needs more than controlMemory
// at the target, because an item of some kind takes too many bytes. It logs the memory
// per item of each kind, measured as the slope between two sizes, and bounds the sum at
// the sizes of the target.
func TestCapacitySlopes(t *testing.T) {
	total := 0.0
	for _, c := range []struct {
		name       string
		small, big int
		target     int // items per node at the target
		fill       func(p *callPath, n int)
	}{
		{"key", 1000, 11000, 10000, fillKeys},
		{"member", 200, 2200, 2200, fillMembers},
		{"idempotency record", 10000, 110000, 180000, fillRecords},
		{"call in progress", 500, 5500, 1000, fillCalls},
	} {
		slope := float64(heapGrowth(t, c.big, c.fill)-heapGrowth(t, c.small, c.fill)) / float64(c.big-c.small)
		t.Logf("%s: %.0f bytes each, %d of them %.1f MB", c.name, slope, c.target, slope*float64(c.target)/(1<<20))
		total += slope * float64(c.target)
	}
	t.Logf("sum at the target: %.1f MB", total/(1<<20))
	if total > controlMemory {
		t.Errorf("control state takes %.0f bytes at the target: want at most %d", total, controlMemory)
	}
}

// heapGrowth returns by how many bytes the heap grows when a node receives n items.
func heapGrowth(t *testing.T, n int, fill func(*callPath, int)) int64 {
	var before, after runtime.MemStats
	p := newCallPath(t, 16)
	runtime.GC()
	runtime.ReadMemStats(&before)
	fill(p, n)
	p.fx = jackdawbridge.Effects{}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(p)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

func fillKeys(p *callPath, n int) {
	entries := make([]jackdawbridge.Entry, 0, n)
	for i := range n {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], uint64(i))
		key, err := jackdawbridge.NewKey(sha256.Sum256(seed[:]), "a", "label")
		if err != nil {
			panic(err)
		}
		entries = append(entries, jackdawbridge.KeyEntry(key).WithRevision(1000))
	}
	table, err := jackdawbridge.NewTable(1000, "change", entries)
	if err != nil {
		panic(err)
	}
	record := jackdawbridge.NewRecord(jackdawbridge.KeysTable, 1000, table)
	p.apply(p.entry, jackdawbridge.NewTablesLoaded(p.at, p.at, jackdawbridge.StoreOK, []jackdawbridge.Record{record}))
}

func fillMembers(p *callPath, n int) {
	for i := range n {
		node := jackdawbridge.NewNode(jackdawbridge.Instance(fmt.Sprint("member-", i)), 1)
		peer := jackdawbridge.NewPeer(node, "one", jackdawbridge.Addresses{}).
			WithBackend("other", 64, 512).WithState(jackdawbridge.PeerServing).WithVersion(1)
		frame := jackdawbridge.NewFrame(peer, jackdawbridge.Digest{}, jackdawbridge.NewProbeAck(0, nil))
		p.apply(p.entry, jackdawbridge.NewReceived(p.at, frame))
	}
}

func fillRecords(p *callPath, n int) {
	for i := range n {
		var u uuid.UUID
		binary.BigEndian.PutUint64(u[8:], uint64(i))
		key := idempotencyKey{id: keyID{account: 1, key: u}, createdAt: p.at}
		p.entry.once.records.begin(key, uint64(i), 0)
	}
}

func fillCalls(p *callPath, n int) {
	for i := range n {
		request := jackdawbridge.NewRequest(jackdawbridge.RequestID(fmt.Sprint("r", i)), "s", "GET", "/x", 10000).WithKey(keyHash("k"))
		p.apply(p.entry, jackdawbridge.NewCallArrived(p.at, jackdawbridge.CallID(i+10), request))
	}
}
