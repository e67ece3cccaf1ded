// Package balance chooses the backend server for a request: own data centre
// first, then the better of two random choices by what is expected to be at
// each and how well it has answered lately, with slow start and bounded
// ejection after consecutive failures. The cost of a choice does not grow with
// the number of endpoints.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Config holds the settings of a Balancer.
type Config struct {
	DataCentre        string
	EjectAfter        int           // consecutive failures
	EjectFor          time.Duration // how long an ejected endpoint is left out at first
	MaxEjected        float64       // share of a group that may be ejected at once; the rest is tried, failing or not
	SlowStart         time.Duration // a warming endpoint reaches its full share after this
	SpillOverLoad     float64       // load over slots at which other data centres are looked at
	SpillOverGain     float64       // load over slots by which another data centre must be better
	SpillTargetShare  float64       // the part of a request's target latency up to which its own data centre is good enough
	SpillLargeFactor  float64       // how many times SpillOverAbove or SpillTarget it takes for requests with large answers
	QueueStale        time.Duration // a queue seen so long ago counts for nothing
	HealthStale       time.Duration // so do failures and slow answers
	ExcludeLeavingFor time.Duration // how long an endpoint is left out that said it is leaving
}

// DefaultConfig returns the settings used where none are given.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre: dataCentre, EjectAfter: 5, EjectFor: 5 * time.Second,
		MaxEjected: 0.5, SlowStart: 10 * time.Second, SpillOverLoad: 0.9, SpillOverGain: 0.4, SpillTargetShare: 0.6, SpillLargeFactor: 2,
		QueueStale: time.Second, HealthStale: 5 * time.Second, ExcludeLeavingFor: 5 * time.Second,
	}
}

// slowStartFloor is the share of its traffic that an endpoint gets at the
// start of its slow start.
const slowStartFloor = 0.1

// minSilenceRatio is how many times longer than the slowest kind of request of
// its group takes on average an endpoint may be silent before that counts.
const minSilenceRatio = 5

// slowFirstAnswer is the pace at which a first answer is believed by itself.
const slowFirstAnswer = 4

// Bounds of what fast and slow answers count.
const (
	minRelativeLatency = 0.3
	maxRelativeLatency = 10
)

// errorPenalty is what an endpoint that answers nothing but failures counts over
// one that answers as its group does.
const errorPenalty = 10

// Weights of the past in smoothed figures.
const (
	latencySmoothing = 6 // the first answers weigh as much as what is assumed without them
	errorSmoothing   = 8 // of failures
	groupSmoothing   = 64
)

// largeAnswerBytes is the size of an average answer from which a kind of request has
// large answers.
const largeAnswerBytes = 32 << 10

// Balancer keeps the load and health seen from this node.
type Balancer struct {
	cfg   Config
	rng   *rand.Rand
	peers map[string]*Peer
}

// New returns a Balancer that draws from rng.
func New(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg, rng: rng, peers: map[string]*Peer{}}
}

// Request is what is known of a request before it is sent.
type Request struct {
	Kind   string        // requests of one kind take about as long and have answers of about the same size
	Target time.Duration // latency that its caller is content with; zero: not told
	Tried  []string      // endpoints to leave out unless nothing else is left
}

// Pick chooses an endpoint for a request of which nothing is known.
func (b *Balancer) Pick(now time.Time, g *Group, tried []string) (*Peer, bool) {
	return b.PickFor(now, g, Request{Tried: tried})
}

// PickFor chooses an endpoint of a group. It reports false for an empty group.
func (b *Balancer) PickFor(now time.Time, g *Group, r Request) (*Peer, bool) {
	g.restore(now)
	if p := b.pickUntried(now, g, r); p != nil {
		return p, true
	}
	for _, s := range []*set{&g.local, &g.remote} {
		if n := len(s.peers); n > 0 { // all are ejected or tried
			return s.peers[b.rng.IntN(n)], true
		}
	}
	return nil, false
}

func (b *Balancer) pickUntried(now time.Time, g *Group, r Request) *Peer {
	near := b.pickTwoChoices(now, &g.local, r.Tried)
	if near != nil && (g.remote.healthy == 0 || b.withinTarget(now, g, near, r)) {
		return near
	}
	far := b.pickTwoChoices(now, &g.remote, r.Tried)
	if near == nil || far != nil && b.load(now, far)+b.cfg.SpillOverGain < b.load(now, near) {
		return far
	}
	return near
}

// withinTarget reports whether an endpoint of the own data centre is expected to
// answer in time for the caller. What crosses data centres takes longer and
// costs their link, so another one is looked at only if not.
func (b *Balancer) withinTarget(now time.Time, g *Group, p *Peer, r Request) bool {
	load, k := b.load(now, p), g.kinds[r.Kind]
	part := 1.0
	if k.bytes >= largeAnswerBytes {
		part = b.cfg.SpillLargeFactor
	}
	if r.Target == 0 || k.latency == 0 {
		return load < b.cfg.SpillOverLoad*part
	}
	expected := max(load, b.slowdown(now, p)*b.errorFactor(now, p)) * float64(k.latency)
	return expected < float64(r.Target)*b.cfg.SpillTargetShare*part
}

