package balance_test

import (
	"math/rand/v2"
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
	large := balance.Request{Kind: largeKind}
	in, closed := g.LinkOpensIn(now, large)
	is.True(!closed && in == 0)
	for e := range g.All() { // no answer has come yet: the refusal alone tells that answers are large
		refuseForLink(b, e, time.Hour)
	}
	_, ok := b.PickFor(now, g, balance.Request{Kind: largeKind})
	is.True(!ok)
	in, closed = g.LinkOpensIn(now, large)
	is.True(closed && in == time.Second)
	_, ok = b.PickFor(now.Add(time.Second), g, balance.Request{Kind: largeKind})
	is.True(ok)
}

// TestRefusalOfOneRequestClosesLinkToOthers guards against a refusal that closes a host's
// link to requests of another kind, or to those of its kind that have much more time.
func TestRefusalOfOneRequestClosesLinkToOthers(t *testing.T) {
	const otherKind, opens, left = "pages", 600 * time.Millisecond, 200 * time.Millisecond
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(1))
	learnKinds(b, g)
	e := endpointOf(g, local(1)[0].ID)
	b.Sent(now, e)
	b.Done(now, e, balance.Result{Took: 100 * time.Millisecond, Kind: otherKind, Bytes: 40 << 10})
	b.Sent(now, e)
	b.Done(now, e, balance.Result{Kind: largeKind, LinkOpensIn: opens, Left: left})
	for _, tt := range []struct {
		kind  string
		left  time.Duration
		after time.Duration // since the refusal
		open  bool
	}{
		{largeKind, left, 0, false},
		{largeKind, left, opens - 1, false},
		{largeKind, left, opens, true},
		{largeKind, left / 2, opens - 1, false},
		{largeKind, left + 10*time.Millisecond, opens - 1, false}, // hardly more time
		{largeKind, left + opens, 0, true},
		{largeKind, 2 * left, opens - left - 1, false},
		{largeKind, 2 * left, opens - left, true},
		{otherKind, left, 0, true},
		{smallKind, left, 0, true},
	} {
		r := balance.Request{Kind: tt.kind, Left: tt.left}
		_, open := b.PickFor(now.Add(tt.after), g, r)
		is.Equal(open, tt.open)
		_, closed := g.LinkOpensIn(now.Add(tt.after), r)
		is.Equal(closed, !tt.open)
	}
}

// TestLargeAnswerCrossesTwoThinLinks checks that a node whose own backend server can give
// a large answer asks no other, and asks others once its own link is closed.
func TestLargeAnswerCrossesTwoThinLinks(t *testing.T) {
	is := is.New(t)
	rows := local(4)
	cfg := balance.DefaultConfig("dc0")
	cfg.Node = rows[2].ID
	b := balance.New(cfg, rand.New(rand.NewPCG(1, 1)))
	g := b.Group(nil, rows)
	learnKinds(b, g)
	others := map[string]int{}
	for range 100 {
		e, _ := b.PickFor(now, g, balance.Request{Kind: largeKind})
		is.Equal(e.Row.ID, cfg.Node)
		e, _ = b.PickFor(now, g, balance.Request{Kind: smallKind})
		others[e.Row.ID]++
	}
	is.Equal(len(others), 4) // short answers go anywhere
	refuseForLink(b, endpointOf(g, cfg.Node), 100*time.Millisecond)
	e, ok := b.PickFor(now, g, balance.Request{Kind: largeKind})
	is.True(ok && e.Row.ID != cfg.Node)
	e, _ = b.PickFor(now, g, balance.Request{Kind: largeKind, Tried: []string{cfg.Node}})
	is.True(e.Row.ID != cfg.Node)

	failing := b.Group(nil, rows)
	for range 20 {
		for e := range failing.All() {
			b.Sent(now, e)
			b.Done(now, e, balance.Result{Queue: -1, Took: 100 * time.Millisecond, Kind: largeKind, Bytes: 280_000, ErrorAnswer: e.Row.ID == cfg.Node})
		}
	}
	picks := map[string]int{}
	for range 100 {
		e, _ := b.PickFor(now.Add(time.Second), failing, balance.Request{Kind: largeKind})
		picks[e.Row.ID]++
	}
	is.True(picks[cfg.Node] < 25) // its answers are errors
}

// TestFirstAnswerCountsForLong checks that the usual latency and size of a kind of request
// are the means of its answers until there are many, whatever the first one was like.
func TestFirstAnswerCountsForLong(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(1))
	const answers = 16
	for i := range answers {
		e, ok := b.PickFor(now, g, balance.Request{Kind: largeKind})
		is.True(ok)
		b.Sent(now, e)
		took, bytes := 2*time.Millisecond, int64(100<<10)
		if i == 0 {
			took, bytes = 1600*time.Millisecond, 16*bytes
		}
		b.Done(now, e, balance.Result{Took: took, Bytes: bytes, Kind: largeKind})
	}
	is.True(g.UsualLatency(largeKind) < 110*time.Millisecond)
	is.True(g.AnswerBytes(largeKind) < 210<<10)
}
