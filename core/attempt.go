package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// group is the balancer's view of a service, valid for one change count of
// the endpoint table.
type group struct {
	peers   *balance.Group
	changes uint64
}

// chooseBackend returns the backend server for the next attempt of a call.
// If a node has to remember the call's key, it is the key's home node,
// chosen by rendezvous hashing; otherwise it is the balancer's choice.
func (s *State) chooseBackend(c *call) (*balance.Endpoint, bool) {
	g := s.group(c.service)
	if c.homeKey().IsZero() {
		return s.requests.balancer.PickFor(s.now, g, c.asPick(s.now))
	}
	var home *balance.Endpoint
	best := uint64(0)
	for p := range g.All() {
		if p.IsLeaving() || slices.Contains(c.tried, p.Row.ID) {
			continue
		}
		if w := c.key.Weight(p.Row.ID); home == nil || w > best {
			home, best = p, w
		}
	}
	return home, home != nil
}

// asPick returns what the balancer has to know of a call.
func (c *call) asPick(now time.Time) balance.Request {
	return balance.Request{
		Kind: c.route.Name, Target: c.route.Policy.Target, Left: c.left(now), Tried: c.tried, Barred: c.barred,
	}
}

// left returns the time that is left of the policy's target latency or, if that has none,
// of the deadline.
func (c *call) left(now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if soft := c.softBudget(now); soft > 0 {
		left = min(left, soft)
	}
	return left
}

// group returns the endpoints of a service. It is rebuilt only after the
// endpoint table has changed.
func (s *State) group(service string) *balance.Group {
	g, ok := s.requests.groups[service]
	if !ok {
		g = &group{}
		s.requests.groups[service] = g
	}
	if n := s.table.Changes(); g.peers == nil || g.changes != n {
		g.peers, g.changes = s.requests.balancer.Group(g.peers, s.table.Serving(service)), n
	}
	return g.peers
}

// forward sends the next attempt of a call.
func (s *State) forward(id CallID, c *call) {
	p, ok := s.chooseBackend(c)
	if !ok {
		s.finishUnplaced(id, c)
		return
	}
	c.attempts++
	c.target, c.sent, c.targetExcluded = p, s.now, p.Excluded()
	s.requests.lastAttempt++
	c.attempt = AttemptID{Origin: s.requests.origin, Number: s.requests.lastAttempt}
	s.requests.balancer.Sent(s.now, p)
	s.log(notice.AttemptSent, Attr{"request", c.request}, Attr{"attempt", c.attempt.String()}, Attr{"route", c.route.Name},
		Attr{"service", c.service}, Attr{"target", p.Row.ID}, Attr{"dataCentre", p.Row.DataCentre}, Attr{"number", c.attempts}, Attr{"account", c.accountName()},
		Attr{"leftMillis", c.deadline.Sub(s.now).Milliseconds()}, Attr{"version", s.configVersion()})
	s.emit(Forward{
		Call: id, Attempt: c.attempt, Target: p.Row.ID, Incarnation: p.Row.Incarnation, Hop: p.Row.Hop,
		Local: p.Row.ID == s.cfg.Node, Class: c.class, Budget: c.deadline.Sub(s.now), SoftBudget: c.softBudget(s.now), Waited: c.waited, Key: c.homeKey(),
		AnswerBytes: s.group(c.service).AnswerBytes(c.route.Name),
		Said:        s.requests.notices[p.Row.ID],
		Account:     c.accountName(),
		MayRetry:    c.replayable && c.idempotent(s) && c.backendAttempts+1 < c.route.Policy.MaxAttempts,
	})
}

// finishUnplaced ends a call for which there is no backend server.
func (s *State) finishUnplaced(id CallID, c *call) {
	if opens, closed := s.group(c.service).LinkOpensIn(s.now, c.asPick(s.now)); closed {
		s.finishWith(Finish{Call: id, Outcome: retry.NotRun, Reason: string(admission.LinkFull), RetryAfter: opens})
		return
	}
	s.finish(id, retry.NotRun, "no backend server of service "+c.service+" takes requests")
}