// pickTwoChoices returns the less loaded of two random choices (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing"). Whatever load one of n
// endpoints claims, it is looked at by 2/n of the choices at most.
func (b *Balancer) pickTwoChoices(now time.Time, s *set, tried []string) *Peer {
	first := b.draw(now, s, tried, nil)
	second := b.draw(now, s, tried, first)
	if first == nil || second == nil || b.load(now, second) >= b.load(now, first) {
		return first
	}
	return second
}

// draw returns a random endpoint in use, not the one that is excluded. A
// warming one gives its turn to another with a chance that falls as it warms.
func (b *Balancer) draw(now time.Time, s *set, tried []string, except *Peer) *Peer {
	p := b.drawAny(s, tried, except)
	if p != nil && p.Row.State == endpoint.Warming && b.rng.Float64() > b.slowStartShare(now, p) {
		return b.drawAny(s, tried, except)
	}
	return p
}

func (b *Balancer) drawAny(s *set, tried []string, except *Peer) *Peer {
	if s.healthy == 0 {
		return nil
	}
	i := b.rng.IntN(s.healthy)
	for range min(s.healthy, len(tried)+2) {
		if p := s.peers[i]; p != except && !contains(tried, p.Row.ID) {
			return p
		}
		if i++; i == s.healthy {
			i = 0
		}
	}
	return nil
}

// slowStartShare returns the share of its traffic that a warming endpoint gets.
func (b *Balancer) slowStartShare(now time.Time, p *Peer) float64 {
	share := float64(now.Sub(p.Row.Since)) / float64(max(b.cfg.SlowStart, 1))
	return min(max(share, slowStartFloor), 1)
}

// load returns what is known to be at an endpoint for each of its slots: the
// requests in flight from here, which it can't misreport, and the queue that
// its last answer told. Lost attempts in a row count as a full load each.
// Answers that take longer than the group's, or fail more often, multiply the
// load. All that was seen fades with its age, so that an endpoint that was left
// alone is tried again.
func (b *Balancer) load(now time.Time, p *Peer) float64 {
	slots := float64(max(p.Row.Slots, 1))
	known := float64(p.inFlight + 1)
	if p.queue > 0 {
		known += float64(p.queue) * decay(now.Sub(p.answeredAt), b.cfg.QueueStale)
	}
	if p.failures > 0 {
		known += float64(p.failures) * slots * decay(now.Sub(p.failedAt), b.cfg.HealthStale)
	}
	return known * b.slowdown(now, p) * b.errorFactor(now, p) / slots
}

// slowdown returns how many times longer than at the others of its group a
// request takes at an endpoint: as its answers showed, or as those in flight
// have waited since anything was heard.
func (b *Balancer) slowdown(now time.Time, p *Peer) float64 {
	slow := 1.0
	if p.relativeLatency > 0 {
		slow += (p.relativeLatency - 1) * decay(now.Sub(p.answeredAt), b.cfg.HealthStale)
	}
	if p.inFlight > 0 {
		if ratio := p.silenceRatio(now); ratio > minSilenceRatio {
			slow = max(slow, min(ratio, maxRelativeLatency))
		}
	}
	return slow
}

// errorFactor returns what the failures among an endpoint's answers count, as far as
// they are more than those of its group.
func (b *Balancer) errorFactor(now time.Time, p *Peer) float64 {
	if p.group == nil || p.errorShare <= p.group.errorShare {
		return 1
	}
	return 1 + errorPenalty*(p.errorShare-p.group.errorShare)*decay(now.Sub(p.errorAt), b.cfg.HealthStale)
}

// decay returns the weight of what was seen some time ago: one at first, zero
// once it is stale.
func decay(age, stale time.Duration) float64 {
	if age >= stale {
		return 0
	}
	return 1 - float64(age)/float64(stale)
}

// Sent counts a request towards an endpoint.
func (b *Balancer) Sent(now time.Time, p *Peer) {
	if p.inFlight == 0 {
		p.silentSince = now
	}
	p.inFlight++
}

// Result says how an attempt ended.
type Result struct {
	Failed      bool          // no answer came
	Refused     bool          // Failed, and nothing listens there
	ErrorAnswer bool          // the backend server answered, with a failure or that it did not run the request
	Queue       int           // waiting there, as the answer told, or -1
	Took        time.Duration // of a whole answer, zero for none
	Kind        string        // of the request
	Bytes       int64         // of a whole answer
}

// Done counts the end of a request at an endpoint.
func (b *Balancer) Done(now time.Time, p *Peer, res Result) {
	p.inFlight = max(p.inFlight-1, 0)
	p.silentSince = now
	if res.Queue >= 0 {
		p.queue, p.answeredAt = res.Queue, now
	}
	if res.Took > 0 && !res.Failed && !res.ErrorAnswer {
		p.answeredAt = now
		p.observe(res)
	}
	if res.Took > 0 || res.ErrorAnswer {
		p.observeError(now, res.ErrorAnswer)
	}
	if !res.Failed {
		p.failures, p.ejections = 0, 0
		return
	}
	p.failures++
	p.failedAt = now
	if res.Refused || p.failures >= b.cfg.EjectAfter {
		b.eject(now, p)
	}
}

// MarkLeaving leaves an endpoint out that has said that it takes nothing new,
// until news of it come.
func (b *Balancer) MarkLeaving(now time.Time, p *Peer) {
	p.leaving = true
	p.exclude(now.Add(b.cfg.ExcludeLeavingFor))
}

// Forget drops what is known about an endpoint, as when it starts anew.
func (b *Balancer) Forget(id string) { delete(b.peers, id) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
