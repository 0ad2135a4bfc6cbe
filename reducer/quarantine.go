package reducer

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxSuspects bounds the suspects that a node keeps.
	maxSuspects = 1024
	// suspectTime is how long a request runs exclusively after a crash that it may
	// have caused.
	suspectTime = 120 * jackdawbridge.Second
	// quarantineTime is how long a request is refused after it crashed a backend
	// server while it ran exclusively.
	quarantineTime = 600 * jackdawbridge.Second
	// crashFanout is the number of peers to which a node forwards a crash report
	// that is new to it.
	crashFanout = 3
	// interruptedWindow is how long before the loss of a backend server a run may
	// have been interrupted and still count as in flight at the crash. The
	// connections of the runs break before the loss is noticed.
	interruptedWindow = 2 * jackdawbridge.Second
	// failingTime is how long after the interruption of a run the backend server is
	// taken to be crashing. Runs that started in that time cannot have caused the
	// crash.
	failingTime = 100 * jackdawbridge.Millis(1)
	// maxAppliedItems bounds the report items that are kept to recognise copies.
	maxAppliedItems = 4096
	// appliedItemTime is how long a report item is kept to recognise copies. They
	// circulate for seconds at most.
	appliedItemTime = quarantineTime
	// maxInterrupted bounds the interrupted runs that are kept.
	maxInterrupted = 1024
)

// verdict is how a node treats a request that may crash backend servers.
type verdict uint8

const (
	verdictRun       verdict = iota // no suspicion: the request runs as usual
	verdictExclusive                // was in flight at a crash: runs exclusively
	verdictRefuse                   // crashed a backend server while it ran exclusively: is refused
)

// crashID identifies a crash of a backend server.
type crashID struct {
	node     jackdawbridge.Node
	sequence uint64
}

// suspect is a request that was in flight at a crash.
type suspect struct {
	lastCrash   crashID // the last crash at which it was in flight
	quarantined bool    // a backend server crashed again while it ran exclusively
}

// reportItem is what a crash report says about one request. An item that was applied
// before is not new, whatever has happened to the suspect since. Without this rule a
// crash report and the report that cleared the suspect, forwarded at the same time, each
// undid the other at every node and were forwarded for ever.
type reportItem struct {
	crash       crashID
	fingerprint jackdawbridge.Fingerprint
	cleared     bool
}

// interruptedRun is a run that the backend server did not finish.
type interruptedRun struct {
	fingerprint   jackdawbridge.Fingerprint
	startedAt     jackdawbridge.Millis
	interruptedAt jackdawbridge.Millis
}

// quarantine is the part that refuses requests that crash backend servers. After a crash
// each request that was in flight is a suspect and runs exclusively. A suspect that
// crashes another backend server while it runs exclusively is refused by the whole fleet;
// one that runs to its end is cleared. So the number of backend servers that a request
// crashes is at most the number that ran it when the first crash became known, plus one.
type quarantine struct {
	r           *Reducer
	sequence    uint64 // of the last crash of this node's backend server
	suspects    map[jackdawbridge.Fingerprint]suspect
	expiry      heap.Heap[jackdawbridge.Fingerprint, jackdawbridge.Millis] // of the suspects
	interrupted []interruptedRun                                           // at most maxInterrupted, oldest first
	applied     heap.Heap[reportItem, jackdawbridge.Millis]                // applied items by the time when they are dropped, at most maxAppliedItems
}

func newQuarantine(r *Reducer) quarantine {
	return quarantine{r: r, suspects: make(map[jackdawbridge.Fingerprint]suspect)}
}

// check returns how a request with fingerprint f is to be treated.
func (p *quarantine) check(f jackdawbridge.Fingerprint) verdict {
	s, ok := p.suspects[f]
	switch {
	case !ok:
		return verdictRun
	case s.quarantined:
		return verdictRefuse
	}
	return verdictExclusive
}

// runInterrupted records a run that the backend server did not finish.
func (p *quarantine) runInterrupted(f jackdawbridge.Fingerprint, startedAt jackdawbridge.Millis) {
	if len(p.interrupted) >= maxInterrupted {
		p.interrupted = slices.Delete(p.interrupted, 0, 1)
	}
	p.interrupted = append(p.interrupted, interruptedRun{f, startedAt, p.r.now})
}

// failingAt reports whether the backend server was taken to be crashing at an instant,
// because an earlier run had been interrupted at most failingTime before.
func (p *quarantine) failingAt(at jackdawbridge.Millis) bool {
	for _, b := range p.interrupted {
		if b.startedAt < at && b.interruptedAt <= at && at-b.interruptedAt <= failingTime {
			return true
		}
	}
	return false
}

// backendCrashed reports a crash of this node's backend server to the fleet. The requests
// with the given fingerprints were in flight; runs that were interrupted shortly before are
// added, unless they started while the server was already crashing.
func (p *quarantine) backendCrashed(fingerprints []jackdawbridge.Fingerprint) {
	for _, b := range p.interrupted {
		if p.r.now-b.interruptedAt <= interruptedWindow && !p.failingAt(b.startedAt) {
			fingerprints = append(fingerprints, b.fingerprint)
		}
	}
	p.interrupted = p.interrupted[:0]
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	if len(fingerprints) == 0 {
		return
	}
	p.sequence++
	p.applyAndForward(jackdawbridge.NewCrashReport(p.r.self.Node(), p.sequence, 0, fingerprints))
}

