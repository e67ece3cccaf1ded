package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// newSteadyMesh returns six nodes in two data centres under constant load,
// whose calls run for the given time.
func newSteadyMesh(t *testing.T, seed uint64, took time.Duration) *coretest.SteadyLoad {
	m := newMesh(seed, 3, 3)
	submitRoute(t, m, "s1", "/orders")
	m.Run(20 * time.Second)
	return coretest.NewSteadyLoad(m, "/orders/1", took)
}

func injectIntoAll(s *coretest.SteadyLoad, f core.RequestFault) {
	for _, n := range s.Nodes() {
		n.State.InjectRequestFault(f)
	}
}

// rollingRestart stops and restarts each node once, under load and with the
// given fault, empty for none, and returns the calls that failed.
func rollingRestart(t *testing.T, seed uint64, fault core.RequestFault) []string {
	s := newSteadyMesh(t, seed, 20*time.Millisecond)
	serveQuickly := s.Traffic.RunTime
	s.Traffic.RunTime = func(node string, c *coretest.Call) time.Duration {
		if c.ID%199 == 0 { // calls of both methods
			return 2500 * time.Millisecond // longer than DrainAtLeast
		}
		return serveQuickly(node, c)
	}
	for _, n := range s.Nodes() {
		injectIntoAll(s, fault)
		s.Step(n.Name, core.Stop{})
		s.RunUntil(40*time.Second, func() bool { return !n.Alive })
		s.Run(time.Second)
		s.Start(n.Name, n.Config)
		s.RunUntil(30*time.Second, func() bool { ok, _ := n.State.Ready(); return ok })
		s.Run(8 * time.Second)
	}
	s.Run(10 * time.Second)
	t.Logf("%d calls while every node was restarted", len(s.Traffic.Calls))
	if err := coretest.CheckOutcomes(s.Traffic.Calls); err != nil {
		t.Error(err)
	}
	return s.FailedCalls()
}

// TestRollingRestartFailsNoRequest restarts all nodes one by one under
// load.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	detected := 0 // failed runs among those in which a drain does not wait
	for seed := range uint64(4) {
		bad := rollingRestart(t, seed, "")
		if len(bad) > 0 {
			t.Logf("seed %d: %d failed, first: %s", seed, len(bad), bad[0])
		}
		is.Equal(len(bad), 0)
		if len(rollingRestart(t, seed, core.SkipDrainWait)) > 0 {
			detected++
		}
	}
	is.True(detected > 0) // the check can fail
}

// TestUnavailableBackendGetsNoNewRequests limits the time from the start of a
// drain, a hang, a loss of links or a crash until the last new run starts. It
// logs how many calls fail meanwhile.
func TestUnavailableBackendGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name     string
		leave    func(s *coretest.SteadyLoad)
		limit    time.Duration // of the time until the last new run; the requirement is "after a few seconds"
		fault    core.RequestFault
		wantLate bool
	}{
		{name: "stop of the node", leave: func(s *coretest.SteadyLoad) { s.Step("a2", core.Stop{}) }, limit: 3 * time.Second},
		{name: "the backend server announces its drain", leave: func(s *coretest.SteadyLoad) { s.Step("a2", core.BackendDraining{}) }, limit: 3 * time.Second},
		{name: "hang of the backend server", leave: func(s *coretest.SteadyLoad) { s.Node("a2").BackendHung = true }, limit: 4 * time.Second},
		{
			name: "no message of the host arrives", limit: 5 * time.Second,
			leave: func(s *coretest.SteadyLoad) {
				s.DropAllLinkMessages("a2")
				s.Traffic.BlackholedNode = "a2"
				s.UpdateReady()
			},
		},
		{
			name: "simultaneous crash of a third of the hosts", limit: 3 * time.Second,
			leave: func(s *coretest.SteadyLoad) {
				s.Crash("a2")
				s.Crash("b3")
				s.UpdateReady()
			},
		},
		{name: "crash of the host", leave: func(s *coretest.SteadyLoad) { s.Crash("a2") }, limit: 3 * time.Second},
		{
			name: "announced drain, but all links from the node are silent", limit: 3 * time.Second,
			leave: func(s *coretest.SteadyLoad) {
				s.DropAllLinkMessages("a2")
				s.Step("a2", core.BackendDraining{})
			},
		},
		{
			name: "the same, but it keeps serving and is not suspected", limit: 3 * time.Second, fault: core.ServeWhileDraining, wantLate: true,
			leave: func(s *coretest.SteadyLoad) {
				for _, n := range s.Nodes() {
					n.State.SetTestFault(core.NoSuspicion) // otherwise its silence alone would take it out of service
				}
				s.DropAllLinkMessages("a2")
				s.Step("a2", core.BackendDraining{})
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteadyMesh(t, 2, 20*time.Millisecond)
			s.Run(2 * time.Second)
			injectIntoAll(s, tt.fault)
			lastSent := s.Now
			left := s.Now
			s.Traffic.OnSent = func(f core.Forward) {
				if f.Target == "a2" {
					lastSent = s.Now
				}
			}
			tt.leave(s)
			s.Run(12 * time.Second)
			run := max(s.LastRun("a2").Sub(left), 0)
			t.Logf("last sent after %v, last run started after %v, %d failed, of which %d arrived later at live nodes", lastSent.Sub(left), run, len(s.FailedCalls()), s.CountFailedSince(left))
			is.Equal(run > tt.limit, tt.wantLate)
		})
	}
}

