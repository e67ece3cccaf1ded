package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// relayBufferBytes is the size up to which an entry node reads an answer completely
// before it passes it on, as the data path does.
const relayBufferBytes = 256 << 10

// refusalBytes is what a refusal takes on the link of the node that refuses.
const refusalBytes = 300

// Links simulates the hosts' network links: large answers go over that of the backend
// server's node, if the call entered elsewhere, and over that of its entry node.
type Links struct {
	BytesPerSecond float64
	Faster         map[string]float64  // bytes per second of the links of some nodes
	AnswerBytes    func(c *Call) int64 // size of the answer to a call
	CallersOnHosts bool                // callers are on the hosts of their entry nodes, whose links their answers don't take

	SentBytes map[string]int64 // bytes sent by each node
	Refusals  int              // of attempts between nodes

	mesh  *Mesh
	hosts map[string]*hostLink
}

// NewLinks attaches links to the requests of a mesh.
func NewLinks(t *Traffic, bytesPerSecond float64, answerBytes func(c *Call) int64) *Links {
	t.Links = &Links{
		BytesPerSecond: bytesPerSecond, AnswerBytes: answerBytes, SentBytes: map[string]int64{},
		mesh: t.mesh, hosts: map[string]*hostLink{},
	}
	return t.Links
}

// hostLink is the link of one incarnation of a node.
type hostLink struct {
	links      *Links
	node       *Node
	generation int
	scheduler  *uplink.Scheduler
	open       map[*uplink.Transfer]*sentAnswer
	waiting    bool // dispatch is scheduled
}

// sentAnswer is an answer that a link sends.
type sentAnswer struct {
	left int64
	done func()
}

// of returns the link of a node, a new one after a restart: the earlier one's backlog is
// lost.
func (l *Links) of(n *Node) *hostLink {
	h, ok := l.hosts[n.Name]
	if !ok || h.generation != n.Generation {
		h = &hostLink{
			links: l, node: n, generation: n.Generation, scheduler: uplink.NewScheduler(l.rate(n.Name)),
			open: map[*uplink.Transfer]*sentAnswer{},
		}
		l.hosts[n.Name] = h
	}
	return h
}

func (l *Links) rate(node string) float64 {
	if rate, ok := l.Faster[node]; ok {
		return rate
	}
	return l.BytesPerSecond
}

// load returns the state of a node's link; zero if links are not simulated.
func (l *Links) load(n *Node) uplink.Load {
	if l == nil {
		return uplink.Load{}
	}
	return l.of(n).scheduler.Load(l.mesh.Now)
}

// refused records a refusal that a node sends to another one.
func (l *Links) refused(n *Node, local bool) {
	if l == nil || local {
		return
	}
	l.Refusals++
	l.of(n).sent(refusalBytes)
}

// onHost reports whether the answer to an attempt stays on the backend server's host.
func (l *Links) onHost(a *attempt) bool { return l != nil && l.CallersOnHosts && a.forward.Local }

// relay returns the state of the link over which the entry node of an attempt passes on
// its answer; zero if there is none, or if it is that of the backend server's node.
func (l *Links) relay(a *attempt) uplink.Load {
	if l == nil || l.CallersOnHosts || a.forward.Local {
		return uplink.Load{}
	}
	return l.of(l.mesh.nodes[a.call.Entry]).scheduler.RelayLoad(l.mesh.Now)
}

// deliver sends the answer to an attempt from a node to its caller, then calls done.
func (l *Links) deliver(from *Node, a *attempt, bytes int64, done func()) {
	h := l.of(from)
	switch {
	case l.onHost(a):
		l.mesh.After(0, done)
		return
	case a.forward.Local || l.CallersOnHosts:
		h.send(bytes, a.forward.Budget, done)
		return
	}
	entry := l.of(l.mesh.nodes[a.call.Entry])
	if bytes > relayBufferBytes { // passed on as it arrives
		a.hasCome()
		first, second := false, false
		h.send(bytes, a.forward.Budget, func() {
			if first = true; second {
				done()
			}
		})
		entry.send(bytes, a.forward.Budget, func() {
			if second = true; first {
				done()
			}
		})
		return
	}
	h.send(bytes, a.forward.Budget, func() {
		a.hasCome()
		entry.send(bytes, a.forward.Budget, done)
	})
}

func (h *hostLink) alive() bool { return h.node.Alive && h.node.Generation == h.generation }

func (h *hostLink) sent(n int) {
	h.scheduler.Sent(h.links.mesh.Now, n)
	h.links.SentBytes[h.node.Name] += int64(n)
}

func (h *hostLink) send(bytes int64, budget time.Duration, done func()) {
	if !h.alive() {
		return
	}
	now := h.links.mesh.Now
	t := h.scheduler.Begin(now, now.Add(budget))
	h.open[t] = &sentAnswer{left: bytes, done: done}
	h.want(t)
	h.dispatch()
}

func (h *hostLink) want(t *uplink.Transfer) {
	left := h.open[t].left
	h.scheduler.Want(t, int(min(left, uplink.PieceBytes)), left)
}

// dispatch sends what may be sent now, and is called again when more may be.
func (h *hostLink) dispatch() {
	for h.alive() {
		t, wait := h.scheduler.Grant(h.links.mesh.Now)
		if t == nil {
			if wait > 0 && !h.waiting {
				h.waiting = true
				h.links.mesh.After(wait, func() {
					h.waiting = false
					h.dispatch()
				})
			}
			return
		}
		h.grant(t)
	}
}

func (h *hostLink) grant(t *uplink.Transfer) {
	one := h.open[t]
	n := min(one.left, uplink.PieceBytes)
	one.left -= n
	h.sent(int(n))
	if one.left > 0 {
		h.want(t)
		return
	}
	h.scheduler.End(t)
	delete(h.open, t)
	takes := time.Duration(float64(n) / h.links.BytesPerSecond * float64(time.Second))
	h.links.mesh.After(takes, one.done)
}

// expect tells the link of an entry node that it will pass on the answer to an attempt.
func (l *Links) expect(entry *Node, a *attempt) {
	if l == nil || l.CallersOnHosts || a.forward.Local {
		return
	}
	a.expectedOn = l.of(entry).scheduler
	a.expectedOn.Expect(a.forward.AnswerBytes)
}

// hasCome ends what expect told: the answer is there, or will not come.
func (a *attempt) hasCome() {
	if a.expectedOn != nil {
		a.expectedOn.Came(a.forward.AnswerBytes)
		a.expectedOn = nil
	}
}

// answerOver ends an attempt with an answer that went over the links.
func (t *Traffic) answerOver(n *Node, a *attempt, bytes int64, e core.AttemptEnded) {
	e.Bytes = bytes
	t.Links.deliver(n, a, bytes, func() { t.deliver(func() { t.end(a, e) }) })
}
