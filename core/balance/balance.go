// Package balance chooses the backend server for a request: own data centre
// first, then the less loaded of two random choices, with slow start and
// bounded ejection after consecutive failures.
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
	EjectFor       time.Duration // how long an ejected endpoint is left out
	MaxEjected     float64       // share of a service that may be ejected at once
	SlowStart      time.Duration // a warming endpoint reaches its full share after this
	SpillOverAbove float64       // load over slots at which other data centres are taken
}

// DefaultConfig returns the settings used where none are given.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre: dataCentre, EjectAfter: 5, EjectFor: 5 * time.Second,
		MaxEjected: 0.5, SlowStart: 10 * time.Second, SpillOverAbove: 1.5,
	}
}

// peer is what the balancer knows about one endpoint.
type peer struct {
	inFlight     int
	queue        int // seen in its last answer
	failures     int
	ejectedUntil time.Time
}

// Balancer keeps the load and health seen from this node.
type Balancer struct {
	cfg   Config
	rng   *rand.Rand
	peers map[string]*peer
}

// New returns a Balancer that draws from rng.
func New(cfg Config, rng *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg, rng: rng, peers: map[string]*peer{}}
}

func (b *Balancer) peer(id string) *peer {
	p, ok := b.peers[id]
	if !ok {
		p = &peer{}
		b.peers[id] = p
	}
	return p
}

// Pick chooses one of rows, leaving out those in tried unless nothing else is
// left. It reports false for no rows.
func (b *Balancer) Pick(now time.Time, rows []*endpoint.Row, tried []string) (*endpoint.Row, bool) {
	var local, all []*endpoint.Row
	for _, r := range rows {
		if contains(tried, r.ID) || now.Before(b.peer(r.ID).ejectedUntil) {
			continue
		}
		all = append(all, r)
		if r.DataCentre == b.cfg.DataCentre {
			local = append(local, r)
		}
	}
	switch {
	case len(local) > 0:
		best := b.better(local)
		if len(local) == len(all) || b.load(best) < b.cfg.SpillOverAbove {
			return best, true
		}
		return b.better(all), true
	case len(all) > 0:
		return b.better(all), true
	case len(rows) > 0:
		return b.better(rows), true
	}
	return nil, false
}

func (b *Balancer) better(rows []*endpoint.Row) *endpoint.Row {
	first := rows[b.rng.IntN(len(rows))]
	second := rows[b.rng.IntN(len(rows))]
	if b.load(second) < b.load(first) {
		return second
	}
	return first
}

// load returns the requests known to be at an endpoint for each of its slots.
func (b *Balancer) load(r *endpoint.Row) float64 {
	p := b.peer(r.ID)
	return float64(p.inFlight+p.queue+1) / float64(max(r.Slots, 1))
}

// Sent counts a request towards an endpoint.
func (b *Balancer) Sent(id string) { b.peer(id).inFlight++ }

// Result says how an attempt ended.
type Result struct {
	Failed bool
	Queue  int // as the answer told, or -1
}

// Done counts the end of a request at an endpoint.
func (b *Balancer) Done(now time.Time, id string, res Result) {
	p := b.peer(id)
	p.inFlight = max(p.inFlight-1, 0)
	if res.Queue >= 0 {
		p.queue = res.Queue
	}
	if !res.Failed {
		p.failures = 0
		return
	}
	p.failures++
	if p.failures >= b.cfg.EjectAfter {
		p.failures, p.ejectedUntil = 0, now.Add(b.cfg.EjectFor)
	}
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
