package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// rememberedAttempts bounds the attempt IDs kept to refuse a late copy.
const rememberedAttempts = 16 << 10

// requestFault turns single safeguards off. Tests set it to show that their
// checks notice; it is zero otherwise.
type requestFault struct {
	forgetCancelled bool // a cancelled attempt is not remembered
	forgetSeen      bool // an attempt that was seen before runs again
	ignoreLife      bool // a node answers for its earlier lives
	vouchForCopies  bool // a copy is refused as not run, whatever the first one did
	forgetUnknown   bool // a call may end as not run after an attempt of unknown fate
	forgetKeys      bool // the node forgets idempotency keys
	takeLostClaims  bool // a claim whose write has an unknown fate counts as held
	ignoreClaims    bool // a claim held by another request counts as held
	retryFreely     bool // retries have no budget
	serveLeaving    bool // a leaving backend server takes new attempts
	cutDrain        bool // a drain does not wait for what is in flight
	repeatAll       bool // non-idempotent calls are tried again after an unknown fate
}

func (s *State) attemptArrived(e AttemptArrived) {
	b := &s.backend
	if s.forEarlierLife(e.For) {
		s.refuseAttempt(e.Request, e.Attempt, admission.WrongIncarnation, retry.Unknown)
		return
	}
	switch fate := b.memory.State(e.Attempt); {
	case fate == admission.Unseen, s.fault.forgetSeen && fate != admission.Pending:
	case fate == admission.Refused, s.fault.vouchForCopies:
		s.refuseAttempt(e.Request, e.Attempt, admission.DuplicateAttempt, retry.NotRun)
		return
	default:
		s.refuseAttempt(e.Request, e.Attempt, admission.DuplicateAttempt, retry.Unknown)
		return
	}
	if first, used := b.keys.FirstResult(e.Key); used && !s.fault.forgetKeys {
		b.memory.Add(e.Attempt, admission.Refused)
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.KeyUsed, Outcome: first.Outcome, Status: first.Status})
		return
	}
	run, reason := s.admit(e)
	if reason != admission.Admitted {
		b.memory.Add(e.Attempt, admission.Refused)
		s.refuseAttempt(e.Request, e.Attempt, reason, retry.NotRun)
		return
	}
	b.memory.Add(e.Attempt, admission.Pending)
	if !e.Key.IsZero() {
		b.keys.Begin(s.now, e.Key, e.Attempt)
	}
	if run {
		s.emit(s.run(e.Attempt))
		return
	}
	running, waiting := b.queue.Load()
	s.log(notice.AttemptQueued, Attr{"request", e.Request}, Attr{"attempt", e.Attempt.String()}, Attr{"running", running},
		Attr{"waiting", waiting}, Attr{"leftMillis", e.Budget.Milliseconds()})
}

func (s *State) run(id AttemptID) Run { return Run{Attempt: id, Backend: s.backend.heard.Backend} }

// admit decides about an attempt that came for the first time.
func (s *State) admit(e AttemptArrived) (run bool, reason admission.Reason) {
	b := &s.backend
	switch {
	case (b.leaving || !b.entry.State.Serves()) && !s.fault.serveLeaving:
		return false, admission.NotServing
	case !e.Key.IsZero() && b.keys.Full():
		return false, admission.KeysFull
	}
	d := b.queue.Arrive(s.now, admission.Attempt{ID: e.Attempt, Request: e.Request, Class: e.Class, Deadline: s.now.Add(e.Budget), TargetTime: s.wantedBy(e.Wanted)})
	for _, w := range d.Evicted {
		s.dropWaiting(w, admission.QueueFull)
	}
	return d.Run, d.Reason
}

// wantedBy returns when an answer is wanted that is wanted in so long; zero
// stays zero, not told.
func (s *State) wantedBy(in time.Duration) time.Time {
	if in == 0 {
		return time.Time{}
	}
	return s.now.Add(in)
}

// admitTick refuses what has waited too long while no run ended.
func (s *State) admitTick() {
	for _, w := range s.backend.queue.Expire(s.now) {
		s.dropWaiting(w, admission.TooLate)
	}
}

