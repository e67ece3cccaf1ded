package core

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/tree"
)

// leasesListed learns the other roots, whether this node is still the one of
// its data centre, and who publishes.
func (s *State) leasesListed(done StoreDone) {
	s.root.listPending = false
	if done.Err != StoreOK {
		s.root.nextList = s.now.Add(s.cfg.LeaseRenew)
		s.platformFailed(done)
		return
	}
	s.root.nextList = s.now.Add(s.listInterval())
	others := map[string]lease.Record{}
	publisherSeen := false
	for _, o := range done.Objects {
		var rec lease.Record
		if json.Unmarshal(o.Data, &rec) != nil {
			continue
		}
		dc, isRoot := strings.CutPrefix(o.Key, keyspace.RootLeases)
		switch {
		case o.Key == keyspace.PublisherLease:
			publisherSeen = true
			s.publisher.lease.Observe(s.now, rec, o.Version)
		case isRoot && dc == s.cfg.DataCentre:
			s.member.lease.Observe(s.now, rec, o.Version)
		case isRoot:
			others[dc] = rec
		}
	}
	if !publisherSeen {
		s.publisher.lease.Observe(s.now, lease.Record{}, 0)
	}
	if rec, ok := s.member.lease.Record(); ok && rec.Holder != s.cfg.Node {
		s.resignRoot("held by " + rec.Holder)
		return
	}
	sameHolder := func(a, b lease.Record) bool { return a.Holder == b.Holder }
	if !maps.EqualFunc(others, s.root.otherRoots, sameHolder) {
		s.root.nextLinkCheck = time.Time{} // another root: look at the links now
	}
	s.root.otherRoots, s.root.listedAsOf = others, s.root.listSentAt
}

// initialLists is the number of lists in one LeaseRenew of a root that is new.
const initialLists = 8

// listInterval returns the time to the next list of leases. It grows with the
// time as root: roots that begin together find each other's leases soon, and
// in the long run a list costs as much as a renewal.
func (s *State) listInterval() time.Duration {
	age := s.now.Sub(s.member.phaseSince)
	return min(max(age, s.cfg.LeaseRenew/initialLists), s.cfg.LeaseRenew)
}

// linkCheckInterval is the time between two looks at which roots lack a link.
const linkCheckInterval = time.Second

// linkRoots keeps one link to each other root. Of two roots the one whose
// data centre has the smaller name dials, so that one link stands. While the
// platform can't be asked, leases may name nodes that are dead: then either
// side dials members of the other data centre, which know their root.
func (s *State) linkRoots() {
	r := &s.root
	if s.now.Before(r.nextLinkCheck) {
		return
	}
	r.nextLinkCheck = s.now.Add(linkCheckInterval + s.jitter(linkCheckInterval))
	linked := map[string]bool{}
	for _, l := range s.links {
		if l.role == roleRoot {
			linked[l.dc] = true
		}
	}
	leasesStale := r.withoutLease || s.platform.down
	for _, dc := range s.otherDataCentres() {
		if linked[dc] || !leasesStale && s.cfg.DataCentre > dc {
			continue
		}
		if address := s.rootAddress(dc, leasesStale); address != "" {
			s.links[s.dial(address, roleRoot)].dc = dc
		}
	}
}

func (s *State) otherDataCentres() []string {
	seen := map[string]bool{}
	for dc := range s.root.otherRoots {
		seen[dc] = true
	}
	for _, dc := range s.table.DataCentres() {
		seen[dc] = true
	}
	delete(seen, s.cfg.DataCentre)
	return sortedNames(seen)
}

// rootAddress returns where to look for the root of another data centre: at
// the holder of its lease, or in turn at its members.
func (s *State) rootAddress(dc string, leasesStale bool) string {
	rec, known := s.root.otherRoots[dc]
	try := s.root.lookupTries[dc]
	s.root.lookupTries[dc]++
	if known && (!leasesStale || try%2 == 0) {
		return rec.Address
	}
	if !leasesStale {
		return ""
	}
	var members []string
	for _, row := range s.table.Rows() {
		if row.DataCentre == dc && row.Live() {
			members = append(members, row.ID)
		}
	}
	if len(members) == 0 {
		return ""
	}
	row, _ := s.table.Get(tree.Rank(dc, members)[try/2%len(members)])
	return row.Peer
}

// rootHelloReceived answers the root of another data centre. A node that is not a
// root names its own.
func (s *State) rootHelloReceived(id LinkID, l *link, m message.Hello) {
	if m.DataCentre == s.cfg.DataCentre {
		s.send(id, message.Endpoints{Entries: s.selfAndRoot()})
		s.refuseHello(id, l, false)
		return
	}
	if s.member.phase != phaseRoot {
		path := s.path()
		row, ok := s.table.Get(path[len(path)-1])
		if !ok || !s.rooted() {
			s.refuseHello(id, l, false)
			return
		}
		s.send(id, message.Redirect{Peer: row.Peer})
		return
	}
	if !s.resolveDuplicateLinks(id, m) {
		s.refuseHello(id, l, false)
		return
	}
	l.role = roleRoot
	s.acceptLink(id, l, m)
}

// selfAndRoot returns the entries by which another root of the data centre
// learns of this node and its root.
func (s *State) selfAndRoot() []endpoint.Entry {
	out := []endpoint.Entry{s.backend.entry}
	path := s.path()
	if row, ok := s.table.Get(path[len(path)-1]); ok && row.ID != s.cfg.Node {
		out = append(out, row.Entry)
	}
	return out
}

// resolveDuplicateLinks settles which of two links to one root stays when both ends
// dialled at once: the one dialled by the node with the smaller name. Any
// other older link to it is dead.
func (s *State) resolveDuplicateLinks(id LinkID, m message.Hello) bool {
	for _, old := range sortedLinks(s.links) {
		o := s.links[old]
		if old == id || o.role != roleRoot || o.node != m.Node || !o.open || !o.established {
			continue
		}
		if old%2 == 0 && s.cfg.Node < m.Node {
			return false
		}
		s.drop(old, "replaced by a newer link")
	}
	return true
}

func (s *State) rootWelcomeReceived(id LinkID, l *link, m message.Welcome) {
	l.established, l.receivedState = true, m.Heartbeat
	s.send(id, s.subtreeReport())
	s.sendConfig(id, l)
	s.requestIfBehind(id, l)
}

// rootRedirectReceived follows a member of another data centre to its root.
func (s *State) rootRedirectReceived(id LinkID, l *link, address string) {
	dc := l.dc
	s.drop(id, "redirected")
	if s.member.phase != phaseRoot {
		return
	}
	for _, other := range s.links {
		if other.role == roleRoot && other.dc == dc {
			return
		}
	}
	s.links[s.dial(address, roleRoot)].dc = dc
}

func (s *State) otherRootLost(l *link) {
	for _, other := range s.links {
		if other.role == roleRoot && other.dc == l.dc {
			return // another link to that data centre took its place
		}
	}
	delete(s.root.reports, l.dc)
}
