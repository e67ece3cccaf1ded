package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var now = time.Unix(1000, 0)

func newBalancer() *balance.Balancer {
	return balance.New(balance.DefaultConfig("dc0"), rand.New(rand.NewPCG(1, 1)))
}

// newFastDecay returns a Balancer whose record of failures has decayed by the end
// of an ejection, so that all endpoints in use are equally likely.
func newFastDecay() *balance.Balancer {
	cfg := balance.DefaultConfig("dc0")
	cfg.HealthStale = time.Second
	return balance.New(cfg, rand.New(rand.NewPCG(1, 1)))
}

// local returns n rows in the own data centre.
func local(n int) []*endpoint.Row {
	all := rows(n)
	for _, r := range all {
		r.DataCentre = "dc0"
	}
	return all
}

// countPicks makes n selections, ends each request at once and returns the number of
// selections by endpoint ID.
func countPicks(b *balance.Balancer, g *balance.Group, at time.Time, n int, tried ...string) map[string]int {
	picks := map[string]int{}
	for range n {
		e, ok := b.Pick(at, g, tried)
		if !ok {
			continue
		}
		picks[e.Row.ID]++
		b.Sent(now, e)
		b.Done(at, e, balance.Result{Queue: -1})
	}
	return picks
}

// endpointOf returns the endpoint with an ID.
func endpointOf(g *balance.Group, id string) *balance.Endpoint {
	for e := range g.All() {
		if e.Row.ID == id {
			return e
		}
	}
	return nil
}

func fail(b *balance.Balancer, e *balance.Endpoint, times int) {
	for range times {
		b.Sent(now, e)
		b.Done(now, e, balance.Result{Failed: true, Queue: -1})
	}
}

func TestPickFromEmptyGroup(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	_, ok := b.Pick(now, b.Group(nil, nil), nil)
	is.True(!ok)
}

func TestTriedIsExcluded(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(3))
	is.Equal(countPicks(b, g, now, 100, "n0000", "n0002"), map[string]int{"n0001": 100})
	is.Equal(len(countPicks(b, g, now, 100, "n0000", "n0001", "n0002")), 3) // all were tried, so any may be selected
}

// TestBarredIsNeverSelected guards against an endpoint being selected for want of another
// although the request must not go there again.
func TestBarredIsNeverSelected(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(2))
	tried := []string{"n0000", "n0001"}
	for range 100 {
		e, ok := b.PickFor(now, g, balance.Request{Tried: tried, Barred: tried[:1]})
		is.True(ok)
		is.Equal(e.Row.ID, "n0001")
	}
	_, ok := b.PickFor(now, g, balance.Request{Tried: tried, Barred: tried})
	is.True(!ok)
}

func TestPrefersOwnDataCentre(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, rows(22)) // two in each data centre
	picks := countPicks(b, g, now, 100)
	is.Equal(picks["n0000"]+picks["n0011"], 100)
	for _, id := range []string{"n0000", "n0011"} { // load both endpoints beyond their slots
		for range 12 {
			b.Sent(now, endpointOf(g, id))
		}
	}
	picks = countPicks(b, g, now, 100)
	is.Equal(picks["n0000"]+picks["n0011"], 0) // spills over to other data centres
}

func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	b := newFastDecay()
	g := b.Group(nil, local(10))
	for i := range 8 {
		fail(b, endpointOf(g, fmt.Sprintf("n%04d", i)), 20)
	}
	picks := countPicks(b, g, now.Add(4900*time.Millisecond), 10_000)
	is.Equal(len(picks), 5) // half are ejected; the others stay in use although they fail
	later := now.Add(6 * time.Second)
	is.Equal(len(countPicks(b, g, later, 10_000)), 10)
}

func TestOneFailureEjectsAgain(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(10))
	e := endpointOf(g, "n0000")
	fail(b, e, 5)
	later := now.Add(6 * time.Second)
	for {
		if q, _ := b.Pick(later, g, nil); q == e {
			break
		}
	}
	b.Sent(now, e)
	b.Done(later, e, balance.Result{Failed: true, Queue: -1})
	is.Equal(countPicks(b, g, later.Add(9*time.Second), 10_000)["n0000"], 0) // ejected again, for longer than the first time
}

func TestRefusedConnectionEjectsAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(10))
	e := endpointOf(g, "n0000")
	b.Sent(now, e)
	b.Done(now, e, balance.Result{Failed: true, Unreachable: true, Queue: -1})
	is.Equal(countPicks(b, g, now, 10_000)["n0000"], 0)
}

func TestEjectionBoundAfterGroupShrinks(t *testing.T) {
	is := is.New(t)
	b := newFastDecay()
	all := local(10)
	g := b.Group(nil, all)
	for i := range 5 {
		fail(b, endpointOf(g, all[i].ID), 5)
	}
	g = b.Group(g, all[:6])
	is.Equal(len(countPicks(b, g, now.Add(4900*time.Millisecond), 10_000)), 3)
}

