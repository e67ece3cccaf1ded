package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/retry"
)

// retryReserve is the number of retries allowed when there are few calls.
const retryReserve = 10

// requests holds the calls that entered at this node.
type requests struct {
	balancer    *balance.Balancer
	budget      *retry.Budget
	calls       map[CallID]*call
	lastAttempt uint64
	origin      uint64 // random number of this process, in every attempt ID
}

// call is one caller's request on its way. It keeps the route it began with,
// whatever configuration comes.
type call struct {
	method   string
	route    *config.Route
	class    admission.Class
	deadline time.Time
	repeats  bool
	attempts int
	tried    []string
	target   string
	attempt  AttemptID
	unknown  bool // an earlier attempt may have run
}

func newRequests(cfg Config, b *balance.Balancer) requests {
	return requests{
		balancer: b, calls: map[CallID]*call{},
		budget: retry.NewBudget(retry.Config{Share: cfg.RetryShare, Reserve: retryReserve}),
		origin: uint64(cfg.Incarnation.Start)<<20 ^ uint64(cfg.Incarnation.Random),
	}
}

// classOf returns the admission class of a priority.
func classOf(p config.Priority) admission.Class {
	switch p {
	case config.PriorityStatus:
		return admission.Status
	case config.PriorityBatch:
		return admission.Batch
	}
	return admission.Interactive
}

func (s *State) callArrived(e CallArrived) {
	if ok, why := s.Ready(); !ok {
		s.emit(Finish{Call: e.Call, Outcome: retry.NotRun, Reason: "node is not ready: " + why})
		return
	}
	route, ok := s.holder.snapshot.Match(e.Method, e.Path)
	if !ok {
		s.emit(Finish{Call: e.Call, Outcome: retry.NotRun, NoRoute: true, Reason: string(admission.UnknownRoute)})
		return
	}
	budget := route.Policy.Timeout
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	s.requests.budget.Call()
	c := &call{
		method: e.Method, route: route, class: classOf(route.Policy.Priority),
		deadline: s.now.Add(budget), repeats: e.Repeats,
	}
	s.requests.calls[e.Call] = c
	s.forward(e.Call, c)
}

// forward sends the next attempt of a call.
func (s *State) forward(id CallID, c *call) {
	row, ok := s.requests.balancer.Pick(s.now, s.table.Serving(c.route.Service), c.tried)
	if !ok {
		s.finish(id, retry.NotRun, "no backend server of service "+c.route.Service+" takes requests")
		return
	}
	c.attempts++
	c.target, c.tried = row.ID, append(c.tried, row.ID)
	s.requests.lastAttempt++
	c.attempt = AttemptID{Origin: s.requests.origin, Number: s.requests.lastAttempt}
	s.requests.balancer.Sent(row.ID)
	s.emit(Forward{
		Call: id, Attempt: c.attempt, Target: row.ID, Incarnation: row.Incarnation, Hop: row.Hop, Local: row.ID == s.cfg.Node,
		Class: c.class, Budget: c.deadline.Sub(s.now),
	})
}

func (s *State) finish(id CallID, o retry.Outcome, reason string) {
	if s.requests.calls[id].unknown && !s.fault.forgetUnknown {
		o = retry.Unknown
	}
	delete(s.requests.calls, id)
	s.emit(Finish{Call: id, Outcome: o, Reason: reason})
}

func (s *State) attemptEnded(e AttemptEnded) {
	c, ok := s.requests.calls[e.Call]
	if !ok || c.attempt != e.Attempt {
		return
	}
	s.requests.balancer.Done(s.now, c.target, balance.Result{Failed: e.Failed, Queue: e.Queue})
	if e.Outcome == retry.Ran {
		delete(s.requests.calls, e.Call)
		return
	}
	c.unknown = c.unknown || e.Outcome == retry.Unknown
	idempotent := c.route.Policy.IsIdempotent(c.method) || s.fault.repeatAll
	again := retry.Allowed(e.Outcome, idempotent, e.AnswerStarted) &&
		c.repeats && c.attempts < c.route.Policy.MaxAttempts && s.now.Before(c.deadline) && s.requests.budget.Take()
	if !again {
		s.finish(e.Call, e.Outcome, e.Reason)
		return
	}
	s.forward(e.Call, c)
}

// callLeft ends a call whose caller is gone.
func (s *State) callLeft(id CallID) {
	c, ok := s.requests.calls[id]
	if !ok {
		return
	}
	s.requests.balancer.Done(s.now, c.target, balance.Result{Queue: -1})
	delete(s.requests.calls, id)
}
