package coretest

import (
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Fleet is an open-loop load on the backend servers of one service through several entry
// nodes.
type Fleet struct {
	Seed        uint64
	Backends    int
	Entries     int
	Slots       int     // of each backend server
	Load        float64 // arrival rate over the total capacity
	MeanRunTime time.Duration
	Deadline    time.Duration // time after which a call fails
	Duration    time.Duration // time during which calls arrive
	Attempts    int           // maximum number of attempts per call
	// SlowdownOf returns the factor by which a backend server is slower; nil: 1 for all.
	SlowdownOf func(backend int) float64
	// ReportedQueue returns the queue length that answers report; nil: the actual one.
	ReportedQueue func(backend, queue int) int
	// FailsFast reports whether a backend server answers every request with an immediate error.
	FailsFast func(backend int) bool
	// Dies reports whether a backend server stops at DieAt. The nodes learn of it after
	// DetectAfter.
	Dies        func(backend int) bool
	DieAt       time.Duration
	DetectAfter time.Duration
}

// FleetResult holds the results of a Fleet.
type FleetResult struct {
	Calls, InTime, Failed int
	Runs                  int
	P50, P99              time.Duration
	AttemptsSent          []int         // by backend server
	LastAttemptToDead     time.Duration // time from DieAt to the last attempt sent to a stopped backend server
}

type fleetCall struct {
	entry    int
	at       time.Time
	tried    []int
	attempts int
	ended    bool
}

type fleetSim struct {
	f           Fleet
	now         time.Time
	start       time.Time
	rng         *rand.Rand
	timers      timers
	admitters   []Admitter
	pickers     []Picker
	dead        []bool
	calls       []*fleetCall
	onRun       map[core.AttemptID]func()
	onRefused   map[core.AttemptID]func()
	lastAttempt uint64
	latencies   []time.Duration
	result      FleetResult
}

// hopDelay is the one-way delay of a message between nodes.
const hopDelay = 200 * time.Microsecond

// Run simulates the load with the pickers that pick creates.
func (f Fleet) Run(start time.Time, pick NewPicker) FleetResult {
	r := &fleetSim{
		f: f, now: start, start: start, rng: rand.New(rand.NewPCG(f.Seed, 9)),
		dead: make([]bool, f.Backends), onRun: map[core.AttemptID]func(){}, onRefused: map[core.AttemptID]func(){},
	}
	r.result.AttemptsSent = make([]int, f.Backends)
	var rows []*endpoint.Row
	for i := range f.Backends {
		rows = append(rows, &endpoint.Row{Entry: endpoint.Entry{ID: backendID(i), DataCentre: "a", Slots: f.Slots, State: endpoint.Ready}})
		r.admitters = append(r.admitters, NewReducerAdmitter(start, core.Config{Slots: f.Slots}))
	}
	for i := range f.Entries {
		r.pickers = append(r.pickers, pick(rand.New(rand.NewPCG(f.Seed, uint64(i))), rows))
	}
	r.schedule()
	for r.timers.due(start.Add(f.Duration + f.Deadline)) {
		it := r.timers.pop()
		r.now = it.at
		it.do()
	}
	r.result.Calls = len(r.calls)
	r.result.P50, r.result.P99 = percentiles(r.latencies)
	return r.result
}

func (r *fleetSim) after(d time.Duration, do func()) { r.timers.add(r.now.Add(d), do) }

func (r *fleetSim) schedule() {
	gap := r.f.MeanRunTime.Seconds() / (r.f.Load * float64(r.f.Slots*r.f.Backends))
	end := r.start.Add(r.f.Duration)
	for at := r.start; at.Before(end); at = at.Add(time.Duration(r.rng.ExpFloat64() * gap * float64(time.Second))) {
		c := &fleetCall{entry: r.rng.IntN(r.f.Entries), at: at}
		r.calls = append(r.calls, c)
		r.timers.add(at, func() { r.sendAttempt(c) })
		r.timers.add(at.Add(r.f.Deadline), func() { r.endCall(c, false) })
	}
	for at := r.start; at.Before(end); at = at.Add(50 * time.Millisecond) {
		r.timers.add(at, func() {
			for i := range r.admitters {
				r.apply(r.admitters[i].Tick(r.now))
			}
		})
	}
	for i := range r.f.Backends {
		if r.f.Dies != nil && r.f.Dies(i) {
			r.timers.add(r.start.Add(r.f.DieAt), func() { r.dead[i] = true })
			r.timers.add(r.start.Add(r.f.DieAt+r.f.DetectAfter), func() {
				for _, p := range r.pickers {
					p.Remove(i)
				}
			})
		}
	}
}

func (r *fleetSim) endCall(c *fleetCall, inTime bool) {
	if c.ended {
		return
	}
	c.ended = true
	if !inTime {
		r.result.Failed++
		return
	}
	r.result.InTime++
	r.latencies = append(r.latencies, r.now.Sub(c.at))
}

func (r *fleetSim) sendAttempt(c *fleetCall) {
	if c.ended {
		return
	}
	b := r.pickers[c.entry].Pick(r.now, c.tried)
	if b < 0 || c.attempts == r.f.Attempts {
		r.endCall(c, false)
		return
	}
	c.attempts++
	c.tried = append(c.tried, b)
	r.result.AttemptsSent[b]++
	r.lastAttempt++
	id := core.AttemptID{Origin: 1, Number: r.lastAttempt}
	if r.dead[b] {
		r.result.LastAttemptToDead = r.now.Sub(r.start) - r.f.DieAt
		r.after(2*hopDelay, func() { r.attemptFailed(c, b, -1, true) }) // connection refused
		return
	}
	if r.f.FailsFast != nil && r.f.FailsFast(b) {
		r.after(2*hopDelay, func() {
			r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: true, Queue: 0})
			r.endCall(c, false)
		})
		return
	}
	sent := r.now
	r.onRun[id] = func() { r.serve(c, b, id, sent) }
	r.onRefused[id] = func() { r.after(hopDelay, func() { r.attemptFailed(c, b, r.reportedQueue(b), false) }) }
	r.after(hopDelay, func() {
		r.apply(r.admitters[b].Arrive(r.now, id, admission.Interactive, c.at.Add(r.f.Deadline).Sub(r.now)))
	})
}

