package coretest

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Admitter implements admission control at one backend server. It is either a node's reducer
// or a baseline for comparison.
type Admitter interface {
	Arrive(now time.Time, id core.AttemptID, class admission.Class, budget time.Duration) (run, refused []core.AttemptID)
	Done(now time.Time, id core.AttemptID, took time.Duration) (run, refused []core.AttemptID)
	Cancel(now time.Time, id core.AttemptID) (run, refused []core.AttemptID)
	Tick(now time.Time) (run, refused []core.AttemptID)
	Drain(now time.Time) // stop accepting new attempts
}

// reducerAdmitter is the reducer of a node whose backend server is ready.
type reducerAdmitter struct{ state *core.State }

// NewReducerAdmitter returns the Admitter of a node with the given settings.
func NewReducerAdmitter(now time.Time, cfg core.Config) Admitter {
	cfg.Node, cfg.Service, cfg.DataCentre = "a1", "orders", "a"
	s := core.New(cfg)
	s.Reduce(now, core.Tick{})
	s.Reduce(now, core.BackendProbed{OK: true})
	return reducerAdmitter{state: s}
}

func (d reducerAdmitter) step(now time.Time, e core.Event) (run, refused []core.AttemptID) {
	for _, effect := range d.state.Reduce(now, e) {
		switch e := effect.(type) {
		case core.Run:
			run = append(run, e.Attempt)
		case core.Refuse:
			refused = append(refused, e.Attempt)
		}
	}
	return run, refused
}

func (d reducerAdmitter) Arrive(now time.Time, id core.AttemptID, c admission.Class, budget time.Duration) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptArrived{Attempt: id, Class: c, Budget: budget, ForIncarnation: endpoint.Incarnation{}})
}

func (d reducerAdmitter) Done(now time.Time, id core.AttemptID, took time.Duration) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptDone{Attempt: id, Took: took})
}

func (d reducerAdmitter) Cancel(now time.Time, id core.AttemptID) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptCancelled{Attempt: id})
}

func (d reducerAdmitter) Tick(now time.Time) (run, refused []core.AttemptID) {
	return d.step(now, core.Tick{})
}

func (d reducerAdmitter) Drain(now time.Time) { d.step(now, core.BackendDraining{}) }

// fifo is the baseline: an unbounded queue in order of arrival, without classes or deadlines.
type fifo struct {
	slots   int
	running int
	queue   []core.AttemptID
}

// NewFIFOAdmitter returns the baseline for a number of slots.
func NewFIFOAdmitter(slots int) Admitter { return &fifo{slots: slots} }

func (d *fifo) Arrive(_ time.Time, id core.AttemptID, _ admission.Class, _ time.Duration) (run, refused []core.AttemptID) {
	d.queue = append(d.queue, id)
	return d.fill(), nil
}

func (d *fifo) Done(time.Time, core.AttemptID, time.Duration) (run, refused []core.AttemptID) {
	d.running--
	return d.fill(), nil
}

func (d *fifo) fill() (run []core.AttemptID) {
	for d.running < d.slots && len(d.queue) > 0 {
		run = append(run, d.queue[0])
		d.queue = d.queue[1:]
		d.running++
	}
	return run
}

func (d *fifo) Cancel(time.Time, core.AttemptID) (run, refused []core.AttemptID) { return nil, nil }

func (d *fifo) Tick(time.Time) (run, refused []core.AttemptID) { return nil, nil }

func (d *fifo) Drain(time.Time) {}

// Overload is an open-loop load on one backend server.
type Overload struct {
	Seed          uint64
	Slots         int
	Load          float64                  // arrival rate over capacity
	Shares        [3]float64               // shares of the arrivals by class
	MeanRunTime   [3]time.Duration         // by class
	Deadline      time.Duration            // time after which a caller leaves
	Duration      time.Duration            // time during which calls arrive
	RunTimeFactor func(*rand.Rand) float64 // returns a run's time over the mean
}

// ClassResult holds the results of one class in an Overload.
type ClassResult struct {
	Arrived, InTime, Late, Refused int
	P50, P99                       time.Duration   // latency of calls answered in time
	latencies                      []time.Duration // of calls answered in time
}