// softBudget returns the time left until the policy's target latency, at
// least 1 ns once that has passed, and zero if the policy has none.
func (c *call) softBudget(now time.Time) time.Duration {
	target := c.route.Policy.Target
	if target == 0 {
		return 0
	}
	return max(target-now.Sub(c.arrived), 1)
}

// homeKey returns the key that the target has to remember, zero for none.
func (c *call) homeKey() idempotency.Key {
	if c.claim != nil {
		return idempotency.Key{}
	}
	return c.key
}

// attemptEnded ends a call whose last attempt was answered, and otherwise retries it
// if that is allowed.
func (s *State) attemptEnded(e AttemptEnded) {
	c, ok := s.requests.calls[e.Call]
	if !ok || c.attempt != e.Attempt {
		return
	}
	s.learnFromAttempt(c, e)
	if e.ReachedBackend || e.Outcome != retry.NotRun {
		c.backendAttempts++
	} else if c.rerun {
		s.budget(c.service).GiveBack()
	}
	c.rerun = false
	if e.AnswerHeld {
		s.retryHeldAnswer(e, c)
		return
	}
	if e.Outcome == retry.Ran {
		s.answered(c, e)
		return
	}
	c.maybeRan = c.maybeRan || e.Outcome == retry.Unknown
	c.replayable = c.replayable && !e.BodyDiscarded
	if e.ReachedBackend && !c.idempotent(s) {
		c.barred = append(c.barred, c.target.Row.ID) // it may repeat its refusal, which would look like that of another attempt
	}
	retried := s.takeRetry(c, e)
	s.logAttemptEnded(c, e, retried)
	if !retried {
		s.finish(e.Call, e.Outcome, e.Reason)
		return
	}
	s.forwardAgain(e.Call, c)
}

// learnFromAttempt updates what this node knows of the target of an attempt that ended.
func (s *State) learnFromAttempt(c *call, e AttemptEnded) {
	s.requests.balancer.Done(s.now, c.target, balance.Result{
		Failed: e.Failed && !e.backendFailed(), Unreachable: e.Unreachable || e.ConnectionRefused, ErrorAnswer: e.backendFailed(),
		Queue: e.Queue, LinkOpensIn: e.LinkOpensIn, Left: c.left(c.sent), Took: c.latency(s.now, e), Kind: c.route.Name, Bytes: e.Bytes,
	})
	if r := admission.Reason(e.Reason); r == admission.NotServing || r == admission.WrongIncarnation || e.ConnectionRefused {
		s.requests.balancer.MarkLeaving(s.now, c.target) // the local endpoint table is out of date
	}
	s.learnNotice(c.target.Row.ID, e)
	if e.Said.Leaving {
		s.requests.balancer.MarkLeaving(s.now, c.target)
	}
}

// answered ends a call whose backend server has answered.
func (s *State) answered(c *call, e AttemptEnded) {
	s.logAnswered(c, e)
	s.pressure(c.service).observe(s.now, false)
	s.endCall(e.Call, c, retry.Ran, e.Status)
}

// forwardAgain sends another attempt of a call, if possible to a backend server that has
// had none.
func (s *State) forwardAgain(id CallID, c *call) {
	c.tried = append(c.tried, c.target.Row.ID)
	s.forward(id, c)
}

// backendFailed reports whether a backend server answered with a server
// error, or that it did not run the request.
func (e AttemptEnded) backendFailed() bool {
	return e.Outcome == retry.Ran && e.Status >= firstServerError || e.Outcome == retry.NotRun && e.ReachedBackend
}

// latency returns the duration of an answered attempt, and zero for any
// other.
func (c *call) latency(now time.Time, e AttemptEnded) time.Duration {
	if e.Outcome != retry.Ran {
		return 0
	}
	return now.Sub(c.sent)
}

// targetID returns the target of the last attempt, empty for none.
func (c *call) targetID() string {
	if c.target == nil {
		return ""
	}
	return c.target.Row.ID
}
