package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
)

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
			ended := ok && !to.Alive && !m.partitioned[pair(n.Name, e.Address)]
			m.step(n, gen, core.LinkDown{Link: e.Link, Refused: ended, Reason: "connection failed"})
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
