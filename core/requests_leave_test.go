package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// callEvery is the time between two calls of the steady load in these tests.
const callEvery = 2 * time.Millisecond

// steadyMesh is six nodes in two data centres under a steady load of calls,
// each into an entry node that was ready when readiness was looked at last.
type steadyMesh struct {
	*coretest.Mesh
	traffic *coretest.Traffic
	ready   []string
	next    int
}

func newSteadyMesh(t *testing.T, seed uint64, took time.Duration) *steadyMesh {
	s := &steadyMesh{Mesh: newMesh(seed, 3, 3)}
	submitRoute(t, s.Mesh, "s1", "/orders")
	s.Run(20 * time.Second)
	s.traffic = coretest.NewTraffic(s.Mesh)
	s.traffic.Serve = func(string, *coretest.Call) time.Duration {
		return took/2 + time.Duration(s.Rand.Int64N(int64(took)))
	}
	s.look()
	s.load()
	return s
}

// look reads every node's readiness twice a second, as a load balancer does.
func (s *steadyMesh) look() {
	s.readReady()
	s.After(500*time.Millisecond, s.look)
}

func (s *steadyMesh) readReady() {
	s.ready = nil
	for _, n := range s.Nodes() {
		if ok, _ := n.State.Ready(); ok && n.Alive && n.Name != s.traffic.Silent {
			s.ready = append(s.ready, n.Name)
		}
	}
}

func (s *steadyMesh) load() {
	s.next++
	s.traffic.Call(s.ready[s.next%len(s.ready)], core.CallArrived{
		Method: []string{"GET", "POST"}[s.next%2], Path: "/orders/1", Repeats: true,
	})
	s.After(callEvery, s.load)
}

// lastRun returns when the last run at a node began.
func (s *steadyMesh) lastRun(node string) (last time.Time) {
	for _, c := range s.traffic.Calls {
		for _, r := range c.Runs {
			if r.Node == node && r.At.After(last) {
				last = r.At
			}
		}
	}
	return last
}

func (s *steadyMesh) failed() (bad []string) {
	for _, c := range s.traffic.Calls {
		if c.Outcome != retry.Ran && s.Now.Sub(c.Started) > 6*time.Second {
			bad = append(bad, fmt.Sprintf("call %d into %s at %v: %s %s", c.ID, c.Entry, c.Started.Format("05.000"), c.Outcome, c.Reason))
		}
	}
	return bad
}

// deafen loses all that links carry to and from a node.
func (s *steadyMesh) deafen(node string) {
	for _, n := range s.Nodes() {
		s.Deafen(node, n.Name)
	}
}

// failedSince counts the failed calls that came after a time into nodes that
// live.
func (s *steadyMesh) failedSince(at time.Time) (n int) {
	for _, c := range s.traffic.Calls {
		if s.Node(c.Entry).Alive && c.Outcome != retry.Ran && c.Started.After(at) && s.Now.Sub(c.Started) > 6*time.Second {
			n++
		}
	}
	return n
}

func (s *steadyMesh) breakAll(f core.RequestFault) {
	for _, n := range s.Nodes() {
		n.State.BreakForTest(f)
	}
}

// rollingRestart stops and starts every node once.
func rollingRestart(t *testing.T, fault core.RequestFault) []string {
	s := newSteadyMesh(t, 1, 20*time.Millisecond)
	quick := s.traffic.Serve
	s.traffic.Serve = func(node string, c *coretest.Call) time.Duration {
		if c.ID%199 == 0 { // of both methods
			return 2500 * time.Millisecond // longer than any drain lasts at least
		}
		return quick(node, c)
	}
	for _, n := range s.Nodes() {
		s.breakAll(fault)
		s.Step(n.Name, core.Stop{})
		s.RunUntil(40*time.Second, func() bool { return !n.Alive })
		s.Run(time.Second)
		s.Start(n.Name, n.Config)
		s.RunUntil(30*time.Second, func() bool { ok, _ := n.State.Ready(); return ok })
		s.Run(8 * time.Second)
	}
	s.Run(10 * time.Second)
	t.Logf("%d calls while every node was restarted", len(s.traffic.Calls))
	if err := checkTruth(s.traffic.Calls); err != nil {
		t.Error(err)
	}
	return s.failed()
}

// TestRollingRestartFailsNoRequest restarts all nodes one by one under load.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bad := rollingRestart(t, "")
	if len(bad) > 0 {
		t.Logf("%d failed, first: %s", len(bad), bad[0])
	}
	is.Equal(len(bad), 0)
	is.True(len(rollingRestart(t, core.CutDrain)) > 0) // the check can fail
}

