package core_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// TestNoRetryAmplification guards against retries that multiply along a
// chain of eight services. It drops answers at the deepest service, then at
// all of them, and compares the number of runs with that of a mesh without
// retry budgets, which makes up to three attempts of every failed call.
func TestNoRetryAmplification(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	submit := func(m *coretest.Mesh, specs map[config.Key]string) { submitSpecs(t, m, "chain", specs) }
	tests := []struct {
		name string
		lose func(level int) float64
	}{
		{"half of the answers of the deepest service lost", func(l int) float64 { return math.Floor(float64(l+1)/coretest.ChainDepth) / 2 }},
		{"a fifth of all answers lost", func(int) float64 { return 0.2 }},
	}
	for _, tt := range tests {
		runs, ended := coretest.Chain{Calls: 5000, LossRate: tt.lose}.Run(submit)
		unlimited := func(s *core.State) { s.InjectRequestFault(core.UnlimitedRetries) }
		base, baseEnded := coretest.Chain{Calls: 100, LossRate: tt.lose, InjectFault: unlimited, PropagateFailures: true}.Run(submit)
		t.Logf("%s: runs per call by level %.3f, calls succeeded %.3f", tt.name, runs, ended)
		t.Logf("%s: baseline without retry budgets: runs per call by level %.3f, calls succeeded %.3f", tt.name, base, baseEnded)
		is.True(runs[coretest.ChainDepth-1] <= 1.1)
		is.True(base[coretest.ChainDepth-1] > 1.1) // the check can fail: the baseline does
	}
}
