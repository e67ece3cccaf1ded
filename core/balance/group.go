package balance

import (
	"iter"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
)

// maxEjectDoublings limits how often the duration of ejection is doubled for an
// endpoint that keeps failing.
const maxEjectDoublings = 3

// Peer is the balancer's state of one incarnation of an endpoint.
type Peer struct {
	Row *endpoint.Row

	incarnation     endpoint.Incarnation
	group           *Group // nil if the endpoint was removed from the table
	set             *set
	index           int // index in set.peers
	inFlight        int
	queue           int     // queue length reported by its last answer
	answers         int     // answers in relativeLatency, at most latencySmoothing-1
	relativeLatency float64 // smoothed latency over the group's for the same kind of request; zero: unknown
	errorShare      float64 // smoothed share of answers that were errors
	errorAt         time.Time
	answeredAt      time.Time
	silentSince     time.Time // start of the time without an answer, while requests are in flight
	failures        int       // consecutive attempts without an answer
	failedAt        time.Time
	ejections       int       // consecutive ejections without an answer in between
	leaving         bool      // excluded because it announced that it is leaving, regardless of MaxEjected
	excludedUntil   time.Time // zero: not excluded
}

// Excluded reports whether an endpoint is currently not selected because it is
// ejected or leaving.
func (p *Peer) Excluded() bool { return !p.excludedUntil.IsZero() }

// IsLeaving reports whether an endpoint is excluded because it is leaving.
func (p *Peer) IsLeaving() bool { return p.leaving }

// observe updates the relative latency of an endpoint from an answer.
func (p *Peer) observe(res Result) {
	if p.group == nil {
		return
	}
	usual := p.group.observe(res)
	relative := min(max(float64(res.Took)/float64(usual), minRelativeLatency), maxRelativeLatency)
	if p.answers == 0 {
		p.relativeLatency = 1
	}
	if relative >= slowFirstAnswer && p.answers == 0 {
		p.relativeLatency = relative
	}
	p.answers = min(p.answers+1, latencySmoothing-1)
	p.relativeLatency += (relative - p.relativeLatency) / float64(p.answers+1)
}

// observeError updates the share of errors of an endpoint and its group.
func (p *Peer) observeError(now time.Time, isError bool) {
	share := 0.0
	if isError {
		share, p.errorAt = 1, now
	}
	p.errorShare += (share - p.errorShare) / errorSmoothing
	if p.group != nil {
		p.group.errorShare += (share - p.group.errorShare) / groupSmoothing
	}
}

// silenceRatio returns how long an endpoint with requests in flight has not answered,
// as a multiple of the latency of its group's slowest kind of request.
func (p *Peer) silenceRatio(now time.Time) float64 {
	if p.group == nil || p.group.maxLatency == 0 {
		return 0
	}
	return float64(now.Sub(p.silentSince)) / float64(p.group.maxLatency)
}

// set holds the peers of a group on one side, local or remote. Those with an index
// below healthy are in use, the others are excluded.
type set struct {
	peers   []*Peer
	healthy int
}

// Group holds the endpoints of one service, split into those in the own data centre
// and those in others.
type Group struct {
	local, remote set
	kinds         map[string]kind
	maxLatency    time.Duration // maximum latency over all kinds
	errorShare    float64       // smoothed share of answers that were errors
	restoreAt     time.Time     // earliest excludedUntil; zero: no endpoint is excluded
}

// kind holds smoothed figures on the answers to one kind of request.
type kind struct {
	latency time.Duration
	bytes   float64
}

// maxKinds bounds the number of kinds per group. Further kinds share one entry.
const maxKinds = 64

// observe updates the figures of a kind of request from an answer, and returns the
// smoothed latency of that kind.
func (g *Group) observe(res Result) time.Duration {
	name := res.Kind
	if _, known := g.kinds[name]; !known && len(g.kinds) >= maxKinds {
		name = ""
	}
	k, known := g.kinds[name]
	if !known {
		k = kind{latency: res.Took, bytes: float64(res.Bytes)}
	}
	k.latency += (res.Took - k.latency) / groupSmoothing
	k.bytes += (float64(res.Bytes) - k.bytes) / groupSmoothing
	g.kinds[name] = k
	g.maxLatency = 0
	for _, other := range g.kinds {
		g.maxLatency = max(g.maxLatency, other.latency)
	}
	return max(k.latency, 1)
}

