package reducer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxRemoteCentres bounds the number of other data centres that a node tracks.
	maxRemoteCentres = 16
	// maxPerService bounds the members of another data centre that a node keeps for
	// each service that it calls.
	maxPerService = 8
	// maxContacts bounds the members of another data centre that a node keeps although
	// it does not call their service. Without them it could not reach a data centre of
	// which it calls no service.
	maxContacts = 8
	// requestedFor is how long after the last call of a service a node continues to
	// request the members of that service from other data centres.
	requestedFor = 10 * 60 * jackdawbridge.Second
	// refreshInterval is the mean time between two requests for the members of a
	// data centre. With 10 services of 8 members at 100 bytes in 4 data centres
	// this costs 1.1 KB a second.
	refreshInterval = 30 * jackdawbridge.Second
	// contactInterval is the mean time between two probes of a data centre.
	contactInterval = 5 * jackdawbridge.Second
	// unreachableAfter is the number of unanswered probes in a row after which a
	// data centre counts as unreachable. When one message in five is lost, one
	// probe in three stays unanswered.
	unreachableAfter = 5
	// contactTimeout is the timeout of a probe of a data centre. After a timeout the next
	// probe is sent at once, until the data centre counts as unreachable.
	contactTimeout = jackdawbridge.Second
	// staleAfter is how long a member of a service that is not called is kept after
	// its last message or its last listing in an answer.
	staleAfter = 5 * refreshInterval
)

// remoteCentre holds what this node has learned about another data centre.
type remoteCentre struct {
	name       jackdawbridge.DataCentre
	list       memberList // members of the data centre that this node keeps, bounded by room
	services   serviceIndex
	missed     int                  // unanswered probes in a row
	due        jackdawbridge.Millis // time of the next probe or, without members, of the next read of a seed record
	refreshDue jackdawbridge.Millis // time of the next request for members
	nextHolder int                  // holder of a seed record that is next requested to send members, counted over all of them
}

// unreachable reports whether the data centre counts as unreachable.
func (g *remoteCentre) unreachable() bool { return g.missed >= unreachableAfter }

// remoteCentres holds a bounded subset of the members of other data centres.
type remoteCentres struct {
	r         *Reducer
	known     map[jackdawbridge.Instance]*member
	list      []*remoteCentre                                    // the other data centres, at most maxRemoteCentres
	requested map[jackdawbridge.ServiceName]jackdawbridge.Millis // when each service was last called, at most MaxRequestedServices
}

func newRemoteCentres(r *Reducer) remoteCentres {
	return remoteCentres{
		r: r, known: make(map[jackdawbridge.Instance]*member),
		requested: make(map[jackdawbridge.ServiceName]jackdawbridge.Millis),
	}
}

func (q *remoteCentres) find(dc jackdawbridge.DataCentre) *remoteCentre {
	for _, g := range q.list {
		if g.name == dc {
			return g
		}
	}
	return nil
}

// follow returns the state of another data centre and adds it if it is new. It
// returns nil for this node's data centre and above maxRemoteCentres.
func (q *remoteCentres) follow(dc jackdawbridge.DataCentre) *remoteCentre {
	if g := q.find(dc); g != nil {
		return g
	}
	if dc == "" || dc == q.r.self.DataCentre() || len(q.list) >= maxRemoteCentres {
		return nil
	}
	g := &remoteCentre{name: dc, services: newServiceIndex()}
	// The first read of a seed record is delayed, since the lists from peers of this
	// data centre usually name members of the new one, see appendKnown. That saves
	// the platform a read.
	g.due = q.r.now + q.r.members.jitter(2*jackdawbridge.Second)
	q.list = append(q.list, g)
	return g
}

func (q *remoteCentres) unreachable(dc jackdawbridge.DataCentre) bool {
	g := q.find(dc)
	return g != nil && g.unreachable()
}

func (q *remoteCentres) members(dc jackdawbridge.DataCentre) memberList {
	g := q.find(dc)
	if g == nil || g.unreachable() {
		return nil
	}
	return g.list
}

// contacts returns one random member of each other data centre.
func (q *remoteCentres) contacts() []*member {
	var list []*member
	for _, g := range q.list {
		if len(g.list) > 0 {
			list = append(list, g.list[q.r.members.draw(len(g.list))])
		}
	}
	return list
}

