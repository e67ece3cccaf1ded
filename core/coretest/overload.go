package coretest

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Door decides at one backend server what runs: a node's reducer, or a
// baseline to compare it with.
type Door interface {
	Arrive(now time.Time, id core.AttemptID, class admission.Class, budget time.Duration) (run, refused []core.AttemptID)
	Done(now time.Time, id core.AttemptID, took time.Duration) (run, refused []core.AttemptID)
	Cancel(now time.Time, id core.AttemptID) (run, refused []core.AttemptID)
	Tick(now time.Time) (run, refused []core.AttemptID)
	Leave(now time.Time) // takes nothing new from now on
}

// reducerDoor is the reducer of a node whose backend server is ready.
type reducerDoor struct{ state *core.State }

// NewReducerDoor returns the Door of a node with the given settings.
func NewReducerDoor(now time.Time, cfg core.Config) Door {
	cfg.Node, cfg.Service, cfg.DataCentre = "a1", "orders", "a"
	s := core.New(cfg)
	s.Reduce(now, core.Tick{})
	s.Reduce(now, core.BackendProbed{OK: true})
	return reducerDoor{state: s}
}

func (d reducerDoor) step(now time.Time, e core.Event) (run, refused []core.AttemptID) {
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

func (d reducerDoor) Arrive(now time.Time, id core.AttemptID, c admission.Class, budget time.Duration) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptArrived{Attempt: id, Class: c, Budget: budget, ForIncarnation: endpoint.Incarnation{}})
}

func (d reducerDoor) Done(now time.Time, id core.AttemptID, took time.Duration) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptDone{Attempt: id, Took: took})
}

func (d reducerDoor) Cancel(now time.Time, id core.AttemptID) (run, refused []core.AttemptID) {
	return d.step(now, core.AttemptCancelled{Attempt: id})
}

func (d reducerDoor) Tick(now time.Time) (run, refused []core.AttemptID) {
	return d.step(now, core.Tick{})
}

func (d reducerDoor) Leave(now time.Time) { d.step(now, core.BackendDraining{}) }

// fifoDoor is the baseline: an unbounded queue, first come first served, that
// knows neither classes nor deadlines.
type fifoDoor struct {
	slots   int
	running int
	queue   []core.AttemptID
}

// NewFIFODoor returns the baseline for a number of slots.
func NewFIFODoor(slots int) Door { return &fifoDoor{slots: slots} }

func (d *fifoDoor) Arrive(_ time.Time, id core.AttemptID, _ admission.Class, _ time.Duration) (run, refused []core.AttemptID) {
	d.queue = append(d.queue, id)
	return d.fill(), nil
}

func (d *fifoDoor) Done(time.Time, core.AttemptID, time.Duration) (run, refused []core.AttemptID) {
	d.running--
	return d.fill(), nil
}

func (d *fifoDoor) fill() (run []core.AttemptID) {
	for d.running < d.slots && len(d.queue) > 0 {
		run = append(run, d.queue[0])
		d.queue = d.queue[1:]
		d.running++
	}
	return run
}

func (d *fifoDoor) Cancel(time.Time, core.AttemptID) (run, refused []core.AttemptID) { return nil, nil }

func (d *fifoDoor) Tick(time.Time) (run, refused []core.AttemptID) { return nil, nil }

func (d *fifoDoor) Leave(time.Time) {}

// Overload is an open-loop load on one backend server.
type Overload struct {
	Seed     uint64
	Slots    int
	Load     float64                  // arrivals over capacity
	Shares   [3]float64               // of arrivals, by class
	Takes    [3]time.Duration         // mean time of a run, by class
	Deadline time.Duration            // after which a caller leaves
	For      time.Duration            // of arrivals
	Spread   func(*rand.Rand) float64 // of a run's time over its mean
}

// Served is what became of one class of an Overload.
type Served struct {
	Arrived, InTime, Late, Refused int
	P50, P99                       time.Duration // of those in time
	longest                        []time.Duration
}

