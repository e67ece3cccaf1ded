package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/retry"
)

// retryReserve is the number of retries allowed when there are few calls.
const retryReserve = 10

// requests holds the calls that entered at this node.
type requests struct {
	balancer    *balance.Balancer
	budget      *retry.Budget
	calls       map[CallID]*call
	claims      claims
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
	key      idempotency.Key
	claim    *claim // nil: the policy wants none
}

func newRequests(cfg Config, b *balance.Balancer) requests {
	return requests{
		balancer: b, calls: map[CallID]*call{},
		budget: retry.NewBudget(retry.Config{Share: cfg.RetryShare, Reserve: retryReserve}),
		claims: claims{tokens: claimBurst},
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
	scope := keyScope(e, route.Policy)
	if scope != config.KeyIgnored {
		c.key = idempotency.KeyOf(route.Service, e.Key)
	}
	if scope == config.KeyPlatform {
		s.claim(e.Call, c)
		return
	}
	s.forward(e.Call, c)
}

// keyScope returns where repeats of a call are recognized. A call that may
// run more than once needs no key.
func keyScope(e CallArrived, p *config.Policy) config.KeyScope {
	if e.Key == "" || p.IsIdempotent(e.Method) {
		return config.KeyIgnored
	}
	return p.Key
}

// choose returns the backend server for the next attempt of a call: the home
// of its key if a node is to hold it, else the balancer's choice.
func (s *State) choose(c *call) (*endpoint.Row, bool) {
	rows := s.table.Serving(c.route.Service)
	if c.key.IsZero() || c.claim != nil {
		return s.requests.balancer.Pick(s.now, rows, c.tried)
	}
	var home *endpoint.Row
	best := uint64(0)
	for _, r := range rows {
		if w := c.key.Weight(r.ID); !slices.Contains(c.tried, r.ID) && (home == nil || w > best) {
			home, best = r, w
		}
	}
	return home, home != nil
}

// forward sends the next attempt of a call.
func (s *State) forward(id CallID, c *call) {
	row, ok := s.choose(c)
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
		Class: c.class, Budget: c.deadline.Sub(s.now), Key: c.homeKey(),
	})
}

// homeKey returns the key that the target is to hold.
func (c *call) homeKey() idempotency.Key {
	if c.claim != nil {
		return idempotency.Key{}
	}
	return c.key
}

// finish ends a call without a backend server's answer.
func (s *State) finish(id CallID, o retry.Outcome, reason string) {
	s.conclude(Finish{Call: id, Outcome: o, Reason: reason})
}

func (s *State) conclude(f Finish) {
	c := s.requests.calls[f.Call]
	if c.unknown && f.Outcome == retry.NotRun && !s.fault.forgetUnknown {
		f.Outcome = retry.Unknown
	}
	s.endCall(f.Call, c, f.Outcome, f.Status)
	s.emit(f)
}

// endCall forgets a call and lets go of its claim.
func (s *State) endCall(id CallID, c *call, o retry.Outcome, status int) {
	delete(s.requests.calls, id)
	if c.claim != nil {
		s.endClaim(id, c, o, status)
	}
}

func (s *State) attemptEnded(e AttemptEnded) {
	c, ok := s.requests.calls[e.Call]
	if !ok || c.attempt != e.Attempt {
		return
	}
	s.requests.balancer.Done(s.now, c.target, balance.Result{Failed: e.Failed, Queue: e.Queue})
	if e.Outcome == retry.Ran {
		s.endCall(e.Call, c, retry.Ran, e.Status)
		return
	}
	c.unknown = c.unknown || e.Outcome == retry.Unknown
	c.repeats = c.repeats && !e.BodyGone
	if !s.tryAgain(c, e) {
		s.finish(e.Call, e.Outcome, e.Reason)
		return
	}
	s.forward(e.Call, c)
}

// tryAgain reports whether a call gets another attempt, and spends the budget
// for it.
func (s *State) tryAgain(c *call, e AttemptEnded) bool {
	idempotent := c.route.Policy.IsIdempotent(c.method) || s.fault.repeatAll
	if !retry.Allowed(e.Outcome, idempotent, e.AnswerStarted) || !c.repeats {
		return false
	}
	if !c.homeKey().IsZero() && admission.Reason(e.Reason) != admission.NotServing {
		return false // only a home that is leaving hands its keys on
	}
	return c.attempts < c.route.Policy.MaxAttempts && s.now.Before(c.deadline) && s.requests.budget.Take()
}

// callLeft ends a call whose caller is gone.
func (s *State) callLeft(id CallID) {
	c, ok := s.requests.calls[id]
	if !ok {
		return
	}
	o := retry.NotRun
	if c.attempts > 0 {
		s.requests.balancer.Done(s.now, c.target, balance.Result{Queue: -1})
		o = retry.Unknown
	}
	s.endCall(id, c, o, 0)
}
