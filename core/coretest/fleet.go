package coretest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Picker chooses backend servers at one entry node.
type Picker interface {
	Pick(now time.Time, tried []int) int
	Done(now time.Time, backend int, res balance.Result)
	// Drop takes a backend server out, as news of its end do.
	Drop(backend int)
}

// NewPicker returns a Picker over n backend servers of the given slots.
type NewPicker func(rng *rand.Rand, rows []*endpoint.Row) Picker

type balancePicker struct {
	b     *balance.Balancer
	rows  []*endpoint.Row
	group *balance.Group
	peers map[int][]*balance.Peer
}

// BalancePicker chooses as a node does.
func BalancePicker(rng *rand.Rand, rows []*endpoint.Row) Picker {
	b := balance.New(balance.DefaultConfig("a"), rng)
	return &balancePicker{b: b, rows: slices.Clone(rows), group: b.Group(nil, rows), peers: map[int][]*balance.Peer{}}
}

func backendID(i int) string { return fmt.Sprintf("n%03d", i) }

func (p *balancePicker) Pick(now time.Time, tried []int) int {
	var names []string
	for _, t := range tried {
		names = append(names, backendID(t))
	}
	peer, ok := p.b.Pick(now, p.group, names)
	if !ok {
		return -1
	}
	p.b.Sent(now, peer)
	var i int
	_, _ = fmt.Sscanf(peer.Row.ID, "n%d", &i)
	p.peers[i] = append(p.peers[i], peer)
	return i
}

func (p *balancePicker) Done(now time.Time, backend int, res balance.Result) {
	open := p.peers[backend]
	p.b.Done(now, open[0], res)
	p.peers[backend] = open[1:]
}

func (p *balancePicker) Drop(backend int) {
	p.rows = slices.DeleteFunc(p.rows, func(r *endpoint.Row) bool { return r.ID == backendID(backend) })
	p.group = p.b.Group(p.group, p.rows)
}

// listPicker is what the baselines have in common.
type listPicker struct {
	rng  *rand.Rand // nil: in turn
	all  []int
	next int
}

// RandomPicker is a baseline.
func RandomPicker(rng *rand.Rand, rows []*endpoint.Row) Picker {
	p := &listPicker{rng: rng}
	for i := range rows {
		p.all = append(p.all, i)
	}
	return p
}

// RoundRobinPicker is a baseline.
func RoundRobinPicker(rng *rand.Rand, rows []*endpoint.Row) Picker {
	p := RandomPicker(nil, rows).(*listPicker)
	p.next = rng.IntN(len(rows))
	return p
}

func (p *listPicker) Pick(_ time.Time, tried []int) int {
	for range 2 * len(p.all) {
		p.next++
		i := p.all[p.next%len(p.all)]
		if p.rng != nil {
			i = p.all[p.rng.IntN(len(p.all))]
		}
		if !slices.Contains(tried, i) {
			return i
		}
	}
	return -1
}

func (p *listPicker) Done(time.Time, int, balance.Result) {}

func (p *listPicker) Drop(backend int) {
	p.all = slices.DeleteFunc(p.all, func(i int) bool { return i == backend })
}

// Fleet is an open-loop load on the backend servers of one service through
// several entry nodes.
type Fleet struct {
	Seed     uint64
	Backends int
	Entries  int
	Slots    int
	Load     float64 // arrivals over the capacity of all
	Takes    time.Duration
	Deadline time.Duration
	For      time.Duration
	Attempts int
	// Slower returns the factor by which a backend server is slower; nil: 1.
	Slower func(backend int) float64
	// Told returns the queue that an answer tells; nil: the true one.
	Told func(backend, queue int) int
	// FailsFast says that a backend server answers with an error at once.
	FailsFast func(backend int) bool
	// Dies says that a backend server stops answering at DieAt; nodes learn
	// of it after LearnAfter.
	Dies       func(backend int) bool
	DieAt      time.Duration
	LearnAfter time.Duration
}

// FleetResult is what came of a Fleet.
type FleetResult struct {
	Calls, InTime, Failed int
	Runs                  int
	P50, P99              time.Duration
	Got                   []int // attempts that each backend server was sent
	LastToDead            time.Duration
}

type fleetCall struct {
	entry    int
	at       time.Time
	tried    []int
	attempts int
	ended    bool
}

type fleetRun struct {
	f       Fleet
	now     time.Time
	start   time.Time
	rng     *rand.Rand
	queue   queue
	order   uint64
	doors   []Door
	pickers []Picker
	dead    []bool
	calls   []*fleetCall
	open    map[core.AttemptID]func()
	refuse  map[core.AttemptID]func()
	last    uint64
	took    []time.Duration
	result  FleetResult
}

// hopDelay is the time of a message between nodes.
const hopDelay = 200 * time.Microsecond

