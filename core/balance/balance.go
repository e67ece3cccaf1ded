// Package balance selects a backend server for each request. It prefers the own
// data centre and takes the better of two random endpoints, by the load expected
// there and by recent latency and errors. Warming endpoints get a slow start, and
// endpoints are ejected, up to a bound, after consecutive failures. The cost of a
// selection does not grow with the number of endpoints.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// Config holds the settings of a Balancer. Loads are expressed as requests per slot.
type Config struct {
	DataCentre        string
	Node              string        // ID of the endpoint on this host; empty: none
	EjectAfter        int           // consecutive failures after which an endpoint is ejected
	EjectFor          time.Duration // duration of an endpoint's first ejection
	MaxEjected        float64       // maximum share of a group that is ejected at a time; the others stay in use even if they fail
	SlowStart         time.Duration // time after which a warming endpoint gets its full share
	SpillOverLoad     float64       // load from which other data centres are considered, if there is no target or the usual latency is unknown
	SpillOverGain     float64       // minimum difference in load for which another data centre is chosen
	SpillTargetShare  float64       // share of the target latency; the own data centre is used while the expected latency is below it
	SpillLargeFactor  float64       // multiplies SpillOverLoad and SpillTargetShare for requests with large answers
	QueueStale        time.Duration // age from which a reported queue length is ignored
	HealthStale       time.Duration // age from which failures and slow answers are ignored
	ExcludeLeavingFor time.Duration // how long an endpoint is excluded after it announced that it is leaving
}

// DefaultConfig returns the default settings for a node in a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre: dataCentre, EjectAfter: 5, EjectFor: 5 * time.Second,
		MaxEjected: 0.5, SlowStart: 10 * time.Second, SpillOverLoad: 0.9, SpillOverGain: 0.4, SpillTargetShare: 0.6, SpillLargeFactor: 2,
		QueueStale: time.Second, HealthStale: 5 * time.Second, ExcludeLeavingFor: 5 * time.Second,
	}
}

// slowStartFloor is the share of its full traffic that an endpoint gets at the
// beginning of its slow start.
const slowStartFloor = 0.1

// slowFirstAnswer is the relative latency from which the first answer of an endpoint
// is taken as it is, without averaging it with the assumed value of 1.
const slowFirstAnswer = 4

// Bounds of the relative latency of an answer.
const (
	minRelativeLatency = 0.3
	maxRelativeLatency = 10
)

// Numbers of samples over which figures are exponentially smoothed.
const (
	latencySmoothing = 6  // for relative latency; the assumed initial value of 1 weighs as much as one answer
	errorSmoothing   = 8  // for the share of errors of an endpoint
	groupSmoothing   = 64 // for the figures of a group
)

// largeAnswerBytes is the average answer size from which a kind of request counts as
// having large answers.
const largeAnswerBytes = uplink.LargeBytes

// Balancer holds the load and health of endpoints as seen from this node.
type Balancer struct {
	cfg       Config
	rng       *rand.Rand
	endpoints map[string]*Endpoint
}

// New returns a Balancer that takes its random numbers from rng.
func New(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg, rng: rng, endpoints: map[string]*Endpoint{}}
}

// Request describes a request before it is sent.
type Request struct {
	Kind   string        // requests of a kind have similar run times and answer sizes
	Target time.Duration // the request's target latency; zero: none
	Left   time.Duration // time left until it meets its target latency, or until its deadline if it has none
	Tried  []string      // IDs of endpoints to avoid unless there is no other
	Barred []string      // IDs of endpoints that must not be selected, all of them in Tried too
}

// Pick selects an endpoint for a request of unknown kind and target, as PickFor does.
func (b *Balancer) Pick(now time.Time, g *Group, tried []string) (*Endpoint, bool) {
	return b.PickFor(now, g, Request{Tried: tried})
}

// PickFor selects an endpoint of a group. It returns false if the group has none that
// may be selected, or none whose link is open if the answer is large (see LinkOpensIn).
func (b *Balancer) PickFor(now time.Time, g *Group, r Request) (*Endpoint, bool) {
	g.restore(now)
	large := g.kinds[r.Kind].isLarge()
	if large {
		if own := b.ownEndpoint(now, g, r); own != nil {
			return own, true
		}
	}
	if e := b.pickUntried(now, g, r, large); e != nil {
		return e, true
	}
	if large && g.anyLinkClosed(now, r) {
		return nil, false
	}
	for _, s := range []*set{&g.local, &g.remote} {
		if e := b.drawExcluded(s, r.Barred); e != nil { // all endpoints are excluded or were tried
			return e, true
		}
	}
	return nil, false
}

// drawExcluded returns a random endpoint, whether or not it is excluded or was tried.
func (b *Balancer) drawExcluded(s *set, barred []string) *Endpoint {
	n := len(s.endpoints)
	if n == 0 {
		return nil
	}
	first := b.rng.IntN(n)
	for i := range n {
		if e := s.endpoints[(first+i)%n]; !contains(barred, e.Row.ID) {
			return e
		}
	}
	return nil
}

func (b *Balancer) pickUntried(now time.Time, g *Group, r Request, large bool) *Endpoint {
	near := b.pickTwoChoices(now, &g.local, r, large)
	if near != nil && (g.remote.healthy == 0 || b.withinTarget(now, g, near, r)) {
		return near
	}
	far := b.pickTwoChoices(now, &g.remote, r, large)
	if near == nil || far != nil && b.load(now, far)+b.cfg.SpillOverGain < b.load(now, near) {
		return far
	}
	return near
}

