package core_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

const depth = 8

// chain is a load of calls that each cause one at the next of eight services.
type chain struct {
	calls   int
	lose    func(level int) float64 // of the answers at a level
	fault   core.RequestFault
	retries bool // an error from below counts as a failure of the hop itself
}

// run returns the runs at each level for each call that came in, and the
// share of calls that ended well.
func (c chain) run(t *testing.T) (runs [depth]float64, ended float64) {
	m := coretest.New(1)
	specs := map[config.Key]string{}
	for level := range depth {
		name := fmt.Sprintf("s%d", level)
		for _, copyName := range []string{"a", "b"} {
			m.Start(name+copyName, core.Config{DataCentre: "a", Service: name, Slots: 1000})
		}
		specs[config.Key{Kind: config.KindService, Name: name}] = `{}`
		specs[config.Key{Kind: config.KindRoute, Name: name}] = fmt.Sprintf(`{"pathPrefix":"/%s","service":%q}`, name, name)
	}
	m.Run(5 * time.Second)
	submitSpecs(t, m, "chain", specs)
	m.Run(10 * time.Second)
	for _, n := range m.Nodes() {
		n.State.BreakForTest(c.fault)
	}
	tr := coretest.NewTraffic(m)
	level := map[core.CallID]int{}
	then := map[core.CallID]func(ok bool){}
	call := func(entry string, l int, budget time.Duration, f func(ok bool)) {
		id := core.CallID(len(tr.Calls) + 1) // known before the call is made
		level[id], then[id] = l, f
		tr.Call(entry, core.CallArrived{Method: "GET", Path: fmt.Sprintf("/s%d", l), Repeats: true, Upstream: l > 0, Budget: budget})
	}
	failedBelow := map[core.CallID]bool{}
	tr.Answered = func(c *coretest.Call) {
		then[c.ID](c.Outcome == retry.Ran && !failedBelow[c.ID])
	}
	tr.Nested = func(node string, call8 *coretest.Call, done func(bool)) bool {
		l := level[call8.ID]
		runs[l]++
		finish := func(ok bool) {
			failedBelow[call8.ID] = !ok
			done(m.Rand.Float64() >= c.lose(l) && (ok || !c.retries))
		}
		if l == depth-1 {
			m.After(time.Millisecond, func() { finish(true) })
			return true
		}
		call(node, l+1, time.Second, finish)
		return true
	}
	ok := 0
	for range c.calls {
		call("s0a", 0, time.Second, func(good bool) {
			if good {
				ok++
			}
		})
		m.Run(2 * time.Millisecond)
	}
	m.Run(5 * time.Second)
	for l := range runs {
		runs[l] /= float64(c.calls)
	}
	return runs, float64(ok) / float64(c.calls)
}

// TestNoAmplificationEightDeep lets answers be lost at the deepest service,
// and at all eight, and compares the runs with those of a mesh that retries
// every failure up to three times.
func TestNoAmplificationEightDeep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tests := []struct {
		name string
		lose func(level int) float64
	}{
		{"deepest loses half", func(l int) float64 { return math.Floor(float64(l+1)/depth) / 2 }},
		{"all lose a fifth", func(int) float64 { return 0.2 }},
	}
	for _, tt := range tests {
		runs, ended := chain{calls: 5000, lose: tt.lose}.run(t)
		base, baseEnded := chain{calls: 100, lose: tt.lose, fault: core.RetryFreely, retries: true}.run(t)
		t.Logf("%s: runs over calls by level %.3f ended well %.3f", tt.name, runs, ended)
		t.Logf("%s: retry always three times %.3f ended well %.3f", tt.name, base, baseEnded)
		is.True(runs[depth-1] <= 1.1)
		is.True(base[depth-1] > 1.1) // the check can fail: the baseline does
	}
}
