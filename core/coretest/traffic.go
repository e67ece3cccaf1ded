package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// TrafficFaults are what may go wrong with requests between nodes.
// Probabilities are for each message.
type TrafficFaults struct {
	Delay     time.Duration // upper bound of the random time of a message
	Late      float64       // a message takes up to LateBy instead
	LateBy    time.Duration
	Lose      float64
	Duplicate float64
}

// answered is the HTTP status of what a backend server answers.
const answered = 201

// cancelGrace is how long an entry node waits for the answer to a cancel.
const cancelGrace = 50 * time.Millisecond

// Call is a caller's request and what became of it.
type Call struct {
	ID       core.CallID
	Entry    string
	Life     int // of the entry node
	Method   string
	Key      string
	Class    admission.Class // as the entry node set it
	Started  time.Time
	Ended    time.Time
	Outcome  retry.Outcome // zero: the entry node ended first
	Reason   string
	Forwards int
	Runs     []Run
	Left     bool // the caller went away
	Upstream bool
}

// Run is one run of a call at a backend server.
type Run struct {
	Node    string
	Attempt core.AttemptID
	At      time.Time
}

// attempt is one Forward on its way.
type attempt struct {
	call    *Call
	forward core.Forward
	ended   bool // its entry node was told the outcome
}

// Traffic carries requests between the reducers of a Mesh, in place of the
// data path, and stands in for the backend servers, which record what runs.
type Traffic struct {
	Faults TrafficFaults
	// Serve returns how long a run takes at a backend server; negative: it
	// never ends.
	Serve func(node string, c *Call) time.Duration
	// Nested, if set, may run a call by further calls: it returns true and
	// calls done once with whether an answer comes.
	Nested func(node string, c *Call, done func(answers bool)) bool
	// Answered, if set, is called as a call ends.
	Answered func(c *Call)
	// Sent, if set, is called as an attempt leaves its entry node.
	Sent func(f core.Forward)
	// Queue, if set, replaces the queue that an answer tells.
	Queue func(node string, told int) int
	// Silent names a node whose requests, and the answers to them, are lost
	// without a word.
	Silent string

	Calls []*Call

	mesh     *Mesh
	calls    map[core.CallID]*Call
	attempts map[core.AttemptID]*attempt
}

// NewTraffic attaches traffic to a mesh.
func NewTraffic(m *Mesh) *Traffic {
	t := &Traffic{
		Faults: TrafficFaults{Delay: time.Millisecond},
		Serve:  func(string, *Call) time.Duration { return 5 * time.Millisecond },
		mesh:   m, calls: map[core.CallID]*Call{}, attempts: map[core.AttemptID]*attempt{},
	}
	m.OnEffect = t.effect
	return t
}

// Call lets a request arrive at a node.
func (t *Traffic) Call(entry string, e core.CallArrived) *Call {
	n := t.mesh.nodes[entry]
	e.Call = core.CallID(len(t.Calls) + 1)
	c := &Call{
		ID: e.Call, Entry: entry, Life: n.Life, Method: e.Method, Key: e.Key, Started: t.mesh.Now, Upstream: e.FromMesh,
	}
	t.Calls = append(t.Calls, c)
	if !n.Alive {
		c.Outcome, c.Reason, c.Ended = retry.NotRun, "connection refused", t.mesh.Now
		return c
	}
	t.calls[c.ID] = c
	t.mesh.step(n, n.Life, e)
	return c
}

// Leave lets the caller of a call go away.
func (t *Traffic) Leave(c *Call) {
	if c.Outcome != 0 || c.Left {
		return
	}
	c.Left = true
	n := t.mesh.nodes[c.Entry]
	t.mesh.step(n, c.Life, core.CallClosed{Call: c.ID})
	for _, a := range t.attempts {
		if a.call == c && !a.ended {
			a.ended = true
			t.cancel(a)
		}
	}
}

// effect carries one effect out.
func (t *Traffic) effect(n *Node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Forward:
		t.forward(n, e)
	case core.Finish:
		t.finish(e.Call, e.Outcome, e.Reason)
	case core.Run:
		t.run(n, e.Attempt)
	case core.Refuse:
		t.refused(n, e)
	case core.Drained:
		t.mesh.Crash(n.Name)
	}
}

func (t *Traffic) finish(id core.CallID, o retry.Outcome, reason string) {
	c, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	c.Outcome, c.Reason, c.Ended = o, reason, t.mesh.Now
	if t.Answered != nil {
		t.Answered(c)
	}
}

// after hands a message over once, twice or not at all.
func (t *Traffic) after(do func()) {
	f := t.Faults
	copies := 1
	if f.Duplicate > 0 && t.mesh.Rand.Float64() < f.Duplicate {
		copies = 2
	}
	for range copies {
		if f.Lose > 0 && t.mesh.Rand.Float64() < f.Lose {
			continue
		}
		limit := f.Delay
		if f.Late > 0 && t.mesh.Rand.Float64() < f.Late {
			limit = f.LateBy
		}
		t.mesh.After(t.mesh.random(limit), do)
	}
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
	if t.Sent != nil {
		t.Sent(f)
	}
	if f.Local {
		t.arrive(a)
		return
	}
	target := t.mesh.nodes[f.Hop]
	if !target.Alive || t.mesh.cut[pair(n.Name, f.Hop)] {
		t.mesh.After(t.mesh.random(t.Faults.Delay), func() {
			t.end(a, core.AttemptEnded{
				Outcome: retry.NotRun, Failed: true, ConnectionRefused: !target.Alive, Queue: -1, Reason: "connection refused",
			})
		})
		return
	}
	if f.Hop != t.Silent {
		t.after(func() { t.arrive(a) })
	}
	life := target.Life
	t.mesh.After(f.Budget, func() { t.timeout(a) })
	t.watchLife(a, target, life)
}

