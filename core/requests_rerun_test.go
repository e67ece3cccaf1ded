package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/retry"
)

// entryNode is a reducer with a configuration and a table of backend
// servers.
type entryNode struct {
	t     *testing.T
	state *core.State
	now   time.Time
	calls core.CallID
}

// newEntryNode returns a node that has read a configuration from its source
// and has n backend servers of service "orders" in its table.
func newEntryNode(t *testing.T, cfg core.Config, n int, objects ...config.Object) *entryNode {
	t.Helper()
	cfg.Node, cfg.DataCentre, cfg.Source, cfg.Seed = "entry", "dc", true, 1
	e := &entryNode{t: t, state: core.New(cfg), now: time.Unix(1_800_000_000, 0)}
	e.read(1, objects...)
	var entries []endpoint.Entry
	for i := range n {
		id := string(rune('a' + i))
		entries = append(entries, endpoint.Entry{
			ID: id, Service: "orders", DataCentre: "dc", Peer: id, Hop: id, Slots: 4, State: endpoint.Ready, Sequence: 1,
			Incarnation: endpoint.Incarnation{Start: 1},
		})
	}
	e.sendEndpoints(entries)
	return e
}

func (e *entryNode) step(event core.Event) []core.Effect {
	return append([]core.Effect(nil), e.state.Reduce(e.now, event)...)
}

// read answers the pending read of the source.
func (e *entryNode) read(version uint64, objects ...config.Object) {
	e.t.Helper()
	for _, effect := range e.step(core.Tick{}) {
		call := core.StoreCallID(0)
		switch effect := effect.(type) {
		case core.StoreList:
			if effect.Prefix == keyspace.Source {
				call = effect.Call
			}
		case core.StoreWatch:
			call = effect.Call
		}
		if call != 0 {
			data := published(e.t, version, objects...)
			e.step(core.StoreDone{Call: call, Revision: version, Objects: []core.StoreObject{{Key: keyspace.Source + "main", Data: data}}})
			return
		}
	}
	e.t.Fatal("the node did not read its source")
}

// sendEndpoints delivers entries as a message from another node.
func (e *entryNode) sendEndpoints(entries []endpoint.Entry) {
	const link = core.LinkID(1)
	e.step(core.LinkUp{Link: link})
	e.step(core.LinkMessage{Link: link, Message: endpointsMessage(entries)})
}

// call passes a request to the node and returns its first Forward.
func (e *entryNode) call(method string) core.Forward {
	e.t.Helper()
	e.calls++
	f, ok := firstEffect[core.Forward](e.step(core.CallArrived{Call: e.calls, Method: method, Path: "/", Replayable: true}))
	if !ok {
		e.t.Fatal("the request was not sent")
	}
	return f
}

// firstEffect returns the first effect of a type.
func firstEffect[T core.Effect](effects []core.Effect) (T, bool) {
	for _, effect := range effects {
		if t, ok := effect.(T); ok {
			return t, true
		}
	}
	var zero T
	return zero, false
}

func ordersObjects(policy string) []config.Object {
	return []config.Object{
		{Kind: config.KindPolicy, Name: "p", Spec: []byte(policy)},
		{Kind: config.KindService, Name: "orders", Spec: []byte(`{}`)},
		{Kind: config.KindRoute, Name: "r", Spec: []byte(`{"pathPrefix":"/","service":"orders","policy":"p"}`)},
	}
}

// failedAnswer ends an attempt whose backend server answered with status
// 500.
func failedAnswer(f core.Forward) core.AttemptEnded {
	return core.AttemptEnded{
		Call: f.Call, Attempt: f.Attempt, Outcome: retry.Ran, Status: 500, AnswerHeld: true, ReachedBackend: true, Failed: true, Queue: -1,
	}
}

