package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// maxRememberedAttempts bounds the attempt IDs kept for refusing late
// copies.
const maxRememberedAttempts = 16 << 10

// requestFaults disables single safeguards. Tests set it to verify that
// their checks detect this; otherwise it is zero.
type requestFaults struct {
	forgetCancelled     bool // a cancelled attempt is not remembered
	forgetSeen          bool // an attempt that was seen before runs again
	ignoreIncarnation   bool // a node answers for its earlier incarnations
	copiesNotRun        bool // a copy is refused as not run, regardless of the first one's outcome
	forgetUnknown       bool // a call may end as not run after an attempt with unknown outcome
	forgetKeys          bool // the node does not remember idempotency keys
	acceptUnknownClaims bool // a claim counts as held if it is unknown whether its write took effect
	ignoreClaims        bool // a claim held by another request counts as held
	unlimitedRetries    bool // retries have no budget
	serveWhileDraining  bool // a draining backend server accepts new attempts
	skipDrainWait       bool // a drain does not wait for requests in flight
	ignoreExit          bool // a stopping node accepts calls without regard to the time left
	forgetNotices       bool // a node ignores what others, and the platform, know of its backend server
	retryNonIdempotent  bool // non-idempotent calls are retried after an unknown outcome
}

func (s *State) attemptArrived(e AttemptArrived) {
	b := &s.backend
	if s.forEarlierIncarnation(e.ForIncarnation) {
		s.refuseAttempt(e.Request, e.Attempt, admission.WrongIncarnation, retry.Unknown)
		return
	}
	switch state := b.dedup.State(e.Attempt); {
	case state == admission.Unseen, s.requestFaults.forgetSeen && state != admission.Pending:
	case state == admission.Refused, s.requestFaults.copiesNotRun:
		s.refuseAttempt(e.Request, e.Attempt, admission.DuplicateAttempt, retry.NotRun)
		return
	default:
		s.refuseAttempt(e.Request, e.Attempt, admission.DuplicateAttempt, retry.Unknown)
		return
	}
	if first, used := b.keys.FirstResult(e.Key); used && !s.requestFaults.forgetKeys {
		b.dedup.Add(e.Attempt, admission.Refused)
		s.emit(Refuse{Attempt: e.Attempt, Reason: admission.KeyUsed, Outcome: first.Outcome, Status: first.Status})
		return
	}
	d := s.admit(e)
	if d.Reason != admission.Admitted {
		b.dedup.Add(e.Attempt, admission.Refused)
		s.refuse(e.Request, Refuse{Attempt: e.Attempt, Reason: d.Reason, Outcome: retry.NotRun, LinkOpensIn: d.LinkOpensIn})
		return
	}
	b.dedup.Add(e.Attempt, admission.Pending)
	if !e.Key.IsZero() {
		b.keys.Begin(s.now, e.Key, e.Attempt)
	}
	if d.Run {
		s.emit(s.run(e.Attempt))
		return
	}
	running, waiting := b.queue.Load()
	s.log(notice.AttemptQueued, Attr{"request", e.Request}, Attr{"attempt", e.Attempt.String()}, Attr{"running", running},
		Attr{"waiting", waiting}, Attr{"leftMillis", e.Budget.Milliseconds()})
}

func (s *State) run(id AttemptID) Run {
	h := &s.backend.heartbeat
	return Run{Attempt: id, Backend: h.Backend, StartMillis: h.StartMillis}
}

// admit decides on an attempt that was not seen before.
func (s *State) admit(e AttemptArrived) admission.Decision {
	b := &s.backend
	s.noticeReceived(e.Said, e.Request)
	switch {
	case (b.draining || !b.entry.State.Serves()) && !s.requestFaults.serveWhileDraining:
		return admission.Decision{Reason: admission.NotServing}
	case !e.Key.IsZero() && b.keys.Full():
		return admission.Decision{Reason: admission.KeysFull}
	}
	b.queue.SetLink(e.Link)
	d := b.queue.Arrive(s.now, admission.Attempt{
		ID: e.Attempt, Request: e.Request, Class: e.Class, Deadline: s.now.Add(e.Budget),
		TargetTime: s.softDeadline(e.SoftBudget), Waited: e.Waited, OnHost: e.OnHost, Relay: e.Relay, AnswerBytes: e.AnswerBytes,
	})
	for _, w := range d.Evicted {
		s.dropWaiting(w, d.EvictedFor)
	}
	return d
}

// softDeadline returns the time at which a soft budget ends, zero for none.
func (s *State) softDeadline(in time.Duration) time.Time {
	if in == 0 {
		return time.Time{}
	}
	return s.now.Add(in)
}

// admitTick refuses attempts whose wait has expired. Otherwise expiry is
// only checked when a running attempt ends.
func (s *State) admitTick() {
	for _, w := range s.backend.queue.Expire(s.now) {
		s.dropWaiting(w, admission.TooLate)
	}
}