// Result is what came of an Overload.
type Result struct {
	Classes [3]Served
	Goodput float64 // slots' time spent on answers in time, over all of it
}

type overloadCall struct {
	class   admission.Class
	at      time.Time
	started time.Time
	ended   bool
}

// Run plays the load against a door. Equal seeds give equal arrivals, and the
// run times of a call don't depend on the door.
func (o Overload) Run(start time.Time, door Door) Result {
	r := overloadRun{o: o, door: door, now: start, rng: rand.New(rand.NewPCG(o.Seed, 7))}
	end := start.Add(o.For)
	mean := 0.0
	for c, share := range o.Shares {
		mean += share * o.Takes[c].Seconds()
	}
	gap := mean / (o.Load * float64(o.Slots))
	for at := start; at.Before(end); at = at.Add(time.Duration(r.rng.ExpFloat64() * gap * float64(time.Second))) {
		r.arrival(at)
	}
	for at := start; at.Before(end.Add(o.Deadline)); at = at.Add(50 * time.Millisecond) {
		r.at(at, func() { r.follow(door.Tick(r.now)) })
	}
	for r.queue.Len() > 0 && !r.queue[0].at.After(end.Add(o.Deadline)) {
		it := heap.Pop(&r.queue).(item)
		r.now = it.at
		it.do()
	}
	r.result.Goodput = r.useful.Seconds() / (o.For.Seconds() * float64(o.Slots))
	for c := range r.result.Classes {
		r.result.Classes[c].summarize()
	}
	return r.result
}

type overloadRun struct {
	o      Overload
	door   Door
	now    time.Time
	rng    *rand.Rand
	queue  queue
	order  uint64
	calls  []overloadCall
	useful time.Duration
	result Result
}

func (r *overloadRun) at(at time.Time, do func()) {
	r.order++
	heap.Push(&r.queue, item{at: at, order: r.order, do: do})
}

func (r *overloadRun) classFor(x float64) admission.Class {
	for c, share := range r.o.Shares {
		if x -= share; x < 0 {
			return admission.Class(c)
		}
	}
	return admission.Batch
}

func (r *overloadRun) arrival(at time.Time) {
	class := r.classFor(r.rng.Float64())
	took := time.Duration(float64(r.o.Takes[class]) * r.o.Spread(r.rng))
	n := len(r.calls)
	id := core.AttemptID{Origin: uint64(took), Number: uint64(n)} // a run's time travels with it
	r.calls = append(r.calls, overloadCall{class: class, at: at})
	r.at(at, func() {
		r.result.Classes[class].Arrived++
		r.follow(r.door.Arrive(r.now, id, class, r.o.Deadline))
	})
	r.at(at.Add(r.o.Deadline), func() {
		if c := &r.calls[n]; !c.ended {
			c.ended = true
			r.result.Classes[class].Late++
			r.follow(r.door.Cancel(r.now, id))
		}
	})
}

// follow carries out what a door decided.
func (r *overloadRun) follow(run, refused []core.AttemptID) {
	for _, id := range refused {
		if c := &r.calls[id.Number]; !c.ended {
			c.ended = true
			r.result.Classes[c.class].Refused++
		}
	}
	for _, id := range run {
		r.calls[id.Number].started = r.now
		r.at(r.now.Add(time.Duration(id.Origin)), func() { r.done(id) })
	}
}

func (r *overloadRun) done(id core.AttemptID) {
	c := &r.calls[id.Number]
	if !c.ended {
		c.ended = true
		s := &r.result.Classes[c.class]
		s.InTime++
		s.longest = append(s.longest, r.now.Sub(c.at))
		r.useful += r.now.Sub(c.started)
	}
	r.follow(r.door.Done(r.now, id, r.now.Sub(c.started)))
}

func (s *Served) summarize() {
	if len(s.longest) == 0 {
		return
	}
	slices.Sort(s.longest)
	s.P50, s.P99 = s.longest[len(s.longest)/2], s.longest[len(s.longest)*99/100]
}