// upstreams appends the members of reachable other data centres that serve a
// service, and records that the service is called.
func (q *remoteCentres) upstreams(list []jackdawbridge.Peer, service jackdawbridge.ServiceName) []jackdawbridge.Peer {
	if _, ok := q.requested[service]; ok {
		q.requested[service] = q.r.now
	} else if len(q.list) > 0 && len(q.requested) < jackdawbridge.MaxRequestedServices {
		q.requested[service] = q.r.now
		for _, g := range q.list {
			g.refreshDue = q.r.now
		}
	}
	for _, g := range q.list {
		if !g.unreachable() {
			list = g.services.append(list, service)
		}
	}
	return list
}

// observe records that a message arrived from a peer of another data centre.
func (q *remoteCentres) observe(from jackdawbridge.Peer) {
	if g := q.follow(from.DataCentre()); g != nil {
		if g.unreachable() {
			q.r.fx.Log(jackdawbridge.PartMember, "data centre is reachable again").Str("data_centre", string(g.name))
		}
		g.missed = 0
		q.learn(g, from)
	}
}

// applyRumor handles a rumor about a member of another data centre.
func (q *remoteCentres) applyRumor(rumor jackdawbridge.Rumor) {
	g := q.follow(rumor.Peer().DataCentre())
	if g != nil && rumor.Liveness() != jackdawbridge.Dead {
		q.learn(g, rumor.Peer())
	}
}

// learn updates a member, or adds it if there is room.
func (q *remoteCentres) learn(g *remoteCentre, peer jackdawbridge.Peer) {
	m, ok := q.known[peer.Node().Instance()]
	switch {
	case !ok && !q.room(g, peer):
		return
	case !ok:
		m = &member{}
		q.known[peer.Node().Instance()] = m
		g.list.add(m)
	case m.peer.DataCentre() != g.name,
		peer.Node().Incarnation() < m.peer.Node().Incarnation(),
		peer.Node() == m.peer.Node() && peer.Version() < m.peer.Version():
		return
	case peer.Node() != m.peer.Node():
		q.r.routes.forget(m.peer.Node())
		q.r.authority.nodeExited(m.peer.Node())
	}
	m.lastSeen = q.r.now
	if m.peer != peer {
		m.peer = peer
		g.services.set(peer, peer.State().AcceptsRequests())
	}
}

// room reports whether the bounds allow one more member with the service of peer.
func (q *remoteCentres) room(g *remoteCentre, peer jackdawbridge.Peer) bool {
	if _, ok := q.requested[peer.Service()]; ok {
		return g.services.count(peer.Service()) < maxPerService
	}
	others := 0
	for _, m := range g.list {
		if _, ok := q.requested[m.peer.Service()]; !ok {
			others++
		}
	}
	return others < maxContacts
}

// listReceived handles a list of members from another data centre. Each list for this
// node has the same members of a service while they are live, so a member of a
// requested service that is not listed is dropped at once. Other members are dropped
// after staleAfter.
func (q *remoteCentres) listReceived(from jackdawbridge.Peer, rumors []jackdawbridge.Rumor) {
	g := q.find(from.DataCentre())
	if g == nil {
		return
	}
	listed := make(map[jackdawbridge.Instance]bool, len(rumors))
	for _, rumor := range rumors {
		if rumor.Peer().DataCentre() == g.name {
			listed[rumor.Peer().Node().Instance()] = true
		}
	}
	for i := len(g.list) - 1; i >= 0; i-- {
		m := g.list[i]
		_, wanted := q.requested[m.peer.Service()]
		if !listed[m.peer.Node().Instance()] && (wanted || q.r.now-m.lastSeen > staleAfter) {
			q.drop(g, m)
		}
	}
	for _, rumor := range rumors {
		if listed[rumor.Peer().Node().Instance()] {
			q.applyRumor(rumor)
		}
	}
}

func (q *remoteCentres) drop(g *remoteCentre, m *member) {
	g.list.remove(m)
	g.services.set(m.peer, false)
	delete(q.known, m.peer.Node().Instance())
	q.r.routes.forget(m.peer.Node())
}

// exited drops a process of another data centre that is proven to have exited.
func (q *remoteCentres) exited(node jackdawbridge.Node) {
	m, ok := q.known[node.Instance()]
	if !ok || m.peer.Node() != node {
		return
	}
	q.drop(q.find(m.peer.DataCentre()), m)
	q.r.authority.nodeExited(node)
}

