package core

import (
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// retryReserve is the number of retries allowed when there are few calls.
const retryReserve = 10

// retryHeldAnswer tries a call again whose backend server answered with a failure,
// or lets that answer go.
func (s *State) retryHeldAnswer(e AttemptEnded, c *call) {
	if c.idempotent(s) && c.replayable && s.hasAttemptLeft(c) && s.budget(c.service).MayRerun() {
		s.logAttemptEnded(c, e, true)
		c.tried = append(c.tried, c.target.Row.ID)
		s.forward(e.Call, c)
		return
	}
	s.logAnswered(c, e)
	s.endCall(e.Call, c, retry.Ran, e.Status)
	s.emit(ReleaseAnswer{Call: e.Call})
}

// idempotent reports whether a call may run more than once.
func (c *call) idempotent(s *State) bool {
	return c.route.Policy.IsIdempotent(c.method) || s.requestFaults.retryNonIdempotent
}

// budget returns the retries of a service. A reserve of reruns that all nodes
// share is divided among those known now. A node that has just started knows
// few, and so do all that start with it: it begins with no reruns, and earns
// them by its calls.
func (s *State) budget(service string) *retry.Budget {
	b, ok := s.requests.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.Config{
			Share: s.cfg.RetryShare, Reserve: retryReserve, RerunShare: s.cfg.RerunShare, NoReruns: s.cfg.RerunReserve > 0,
		})
		s.requests.budgets[service] = b
	}
	if s.cfg.RerunReserve > 0 {
		b.SetRerunReserve(s.cfg.RerunReserve / float64(max(s.table.Len(), 1)))
	}
	return b
}

// retryTokens returns the retries left of the service that has the fewest.
func (s *State) retryTokens() float64 {
	least := float64(retryReserve)
	for _, b := range s.requests.budgets {
		least = min(least, b.Tokens())
	}
	return least
}

// extraRefusedAttempts is the number of attempts, beyond those that a policy allows,
// that a call gets when nodes refuse them before their backend server has seen
// anything.
const extraRefusedAttempts = 2

// hasAttemptLeft reports whether a call may be sent once more.
func (s *State) hasAttemptLeft(c *call) bool {
	most := c.route.Policy.MaxAttempts
	return c.backendAttempts < most && c.attempts < most+extraRefusedAttempts && s.now.Before(c.deadline)
}

// takeRetry reports whether a call gets another attempt, and spends the budget
// for it.
func (s *State) takeRetry(c *call, e AttemptEnded) bool {
	if !retry.Allowed(e.Outcome, c.idempotent(s), e.AnswerStarted) || !c.replayable {
		return false
	}
	if !c.homeKey().IsZero() && admission.Reason(e.Reason) != admission.NotServing && !e.TargetGone {
		return false // only a home that is leaving or dead hands its keys on
	}
	if !s.hasAttemptLeft(c) {
		return false
	}
	after := e.Outcome
	if c.backendAttempts > 0 {
		after = retry.Unknown // one more would be a repeat for the backend servers
	}
	return s.requestFaults.unlimitedRetries || c.backendAttempts == 0 && c.newlyExcluded(e) || s.budget(c.service).Take(after)
}

// newlyExcluded reports whether an attempt ended by the first news that its target
// takes no requests. To try again after it costs no budget: the target is left
// out from now on, so there are no more of these than were on their way.
func (c *call) newlyExcluded(e AttemptEnded) bool {
	return e.Outcome == retry.NotRun && !c.targetExcluded && c.target.LeftOut()
}
