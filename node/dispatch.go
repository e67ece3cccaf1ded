package node

import (
	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// effectBacklog is the buffer size for the effects of one call or attempt that its
// goroutine has not received yet; the reducer emits at most two between events.
const effectBacklog = 8

func (n *Node) deliverToCall(id core.CallID, e core.Effect) {
	if ch, ok := n.calls[id]; ok {
		ch <- e
	}
}

func (n *Node) deliverToAttempt(id core.AttemptID, e core.Effect) {
	if ch, ok := n.attempts[id]; ok {
		ch <- e
	}
}

// IsIdempotent implements proxy.Dispatcher.
func (n *Node) IsIdempotent(method, host, path string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.IsIdempotent(method, host, path)
}

// OpenCall implements proxy.Dispatcher.
func (n *Node) OpenCall(e core.CallArrived) <-chan core.Effect {
	ch := make(chan core.Effect, effectBacklog)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[e.Call] = ch
	n.step(e)
	return ch
}

// CloseCall implements proxy.Dispatcher.
func (n *Node) CloseCall(id core.CallID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.calls, id)
	n.observer.callClosed(id)
}

// OpenAttempt implements proxy.Dispatcher.
func (n *Node) OpenAttempt(e core.AttemptArrived) (<-chan core.Effect, bool) {
	ch := make(chan core.Effect, effectBacklog)
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, open := n.attempts[e.Attempt]; open {
		return nil, false
	}
	n.attempts[e.Attempt] = ch
	n.step(e)
	return ch, true
}

// DropAttempt implements proxy.Dispatcher.
func (n *Node) DropAttempt(id core.AttemptID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, id)
}

// EndAttempt implements proxy.Dispatcher.
func (n *Node) EndAttempt(e core.AttemptDone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, e.Attempt)
	n.step(e)
}

// AttemptOpen implements proxy.Dispatcher.
func (n *Node) AttemptOpen(id core.AttemptID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, open := n.attempts[id]
	return open
}

// CancelAttempt implements proxy.Dispatcher.
func (n *Node) CancelAttempt(e core.AttemptCancelled) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, effect := range n.step(e) {
		if r, ok := effect.(core.Refuse); ok && r.Attempt == e.Attempt {
			return r.Outcome == retry.NotRun
		}
	}
	return false
}

// Waiting implements proxy.Dispatcher.
func (n *Node) Waiting() int { return int(n.waiting.Load()) }
