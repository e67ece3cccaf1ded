package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// TrafficFaults are the faults to inject into requests between nodes. Probabilities are per
// message.
type TrafficFaults struct {
	Delay        time.Duration // maximum of the random delay of a message
	LongDelay    float64       // probability that MaxLongDelay is the maximum instead
	MaxLongDelay time.Duration
	Lose         float64 // probability that a message is lost
	Duplicate    float64 // probability that a message is delivered twice
}

// cancelGrace is how long an entry node waits for the answer to a cancellation.
const cancelGrace = 50 * time.Millisecond

// Call is a caller's request and its result.
type Call struct {
	ID         core.CallID
	Entry      string
	Generation int // of the entry node when the call arrived
	Method     string
	Key        string
	Class      admission.Class // as assigned by the entry node
	Started    time.Time
	Ended      time.Time
	Outcome    retry.Outcome // zero: the entry node stopped before the call ended
	Reason     string
	RetryAfter time.Duration // when the caller may retry, if it was told
	Forwards   int
	Runs       []Run
	Abandoned  bool // the caller left before the call ended
	FromMesh   bool // sent by a backend server of the mesh, not by an external caller
}

// Run is one execution of a call at a backend server.
type Run struct {
	Node    string
	Attempt core.AttemptID
	At      time.Time
}

// attempt is one Forward in progress.
type attempt struct {
	call    *Call
	forward core.Forward
	ended   bool // the entry node has received the outcome

	relay      uplink.Load       // state of the entry node's link as the attempt was sent; zero: none
	expectedOn *uplink.Scheduler // link of the entry node that expects the answer; nil: none
}

// Traffic carries requests between the reducers of a Mesh in place of the data path. It also
// simulates the backend servers, and records what they run.
type Traffic struct {
	Faults TrafficFaults
	// RunTime returns the run time of a call at a backend server. If it is negative, the run
	// never ends.
	RunTime func(node string, c *Call) time.Duration
	// Nested, if set, may run a call by making further calls. It then returns true and calls
	// done once, with whether the call gets an answer.
	Nested func(node string, c *Call, done func(answers bool)) bool
	// OnAnswered, if set, is called when a call ends.
	OnAnswered func(c *Call)
	// OnSent, if set, is called when an attempt is sent by its entry node.
	OnSent func(f core.Forward)
	// ReportedQueue, if set, replaces the queue length reported by an answer.
	ReportedQueue func(node string, queue int) int
	// Notice, if set, returns what the backend server of a node says of itself in an answer,
	// without its instance.
	Notice func(node string) core.BackendNotice
	// BlackholedNode is the name of a node for which requests, and the answers to them, are
	// dropped without notification.
	BlackholedNode string
	// Links, if set, are the hosts' network links, over which large answers are sent.
	Links *Links

	Calls []*Call

	mesh     *Mesh
	calls    map[core.CallID]*Call
	attempts map[core.AttemptID]*attempt
	notices  map[string]lastNotice // by node
}

// NewTraffic attaches simulated traffic to a mesh.
func NewTraffic(m *Mesh) *Traffic {
	t := &Traffic{
		Faults:  TrafficFaults{Delay: time.Millisecond},
		RunTime: func(string, *Call) time.Duration { return 5 * time.Millisecond },
		mesh:    m, calls: map[core.CallID]*Call{}, attempts: map[core.AttemptID]*attempt{}, notices: map[string]lastNotice{},
	}
	m.OnEffect = t.effect
	return t
}

// Call makes a request arrive at a node.
func (t *Traffic) Call(entry string, e core.CallArrived) *Call {
	n := t.mesh.nodes[entry]
	e.Call = core.CallID(len(t.Calls) + 1)
	c := &Call{
		ID: e.Call, Entry: entry, Generation: n.Generation, Method: e.Method, Key: e.Key, Started: t.mesh.Now, FromMesh: e.FromMesh,
	}
	t.Calls = append(t.Calls, c)
	if !n.Alive {
		c.Outcome, c.Reason, c.Ended = retry.NotRun, "connection refused", t.mesh.Now
		return c
	}
	t.calls[c.ID] = c
	t.mesh.step(n, n.Generation, e)
	return c
}

// Abandon simulates that the caller leaves before its call has ended.
func (t *Traffic) Abandon(c *Call) {
	if c.Outcome != 0 || c.Abandoned {
		return
	}
	c.Abandoned = true
	n := t.mesh.nodes[c.Entry]
	t.mesh.step(n, c.Generation, core.CallClosed{Call: c.ID})
	for _, a := range t.attempts {
		if a.call == c && !a.ended {
			a.ended = true
			a.hasCome()
			t.cancel(a)
		}
	}
}

// effect executes one effect.
func (t *Traffic) effect(n *Node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Forward:
		t.forward(n, e)
	case core.Finish:
		if c, ok := t.calls[e.Call]; ok {
			c.RetryAfter = e.RetryAfter
		}
		t.finish(e.Call, e.Outcome, e.Reason)
	case core.Run:
		t.run(n, e)
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
	if t.OnAnswered != nil {
		t.OnAnswered(c)
	}
}

// deliver schedules the delivery of a message, subject to the injected faults: once, twice
// or not at all.
func (t *Traffic) deliver(do func()) {
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
		if f.LongDelay > 0 && t.mesh.Rand.Float64() < f.LongDelay {
			limit = f.MaxLongDelay
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
	if t.OnSent != nil {
		t.OnSent(f)
	}
	if f.Local {
		t.arrive(a)
		return
	}
	a.relay = t.Links.load(n)
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
		SoftBudget: f.SoftBudget, AnswerBytes: f.AnswerBytes, Link: t.Links.load(target), Relay: a.relay,
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
