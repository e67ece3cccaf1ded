package core

import (
	"slices"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// Numbers of retries allowed when there are few calls.
const (
	retryReserve = 10  // after refusals
	rerunReserve = 2.5 // reruns, beside those
)

// retryHeldAnswer retries a call whose backend server answered with a
// failure. If the call may not be retried, it releases that answer to the
// caller.
func (s *State) retryHeldAnswer(e AttemptEnded, c *call) {
	if c.idempotent(s) && c.replayable && s.hasAttemptLeft(c) && s.budget(c.service).TakeRerun() {
		c.rerun = true
		s.logAttemptEnded(c, e, true)
		s.forwardAgain(e.Call, c)
		return
	}
	s.answered(c, e)
	s.emit(ReleaseAnswer{Call: e.Call})
}

// idempotent reports whether a call may run more than once.
func (c *call) idempotent(s *State) bool {
	return c.route.Policy.IsIdempotent(c.method) || s.requestFaults.retryNonIdempotent
}

// budget returns the retry budget of a service. Reruns are retries of calls
// that a backend server may have seen; their reserve is shared by all nodes
// and divided by the number of nodes in the endpoint table. A newly started
// node has few nodes in its table, and so do all that start together with
// it. Therefore it starts without reruns and earns them with its calls.
func (s *State) budget(service string) *retry.Budget {
	return s.budgetIn(s.requests.budgets, service, retryReserve+rerunReserve)
}

// linkBudget returns the budget of a service for retries after refusals for lack of room
// on a host's link. While links are scarce, those refusals are so frequent that they
// would use up the budget of the service's other requests.
func (s *State) linkBudget(service string) *retry.Budget {
	return s.budgetIn(s.requests.linkBudgets, service, retryReserve)
}

func (s *State) budgetIn(budgets map[string]*retry.Budget, service string, reserve float64) *retry.Budget {
	b, ok := budgets[service]
	if !ok {
		b = retry.NewBudget(retry.Config{
			Share: s.cfg.RetryShare, Reserve: reserve, RerunShare: s.cfg.RerunShare, RerunReserve: rerunReserve, NoInitialReruns: s.cfg.RerunReserve > 0,
		})
		budgets[service] = b
	}
	if s.cfg.RerunReserve > 0 {
		b.SetRerunReserve(s.cfg.RerunReserve / float64(max(s.table.Len(), 1)))
	}
	return b
}

// retryTokens returns the remaining retries of the service that has the
// fewest.
func (s *State) retryTokens() float64 {
	least := retryReserve + rerunReserve
	for _, b := range s.requests.budgets {
		least = min(least, b.Tokens())
	}
	return least
}

// extraRefusedAttempts is the number of attempts, beyond the policy's
// maximum, that a call gets when nodes refuse it before a backend server
// has seen it.
const extraRefusedAttempts = 2

// hasAttemptLeft reports whether another attempt of a call may be sent.
func (s *State) hasAttemptLeft(c *call) bool {
	maxAttempts := c.route.Policy.MaxAttempts
	return c.backendAttempts < maxAttempts && c.attempts < maxAttempts+extraRefusedAttempts && s.now.Before(c.deadline)
}

// hasBackendLeft reports whether there is a backend server that may get
// another attempt of a call.
func (s *State) hasBackendLeft(c *call) bool {
	if len(c.barred) == 0 {
		return true
	}
	for p := range s.group(c.service).All() {
		if !slices.Contains(c.barred, p.Row.ID) {
			return true
		}
	}
	return false
}

// takeRetry reports whether a call gets another attempt, and charges the
// budget for it.
func (s *State) takeRetry(c *call, e AttemptEnded) bool {
	if !retry.Allowed(e.Outcome, c.idempotent(s), e.AnswerStarted) || !c.replayable {
		return false
	}
	if !c.homeKey().IsZero() && admission.Reason(e.Reason) != admission.NotServing && !e.ConnectionRefused {
		return false // keys move to another home only if theirs is draining or dead
	}
	if !s.hasAttemptLeft(c) || !s.hasBackendLeft(c) {
		return false
	}
	if !c.maybeRan && !s.answerFits(c) {
		return false // it has not run, and can be told so
	}
	after := e.Outcome
	if c.backendAttempts > 0 {
		after = retry.Unknown // backend servers would see another attempt as a repeat
	}
	if s.requestFaults.unlimitedRetries || c.backendAttempts == 0 && c.newlyExcluded(e) {
		return true
	}
	switch {
	case after == retry.NotRun && admission.Reason(e.Reason) == admission.LinkFull:
		return s.linkBudget(c.service).Take(after)
	case after == retry.NotRun:
		return s.budget(c.service).TakeSpare()
	}
	c.rerun = s.budget(c.service).Take(after)
	return c.rerun
}

// newlyExcluded reports whether an attempt ended with the first indication
// that its target takes no requests. A retry after it costs no budget: the
// target is excluded from now on, so the number of such retries is bounded
// by the attempts that were in flight.
func (c *call) newlyExcluded(e AttemptEnded) bool {
	return e.Outcome == retry.NotRun && !c.targetExcluded && c.target.Excluded()
}
