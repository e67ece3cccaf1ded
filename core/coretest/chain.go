package coretest

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/retry"
)

// ChainDepth is the number of services in a Chain.
const ChainDepth = 8

// Chain is a load of calls through a chain of services: each call to one service causes a
// call to the next.
type Chain struct {
	Calls             int                     // number of calls to the first service
	LossRate          func(level int) float64 // probability that an answer at a level is lost
	InjectFault       func(s *core.State)     // disables a safeguard on each node; nil: none
	PropagateFailures bool                    // a failed nested call makes the calling hop lose its own answer
}

// Run returns the number of runs at each level per call to the first service, and the
// share of calls that succeeded.
func (c Chain) Run(submit func(m *Mesh, specs map[config.Key]string)) (runs [ChainDepth]float64, successShare float64) {
	m := New(1)
	specs := map[config.Key]string{}
	for level := range ChainDepth {
		name := fmt.Sprintf("s%d", level)
		for _, copyName := range []string{"a", "b"} {
			m.Start(name+copyName, core.Config{DataCentre: "a", Service: name, Slots: 1000})
		}
		specs[config.Key{Kind: config.KindService, Name: name}] = `{}`
		specs[config.Key{Kind: config.KindRoute, Name: name}] = fmt.Sprintf(`{"pathPrefix":"/%s","service":%q}`, name, name)
	}
	m.Run(5 * time.Second)
	submit(m, specs)
	m.Run(10 * time.Second)
	for _, n := range m.Nodes() {
		if c.InjectFault != nil {
			c.InjectFault(n.State)
		}
	}
	tr := NewTraffic(m)
	level := map[core.CallID]int{}
	callbacks := map[core.CallID]func(ok bool){}
	call := func(entry string, l int, budget time.Duration, onEnd func(ok bool)) {
		id := core.CallID(len(tr.Calls) + 1) // the ID that tr.Call will assign
		level[id], callbacks[id] = l, onEnd
		tr.Call(entry, core.CallArrived{Method: "GET", Path: fmt.Sprintf("/s%d", l), Replayable: true, FromMesh: l > 0, Budget: budget})
	}
	failedBelow := map[core.CallID]bool{}
	tr.OnAnswered = func(c *Call) {
		callbacks[c.ID](c.Outcome == retry.Ran && !failedBelow[c.ID])
	}
	tr.Nested = func(node string, parent *Call, done func(bool)) bool {
		l := level[parent.ID]
		runs[l]++
		finish := func(ok bool) {
			failedBelow[parent.ID] = !ok
			done(m.Rand.Float64() >= c.LossRate(l) && (ok || !c.PropagateFailures))
		}
		if l == ChainDepth-1 {
			m.After(time.Millisecond, func() { finish(true) })
			return true
		}
		call(node, l+1, time.Second, finish)
		return true
	}
	succeeded := 0
	for range c.Calls {
		call("s0a", 0, time.Second, func(ok bool) {
			if ok {
				succeeded++
			}
		})
		m.Run(2 * time.Millisecond)
	}
	m.Run(5 * time.Second)
	for l := range runs {
		runs[l] /= float64(c.Calls)
	}
	return runs, float64(succeeded) / float64(c.Calls)
}
