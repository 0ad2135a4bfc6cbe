package reducer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
)

// maxWitnesses is the number of witnesses in a data centre with enough members.
const maxWitnesses = 5

// hashOf returns the hash of a name for a purpose. Hashes of one name for different
// purposes are independent. A purpose below RangeCount is a range.
func hashOf(name string, purpose uint64) uint64 {
	var buffer [72]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], purpose)
	return xxhash.Sum64(append(b, name...))
}

// Purposes of hashOf other than ranges.
const (
	purposeRank uint64 = jackdawbridge.RangeCount + iota
	purposeWitness
	purposeShard
)

// rangesDataCentre returns the data centre whose range record has the given name, and
// false if it is the name of another record.
func rangesDataCentre(name jackdawbridge.RecordName) (jackdawbridge.DataCentre, bool) {
	dc, ok := strings.CutPrefix(string(name), string(jackdawbridge.RangesPrefix))
	return jackdawbridge.DataCentre(dc), ok && dc != ""
}

// progress numbers the states of a range record. The number rises when a change is
// written and again when the change is settled; it is 0 without a record.
func progress(r *jackdawbridge.Ranges) uint64 {
	switch {
	case r == nil:
		return 0
	case r.Pending():
		return 2 * r.Epoch()
	}
	return 2*r.Epoch() + 1
}

// moved reports whether the holder of a range differs from the one at the last settled
// epoch.
func moved(r *jackdawbridge.Ranges, i int) bool { return r.Holder(i) != r.PreviousHolder(i) }

// assignRanges assigns each range to the member with the highest hash for it
// (rendezvous hashing), so that few ranges move when a member joins or leaves.
func assignRanges(members []jackdawbridge.Peer) (holders [jackdawbridge.RangeCount]jackdawbridge.Node) {
	for i := range holders {
		var best uint64
		for _, m := range members {
			h := hashOf(string(m.Node().Instance()), uint64(i))
			if holders[i].IsZero() || h > best || h == best && m.Node().Instance() > holders[i].Instance() {
				holders[i], best = m.Node(), h
			}
		}
	}
	return holders
}

// chooseWitnesses keeps the current witnesses that are still members and adds others
// in order of hash. The number of witnesses is odd, since an even number tolerates no
// more losses than the odd one below it. If not all current witnesses can stay, the
// writer stays if it is among them, since it is known to reach the platform.
func chooseWitnesses(members []jackdawbridge.Peer, current []jackdawbridge.Node, writer jackdawbridge.Node) []jackdawbridge.Node {
	count := min(len(members), maxWitnesses)
	if count > 0 && count%2 == 0 {
		count--
	}
	isMember := func(n jackdawbridge.Node) bool {
		return slices.ContainsFunc(members, func(m jackdawbridge.Peer) bool { return m.Node() == n })
	}
	var chosen []jackdawbridge.Node
	for _, n := range current {
		if isMember(n) {
			chosen = append(chosen, n)
		}
	}
	if len(chosen) > count {
		if i := slices.Index(chosen, writer); i > 0 {
			chosen[0], chosen[i] = chosen[i], chosen[0]
		}
		chosen = chosen[:count]
	}
	rest := slices.Clone(members)
	slices.SortFunc(rest, func(a, b jackdawbridge.Peer) int {
		return compareByHash(a.Node(), b.Node(), purposeWitness)
	})
	for _, m := range rest {
		if len(chosen) < count && !slices.Contains(chosen, m.Node()) {
			chosen = append(chosen, m.Node())
		}
	}
	return chosen
}

// compareByHash orders nodes by the hash of their instance for a purpose.
func compareByHash(a, b jackdawbridge.Node, purpose uint64) int {
	x, y := hashOf(string(a.Instance()), purpose), hashOf(string(b.Instance()), purpose)
	return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Instance(), b.Instance()))
}

// rankOf returns the number of members with a lower hash than this node.
func rankOf(members []jackdawbridge.Peer, self jackdawbridge.Node) int {
	n := 0
	for _, m := range members {
		if m.Node() != self && compareByHash(m.Node(), self, purposeRank) < 0 {
			n++
		}
	}
	return n
}

// sameSet reports whether two lists without duplicates have the same nodes.
func sameSet(a, b []jackdawbridge.Node) bool {
	if len(a) != len(b) {
		return false
	}
	for _, n := range a {
		if !slices.Contains(b, n) {
			return false
		}
	}
	return true
}

// named returns the holders and witnesses of a record, each once.
func named(r *jackdawbridge.Ranges) []jackdawbridge.Node {
	var nodes []jackdawbridge.Node
	for i := range jackdawbridge.RangeCount {
		nodes = addOnce(nodes, r.Holder(i))
	}
	for _, n := range r.Witnesses() {
		nodes = addOnce(nodes, n)
	}
	return nodes
}

// namedOrFormer returns the holders and witnesses of a record and, while it is pending,
// also those of the last settled epoch, each once.
func namedOrFormer(r *jackdawbridge.Ranges) []jackdawbridge.Node {
	nodes := named(r)
	for i := range jackdawbridge.RangeCount {
		nodes = addOnce(nodes, r.PreviousHolder(i))
	}
	for _, n := range r.Electors() {
		nodes = addOnce(nodes, n)
	}
	return nodes
}

// addOnce appends a node unless it is zero or already in the list.
func addOnce(nodes []jackdawbridge.Node, n jackdawbridge.Node) []jackdawbridge.Node {
	if n.IsZero() || slices.Contains(nodes, n) {
		return nodes
	}
	return append(nodes, n)
}
