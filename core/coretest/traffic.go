package coretest

import (
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
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
