package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// Times of the calls in TestStoppingNodeTakesOnlyCallsItCanAnswer.
const (
	quickRun  = 20 * time.Millisecond
	callEvery = 10 * time.Millisecond
)

// stopUnderCalls stops a node to which callers send quick and slow calls, half of them
// not idempotent, before and throughout its drain. It returns the calls sent since, and
// when the drain began and the node ended.
func stopUnderCalls(t *testing.T, atMost, slowRun time.Duration, fault core.RequestFault) (began, ended time.Time, sent []*coretest.Call) {
	m := coretest.New(5)
	for _, name := range []string{"a1", "a2", "a3"} {
		m.Start(name, core.Config{DataCentre: "a", Service: "orders", Slots: 200, DrainAtLeast: min(3*time.Second, atMost), DrainAtMost: atMost})
	}
	m.Run(time.Second)
	submitSlowRoute(t, m)
	m.Run(20 * time.Second)
	tr := coretest.NewTraffic(m)
	slow := map[core.CallID]bool{}
	tr.RunTime = func(_ string, c *coretest.Call) time.Duration {
		if slow[c.ID] {
			return slowRun
		}
		return quickRun
	}
	n := m.Node("a1")
	send := func(i int) *coretest.Call {
		path := []string{"/quick/1", "/slow/1"}[i%2]
		slow[core.CallID(len(tr.Calls)+1)] = i%2 == 1
		return tr.Call("a1", core.CallArrived{Method: []string{"GET", "POST"}[i/2%2], Path: path, Budget: slowRun * 3 / 2, Replayable: true})
	}
	for i := range 400 {
		send(i)
		m.Run(callEvery)
	}
	n.State.InjectRequestFault(fault)
	m.Step("a1", core.Stop{})
	began = m.Now
	for i := 0; n.Alive && m.Now.Sub(began) < 2*atMost; i++ {
		sent = append(sent, send(i))
		m.RunUntil(callEvery, func() bool { return !n.Alive })
	}
	ended = m.Now
	m.Run(5 * time.Second)
	if err := coretest.CheckOutcomes(tr.Calls); err != nil {
		t.Error(err)
	}
	return began, ended, sent
}

// submitSlowRoute submits a service with one route for quick calls and one for slow ones.
func submitSlowRoute(t *testing.T, m *coretest.Mesh) {
	submitObjects(t, m, "s1",
		object(config.KindService, "orders", `{}`),
		object(config.KindRoute, "quick", `{"pathPrefix":"/quick","service":"orders"}`),
		object(config.KindRoute, "slow", `{"pathPrefix":"/slow","service":"orders"}`))
}

// TestStoppingNodeTakesOnlyCallsItCanAnswer checks that every call that a stopping node
// takes is answered before the node ends, and that all others are refused as not run.
func TestStoppingNodeTakesOnlyCallsItCanAnswer(t *testing.T) {
	for _, tt := range []struct {
		atMost, slowRun time.Duration
		fault           core.RequestFault
		wantCut         bool
	}{
		{atMost: 5300 * time.Millisecond, slowRun: 1500 * time.Millisecond},
		{atMost: 5300 * time.Millisecond, slowRun: 4 * time.Second},
		{atMost: 5300 * time.Millisecond, slowRun: 4 * time.Second, fault: core.IgnoreExit, wantCut: true},
		{atMost: 2500 * time.Millisecond, slowRun: 1500 * time.Millisecond},
		{atMost: 2500 * time.Millisecond, slowRun: 1500 * time.Millisecond, fault: core.IgnoreExit, wantCut: true},
		{atMost: time.Second, slowRun: 1500 * time.Millisecond},
		{atMost: time.Second, slowRun: 1500 * time.Millisecond, fault: core.IgnoreExit, wantCut: true},
	} {
		t.Run(fmt.Sprint(tt.atMost, " ", tt.slowRun, " ", tt.fault), func(t *testing.T) {
			is := is.New(t)
			began, ended, sent := stopUnderCalls(t, tt.atMost, tt.slowRun, tt.fault)
			cut, ran, refusedEarly := []string{}, 0, 0
			taken := min(3*time.Second, tt.atMost-400*time.Millisecond) // how long quick calls must be taken
			for i, c := range sent {
				switch {
				case c.Outcome == retry.Ran && !c.Ended.After(ended):
					ran++
				case c.Outcome == retry.NotRun && i%2 == 0 && c.Started.Sub(began) < taken:
					refusedEarly++
				case c.Outcome != retry.NotRun || len(c.Runs) > 0:
					cut = append(cut, fmt.Sprintf("%s call sent %v after the stop: outcome %v, %d runs, %s",
						c.Method, c.Started.Sub(began), c.Outcome, len(c.Runs), c.Reason))
				}
			}
			t.Logf("%d calls, %d answered, %d cut", len(sent), ran, len(cut))
			if !tt.wantCut {
				is.Equal(cut, []string{})
			}
			is.Equal(len(cut) > 0, tt.wantCut)
			is.Equal(refusedEarly, 0) // callers learn of a stop by polling readiness
		})
	}
}

