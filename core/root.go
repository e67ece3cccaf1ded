package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/tree"
)

// root is the state of a node as root of its data centre: it watches the
// configuration head on the platform and keeps links to the roots of the other
// data centres.
type root struct {
	nextList     time.Time                 // when the next list of leases is due
	listPending  bool                      // a list is in progress
	listSentAt   time.Time                 // when the list in progress was sent
	listedAsOf   time.Time                 // when the last successful list was sent
	otherRoots   map[string]lease.Record   // by data centre
	reports      map[string]message.Report // of other roots, by data centre
	watchPending bool                      // a watch of the head is in progress
	watchFrom    uint64                    // revision of the platform
	headRead     bool                      // the head has been read since this node became root
	fetch        *fetch                    // nil: none in progress

	since           time.Time      // when this node became root
	withoutLease    bool           // this node acts as root without holding the lease
	completeVersion uint64         // version applied by all nodes the last time that none was missing
	nextLinkCheck   time.Time      // when linkRoots is next due
	lookupTries     map[string]int // dials made to find a root, by data centre
	joinLimiter     *tree.Limiter
	missingSince    time.Time       // since when the tree has had fewer nodes than the table; zero: it has not
	censusEnd       time.Time       // when the census in progress ends; zero: none is
	censusAnswered  map[string]bool // by node
	absent          []string        // nodes that had not answered at absentAt
	absentAt        time.Time       // when absent was last updated
	sweptAt         time.Time       // when suspects were last checked for removal
	leavings        leavingSweep
	removedAbsent   bool // the deliberate fault testFaults.noGrace has taken effect
}

func newRoot(cfg Config) root {
	return root{
		otherRoots: map[string]lease.Record{}, reports: map[string]message.Report{}, lookupTries: map[string]int{},
		joinLimiter: tree.NewLimiter(cfg.JoinsPerSecond, 2*cfg.Fanout),
	}
}

// enterRoot makes this node a root, with the lease or, in fallback, without it.
func (s *State) enterRoot(fallback bool) {
	if s.member.phase == phaseRoot {
		s.root.withoutLease = fallback
		return
	}
	if parent := s.member.parent; parent != 0 {
		s.member.parent = 0
		s.drop(parent, "became root")
	}
	s.setPhase(phaseRoot)
	s.member.path, s.member.rooted = nil, false
	s.root = newRoot(s.cfg)
	s.root.since, s.root.withoutLease = s.now, fallback
	s.notifyChildren()
}

// resignRoot ends the root role because another node holds the lease, and looks
// for a parent.
func (s *State) resignRoot(reason string) {
	s.log(notice.LeaseLost, Attr{"lease", s.rootLeaseKey()}, Attr{"reason", reason})
	s.leaveRoot()
	s.restartSeeking(s.cfg.JoinJitter)
}

// leaveRoot closes the links to other roots and clears the state of the root
// role. Links to children stay open.
func (s *State) leaveRoot() {
	for _, id := range sortedLinks(s.links) {
		if l, ok := s.links[id]; ok && l.role == roleRoot {
			s.drop(id, "no longer root")
		}
	}
	s.root = newRoot(s.cfg)
}

func (s *State) rootTick() {
	if s.member.phase != phaseRoot {
		return
	}
	s.linkRoots()
	s.fallbackTick()
	s.updateCurrent()
	if s.root.withoutLease {
		return
	}
	s.writeRootLeaseIfDue()
	s.sweepLeavings()
	if !s.root.listPending && !s.now.Before(s.root.nextList) {
		s.root.listPending, s.root.listSentAt = true, s.now
		s.storeList(keyspace.Leases, storeCall{purpose: forLeaseList})
	}
	if s.root.headRead && !s.root.watchPending {
		s.root.watchPending = true
		s.storeWatch(keyspace.Head, s.root.watchFrom, s.cfg.WatchWait, storeCall{purpose: forHeadWatch})
	}
}