// Group builds the group of rows. The state of each endpoint whose incarnation has
// not changed is taken over. old is the previous group or nil; it must not be used
// afterwards.
func (b *Balancer) Group(old *Group, rows []*endpoint.Row) *Group {
	g := &Group{kinds: map[string]kind{}}
	if old != nil {
		g.kinds, g.maxLatency, g.errorShare = old.kinds, old.maxLatency, old.errorShare
	}
	for _, r := range rows {
		p, ok := b.peers[r.ID]
		if !ok || p.incarnation != r.Incarnation {
			p = &Peer{incarnation: r.Incarnation}
			b.peers[r.ID] = p
		}
		p.Row = r
		g.add(p, r.DataCentre == b.cfg.DataCentre)
	}
	b.dropRemoved(old, g)
	for _, r := range rows { // not All, since exclude reorders the peers
		switch p := b.peers[r.ID]; {
		case p.excludedUntil.IsZero():
		case p.leaving || g.mayEject(b.cfg.MaxEjected):
			p.exclude(p.excludedUntil)
		default:
			p.excludedUntil = time.Time{} // exceeds MaxEjected since the group shrank
		}
	}
	return g
}

func (g *Group) add(p *Peer, local bool) {
	s := &g.remote
	if local {
		s = &g.local
	}
	p.group, p.set, p.index = g, s, len(s.peers)
	s.peers = append(s.peers, p)
	s.healthy++
}

// All iterates over the endpoints of a group.
func (g *Group) All() iter.Seq[*Peer] {
	return func(yield func(*Peer) bool) {
		for _, s := range []*set{&g.local, &g.remote} {
			for _, p := range s.peers {
				if !yield(p) {
					return
				}
			}
		}
	}
}

func (g *Group) size() int { return len(g.local.peers) + len(g.remote.peers) }

// mayEject reports whether one more endpoint may be ejected. At the limit, the
// remaining ones stay in use even if they fail.
func (g *Group) mayEject(share float64) bool {
	excluded := g.size() - g.local.healthy - g.remote.healthy
	return float64(excluded+1) <= share*float64(g.size())
}

// dropRemoved drops the peers of the old group that are not in the new one.
func (b *Balancer) dropRemoved(old, g *Group) {
	if old == nil {
		return
	}
	for p := range old.All() {
		if p.group == g {
			continue
		}
		p.group, p.set = nil, nil // requests in flight may still end at this peer
		if b.peers[p.Row.ID] == p {
			delete(b.peers, p.Row.ID)
		}
	}
}

// eject excludes a failing endpoint, unless the limit MaxEjected is reached.
func (b *Balancer) eject(now time.Time, p *Peer) {
	if p.group == nil || p.index >= p.set.healthy || !p.group.mayEject(b.cfg.MaxEjected) {
		return
	}
	p.exclude(now.Add(b.cfg.EjectFor << min(p.ejections, maxEjectDoublings)))
	p.ejections++
	p.failures = b.cfg.EjectAfter - 1 // after the ejection, one more failure ejects it again
}

func (p *Peer) exclude(until time.Time) {
	g, s := p.group, p.set
	p.excludedUntil = until
	if g == nil {
		return
	}
	if g.restoreAt.IsZero() || until.Before(g.restoreAt) {
		g.restoreAt = until
	}
	if p.index < s.healthy {
		s.healthy--
		s.swap(p.index, s.healthy)
	}
}

func (s *set) swap(i, j int) {
	s.peers[i], s.peers[j] = s.peers[j], s.peers[i]
	s.peers[i].index, s.peers[j].index = i, j
}

// restore puts endpoints back into use whose exclusion has expired.
func (g *Group) restore(now time.Time) {
	if g.restoreAt.IsZero() || now.Before(g.restoreAt) {
		return
	}
	g.restoreAt = time.Time{}
	for _, s := range []*set{&g.local, &g.remote} {
		for i := s.healthy; i < len(s.peers); i++ {
			p := s.peers[i]
			if !now.Before(p.excludedUntil) {
				p.excludedUntil, p.leaving = time.Time{}, false
				s.swap(i, s.healthy)
				s.healthy++
				continue
			}
			if g.restoreAt.IsZero() || p.excludedUntil.Before(g.restoreAt) {
				g.restoreAt = p.excludedUntil
			}
		}
	}
}
