package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
)

// memberPhase is where a node stands in the tree of its data centre.
type memberPhase uint8

const (
	phaseSeeking memberPhase = iota // looks for a parent
	phaseJoining                    // has dialled one
	phaseJoined                     // has one
	phaseRoot                       // is the root
)

func (p memberPhase) String() string {
	return [...]string{phaseSeeking: "seeking", phaseJoining: "joining", phaseJoined: "joined", phaseRoot: "root"}[p]
}

// joinTimeout bounds the time from a dial to a Welcome.
const joinTimeout = 3 * time.Second

// member is the node's place in the tree of its data centre.
type member struct {
	phase      memberPhase
	since      time.Time // of the phase
	retryAt    time.Time
	reading    bool // a read of the root lease is under way
	lease      *lease.Machine
	parent     LinkID
	dialAt     time.Time
	dialled    string   // address last asked for a place
	unanswered string   // address of a holder of the lease that did not answer
	path       []string // parent first, root last
	rooted     bool     // the path ends in a root and all on it have caught up
	newest     uint64   // newest version that this node has heard of
	current    bool     // it has held newest once, so it may serve
	reports    reports

	candidates    []string // addresses to try before the lease is read again
	besideRoot    bool     // members are asked since the root did not answer
	ranked        bool     // they are all that there are: after them this node acts as root
	waitForHigher bool     // one that ranks higher answered but has no place yet
	census        uint64   // newest one answered
	present       []string // answers to it that are to go up
	collected     time.Time
	lost          map[string]lostChild // by node
	settled       bool                 // the phase has lasted for rejoinGrace
}

func newMember(cfg Config) member {
	return member{lost: map[string]lostChild{}, lease: lease.New(lease.Config{
		Holder: cfg.Node, Address: cfg.Peer, TTL: cfg.LeaseTTL, Renew: cfg.LeaseRenew, Margin: cfg.LeaseMargin,
	})}
}

func (s *State) setPhase(p memberPhase) {
	if s.member.phase == p {
		return
	}
	s.member.phase, s.member.since, s.member.settled = p, s.now, false
}

// path returns the nodes from this one to its root.
func (s *State) path() []string {
	return append([]string{s.cfg.Node}, s.member.path...)
}

// rooted reports whether the path ends in a root and all on it, this node
// too, have caught up.
func (s *State) rooted() bool {
	return s.member.current && (s.member.phase == phaseRoot || s.member.phase == phaseJoined && s.member.rooted)
}

func (s *State) memberTick() {
	m := &s.member
	s.lostTick()
	if m.parent != 0 && m.phase != phaseJoined && s.now.Sub(m.dialAt) > joinTimeout {
		s.drop(m.parent, "no answer to Hello")
	}
	if m.phase != phaseSeeking || s.now.Before(m.retryAt) || m.reading {
		return
	}
	if len(m.candidates) > 0 {
		s.nextCandidate()
		return
	}
	s.readRootLease()
}

func (s *State) readRootLease() {
	s.member.reading = true
	s.storeGet(keyspace.RootLeases+s.cfg.DataCentre, storeCall{purpose: forRootLeaseRead})
}

// dialParent asks the node at an address for a place. A root that does so
// stays root until it is welcomed.
func (s *State) dialParent(address string) {
	m := &s.member
	if m.phase != phaseRoot {
		s.setPhase(phaseJoining)
	}
	m.dialAt, m.dialled = s.now, address
	m.parent = s.dial(address, roleParent)
}

// seekAgain looks for a parent after a random wait.
func (s *State) seekAgain(limit time.Duration) {
	m := &s.member
	s.setPhase(phaseSeeking)
	m.parent, m.path, m.rooted = 0, nil, false
	m.candidates, m.ranked = nil, false
	m.retryAt = s.now.Add(s.jitter(limit))
	s.tellChildren()
}