// withinTarget reports whether an endpoint in the own data centre is expected to
// answer within the target latency, or is not overloaded if that can't be told.
// Other data centres are considered only if not, since requests to them take longer
// and use the links between data centres.
func (b *Balancer) withinTarget(now time.Time, g *Group, e *Endpoint, r Request) bool {
	load, k := b.load(now, e), g.kinds[r.Kind]
	factor := 1.0
	if k.isLarge() {
		factor = b.cfg.SpillLargeFactor
	}
	if r.Target == 0 || k.latency == 0 {
		return load < b.cfg.SpillOverLoad*factor
	}
	expected := max(load, b.slowdown(now, e)*b.errorFactor(now, e)) * float64(k.latency)
	return expected < float64(r.Target)*b.cfg.SpillTargetShare*factor
}

// pickTwoChoices returns the less loaded of two random endpoints (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing"). Whatever load an endpoint
// reports, it is a candidate in at most 2/n of the selections among n endpoints.
func (b *Balancer) pickTwoChoices(now time.Time, s *set, r Request, large bool) *Endpoint {
	first := b.draw(now, s, r, nil, large)
	second := b.draw(now, s, r, first, large)
	if first == nil || second == nil || b.load(now, second) >= b.load(now, first) {
		return first
	}
	return second
}

// draw returns a random endpoint that is not excluded, other than except, for a large
// answer one whose link is open. A warming endpoint is replaced by another draw with a
// probability that decreases during its slow start.
func (b *Balancer) draw(now time.Time, s *set, r Request, except *Endpoint, large bool) *Endpoint {
	e := b.drawAny(now, s, r, except, large)
	if e != nil && e.Row.State == endpoint.Warming && b.rng.Float64() > b.slowStartShare(now, e) {
		return b.drawAny(now, s, r, except, large)
	}
	return e
}

func (b *Balancer) drawAny(now time.Time, s *set, r Request, except *Endpoint, large bool) *Endpoint {
	if s.healthy == 0 {
		return nil
	}
	steps := min(s.healthy, len(r.Tried)+2)
	if large {
		steps = s.healthy // any number of links may be closed
	}
	i := b.rng.IntN(s.healthy)
	for range steps {
		e := s.endpoints[i]
		if e != except && !contains(r.Tried, e.Row.ID) && !(large && e.linkClosed(now, r)) {
			return e
		}
		if i++; i == s.healthy {
			i = 0
		}
	}
	return nil
}

// slowStartShare returns the share of its full traffic that a warming endpoint gets.
func (b *Balancer) slowStartShare(now time.Time, e *Endpoint) float64 {
	share := float64(now.Sub(e.Row.Since)) / float64(max(b.cfg.SlowStart, 1))
	return min(max(share, slowStartFloor), 1)
}

// Sent records that a request was sent to an endpoint.
func (b *Balancer) Sent(now time.Time, e *Endpoint) {
	if e.inFlight == 0 {
		e.silentSince = now
	}
	e.inFlight++
}

// Result is the result of an attempt.
type Result struct {
	Failed      bool          // there was no answer
	Unreachable bool          // Failed, because no connection could be opened
	ErrorAnswer bool          // the backend server answered with an error, or that it did not run the request
	Queue       int           // queue length reported by the answer; -1: none reported
	Took        time.Duration // latency of a complete answer; zero: no complete answer
	LinkOpensIn time.Duration // refused for lack of room on the host's link: time until there may be room for such a request; zero: not for that
	Kind        string        // kind of the request
	Left        time.Duration // Request.Left when it was sent
	Bytes       int64         // size of a complete answer
	GivenUp     bool          // the caller left before an answer: the endpoint said nothing
}

// Done records the end of a request at an endpoint.
func (b *Balancer) Done(now time.Time, e *Endpoint, res Result) {
	e.inFlight = max(e.inFlight-1, 0)
	if res.GivenUp {
		e.noteGivenUp(now)
		return
	}
	if res.Failed || res.Took > 0 || res.ErrorAnswer {
		e.silentSince, e.silentBefore = now, 0 // the node of the endpoint may refuse while that hangs
	}
	if res.Queue >= 0 {
		e.queue, e.answeredAt = res.Queue, now
	}
	if res.LinkOpensIn > 0 {
		e.closeLink(now, res)
	}
	if res.Took > 0 && !res.Failed && !res.ErrorAnswer {
		e.answeredAt, e.timedAt = now, now
		e.observe(now, res)
	}
	if res.Took > 0 || res.ErrorAnswer {
		e.observeError(now, res.ErrorAnswer)
	}
	if !res.Failed {
		e.failures, e.ejections = 0, 0
		return
	}
	e.failures++
	e.failedAt = now
	if res.Unreachable || e.failures >= b.cfg.EjectAfter {
		b.eject(now, e)
	}
}

// MarkLeaving excludes an endpoint that announced that it takes no new requests. It
// stays excluded for Config.ExcludeLeavingFor or until it restarts.
func (b *Balancer) MarkLeaving(now time.Time, e *Endpoint) {
	e.leaving = true
	e.exclude(now.Add(b.cfg.ExcludeLeavingFor))
}

// Forget drops the state of an endpoint, for example when it restarts.
func (b *Balancer) Forget(id string) { delete(b.endpoints, id) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
