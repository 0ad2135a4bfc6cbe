package reducer

import (
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/heap"
)

const (
	// maxSuspects bounds the fingerprints that a node remembers.
	maxSuspects = 1024
	// suspectTime is how long a request runs alone after a crash that it may
	// have caused.
	suspectTime = 120 * jackdawbridge.Second
	// quarantineTime is how long a request is refused that crashed a backend
	// server while it ran alone.
	quarantineTime = 600 * jackdawbridge.Second
	// crashFanout is the number of peers that a node tells of a crash that is
	// new to it.
	crashFanout = 3
	// brokenWindow is how long before the loss of a backend server a run may
	// have broken to count as in flight at the crash. The connections of the
	// runs break before the loss is noticed.
	brokenWindow = 2 * jackdawbridge.Second
	// fallingSpan is how long after a run broke the server is taken to be going
	// down. Runs that began in that span cannot have caused the crash.
	fallingSpan = 100 * jackdawbridge.Millis(1)
	// maxNotices bounds the reports that are known again.
	maxNotices = 4096
	// noticeTime is how long a report is known again. Copies of it circulate for
	// seconds at most.
	noticeTime = quarantineTime
	// maxBroken bounds the broken runs that are remembered.
	maxBroken = 1024
)

// verdict tells how a request is treated that may crash backend servers.
type verdict uint8

const (
	verdictRun    verdict = iota // nothing is held against it
	verdictAlone                 // was in flight at a crash, runs alone
	verdictRefuse                // crashed a backend server while it ran alone
)

// crashID identifies a crash of a backend server.
type crashID struct {
	node     jackdawbridge.Node
	sequence uint64
}

// suspect is a request that was in flight at a crash.
type suspect struct {
	crash  crashID // the last one
	guilty bool    // it crashed a backend server again while it ran alone
}

// notice is what a crash report says of one request. A report that was applied
// before is no news, whatever has become of the suspect since. Without that a
// report and its clearing, passed on at the same time, each undid the other at
// every node and were passed on for ever.
type notice struct {
	crash   crashID
	print   jackdawbridge.Fingerprint
	cleared bool
}

// brokenRun is a run that the backend server did not finish.
type brokenRun struct {
	fingerprint jackdawbridge.Fingerprint
	began       jackdawbridge.Millis
	at          jackdawbridge.Millis
}

// quarantine is the part that keeps requests away that crash backend servers.
// After a crash each request that was in flight is a suspect and runs alone. A
// suspect that crashes another backend server while it runs alone is refused by
// the whole fleet; one that runs to its end is cleared. So a request crashes as
// many backend servers as ran it when the first crash became known, and one more.
type quarantine struct {
	r        *Reducer
	sequence uint64 // of the last crash of the own backend server
	suspects map[jackdawbridge.Fingerprint]suspect
	expiry   heap.Heap[jackdawbridge.Fingerprint, jackdawbridge.Millis]
	broken   []brokenRun                             // at most maxBroken, oldest first
	notices  heap.Heap[notice, jackdawbridge.Millis] // applied, at most maxNotices
}

func newQuarantine(r *Reducer) quarantine {
	return quarantine{r: r, suspects: make(map[jackdawbridge.Fingerprint]suspect)}
}

// check returns how a request is treated.
func (p *quarantine) check(f jackdawbridge.Fingerprint) verdict {
	s, ok := p.suspects[f]
	switch {
	case !ok:
		return verdictRun
	case s.guilty:
		return verdictRefuse
	}
	return verdictAlone
}

// broke takes note of a run that the backend server did not finish.
func (p *quarantine) broke(f jackdawbridge.Fingerprint, began jackdawbridge.Millis) {
	if len(p.broken) >= maxBroken {
		p.broken = slices.Delete(p.broken, 0, 1)
	}
	p.broken = append(p.broken, brokenRun{f, began, p.r.now})
}

// falling reports whether the backend server was going down at an instant.
func (p *quarantine) falling(at jackdawbridge.Millis) bool {
	for _, b := range p.broken {
		if b.began < at && b.at <= at && at-b.at <= fallingSpan {
			return true
		}
	}
	return false
}

