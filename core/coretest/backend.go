package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
)

// answerStatus is the HTTP status of all answers of backend servers.
const answerStatus = 201

// lastNotice is the notice in the last answer that a node got from its backend server.
type lastNotice struct {
	generation int // of the node
	notice     core.BackendNotice
}

// run executes an attempt at the backend server. The execution continues if the node stops.
func (t *Traffic) run(n *Node, r core.Run) {
	a := t.attempts[r.Attempt]
	if !n.BackendUp {
		gen := n.Generation
		t.mesh.After(time.Millisecond, func() { t.backendRefused(n, gen, a) })
		return
	}
	a.call.Runs = append(a.call.Runs, Run{Node: n.Name, Attempt: r.Attempt, At: t.mesh.Now})
	gen, started := n.Generation, t.mesh.Now
	done := func(answers bool) {
		if answers && n.Generation == gen {
			t.notice(n, r)
		}
		t.runEnded(n, gen, a, started, answers)
	}
	if t.Nested != nil && t.Nested(n.Name, a.call, done) {
		return
	}
	if took := t.RunTime(n.Name, a.call); took >= 0 && !n.BackendHung {
		t.mesh.After(took, func() { done(true) })
		return
	}
	t.mesh.After(a.forward.Budget, func() { done(false) }) // the node aborts the run at the deadline
}

// backendRefused ends an attempt after the backend server refused the connection.
func (t *Traffic) backendRefused(n *Node, gen int, a *attempt) {
	t.mesh.step(n, gen, core.AttemptDone{Attempt: a.forward.Attempt, Refused: true})
	if n.Generation == gen && n.Alive {
		t.deliver(func() {
			t.end(a, core.AttemptEnded{Outcome: retry.NotRun, Failed: true, Queue: -1, Reason: "connection refused"})
		})
	}
}

// notice passes to a node what its backend server says of itself in the answer to a run.
func (t *Traffic) notice(n *Node, r core.Run) {
	if t.Notice == nil {
		return
	}
	said := t.Notice(n.Name)
	said.Backend, said.StartMillis = r.Backend, r.StartMillis
	t.notices[n.Name] = lastNotice{generation: n.Generation, notice: said}
	t.mesh.step(n, n.Generation, core.BackendAnswered{BackendNotice: said})
}

// said returns the notice of its backend server that a node passes on to senders of
// attempts.
func (t *Traffic) said(n *Node) core.BackendNotice {
	if last := t.notices[n.Name]; last.generation == n.Generation && last.notice.SaysSomething() {
		return last.notice
	}
	return core.BackendNotice{}
}

// runEnded ends a run. Without an answer, the entry node gets a broken connection.
func (t *Traffic) runEnded(n *Node, gen int, a *attempt, started time.Time, answers bool) {
	done := core.AttemptDone{Attempt: a.forward.Attempt, Took: t.mesh.Now.Sub(started), Status: answerStatus, Truncated: !answers}
	if t.Links != nil {
		done.Bytes = t.Links.AnswerBytes(a.call)
	}
	t.mesh.step(n, gen, done)
	if n.Generation != gen || !n.Alive {
		return
	}
	if !answers {
		t.deliver(func() { t.end(a, core.AttemptEnded{Outcome: retry.Unknown, Queue: -1, Reason: "connection broken"}) })
		return
	}
	queue := n.State.Waiting()
	if t.ReportedQueue != nil {
		queue = t.ReportedQueue(n.Name, queue)
	}
	e := core.AttemptEnded{Outcome: retry.Ran, Queue: queue, AnswerStarted: true, Status: answerStatus, Said: t.said(n)}
	if t.Links != nil {
		t.answerOver(n, a, done.Bytes, e)
		return
	}
	t.deliver(func() { t.end(a, e) })
}