// Result holds the results of an Overload.
type Result struct {
	Classes [3]ClassResult
	Goodput float64 // slot time spent on answers in time, over the total slot time
}

type overloadCall struct {
	class   admission.Class
	at      time.Time
	started time.Time
	ended   bool
}

// Run simulates the load with an Admitter. The same seed gives the same arrivals, and the run
// times of a call don't depend on the Admitter.
func (o Overload) Run(start time.Time, admitter Admitter) Result {
	r := overloadSim{o: o, admitter: admitter, now: start, rng: rand.New(rand.NewPCG(o.Seed, 7))}
	end := start.Add(o.Duration)
	mean := 0.0
	for c, share := range o.Shares {
		mean += share * o.MeanRunTime[c].Seconds()
	}
	gap := mean / (o.Load * float64(o.Slots))
	for at := start; at.Before(end); at = at.Add(time.Duration(r.rng.ExpFloat64() * gap * float64(time.Second))) {
		r.scheduleArrival(at)
	}
	for at := start; at.Before(end.Add(o.Deadline)); at = at.Add(50 * time.Millisecond) {
		r.timers.add(at, func() { r.apply(admitter.Tick(r.now)) })
	}
	for r.timers.due(end.Add(o.Deadline)) {
		it := r.timers.pop()
		r.now = it.at
		it.do()
	}
	r.result.Goodput = r.usefulTime.Seconds() / (o.Duration.Seconds() * float64(o.Slots))
	for c := range r.result.Classes {
		class := &r.result.Classes[c]
		class.P50, class.P99 = percentiles(class.latencies)
	}
	return r.result
}

type overloadSim struct {
	o          Overload
	admitter   Admitter
	now        time.Time
	rng        *rand.Rand
	timers     timers
	calls      []overloadCall
	usefulTime time.Duration
	result     Result
}

func (r *overloadSim) classFor(x float64) admission.Class {
	for c, share := range r.o.Shares {
		if x -= share; x < 0 {
			return admission.Class(c)
		}
	}
	return admission.Batch
}

func (r *overloadSim) scheduleArrival(at time.Time) {
	class := r.classFor(r.rng.Float64())
	took := time.Duration(float64(r.o.MeanRunTime[class]) * r.o.RunTimeFactor(r.rng))
	n := len(r.calls)
	id := core.AttemptID{Origin: uint64(took), Number: uint64(n)} // Origin carries the run time
	r.calls = append(r.calls, overloadCall{class: class, at: at})
	r.timers.add(at, func() {
		r.result.Classes[class].Arrived++
		r.apply(r.admitter.Arrive(r.now, id, class, r.o.Deadline))
	})
	r.timers.add(at.Add(r.o.Deadline), func() {
		if c := &r.calls[n]; !c.ended {
			c.ended = true
			r.result.Classes[class].Late++
			r.apply(r.admitter.Cancel(r.now, id))
		}
	})
}

// apply carries out the decisions of the Admitter.
func (r *overloadSim) apply(run, refused []core.AttemptID) {
	for _, id := range refused {
		if c := &r.calls[id.Number]; !c.ended {
			c.ended = true
			r.result.Classes[c.class].Refused++
		}
	}
	for _, id := range run {
		r.calls[id.Number].started = r.now
		r.timers.add(r.now.Add(time.Duration(id.Origin)), func() { r.done(id) })
	}
}

func (r *overloadSim) done(id core.AttemptID) {
	c := &r.calls[id.Number]
	if !c.ended {
		c.ended = true
		s := &r.result.Classes[c.class]
		s.InTime++
		s.latencies = append(s.latencies, r.now.Sub(c.at))
		r.usefulTime += r.now.Sub(c.started)
	}
	r.apply(r.admitter.Done(r.now, id, r.now.Sub(c.started)))
}

// percentiles sorts latencies and returns the 50th and the 99th percentile, zero if there
// are none.
func percentiles(latencies []time.Duration) (p50, p99 time.Duration) {
	n := len(latencies)
	if n == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[n/2], latencies[n*99/100]
}
