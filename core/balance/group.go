package balance

import (
	"iter"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
)

// maxEjectDoublings bounds the growth of the time for which an endpoint that
// fails again and again is left out.
const maxEjectDoublings = 3

// Peer is what the balancer knows about one life of an endpoint.
type Peer struct {
	Row *endpoint.Row

	incarnation     endpoint.Incarnation
	group           *Group // nil once it is not in the table any more
	set             *set
	index           int // in set
	inFlight        int
	queue           int     // told by its last answer
	answers         int     // that pace is made of, at most paceSmoothing-1
	relativeLatency float64 // smoothed time of an answer over its group's for the same kind; zero: not known
	errorShare      float64 // smoothed share of answers that were failures
	errorAt         time.Time
	answeredAt      time.Time
	silentSince     time.Time // with requests in flight, nothing was heard since
	failures        int       // consecutive
	failedAt        time.Time
	ejections       int  // without a success between them
	leaving         bool // left out for what it said, whatever the bound
	excludedUntil   time.Time
}

// Excluded reports whether an endpoint is left out of the choice for now.
func (p *Peer) Excluded() bool { return !p.excludedUntil.IsZero() }

// IsLeaving reports whether it is left out because it said that it is leaving.
func (p *Peer) IsLeaving() bool { return p.leaving }

// observe learns from an answer how fast the endpoint is.
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

// observeError learns from an answer how often the endpoint fails.
func (p *Peer) observeError(now time.Time, erred bool) {
	share := 0.0
	if erred {
		share, p.errorAt = 1, now
	}
	p.errorShare += (share - p.errorShare) / errorSmoothing
	if p.group != nil {
		p.group.errorShare += (share - p.group.errorShare) / groupSmoothing
	}
}

// silenceRatio returns how many times longer than the slowest kind of request takes
// an endpoint with requests in flight has not been heard.
func (p *Peer) silenceRatio(now time.Time) float64 {
	if p.group == nil || p.group.maxLatency == 0 {
		return 0
	}
	return float64(now.Sub(p.silentSince)) / float64(p.group.maxLatency)
}

// set holds the peers of one side of a group; those before healthy are in
// use, the others left out.
type set struct {
	peers   []*Peer
	healthy int
}

// Group is the endpoints of one service, indexed by whether they are in the
// own data centre.
type Group struct {
	local, remote set
	kinds         map[string]kind
	maxLatency    time.Duration // of the kinds' took
	errorShare    float64       // smoothed share of answers that were failures
	restoreAt     time.Time     // the earliest outUntil; zero: none is left out
}

// kind is what is known of the answers to one kind of request, smoothed.
type kind struct {
	latency time.Duration
	bytes   float64
}

// maxKinds bounds the kinds of a group that are told apart.
const maxKinds = 64

// observe learns from an answer, and returns how long one of its kind takes.
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

// Group returns the group of rows. What is known of an endpoint is kept from
// old, which may be nil, if it is still in the same life; old is not used any
// more afterwards.
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
	for _, r := range rows { // not All, since leaving out reorders
		switch p := b.peers[r.ID]; {
		case p.excludedUntil.IsZero():
		case p.leaving || g.mayEject(b.cfg.MaxEjected):
			p.exclude(p.excludedUntil)
		default:
			p.excludedUntil = time.Time{} // the group has shrunk
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

// All returns the endpoints of a group.
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

// mayEject reports whether one more may be left out. Below that threshold all
// that are left are tried, whether they fail or not.
func (g *Group) mayEject(share float64) bool {
	out := g.size() - g.local.healthy - g.remote.healthy
	return float64(out+1) <= share*float64(g.size())
}

// dropRemoved drops the peers of a group that are not in its successor.
func (b *Balancer) dropRemoved(old, g *Group) {
	if old == nil {
		return
	}
	for p := range old.All() {
		if p.group == g {
			continue
		}
		p.group, p.set = nil, nil // requests in flight may still end there
		if b.peers[p.Row.ID] == p {
			delete(b.peers, p.Row.ID)
		}
	}
}

// eject leaves a failing endpoint out, unless as many are as may be.
func (b *Balancer) eject(now time.Time, p *Peer) {
	if p.group == nil || p.index >= p.set.healthy || !p.group.mayEject(b.cfg.MaxEjected) {
		return
	}
	p.exclude(now.Add(b.cfg.EjectFor << min(p.ejections, maxEjectDoublings)))
	p.ejections++
	p.failures = b.cfg.EjectAfter - 1 // once back, one more failure is enough
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

// restore takes those back whose time is over.
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