// TestRestartAtTheSameAddress crashes a host and restarts it at once, while
// other nodes still send requests meant for its earlier incarnation.
func TestRestartAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	s := newSteadyMesh(t, 2, 20*time.Millisecond)
	s.Run(2 * time.Second)
	left := s.Now
	s.Restart("a2")
	s.Run(30 * time.Second)
	t.Logf("%d failed, of which %d arrived later", len(s.FailedCalls()), s.CountFailedSince(left))
	is.NoErr(coretest.CheckOutcomes(s.Traffic.Calls))
	is.True(s.Now.Sub(s.LastRun("a2")) < time.Second) // its new incarnation serves
}

// TestBackendReturnsToService covers the ways back into service after a
// drain.
func TestBackendReturnsToService(t *testing.T) {
	tests := []struct {
		name string
		back func(s *coretest.SteadyLoad)
	}{
		{"the drain is cancelled", func(s *coretest.SteadyLoad) { s.Step("a2", core.BackendDrainCancelled{}) }},
		{"another process at the address", func(s *coretest.SteadyLoad) {
			s.Node("a2").BackendUp = false
			s.Run(3 * time.Second)
			s.Node("a2").BackendUp = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteadyMesh(t, 3, 20*time.Millisecond)
			s.Step("a2", core.BackendDraining{})
			s.Run(5 * time.Second)
			is.True(s.Now.Sub(s.LastRun("a2")) > 3*time.Second)
			tt.back(s)
			s.Run(10 * time.Second)
			is.True(s.Now.Sub(s.LastRun("a2")) < time.Second)
			is.Equal(s.Node("a2").State.Dump().Backend.State, "ready")
		})
	}
}

// TestDrainRunsQueuedAttempts starts a drain while attempts wait for a slot.
// They must still run, while an attempt that arrives later is refused.
func TestDrainRunsQueuedAttempts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	admitter := coretest.NewReducerAdmitter(now, core.Config{Slots: 1})
	id := func(n uint64) core.AttemptID { return core.AttemptID{Origin: 1, Number: n} }
	for i := range uint64(3) {
		admitter.Arrive(now, id(i), 1, time.Second)
	}
	admitter.Drain(now)
	_, refused := admitter.Arrive(now, id(9), 1, time.Second)
	is.Equal(refused, []core.AttemptID{id(9)})
	run, _ := admitter.Done(now, id(0), time.Millisecond)
	is.Equal(run, []core.AttemptID{id(1)})
	run, _ = admitter.Done(now, id(1), time.Millisecond)
	is.Equal(run, []core.AttemptID{id(2)})
}

// TestServedRequestsOverrideFailedProbes lets the health endpoint fail,
// first while requests succeed, then while they fail.
func TestServedRequestsOverrideFailedProbes(t *testing.T) {
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
	is.Equal(s.Dump().Backend.State, "warming") // unchanged, since requests show that it works
	for range 3 {
		probe(500)
	}
	is.Equal(s.Dump().Backend.State, "failed")
}

// TestFirstDrainRefusalsCostNoRetryBudget sends more concurrent requests
// than the budget has retries, before any answer shows that a backend
// server is draining.
func TestFirstDrainRefusalsCostNoRetryBudget(t *testing.T) {
	is := is.New(t)
	m := newMesh(4, 3, 3)
	submitRoute(t, m, "s1", "/orders")
	m.Run(20 * time.Second)
	tr := coretest.NewTraffic(m)
	for _, n := range m.Nodes() {
		m.DropLinkMessages("a2", n.Name)
	}
	m.Step("a2", core.BackendDraining{})
	for range 60 {
		tr.Call("a1", core.CallArrived{Method: "POST", Path: "/orders/1", Replayable: true})
	}
	m.Run(2 * time.Second)
	refused := 0
	for _, c := range tr.Calls {
		is.Equal(c.Outcome, retry.Ran)
		refused += c.Forwards - 1
	}
	is.True(refused > 10) // more than the budget's reserve
}
