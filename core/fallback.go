package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/tree"
)

// settleTime is the time for which a root that can't read the platform waits
// for members with a newer version before it serves.
const settleTime = 2 * joinTimeout

// startFallback looks for a parent without the platform: first the last known
// lease holder, then the members of the data centre that rank higher, then the
// seeds. No cycle can form, since a node joins only a root or a node that ranks
// higher, and never a node below itself.
func (s *State) startFallback() {
	m := &s.member
	m.candidates, m.higherAnswered = nil, false
	add := func(address string) {
		if address != "" && address != s.cfg.Peer {
			m.candidates = append(m.candidates, address)
		}
	}
	if rec, ok := m.lease.Record(); ok {
		add(rec.Address)
	}
	known := map[string]bool{}
	higher := []string{}
	for _, row := range s.table.Rows() {
		known[row.Peer] = true
		if s.isCandidate(row.Entry) && tree.Compare(s.cfg.DataCentre, row.ID, s.cfg.Node) < 0 {
			higher = append(higher, row.ID)
		}
	}
	for _, id := range tree.Rank(s.cfg.DataCentre, higher) {
		row, _ := s.table.Get(id)
		add(row.Peer)
	}
	for _, address := range s.cfg.Seeds {
		if !known[address] {
			add(address)
		}
	}
	m.inFallback = true
	s.dialNextCandidate()
}

func (s *State) isCandidate(e endpoint.Entry) bool {
	return e.DataCentre == s.cfg.DataCentre && e.ID != s.cfg.Node && e.Live()
}

// candidateAddresses returns the addresses of the possible parents for which
// wanted is true, in order of ID.
func (s *State) candidateAddresses(wanted func(endpoint.Row) bool) []string {
	var addresses []string
	for _, row := range s.table.Rows() {
		if s.isCandidate(row.Entry) && wanted(row) {
			addresses = append(addresses, row.Peer)
		}
	}
	return addresses
}

// dialNextCandidate dials the next candidate. When none is left after a search
// without the platform, this node acts as root, unless a candidate answered that
// may become root itself.
func (s *State) dialNextCandidate() {
	m := &s.member
	if len(m.candidates) > 0 {
		address := m.candidates[0]
		m.candidates = m.candidates[1:]
		s.dialParent(address)
		return
	}
	withoutPlatform, higherAnswered := m.inFallback, m.higherAnswered
	m.inFallback = false
	switch {
	case m.phase == phaseRoot:
		return
	case withoutPlatform && !higherAnswered:
		s.actAsRoot()
	default:
		s.restartSeeking(s.cfg.LeaseRenew)
	}
}

// actAsRoot makes this node a root without a lease, because the platform is
// unreachable and no member that ranks higher answers.
func (s *State) actAsRoot() {
	s.log(notice.RootWithoutLease, Attr{"dataCentre", s.cfg.DataCentre})
	s.enterRoot(true)
}

// fallbackTick periodically checks, on a root without a lease, whether the
// platform is reachable again or there is another root to join. Links to
// children stay open.
func (s *State) fallbackTick() {
	m := &s.member
	if !s.root.withoutLease || m.leaseReadPending || m.parent != 0 || s.now.Before(m.retryAt) {
		return
	}
	m.retryAt = s.now.Add(s.cfg.LeaseRenew + s.jitter(s.cfg.LeaseRenew))
	s.dialUnlinkedMember()
	s.readRootLease()
}

// searchRootAtOnce lets a root without a lease look for the root at its next tick: one
// that started while the platform was unreachable knows no other node, and no caller's
// request from elsewhere reaches it, until it has read the root's address there.
func (s *State) searchRootAtOnce() {
	if s.root.withoutLease {
		s.member.retryAt = s.now
	}
}

// dialUnlinkedMember dials, in turn, a member without a link to this root. It may
// have restarted without an entry for this root and be in the tree of another
// one. Of the two roots the one that ranks lower then joins the other.
func (s *State) dialUnlinkedMember() {
	linked := s.linkedNodes()
	addresses := s.candidateAddresses(func(row endpoint.Row) bool { return !linked[row.ID] })
	if len(addresses) == 0 {
		return
	}
	try := s.root.lookupTries[s.cfg.DataCentre]
	s.root.lookupTries[s.cfg.DataCentre]++
	s.links[s.dial(addresses[try%len(addresses)], roleRoot)].dc = s.cfg.DataCentre
}

// newestVersionKnown reports whether this node knows which version it must hold
// before it serves.
func (s *State) newestVersionKnown() bool {
	switch {
	case s.source.everListed:
		return true
	case s.member.phase == phaseJoined:
		return s.member.rooted
	case s.member.phase != phaseRoot:
		return false
	case s.root.headRead:
		return true
	}
	return (s.root.withoutLease || s.platform.down) && s.now.Sub(s.root.since) >= settleTime
}

// updateCurrent sets current once the node holds the newest version known to its
// root or, without root and platform, to any member that it has a message from.
func (s *State) updateCurrent() {
	m := &s.member
	if m.current || s.configVersion() < m.newestVersion || !s.newestVersionKnown() {
		return
	}
	m.current = true
	s.log(notice.NodeReady, Attr{"version", s.configVersion()})
	s.notifyChildren()
}

// notCurrentReason returns why the node does not serve yet.
func (s *State) notCurrentReason() string {
	switch {
	case s.member.phase == phaseRoot && !s.newestVersionKnown():
		return "acts as root and asks for the newest version"
	case s.member.phase != phaseRoot && !s.rooted():
		return "has found no root yet"
	}
	return "has not caught up with its root yet"
}
