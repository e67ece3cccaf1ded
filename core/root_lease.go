package core

import (
	"math"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/notice"
)

// rootLeaseKey returns the platform's key of the root lease of this node's data
// centre.
func (s *State) rootLeaseKey() string { return keyspace.RootLeases + s.cfg.DataCentre }

func (s *State) readRootLease() {
	s.member.leaseReadPending = true
	s.storeGet(s.rootLeaseKey(), storeCall{purpose: forRootLeaseRead})
}

// writeRootLeaseIfDue takes or renews the root lease if that is due, and reports
// whether it is.
func (s *State) writeRootLeaseIfDue() bool {
	w, due := s.member.lease.Next(s.now, s.takesLeases())
	if due {
		s.storePut(s.rootLeaseKey(), mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
	}
	return due
}

func (s *State) rootLeaseRead(done StoreDone) {
	m := &s.member
	m.leaseReadPending = false
	seeks := m.phase == phaseSeeking || m.phase == phaseRoot && s.root.withoutLease && m.parent == 0
	rec, version, err := readLease(done)
	if err != nil {
		s.platformFailed(done)
		if seeks {
			s.startFallback()
		}
		return
	}
	if version == 0 && seeks { // another answer can't have come since: a node that seeks has one read or write in progress
		m.lease.Missing(s.now, math.MaxUint64)
	} else {
		m.lease.Observe(s.now, rec, version)
	}
	if !seeks {
		return
	}
	if s.writeRootLeaseIfDue() {
		return
	}
	if rec.Holder == s.cfg.Node || rec.Address == s.cfg.Peer {
		s.retrySeeking()
		return
	}
	if left := m.lease.ExpiresIn(s.now); rec.Address == m.unresponsiveHolder && left < joinTimeout {
		s.awaitLeaseExpiry() // the lease would expire before another dial times out
		return
	}
	s.dialParent(rec.Address)
}

func (s *State) rootLeaseWritten(done StoreDone) {
	m := &s.member
	if done.Err != StoreOK {
		leaseWriteFailed(m.lease, done)
		if done.Err == StoreFailed {
			s.platformFailed(done)
		}
		s.retrySeeking()
		return
	}
	before := m.lease.Epoch()
	m.lease.Written(s.now, done.Version)
	switch {
	case !s.takesLeases():
	case m.phase != phaseRoot || s.root.withoutLease:
		s.becomeRootWithLease()
	case m.lease.Epoch() > before:
		s.logLeaseTaken() // it had been lost, and is written again
	}
}

func (s *State) becomeRootWithLease() {
	s.logLeaseTaken()
	s.enterRoot(false)
	if !s.cfg.Source {
		s.readHead()
	}
}

func (s *State) logLeaseTaken() {
	s.log(notice.LeaseTaken, Attr{"lease", s.rootLeaseKey()}, Attr{"epoch", s.member.lease.Epoch()})
}
