// Package coretest runs a small number of reducers with a simulated clock, platform and
// links, for tests of the nodes' joint behaviour. It is not a cluster simulator: it uses no
// processes, sockets or goroutines, and runs with the same seed are identical.
package coretest

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// Mesh holds the nodes and the simulated environment of one run.
type Mesh struct {
	Now    time.Time
	Rand   *rand.Rand
	Store  *storetest.Store
	Faults Faults
	// OnStep, if set, is called after each event that a node processed.
	OnStep func(n *Node, e core.Event)
	// OnEffect, if set, receives the effects that concern requests, logs and draining.
	OnEffect func(n *Node, e core.Effect)
	// OnSend, if set, is called for every message that a node sends.
	OnSend func(from, to *Node, m message.Message)
	// OnStore, if set, is called for every platform call when it reaches the platform.
	OnStore func(n *Node, e core.Effect)

	storePartitioned    map[string]bool // nodes without a connection to the platform
	nodes               map[string]*Node
	timers              timers
	partitioned         map[[2]string]bool
	linkMessagesDropped map[[2]string]bool
	watches             []*watch
}

// Node is one node of a Mesh, with its reducer.
type Node struct {
	Name        string
	State       *core.State
	Config      core.Config
	Alive       bool
	BackendUp   bool // the backend server accepts connections
	BackendHung bool // the backend server accepts connections but never answers
	Generation  int  // number of starts so far

	mesh        *Mesh
	pausedUntil time.Time
	deferred    []func() // callbacks that came during a pause, in order
	links       map[core.LinkID]*linkEnd
	lastLink    core.LinkID
}

// New returns an empty Mesh. seed determines its random numbers.
func New(seed uint64) *Mesh {
	return &Mesh{
		Now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		Rand:  rand.New(rand.NewPCG(seed, 1)),
		Store: storetest.NewStore(),
		Faults: Faults{
			PlatformDelay: 5 * time.Millisecond, LinkDelay: 2 * time.Millisecond,
		},
		storePartitioned: map[string]bool{}, nodes: map[string]*Node{}, partitioned: map[[2]string]bool{}, linkMessagesDropped: map[[2]string]bool{},
	}
}

// Nodes returns all nodes ordered by name, including those that are down.
func (m *Mesh) Nodes() []*Node {
	var out []*Node
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		out = append(out, m.nodes[name])
	}
	return out
}

// Node returns a node by its name.
func (m *Mesh) Node(name string) *Node { return m.nodes[name] }

// Start starts a node, or restarts it without any of its previous state. It sets the node
// name, addresses, incarnation and seed of cfg.
func (m *Mesh) Start(name string, cfg core.Config) *Node {
	n, ok := m.nodes[name]
	if !ok {
		n = &Node{Name: name, BackendUp: true, mesh: m}
		m.nodes[name] = n
	}
	n.Generation++
	cfg.Node, cfg.Peer, cfg.Hop = name, name, name
	cfg.Incarnation = endpoint.Incarnation{Start: m.Now.UnixMilli(), Random: m.Rand.Uint32()}
	cfg.Seed = m.Rand.Uint64()
	cfg = cfg.WithDefaults()
	n.Config, n.State, n.Alive, n.pausedUntil = cfg, core.New(cfg), true, time.Time{}
	n.links, n.lastLink = map[core.LinkID]*linkEnd{}, 1
	m.tick(n, n.Generation)
	return n
}

// Restart crashes a node and starts it with the same settings.
func (m *Mesh) Restart(name string) *Node {
	m.Crash(name)
	return m.Start(name, m.nodes[name].Config)
}

// Crash stops a node immediately. The other ends of its links are notified unless they are
// partitioned from it.
func (m *Mesh) Crash(name string) {
	n := m.nodes[name]
	if !n.Alive {
		return
	}
	n.Alive = false
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		m.abortLink(n.links[id])
	}
}

// Pause suspends a node for a time. Events for it are delivered afterwards.
func (m *Mesh) Pause(name string, d time.Duration) {
	n := m.nodes[name]
	n.pausedUntil = m.Now.Add(d)
	m.After(d, func() { m.resume(n) })
}

// resume runs the callbacks deferred during a pause, if the pause has ended.
func (m *Mesh) resume(n *Node) {
	if m.Now.Before(n.pausedUntil) {
		return
	}
	callbacks := n.deferred
	n.deferred = nil
	for _, do := range callbacks {
		do()
	}
}

// Run advances the simulated time by d.
func (m *Mesh) Run(d time.Duration) { m.RunUntil(d, func() bool { return false }) }

// RunUntil advances the simulated time until stop returns true, by at most d. It returns the
// last result of stop.
func (m *Mesh) RunUntil(d time.Duration, stop func() bool) bool {
	end := m.Now.Add(d)
	for m.timers.due(end) {
		if stop() {
			return true
		}
		it := m.timers.pop()
		if it.at.After(m.Now) {
			m.Now = it.at
		}
		it.do()
	}
	m.Now = end
	return stop()
}

// Step passes an event to a node immediately.
func (m *Mesh) Step(name string, e core.Event) {
	n := m.nodes[name]
	m.step(n, n.Generation, e)
}

// After schedules do to run when d has elapsed.
func (m *Mesh) After(d time.Duration, do func()) {
	m.timers.add(m.Now.Add(d), do)
}

func (m *Mesh) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.Rand.Int64N(int64(limit)))
}

func (m *Mesh) tick(n *Node, gen int) {
	if n.Generation != gen || !n.Alive {
		return
	}
	m.step(n, gen, core.Tick{})
	m.After(n.Config.TickEvery, func() { m.tick(n, gen) })
}

// step passes an event to a node if it still runs in the given generation. If the node is
// paused, the event is deferred.
func (m *Mesh) step(n *Node, gen int, e core.Event) {
	if n.Generation != gen || !n.Alive {
		return
	}
	if m.Now.Before(n.pausedUntil) {
		n.deferred = append(n.deferred, func() { m.step(n, gen, e) })
		return
	}
	effects := slices.Clone(n.State.Reduce(m.Now, e))
	if m.OnStep != nil {
		m.OnStep(n, e)
	}
	for _, effect := range effects {
		m.execute(n, effect)
	}
}

func (m *Mesh) execute(n *Node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Dial:
		m.dial(n, e)
	case core.Send:
		m.send(n, e)
	case core.CloseLink:
		if l, ok := n.links[e.Link]; ok {
			delete(n.links, e.Link)
			m.closeLink(l)
		}
	case core.ProbeBackend:
		gen := n.Generation
		m.After(time.Millisecond, func() { m.step(n, gen, core.BackendProbed{OK: n.BackendUp && !n.BackendHung, Refused: !n.BackendUp}) })
	case core.StoreGet, core.StoreList, core.StorePut, core.StoreDelete, core.StoreWatch:
		gen := n.Generation
		m.After(m.random(m.Faults.PlatformDelay), func() { m.callStore(n, gen, effect) })
	default:
		if m.OnEffect != nil {
			m.OnEffect(n, effect)
		}
	}
}