// TestFailedAnswerIsRetried checks that a failure response of a backend
// server is retried for a request that may run twice, and passed to the
// caller for any other.
func TestFailedAnswerIsRetried(t *testing.T) {
	for _, tt := range []struct {
		method string
		again  bool
	}{{"GET", true}, {"POST", false}} {
		t.Run(tt.method, func(t *testing.T) {
			is := is.New(t)
			e := newEntryNode(t, core.Config{RerunShare: 1, RerunReserve: 100}, 3, ordersObjects(`{"maxAttempts":2}`)...)
			first := e.call(tt.method)
			is.Equal(first.MayRetry, tt.again)
			effects := e.step(failedAnswer(first))
			second, again := firstEffect[core.Forward](effects)
			is.Equal(again, tt.again)
			if !again {
				_, passed := firstEffect[core.ReleaseAnswer](effects)
				is.True(passed) // the answer goes to the caller
				return
			}
			is.True(second.Target != first.Target)
			_, passed := firstEffect[core.ReleaseAnswer](e.step(failedAnswer(second)))
			is.True(passed) // the policy allows no third attempt
		})
	}
}

// TestRerunsStayWithinTheirBudget lets every answer fail: repeats that
// reach a backend server must stay within a share of the calls.
func TestRerunsStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	const calls, share, reserve = 1000, 0.08, 24
	e := newEntryNode(t, core.Config{RetryShare: 0.5, RerunShare: share, RerunReserve: reserve}, 3, ordersObjects(`{"maxAttempts":3}`)...)
	reruns := 0
	for range calls {
		f, again := e.call("GET"), true
		for again {
			if f, again = firstEffect[core.Forward](e.step(failedAnswer(f))); again {
				reruns++
			}
		}
	}
	is.True(reruns <= share*calls+reserve)
	is.True(reruns >= share*calls/2) // the budget is used
}

// TestStartingNodeHasNoReruns guards against a burst of reruns when many
// nodes start together: each has an empty endpoint table at first, and
// would take the whole shared reserve for itself.
func TestStartingNodeHasNoReruns(t *testing.T) {
	is := is.New(t)
	e := newEntryNode(t, core.Config{RetryShare: 0.5, RerunShare: 0.01, RerunReserve: 100}, 2, ordersObjects(`{"maxAttempts":2}`)...)
	reruns := 0
	for range 20 {
		if _, again := firstEffect[core.Forward](e.step(failedAnswer(e.call("GET")))); again {
			reruns++
		}
	}
	is.Equal(reruns, 0)
}

// TestRefusalsCostNoRerun checks that attempts which no backend server has
// seen are retried elsewhere without a rerun budget, and that their number
// is bounded. Those that one has seen need the budget.
func TestRefusalsCostNoRerun(t *testing.T) {
	for _, tt := range []struct {
		reached bool
		sent    int
	}{{false, 4}, {true, 1}} {
		is := is.New(t)
		e := newEntryNode(t, core.Config{RetryShare: 0.5, RerunShare: 1e-9, RerunReserve: 1e-9}, 6, ordersObjects(`{"maxAttempts":2}`)...)
		f, again := e.call("POST"), true
		sent := 1
		for again {
			if f, again = firstEffect[core.Forward](e.step(core.AttemptEnded{
				Call: f.Call, Attempt: f.Attempt, Outcome: retry.NotRun, ReachedBackend: tt.reached, Queue: -1, Reason: "queue full",
			})); again {
				sent++
			}
		}
		is.Equal(sent, tt.sent)
	}
}

// TestRefusalByLeavingNodeIsFree guards against free retries of a call that a backend server
// has seen, since a node that leaves refuses it afterwards: with one rerun, one more backend server
// sees the call, however many nodes refuse it before.
func TestRefusalByLeavingNodeIsFree(t *testing.T) {
	for refusals := range 5 {
		is := is.New(t)
		e := newEntryNode(t, core.Config{RetryShare: 0.5, RerunShare: 1, RerunReserve: 1e-9}, 6, ordersObjects(`{"maxAttempts":5}`)...)
		f, again := e.call("GET"), true // earns one rerun
		end := func(reached bool, reason admission.Reason) {
			f, again = firstEffect[core.Forward](e.step(core.AttemptEnded{
				Call: f.Call, Attempt: f.Attempt, Outcome: retry.NotRun, ReachedBackend: reached, Queue: -1, Reason: string(reason),
			}))
		}
		end(true, "")
		is.True(again)
		for range refusals {
			end(false, admission.NotServing)
			is.True(again)
		}
		end(true, "")
		is.True(!again) // it has no other rerun
	}
}