// crashed takes note of what was in flight when the own backend server crashed.
func (p *quarantine) crashed(prints []jackdawbridge.Fingerprint) {
	for _, b := range p.broken {
		if p.r.now-b.at <= brokenWindow && !p.falling(b.began) {
			prints = append(prints, b.fingerprint)
		}
	}
	p.broken = p.broken[:0]
	slices.Sort(prints)
	prints = slices.Compact(prints)
	if len(prints) == 0 {
		return
	}
	p.sequence++
	p.spread(jackdawbridge.NewCrashReport(p.r.self.Node(), p.sequence, 0, prints))
}

// served clears a suspect that ran to its end.
func (p *quarantine) served(f jackdawbridge.Fingerprint) {
	s, ok := p.suspects[f]
	if !ok || s.guilty {
		return
	}
	p.spread(jackdawbridge.NewCrashCleared(s.crash.node, s.crash.sequence, []jackdawbridge.Fingerprint{f}))
}

// crash takes note of a crash that a peer reports.
func (p *quarantine) crash(_ jackdawbridge.Peer, m *jackdawbridge.CrashReport) { p.spread(m) }

// spread applies a report and passes it on if it was new.
func (p *quarantine) spread(m *jackdawbridge.CrashReport) {
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

// apply changes the table by a report and reports whether that was news.
func (p *quarantine) apply(m *jackdawbridge.CrashReport) bool {
	id := crashID{node: m.Node(), sequence: m.Sequence()}
	news := false
	for _, f := range m.Fingerprints() {
		if !p.note(notice{crash: id, print: f, cleared: m.Cleared()}) {
			continue
		}
		if m.Cleared() {
			// A copy of the crash report that comes later must not undo it.
			p.note(notice{crash: id, print: f})
			p.clear(f, id)
			news = true
			continue
		}
		news = p.suspect(f, id, m.Age(), len(m.Fingerprints()) == 1) || news
	}
	return news
}

// note remembers a report and returns whether it is new.
func (p *quarantine) note(x notice) bool {
	before := p.notices.Len()
	p.notices.Set(x, p.r.now+noticeTime)
	if p.notices.Len() == before {
		return false
	}
	if before >= maxNotices {
		oldest, _, _ := p.notices.Min()
		p.notices.Remove(oldest)
	}
	return true
}

// clear forgets a suspect, unless a later crash is held against it.
func (p *quarantine) clear(f jackdawbridge.Fingerprint, id crashID) {
	s, ok := p.suspects[f]
	if !ok || s.guilty || s.crash != id {
		return
	}
	p.drop(f)
	p.r.fx.Log(jackdawbridge.PartQuarantine, "suspect cleared").Str("fingerprint", f.String())
}

// suspect holds a crash against a request.
func (p *quarantine) suspect(f jackdawbridge.Fingerprint, id crashID, age jackdawbridge.Millis, alone bool) bool {
	old, known := p.suspects[f]
	if known && (old.guilty || old.crash == id) {
		return false
	}
	keep := suspectTime
	s := suspect{crash: id, guilty: alone && known}
	if s.guilty {
		keep = quarantineTime
	}
	if age >= keep {
		return false
	}
	if !known && len(p.suspects) >= maxSuspects {
		oldest, _, _ := p.expiry.Min()
		p.drop(oldest)
	}
	p.suspects[f] = s
	p.expiry.Set(f, p.r.now+keep-age)
	if s.guilty {
		p.r.fx.Warn(jackdawbridge.PartQuarantine, "request crashes backend servers, refused").About("", id.node).Str("fingerprint", f.String())
	}
	return true
}

func (p *quarantine) drop(f jackdawbridge.Fingerprint) {
	delete(p.suspects, f)
	p.expiry.Remove(f)
}

func (p *quarantine) wake() jackdawbridge.Millis {
	if _, at, ok := p.expiry.Min(); ok {
		return at
	}
	return never
}

// tick forgets what has expired.
func (p *quarantine) tick() {
	for {
		if _, ok := p.notices.PopUntil(p.r.now); !ok {
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
