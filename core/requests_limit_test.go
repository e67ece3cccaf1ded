package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/retry"
)

// answerDelay is longer than an answer takes to its caller.
const answerDelay = 2 * time.Millisecond

// limitedMesh is a mesh under load whose backend servers send heartbeats, and some of
// which name a limit in their answers.
type limitedMesh struct {
	*coretest.SteadyLoad
	limits    map[string]float64 // requests per second, by node
	leaving   map[string]bool    // by node
	instances map[string]int64   // number of the current instance, by node
}

func newLimitedMesh(t *testing.T, seed uint64) *limitedMesh {
	m := newMesh(seed, 3, 3)
	l := &limitedMesh{limits: map[string]float64{}, instances: map[string]int64{}}
	for _, n := range m.Nodes() {
		cfg := n.Config
		cfg.Announced = true
		m.Crash(n.Name)
		m.Start(n.Name, cfg)
		l.sendHeartbeats(m, n.Name, 1)
	}
	submitRoute(t, m, "s1", "/orders")
	m.Run(20 * time.Second)
	l.SteadyLoad = coretest.NewSteadyLoad(m, "/orders/1", 20*time.Millisecond)
	l.Traffic.Notice = func(node string) core.BackendNotice {
		limit, limited := l.limits[node]
		return core.BackendNotice{Limited: limited, RateLimit: limit, Leaving: l.leaving[node]}
	}
	return l
}

// sendHeartbeats makes the backend server of a node send heartbeats.
func (l *limitedMesh) sendHeartbeats(m *coretest.Mesh, node string, sequence uint64) {
	m.Step(node, core.BackendReported{
		Backend: "i-" + node, Service: "orders", StartMillis: 1 + l.instances[node], Sequence: sequence, State: endpoint.Ready, Slots: 6,
	})
	m.After(200*time.Millisecond, func() { l.sendHeartbeats(m, node, sequence+1) })
}

// runsAt returns when a node's backend server began the runs of calls that entered
// elsewhere since a time.
func (l *limitedMesh) runsAt(node string, since time.Time) (at []time.Time) {
	for _, c := range l.Traffic.Calls {
		for _, r := range c.Runs {
			if r.Node == node && c.Entry != node && !r.At.Before(since) {
				at = append(at, r.At)
			}
		}
	}
	return at
}

// toldAt returns when each entry node passed on the first answer that a node's backend
// server gave after a time.
func (l *limitedMesh) toldAt(node string, since time.Time) map[string]time.Time {
	told := map[string]time.Time{}
	for _, c := range l.Traffic.Calls {
		if n := len(c.Runs); n == 0 || c.Outcome != retry.Ran || c.Runs[n-1].Node != node || c.Ended.Before(since) {
			continue
		}
		if at, known := told[c.Entry]; !known || c.Ended.Before(at) {
			told[c.Entry] = c.Ended
		}
	}
	return told
}

// runsAfter counts the runs at a node that began over a second after their entry node
// passed on an answer of its backend server that it gave after a time.
func (l *limitedMesh) runsAfter(node string, since time.Time) (runs int) {
	told := l.toldAt(node, since)
	for entry, at := range told {
		for _, c := range l.Traffic.Calls {
			for _, r := range c.Runs {
				if c.Entry == entry && entry != node && r.Node == node && r.At.Sub(at) > time.Second {
					runs++
				}
			}
		}
	}
	return runs
}

// servedSince returns the share of the calls since a time that were answered.
func (l *limitedMesh) servedSince(since time.Time) float64 {
	served, all := 0, 0
	for _, c := range l.Traffic.Calls {
		if c.Key != "" || c.Started.Before(since) || l.Now.Sub(c.Started) < time.Second || !l.Node(c.Entry).Alive {
			continue // a call with a key has one backend server
		}
		all++
		if c.Outcome == retry.Ran {
			served++
		}
	}
	return float64(served) / float64(all)
}

