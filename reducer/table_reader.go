package reducer

import "github.com/jackdawbridge/jackdawbridge"

// A change of the tables must be in force at each node within a limit after the platform
// has acknowledged it. A node keeps to the limit if the tables in force were confirmed
// within it: the platform had no newer ones then. Each node therefore reads the tables
// itself before its last confirmation becomes too old, whatever its peers do. To save
// calls, only the member of lowest rank usually reads. The others request confirmations
// from each other along a tree over their ranks, and a higher rank reads later.
const (
	// readPermille, firstReservePermille and secondReservePermille are the ages of the
	// last confirmation at which the members of the three lowest ranks read the tables, in
	// thousandths of the limit. The reserves read only if those before them do not.
	readPermille          = 450
	firstReservePermille  = 570
	secondReservePermille = 630
	// lastReadPermille is the age at which any other member reads, plus
	// lastReadStep for each of lastReadSteps different ranks, so that not all of them read
	// at once. The rest of the limit is left for the read.
	lastReadPermille = 680
	lastReadStep     = 10
	lastReadSteps    = 8
	// relayPermille is how long after the next confirmation of a peer is expected a node
	// requests it, and the time to the first repetition, in thousandths of the limit. The
	// time between repetitions doubles up to maxRelayPermille.
	relayPermille    = 30
	maxRelayPermille = 80
	// relayFanout is the number of members that request confirmations from the same one.
	// Three steps reach 4,368 members.
	relayFanout = 16
	// firstReadPermille is the mean time in which a node that received its first tables from
	// a peer waits for a confirmation, in thousandths of the limit, before it reads them.
	firstReadPermille = 250
	// staleRelayPermille is the age of the last confirmation above which every second
	// request goes to a random member, since the usual one has no newer confirmation.
	staleRelayPermille = 600
	// hedgePermille is the time after which a second read is sent while the first has no
	// answer, in thousandths of the limit. It doubles with each further one.
	hedgePermille = 80
	// maxPendingReads bounds the reads without an answer. The time until the next hedge
	// is then about as long as a call takes to fail.
	maxPendingReads = 5
	// readRetryPermille is the mean time from a read that has not confirmed the tables to
	// the next one, in thousandths of the limit, of a member of the three lowest ranks and
	// of one that gets no answers from its peers.
	readRetryPermille = 250
	// relyingRetryPermille is that time for the other members, which rely on the first
	// three and on each other. In a data centre of more than maxRetrying members it grows
	// with the size, which bounds the reads while the platform is away.
	relyingRetryPermille = 500
	maxRetrying          = 64
)

// tableReader is the state of this node's own reads of both tables.
type tableReader struct {
	limit        jackdawbridge.Millis // time within which a change must be in force
	fullInterval jackdawbridge.Millis // time between two reads in full
	pending      int                  // reads without an answer, at most maxPendingReads
	sent         jackdawbridge.Millis // when the last read was sent
	due          jackdawbridge.Millis // earliest time of the next read
	fullDue      jackdawbridge.Millis // time from which the next read is in full
	ended        bool                 // a read has succeeded or failed since the start or the last freeze
	compareDue   jackdawbridge.Millis // when a table from a peer is compared with the platform's, 0 if it is not
	retryWait    jackdawbridge.Millis // mean time from the next failure to the read after it, of a node without a table
	relayDue     jackdawbridge.Millis // time of the next request for a peer's confirmation
	relays       int                  // requests since the last newer confirmation
	answered     jackdawbridge.Millis // when a peer last answered a probe
}

func newTableReader() tableReader {
	return tableReader{limit: defaultApplyLimit, fullInterval: defaultFullReadInterval, retryWait: storeRetry}
}

// restart schedules a read in full after a freeze. The answers to earlier reads still
// arrive.
func (q *tableReader) restart(at jackdawbridge.Millis) {
	q.ended = false
	q.due, q.fullDue, q.relayDue = at, at, at
}

// compare schedules a read in full at the given time, unless there is one earlier.
func (q *tableReader) compare(at jackdawbridge.Millis) {
	if q.compareDue == 0 || at < q.compareDue {
		q.compareDue = at
	}
}

// applyLimit returns the time within which a change must be in force. It is at most
// unconfirmedLimit while some account requires confirmed tables.
func (p *settings) applyLimit() jackdawbridge.Millis {
	if p.index.accountsRequiringConfirmation > 0 {
		return min(p.reader.limit, unconfirmedLimit)
	}
	return p.reader.limit
}

// limitPart returns a part of the limit in thousandths.
func (p *settings) limitPart(permille int) jackdawbridge.Millis {
	return p.applyLimit() * jackdawbridge.Millis(permille) / 1000
}

// readAge returns the age of the last confirmation at which this node reads the tables.
func (p *settings) readAge() jackdawbridge.Millis {
	rank := p.r.members.hashRank
	switch {
	case p.r.members.starting() && len(p.r.members.live) > 0:
	case rank == 0:
		return p.limitPart(readPermille)
	case rank == 1:
		return p.limitPart(firstReservePermille)
	case rank == 2:
		return p.limitPart(secondReservePermille)
	}
	return p.limitPart(lastReadPermille + lastReadStep*(rank%lastReadSteps))
}