// TestRefusingBackendServerGetsNoSecondAttempt guards against a request that may not
// run twice going again to a backend server that refused it. Others go on, and so does one
// that its node refused.
func TestRefusingBackendServerGetsNoSecondAttempt(t *testing.T) {
	for _, tt := range []struct {
		method  string
		reached bool // it has reached the backend server
		sent    int
	}{{"POST", true, 2}, {"GET", true, 3}, {"POST", false, 5}} {
		t.Run(fmt.Sprint(tt.method, " ", tt.reached), func(t *testing.T) {
			is := is.New(t)
			e := newEntryNode(t, core.Config{RetryShare: 1, RerunShare: 1}, 2, ordersObjects(`{"maxAttempts":3}`)...)
			f, again := e.call(tt.method), true
			sent, before := 0, e.state.Dump().RetryTokens
			for effects := []core.Effect(nil); again; f, again = firstEffect[core.Forward](effects) {
				sent++
				effects = e.step(core.AttemptEnded{Call: f.Call, Attempt: f.Attempt, Outcome: retry.NotRun, ReachedBackend: tt.reached, Queue: -1})
				if end, ended := firstEffect[core.Finish](effects); ended {
					is.Equal(end.Outcome, retry.NotRun)
				}
			}
			is.Equal(sent, tt.sent)
			is.Equal(before-e.state.Dump().RetryTokens, float64(tt.sent-1)) // what is not sent costs no budget
		})
	}
}

// TestFullLinksLeaveNoRetries refuses many requests for lack of room on the links, then
// loses the connection of one that may run again.
func TestFullLinksLeaveNoRetries(t *testing.T) {
	is := is.New(t)
	e := newEntryNode(t, core.Config{RetryShare: 0.1, RerunShare: 0.1}, 4, ordersObjects(`{"idempotent":true,"maxAttempts":2}`)...)
	for range 200 {
		f, again := e.call("GET"), true
		for again {
			f, again = firstEffect[core.Forward](e.step(core.AttemptEnded{
				Call: f.Call, Attempt: f.Attempt, Outcome: retry.NotRun, Reason: string(admission.LinkFull), Queue: -1,
			}))
		}
	}
	f := e.call("GET")
	_, again := firstEffect[core.Forward](e.step(core.AttemptEnded{
		Call: f.Call, Attempt: f.Attempt, Outcome: retry.Unknown, Failed: true, ReachedBackend: true, Reason: "connection reset", Queue: -1,
	}))
	is.True(again)
}

// TestAttemptThatNeverArrivedEjectsHost guards against leaving out a host that answers at
// once that it never got an attempt, or had not begun it: its connection was silent, or it is late.
func TestAttemptThatNeverArrivedEjectsHost(t *testing.T) {
	for _, tt := range []struct {
		name        string
		unreachable bool
	}{{"the host answers that it did not run it", false}, {"no connection to the host", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntryNode(t, core.Config{}, 4, ordersObjects(`{}`)...)
			f := e.call("GET")
			e.step(core.AttemptEnded{
				Call: f.Call, Attempt: f.Attempt, Outcome: retry.NotRun, Failed: true, Unreachable: tt.unreachable, Queue: -1,
			})
			for _, v := range e.state.Dump().Balance {
				is.Equal(!v.EjectedUntil.IsZero(), v.ID == f.Target && tt.unreachable)
			}
		})
	}
}
