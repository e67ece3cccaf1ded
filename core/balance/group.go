package balance

import (
	"iter"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
)

// maxEjectDoublings limits how often the duration of ejection is doubled for an
// endpoint that keeps failing.
const maxEjectDoublings = 3

// Endpoint is the balancer's state of one incarnation of an endpoint.
type Endpoint struct {
	Row *endpoint.Row

	incarnation     endpoint.Incarnation
	group           *Group // nil if the endpoint was removed from the table
	set             *set
	index           int // index in set.endpoints
	inFlight        int
	queue           int     // queue length reported by its last answer
	answers         int     // answers in relativeLatency, at most latencySmoothing-1
	relativeLatency float64 // smoothed latency over the group's for the same kind of request; zero: unknown
	errorShare      float64 // smoothed share of answers that were errors
	errorAt         time.Time
	answeredAt      time.Time     // of the last answer or refusal that told of the endpoint
	timedAt         time.Time     // of the last answer in relativeLatency
	silentSince     time.Time     // start of the time without an answer, while requests are in flight
	silentBefore    time.Duration // time without an answer, up to when the last caller left that waited for one
	givenUpAt       time.Time     // when that caller left
	failures        int           // consecutive attempts without an answer
	failedAt        time.Time
	ejections       int                   // consecutive ejections without an answer in between
	leaving         bool                  // excluded because it announced that it is leaving, regardless of MaxEjected
	excludedUntil   time.Time             // zero: not excluded
	linkNotices     map[string]linkNotice // by kind of request
}

// Excluded reports whether an endpoint is currently not selected because it is
// ejected or leaving.
func (e *Endpoint) Excluded() bool { return !e.excludedUntil.IsZero() }

// IsLeaving reports whether an endpoint is excluded because it is leaving.
func (e *Endpoint) IsLeaving() bool { return e.leaving }

// observe updates the relative latency of an endpoint from an answer.
func (e *Endpoint) observe(now time.Time, res Result) {
	if e.group == nil {
		return
	}
	usual := e.group.observe(now, res)
	relative := min(max(float64(res.Took)/float64(usual), minRelativeLatency), maxRelativeLatency)
	if e.answers == 0 {
		e.relativeLatency = 1
	}
	if relative >= slowFirstAnswer && e.answers == 0 {
		e.relativeLatency = relative
	}
	e.answers = min(e.answers+1, latencySmoothing-1)
	e.relativeLatency += (relative - e.relativeLatency) / float64(e.answers+1)
}

// observeError updates the share of errors of an endpoint and its group.
func (e *Endpoint) observeError(now time.Time, isError bool) {
	share := 0.0
	if isError {
		share, e.errorAt = 1, now
	}
	e.errorShare += (share - e.errorShare) / errorSmoothing
	if e.group != nil {
		e.group.errorShare += (share - e.group.errorShare) / groupSmoothing
	}
}

// noteGivenUp records that the caller of a request in flight has left. If it was the last
// one, the time that the endpoint was silent is kept: an answer ends it, a caller does not.
// A slow endpoint answers some of its callers, one that hangs none.
func (e *Endpoint) noteGivenUp(now time.Time) {
	e.givenUpAt = now
	if e.inFlight == 0 {
		e.silentBefore += now.Sub(e.silentSince)
		e.silentSince = now
	}
}

// silence returns for how long an endpoint has not answered while it had requests in flight.
func (e *Endpoint) silence(now time.Time) time.Duration {
	if e.inFlight == 0 {
		return e.silentBefore
	}
	return e.silentBefore + now.Sub(e.silentSince)
}

// silenceRatio returns silence as a multiple of the latency of the group's slowest kind of
// request.
func (e *Endpoint) silenceRatio(now time.Time) float64 {
	if e.group == nil || e.group.maxLatency == 0 {
		return 0
	}
	return float64(e.silence(now)) / float64(e.group.maxLatency)
}

// set holds the endpoints of a group on one side, local or remote. Those with an index
// below healthy are in use, the others are excluded.
type set struct {
	endpoints []*Endpoint
	healthy   int
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
	latency     time.Duration // zero: unknown
	usual       *usual        // of the same latencies; nil: none
	bytes       float64
	answers     int  // in these figures, at most groupSmoothing
	linkRefused bool // a request was refused for lack of room on a host's link
}

// isLarge reports whether answers to a kind of request are large.
func (k kind) isLarge() bool { return k.bytes >= largeAnswerBytes || k.latency == 0 && k.linkRefused }

// maxKinds bounds the number of kinds per group. Further kinds share one entry.
const maxKinds = 64

// kindName returns the name under which the figures of a kind of request are held.
func (g *Group) kindName(name string) string {
	if _, known := g.kinds[name]; !known && len(g.kinds) >= maxKinds {
		return ""
	}
	return name
}

