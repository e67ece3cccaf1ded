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

// requests holds the calls that entered at this node.
type requests struct {
	balancer    *balance.Balancer
	groups      map[string]*group        // by service
	budgets     map[string]*retry.Budget // by service
	calls       map[CallID]*call
	free        []*call // to be used again
	claims      claims
	lastAttempt uint64
	origin      uint64 // random number of this process, in every attempt ID
}

// group is the balancer's view of a service, built after so many changes of
// the table.
type group struct {
	peers   *balance.Group
	changes uint64
}

// call is one caller's request on its way. It keeps the route it began with,
// whatever configuration comes.
type call struct {
	request  string
	arrived  time.Time
	method   string
	route    *config.Route
	service  string // of the route, one of its shares if it is split
	class    admission.Class
	deadline time.Time
	repeats  bool
	attempts int
	arrivals int // attempts that a backend server may have seen
	tried    []string
	target   *balance.Peer
	attempt  AttemptID
	sent     time.Time // the attempt
	unknown  bool      // an earlier attempt may have run
	leftOut  bool      // the target was left out of the choice already, and there was no other
	key      idempotency.Key
	claim    *claim // nil: the policy wants none
}

func newRequests(cfg Config, b *balance.Balancer) requests {
	return requests{
		balancer: b, groups: map[string]*group{}, calls: map[CallID]*call{},
		budgets: map[string]*retry.Budget{},
		claims:  claims{tokens: claimBurst},
		origin:  uint64(cfg.Incarnation.Start)<<20 ^ uint64(cfg.Incarnation.Random),
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

// MayRepeat reports whether a request may run more than once. One that matches
// no route does not run at all.
func (s *State) MayRepeat(method, host, path string) bool {
	route, ok := s.holder.snapshot.Match(method, host, path)
	return !ok || route.Policy.IsIdempotent(method)
}

func (s *State) callArrived(e CallArrived) {
	if ok, why := s.accepts(); !ok {
		s.turnAway(e, Finish{Call: e.Call, Outcome: retry.NotRun, Reason: "node is not ready: " + why, After: s.comeBack(e.Budget)})
		return
	}
	route, ok := s.holder.snapshot.Match(e.Method, e.Host, e.Path)
	if !ok {
		s.turnAway(e, Finish{Call: e.Call, Outcome: retry.NotRun, NoRoute: true, Reason: string(admission.UnknownRoute)})
		return
	}
	budget := route.Policy.Timeout
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	c := s.newCall()
	*c = call{
		request: e.Request, arrived: s.now, method: e.Method, route: route, service: route.ServiceFor(s.rng.Float64()), class: classOf(route.Policy),
		deadline: s.now.Add(budget), repeats: e.Repeats, tried: c.tried[:0],
	}
	s.requests.calls[e.Call] = c
	s.budget(c.service).AddCall()
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

// maxFreeCalls bounds the memory kept for calls to come.
const maxFreeCalls = 1024

func (s *State) newCall() *call {
	free := s.requests.free
	if len(free) == 0 {
		return &call{}
	}
	c := free[len(free)-1]
	s.requests.free = free[:len(free)-1]
	return c
}

// keyScope returns where repeats of a call are recognized. A call that may
// run more than once needs no key.
func keyScope(e CallArrived, p *config.Policy) config.KeyScope {
	if e.Key == "" || p.IsIdempotent(e.Method) {
		return config.KeyScopeNone
	}
	return p.Key
}

// choose returns the backend server for the next attempt of a call: the home
// of its key if a node is to hold it, else the balancer's choice.
func (s *State) choose(c *call) (*balance.Peer, bool) {
	g := s.group(c.service)
	if c.homeKey().IsZero() {
		return s.requests.balancer.PickFor(s.now, g, balance.Request{
			Kind: c.route.Name, Target: c.route.Policy.Target, Tried: c.tried,
		})
	}
	var home *balance.Peer
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

// group returns the endpoints of a service. It is built again only after the
// table has changed.
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
	p, ok := s.choose(c)
	if !ok {
		s.finish(id, retry.NotRun, "no backend server of service "+c.service+" takes requests")
		return
	}
	c.attempts++
	c.target, c.sent, c.leftOut = p, s.now, p.Excluded()
	s.requests.lastAttempt++
	c.attempt = AttemptID{Origin: s.requests.origin, Number: s.requests.lastAttempt}
	s.requests.balancer.Sent(s.now, p)
	s.log(notice.AttemptSent, Attr{"request", c.request}, Attr{"attempt", c.attempt.String()}, Attr{"route", c.route.Name},
		Attr{"service", c.service}, Attr{"target", p.Row.ID}, Attr{"dataCentre", p.Row.DataCentre}, Attr{"number", c.attempts},
		Attr{"leftMillis", c.deadline.Sub(s.now).Milliseconds()}, Attr{"version", s.configVersion()})
	s.emit(Forward{
		Call: id, Attempt: c.attempt, Target: p.Row.ID, Incarnation: p.Row.Incarnation, Hop: p.Row.Hop,
		Local: p.Row.ID == s.cfg.Node, Class: c.class, Budget: c.deadline.Sub(s.now), Wanted: c.wanted(s.now), Key: c.homeKey(),
		Repeats: c.repeats && c.idempotent(s) && c.arrivals+1 < c.route.Policy.MaxAttempts,
	})
}

// wanted returns the time left until the latency that callers are content
// with, the shortest there is once it has passed, zero if it is not told.
func (c *call) wanted(now time.Time) time.Duration {
	target := c.route.Policy.Target
	if target == 0 {
		return 0
	}
	return max(target-now.Sub(c.arrived), 1)
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
	if f.Outcome == retry.NotRun {
		f.After = s.comeBack(c.deadline.Sub(s.now))
	}
	s.logEnded(c, f)
	s.endCall(f.Call, c, f.Outcome, f.Status)
	s.emit(f)
}

// turnAway ends a call that has not been taken in.
func (s *State) turnAway(e CallArrived, f Finish) {
	s.logEnded(&call{request: e.Request, arrived: s.now}, f)
	s.emit(f)
}

// Bounds of the time after which a caller is told to come back. It is random
// between them, so that those who were refused together do not return together.
const (
	comeBackFirst = 30 * time.Millisecond
	comeBackLast  = 150 * time.Millisecond
	// comeBackPart of the time left, as a divisor, is the longest wait that
	// leaves enough for the request itself.
	comeBackPart = 4
)

// comeBack returns when a caller may come back that has so much time left.
func (s *State) comeBack(left time.Duration) time.Duration {
	after := comeBackFirst + s.jitter(comeBackLast-comeBackFirst)
	if left > 0 {
		after = min(after, left/comeBackPart)
	}
	return after
}

// endCall forgets a call and lets go of its claim.
func (s *State) endCall(id CallID, c *call, o retry.Outcome, status int) {
	delete(s.requests.calls, id)
	if c.claim != nil {
		s.endClaim(id, c, o, status)
	}
	if len(s.requests.free) < maxFreeCalls {
		s.requests.free = append(s.requests.free, c)
	}
}

func (s *State) attemptEnded(e AttemptEnded) {
	c, ok := s.requests.calls[e.Call]
	if !ok || c.attempt != e.Attempt {
		return
	}
	s.requests.balancer.Done(s.now, c.target, balance.Result{
		Failed: e.Failed && !e.erred(), Refused: e.Failed && e.Outcome == retry.NotRun, ErrorAnswer: e.erred(),
		Queue: e.Queue, Took: c.took(s.now, e), Kind: c.route.Name, Bytes: e.Bytes,
	})
	if r := admission.Reason(e.Reason); r == admission.NotServing || r == admission.WrongIncarnation || e.TargetGone {
		s.requests.balancer.MarkLeaving(s.now, c.target) // the table here is behind
	}
	if e.Arrived || e.Outcome != retry.NotRun {
		c.arrivals++
	}
	if c.target.Row.ID != s.cfg.Node {
		s.backend.queue.RecordSent(s.now, e.Bytes) // it went out over the same link
	}
	if e.Held {
		s.answerHeld(e, c)
		return
	}
	if e.Outcome == retry.Ran {
		s.logAnswered(c, e)
		s.endCall(e.Call, c, retry.Ran, e.Status)
		return
	}
	c.unknown = c.unknown || e.Outcome == retry.Unknown
	c.repeats = c.repeats && !e.BodyGone
	again := s.tryAgain(c, e)
	s.logAttemptEnded(c, e, again)
	if !again {
		s.finish(e.Call, e.Outcome, e.Reason)
		return
	}
	c.tried = append(c.tried, c.target.Row.ID)
	s.forward(e.Call, c)
}

// erred reports whether a backend server answered with a failure of its own, or
// that it did not run the request.
func (e AttemptEnded) erred() bool {
	return e.Outcome == retry.Ran && e.Status >= firstServerError || e.Outcome == retry.NotRun && e.Arrived
}

// took returns the time of an attempt that was answered, zero for another.
func (c *call) took(now time.Time, e AttemptEnded) time.Duration {
	if e.Outcome != retry.Ran {
		return 0
	}
	return now.Sub(c.sent)
}

// targetID returns the backend server of the last attempt, empty for none.
func (c *call) targetID() string {
	if c.target == nil {
		return ""
	}
	return c.target.Row.ID
}

// callLeft ends a call whose caller is gone.
func (s *State) callLeft(id CallID) {
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
