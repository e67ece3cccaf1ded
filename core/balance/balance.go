// Package balance chooses the backend server for a request: own data centre
// first, then the less loaded of two random choices, with slow start and
// bounded ejection after consecutive failures. The cost of a choice does not
// grow with the number of endpoints.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Config holds the settings of a Balancer.
type Config struct {
	DataCentre     string
	EjectAfter     int           // consecutive failures
	EjectFor       time.Duration // how long an ejected endpoint is left out at first
	MaxEjected     float64       // share of a group that may be ejected at once; the rest is tried, failing or not
	SlowStart      time.Duration // a warming endpoint reaches its full share after this
	SpillOverAbove float64       // load over slots at which other data centres are looked at
	SpillOverGain  float64       // load over slots by which another data centre must be better
	QueueStale     time.Duration // a queue seen so long ago counts for nothing
	SeenStale      time.Duration // so do failures and slow answers
	LeavingFor     time.Duration // how long an endpoint is left out that said it is leaving
}

// DefaultConfig returns the settings used where none are given.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre: dataCentre, EjectAfter: 5, EjectFor: 5 * time.Second,
		MaxEjected: 0.5, SlowStart: 10 * time.Second, SpillOverAbove: 1.5, SpillOverGain: 0.5,
		QueueStale: time.Second, SeenStale: 5 * time.Second, LeavingFor: 5 * time.Second,
	}
}

// slowStartFloor is the share of its traffic that an endpoint gets at the
// start of its slow start.
const slowStartFloor = 0.1

// tolerated is how much slower than its group an endpoint may answer before it
// counts against it: answers differ, and few of them are seen.
const tolerated = 2

// silenceTolerated is the same for requests in flight: runs differ more than
// their average does.
const silenceTolerated = 5

// maxSlowness bounds what slow answers count.
const maxSlowness = 10

// Weights of the past in smoothed times of answers.
const (
	peerSmoothing  = 4
	groupSmoothing = 64
)

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

// Pick chooses an endpoint of a group, leaving out those in tried unless
// nothing else is left. It reports false for an empty group.
func (b *Balancer) Pick(now time.Time, g *Group, tried []string) (*Peer, bool) {
	g.restore(now)
	if p := b.pickUntried(now, g, tried); p != nil {
		return p, true
	}
	for _, s := range []*set{&g.local, &g.remote} {
		if n := len(s.peers); n > 0 { // all are ejected or tried
			return s.peers[b.rng.IntN(n)], true
		}
	}
	return nil, false
}

func (b *Balancer) pickUntried(now time.Time, g *Group, tried []string) *Peer {
	near := b.better(now, &g.local, tried)
	if near != nil && (g.remote.healthy == 0 || b.load(now, near) < b.cfg.SpillOverAbove) {
		return near
	}
	far := b.better(now, &g.remote, tried)
	if near == nil || far != nil && b.load(now, far)+b.cfg.SpillOverGain < b.load(now, near) {
		return far
	}
	return near
}

// better returns the less loaded of two random choices (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing"). Whatever load one of n
// endpoints claims, it is looked at by 2/n of the choices at most.
func (b *Balancer) better(now time.Time, s *set, tried []string) *Peer {
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
	if p != nil && p.Row.State == endpoint.Warming && b.rng.Float64() > b.ramp(now, p) {
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

// ramp returns the share of its traffic that a warming endpoint gets.
func (b *Balancer) ramp(now time.Time, p *Peer) float64 {
	share := float64(now.Sub(p.Row.Since)) / float64(max(b.cfg.SlowStart, 1))
	return min(max(share, slowStartFloor), 1)
}

// load returns what is known to be at an endpoint for each of its slots: the
// requests in flight from here, which it can't misreport, and the queue that
// its last answer told. Failures in a row count as a full load each, and
// answers slower than the group's multiply the load. All that was seen fades
// with its age, so that an endpoint that was left alone is tried again.
func (b *Balancer) load(now time.Time, p *Peer) float64 {
	slots := float64(max(p.Row.Slots, 1))
	known := float64(p.inFlight + 1)
	if p.queue > 0 {
		known += float64(p.queue) * fade(now.Sub(p.answeredAt), b.cfg.QueueStale)
	}
	if p.failures > 0 {
		known += float64(p.failures) * slots * fade(now.Sub(p.failedAt), b.cfg.SeenStale)
	}
	return known * b.delay(now, p) / slots
}

// delay returns how many times longer than at the others of its group a
// request takes at an endpoint: as its answers showed, or as those in flight
// have waited since anything was heard.
func (b *Balancer) delay(now time.Time, p *Peer) float64 {
	slow := 1.0
	if seen := p.slowness(p.took); seen > tolerated {
		slow += (seen - 1) * fade(now.Sub(p.answeredAt), b.cfg.SeenStale)
	}
	if p.inFlight > 0 {
		if waits := p.slowness(now.Sub(p.quietSince)); waits > silenceTolerated {
			slow = max(slow, waits)
		}
	}
	return slow
}

// fade returns the weight of what was seen some time ago: one at first, zero
// once it is stale.
func fade(age, stale time.Duration) float64 {
	if age >= stale {
		return 0
	}
	return 1 - float64(age)/float64(stale)
}

// Sent counts a request towards an endpoint.
func (b *Balancer) Sent(now time.Time, p *Peer) {
	if p.inFlight == 0 {
		p.quietSince = now
	}
	p.inFlight++
}

// Result says how an attempt ended.
type Result struct {
	Failed  bool
	Refused bool          // Failed, and nothing listens there
	Queue   int           // as the answer told, or -1
	Took    time.Duration // of a whole answer, zero for none
}

// Done counts the end of a request at an endpoint.
func (b *Balancer) Done(now time.Time, p *Peer, res Result) {
	p.inFlight = max(p.inFlight-1, 0)
	p.quietSince = now
	if res.Queue >= 0 {
		p.queue, p.answeredAt = res.Queue, now
	}
	if res.Took > 0 && !res.Failed {
		p.answeredAt = now
		p.observe(res.Took)
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

// Leaving leaves an endpoint out that has said that it takes nothing new,
// until news of it come.
func (b *Balancer) Leaving(now time.Time, p *Peer) {
	p.leaving = true
	p.leaveOut(now.Add(b.cfg.LeavingFor))
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