// TestLeavingGetsNoNewWork measures the time from the start of a drain, or
// from a crash, until the last new run, and the calls that failed meanwhile.
func TestLeavingGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(s *steadyMesh)
		limit time.Duration // "after a few seconds"
		fault core.RequestFault
		red   bool
	}{
		{name: "stop of the node", leave: func(s *steadyMesh) { s.Step("a2", core.Stop{}) }, limit: 3 * time.Second},
		{name: "the backend server's own word", leave: func(s *steadyMesh) { s.Step("a2", core.BackendLeaving{}) }, limit: 3 * time.Second},
		{name: "hang of the backend server", leave: func(s *steadyMesh) { s.Node("a2").Hung = true }, limit: 4 * time.Second},
		{
			name: "silence of the host", limit: 5 * time.Second,
			leave: func(s *steadyMesh) {
				s.deafen("a2")
				s.traffic.Silent = "a2"
				s.readReady()
			},
		},
		{
			name: "crash of a third of the hosts", limit: 3 * time.Second,
			leave: func(s *steadyMesh) {
				s.Crash("a2")
				s.Crash("b3")
				s.readReady()
			},
		},
		{name: "crash of the host", leave: func(s *steadyMesh) { s.Crash("a2") }, limit: 3 * time.Second},
		{
			name: "own word, and the links that would tell it are silent", limit: 3 * time.Second,
			leave: func(s *steadyMesh) {
				s.deafen("a2")
				s.Step("a2", core.BackendLeaving{})
			},
		},
		{
			name: "the same, and it goes on serving unsuspected", limit: 3 * time.Second, fault: core.ServeLeaving, red: true,
			leave: func(s *steadyMesh) {
				for _, n := range s.Nodes() {
					n.State.Break(core.BreakSuspicion) // else its silence alone takes it out of service
				}
				s.deafen("a2")
				s.Step("a2", core.BackendLeaving{})
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteadyMesh(t, 2, 20*time.Millisecond)
			s.Run(2 * time.Second)
			s.breakAll(tt.fault)
			lastSent := s.Now
			left := s.Now
			s.traffic.Sent = func(f core.Forward) {
				if f.Target == "a2" {
					lastSent = s.Now
				}
			}
			tt.leave(s)
			s.Run(12 * time.Second)
			run := max(s.lastRun("a2").Sub(left), 0)
			t.Logf("last sent after %v, last run began after %v, %d failed, %d of them came later into live nodes", lastSent.Sub(left), run, len(s.failed()), s.failedSince(left))
			is.Equal(run > tt.limit, tt.red)
		})
	}
}

// TestRestartAtTheSameAddress lets a host crash and come back at once, while
// other nodes still send what was meant for its earlier life.
func TestRestartAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := newSteadyMesh(t, 2, 20*time.Millisecond)
	s.Run(2 * time.Second)
	left := s.Now
	s.Restart("a2")
	s.Run(30 * time.Second)
	t.Logf("%d failed, %d of them came later", len(s.failed()), s.failedSince(left))
	is.NoErr(checkTruth(s.traffic.Calls))
	is.True(s.Now.Sub(s.lastRun("a2")) < time.Second) // its new life serves
}

// TestBackendComesBack covers the ways back into service after a leave.
func TestBackendComesBack(t *testing.T) {
	tests := []struct {
		name string
		back func(s *steadyMesh)
	}{
		{"the leave is taken back", func(s *steadyMesh) { s.Step("a2", core.BackendStays{}) }},
		{"another process at the address", func(s *steadyMesh) {
			s.Node("a2").Backend = false
			s.Run(3 * time.Second)
			s.Node("a2").Backend = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteadyMesh(t, 3, 20*time.Millisecond)
			s.Step("a2", core.BackendLeaving{})
			s.Run(5 * time.Second)
			is.True(s.Now.Sub(s.lastRun("a2")) > 3*time.Second)
			tt.back(s)
			s.Run(10 * time.Second)
			is.True(s.Now.Sub(s.lastRun("a2")) < time.Second)
			is.Equal(s.Node("a2").State.Dump().Backend.State, "ready")
		})
	}
}

// TestStopRunsWhatWaits lets a drain begin while attempts wait for a slot.
func TestStopRunsWhatWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	door := coretest.NewReducerDoor(now, core.Config{Slots: 1})
	id := func(n uint64) core.AttemptID { return core.AttemptID{Origin: 1, Number: n} }
	for i := range uint64(3) {
		door.Arrive(now, id(i), 1, time.Second)
	}
	door.Leave(now)
	_, refused := door.Arrive(now, id(9), 1, time.Second)
	is.Equal(refused, []core.AttemptID{id(9)})
	run, _ := door.Done(now, id(0), time.Millisecond)
	is.Equal(run, []core.AttemptID{id(1)})
	run, _ = door.Done(now, id(1), time.Millisecond)
	is.Equal(run, []core.AttemptID{id(2)})
}

// TestHealthIsOneInputBesideRequests lets the health endpoint fail while
// requests are answered, and afterwards without any.
func TestHealthIsOneInputBesideRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := servingState(now, 1)
	id := core.AttemptID{Origin: 1}
	probe := func(status int) {
		now = now.Add(time.Second)
		id.Number++
		if status != 0 {
			s.Reduce(now, core.AttemptArrived{Attempt: id, Budget: time.Second})
			s.Reduce(now, core.AttemptDone{Attempt: id, Took: time.Millisecond, Status: status})
		}
		s.Reduce(now, core.BackendProbed{OK: false})
	}
	for range 10 {
		probe(200)
	}
	is.Equal(s.Dump().Backend.State, "warming") // as it was: requests show that it works
	for range 3 {
		probe(500)
	}
	is.Equal(s.Dump().Backend.State, "failed")
}

// TestFirstNewsOfALeaveCostsNoRetryBudget sends more requests at once than the
// budget has retries, before any answer tells that a backend server leaves.
func TestFirstNewsOfALeaveCostsNoRetryBudget(t *testing.T) {
	is := is.New(t)
	m := newMesh(4, 3, 3)
	submitRoute(t, m, "s1", "/orders")
	m.Run(20 * time.Second)
	tr := coretest.NewTraffic(m)
	for _, n := range m.Nodes() {
		m.Deafen("a2", n.Name)
	}
	m.Step("a2", core.BackendLeaving{})
	for range 60 {
		tr.Call("a1", core.CallArrived{Method: "POST", Path: "/orders/1", Repeats: true})
	}
	m.Run(2 * time.Second)
	refused := 0
	for _, c := range tr.Calls {
		is.Equal(c.Outcome, retry.Ran)
		refused += c.Forwards - 1
	}
	is.True(refused > 10) // more than the budget's reserve
}
