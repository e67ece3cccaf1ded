package core

import "github.com/agatekeel/agatekeel/core/endpoint"

// drainRequested takes the backend server out of service for an operator, and answers once the
// next process would know of it.
func (s *State) drainRequested(e BackendDraining) {
	s.beginDrain()
	if s.cfg.Service == "" || s.leavesItself() {
		s.answerReport(e.Report, ReportApplied, "")
		return
	}
	r := s.currentLeaving()
	r.Operator = true
	s.keep(r)
	s.answerWhenKept(e.Report)
}

// drainTakenBack puts a backend server that an operator took out of service back into it. One
// that has said itself that it leaves stays out: it relies on its acknowledgement.
func (s *State) drainTakenBack(e BackendDrainCancelled) {
	if s.leavesItself() {
		s.answerReport(e.Report, ReportRefused, "the backend server itself has said that it leaves")
		return
	}
	s.cancelDrain()
	s.forgetOperatorDrain()
	s.answerWhenKept(e.Report)
}

// leavesItself reports whether the newest instance that is known has said that it leaves.
func (s *State) leavesItself() bool {
	b := &s.backend
	if !s.cfg.Announced {
		return false
	}
	for _, r := range []LeavingRecord{s.leaving.stored, s.leaving.wanted} {
		if r.byItself() && (b.heartbeat.Backend == "" || r.covers(b.heartbeat.Backend, b.heartbeat.StartMillis)) {
			return true
		}
	}
	said := b.heartbeat.State == endpoint.Draining || b.heartbeat.State == endpoint.Gone
	return b.notice.Leaving || said && b.heartbeat.Backend != ""
}

// forgetOperatorDrain takes back what was kept for an operator. Before the record has been read,
// there may be one of an earlier process.
func (s *State) forgetOperatorDrain() {
	l := &s.leaving
	if s.cfg.Service == "" || l.read && !l.stored.Operator && !l.wanted.Operator {
		return
	}
	r := s.currentLeaving()
	if r.Backend == "" {
		r.Backend, r.StartMillis = l.stored.Backend, l.stored.StartMillis
	}
	r.InService = true
	if l.stored.Operator {
		l.stored = r
	}
	l.wanted = r
	s.leavingCall()
}
