package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// defaultDrainPeriod is the default time for which a draining node or backend
	// server accepts new forwarded requests, while the other nodes learn that it
	// drains.
	defaultDrainPeriod = 2 * jackdawbridge.Second
	// drainMargin is how long before the end of its drain period a backend server gets
	// the last requests. A request needs time to connect and to be read, and
	// what counts is its arrival.
	drainMargin = 250 * jackdawbridge.Millis(1)
	// drainDelay is how long a stopping node continues as an upstream before it
	// announces that it drains. Its backend server keeps running and cannot be reached
	// through another node until the next process is ready: without the delay,
	// overlapping restarts made two of the three backend servers of a service
	// unavailable at once. Clients also need this long to leave the node.
	drainDelay = 1500 * jackdawbridge.Millis(1)
	// defaultStopLimit is the default time for which a stopping node accepts new calls
	// and waits for other nodes to take over its ranges. Calls in progress are not cut
	// off: they end by their deadlines.
	defaultStopLimit = 10 * jackdawbridge.Second
	// defaultGracePeriod is the default time from the request to stop to the exit.
	defaultGracePeriod = 27 * jackdawbridge.Second
	// closeTime is how long before the end of the grace period the last calls are
	// answered. Their answers are written and the listeners closed within it.
	closeTime = 300 * jackdawbridge.Millis(1)
	// withdrawTime is how long before that the node withdraws what is not yet running.
	// It covers the way to an upstream's node and back, when both are loaded.
	withdrawTime = 500 * jackdawbridge.Millis(1)
)

// drain is the part that stops the node without interrupting a request.
//
// Every call and run that is in progress at a stop ends within the grace period:
//
//   - Until stopLimit, new calls are accepted. Later ones are refused as not run.
//   - Until withdrawAt, calls wait for tokens, retries and upstreams as usual. Then those
//     that no upstream has are refused, and the nodes of upstreams refuse those that wait
//     there. Nothing is sent to an upstream any more.
//   - Until abandonAt, calls and runs that a backend server is working on may be answered.
//     Then they are refused, with an unknown outcome.
//   - Until the end of the grace period, answers that have begun are passed on.
//
// A node that is idle requests its exit before that. Its listeners stay open for a while, so
// the timetable also holds for the calls that arrive after the request. Runs are refused
// then: nothing waits for those that come over a link.
type drain struct {
	r             *Reducer
	drainPeriod   jackdawbridge.Millis // how long new forwarded requests are accepted while draining
	stopLimit     jackdawbridge.Millis // how long a stopping node accepts new calls
	stopping      bool
	stoppingSince jackdawbridge.Millis // when the node began to stop
	drainingSince jackdawbridge.Millis // when the node or its backend server began to drain, 0 if neither drains
	runsUntil     jackdawbridge.Millis // end of the time for requests to the backend server; valid while drainingSince is set
	gracePeriod   jackdawbridge.Millis // time from stoppingSince to the exit
	withdrawn     bool                 // nothing is sent to an upstream any more
	abandoned     bool                 // all calls and runs without an answer were refused
	exited        bool                 // the exit of the process was requested
}

func newDrain(r *Reducer, drainPeriod, stopLimit, gracePeriod jackdawbridge.Millis) drain {
	return drain{r: r, drainPeriod: drainPeriod, stopLimit: stopLimit, gracePeriod: gracePeriod}
}

// abandonAt returns when calls and runs that have no answer are refused.
func (p *drain) abandonAt() jackdawbridge.Millis {
	return p.stoppingSince + p.gracePeriod - min(closeTime, p.gracePeriod/4)
}

// withdrawAt returns when calls and runs that no backend server is working on are refused.
func (p *drain) withdrawAt() jackdawbridge.Millis {
	return p.abandonAt() - min(withdrawTime, p.gracePeriod/4)
}

// begin begins to stop the node. Further requests to stop it are ignored.
func (p *drain) begin() {
	if p.stopping {
		return
	}
	p.stopping, p.stoppingSince = true, p.r.now
	p.r.fx.Log(jackdawbridge.PartDrain, "stop requested, node drains").Int("calls_and_runs", int64(p.inProgress()))
	if p.r.self.State() == jackdawbridge.PeerServing {
		p.r.announce(p.r.self.WithState(jackdawbridge.PeerStopping))
	} else {
		p.announceDraining()
	}
	p.r.shares.release()
	p.r.authority.release()
}

// state returns the state that the node announces while its backend server is not
// draining.
func (p *drain) state() jackdawbridge.PeerState {
	switch {
	case !p.stopping:
		return jackdawbridge.PeerServing
	case !p.exited && p.r.now-p.stoppingSince < drainDelay:
		return jackdawbridge.PeerStopping
	}
	return jackdawbridge.PeerDraining
}

// announceDraining announces to the peers that the stopping node drains, so that they
// send it no more requests.
func (p *drain) announceDraining() {
	p.recordState(jackdawbridge.PeerDraining)
	p.r.announce(p.r.self.WithState(jackdawbridge.PeerDraining))
}

// recordState updates drainingSince for the state that the node is about to announce.
func (p *drain) recordState(state jackdawbridge.PeerState) {
	switch {
	case state != jackdawbridge.PeerDraining:
		p.drainingSince = 0
	case p.drainingSince == 0:
		p.drainingSince = p.r.now
		p.runsUntil = p.r.now + p.drainPeriod
	}
}

