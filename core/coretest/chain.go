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
	m := c.startMesh(submit)
	r := &chainRun{
		chain: c, mesh: m, traffic: NewTraffic(m),
		level: map[core.CallID]int{}, callbacks: map[core.CallID]func(ok bool){}, failedBelow: map[core.CallID]bool{},
	}
	r.traffic.OnAnswered = func(c *Call) {
		r.callbacks[c.ID](c.Outcome == retry.Ran && !r.failedBelow[c.ID])
	}
	r.traffic.Nested = r.runService
	succeeded := 0
	for range c.Calls {
		r.call("s0a", 0, func(ok bool) {
			if ok {
				succeeded++
			}
		})
		m.Run(2 * time.Millisecond)
	}
	m.Run(5 * time.Second)
	for l := range r.runs {
		r.runs[l] /= float64(c.Calls)
	}
	return r.runs, float64(succeeded) / float64(c.Calls)
}

// startMesh starts two nodes for each service, with a route to each service in force.
func (c Chain) startMesh(submit func(m *Mesh, specs map[config.Key]string)) *Mesh {
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
	return m
}

// chainRun is one run of a Chain.
type chainRun struct {
	chain       Chain
	mesh        *Mesh
	traffic     *Traffic
	runs        [ChainDepth]float64 // by level
	level       map[core.CallID]int
	callbacks   map[core.CallID]func(ok bool)
	failedBelow map[core.CallID]bool
}

// call calls the service at a level. onEnd is told whether the call succeeded.
func (r *chainRun) call(entry string, level int, onEnd func(ok bool)) {
	id := core.CallID(len(r.traffic.Calls) + 1) // the ID that Traffic.Call will assign
	r.level[id], r.callbacks[id] = level, onEnd
	r.traffic.Call(entry, core.CallArrived{
		Method: "GET", Path: fmt.Sprintf("/s%d", level), Replayable: true, FromMesh: level > 0, Budget: time.Second,
	})
}

// runService runs a call at a backend server, which calls the next service.
func (r *chainRun) runService(node string, parent *Call, done func(answers bool)) bool {
	level := r.level[parent.ID]
	r.runs[level]++
	finish := func(ok bool) {
		r.failedBelow[parent.ID] = !ok
		done(r.mesh.Rand.Float64() >= r.chain.LossRate(level) && (ok || !r.chain.PropagateFailures))
	}
	if level == ChainDepth-1 {
		r.mesh.After(time.Millisecond, func() { finish(true) })
		return true
	}
	r.call(node, level+1, finish)
	return true
}
