package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// cancelGrace is how long an entry node waits for the answer to a cancellation.
const cancelGrace = 50 * time.Millisecond

// attempt is one Forward in progress.
type attempt struct {
	call    *Call
	forward core.Forward
	ended   bool // the entry node has received the outcome

	relay      uplink.Load       // state of the link over which the entry node passes the answer on, as the attempt was sent; zero: none
	expectedOn *uplink.Scheduler // link of the entry node that expects the answer; nil: none
}

func (t *Traffic) forward(n *Node, f core.Forward) {
	c, ok := t.calls[f.Call]
	if !ok {
		return
	}
	c.Forwards++
	c.Class = f.Class
	a := &attempt{call: c, forward: f}
	t.attempts[f.Attempt] = a
	if t.OnSent != nil {
		t.OnSent(f)
	}
	if f.Local {
		t.arrive(a)
		return
	}
	a.relay = t.Links.relay(a)
	t.Links.expect(n, a)
	target := t.mesh.nodes[f.Hop]
	if !target.Alive || t.mesh.partitioned[pair(n.Name, f.Hop)] {
		t.mesh.After(t.mesh.random(t.Faults.Delay), func() {
			t.end(a, core.AttemptEnded{
				Outcome: retry.NotRun, Failed: true, Unreachable: true, ConnectionRefused: !target.Alive, Queue: -1, Reason: "connection refused",
			})
		})
		return
	}
	if f.Hop != t.BlackholedNode {
		t.deliver(func() { t.arrive(a) })
	}
	gen := target.Generation
	t.mesh.After(f.Budget, func() { t.timeout(a) })
	t.watchConnection(a, target, gen)
}

// connCheckInterval is how often an attempt's connection is checked for a crash of its
// target.
const connCheckInterval = 5 * time.Millisecond

// watchConnection ends an attempt with a connection reset when its target has stopped.
func (t *Traffic) watchConnection(a *attempt, target *Node, gen int) {
	if a.ended {
		return
	}
	if !target.Alive || target.Generation != gen {
		t.end(a, core.AttemptEnded{Outcome: retry.Unknown, Failed: true, Queue: -1, Reason: "connection reset"})
		return
	}
	t.mesh.After(connCheckInterval, func() { t.watchConnection(a, target, gen) })
}

func (t *Traffic) timeout(a *attempt) {
	if a.ended {
		return
	}
	t.cancel(a)
	t.mesh.After(cancelGrace, func() {
		t.end(a, core.AttemptEnded{Outcome: retry.Unknown, Failed: true, Queue: -1, Reason: "no answer in time"})
	})
}

// cancel sends a cancellation of an attempt to the backend server's node.
func (t *Traffic) cancel(a *attempt) {
	t.deliver(func() {
		target := t.mesh.nodes[a.forward.Hop]
		t.mesh.step(target, target.Generation, core.AttemptCancelled{Attempt: a.forward.Attempt, ForIncarnation: a.forward.Incarnation})
	})
}

func (t *Traffic) arrive(a *attempt) {
	f := a.forward
	target := t.mesh.nodes[f.Hop]
	t.mesh.step(target, target.Generation, core.AttemptArrived{
		Attempt: f.Attempt, Class: f.Class, Budget: f.Budget, ForIncarnation: f.Incarnation, Key: f.Key, Said: f.Said,
		SoftBudget: f.SoftBudget, Waited: f.Waited, AnswerBytes: f.AnswerBytes, Link: t.Links.load(target), OnHost: t.Links.onHost(a), Relay: a.relay,
	})
}

// end passes the outcome of an attempt to its entry node, unless the attempt has ended
// already or its answer is dropped at BlackholedNode.
func (t *Traffic) end(a *attempt, e core.AttemptEnded) {
	lost := a.forward.Hop == t.BlackholedNode && !a.forward.Local && e.Outcome != retry.Unknown
	if a.ended || lost {
		return
	}
	a.ended = true
	a.hasCome()
	e.Call, e.Attempt = a.call.ID, a.forward.Attempt
	n := t.mesh.nodes[a.call.Entry]
	t.mesh.step(n, a.call.Generation, e)
	if e.Outcome == retry.Ran {
		t.finish(a.call.ID, retry.Ran, "")
	}
}

func (t *Traffic) refused(n *Node, e core.Refuse) {
	a, ok := t.attempts[e.Attempt]
	if !ok {
		return
	}
	t.Links.refused(n, a.forward.Local)
	queue := n.State.Waiting()
	if t.ReportedQueue != nil {
		queue = t.ReportedQueue(n.Name, queue)
	}
	t.deliver(func() {
		t.end(a, core.AttemptEnded{Outcome: e.Outcome, Queue: queue, LinkOpensIn: e.LinkOpensIn, Reason: string(e.Reason), Said: t.said(n)})
	})
}