// recordBackendDrain updates the drain period for a backend server that drains. One
// that drains already when the node learns of it may have been acknowledged by an
// earlier process of the node, so it gets no more requests.
func (p *drain) recordBackendDrain() {
	runsUntil := p.r.now + p.drainPeriod - min(drainMargin, p.drainPeriod/2)
	if p.drainingSince == 0 && p.r.self.State() == jackdawbridge.PeerStarting {
		runsUntil = p.r.now
	}
	p.recordState(jackdawbridge.PeerDraining)
	p.runsUntil = min(p.runsUntil, runsUntil)
}

// refusesRuns reports whether forwarded requests that are not yet running are refused
// as not run.
func (p *drain) refusesRuns() bool {
	return p.withdrawn || p.drainingSince != 0 && p.r.now >= p.runsUntil || p.r.evacuation.refusesRuns()
}

// sendWithin returns the time left to send requests to a backend server that drains or is in
// an evacuated data centre, 0 if there is no limit.
func (p *drain) sendWithin() jackdawbridge.Millis {
	until := never
	if p.drainingSince != 0 {
		until = p.runsUntil
	}
	if p.r.evacuation.since != 0 {
		until = min(until, p.r.evacuation.until)
	}
	if until == never {
		return 0
	}
	return max(until-p.r.now, 1)
}

// over reports whether the drain period has ended.
func (p *drain) over() bool { return p.drainingSince != 0 && p.elapsed() >= p.drainPeriod }

// elapsed returns for how long the node or its backend server has been draining, 0 if
// neither drains.
func (p *drain) elapsed() jackdawbridge.Millis {
	if p.drainingSince == 0 {
		return 0
	}
	return p.r.now - p.drainingSince
}

// refusesCalls reports whether new calls are refused because the node is about to
// exit.
func (p *drain) refusesCalls() bool {
	return p.withdrawn || p.stopping && p.r.now-p.stoppingSince >= p.stopLimit
}

// inProgress returns how many calls and runs are in progress.
func (p *drain) inProgress() int { return len(p.r.calls.active) + len(p.r.runs.active) }

// wake returns the time of the next step of the drain or of the stop.
func (p *drain) wake() jackdawbridge.Millis {
	next := never
	if p.drainingSince != 0 && !p.refusesRuns() {
		next = p.runsUntil
	}
	if !p.stopping {
		return next
	}
	times := [...]jackdawbridge.Millis{p.stoppingSince + p.stopLimit, p.withdrawAt(), p.abandonAt(), p.stoppingSince + p.gracePeriod, 0}
	times[len(times)-1] = p.stoppingSince + drainDelay
	if p.drainingSince != 0 {
		times[len(times)-1] = p.drainingSince + p.drainPeriod
	}
	for _, at := range times {
		if p.r.now < at {
			next = min(next, at)
		}
	}
	return next
}

// tick refuses the waiting requests when no more are sent to the backend server, and
// announces that the node drains when drainDelay has passed. It requests the exit of the
// process when the drain period is over, all calls and runs have ended,
// and either the node's ranges have been taken over or the stop limit has passed. Near the
// end of the grace period it waits for nothing but the answers that are being passed on.
func (p *drain) tick() {
	if p.refusesRuns() {
		p.r.runs.refuseWaiting(jackdawbridge.Draining)
	}
	if !p.stopping {
		return
	}
	if p.drainingSince == 0 && p.r.now-p.stoppingSince >= drainDelay {
		p.announceDraining()
	}
	p.refuseUnanswered()
	if p.exited || !p.mayExit() {
		return
	}
	p.exited = true
	p.r.members.sendLeave()
	p.r.fx.Log(jackdawbridge.PartDrain, "drain finished, node exits")
	p.r.fx.Exit()
}

// refuseUnanswered refuses the calls and runs in progress whose time in the grace period
// has ended.
func (p *drain) refuseUnanswered() {
	if !p.withdrawn && p.r.now >= p.withdrawAt() {
		p.withdrawn = true
		p.r.fx.Log(jackdawbridge.PartDrain, "exit is near: calls and runs that are not at a backend server are refused").
			Int("calls", int64(len(p.r.calls.active))).Int("runs", int64(len(p.r.runs.active)))
		p.r.runs.refuseWaiting(jackdawbridge.Draining)
		p.r.calls.withdraw()
		p.r.fx.Withdraw()
	}
	if !p.abandoned && p.r.now >= p.abandonAt() {
		p.abandoned = true
		if p.inProgress() > 0 {
			p.r.fx.Warn(jackdawbridge.PartDrain, "exit is near: calls and runs without an answer are refused with an unknown outcome").
				Int("calls", int64(len(p.r.calls.active))).Int("runs", int64(len(p.r.runs.active)))
		}
		p.r.runs.abandon()
		p.r.calls.abandon()
	}
}

// mayExit reports whether the process may exit: all calls and runs have ended and the
// node has left the fleet in an orderly way, or its time has ended.
func (p *drain) mayExit() bool {
	switch {
	case p.r.now-p.stoppingSince >= p.gracePeriod:
		return true
	case p.inProgress() > 0:
		return false
	case p.abandoned:
		return true
	}
	return p.over() && (p.r.authority.released() || p.r.now-p.stoppingSince >= p.stopLimit)
}