// TestDrainWaitsForRelays checks that a node whose backend server has answered does not
// end while it sends the answer to another node, but ends at DrainAtMost, also if it is
// asked to end once more.
func TestDrainWaitsForRelays(t *testing.T) {
	for _, tt := range []struct {
		ends  bool // the answer is sent completely
		again bool // another stop comes after a second
		want  time.Duration
	}{{true, false, 5 * time.Second}, {false, false, 10 * time.Second}, {false, true, 10 * time.Second}} {
		is := is.New(t)
		start := time.Unix(1000, 0)
		s := core.New(core.Config{Service: "orders", DrainAtLeast: time.Second, DrainAtMost: 10 * time.Second})
		s.Reduce(start, core.RelayBegan{})
		s.Reduce(start, core.Stop{})
		drained := time.Duration(0)
		for after := time.Duration(0); drained == 0 && after <= 20*time.Second; after += 500 * time.Millisecond {
			if tt.ends && after == 5*time.Second {
				s.Reduce(start.Add(after), core.RelayEnded{})
			}
			if tt.again && after == time.Second {
				s.Reduce(start.Add(after), core.Stop{})
			}
			for _, effect := range s.Reduce(start.Add(after), core.Tick{}) {
				if _, ok := effect.(core.Drained); ok {
					drained = after
				}
			}
		}
		is.Equal(drained, tt.want)
	}
}

// TestCallIsTakenRightBeforeExit guards against a call that is taken so late that its answer
// can't be passed on any more if the host stalls.
func TestCallIsTakenRightBeforeExit(t *testing.T) {
	is := is.New(t)
	_, ended, sent := stopUnderCalls(t, 2500*time.Millisecond, 1500*time.Millisecond, "")
	for _, c := range sent {
		is.True(c.Forwards == 0 || ended.Sub(c.Started) >= 4*quickRun+200*time.Millisecond)
	}
}

// TestLateAttemptGetsTimeBeyondExit guards against a backend server that is still at work when
// the entry node ends, on a call of before the stop that is sent again, or on a later one.
func TestLateAttemptGetsTimeBeyondExit(t *testing.T) {
	is := is.New(t)
	const atMost = 2500 * time.Millisecond
	m := coretest.New(5)
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		m.Start(name, core.Config{DataCentre: "a", Service: "orders", Slots: 200, DrainAtLeast: atMost, DrainAtMost: atMost})
	}
	m.Run(time.Second)
	submitSlowRoute(t, m)
	m.Run(20 * time.Second)
	tr := coretest.NewTraffic(m)
	for range 40 { // the node learns how long they take
		tr.Call("a1", core.CallArrived{Method: "GET", Path: "/quick/1", Budget: 20 * time.Second, Replayable: true})
	}
	m.Run(time.Second)
	tr.RunTime = func(string, *coretest.Call) time.Duration { return time.Minute }
	for range 40 {
		tr.Call("a1", core.CallArrived{Method: "GET", Path: "/slow/1", Budget: 20 * time.Second, Replayable: true})
	}
	m.Run(100 * time.Millisecond)
	m.Step("a1", core.Stop{})
	exit := m.Now.Add(atMost)
	late := 0
	tr.OnSent = func(f core.Forward) {
		late++
		is.True(!m.Now.Add(f.Budget).After(exit))
	}
	m.Crash("a2")
	m.Run(time.Second)
	is.True(late > 0)
	again := late
	tr.Call("a1", core.CallArrived{Method: "POST", Path: "/quick/1", Budget: 20 * time.Second, Replayable: true})
	is.Equal(late, again+1)
}

// TestStoppingNodeServesAgain guards against a node that takes requests again while it stops,
// because its backend server ends, or because it is told to end an earlier drain.
func TestStoppingNodeServesAgain(t *testing.T) {
	is := is.New(t)
	m := coretest.New(5)
	m.Start("a1", core.Config{DataCentre: "a", Service: "orders", DrainAtLeast: 5 * time.Second, DrainAtMost: 10 * time.Second})
	m.Run(20 * time.Second)
	state := func() string { return m.Node("a1").State.Dump().Backend.State }
	is.Equal(state(), "ready")
	m.Step("a1", core.Stop{})
	for _, event := range []core.Event{core.BackendProbed{Refused: true}, core.BackendDrainCancelled{}, core.BackendProbed{OK: true}} {
		m.Step("a1", event)
		is.Equal(state(), "draining")
	}
}
