package reducer

import "github.com/jackdawbridge/jackdawbridge"

// evacuationPermille is how long the nodes of an evacuated data centre still pass requests
// to their backend servers, in thousandths of the limit for changes. The other nodes learn
// of the evacuation at about the same time and send no more.
const evacuationPermille = 500

// evacuation is the part that keeps requests from the backend servers of evacuated data
// centres. The entries of the config table say which they are, and come with its reads,
// notices and confirmations. The nodes there go on to accept the requests of callers.
type evacuation struct {
	r     *Reducer
	since jackdawbridge.Millis // when this node learned that its data centre is evacuated, 0 if it is not
	until jackdawbridge.Millis // end of the time in which requests are still passed on; valid while since is set
}

func newEvacuation(r *Reducer) evacuation { return evacuation{r: r} }

// update applies the entries of a new config table. A node that has had none before may have
// been restarted during the evacuation, so it passes on no requests.
func (p *evacuation) update(first bool) {
	p.r.routes.refreshSubsets()
	evacuated := p.r.settings.index.evacuated[p.r.self.DataCentre()]
	switch {
	case evacuated && p.since == 0:
		p.since, p.until = p.r.now, p.r.now
		if !first {
			p.until += p.r.settings.limitPart(evacuationPermille)
		}
		p.r.fx.Warn(jackdawbridge.PartDrain, "data centre is evacuated: its backend servers get no new requests").
			Str("data_centre", string(p.r.self.DataCentre())).Int("running", int64(p.r.runs.running)).Int("waiting", int64(p.r.runs.queue.Len()))
	case !evacuated && p.since != 0:
		p.r.fx.Log(jackdawbridge.PartDrain, "evacuation of the data centre has ended").
			Str("data_centre", string(p.r.self.DataCentre())).Duration("lasted_ms", p.r.now-p.since)
		p.since = 0
		p.r.warmup.evacuationEnded()
	}
}

// refusesRuns reports whether forwarded requests that are not yet running are refused as
// not run. The drain part refuses those that wait.
func (p *evacuation) refusesRuns() bool { return p.since != 0 && p.r.now >= p.until }

func (p *evacuation) wake() jackdawbridge.Millis {
	if p.since == 0 || p.r.now >= p.until {
		return never
	}
	return p.until
}
