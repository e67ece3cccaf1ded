package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/coretest"
)

var overloads = []float64{0.1, 0.5, 0.9, 1, 1.5, 2, 3, 4}

// mixedLoad is a load of 10 % status checks, 70 % interactive and 20 %
// batch requests.
func mixedLoad(load float64, status time.Duration) coretest.Overload {
	const mean = 20 * time.Millisecond
	return coretest.Overload{
		Seed: 1, Slots: 6, Load: load, Shares: [3]float64{0.1, 0.7, 0.2}, MeanRunTime: [3]time.Duration{status, mean, mean},
		Deadline: time.Second, Duration: 60 * time.Second, RunTimeFactor: (*rand.Rand).ExpFloat64,
	}
}

func formatResult(r coretest.Result) string {
	out := fmt.Sprintf("goodput %.3f", r.Goodput)
	for c, s := range r.Classes {
		out += fmt.Sprintf(" | class %d: in time %.3f p50 %v p99 %v", c, float64(s.InTime)/float64(max(s.Arrived, 1)),
			s.P50.Round(100*time.Microsecond), s.P99.Round(100*time.Microsecond))
	}
	return out
}

// TestOverload applies 0.1 to 4 times the capacity of a backend server to
// its node's reducer and, as the baseline, to an unbounded FIFO queue.
func TestOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	var results []coretest.Result
	peak := 0.0
	for _, load := range overloads {
		o := mixedLoad(load, 20*time.Millisecond)
		r := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots}))
		base := o.Run(start, coretest.NewFIFOAdmitter(o.Slots))
		t.Logf("load %.1f reducer  %s", load, formatResult(r))
		t.Logf("load %.1f baseline %s", load, formatResult(base))
		results = append(results, r)
		is.True(load <= 1 || base.Goodput < 0.9*peak) // the check can fail: the baseline does
		peak = max(peak, r.Goodput)
	}
	unloaded := results[0].Classes[admission.Status].P99
	for i, load := range overloads {
		if load < 1 {
			continue
		}
		is.True(results[i].Goodput >= 0.9*peak)                         // goodput does not collapse
		is.True(results[i].Classes[admission.Status].P99 <= 2*unloaded) // status checks stay fast
		is.True(results[i].Classes[admission.Batch].InTime > 0)         // no class is starved permanently
		is.True(results[i].Classes[admission.Interactive].InTime > 0)
	}
}

// TestMostUrgentClassIsServedLateInItsOwnOverload applies requests of the most urgent class
// alone, above the capacity. What runs must be answered within the users' target latency.
func TestMostUrgentClassIsServedLateInItsOwnOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const run, target = 230 * time.Millisecond, 800 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	for _, load := range []float64{1.3, 2, 3} {
		o := coretest.Overload{
			Seed: 1, Slots: 8, Load: load, Shares: [3]float64{1}, MeanRunTime: [3]time.Duration{run}, Deadline: 5 * time.Second,
			Duration: time.Minute, RunTimeFactor: func(r *rand.Rand) float64 { return 0.5 + r.Float64() },
		}
		r := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots}))
		t.Logf("load %.1f: %s", load, formatResult(r))
		is.True(r.Classes[admission.Status].P99 <= target)
		is.True(r.Goodput >= 0.95)
	}
}

// TestReservedSlotForShortStatusChecks applies status checks that are a
// tenth as long as the other requests. Waiting for any slot would take them
// several times their own run time, so one slot is reserved for them.
func TestReservedSlotForShortStatusChecks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	var unloaded, peak float64
	for _, load := range overloads {
		o := mixedLoad(load, 2*time.Millisecond)
		o.RunTimeFactor = func(r *rand.Rand) float64 { return 0.5 + r.Float64() }
		r := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots, StatusSlots: 1}))
		shared := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots}))
		t.Logf("load %.1f own slot %s", load, formatResult(r))
		t.Logf("load %.1f shared   %s", load, formatResult(shared))
		p99 := r.Classes[admission.Status].P99.Seconds()
		if load == overloads[0] {
			unloaded = p99
		}
		if peak = max(peak, r.Goodput); load >= 1 {
			is.True(p99 <= 2*unloaded)
			is.True(r.Goodput >= 0.9*peak)
		}
	}
}
