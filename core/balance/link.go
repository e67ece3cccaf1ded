package balance

import "time"

// maxLinkClosed bounds how long a refusal closes a host's link to large answers, since
// what it foretold gets less certain with time.
const maxLinkClosed = time.Second

// muchLonger is the factor by which a request has to have more time left than a refused
// one had, so that the link opens earlier for it. Some milliseconds more are no reason to
// ask again.
const muchLonger = 2

// linkNotice is what the last refusal of one kind of request said of a host's link.
type linkNotice struct {
	opensAt time.Time     // until then there is no room for such a request
	left    time.Duration // Request.Left of the one refused
}

// opensFor returns the time until which there is no room for a request with some time
// left. One that has longer can wait for as much longer on the link.
func (n linkNotice) opensFor(left time.Duration) time.Time {
	if left < muchLonger*n.left {
		return n.opensAt
	}
	return n.opensAt.Add(n.left - left)
}

// linkClosed reports whether a host's link has no room for a request with a large answer,
// as far as is known here. What another kind of request was told says nothing: its answers
// may be much larger.
func (e *Endpoint) linkClosed(now time.Time, r Request) bool {
	n, known := e.linkNotices[r.Kind]
	return known && now.Before(n.opensFor(r.Left))
}

// closeLink records a refusal for lack of room on the host's link.
func (e *Endpoint) closeLink(now time.Time, res Result) {
	if _, known := e.linkNotices[res.Kind]; !known && len(e.linkNotices) >= maxKinds {
		return
	}
	if e.linkNotices == nil {
		e.linkNotices = map[string]linkNotice{}
	}
	e.linkNotices[res.Kind] = linkNotice{opensAt: now.Add(min(res.LinkOpensIn, maxLinkClosed)), left: res.Left}
	if e.group == nil {
		return
	}
	if k, known := e.group.kinds[res.Kind]; known || len(e.group.kinds) < maxKinds {
		k.linkRefused = true
		e.group.kinds[res.Kind] = k
	}
}

// AnswerBytes returns the usual size of the answers to a kind of request, at least one if
// it is known, zero if it is not.
func (g *Group) AnswerBytes(name string) int64 {
	k := g.kinds[name]
	if k.answers == 0 {
		return 0
	}
	return max(int64(k.bytes), 1)
}

func (g *Group) anyLinkClosed(now time.Time, r Request) bool {
	_, closed := g.LinkOpensIn(now, r)
	return closed
}

// LinkOpensIn returns the time until the first closed link of a group's hosts may have
// room for a request with a large answer again. It returns false if none is closed.
func (g *Group) LinkOpensIn(now time.Time, r Request) (opens time.Duration, closed bool) {
	for e := range g.All() {
		if !e.linkClosed(now, r) {
			continue
		}
		if in := e.linkNotices[r.Kind].opensFor(r.Left).Sub(now); !closed || in < opens {
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
	if !ok || e.group != g || e.index >= e.set.healthy || e.linkClosed(now, r) || contains(r.Tried, e.Row.ID) {
		return nil
	}
	if b.slowdown(now, e)*b.errorFactor(now, e) >= maxOwnPenalty {
		return nil
	}
	return e
}
