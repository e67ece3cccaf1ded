package node

import (
	"context"
	"errors"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/peer"
)

// Links opens links to other nodes.
type Links interface {
	Dial(ctx context.Context, address string, opened func(*peer.Link) any) error
}

func (n *Node) dial(e core.Dial) {
	err := n.links.Dial(n.ctx, e.Address, func(l *peer.Link) any {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.openLinks[e.Link] = l
		n.step(core.LinkUp{Link: e.Link, Dialled: true})
		return e.Link
	})
	if err != nil {
		n.Step(core.LinkDown{Link: e.Link, Refused: errors.Is(err, peer.ErrRefused), Reason: err.Error()})
	}
}

// Accepted implements peer.Handler.
func (n *Node) Accepted(l *peer.Link) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastAccepted += 2
	n.openLinks[n.lastAccepted] = l
	n.step(core.LinkUp{Link: n.lastAccepted})
	return n.lastAccepted
}

// Received implements peer.Handler.
func (n *Node) Received(link any, m message.Message) {
	if n.rejectMisnamed(link.(core.LinkID), m) {
		return
	}
	n.Step(core.LinkMessage{Link: link.(core.LinkID), Message: m})
}

// Down implements peer.Handler.
func (n *Node) Down(link any, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openLinks, link.(core.LinkID))
	n.step(core.LinkDown{Link: link.(core.LinkID), Reason: reason})
}
