package core_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// chaos is one run of concurrent calls under faults.
type chaos struct {
	seed    uint64
	fault   core.RequestFault      // the safeguard that is disabled on all nodes
	faults  coretest.TrafficFaults // faults of the messages
	steps   int
	between time.Duration   // upper bound of the random time between steps
	pick    func(n int) int // makes the random choices: returns one of 0 to n-1
}

// run makes calls and injects faults, waits until all is settled, and
// checks the outcomes.
func (c chaos) run(t testingT) error {
	m := newMesh(c.seed, 3, 2)
	names := []string{"a1", "a2", "a3", "b1", "b2"}
	inject := func() {
		for _, n := range m.Nodes() {
			n.State.InjectRequestFault(c.fault)
		}
	}
	inject()
	submitRoute(t, m, "s1", "/orders")
	m.Run(10 * time.Second)
	tr := coretest.NewTraffic(m)
	tr.Faults = c.faults
	tr.RunTime = func(string, *coretest.Call) time.Duration {
		return time.Duration(m.Rand.Int64N(int64(30 * time.Millisecond)))
	}
	for range c.steps {
		switch c.pick(10) {
		case 0:
			m.Restart(names[c.pick(len(names))])
			inject()
		case 1:
			m.Pause(names[c.pick(len(names))], 200*time.Millisecond)
		case 2:
			if open := tr.Calls; len(open) > 0 {
				tr.Abandon(open[len(open)-1-c.pick(min(len(open), 8))])
			}
		default:
			for range 1 + c.pick(12) {
				tr.Call(names[c.pick(len(names))], core.CallArrived{
					Method: []string{"GET", "POST"}[c.pick(2)], Path: "/orders/1", Replayable: true,
					Budget: time.Duration(20+c.pick(200)) * time.Millisecond,
				})
			}
		}
		m.Run(time.Duration(c.pick(int(c.between))))
	}
	m.Run(20 * time.Second)
	return coretest.CheckOutcomes(tr.Calls)
}

var faultyTraffic = coretest.TrafficFaults{
	Delay: 5 * time.Millisecond, LongDelay: 0.1, MaxLongDelay: 2 * time.Second, Lose: 0.05, Duplicate: 0.1,
}

// TestOutcomesAreTrue crashes, pauses and restarts nodes at their addresses
// while messages are delayed, lost and duplicated: no call that ended as
// not run may have run or run later, and no non-idempotent call may run
// twice.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := chaos{
			seed: rapid.Uint64().Draw(t, "seed"), faults: faultyTraffic, between: 100 * time.Millisecond,
			steps: rapid.IntRange(1, 25).Draw(t, "steps"),
			pick:  func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") },
		}
		if err := c.run(t); err != nil {
			t.Fatal(err)
		}
	})
}

// TestOutcomeCheckDetectsFaults disables one safeguard at a time and expects
// the check of TestOutcomesAreTrue to fail.
func TestOutcomeCheckDetectsFaults(t *testing.T) {
	faults := []core.RequestFault{
		core.ForgetCancelled, core.ForgetSeen, core.IgnoreIncarnation, core.CopiesNotRun, core.ForgetUnknown, core.RetryNonIdempotent,
	}
	for _, fault := range faults {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			var err error
			for seed := uint64(1); seed < 200 && err == nil; seed++ {
				rng := rand.New(rand.NewPCG(seed, 2))
				c := chaos{seed: seed, fault: fault, faults: faultyTraffic, steps: 40, between: 100 * time.Millisecond, pick: rng.IntN}
				err = c.run(t)
			}
			is.True(err != nil) // the check must fail
			t.Log(err)
		})
	}
}
