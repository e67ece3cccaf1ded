package balance

import "time"

// maxLinkClosed bounds how long a refusal closes a host's link to large answers, since
// what it foretold gets less certain with time.
const maxLinkClosed = time.Second

// linkClosed reports whether a host's link has no room for a large answer, as far as is
// known here.
func (e *Endpoint) linkClosed(now time.Time) bool { return now.Before(e.linkOpensAt) }

// closeLink records a refusal for lack of room on the host's link.
func (e *Endpoint) closeLink(now time.Time, res Result) {
	e.linkOpensAt = now.Add(min(res.LinkOpensIn, maxLinkClosed))
	if e.group == nil {
		return
	}
	if k, known := e.group.kinds[res.Kind]; known || len(e.group.kinds) < maxKinds {
		k.linkRefused = true
		e.group.kinds[res.Kind] = k
	}
}

// LargeAnswerBytes returns the usual size of the answers to a kind of request if they are
// large. Otherwise, and if it is unknown, it returns zero.
func (g *Group) LargeAnswerBytes(name string) int64 {
	if k := g.kinds[name]; k.bytes >= largeAnswerBytes {
		return int64(k.bytes)
	}
	return 0
}

func (g *Group) anyLinkClosed(now time.Time) bool {
	_, closed := g.LinkOpensIn(now)
	return closed
}

// LinkOpensIn returns the time until the first closed link of a group's hosts may have
// room for a large answer again. It returns false if none is closed.
func (g *Group) LinkOpensIn(now time.Time) (opens time.Duration, closed bool) {
	for e := range g.All() {
		if !e.linkClosed(now) {
			continue
		}
		if in := e.linkOpensAt.Sub(now); !closed || in < opens {
			opens, closed = in, true
		}
	}
	return opens, closed
}

// maxOwnPenalty is the factor by which the own endpoint may be worse than its group and
// still get large answers: those of others take one link more.
const maxOwnPenalty = 2

// ownEndpoint returns the endpoint on this host if it can be used for a large answer,
// which from there crosses no other host's link.
func (b *Balancer) ownEndpoint(now time.Time, g *Group, r Request) *Endpoint {
	e, ok := b.endpoints[b.cfg.Node]
	if !ok || e.group != g || e.index >= e.set.healthy || e.linkClosed(now) || contains(r.Tried, e.Row.ID) {
		return nil
	}
	if b.slowdown(now, e)*b.errorFactor(now, e) >= maxOwnPenalty {
		return nil
	}
	return e
}
