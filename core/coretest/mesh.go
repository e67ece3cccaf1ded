// Package coretest runs a small number of reducers with a simulated clock, platform and
// links, for tests of the nodes' joint behaviour. It is not a cluster simulator: it uses no
// processes, sockets or goroutines, and runs with the same seed are identical.
package coretest

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// Faults are the faults to inject. Probabilities are per call or message.
type Faults struct {
	PlatformDown  bool
	PlatformDelay time.Duration // maximum of the random delay in each direction
	FailBefore    float64       // probability that a call fails without effect
	LoseAnswer    float64       // probability that a call takes effect but its answer is lost
	LinkDelay     time.Duration // maximum of the random delay of a link message
	Duplicate     float64       // probability that a link message is delivered twice
}

// platformTimeout is the time after which a call to an unreachable platform fails.
const platformTimeout = 500 * time.Millisecond

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
	queue               timerQueue
	order               uint64
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

// linkEnd is one end of a link.
type linkEnd struct {
	node        *Node
	generation  int
	peer        *linkEnd
	id          core.LinkID
	closed      bool
	blackholed  bool      // messages to this end are dropped
	nextArrival time.Time // earliest arrival of the next message, since links preserve order
}

type watch struct {
	node       *Node
	generation int
	effect     core.StoreWatch
	done       bool
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

// Partition drops all traffic between two nodes: messages on open links are lost and new
// links fail. Neither node is notified.
func (m *Mesh) Partition(a, b string) { m.partitioned[pair(a, b)] = true }

// BlackholeOpenLinks permanently drops what a sends to b on the links that are open now.
// New links work. Neither node is notified.
func (m *Mesh) BlackholeOpenLinks(a, b string) {
	for _, l := range m.nodes[a].links {
		if l.peer != nil && l.peer.node.Name == b {
			l.peer.blackholed = true
		}
	}
}

// PartitionDataCentres partitions the nodes of two data centres from each other.
func (m *Mesh) PartitionDataCentres(a, b string) {
	for _, x := range m.nodes {
		for _, y := range m.nodes {
			if x.Config.DataCentre == a && y.Config.DataCentre == b {
				m.Partition(x.Name, y.Name)
			}
		}
	}
}

// DropLinkMessages drops link messages between two nodes without notification. Requests
// still pass.
func (m *Mesh) DropLinkMessages(a, b string) { m.linkMessagesDropped[pair(a, b)] = true }

// PartitionStore partitions a node from the platform: its calls time out without effect, and
// pending watches fail.
func (m *Mesh) PartitionStore(name string) {
	m.storePartitioned[name] = true
	for _, w := range m.watches {
		if w.node.Name == name && !w.done {
			w.done = true
			m.After(platformTimeout, func() { m.step(w.node, w.generation, failed(w.effect)) })
		}
	}
}

// Heal ends all partitions between nodes, pauses and injected faults. Delays stay.
func (m *Mesh) Heal() {
	m.partitioned, m.linkMessagesDropped = map[[2]string]bool{}, map[[2]string]bool{}
	m.Faults.PlatformDown, m.Faults.FailBefore, m.Faults.LoseAnswer, m.Faults.Duplicate = false, 0, 0, 0
	for _, n := range m.Nodes() {
		n.pausedUntil = time.Time{}
		m.resume(n)
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Run advances the simulated time by d.
func (m *Mesh) Run(d time.Duration) { m.RunUntil(d, func() bool { return false }) }

// RunUntil advances the simulated time until stop returns true, by at most d. It returns the
// last result of stop.
func (m *Mesh) RunUntil(d time.Duration, stop func() bool) bool {
	end := m.Now.Add(d)
	for m.queue.Len() > 0 && !m.queue[0].at.After(end) {
		if stop() {
			return true
		}
		it := heap.Pop(&m.queue).(timer)
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
	m.order++
	heap.Push(&m.queue, timer{at: m.Now.Add(d), order: m.order, do: do})
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

// closeLink closes a link after the messages already sent on it have been delivered.
func (m *Mesh) closeLink(l *linkEnd) {
	var wait time.Duration
	if l.peer != nil {
		wait = l.peer.nextArrival.Sub(m.Now)
	}
	m.notifyPeerClosed(l, max(wait, m.random(m.Faults.LinkDelay)))
}

// abortLink closes a link immediately. Messages in transit may be lost.
func (m *Mesh) abortLink(l *linkEnd) { m.notifyPeerClosed(l, m.random(m.Faults.LinkDelay)) }

// notifyPeerClosed notifies the other end of a link, after some time, that it is closed.
func (m *Mesh) notifyPeerClosed(l *linkEnd, after time.Duration) {
	l.closed = true
	p := l.peer
	if p == nil || m.partitioned[pair(l.node.Name, p.node.Name)] {
		return
	}
	m.After(after, func() {
		if p.closed {
			return
		}
		p.closed = true
		delete(p.node.links, p.id)
		m.step(p.node, p.generation, core.LinkDown{Link: p.id, Reason: "closed by the other end"})
	})
}

func (m *Mesh) dial(n *Node, e core.Dial) {
	gen := n.Generation
	m.After(m.random(m.Faults.LinkDelay), func() {
		to, ok := m.nodes[e.Address]
		if !ok || !to.Alive || m.partitioned[pair(n.Name, e.Address)] || to == n {
			m.step(n, gen, core.LinkDown{Link: e.Link, Reason: "connection failed"})
			return
		}
		if n.Generation != gen || !n.Alive {
			return
		}
		to.lastLink += 2
		near := &linkEnd{node: n, generation: gen, id: e.Link}
		far := &linkEnd{node: to, generation: to.Generation, id: to.lastLink, peer: near}
		near.peer = far
		n.links[near.id], to.links[far.id] = near, far
		m.step(to, far.generation, core.LinkUp{Link: far.id})
		m.step(n, gen, core.LinkUp{Link: near.id, Dialled: true})
	})
}

func (m *Mesh) send(n *Node, e core.Send) {
	l, ok := n.links[e.Link]
	if !ok || l.closed {
		return
	}
	if m.OnSend != nil {
		m.OnSend(n, l.peer.node, e.Message)
	}
	copies := 1
	if m.Rand.Float64() < m.Faults.Duplicate {
		copies = 2
	}
	p := l.peer
	for range copies {
		at := m.Now.Add(m.random(m.Faults.LinkDelay))
		if at.Before(p.nextArrival) {
			at = p.nextArrival
		}
		p.nextArrival = at
		m.After(at.Sub(m.Now), func() {
			if between := pair(n.Name, p.node.Name); !p.closed && !p.blackholed && !m.partitioned[between] && !m.linkMessagesDropped[between] {
				m.step(p.node, p.generation, core.LinkMessage{Link: p.id, Message: e.Message})
			}
		})
	}
}
