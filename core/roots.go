package core

import (
	"maps"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/tree"
)

// leasesListed applies a list of leases: the roots of the other data centres,
// the holder of this data centre's root lease and that of the publisher lease. If
// another node holds this data centre's lease, this node stops being root.
func (s *State) leasesListed(done StoreDone) {
	s.root.listPending = false
	if done.Err != StoreOK {
		s.root.nextList = s.now.Add(failedListFactor * s.cfg.LeaseRenew)
		s.platformFailed(done)
		return
	}
	s.root.nextList = s.now.Add(s.listInterval())
	others := s.observeLeases(done)
	if rec, ok := s.member.lease.Record(); ok && rec.Holder != s.cfg.Node && !s.member.lease.Outdated() && s.takesLeases() {
		s.resignRoot("held by " + rec.Holder)
		return
	}
	sameHolder := func(a, b lease.Record) bool { return a.Holder == b.Holder }
	if !maps.EqualFunc(others, s.root.otherRoots, sameHolder) {
		s.root.nextLinkCheck = time.Time{} // a root has changed, so check the links now
	}
	s.root.otherRoots, s.root.listedAsOf = others, s.root.listSentAt
}

// observeLeases passes a list of leases on to those of this node, and returns the
// leases of the roots of other data centres.
func (s *State) observeLeases(list StoreDone) map[string]lease.Record {
	others := map[string]lease.Record{}
	publisherSeen, ownSeen := false, false
	for _, o := range list.Objects {
		rec := parseLease(o.Data)
		dc, isRoot := strings.CutPrefix(o.Key, keyspace.RootLeases)
		switch {
		case o.Key == keyspace.PublisherLease:
			publisherSeen = true
			s.publisher.lease.Observe(s.now, rec, o.Version)
		case isRoot && dc == s.cfg.DataCentre:
			ownSeen = true
			s.member.lease.Observe(s.now, rec, o.Version)
		case isRoot && rec.Address != "":
			others[dc] = rec
		}
	}
	if !publisherSeen {
		s.publisher.lease.Missing(s.now, list.Revision)
	}
	if !ownSeen {
		s.member.lease.Missing(s.now, list.Revision)
	}
	return others
}

// failedListFactor is the time to the next list of leases after one that failed, in LeaseRenew.
// Renewals that fail come twice as often as others, and lists make room for them.
const failedListFactor = 2

// initialLists is the number of lists per LeaseRenew that a new root makes.
const initialLists = 8

// listInterval returns the time to the next list of leases. It grows with the
// time as root, up to LeaseRenew: roots that start together find each other's
// leases soon, and later there are no more lists than renewals.
func (s *State) listInterval() time.Duration {
	age := s.now.Sub(s.member.phaseSince)
	return min(max(age, s.cfg.LeaseRenew/initialLists), s.cfg.LeaseRenew)
}

// linkCheckInterval is the shortest time between two checks for roots without a
// link; jitter of up to the same time is added.
const linkCheckInterval = time.Second

// linkRoots keeps one link to each other root. Of two roots the one whose data
// centre has the smaller name dials, so that there is only one link. While the
// platform is unreachable, the known leases may name nodes that no longer run:
// then either side also dials members of the other data centre, which redirect
// to their root.
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

// rootAddress returns the address to dial for the root of another data centre:
// that of its lease holder or, if leases may be stale, alternately that of one of
// its members. It returns "" if no address is known.
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

// rootHelloReceived answers the Hello of another root. A node that is not a root
// redirects it to its own root. A root of the same data centre is sent the
// entries of this node and its root, so that it discovers them.
func (s *State) rootHelloReceived(id LinkID, l *link, m message.Hello) {
	if m.DataCentre == s.cfg.DataCentre {
		s.send(id, message.Endpoints{Entries: s.selfAndRoot()})
		s.refuseHello(id, l, false)
		return
	}
	if s.member.phase != phaseRoot {
		row, ok := s.ownRoot()
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

// ownRoot returns the endpoint of the last node on the path of this node.
func (s *State) ownRoot() (endpoint.Row, bool) {
	path := s.path()
	return s.table.Get(path[len(path)-1])
}

// selfAndRoot returns the endpoint entries of this node and of its root.
func (s *State) selfAndRoot() []endpoint.Entry {
	out := []endpoint.Entry{s.backend.entry}
	if row, ok := s.ownRoot(); ok && row.ID != s.cfg.Node {
		out = append(out, row.Entry)
	}
	return out
}

// resolveDuplicateLinks reports whether a new link to a root is to be kept, and
// closes older links to that root if so. When both ends dialled at the same
// time, the link dialled by the node with the smaller name is kept; any other
// older link is no longer in use at the other end.
func (s *State) resolveDuplicateLinks(id LinkID, m message.Hello) bool {
	for _, old := range sortedLinks(s.links) {
		o := s.links[old]
		if old == id || o.role != roleRoot || o.node != m.Node || !o.open || !o.established {
			continue
		}
		if old%2 == 0 && s.cfg.Node < m.Node { // even: dialled by this node
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

// rootRedirectReceived dials the root to which a member of another data centre
// redirects.
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
			return // another link to that data centre has replaced this one
		}
	}
	delete(s.root.reports, l.dc)
}
