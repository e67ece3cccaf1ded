package core

import (
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// BackendNotice is what a backend server says of itself in an answer. The zero
// value, apart from the instance, says nothing.
type BackendNotice struct {
	Backend     string // ID of the backend server, as in Run
	StartMillis int64  // its start, as in Run; together they identify the instance
	Limited     bool   // it takes at most RateLimit requests per second
	RateLimit   float64
	Leaving     bool // it takes no new requests
}

// IsOf reports whether two notices are those of the same instance.
func (n BackendNotice) IsOf(o BackendNotice) bool {
	return n.Backend == o.Backend && n.StartMillis == o.StartMillis
}

// SaysSomething reports whether a notice has a consequence.
func (n BackendNotice) SaysSomething() bool { return n.Limited || n.Leaving }

// saysSame reports whether two notices say the same.
func (n BackendNotice) saysSame(o BackendNotice) bool {
	return n.Limited == o.Limited && n.RateLimit == o.RateLimit && n.Leaving == o.Leaving
}

// BackendAnswered reports what the local backend server says of itself. It follows
// the first answer after the start of the process and each answer that differs from
// the one before. Fault says why a part of the answer's head could not be read; the
// part counts as unchanged.
type BackendAnswered struct {
	BackendNotice
	Fault string
}

func (BackendAnswered) isEvent() {}

// instance returns the notice of the current instance that says nothing.
func (b *backend) instance() BackendNotice {
	return BackendNotice{Backend: b.heartbeat.Backend, StartMillis: b.heartbeat.StartMillis}
}

// backendAnswered applies what the backend server says of itself. Answers of earlier
// instances are ignored.
func (s *State) backendAnswered(e BackendAnswered) {
	if !e.IsOf(s.backend.instance()) {
		return
	}
	if e.Fault != "" || !e.saysSame(s.backend.notice) {
		s.logNotice(e.BackendNotice, "", e.Fault)
	}
	begins := s.backend.answered // otherwise it may have been in force before this process started
	s.backend.answered = true
	s.applyNotice(e.BackendNotice, begins)
}

// noticeReceived applies what an attempt's entry node knows from answers of the backend server.
// It counts until the backend server has answered this process: a node that was
// restarted, or has not yet had an answer, keeps what other nodes know.
func (s *State) noticeReceived(n BackendNotice, request string) {
	b := &s.backend
	if b.answered || !n.SaysSomething() || n.Backend == "" || !n.IsOf(b.instance()) || n.saysSame(b.notice) || s.requestFaults.forgetNotices {
		return
	}
	s.logNotice(n, request, "")
	s.applyNotice(n, false)
}

func (s *State) logNotice(n BackendNotice, request, fault string) {
	s.log(notice.BackendNoticed, Attr{"backend", n.Backend}, Attr{"limited", n.Limited}, Attr{"perSecond", n.RateLimit},
		Attr{"leaving", n.Leaving}, Attr{"fromRequest", request}, Attr{"fault", fault})
}

// applyNotice puts a limit in force, and ends the service of an instance that is leaving.
// Its heartbeats do not take that back. Unless the limit is known to begin now, requests
// may have run which this process does not know of, so it begins with nothing saved up.
func (s *State) applyNotice(n BackendNotice, begins bool) {
	b := &s.backend
	b.notice = n
	limit := admission.RateLimit{PerSecond: n.RateLimit, Named: n.Limited}
	for _, w := range b.queue.SetRateLimit(s.now, limit, begins) {
		s.dropWaiting(w, admission.RateLimited)
	}
	if n.Leaving {
		s.beginDrain()
		s.keepLeaving()
	}
}

// forgetNotice drops what an instance of the backend server that has ended said.
func (s *State) forgetNotice() {
	s.backend.answered = false
	s.applyNotice(s.backend.instance(), true)
}

// learnNotice keeps what the backend server of a target says of itself, for the next
// attempts that are sent there. An answer without a notice ends it; a refusal without
// one does not, as the node that refuses may have been restarted.
func (s *State) learnNotice(target string, e AttemptEnded) {
	said := s.requests.notices
	switch {
	case e.Said.SaysSomething():
		said[target] = e.Said
	case e.Outcome == retry.Ran:
		delete(said, target)
	}
}

// forgetGoneTargets drops notices about targets that are no longer in the table.
func (s *State) forgetGoneTargets() {
	for id := range s.requests.notices {
		if _, known := s.table.Get(id); !known {
			delete(s.requests.notices, id)
		}
	}
}