// dropWaiting refuses an attempt that is waiting for a slot.
func (s *State) dropWaiting(w admission.Attempt, reason admission.Reason) {
	s.backend.dedup.End(w.ID, admission.Refused)
	s.backend.keys.End(w.ID, idempotency.Result{Outcome: retry.NotRun})
	s.refuseAttempt(w.Request, w.ID, reason, retry.NotRun)
}

// firstServerError is the lowest HTTP status that reports an error of the
// backend server itself.
const firstServerError = 500

// servedRecently reports whether a request was served successfully within
// the last ProbeEvery. A health endpoint that reports a failure
// nevertheless is out of date or wrong.
func (s *State) servedRecently() bool {
	return !s.backend.servedAt.IsZero() && s.now.Sub(s.backend.servedAt) < s.cfg.ProbeEvery
}

// keyResult returns the result that repeats of an attempt's key get from
// now on.
func keyResult(e AttemptDone) idempotency.Result {
	switch {
	case e.Refused:
		return idempotency.Result{Outcome: retry.NotRun}
	case e.Truncated:
		return idempotency.Result{Outcome: retry.Unknown}
	}
	return idempotency.Result{Outcome: retry.Ran, Status: e.Status}
}

// forEarlierIncarnation reports whether a message was meant for an earlier
// process at this address. This process has no record of what that one ran,
// so it can't answer for an attempt sent to it. It answers for all lives that it has
// announced: where an earlier one seemed to be later than its own, it took another.
func (s *State) forEarlierIncarnation(meant endpoint.Incarnation) bool {
	return meant != endpoint.Incarnation{} && !slices.Contains(s.backend.lives, meant) && !s.requestFaults.ignoreIncarnation
}

func (s *State) refuseAttempt(request string, id AttemptID, reason admission.Reason, o retry.Outcome) {
	s.refuse(request, Refuse{Attempt: id, Reason: reason, Outcome: o})
}

func (s *State) refuse(request string, r Refuse) {
	running, waiting := s.backend.queue.Load()
	s.log(notice.AttemptRefused, Attr{"request", request}, Attr{"attempt", r.Attempt.String()}, Attr{"reason", string(r.Reason)},
		Attr{"outcome", r.Outcome.String()}, Attr{"running", running}, Attr{"waiting", waiting},
		Attr{"linkMillis", s.backend.queue.LinkWait(s.now).Milliseconds()}, Attr{"limitRoom", s.backend.queue.RateRoom(s.now)},
		Attr{"state", s.backend.entry.State.String()}, Attr{"backend", s.backend.heartbeat.Backend})
	s.emit(r)
}

func (s *State) attemptDone(e AttemptDone) {
	b := &s.backend
	b.dedup.End(e.Attempt, admission.Executed)
	b.keys.End(e.Attempt, keyResult(e))
	if !e.Truncated && e.Status != 0 && e.Status < firstServerError {
		b.servedAt = s.now
	}
	failed := e.Truncated || e.Status >= firstServerError
	waited, start, dropped := b.queue.Done(s.now, e.Attempt, admission.Run{
		Took: e.Took, Bytes: e.Bytes, Failed: failed, Starved: failed && s.othersPressed(),
	})
	running, waiting := b.queue.Load()
	s.log(notice.AttemptRan, Attr{"request", e.Request}, Attr{"attempt", e.Attempt.String()}, Attr{"backend", b.heartbeat.Backend},
		Attr{"status", e.Status}, Attr{"cut", e.Truncated}, Attr{"refused", e.Refused},
		Attr{"waitedMillis", waited.Milliseconds()}, Attr{"tookMillis", e.Took.Milliseconds()}, Attr{"bytes", e.Bytes},
		Attr{"running", running}, Attr{"waiting", waiting})
	for _, w := range dropped {
		s.dropWaiting(w, admission.TooLate)
	}
	for _, w := range start {
		s.emit(s.run(w.ID))
	}
	if e.Refused && b.entry.State.Serves() && !b.draining && !s.cfg.treeFaults.noWatchdog {
		s.announce(endpoint.Failed)
	}
}

func (s *State) attemptCancelled(e AttemptCancelled) {
	b := &s.backend
	if s.forEarlierIncarnation(e.ForIncarnation) {
		return
	}
	switch b.dedup.State(e.Attempt) {
	case admission.Unseen:
		if !s.requestFaults.forgetCancelled {
			b.dedup.Add(e.Attempt, admission.Refused) // the attempt itself may still arrive
		}
	case admission.Refused:
	case admission.Pending:
		w, waited := b.queue.Cancel(e.Attempt)
		if !waited {
			return // it is running
		}
		s.dropWaiting(w, admission.Cancelled)
		return
	default:
		return
	}
	s.refuseAttempt("", e.Attempt, admission.Cancelled, retry.NotRun)
}

// Waiting returns the length of the queue at the local backend server: the attempts in front
// of which another one would not start, and more where a limit on its requests is nearly used up.
func (s *State) Waiting() int {
	return s.backend.queue.WaitingInTime() + s.backend.queue.RateQueue(s.now)
}
