package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/balance"
)

// answeredGroup returns a group, and a function that has n answers of a kind arrive evenly
// over a time from at on, and returns its end.
func answeredGroup() (*balance.Group, func(at time.Time, n int, took, over time.Duration) time.Time) {
	b := newBalancer()
	g := b.Group(nil, local(1))
	e := endpointOf(g, "n0000")
	return g, func(at time.Time, n int, took, over time.Duration) time.Time {
		for i := range n {
			b.Sent(at, e)
			b.Done(at.Add(over*time.Duration(i)/time.Duration(n)), e, balance.Result{Queue: -1, Took: took, Kind: "k"})
		}
		return at.Add(over)
	}
}

// TestStallRaisesLatencyBound guards against a bound that follows the answers of one stall,
// as many as they are.
func TestStallRaisesLatencyBound(t *testing.T) {
	for _, slow := range []int{1, 8, 200} {
		is := is.New(t)
		g, answer := answeredGroup()
		at := answer(now, 400, 20*time.Millisecond, 4*time.Second)
		at = answer(at.Add(time.Second), slow, time.Second, time.Millisecond)
		is.True(g.LatencyBound(at, "k", 4) < 100*time.Millisecond)
		at = answer(at, 100, 20*time.Millisecond, time.Second)
		is.True(g.LatencyBound(at, "k", 4) < 100*time.Millisecond)
	}
}

// TestLatencyBoundMissesLastingSlowness guards against a bound so sturdy that requests which
// have become slow for good, or are slow in part, are taken for quick ones.
func TestLatencyBoundMissesLastingSlowness(t *testing.T) {
	is := is.New(t)
	g, answer := answeredGroup()
	at := answer(now, 400, 20*time.Millisecond, 4*time.Second)
	at = answer(at, 120, 500*time.Millisecond, 1200*time.Millisecond)
	is.True(g.LatencyBound(at, "k", 4) > 1900*time.Millisecond)
	is.True(g.LatencyBound(at.Add(time.Minute), "k", 4) > 450*time.Millisecond)
	g, answer = answeredGroup()
	for at = now; at.Sub(now) < 10*time.Second; {
		at = answer(at, 3, 20*time.Millisecond, 300*time.Millisecond)
		at = answer(at, 1, 2*time.Second, 100*time.Millisecond)
	}
	is.True(g.LatencyBound(at, "k", 4) > 1900*time.Millisecond)
}

// TestLatencyBoundOutlastsSlowness guards against requests that are refused for good, since
// the last answers before they were refused were slow.
func TestLatencyBoundOutlastsSlowness(t *testing.T) {
	is := is.New(t)
	g, answer := answeredGroup()
	at := answer(now, 400, 20*time.Millisecond, 4*time.Second)
	at = answer(at, 120, 500*time.Millisecond, 1200*time.Millisecond)
	is.True(g.LatencyBound(at.Add(2*time.Second), "k", 4) < 550*time.Millisecond)
}

// TestRefusalsKeepEndpointSlow guards against an endpoint that counts as slow for good, since
// what it refuses tells its queue from time to time and nothing of its latency.
func TestRefusalsKeepEndpointSlow(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(2))
	slow, other := endpointOf(g, "n0000"), endpointOf(g, "n0001")
	for range 50 {
		b.Done(now, other, balance.Result{Queue: 0, Took: 10 * time.Millisecond})
	}
	for range 6 {
		b.Done(now, slow, balance.Result{Queue: 0, Took: time.Second})
	}
	is.True(countPicks(b, g, now, 100)["n0000"] < 10)
	at := now
	for range 12 {
		at = at.Add(time.Second)
		b.Done(at, slow, balance.Result{Queue: 0})
	}
	is.True(countPicks(b, g, at, 100)["n0000"] > 25)
}

// TestKindsBeyondBoundHaveNoLatency guards against a kind of request that counts as never
// answered, since the services' kinds before it are as many as are kept apart.
func TestKindsBeyondBoundHaveNoLatency(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(1))
	e := endpointOf(g, "n0000")
	for i := range 70 {
		b.Done(now, e, balance.Result{Queue: -1, Took: 10 * time.Millisecond, Kind: fmt.Sprint("k", i)})
	}
	is.True(g.LatencyBound(now, "k69", 4) >= 40*time.Millisecond)
	is.True(g.UsualLatency("k69") > 0)
}
