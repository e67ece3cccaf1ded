package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/balance"
)

const (
	largeKind = "download"
	smallKind = "lookup"
)

// learnKinds lets a balancer see one large and one small answer.
func learnKinds(b *balance.Balancer, g *balance.Group) {
	for kind, bytes := range map[string]int64{largeKind: 280_000, smallKind: 400} {
		e, _ := b.PickFor(now, g, balance.Request{Kind: kind})
		b.Sent(now, e)
		b.Done(now, e, balance.Result{Queue: -1, Took: 100 * time.Millisecond, Kind: kind, Bytes: bytes})
	}
}

// refuseForLink ends a request at an endpoint whose host's link has no room.
func refuseForLink(b *balance.Balancer, e *balance.Endpoint, opensIn time.Duration) {
	b.Sent(now, e)
	b.Done(now, e, balance.Result{Queue: 0, Kind: largeKind, LinkOpensIn: opensIn})
}

// TestClosedLinkGetsLargeRequest closes the links of some endpoints. They must get no
// requests with large answers until the links open, and all others.
func TestClosedLinkGetsLargeRequest(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(4))
	learnKinds(b, g)
	n := 0
	for e := range g.All() {
		if n++; n <= 3 {
			refuseForLink(b, e, time.Duration(n)*100*time.Millisecond)
		}
	}
	picks := func(at time.Time, kind string) map[string]bool {
		got := map[string]bool{}
		for range 100 {
			if e, ok := b.PickFor(at, g, balance.Request{Kind: kind}); ok {
				got[e.Row.ID] = true
			}
		}
		return got
	}
	is.Equal(len(picks(now, largeKind)), 1)
	is.Equal(len(picks(now, smallKind)), 4)
	is.Equal(len(picks(now.Add(100*time.Millisecond), largeKind)), 2)
	is.Equal(len(picks(now.Add(300*time.Millisecond), largeKind)), 4)
}

// TestAllLinksClosed checks that there is no endpoint for a large answer while the links
// of all that were not tried are closed, and when the first opens. A refusal is believed
// for a second at most.
func TestAllLinksClosed(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(3))
	in, closed := g.LinkOpensIn(now)
	is.True(!closed && in == 0)
	for e := range g.All() { // no answer has come yet: the refusal alone tells that answers are large
		refuseForLink(b, e, time.Hour)
	}
	_, ok := b.PickFor(now, g, balance.Request{Kind: largeKind})
	is.True(!ok)
	in, closed = g.LinkOpensIn(now)
	is.True(closed && in == time.Second)
	_, ok = b.PickFor(now.Add(time.Second), g, balance.Request{Kind: largeKind})
	is.True(ok)
}