func (s *State) rootLeaseRead(done StoreDone) {
	m := &s.member
	m.reading = false
	seeks := m.phase == phaseSeeking || m.phase == phaseRoot && s.root.fallback && m.parent == 0
	rec, version, err := readLease(done)
	if err != nil {
		s.platformFailed(done)
		if seeks {
			s.fallback()
		}
		return
	}
	m.lease.Observe(s.now, rec, version)
	if !seeks {
		return
	}
	if w, due := m.lease.Next(s.now, true); due {
		s.storePut(keyspace.RootLeases+s.cfg.DataCentre, mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
		return
	}
	if rec.Holder == s.cfg.Node || rec.Address == s.cfg.Peer {
		s.seekLater()
		return
	}
	if left := m.lease.ExpiresIn(s.now); rec.Address == m.unanswered && left < joinTimeout {
		s.awaitLease() // asking once more would take longer than the lease lasts
		return
	}
	s.dialParent(rec.Address)
}

// seekLater tries again soon; a root that looks for a better one stays root.
func (s *State) seekLater() {
	if s.member.phase == phaseSeeking {
		s.seekAgain(s.cfg.JoinJitter)
	}
}

func (s *State) rootLeaseWritten(done StoreDone) {
	m := &s.member
	if done.Err != StoreOK {
		leaseWriteFailed(m.lease, done)
		if done.Err == StoreFailed {
			s.platformFailed(done)
		}
		s.seekLater()
		return
	}
	m.lease.Written(s.now, done.Version)
	if m.phase != phaseRoot || s.root.fallback {
		s.becomeRoot()
	}
}

// parentLost goes on to the next candidate, or, after a place in the tree was
// lost, first to the next node up: it has room now, and knows where there is
// more, so that not all come to the root.
func (s *State) parentLost(id LinkID) {
	m := &s.member
	if m.parent != id {
		return
	}
	m.parent = 0
	if m.phase != phaseJoined {
		if rec, _ := m.lease.Record(); rec.Address == m.dialled {
			m.unanswered = m.dialled
		}
		s.candidateFailed()
		return
	}
	above := m.path[min(1, len(m.path)):]
	s.seekAgain(s.cfg.JoinJitter)
	if len(above) == 0 {
		return
	}
	if row, ok := s.table.Get(above[0]); ok && row.Live() {
		m.candidates = []string{row.Peer}
	}
}

func (s *State) candidateFailed() {
	switch {
	case len(s.member.candidates) > 0 || s.member.ranked:
		s.nextCandidate()
	case s.member.phase != phaseRoot:
		if others := s.otherMembers(); len(others) > 0 {
			s.seekAgain(s.cfg.JoinJitter)
			s.member.candidates = others
			return
		}
		s.awaitLease()
	}
}

// triedBesideRoot is the number of members asked for a place when the holder
// of the lease can't be reached from here, though the platform can.
const triedBesideRoot = 2

// otherMembers returns members to ask next when the root did not answer, and
// none when they have been asked: then the lease is read again.
func (s *State) otherMembers() []string {
	m := &s.member
	m.besideRoot = !m.besideRoot
	if !m.besideRoot {
		return nil
	}
	var addresses []string
	for _, row := range s.table.Rows() {
		if s.isCandidate(row.Entry) && row.Peer != m.unanswered {
			addresses = append(addresses, row.Peer)
		}
	}
	s.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(triedBesideRoot, len(addresses))]
}

// awaitLease looks for a parent again when the lease of a root that can't be
// reached runs out, and once before: the holder may be back by then, or
// another one may have come. Reads in between would tell nothing more.
func (s *State) awaitLease() {
	left := s.member.lease.ExpiresIn(s.now)
	if half := left / 2; half > s.cfg.LeaseRenew {
		left = half
	}
	s.seekAgain(s.cfg.JoinJitter)
	s.member.retryAt = s.member.retryAt.Add(left)
}

func (s *State) childLost(l *link) {
	s.childLeft(l)
	s.report()
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

func (s *State) heartbeatReceived(id LinkID, l *link, m message.Heartbeat) {
	if !l.greeted {
		return
	}
	if !m.Same {
		l.last = m
	}
	l.config = max(l.config, l.last.Config)
	s.sourceTold(m.Source, l.last.Config)
	switch {
	case id == s.member.parent:
		s.parentTold(id, l)
	case l.config < s.configVersion():
		s.sendConfig(id, l)
	default:
		s.compareVersions(id, l)
	}
	if id == s.member.parent || l.role == roleRoot {
		s.compareTables(id, l)
	}
}

// compareVersions asks for a version that the other end is ahead by.
func (s *State) compareVersions(id LinkID, l *link) {
	if l.last.Config > s.configVersion() {
		s.wantConfig(id, l, s.configVersion())
	}
}

// parentTold takes what the parent says of itself and passes on what the
// children act on.
func (s *State) parentTold(id LinkID, l *link) {
	m, h := &s.member, l.last
	if slices.Contains(h.Path, s.cfg.Node) && !s.cfg.testFaults.noCycleCheck {
		s.drop(id, "the tree has a cycle")
		return
	}
	changed := m.rooted != h.Rooted && m.current || !slices.Equal(m.path, h.Path)
	m.path, m.rooted = h.Path, h.Rooted
	m.newest = max(m.newest, h.Newest, h.Config)
	s.compareVersions(id, l)
	s.caughtUp()
	if changed {
		s.tellChildren()
	}
	s.censusSeen(h.Census)
}