// membersFor returns the members to list in an answer to a node of another data
// centre: the first maxPerService members by rendezvous hash of each service that
// the node calls, and a few others.
func (q *remoteCentres) membersFor(to jackdawbridge.Peer, services []jackdawbridge.ServiceName) []jackdawbridge.Rumor {
	p := &q.r.members
	list := []jackdawbridge.Rumor{jackdawbridge.NewRumor(q.r.self, jackdawbridge.Alive)}
	for _, m := range p.sample(p.live, maxContacts-1, nil) {
		list = append(list, jackdawbridge.NewRumor(m.peer, jackdawbridge.Alive))
	}
	for _, service := range services[:min(len(services), jackdawbridge.MaxRequestedServices)] {
		peers := p.services.append(nil, service)
		slices.SortFunc(peers, func(a, b jackdawbridge.Peer) int {
			return cmp.Compare(rendezvousHash(to, a), rendezvousHash(to, b))
		})
		for _, peer := range peers[:min(len(peers), maxPerService)] {
			list = append(list, jackdawbridge.NewRumor(peer, jackdawbridge.Alive))
		}
	}
	return list
}

// rendezvousHash orders the members of a service differently for each requesting
// node, so that the load from other data centres spreads over all members.
func rendezvousHash(to, peer jackdawbridge.Peer) uint64 {
	return xxhash.Sum64String(string(to.Node().Instance()) + "/" + string(peer.Node().Instance()))
}

// appendKnown appends a few members of each other data centre to a full list, for
// nodes that join.
func (q *remoteCentres) appendKnown(list []jackdawbridge.Rumor) []jackdawbridge.Rumor {
	for _, g := range q.list {
		for _, m := range q.r.members.sample(g.list, maxContacts, nil) {
			list = append(list, jackdawbridge.NewRumor(m.peer, jackdawbridge.Alive))
		}
	}
	return list
}

// probeFailed records that a probe of a data centre was not answered.
func (q *remoteCentres) probeFailed(dc jackdawbridge.DataCentre) {
	g := q.find(dc)
	if g == nil {
		return
	}
	g.missed++
	if g.missed == unreachableAfter {
		q.r.fx.Warn(jackdawbridge.PartMember, "data centre declared unreachable: no answer to probes").Str("data_centre", string(dc))
	}
	if !g.unreachable() {
		g.due = min(g.due, q.r.now)
	}
}

// resetAfterFreeze drops the counts of unanswered probes, and probes each data centre
// again, after the process was frozen.
func (q *remoteCentres) resetAfterFreeze() {
	for _, g := range q.list {
		g.missed = 0
		g.due = q.r.now
	}
}

func (q *remoteCentres) wake() jackdawbridge.Millis {
	wake := never
	for _, g := range q.list {
		wake = min(wake, g.due)
		if len(g.list) > 0 {
			wake = min(wake, g.refreshDue)
		}
	}
	return wake
}

// tick probes the other data centres and requests their members at intervals. If
// this node has no member of a data centre, it scans the seed records.
func (q *remoteCentres) tick() {
	for _, g := range q.list {
		if len(g.list) > 0 && q.r.now >= g.refreshDue {
			q.requestMembers(g)
		}
		if q.r.now < g.due {
			continue
		}
		g.due = q.r.now + q.r.members.jitter(contactInterval)
		if len(g.list) == 0 {
			if q.r.now-q.r.members.seeds.scanSent >= contactInterval/2 {
				q.r.members.scanSeeds()
			}
			continue
		}
		target := g.list[q.r.members.draw(len(g.list))].peer
		q.r.members.sendProbe(target, pendingProbe{purpose: probeRemote}, nil, contactTimeout)
	}
}

// requestMembers requests the members of the services that this node calls from a
// random member of a data centre. It drops services not called for requestedFor.
func (q *remoteCentres) requestMembers(g *remoteCentre) {
	g.refreshDue = q.r.now + q.r.members.jitter(refreshInterval)
	services := make([]jackdawbridge.ServiceName, 0, len(q.requested))
	for name, at := range q.requested {
		if q.r.now-at > requestedFor {
			delete(q.requested, name)
			continue
		}
		services = append(services, name)
	}
	slices.Sort(services)
	q.r.send(g.list[q.r.members.draw(len(g.list))].peer, jackdawbridge.NewServiceMembersRequest(services))
}
