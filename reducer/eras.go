package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// eraSpread is the time over which nodes spread the reads that follow a return of the
	// store.
	eraSpread = jackdawbridge.Second
	// eraQuiet is how long after a return no node changes the range record. In this time
	// the newest record that any member has spreads, since the store may have lost it.
	eraQuiet = 2 * jackdawbridge.Second
	// eraInformWait bounds how long a new process waits until a peer reports whether the
	// store has come back lately.
	eraInformWait = jackdawbridge.Second
	// firstEra is the era of a store that has not come back from an older copy yet.
	firstEra = 1
)

// eras knows the era of the platform's store. The store begins a new era when it comes
// back from an older copy of its records: what was written since is gone, and versions of
// the earlier era match no record any more. Each answer names the era, and members pass it
// on with their digests, so that nodes without calls to the store notice it too.
type eras struct {
	r        *Reducer
	current  uint64               // highest era known, 0 if none or if the store has no eras; never falls
	known    bool                 // the store has answered this process, or a peer has named an era
	returned jackdawbridge.Millis // when the last return known was first noticed, 0 if none is known
	informed bool                 // this process would know of a return within departureTime, by itself or from a peer
}

func newEras(r *Reducer, firstStart bool) eras { return eras{r: r, informed: firstStart} }

// answered handles the era of an answer of the store. An answer of an earlier era counts as
// none, since its record or write may be gone.
func (p *eras) answered(e jackdawbridge.StoreResult) {
	switch {
	case e.Era() < p.current:
		e.Discard()
	case e.Era() == p.current:
		p.known = p.known || e.Status() != jackdawbridge.StoreFailed
	case !p.known:
		p.current, p.known = e.Era(), true
	default:
		p.begin(e.Era(), p.r.now, jackdawbridge.Node{})
	}
}

// observe handles what a peer knows of the eras.
func (p *eras) observe(from jackdawbridge.Node, digest jackdawbridge.EraDigest) {
	returned := jackdawbridge.Millis(0)
	if digest.SinceReturn() > 0 {
		returned = max(p.r.now-digest.SinceReturn(), 1)
	}
	switch {
	case digest.Current() == 0:
		return
	case digest.Current() < p.current:
		if p.returned == 0 { // the peer has not noticed the return yet, so it was a moment ago
			p.returned, p.informed = p.r.now, true
		}
		return
	case !p.known:
		p.current, p.known, p.returned = digest.Current(), true, returned
	case digest.Current() > p.current:
		if returned == 0 {
			returned = p.r.now
		}
		p.begin(digest.Current(), returned, from)
	case p.returned == 0:
		p.returned = returned
	}
	p.informed = p.informed || digest.Informed()
}

// begin starts a new era. Each part marks what the store may have lost.
func (p *eras) begin(era uint64, returned jackdawbridge.Millis, from jackdawbridge.Node) {
	p.r.fx.Warn(jackdawbridge.PartSettings, "the store came back from an older copy: its records are read again and lost ones are written again").
		About("", from).Int("era", int64(era)).Int("before", int64(p.current))
	p.current, p.known, p.returned, p.informed = era, true, returned, true
	p.r.settings.eraBegan()
	p.r.members.eraBegan()
	p.r.authority.eraBegan()
	p.r.departures.eraBegan()
}

// lost reports whether a departure may be missing from the store although it was stored
// and is still to be remembered.
func (p *eras) lost() bool {
	switch {
	case p.current == 0:
		return false
	case p.returned == 0 && p.informed:
		return false
	}
	return p.r.now < p.lostUntil()
}

// absenceProvenAt returns from when on a record that the store does not have cannot be one
// that it has lost and that other nodes still act by. A process that no peer informs takes
// any era but 0 for one that began a moment ago.
func (p *eras) absenceProvenAt() jackdawbridge.Millis {
	switch {
	case p.returned > 0:
		return p.returned + departureTime
	case p.current == 0 || p.informed:
		return 0
	}
	return p.r.started + departureTime
}

// lostUntil returns when lost becomes false at the latest. A process that no peer informs
// cannot know when the store came back.
func (p *eras) lostUntil() jackdawbridge.Millis {
	switch {
	case p.returned > 0:
		return p.returned + departureTime
	case p.current > firstEra:
		return p.r.started + departureTime
	}
	return p.r.started + eraInformWait
}

// digest returns what this node knows of the eras, for its peers.
func (p *eras) digest() jackdawbridge.EraDigest {
	since := jackdawbridge.Millis(0)
	if p.returned > 0 {
		since = max(p.r.now-p.returned, 1)
	}
	return jackdawbridge.NewEraDigest(p.current, p.informed || p.r.now-p.r.started >= departureTime, since)
}
