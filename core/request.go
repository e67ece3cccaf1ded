package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/retry"
)

// requests holds the calls that entered the mesh at this node.
type requests struct {
	balancer    *balance.Balancer
	groups      map[string]*group        // by service
	budgets     map[string]*retry.Budget // by service
	linkBudgets map[string]*retry.Budget // by service, see linkBudget
	calls       map[CallID]*call
	freeCalls   []*call // for reuse
	claims      claims
	notices     map[string]BackendNotice // by target: what its backend server says of itself
	lastAttempt uint64
	origin      uint64 // random number of this process, part of every attempt ID
}

// group is the balancer's view of a service, valid for one change count of
// the endpoint table.
type group struct {
	peers   *balance.Group
	changes uint64
}

// call is one caller's request in progress. It keeps the route that it
// started with, even if the configuration changes.
type call struct {
	request         string
	arrived         time.Time
	method          string
	route           *config.Route
	service         string // service of the route, or the one chosen from its traffic split
	class           admission.Class
	deadline        time.Time
	replayable      bool
	attempts        int
	backendAttempts int      // attempts that a backend server may have seen
	tried           []string // IDs of the backend servers of earlier attempts
	barred          []string // those of them that must not get the call again
	target          *balance.Endpoint
	attempt         AttemptID
	sent            time.Time // when the current attempt was sent
	maybeRan        bool      // an earlier attempt may have run
	targetExcluded  bool      // the target was already excluded by the balancer, which had no other choice
	key             idempotency.Key
	claim           *claim // nil if the policy requires none
}

func newRequests(cfg Config, b *balance.Balancer) requests {
	return requests{
		balancer: b, groups: map[string]*group{}, calls: map[CallID]*call{},
		budgets: map[string]*retry.Budget{}, linkBudgets: map[string]*retry.Budget{}, notices: map[string]BackendNotice{},
		claims: claims{tokens: claimBurst},
		origin: uint64(cfg.Incarnation.Start)<<20 ^ uint64(cfg.Incarnation.Random),
	}
}

// classOf returns the admission class of a policy.
func classOf(p *config.Policy) admission.Class {
	if p.Rank != nil {
		return admission.Class(min(*p.Rank, int(admission.MaxClass)))
	}
	switch p.Priority {
	case config.PriorityStatus:
		return admission.Status
	case config.PriorityBatch:
		return admission.Batch
	}
	return admission.Interactive
}

// IsIdempotent reports whether a request may run more than once. It is true
// for a request that matches no route, which does not run at all.
func (s *State) IsIdempotent(method, host, path string) bool {
	route, ok := s.holder.snapshot.Match(method, host, path)
	return !ok || route.Policy.IsIdempotent(method)
}

func (s *State) callArrived(e CallArrived) {
	if ok, why := s.acceptsCalls(); !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, Reason: "node is not ready: " + why, RetryAfter: s.retryAfter(0, e.Budget)})
		return
	}
	route, ok := s.holder.snapshot.Match(e.Method, e.Host, e.Path)
	if !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, NoRoute: true, Reason: string(admission.UnknownRoute)})
		return
	}
	budget := route.Policy.Timeout
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	service := route.ServiceFor(s.rng.Float64())
	budget, ok = s.limitToExit(service, route.Name, budget)
	if !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, Reason: "node ends before the answer is due", RetryAfter: s.retryAfter(0, e.Budget)})
		return
	}
	c := s.newCall()
	*c = call{
		request: e.Request, arrived: s.now, method: e.Method, route: route, service: service, class: classOf(route.Policy),
		deadline: s.now.Add(budget), replayable: e.Replayable, tried: c.tried[:0], barred: c.barred[:0],
	}
	s.requests.calls[e.Call] = c
	s.budget(c.service).AddCall()
	s.linkBudget(c.service).AddCall()
	scope := keyScope(e, route.Policy)
	if scope != config.KeyScopeNone {
		c.key = idempotency.KeyOf(c.service, e.Key)
	}
	if scope == config.KeyScopePlatform {
		s.claim(e.Call, c)
		return
	}
	s.forward(e.Call, c)
}

// maxFreeCalls bounds the memory kept for reuse by later calls.
const maxFreeCalls = 1024

func (s *State) newCall() *call {
	free := s.requests.freeCalls
	if len(free) == 0 {
		return &call{}
	}
	c := free[len(free)-1]
	s.requests.freeCalls = free[:len(free)-1]
	return c
}