// observe updates the figures of a kind of request from an answer, and returns the
// smoothed latency of that kind.
func (g *Group) observe(now time.Time, res Result) time.Duration {
	name := g.kindName(res.Kind)
	k := g.kinds[name]
	k.answers = min(k.answers+1, groupSmoothing)
	k.latency += (res.Took - k.latency) / time.Duration(k.answers)
	if k.usual == nil {
		k.usual = &usual{}
	}
	k.usual.observe(now, res.Took)
	k.bytes += (float64(res.Bytes) - k.bytes) / float64(k.answers)
	g.kinds[name] = k
	g.maxLatency = 0
	for _, other := range g.kinds {
		g.maxLatency = max(g.maxLatency, other.latency)
	}
	return max(k.latency, 1)
}

// LatencyBound returns factor times the usual latency of a kind of request, which a single
// stall hardly raises, zero if it is unknown.
func (g *Group) LatencyBound(now time.Time, name string, factor float64) time.Duration {
	k := g.kinds[g.kindName(name)]
	if k.usual == nil {
		return 0
	}
	return k.usual.bound(now, factor)
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
		e, ok := b.endpoints[r.ID]
		if !ok || e.incarnation != r.Incarnation {
			e = &Endpoint{incarnation: r.Incarnation}
			b.endpoints[r.ID] = e
		}
		e.Row = r
		g.add(e, r.DataCentre == b.cfg.DataCentre)
	}
	b.dropRemoved(old, g)
	for _, r := range rows { // not All, since exclude reorders the endpoints
		switch e := b.endpoints[r.ID]; {
		case e.excludedUntil.IsZero():
		case e.leaving || g.mayEject(b.cfg.MaxEjected):
			e.exclude(e.excludedUntil)
		default:
			e.excludedUntil = time.Time{} // exceeds MaxEjected since the group shrank
		}
	}
	return g
}

func (g *Group) add(e *Endpoint, local bool) {
	s := &g.remote
	if local {
		s = &g.local
	}
	e.group, e.set, e.index = g, s, len(s.endpoints)
	s.endpoints = append(s.endpoints, e)
	s.healthy++
}

// All iterates over the endpoints of a group.
func (g *Group) All() iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		for _, s := range []*set{&g.local, &g.remote} {
			for _, e := range s.endpoints {
				if !yield(e) {
					return
				}
			}
		}
	}
}

func (g *Group) size() int { return len(g.local.endpoints) + len(g.remote.endpoints) }

// mayEject reports whether one more endpoint may be ejected. At the limit, the
// remaining ones stay in use even if they fail.
func (g *Group) mayEject(share float64) bool {
	excluded := g.size() - g.local.healthy - g.remote.healthy
	return float64(excluded+1) <= share*float64(g.size())
}

// dropRemoved drops the endpoints of the old group that are not in the new one.
func (b *Balancer) dropRemoved(old, g *Group) {
	if old == nil {
		return
	}
	for e := range old.All() {
		if e.group == g {
			continue
		}
		e.group, e.set = nil, nil // requests in flight may still end at this endpoint
		if b.endpoints[e.Row.ID] == e {
			delete(b.endpoints, e.Row.ID)
		}
	}
}

// eject excludes a failing endpoint, unless the limit MaxEjected is reached.
func (b *Balancer) eject(now time.Time, e *Endpoint) {
	if e.group == nil || e.index >= e.set.healthy || !e.group.mayEject(b.cfg.MaxEjected) {
		return
	}
	e.exclude(now.Add(b.cfg.EjectFor << min(e.ejections, maxEjectDoublings)))
	e.ejections++
	e.failures = b.cfg.EjectAfter - 1 // after the ejection, one more failure ejects it again
}

func (e *Endpoint) exclude(until time.Time) {
	g, s := e.group, e.set
	e.excludedUntil = until
	if g == nil {
		return
	}
	if g.restoreAt.IsZero() || until.Before(g.restoreAt) {
		g.restoreAt = until
	}
	if e.index < s.healthy {
		s.healthy--
		s.swap(e.index, s.healthy)
	}
}

func (s *set) swap(i, j int) {
	s.endpoints[i], s.endpoints[j] = s.endpoints[j], s.endpoints[i]
	s.endpoints[i].index, s.endpoints[j].index = i, j
}

// restore puts endpoints back into use whose exclusion has expired.
func (g *Group) restore(now time.Time) {
	if g.restoreAt.IsZero() || now.Before(g.restoreAt) {
		return
	}
	g.restoreAt = time.Time{}
	for _, s := range []*set{&g.local, &g.remote} {
		for i := s.healthy; i < len(s.endpoints); i++ {
			e := s.endpoints[i]
			if !now.Before(e.excludedUntil) {
				e.excludedUntil, e.leaving = time.Time{}, false
				s.swap(i, s.healthy)
				s.healthy++
				continue
			}
			if g.restoreAt.IsZero() || e.excludedUntil.Before(g.restoreAt) {
				g.restoreAt = e.excludedUntil
			}
		}
	}
}
