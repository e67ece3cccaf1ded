package coretest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Picker selects backend servers at one entry node.
type Picker interface {
	Pick(now time.Time, tried []int) int
	Done(now time.Time, backend int, res balance.Result)
	// Remove removes a backend server, as when the node learns that it has stopped.
	Remove(backend int)
}

// NewPicker creates a Picker for the backend servers in rows.
type NewPicker func(rng *rand.Rand, rows []*endpoint.Row) Picker

type balancePicker struct {
	b         *balance.Balancer
	rows      []*endpoint.Row
	group     *balance.Group
	endpoints map[int][]*balance.Endpoint
}

// BalancePicker returns a Picker that selects as a node does, by a balance.Balancer.
func BalancePicker(rng *rand.Rand, rows []*endpoint.Row) Picker {
	b := balance.New(balance.DefaultConfig("a"), rng)
	return &balancePicker{b: b, rows: slices.Clone(rows), group: b.Group(nil, rows), endpoints: map[int][]*balance.Endpoint{}}
}

func backendID(i int) string { return fmt.Sprintf("n%03d", i) }

func (p *balancePicker) Pick(now time.Time, tried []int) int {
	var names []string
	for _, t := range tried {
		names = append(names, backendID(t))
	}
	e, ok := p.b.Pick(now, p.group, names)
	if !ok {
		return -1
	}
	p.b.Sent(now, e)
	var i int
	_, _ = fmt.Sscanf(e.Row.ID, "n%d", &i)
	p.endpoints[i] = append(p.endpoints[i], e)
	return i
}

func (p *balancePicker) Done(now time.Time, backend int, res balance.Result) {
	open := p.endpoints[backend]
	p.b.Done(now, open[0], res)
	p.endpoints[backend] = open[1:]
}

func (p *balancePicker) Remove(backend int) {
	p.rows = slices.DeleteFunc(p.rows, func(r *endpoint.Row) bool { return r.ID == backendID(backend) })
	p.group = p.b.Group(p.group, p.rows)
}

// listPicker implements the baselines RandomPicker and RoundRobinPicker.
type listPicker struct {
	rng  *rand.Rand // nil: round-robin
	all  []int
	next int
}

// RandomPicker returns a baseline that selects uniformly at random.
func RandomPicker(rng *rand.Rand, rows []*endpoint.Row) Picker {
	p := &listPicker{rng: rng}
	for i := range rows {
		p.all = append(p.all, i)
	}
	return p
}

// RoundRobinPicker returns a baseline that selects in turn, from a random start.
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

func (p *listPicker) Remove(backend int) {
	p.all = slices.DeleteFunc(p.all, func(i int) bool { return i == backend })
}