// nextRead returns when the tables are next read.
func (p *settings) nextRead() jackdawbridge.Millis {
	q := &p.reader
	switch {
	case q.pending >= maxPendingReads:
		return never
	case !q.ended:
		return q.due
	case p.config.table == nil || p.keys.table == nil:
		if p.watches() && q.retryWait == storeRetry {
			return min(q.due, q.sent+p.limitPart(readPermille))
		}
		return q.due
	}
	next := min(p.config.confirmed, p.keys.confirmed) + p.readAge()
	if q.compareDue > 0 {
		next = min(next, q.compareDue)
	}
	return max(q.due, next)
}

// tickReads reads the tables if that is due, and requests a confirmation from a peer.
func (p *settings) tickReads() {
	q := &p.reader
	if p.r.now >= p.nextRead() {
		p.read()
	}
	if p.r.now < q.relayDue {
		return
	}
	q.relayDue = p.r.now + p.limitPart(min(relayPermille<<min(q.relays, 8), maxRelayPermille))
	if peer, ok := p.relay(); ok {
		q.relays++
		p.r.members.sendProbe(peer, pendingProbe{purpose: probeConfirm}, nil, relayTimeout)
	}
}

// read reads the tables, in full if that is due or if a table is not in force.
func (p *settings) read() {
	q := &p.reader
	config, keys := p.config.version, p.keys.version
	if q.compareDue > 0 && p.r.now >= q.compareDue {
		q.compareDue, q.fullDue = 0, p.r.now
	}
	if p.r.now >= q.fullDue || p.config.readRevision == 0 || p.keys.readRevision == 0 {
		config, keys = 0, 0
	}
	q.sent, q.due = p.r.now, p.r.now+p.limitPart(hedgePermille)<<q.pending
	q.pending++
	p.r.fx.LoadTables(config, keys)
}

// relay returns the peer from which to request a confirmation, if this node needs one.
// The member of lowest rank needs one only while its own reads fail.
func (p *settings) relay() (jackdawbridge.Peer, bool) {
	q := &p.reader
	parent, ok := p.r.members.parent()
	stale := p.confirmedAge() >= p.limitPart(staleRelayPermille)
	if ok && (!stale || q.relays%2 == 0) {
		return parent, true
	}
	if peers := p.r.members.random(1); stale && len(peers) > 0 {
		return peers[0], true
	}
	return jackdawbridge.Peer{}, false
}

// relayed handles the answer of a peer whose tables were confirmed the given time ago, and
// whether this node's confirmation became newer by it. The next one is expected once the
// peer's has the age at which the member of lowest rank reads.
func (p *settings) relayed(age jackdawbridge.Millis, newer bool) {
	q := &p.reader
	q.answered = p.r.now
	if newer {
		q.relays = 0
		q.relayDue = p.r.now + max(p.limitPart(readPermille)-age, 0) + p.limitPart(relayPermille)
	}
}

// tablesLoaded handles the result of a read of both tables.
func (p *settings) tablesLoaded(e *jackdawbridge.TablesLoaded) {
	q := &p.reader
	q.pending = max(q.pending-1, 0)
	q.ended = true
	if e.Status() != jackdawbridge.StoreOK {
		p.readFailed()
		return
	}
	q.due = p.r.now
	q.retryWait = storeRetry
	for _, record := range e.Records() {
		s := p.state(record.Name())
		if !record.Unchanged() {
			q.fullDue = e.Started() + q.fullInterval
		}
		if p.recordRead(s, record, "read") {
			p.confirmAt(s, e.Started())
		} else {
			q.due = p.r.now + p.retryInterval()
		}
	}
}

// retryInterval returns the time to the next read after one that has not confirmed the
// tables. A node without a table relies on the watchers, who send it, unless it is one.
func (p *settings) retryInterval() jackdawbridge.Millis {
	switch {
	case (p.config.table == nil || p.keys.table == nil) && !p.watches():
		return missingTableInterval
	case p.r.members.hashRank <= 2 || p.r.now-p.reader.answered > p.applyLimit():
		return p.r.members.jitter(p.limitPart(readRetryPermille))
	}
	return p.r.members.jitter(p.limitPart(relyingRetryPermille) * max(1, jackdawbridge.Millis(p.r.members.size()/maxRetrying)))
}

// readFailed schedules the next read after one that failed. The wait doubles with each
// failure only while this node has no table.
func (p *settings) readFailed() {
	q := &p.reader
	for _, s := range p.tables() {
		p.refuse(s, unanswered, 0)
	}
	if p.config.table == nil || p.keys.table == nil {
		q.due = p.r.now + p.r.members.jitter(q.retryWait)
		q.retryWait = min(q.retryWait*2, maxStoreRetry)
		return
	}
	q.due = p.r.now + p.retryInterval()
}
