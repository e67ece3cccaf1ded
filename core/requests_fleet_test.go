package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/coretest"
)

// outlier is the backend server that differs from the others in
// TestBalancerWithBadBackends.
const outlier = 7

// fleetScenario is one way in which backend servers differ, with the
// condition that the result must meet.
type fleetScenario struct {
	name          string
	setup         func(f *coretest.Fleet)
	accept        func(r coretest.FleetResult) bool
	baselinesFail bool // the baselines must not meet the condition
}

// loadShare returns the outlier's share of the calls, relative to an equal
// distribution.
func loadShare(r coretest.FleetResult) float64 {
	return float64(r.AttemptsSent[outlier]*len(r.AttemptsSent)) / float64(r.Calls)
}

// inTime returns the share of the calls that were answered in time.
func inTime(r coretest.FleetResult) float64 { return float64(r.InTime) / float64(r.Calls) }

func slower(factor float64) func(int) float64 {
	return func(b int) float64 {
		if b == outlier {
			return factor
		}
		return 1
	}
}

func reportsNoQueue(b, queue int) int {
	if b == outlier {
		return 0
	}
	return queue
}

func fleetScenarios() []fleetScenario {
	dead := map[int]bool{0: true, 1: true, 2: true, 8: true, 12: true, 13: true, 17: true}
	return []fleetScenario{
		{"all alike", func(*coretest.Fleet) {}, func(r coretest.FleetResult) bool { return loadShare(r) < 1.2 && inTime(r) == 1 }, false},
		{"one 10 times slower", func(f *coretest.Fleet) { f.SlowdownOf = slower(10) },
			func(r coretest.FleetResult) bool { return loadShare(r) < 0.5 }, true},
		{"one 3 times slower, reporting no queue", func(f *coretest.Fleet) { f.SlowdownOf, f.ReportedQueue = slower(3), reportsNoQueue },
			func(r coretest.FleetResult) bool { return loadShare(r) < 0.5 }, true},
		{"one that seems idle", func(f *coretest.Fleet) { f.Load, f.SlowdownOf, f.ReportedQueue = 0.9, slower(0.01), reportsNoQueue },
			func(r coretest.FleetResult) bool { return loadShare(r) < 2.1 }, false},
		{"one fails immediately", func(f *coretest.Fleet) { f.FailsFast = func(b int) bool { return b == outlier } },
			func(r coretest.FleetResult) bool { return inTime(r) > 0.98 }, true},
		{"a third dies simultaneously", func(f *coretest.Fleet) {
			f.Dies, f.DieAt, f.DetectAfter = func(b int) bool { return dead[b] }, 2*time.Second, time.Second
		}, func(r coretest.FleetResult) bool { return inTime(r) > 0.998 }, true},
	}
}

// TestBalancerWithBadBackends simulates a service of 20 backend servers at
// 60 % of its capacity, some of which misbehave, with few and with many entry
// nodes. It compares the node's balancer with round-robin and random choice.
func TestBalancerWithBadBackends(t *testing.T) {
	t.Parallel()
	start := time.Unix(1_700_000_000, 0)
	pickers := []struct {
		name string
		pick coretest.NewPicker
	}{{"balancer", coretest.BalancePicker}, {"round-robin", coretest.RoundRobinPicker}, {"random", coretest.RandomPicker}}
	for _, sc := range fleetScenarios() {
		for _, entries := range []int{4, 100} {
			is := is.New(t)
			for i, p := range pickers {
				f := coretest.Fleet{
					Seed: 1, Backends: 20, Entries: entries, Slots: 6, Load: 0.6, MeanRunTime: 20 * time.Millisecond,
					Deadline: time.Second, Duration: 5 * time.Second, Attempts: 3,
				}
				sc.setup(&f)
				r := f.Run(start, p.pick)
				t.Logf("%s | %d | %s | %.4f | %v | %v | %.2f | %.3f", sc.name, entries, p.name, inTime(r),
					r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond), loadShare(r), float64(r.Runs)/float64(r.Calls))
				if i == 0 {
					is.True(sc.accept(r))
				} else if sc.baselinesFail {
					is.True(!sc.accept(r)) // the check can fail: the baselines do
				}
			}
		}
	}
}