// Run plays the load with the pickers that pick makes.
func (f Fleet) Run(start time.Time, pick NewPicker) FleetResult {
	r := &fleetRun{
		f: f, now: start, start: start, rng: rand.New(rand.NewPCG(f.Seed, 9)),
		dead: make([]bool, f.Backends), open: map[core.AttemptID]func(){}, refuse: map[core.AttemptID]func(){},
	}
	r.result.Got = make([]int, f.Backends)
	var rows []*endpoint.Row
	for i := range f.Backends {
		rows = append(rows, &endpoint.Row{Entry: endpoint.Entry{ID: backendID(i), DataCentre: "a", Slots: f.Slots, State: endpoint.Ready}})
		r.doors = append(r.doors, NewReducerDoor(start, core.Config{Slots: f.Slots}))
	}
	for i := range f.Entries {
		r.pickers = append(r.pickers, pick(rand.New(rand.NewPCG(f.Seed, uint64(i))), rows))
	}
	r.schedule()
	for r.queue.Len() > 0 && !r.queue[0].at.After(start.Add(f.For+f.Deadline)) {
		it := heap.Pop(&r.queue).(item)
		r.now = it.at
		it.do()
	}
	r.result.Calls = len(r.calls)
	slices.Sort(r.took)
	if n := len(r.took); n > 0 {
		r.result.P50, r.result.P99 = r.took[n/2], r.took[n*99/100]
	}
	return r.result
}

func (r *fleetRun) at(at time.Time, do func()) {
	r.order++
	heap.Push(&r.queue, item{at: at, order: r.order, do: do})
}

func (r *fleetRun) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *fleetRun) schedule() {
	gap := r.f.Takes.Seconds() / (r.f.Load * float64(r.f.Slots*r.f.Backends))
	end := r.start.Add(r.f.For)
	for at := r.start; at.Before(end); at = at.Add(time.Duration(r.rng.ExpFloat64() * gap * float64(time.Second))) {
		c := &fleetCall{entry: r.rng.IntN(r.f.Entries), at: at}
		r.calls = append(r.calls, c)
		r.at(at, func() { r.try(c) })
		r.at(at.Add(r.f.Deadline), func() { r.end(c, false) })
	}
	for at := r.start; at.Before(end); at = at.Add(50 * time.Millisecond) {
		r.at(at, func() {
			for i := range r.doors {
				r.follow(r.doors[i].Tick(r.now))
			}
		})
	}
	for i := range r.f.Backends {
		if r.f.Dies != nil && r.f.Dies(i) {
			r.at(r.start.Add(r.f.DieAt), func() { r.dead[i] = true })
			r.at(r.start.Add(r.f.DieAt+r.f.LearnAfter), func() {
				for _, p := range r.pickers {
					p.Drop(i)
				}
			})
		}
	}
}

func (r *fleetRun) end(c *fleetCall, inTime bool) {
	if c.ended {
		return
	}
	c.ended = true
	if !inTime {
		r.result.Failed++
		return
	}
	r.result.InTime++
	r.took = append(r.took, r.now.Sub(c.at))
}

func (r *fleetRun) try(c *fleetCall) {
	if c.ended {
		return
	}
	b := r.pickers[c.entry].Pick(r.now, c.tried)
	if b < 0 || c.attempts == r.f.Attempts {
		r.end(c, false)
		return
	}
	c.attempts++
	c.tried = append(c.tried, b)
	r.result.Got[b]++
	r.last++
	id := core.AttemptID{Origin: 1, Number: r.last}
	if r.dead[b] {
		r.result.LastToDead = r.now.Sub(r.start) - r.f.DieAt
		r.after(2*hopDelay, func() { r.failed(c, b, -1, true) }) // connection refused
		return
	}
	if r.f.FailsFast != nil && r.f.FailsFast(b) {
		r.after(2*hopDelay, func() {
			r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: true, Queue: 0})
			r.end(c, false)
		})
		return
	}
	sent := r.now
	r.open[id] = func() { r.serve(c, b, id, sent) }
	r.refuse[id] = func() { r.after(hopDelay, func() { r.failed(c, b, r.told(b), false) }) }
	r.after(hopDelay, func() {
		r.follow(r.doors[b].Arrive(r.now, id, admission.Interactive, c.at.Add(r.f.Deadline).Sub(r.now)))
	})
}

func (r *fleetRun) failed(c *fleetCall, b, queue int, failed bool) {
	r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: failed, Refused: failed, Queue: queue})
	r.try(c)
}

func (r *fleetRun) told(b int) int {
	queue := 0
	if d, ok := r.doors[b].(reducerDoor); ok {
		queue = d.state.Waiting()
	}
	if r.f.Told != nil {
		queue = r.f.Told(b, queue)
	}
	return queue
}

func (r *fleetRun) serve(c *fleetCall, b int, id core.AttemptID, sent time.Time) {
	r.result.Runs++
	took := time.Duration(r.rng.ExpFloat64() * float64(r.f.Takes))
	if r.f.Slower != nil {
		took = time.Duration(float64(took) * r.f.Slower(b))
	}
	r.after(took, func() {
		queue := r.told(b)
		r.follow(r.doors[b].Done(r.now, id, took))
		r.after(hopDelay, func() {
			if r.dead[b] {
				r.pickers[c.entry].Done(r.now, b, balance.Result{Failed: true, Queue: -1})
				r.try(c)
				return
			}
			r.pickers[c.entry].Done(r.now, b, balance.Result{Queue: queue, Took: r.now.Sub(sent)})
			r.end(c, true)
		})
	})
}

func (r *fleetRun) follow(run, refused []core.AttemptID) {
	for _, id := range refused {
		r.refuse[id]()
	}
	for _, id := range run {
		r.open[id]()
	}
}