// TestBackendServerGetsMoreThanNamedLimit names limits at four of six backend servers
// and ends them again.
func TestBackendServerGetsMoreThanNamedLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		l := newLimitedMesh(t, seed)
		limited := map[string]float64{"a1": 30, "a2": 12, "b1": 20, "b2": 3}
		for node, limit := range limited {
			l.limits[node] = limit
		}
		l.Run(500 * time.Millisecond)
		named := l.Now
		l.Run(20 * time.Second)
		for node, limit := range limited {
			runs := l.runsAt(node, named)
			most, allowed := coretest.MostInWindow(runs), coretest.AllowedInWindow(limit)
			t.Logf("seed %d, %s: %d of %.0f allowed", seed, node, most, allowed)
			is.True(float64(most) <= allowed)
			is.True(float64(len(runs)) >= 0.5*20*limit) // it is still used
		}
		is.True(l.servedSince(named) > 0.999) // the others take the rest
		clear(l.limits)
		l.Run(2 * time.Second)
		ended := l.Now
		l.Run(5 * time.Second)
		is.True(len(l.runsAt("b2", ended)) > 5*40) // as much as any
	}
}

// TestRestartedNodeForgetsNamedLimit restarts the node beside a backend server that
// names a limit, again and again.
func TestRestartedNodeForgetsNamedLimit(t *testing.T) {
	t.Parallel()
	for _, fault := range []core.RequestFault{"", core.ForgetNotices} {
		t.Run(fmt.Sprintf("fault %q", fault), func(t *testing.T) {
			is := is.New(t)
			l := newLimitedMesh(t, 1)
			const node, limit = "a1", 1.0
			l.limits[node] = limit
			l.Run(3 * time.Second)
			named := l.Now
			for range 12 {
				l.Restart(node).State.InjectRequestFault(fault)
				l.Run(700 * time.Millisecond)
			}
			most := coretest.MostInWindow(l.runsAt(node, named))
			t.Logf("%d of %.0f allowed", most, coretest.AllowedInWindow(limit))
			is.Equal(float64(most) <= coretest.AllowedInWindow(limit), fault == "")
		})
	}
}

// TestBackendServerThatLeavesGetsRequests lets a backend server say in its answers that
// it is leaving, while its heartbeats do not, and restarts its node.
func TestBackendServerThatLeavesGetsRequests(t *testing.T) {
	t.Parallel()
	for _, fault := range []core.RequestFault{"", core.ForgetNotices} {
		t.Run(fmt.Sprintf("fault %q", fault), func(t *testing.T) {
			is := is.New(t)
			l := newLimitedMesh(t, 1)
			const node = "a1"
			l.leaving = map[string]bool{node: true}
			left := l.Now
			l.Run(3 * time.Second)
			is.True(len(l.toldAt(node, left.Add(answerDelay))) > 0)
			is.Equal(l.runsAfter(node, left.Add(answerDelay)), 0)
			for range 3 {
				l.Restart(node).State.InjectRequestFault(fault)
				l.Run(2 * time.Second)
			}
			is.Equal(l.runsAfter(node, left.Add(answerDelay)) == 0, fault == "")
			is.True(l.servedSince(left) > 0.999)
			l.leaving = nil
			l.instances[node]++ // another one takes its place
			l.Run(time.Second)
			is.True(len(l.runsAt(node, l.Now.Add(-500*time.Millisecond))) > 0)
		})
	}
}

// TestEndedLimitIsBroughtAlong checks that an entry node brings along what a backend
// server said until an answer of it says nothing; a refusal of its node says nothing of it.
func TestEndedLimitIsBroughtAlong(t *testing.T) {
	is := is.New(t)
	e := newEntryNode(t, core.Config{}, 1, ordersObjects(`{"maxAttempts":1}`)...)
	said := core.BackendNotice{Backend: "i-1", StartMillis: 1, Limited: true, RateLimit: 3}
	for _, tt := range []struct {
		outcome retry.Outcome
		says    core.BackendNotice
		next    core.BackendNotice
	}{
		{retry.Ran, core.BackendNotice{}, core.BackendNotice{}},
		{retry.Ran, said, said},
		{retry.NotRun, core.BackendNotice{}, said},
		{retry.Unknown, core.BackendNotice{}, said},
		{retry.Ran, core.BackendNotice{}, core.BackendNotice{}},
		{retry.NotRun, said, said},
	} {
		f := e.call("GET")
		e.step(core.AttemptEnded{Call: f.Call, Attempt: f.Attempt, Outcome: tt.outcome, Status: 200, Queue: -1, Said: tt.says})
		f = e.call("GET")
		is.Equal(f.Said, tt.next)
		e.step(core.CallClosed{Call: f.Call})
	}
}
