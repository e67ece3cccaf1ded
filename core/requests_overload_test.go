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

// mixed is a load of a tenth status checks, most of the rest interactive.
func mixed(load float64, status time.Duration) coretest.Overload {
	const mean = 20 * time.Millisecond
	return coretest.Overload{
		Seed: 1, Slots: 6, Load: load, Shares: [3]float64{0.1, 0.7, 0.2}, MeanRunTime: [3]time.Duration{status, mean, mean},
		Deadline: time.Second, Duration: 60 * time.Second, RunTimeFactor: (*rand.Rand).ExpFloat64,
	}
}

func row(r coretest.Result) string {
	out := fmt.Sprintf("goodput %.3f", r.Goodput)
	for c, s := range r.Classes {
		out += fmt.Sprintf(" | class %d: in time %.3f p50 %v p99 %v", c, float64(s.InTime)/float64(max(s.Arrived, 1)),
			s.P50.Round(100*time.Microsecond), s.P99.Round(100*time.Microsecond))
	}
	return out
}

// TestOverload plays 0.1 to 4 times the capacity of a backend server against
// its node's reducer, and against an unbounded queue in order of arrival.
func TestOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	var results []coretest.Result
	peak := 0.0
	for _, load := range overloads {
		o := mixed(load, 20*time.Millisecond)
		r := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots}))
		base := o.Run(start, coretest.NewFIFOAdmitter(o.Slots))
		t.Logf("load %.1f reducer  %s", load, row(r))
		t.Logf("load %.1f baseline %s", load, row(base))
		results = append(results, r)
		is.True(load <= 1 || base.Goodput < 0.9*peak) // the check can fail: the baseline does
		peak = max(peak, r.Goodput)
	}
	unloaded := results[0].Classes[admission.Status].P99
	for i, load := range overloads {
		if load < 1 {
			continue
		}
		is.True(results[i].Goodput >= 0.9*peak)                         // goodput holds
		is.True(results[i].Classes[admission.Status].P99 <= 2*unloaded) // status checks stay quick
		is.True(results[i].Classes[admission.Batch].InTime > 0)         // nobody is starved for good
		is.True(results[i].Classes[admission.Interactive].InTime > 0)
	}
}

// TestShortStatusChecksWithASlotOfTheirOwn plays status checks a tenth as
// long as the other requests: waiting for any slot would be several times
// their own time, so one slot runs nothing else.
func TestShortStatusChecksWithASlotOfTheirOwn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	var unloaded, peak float64
	for _, load := range overloads {
		o := mixed(load, 2*time.Millisecond)
		o.RunTimeFactor = func(r *rand.Rand) float64 { return 0.5 + r.Float64() }
		r := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots, StatusSlots: 1}))
		shared := o.Run(start, coretest.NewReducerAdmitter(start, core.Config{Slots: o.Slots}))
		t.Logf("load %.1f own slot %s", load, row(r))
		t.Logf("load %.1f shared   %s", load, row(shared))
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
