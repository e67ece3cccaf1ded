package core

import (
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
	pressures   map[string]*pressure     // by service
	callerTimes map[string]*callerTime   // by route
	lastAttempt uint64
	origin      uint64 // random number of this process, part of every attempt ID
}

// call is one caller's request in progress. It keeps the route that it
// started with, even if the configuration changes.
type call struct {
	request         string
	arrived         time.Time
	waited          time.Duration // how long before arrived the caller asked first, as far as its time left tells
	method          string
	route           *config.Route
	account         *config.Account // of the caller; nil: none
	charged         time.Time       // when the account was charged; zero: it was not
	awaitsQuota     bool            // the account is being charged
	needsClaim      bool            // the first attempt waits for a claim of key
	service         string          // service of the route, or the one chosen from its traffic split
	class           admission.Class
	deadline        time.Time
	callerDeadline  time.Time // when the caller gives up, as far as it told: not before deadline
	replayable      bool
	attempts        int
	backendAttempts int      // attempts that a backend server may have seen
	tried           []string // IDs of the backend servers of earlier attempts
	barred          []string // those of them that must not get the call again
	target          *balance.Endpoint
	attempt         AttemptID
	sent            time.Time // when the current attempt was sent
	maybeRan        bool      // an earlier attempt may have run
	rerun           bool      // the current attempt was charged as a rerun
	targetExcluded  bool      // the target was already excluded by the balancer, which had no other choice
	key             idempotency.Key
	claim           *claim // nil if the policy requires none
}

func newRequests(cfg Config, b *balance.Balancer) requests {
	return requests{
		balancer: b, groups: map[string]*group{}, calls: map[CallID]*call{},
		budgets: map[string]*retry.Budget{}, linkBudgets: map[string]*retry.Budget{}, notices: map[string]BackendNotice{}, pressures: map[string]*pressure{}, callerTimes: map[string]*callerTime{},
		claims: claims{tokens: claimBurst},
		origin: uint64(cfg.Incarnation.Start)<<20 ^ uint64(cfg.Incarnation.Random),
	}
}

// classOf returns the admission class of a request.
func (s *State) classOf(p *config.Policy, a *config.Account) admission.Class {
	return admission.Class(min(s.holder.snapshot.RankOf(p, a), int(admission.MaxClass)))
}

// IsIdempotent reports whether a request may run more than once. It is true
// for a request that matches no route, which does not run at all.
func (s *State) IsIdempotent(method, host, path string) bool {
	route, ok := s.holder.snapshot.Match(method, host, path)
	return !ok || route.Policy.IsIdempotent(method)
}

func (s *State) callArrived(e CallArrived) {
	if ok, why := s.acceptsCalls(e.FromMesh); !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, Reason: "node is not ready: " + why, RetryAfter: s.retryAfter(0, e.Budget)})
		return
	}
	route, ok := s.holder.snapshot.Match(e.Method, e.Host, e.Path)
	if !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, NoRoute: true, Reason: string(admission.UnknownRoute)})
		return
	}
	account, ok := s.authenticate(route, e.Credential)
	if !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, NoAccount: true, Reason: noAccountReason(e.Credential)})
		return
	}
	budget := route.Policy.Timeout
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	service := route.ServiceFor(s.rng.Float64())
	budget, ok = s.limitToExit(service, route.Name, budget)
	if !ok {
		s.rejectCall(e, Finish{Call: e.Call, Outcome: retry.NotRun, Reason: endsTooSoon, RetryAfter: s.retryAfter(0, e.Budget)})
		return
	}
	c := s.newCall()
	*c = call{
		request: e.Request, arrived: s.now, waited: s.waited(e, route.Name, service), method: e.Method, route: route, account: account, service: service, class: s.classOf(route.Policy, account),
		deadline: s.now.Add(budget), callerDeadline: s.now.Add(max(budget, e.Budget)), replayable: e.Replayable, tried: c.tried[:0], barred: c.barred[:0],
	}
	s.requests.calls[e.Call] = c
	s.budget(c.service).AddCall()
	s.linkBudget(c.service).AddCall()
	scope := keyScope(e, route.Policy)
	if scope != config.KeyScopeNone {
		c.key = idempotency.KeyOf(c.service, e.Key)
	}
	c.needsClaim = scope == config.KeyScopePlatform
	s.charge(e.Call, c)
}

// begin sends the first attempt of a call that may run.
func (s *State) begin(id CallID, c *call) {
	if c.needsClaim {
		s.claim(id, c)
		return
	}
	s.forward(id, c)
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

// finish ends a call without a backend server's answer.
func (s *State) finish(id CallID, o retry.Outcome, reason string) {
	s.finishWith(Finish{Call: id, Outcome: o, Reason: reason})
}

func (s *State) finishWith(f Finish) {
	c := s.requests.calls[f.Call]
	if c.maybeRan && f.Outcome == retry.NotRun && !s.requestFaults.forgetUnknown {
		f.Outcome = retry.Unknown
	}
	linkFull := f.Reason == string(admission.LinkFull)
	s.pressure(c.service).observe(s.now, f.Outcome == retry.NotRun && !linkFull)
	switch {
	case f.Outcome != retry.NotRun:
	case linkFull:
		f.RetryAfter = s.retryAfter(f.RetryAfter, c.deadline.Sub(s.now))
	default:
		f.RetryAfter = s.retryAfterRefusal(c)
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

// endCall removes a call and releases its claim.
func (s *State) endCall(id CallID, c *call, o retry.Outcome, status int) {
	delete(s.requests.calls, id)
	s.endCharge(id, c, o)
	if c.claim != nil {
		s.endClaim(id, c, o, status)
	}
	if len(s.requests.freeCalls) < maxFreeCalls {
		s.requests.freeCalls = append(s.requests.freeCalls, c)
	}
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
		s.requests.balancer.Done(s.now, c.target, balance.Result{GivenUp: true})
		o = retry.Unknown
	}
	s.endCall(id, c, o, 0)
}
