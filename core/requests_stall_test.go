package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// The time line of a stop with one stall.
const (
	stallStop    = 5 * time.Second
	stallBegins  = 3 * time.Second // after the stop
	stallTime    = time.Second
	stallCallGap = 10 * time.Millisecond
	// quickNeed is the time that a quick call has to have left: longRunFactor times its own, and answerMargin.
	quickNeed = 4*quickRun + 200*time.Millisecond
)

// stopWithStall stops a node that gets quick calls every 10 ms. slow tells which of those
// that run during the stall are answered only at its end. It returns the calls that came
// after the stall with twice the time left that they need.
func stopWithStall(t *testing.T, slow func(nth int) bool) (later []*coretest.Call) {
	m := coretest.New(5)
	for _, name := range []string{"a1", "a2", "a3"} {
		m.Start(name, core.Config{DataCentre: "a", Service: "orders", Slots: 200, DrainAtLeast: stallStop, DrainAtMost: stallStop})
	}
	m.Run(time.Second)
	submitSlowRoute(t, m)
	m.Run(20 * time.Second)
	tr := coretest.NewTraffic(m)
	stallAt, nth := m.Now.Add(time.Hour), 0
	tr.RunTime = func(string, *coretest.Call) time.Duration {
		into := m.Now.Sub(stallAt)
		if into < 0 || into >= stallTime {
			return quickRun
		}
		if nth++; !slow(nth) {
			return quickRun
		}
		return stallTime - into + quickRun
	}
	send := func() *coretest.Call {
		return tr.Call("a1", core.CallArrived{Method: "POST", Path: "/quick/1", Budget: 10 * time.Second, Replayable: true})
	}
	for range 400 {
		send()
		m.Run(stallCallGap)
	}
	m.Step("a1", core.Stop{})
	began := m.Now
	stallAt = began.Add(stallBegins)
	for m.Node("a1").Alive && m.Now.Sub(began) < 2*stallStop {
		c, into := send(), m.Now.Sub(began)
		if into > stallBegins+stallTime+2*quickRun && into < stallStop-2*quickNeed {
			later = append(later, c)
		}
		m.RunUntil(stallCallGap, func() bool { return !m.Node("a1").Alive })
	}
	m.Run(5 * time.Second)
	if err := coretest.CheckOutcomes(tr.Calls); err != nil {
		t.Error(err)
	}
	return later
}

// TestStallInAStopRefusesCallsToItsEnd guards against calls that are refused until a stopping
// node ends because those of one stall were slow, though there is time enough to answer them.
func TestStallInAStopRefusesCallsToItsEnd(t *testing.T) {
	for name, slow := range map[string]func(int) bool{
		"all calls wait":      func(int) bool { return true },
		"one call in 4 waits": func(nth int) bool { return nth%4 == 0 },
		"one call waits":      func(nth int) bool { return nth == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			later := stopWithStall(t, slow)
			is.True(len(later) > 0)
			answered := 0
			for _, c := range later {
				if c.Outcome == retry.Ran {
					answered++
				}
			}
			is.Equal(answered, len(later))
		})
	}
}