// runServed clears, at this node and in the whole fleet, a suspect that ran to its end.
func (p *quarantine) runServed(f jackdawbridge.Fingerprint) {
	s, ok := p.suspects[f]
	if !ok || s.quarantined {
		return
	}
	p.applyAndForward(jackdawbridge.NewCrashCleared(s.lastCrash.node, s.lastCrash.sequence, []jackdawbridge.Fingerprint{f}))
}

// crashReported handles a CrashReport from a peer.
func (p *quarantine) crashReported(_ jackdawbridge.Peer, m *jackdawbridge.CrashReport) {
	p.applyAndForward(m)
}

// applyAndForward applies a report. If any of the report's items is new, it forwards the
// report to crashFanout random members of this node's data centre and to one random peer
// of each other data centre.
func (p *quarantine) applyAndForward(m *jackdawbridge.CrashReport) {
	if !p.apply(m) {
		return
	}
	for _, peer := range p.r.members.random(crashFanout) {
		p.r.send(peer, m)
	}
	for _, dc := range p.r.once.dataCentres {
		if peers := p.r.members.inDataCentre(dc); dc != p.r.self.DataCentre() && len(peers) > 0 {
			p.r.send(peers[p.r.members.draw(len(peers))], m)
		}
	}
}

// apply updates the suspects from a report and returns whether any item of the report was
// new.
func (p *quarantine) apply(m *jackdawbridge.CrashReport) bool {
	id := crashID{node: m.Node(), sequence: m.Sequence()}
	anyNew := false
	for _, f := range m.Fingerprints() {
		if !p.markApplied(reportItem{crash: id, fingerprint: f, cleared: m.Cleared()}) {
			continue
		}
		if m.Cleared() {
			// A copy of the crash report that arrives later must not undo the clearing.
			p.markApplied(reportItem{crash: id, fingerprint: f})
			p.clear(f, id)
			anyNew = true
			continue
		}
		anyNew = p.addSuspect(f, id, m.Age(), len(m.Fingerprints()) == 1) || anyNew
	}
	return anyNew
}

// markApplied records that a report item was applied and returns whether it is new.
func (p *quarantine) markApplied(x reportItem) bool {
	before := p.applied.Len()
	p.applied.Set(x, p.r.now+appliedItemTime)
	if p.applied.Len() == before {
		return false
	}
	if before >= maxAppliedItems {
		oldest, _, _ := p.applied.Min()
		p.applied.Remove(oldest)
	}
	return true
}

// clear removes a suspect, unless it is quarantined or was also in flight at a later crash.
func (p *quarantine) clear(f jackdawbridge.Fingerprint, id crashID) {
	s, ok := p.suspects[f]
	if !ok || s.quarantined || s.lastCrash != id {
		return
	}
	p.removeSuspect(f)
	p.r.fx.Log(jackdawbridge.PartQuarantine, "suspect cleared: it ran to its end without a crash").Str("fingerprint", f.String())
}

// addSuspect records that a request was in flight at a crash of the given age, and returns
// whether that was new. If the request was a suspect already and the only one in flight, it
// is quarantined.
func (p *quarantine) addSuspect(f jackdawbridge.Fingerprint, id crashID, age jackdawbridge.Millis, onlyInFlight bool) bool {
	old, known := p.suspects[f]
	if known && (old.quarantined || old.lastCrash == id) {
		return false
	}
	keep := suspectTime
	s := suspect{lastCrash: id, quarantined: onlyInFlight && known}
	if s.quarantined {
		keep = quarantineTime
	}
	if age >= keep {
		return false
	}
	if !known && len(p.suspects) >= maxSuspects {
		oldest, _, _ := p.expiry.Min()
		p.removeSuspect(oldest)
	}
	p.suspects[f] = s
	p.expiry.Set(f, p.r.now+keep-age)
	if s.quarantined {
		p.r.fx.Warn(jackdawbridge.PartQuarantine, "request quarantined: it crashed another backend server while it ran exclusively").About("", id.node).Str("fingerprint", f.String())
	}
	return true
}

func (p *quarantine) removeSuspect(f jackdawbridge.Fingerprint) {
	delete(p.suspects, f)
	p.expiry.Remove(f)
}

func (p *quarantine) wake() jackdawbridge.Millis {
	if _, at, ok := p.expiry.Min(); ok {
		return at
	}
	return never
}

// tick removes expired suspects and report items.
func (p *quarantine) tick() {
	for {
		if _, ok := p.applied.PopUntil(p.r.now); !ok {
			break
		}
	}
	for {
		f, ok := p.expiry.PopUntil(p.r.now)
		if !ok {
			return
		}
		delete(p.suspects, f)
	}
}

// fingerprint returns a hash by which a repeated request is recognised.
func (p *calls) fingerprint(c *call) jackdawbridge.Fingerprint {
	f := xxhash.Sum64String(string(c.envelope.Account()))
	f = bits.RotateLeft64(f, 1) ^ xxhash.Sum64String(c.request.Method())
	f = bits.RotateLeft64(f, 1) ^ xxhash.Sum64String(string(c.request.Service()))
	f = bits.RotateLeft64(f, 1) ^ xxhash.Sum64String(c.request.Path())
	f = bits.RotateLeft64(f, 1) ^ c.request.BodyDigest()
	if query := c.request.Query(); query != "" {
		f = bits.RotateLeft64(f, 1) ^ xxhash.Sum64String(query)
	}
	return jackdawbridge.Fingerprint(f)
}
