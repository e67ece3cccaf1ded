package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// TestNodeRefusesAllAfterClockSetBack guards against a node that serves nothing for the rest of
// its life, since it was started while its clock was ahead and again after that was corrected.
func TestNodeRefusesAllAfterClockSetBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimitedMesh(t, 1)
	const node = "a1"
	for range 3 { // each start finds the entry of the one before
		start := l.Node(node).Config.Incarnation.Start - time.Hour.Milliseconds()
		n := l.Restart(node)
		n.Config.Incarnation.Start = start
		n.State = core.New(n.Config)
		l.Run(5 * time.Second)
		since := l.Now
		l.Run(2 * time.Second)
		is.True(len(l.runsAt(node, since)) >= 2*40) // a tenth of the load of 50 a second from each of nine nodes
	}
}

// TestProcessAnswersForAnother has two processes of a node learn of a later life of the node and
// announce a still later one each. None answers for the other: it does not know what that one ran.
func TestProcessAnswersForAnother(t *testing.T) {
	is := is.New(t)
	later := endpoint.Entry{
		ID: "n", Service: "orders", DataCentre: "dc", Peer: "n", Hop: "n", State: endpoint.Ready, Sequence: 9,
		Incarnation: endpoint.Incarnation{Start: 1_000_000, Random: 77},
	}
	h := newAnnouncedNode(t)
	h.step(heartbeat("a", 10, 1, endpoint.Ready))
	first := h.state.OwnEntryForTest().Incarnation
	h.state.ReceiveForTest(later)
	announced := h.state.OwnEntryForTest().Incarnation
	is.True(announced.Compare(later.Incarnation) > 0)
	send := func(to endpoint.Incarnation) admission.Reason {
		h.attempts++
		id := core.AttemptID{Origin: 1, Number: h.attempts}
		effects := h.step(core.AttemptArrived{Attempt: id, Budget: time.Second, ForIncarnation: to})
		if refuse, ok := firstEffect[core.Refuse](effects); ok {
			return refuse.Reason
		}
		h.step(core.AttemptDone{Attempt: id, Status: 200, Took: time.Millisecond})
		return ""
	}
	is.Equal(send(announced), admission.Reason(""))
	is.Equal(send(first), admission.Reason("")) // by a node that has not heard of the later one
	is.Equal(send(later.Incarnation), admission.WrongIncarnation)

	h.restart()
	h.step(heartbeat("a", 10, 2, endpoint.Ready))
	h.state.ReceiveForTest(later)
	is.Equal(send(h.state.OwnEntryForTest().Incarnation), admission.Reason(""))
	is.Equal(send(announced), admission.WrongIncarnation)
	is.Equal(send(first), admission.WrongIncarnation)
}