// dropWaiting refuses an attempt that waited.
func (s *State) dropWaiting(w admission.Attempt, reason admission.Reason) {
	s.backend.memory.End(w.ID, admission.Refused)
	s.backend.keys.End(w.ID, idempotency.Result{Outcome: retry.NotRun})
	s.refuseAttempt(w.Request, w.ID, reason, retry.NotRun)
}

// firstServerError is the lowest HTTP status by which a backend server says
// that the fault is its own.
const firstServerError = 500

// servedLately reports whether requests have shown since the last probe but
// one that the backend server works: a health endpoint that says otherwise is
// behind, or misleads.
func (s *State) servedLately() bool {
	return !s.backend.servedAt.IsZero() && s.now.Sub(s.backend.servedAt) < s.cfg.ProbeEvery
}

// endOf returns what a repeat of an attempt's key is told from now on.
func endOf(e AttemptDone) idempotency.Result {
	switch {
	case e.Refused:
		return idempotency.Result{Outcome: retry.NotRun}
	case e.Cut:
		return idempotency.Result{Outcome: retry.Unknown}
	}
	return idempotency.Result{Outcome: retry.Ran, Status: e.Status}
}

// forEarlierLife reports whether a message was meant for a process that was
// at this address before. What that one ran is not known here, so nothing can
// be said of an attempt sent to it.
func (s *State) forEarlierLife(meant endpoint.Incarnation) bool {
	return meant != endpoint.Incarnation{} && meant != s.cfg.Incarnation && !s.fault.ignoreLife
}

func (s *State) refuseAttempt(request string, id AttemptID, reason admission.Reason, o retry.Outcome) {
	running, waiting := s.backend.queue.Load()
	s.log(notice.AttemptRefused, Attr{"request", request}, Attr{"attempt", id.String()}, Attr{"reason", string(reason)},
		Attr{"outcome", o.String()}, Attr{"running", running}, Attr{"waiting", waiting},
		Attr{"state", s.backend.entry.State.String()}, Attr{"backend", s.backend.heard.Backend})
	s.emit(Refuse{Attempt: id, Reason: reason, Outcome: o})
}

func (s *State) attemptDone(e AttemptDone) {
	b := &s.backend
	b.memory.End(e.Attempt, admission.Executed)
	b.keys.End(e.Attempt, endOf(e))
	if !e.Cut && e.Status != 0 && e.Status < firstServerError {
		b.servedAt = s.now
	}
	waited, start, dropped := b.queue.Done(s.now, e.Attempt, e.Took, e.Bytes)
	running, waiting := b.queue.Load()
	s.log(notice.AttemptRan, Attr{"request", e.Request}, Attr{"attempt", e.Attempt.String()}, Attr{"backend", b.heard.Backend},
		Attr{"status", e.Status}, Attr{"cut", e.Cut}, Attr{"refused", e.Refused}, Attr{"waitedMillis", waited.Milliseconds()}, Attr{"tookMillis", e.Took.Milliseconds()},
		Attr{"running", running}, Attr{"waiting", waiting})
	for _, w := range dropped {
		s.dropWaiting(w, admission.TooLate)
	}
	for _, w := range start {
		s.emit(s.run(w.ID))
	}
	if e.Refused && b.entry.State.Serves() && !b.leaving && !s.cfg.breaks.watchdog {
		s.announce(endpoint.Failed)
	}
}

func (s *State) attemptCancelled(e AttemptCancelled) {
	b := &s.backend
	if s.forEarlierLife(e.For) {
		return
	}
	switch b.memory.State(e.Attempt) {
	case admission.Unseen:
		if !s.fault.forgetCancelled {
			b.memory.Add(e.Attempt, admission.Refused) // the attempt itself may come yet
		}
	case admission.Refused:
	case admission.Pending:
		w, waited := b.queue.Cancel(e.Attempt)
		if !waited {
			return // it runs
		}
		s.dropWaiting(w, admission.Cancelled)
		return
	default:
		return
	}
	s.refuseAttempt("", e.Attempt, admission.Cancelled, retry.NotRun)
}

// Waiting returns the number of attempts at the own backend server that have
// no slot yet.
func (s *State) Waiting() int {
	_, waiting := s.backend.queue.Load()
	return waiting
}
