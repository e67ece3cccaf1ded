package core

import (
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
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
	repeatAll       bool // non-idempotent calls are tried again after an unknown fate
}

func (s *State) attemptArrived(e AttemptArrived) {
	b := &s.backend
	if s.forEarlierLife(e.For) {
		s.refuseAttempt(e.Attempt, admission.EarlierLife, retry.Unknown)
		return
	}
	switch fate := b.memory.Fate(e.Attempt); {
	case fate == admission.Fresh, s.fault.forgetSeen && fate != admission.Open:
	case fate == admission.Refused, s.fault.vouchForCopies:
		s.refuseAttempt(e.Attempt, admission.SeenBefore, retry.NotRun)
		return
	default:
		s.refuseAttempt(e.Attempt, admission.SeenBefore, retry.Unknown)
		return
	}
	reason, run := admission.NotServing, false
	if !b.leaving && b.entry.State.Serves() {
		run, reason = b.queue.Arrive(s.now, admission.Waiting{ID: e.Attempt, Class: e.Class, Deadline: s.now.Add(e.Budget)})
	}
	if reason != admission.Admitted {
		b.memory.Add(e.Attempt, admission.Refused)
		s.refuseAttempt(e.Attempt, reason, retry.NotRun)
		return
	}
	b.memory.Add(e.Attempt, admission.Open)
	if run {
		s.emit(Run{Attempt: e.Attempt})
	}
}

// forEarlierLife reports whether a message was meant for a process that was
// at this address before. What that one ran is not known here, so nothing can
// be said of an attempt sent to it.
func (s *State) forEarlierLife(meant endpoint.Incarnation) bool {
	return meant != endpoint.Incarnation{} && meant != s.cfg.Incarnation && !s.fault.ignoreLife
}

func (s *State) refuseAttempt(id AttemptID, reason admission.Reason, o retry.Outcome) {
	s.emit(Refuse{Attempt: id, Reason: reason, Outcome: o})
}

func (s *State) attemptDone(e AttemptDone) {
	b := &s.backend
	b.memory.End(e.Attempt, admission.Started)
	start, dropped := b.queue.Done(s.now, e.Took)
	for _, w := range dropped {
		b.memory.End(w.ID, admission.Refused)
		s.refuseAttempt(w.ID, admission.TooLate, retry.NotRun)
	}
	for _, w := range start {
		s.emit(Run{Attempt: w.ID})
	}
	if e.Refused && b.entry.State.Serves() && !b.leaving {
		s.announce(endpoint.Failed)
	}
}

func (s *State) attemptCancelled(e AttemptCancelled) {
	b := &s.backend
	if s.forEarlierLife(e.For) {
		return
	}
	switch b.memory.Fate(e.Attempt) {
	case admission.Fresh:
		if !s.fault.forgetCancelled {
			b.memory.Add(e.Attempt, admission.Refused) // the attempt itself may come yet
		}
	case admission.Refused:
	case admission.Open:
		if !b.queue.Cancel(e.Attempt) {
			return // it runs
		}
		b.memory.End(e.Attempt, admission.Refused)
	default:
		return
	}
	s.refuseAttempt(e.Attempt, admission.Cancelled, retry.NotRun)
}