// resetAfter is how often an entry node's connection to a node that crashed
// is looked at.
const resetAfter = 5 * time.Millisecond

// watchLife tells the entry node when the connection of an attempt breaks.
func (t *Traffic) watchLife(a *attempt, target *Node, life int) {
	if a.ended {
		return
	}
	if !target.Alive || target.Life != life {
		t.end(a, core.AttemptEnded{Outcome: retry.Unknown, Failed: true, Queue: -1, Reason: "connection reset"})
		return
	}
	t.mesh.After(resetAfter, func() { t.watchLife(a, target, life) })
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

// cancel asks the backend server's node that an attempt not run.
func (t *Traffic) cancel(a *attempt) {
	t.after(func() {
		target := t.mesh.nodes[a.forward.Hop]
		t.mesh.step(target, target.Life, core.AttemptCancelled{Attempt: a.forward.Attempt, ForIncarnation: a.forward.Incarnation})
	})
}

func (t *Traffic) arrive(a *attempt) {
	f := a.forward
	target := t.mesh.nodes[f.Hop]
	t.mesh.step(target, target.Life, core.AttemptArrived{
		Attempt: f.Attempt, Class: f.Class, Budget: f.Budget, ForIncarnation: f.Incarnation, Key: f.Key,
	})
}

// end tells an entry node how an attempt ended, the first time.
func (t *Traffic) end(a *attempt, e core.AttemptEnded) {
	lost := a.forward.Hop == t.Silent && !a.forward.Local && e.Outcome != retry.Unknown
	if a.ended || lost {
		return
	}
	a.ended = true
	e.Call, e.Attempt = a.call.ID, a.forward.Attempt
	n := t.mesh.nodes[a.call.Entry]
	t.mesh.step(n, a.call.Life, e)
	if e.Outcome == retry.Ran {
		t.finish(a.call.ID, retry.Ran, "")
	}
}

func (t *Traffic) refused(n *Node, e core.Refuse) {
	a, ok := t.attempts[e.Attempt]
	if !ok {
		return
	}
	queue := n.State.Waiting()
	if t.Queue != nil {
		queue = t.Queue(n.Name, queue)
	}
	t.after(func() {
		t.end(a, core.AttemptEnded{Outcome: e.Outcome, Queue: queue, Reason: string(e.Reason)})
	})
}

// run lets the backend server run an attempt. It goes on when its node dies.
func (t *Traffic) run(n *Node, id core.AttemptID) {
	a := t.attempts[id]
	if !n.Backend {
		life := n.Life
		t.mesh.After(time.Millisecond, func() { t.unreached(n, life, a) })
		return
	}
	a.call.Runs = append(a.call.Runs, Run{Node: n.Name, Attempt: id, At: t.mesh.Now})
	life, started := n.Life, t.mesh.Now
	done := func(answers bool) { t.ran(n, life, a, started, answers) }
	if t.Nested != nil && t.Nested(n.Name, a.call, done) {
		return
	}
	if took := t.Serve(n.Name, a.call); took >= 0 && !n.Hung {
		t.mesh.After(took, func() { done(true) })
		return
	}
	t.mesh.After(a.forward.Budget, func() { done(false) }) // the node gives up at the deadline
}

// unreached ends an attempt whose backend server refused the connection.
func (t *Traffic) unreached(n *Node, life int, a *attempt) {
	t.mesh.step(n, life, core.AttemptDone{Attempt: a.forward.Attempt, Refused: true})
	if n.Life == life && n.Alive {
		t.after(func() {
			t.end(a, core.AttemptEnded{Outcome: retry.NotRun, Failed: true, Queue: -1, Reason: "connection refused"})
		})
	}
}

// ran ends a run. Without an answer the entry node sees a broken connection.
func (t *Traffic) ran(n *Node, life int, a *attempt, started time.Time, answers bool) {
	done := core.AttemptDone{Attempt: a.forward.Attempt, Took: t.mesh.Now.Sub(started), Status: answered, Truncated: !answers}
	t.mesh.step(n, life, done)
	if n.Life != life || !n.Alive {
		return
	}
	if !answers {
		t.after(func() { t.end(a, core.AttemptEnded{Outcome: retry.Unknown, Queue: -1, Reason: "connection broken"}) })
		return
	}
	queue := n.State.Waiting()
	if t.Queue != nil {
		queue = t.Queue(n.Name, queue)
	}
	e := core.AttemptEnded{Outcome: retry.Ran, Queue: queue, AnswerStarted: true, Status: answered}
	t.after(func() { t.end(a, e) })
}
