package core

import (
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// rememberedAttempts bounds the attempt IDs kept to refuse a late copy.
const rememberedAttempts = 16 << 10

func (s *State) attemptArrived(e AttemptArrived) {
	b := &s.backend
	if _, seen := b.attempts[e.Attempt]; seen {
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.SeenBefore})
		return
	}
	s.remember(e.Attempt)
	if b.leaving || !b.entry.State.Serves() {
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.NotServing})
		return
	}
	run, reason := b.queue.Arrive(s.now, admission.Waiting{ID: e.Attempt, Class: e.Class, Deadline: s.now.Add(e.Budget)})
	switch {
	case reason != admission.Admitted:
		s.emit(Refuse{Attempt: e.Attempt, Reason: reason})
	case run:
		b.attempts[e.Attempt] = true
		s.emit(Run{Attempt: e.Attempt})
	default:
		b.attempts[e.Attempt] = true
	}
}

// remember keeps an attempt ID so that a copy that comes late is refused.
func (s *State) remember(id AttemptID) {
	b := &s.backend
	b.attempts[id] = false
	b.remembered = append(b.remembered, id)
	for len(b.remembered) > rememberedAttempts && !b.attempts[b.remembered[0]] {
		delete(b.attempts, b.remembered[0])
		b.remembered = b.remembered[1:]
	}
}

func (s *State) attemptDone(e AttemptDone) {
	b := &s.backend
	b.attempts[e.Attempt] = false
	start, dropped := b.queue.Done(s.now, e.Took)
	for _, w := range dropped {
		b.attempts[w.ID] = false
		s.emit(Refuse{Attempt: w.ID, Reason: admission.TooLate})
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
	if _, seen := b.attempts[e.Attempt]; !seen {
		s.remember(e.Attempt) // the attempt itself may come yet: it is refused then
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.Cancelled})
		return
	}
	if b.queue.Cancel(e.Attempt) {
		b.attempts[e.Attempt] = false
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.Cancelled})
	}
}

// Waiting returns the number of attempts at the own backend server that have
// no slot yet.
func (s *State) Waiting() int {
	_, waiting := s.backend.queue.Load()
	return waiting
}
