package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/lease"
)

// memberPhase is the state of a node's membership in the tree of its data
// centre.
type memberPhase uint8

const (
	phaseSeeking memberPhase = iota // looking for a parent
	phaseJoining                    // has dialled a possible parent
	phaseJoined                     // has a parent
	phaseRoot                       // is the root
)

func (p memberPhase) String() string {
	return [...]string{phaseSeeking: "seeking", phaseJoining: "joining", phaseJoined: "joined", phaseRoot: "root"}[p]
}

// joinTimeout is the longest time from a dial to the Welcome.
const joinTimeout = 3 * time.Second

// member is the state of the node as a member of the tree of its data centre.
type member struct {
	phase              memberPhase
	phaseSince         time.Time // when phase was entered
	retryAt            time.Time // when the next attempt to find a parent is due
	leaseReadPending   bool      // a read of the root lease is in progress
	lease              *lease.Machine
	parent             LinkID
	dialledAt          time.Time // when parent was dialled
	dialledAddress     string    // address of the possible parent last dialled
	unresponsiveHolder string    // address
	path               []string  // names of the nodes above this one, from the parent to the root
	rooted             bool      // the path ends at a root and all nodes on it are current
	newestVersion      uint64    // newest configuration version known to exist
	current            bool      // the node has held newestVersion at least once, so it may serve
	reports            reportState

	candidates     []string             // addresses of possible parents to dial before the lease is read again
	rootBypassed   bool                 // other members are dialled because the root did not answer
	inFallback     bool                 // candidates were listed without the platform; if all fail, this node acts as root
	higherAnswered bool                 // a candidate that may rank higher answered but could not accept a child yet
	census         uint64               // number of the last census answered
	present        []string             // names of nodes that answered the census, to be sent to the parent
	collectedAt    time.Time            // when tombstones were last collected
	lost           map[string]lostChild // children that left, by node
	graceElapsed   bool                 // phase has lasted for at least rejoinGrace
}

func newMember(cfg Config) member {
	return member{lost: map[string]lostChild{}, lease: lease.New(cfg.lease())}
}

func (s *State) setPhase(p memberPhase) {
	if s.member.phase == p {
		return
	}
	s.member.phase, s.member.phaseSince, s.member.graceElapsed = p, s.now, false
}

// path returns the names of the nodes from this one to its root.
func (s *State) path() []string {
	return append([]string{s.cfg.Node}, s.member.path...)
}

// rooted reports whether the path ends at a root and all nodes on it,
// including this one, are current.
func (s *State) rooted() bool {
	return s.member.current && (s.member.phase == phaseRoot || s.member.phase == phaseJoined && s.member.rooted)
}

func (s *State) memberTick() {
	m := &s.member
	s.lostTick()
	if m.parent != 0 && m.phase != phaseJoined && s.now.Sub(m.dialledAt) > joinTimeout {
		s.drop(m.parent, "no answer to Hello")
	}
	if m.phase != phaseSeeking || s.now.Before(m.retryAt) || m.leaseReadPending {
		return
	}
	if len(m.candidates) > 0 {
		s.dialNextCandidate()
		return
	}
	s.readRootLease()
}

// dialParent dials the node at an address to become its child. A root that
// does so stays root until it receives a Welcome.
func (s *State) dialParent(address string) {
	m := &s.member
	if m.phase != phaseRoot {
		s.setPhase(phaseJoining)
	}
	m.dialledAt, m.dialledAddress = s.now, address
	m.parent = s.dial(address, roleParent)
}

// restartSeeking clears the parent and schedules a new search for one after a
// random wait below limit.
func (s *State) restartSeeking(limit time.Duration) {
	m := &s.member
	s.setPhase(phaseSeeking)
	m.parent, m.path, m.rooted = 0, nil, false
	m.candidates, m.inFallback = nil, false
	m.retryAt = s.now.Add(s.jitter(limit))
	s.notifyChildren()
}

// retrySeeking schedules another search within JoinJitter. A root that looks
// for a root to join stays root.
func (s *State) retrySeeking() {
	if s.member.phase == phaseSeeking {
		s.restartSeeking(s.cfg.JoinJitter)
	}
}

// parentLost handles the end of the link to the parent. While joining, the next
// candidate is dialled. A node that had joined first dials its grandparent,
// which has a free slot now and can redirect to others, so that the children of
// a lost parent do not all go to the root.
func (s *State) parentLost(id LinkID) {
	m := &s.member
	if m.parent != id {
		return
	}
	m.parent = 0
	if m.phase != phaseJoined {
		if rec, _ := m.lease.Record(); rec.Address == m.dialledAddress {
			m.unresponsiveHolder = m.dialledAddress
		}
		s.candidateFailed()
		return
	}
	above := m.path[min(1, len(m.path)):]
	s.restartSeeking(s.cfg.JoinJitter)
	if len(above) == 0 {
		return
	}
	if row, ok := s.table.Get(above[0]); ok && row.Live() {
		m.candidates = []string{row.Peer}
	}
}

// holderRefused handles a refused dial of the node that holds the root lease: its process has
// ended. The lease is read again after a random wait, so that of all members that notice one
// takes it and the others find that one.
func (s *State) holderRefused(id LinkID) {
	m := &s.member
	rec, known := m.lease.Record()
	if s.platform.down || m.inFallback {
		return // the lease can't be taken, other members are asked
	}
	if m.parent != id || m.phase != phaseJoining || !known || rec.Address != m.dialledAddress || s.cfg.treeFaults.noTakeover {
		return
	}
	m.lease.HolderEnded()
	s.restartSeeking(s.cfg.JoinJitter)
}

func (s *State) candidateFailed() {
	switch {
	case len(s.member.candidates) > 0 || s.member.inFallback:
		s.dialNextCandidate()
	case s.member.phase != phaseRoot:
		if others := s.alternativeParents(); len(others) > 0 {
			s.restartSeeking(s.cfg.JoinJitter)
			s.member.candidates = others
			return
		}
		s.awaitLeaseExpiry()
	}
}

// maxAlternatives is the number of members dialled when the lease holder can't
// be reached but the platform can.
const maxAlternatives = 2

// alternativeParents returns the addresses of members to dial when the root did
// not answer. Every second call returns none, so that the lease is read again.
func (s *State) alternativeParents() []string {
	m := &s.member
	m.rootBypassed = !m.rootBypassed
	if !m.rootBypassed {
		return nil
	}
	addresses := s.candidateAddresses(func(row endpoint.Row) bool { return row.Peer != m.unresponsiveHolder })
	s.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxAlternatives, len(addresses))]
}

// awaitLeaseExpiry schedules the next search for the time at which the lease of
// an unreachable root expires, and one search before that, by which time the
// holder may be reachable again or may have been replaced. More reads in
// between would give no new information.
func (s *State) awaitLeaseExpiry() {
	left := s.member.lease.ExpiresIn(s.now)
	if half := left / 2; half > s.cfg.LeaseRenew {
		left = half
	}
	s.restartSeeking(s.cfg.JoinJitter)
	s.member.retryAt = s.member.retryAt.Add(left)
}

func (s *State) childLost(l *link) {
	s.trackLostChild(l)
	s.scheduleReport()
}

func (s *State) children() []LinkID {
	var out []LinkID
	for _, id := range sortedLinks(s.links) {
		if s.links[id].role == roleChild {
			out = append(out, id)
		}
	}
	return out
}