// keyScope returns the scope in which repeats of a call are detected. A
// call that may run more than once needs no key.
func keyScope(e CallArrived, p *config.Policy) config.KeyScope {
	if e.Key == "" || p.IsIdempotent(e.Method) {
		return config.KeyScopeNone
	}
	return p.IdempotencyKey
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
		Attr{"service", c.service}, Attr{"target", p.Row.ID}, Attr{"dataCentre", p.Row.DataCentre}, Attr{"number", c.attempts},
		Attr{"leftMillis", c.deadline.Sub(s.now).Milliseconds()}, Attr{"version", s.configVersion()})
	s.emit(Forward{
		Call: id, Attempt: c.attempt, Target: p.Row.ID, Incarnation: p.Row.Incarnation, Hop: p.Row.Hop,
		Local: p.Row.ID == s.cfg.Node, Class: c.class, Budget: c.deadline.Sub(s.now), SoftBudget: c.softBudget(s.now), Key: c.homeKey(),
		AnswerBytes: s.group(c.service).LargeAnswerBytes(c.route.Name),
		Said:        s.requests.notices[p.Row.ID],
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

// finish ends a call without a backend server's answer.
func (s *State) finish(id CallID, o retry.Outcome, reason string) {
	s.finishWith(Finish{Call: id, Outcome: o, Reason: reason})
}

func (s *State) finishWith(f Finish) {
	c := s.requests.calls[f.Call]
	if c.maybeRan && f.Outcome == retry.NotRun && !s.requestFaults.forgetUnknown {
		f.Outcome = retry.Unknown
	}
	if f.Outcome == retry.NotRun {
		f.RetryAfter = s.retryAfter(f.RetryAfter, c.deadline.Sub(s.now))
	}
	s.logEnded(c, f)
	s.endCall(f.Call, c, f.Outcome, f.Status)
	s.emit(f)
}

// rejectCall ends a call that was not admitted.
func (s *State) rejectCall(e CallArrived, f Finish) {
	s.logEnded(&call{request: e.Request, arrived: s.now}, f)
	s.emit(f)
}

// Bounds of the time after which a refused caller may retry. It is random
// between them, so that callers that were refused together do not retry
// together.
const (
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 150 * time.Millisecond
	// A caller is told to wait for at most the remaining time divided by
	// retryAfterDivisor, which leaves enough for the request itself.
	retryAfterDivisor = 4
)

// retryAfter returns how long a caller with the given time left should wait
// before it retries a request that can't be served before earliest.
func (s *State) retryAfter(earliest, left time.Duration) time.Duration {
	after := earliest + minRetryAfter + s.jitter(maxRetryAfter-minRetryAfter)
	if left > 0 {
		after = min(after, left/retryAfterDivisor)
	}
	return after
}

// endCall removes a call and releases its claim.
func (s *State) endCall(id CallID, c *call, o retry.Outcome, status int) {
	delete(s.requests.calls, id)
	if c.claim != nil {
		s.endClaim(id, c, o, status)
	}
	if len(s.requests.freeCalls) < maxFreeCalls {
		s.requests.freeCalls = append(s.requests.freeCalls, c)
	}
}

func (s *State) attemptEnded(e AttemptEnded) {
	c, ok := s.requests.calls[e.Call]
	if !ok || c.attempt != e.Attempt {
		return
	}
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
	if e.ReachedBackend || e.Outcome != retry.NotRun {
		c.backendAttempts++
	}
	if e.AnswerHeld {
		s.retryHeldAnswer(e, c)
		return
	}
	if e.Outcome == retry.Ran {
		s.logAnswered(c, e)
		s.endCall(e.Call, c, retry.Ran, e.Status)
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
	c.tried = append(c.tried, c.target.Row.ID)
	s.forward(e.Call, c)
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

// callClosed ends a call whose caller has disconnected.
func (s *State) callClosed(id CallID) {
	c, ok := s.requests.calls[id]
	if !ok {
		return
	}
	s.log(notice.CallerLeft, Attr{"request", c.request}, Attr{"service", c.service}, Attr{"attempts", c.attempts},
		Attr{"tookMillis", s.now.Sub(c.arrived).Milliseconds()})
	o := retry.NotRun
	if c.attempts > 0 {
		s.requests.balancer.Done(s.now, c.target, balance.Result{Queue: -1})
		o = retry.Unknown
	}
	s.endCall(id, c, o, 0)
}