func (r *fleetSim) attemptFailed(c *fleetCall, b, queue int, failed bool) {
	r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: failed, Unreachable: failed, Queue: queue})
	r.sendAttempt(c)
}

func (r *fleetSim) reportedQueue(b int) int {
	queue := 0
	if d, ok := r.admitters[b].(reducerAdmitter); ok {
		queue = d.state.Waiting()
	}
	if r.f.ReportedQueue != nil {
		queue = r.f.ReportedQueue(b, queue)
	}
	return queue
}

func (r *fleetSim) serve(c *fleetCall, b int, id core.AttemptID, sent time.Time) {
	r.result.Runs++
	took := time.Duration(r.rng.ExpFloat64() * float64(r.f.MeanRunTime))
	if r.f.SlowdownOf != nil {
		took = time.Duration(float64(took) * r.f.SlowdownOf(b))
	}
	r.after(took, func() {
		queue := r.reportedQueue(b)
		r.apply(r.admitters[b].Done(r.now, id, took))
		r.after(hopDelay, func() {
			if r.dead[b] {
				r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: true, Queue: -1})
				r.sendAttempt(c)
				return
			}
			r.pickers[c.entry].Done(r.now, b, balance.Result{Queue: queue, Took: r.now.Sub(sent)})
			r.endCall(c, true)
		})
	})
}

func (r *fleetSim) apply(run, refused []core.AttemptID) {
	for _, id := range refused {
		r.onRefused[id]()
	}
	for _, id := range run {
		r.onRun[id]()
	}
}