func TestSlowStart(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := local(10)
	all[3].State, all[3].Since = endpoint.Warming, now
	g := b.Group(nil, all)
	share := func(after time.Duration) float64 {
		return float64(countPicks(b, g, now.Add(after), 20_000)["n0003"]) / 2000
	}
	is.True(share(0) < 0.3)
	is.True(share(5*time.Second) > 0.4 && share(5*time.Second) < 0.8)
	is.True(share(10*time.Second) > 0.9)
}

func TestStaleQueueDecays(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(2))
	e := endpointOf(g, "n0000")
	b.Sent(now, e)
	b.Done(now, e, balance.Result{Queue: 40})
	is.True(countPicks(b, g, now, 1000)["n0000"] < 400) // selected only when both random choices are this one
	is.True(countPicks(b, g, now.Add(time.Second), 1000)["n0000"] > 400)
}

func TestLeavingIsExcludedUntilRestart(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := local(3)
	g := b.Group(nil, all)
	b.MarkLeaving(now, endpointOf(g, "n0001"))
	is.Equal(countPicks(b, g, now, 100)["n0001"], 0)
	restarted := *all[1]
	restarted.Incarnation.Start++
	all[1] = &restarted
	g = b.Group(g, all)
	is.True(countPicks(b, g, now, 100)["n0001"] > 0) // the new incarnation is not leaving
}

// TestGroupInvariants applies random results and table changes. Every selected
// endpoint must be in the group, and the group's indexes must stay consistent.
func TestGroupInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, at := newBalancer(), now
		all := rows(rapid.IntRange(1, 12).Draw(t, "rows"))
		held := all
		g := b.Group(nil, held)
		var open []*balance.Endpoint
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				mask := rapid.Uint16().Draw(t, "held")
				held = nil
				for i, r := range all {
					if mask>>i&1 == 1 {
						held = append(held, r)
					}
				}
				g = b.Group(g, held)
			case 1, 2:
				e, ok := b.Pick(at, g, []string{all[0].ID})
				if ok != (len(held) > 0) {
					t.Fatalf("Pick returned %v for a group of %d", ok, len(held))
				}
				if !ok {
					continue
				}
				if endpointOf(g, e.Row.ID) != e {
					t.Fatal("selected endpoint is not in the group")
				}
				b.Sent(now, e)
				open = append(open, e)
			default:
				if len(open) > 0 {
					refused := rapid.Bool().Draw(t, "refused")
					if b.Done(at, open[0], balance.Result{Failed: refused, Unreachable: refused, Queue: rapid.IntRange(-1, 9).Draw(t, "queue")}); refused && rapid.Bool().Draw(t, "leaving") {
						b.MarkLeaving(at, open[0])
					}
					open = open[1:]
				}
			}
			n := 0
			for range g.All() {
				n++
			}
			if n != len(held) {
				t.Fatalf("group has %d endpoints, want %d", n, len(held))
			}
			if err := g.CheckInvariants(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestAvoidsHungEndpoint checks that an endpoint that never answers gets no further
// requests.
func TestAvoidsHungEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	g := b.Group(nil, local(3))
	countPicks(b, g, now, 10)
	for id := range map[string]bool{"n0000": true, "n0002": true} {
		b.Sent(now, endpointOf(g, id))
		b.Done(now, endpointOf(g, id), balance.Result{Queue: 0, Took: 20 * time.Millisecond})
	}
	hung := endpointOf(g, "n0001")
	b.Sent(now, hung)
	is.Equal(countPicks(b, g, now.Add(200*time.Millisecond), 1000)["n0001"], 0)
}

// TestCallersWhoLeaveSlowEndpointDoNotBarIt has most callers of one endpoint leave. It is
// avoided only if none of them had an answer.
func TestCallersWhoLeaveSlowEndpointDoNotBarIt(t *testing.T) {
	const usual, patience = 20 * time.Millisecond, 90 * time.Millisecond
	tests := []struct {
		name    string
		answers bool // a third of its callers get an answer
		avoided bool
	}{
		{"slow", true, false},
		{"hung", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, at := newBalancer(), now
			g := b.Group(nil, local(3))
			answer := func(e *balance.Endpoint) {
				b.Sent(at, e)
				b.Done(at.Add(usual), e, balance.Result{Queue: 0, Took: usual})
			}
			for e := range g.All() {
				answer(e)
			}
			odd := endpointOf(g, "n0001")
			for i := range 12 {
				if tt.answers && i%3 == 2 {
					answer(odd)
					continue
				}
				b.Sent(at, odd)
				at = at.Add(patience)
				b.Done(at, odd, balance.Result{GivenUp: true})
			}
			picks := countPicks(b, g, at, 300)["n0001"]
			is.Equal(picks == 0, tt.avoided)
		})
	}
}
