package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/retry"
)

// hostNode is a reducer beside a backend server that tells of itself.
type hostNode struct {
	t        *testing.T
	state    *core.State
	now      time.Time
	attempts uint64
}

func newHostNode(t *testing.T) *hostNode {
	t.Helper()
	h := &hostNode{t: t, now: time.Unix(1_800_000_000, 0), state: core.New(core.Config{
		Node: "n", DataCentre: "dc", Peer: "n", Hop: "n", Service: "orders", Announced: true, Source: true, SilentAfter: 6 * time.Second,
		Incarnation: endpoint.Incarnation{Start: 1}, Seed: 1,
	})}
	h.step(core.Tick{})
	return h
}

func (h *hostNode) step(e core.Event) []core.Effect {
	return append([]core.Effect(nil), h.state.Reduce(h.now, e)...)
}

// after lets time pass.
func (h *hostNode) after(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(core.Tick{})
}

// arrive sends an attempt in and returns the backend server that it is to run
// at, or why it is refused.
func (h *hostNode) arrive() (backend string, refused admission.Reason) {
	h.t.Helper()
	h.attempts++
	id := core.AttemptID{Origin: 1, Number: h.attempts}
	effects := h.step(core.AttemptArrived{Attempt: id, Budget: time.Second})
	if run, ok := firstEffect[core.Run](effects); ok {
		h.step(core.AttemptDone{Attempt: id, Status: 200, Took: time.Millisecond})
		return run.Backend, ""
	}
	refuse, ok := firstEffect[core.Refuse](effects)
	if !ok || refuse.Outcome != retry.NotRun {
		h.t.Fatalf("neither run nor refused as not run: %v", effects)
	}
	return "", refuse.Reason
}

func beat(backend string, born int64, sequence uint64, state endpoint.State) core.BackendReported {
	return core.BackendReported{Backend: backend, Service: "orders", StartMillis: born, Sequence: sequence, State: state, Slots: 2}
}

func TestBackendServerIsWhatItSaysLast(t *testing.T) {
	const ready, draining, gone = endpoint.Ready, endpoint.Draining, endpoint.Gone
	for _, tt := range []struct {
		name  string
		beats []core.BackendReported
		runs  string // the backend server that gets an attempt; empty: refused
	}{
		{"nothing", nil, ""},
		{"ready", []core.BackendReported{beat("a", 10, 1, ready)}, "a"},
		{"draining", []core.BackendReported{beat("a", 10, 1, ready), beat("a", 10, 2, draining)}, ""},
		{"a late heartbeat of a draining one", []core.BackendReported{beat("a", 10, 1, ready), beat("a", 10, 3, draining), beat("a", 10, 2, ready)}, ""},
		{"a draining one that says it is ready", []core.BackendReported{beat("a", 10, 1, draining), beat("a", 10, 2, ready)}, ""},
		{"ended", []core.BackendReported{beat("a", 10, 1, ready), beat("a", 10, 0, gone)}, ""},
		{"ended without a time of birth", []core.BackendReported{beat("a", 10, 1, ready), beat("a", 0, 0, gone)}, ""},
		{"the next life", []core.BackendReported{beat("a", 10, 8, draining), beat("b", 20, 1, ready)}, "b"},
		{"the next life of one name", []core.BackendReported{beat("a", 10, 8, draining), beat("a", 20, 1, ready)}, "a"},
		{"a late heartbeat of the life before", []core.BackendReported{beat("a", 10, 8, ready), beat("b", 20, 1, draining), beat("a", 10, 9, ready)}, ""},
		{"the end of the life before", []core.BackendReported{beat("a", 10, 8, ready), beat("b", 20, 1, ready), beat("a", 10, 0, gone)}, "b"},
		{"another service", []core.BackendReported{{Backend: "a", Service: "books", StartMillis: 10, Sequence: 1, State: ready, Slots: 1}}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHostNode(t)
			for _, b := range tt.beats {
				h.step(b)
			}
			runs, refused := h.arrive()
			is.Equal(runs, tt.runs)
			if tt.runs == "" {
				is.Equal(refused, admission.NotServing)
			}
		})
	}
}

// TestSilentBackendServerHasFailed checks that one which neither tells of
// itself nor answers gets nothing more, and that answers count as life.
func TestSilentBackendServerHasFailed(t *testing.T) {
	is := is.New(t)
	h := newHostNode(t)
	h.step(beat("a", 10, 1, endpoint.Ready))
	h.after(5 * time.Second)
	runs, _ := h.arrive()
	is.Equal(runs, "a")
	h.after(5 * time.Second) // not heard for 10 s, but it has answered
	runs, _ = h.arrive()
	is.Equal(runs, "a")
	h.after(7 * time.Second)
	_, refused := h.arrive()
	is.Equal(refused, admission.NotServing)
	h.step(beat("a", 10, 2, endpoint.Ready))
	runs, _ = h.arrive()
	is.Equal(runs, "a")
}

// TestSlotsAreWhatTheBackendServerSays checks that as many run at once as it
// has told.
func TestSlotsAreWhatTheBackendServerSays(t *testing.T) {
	is := is.New(t)
	h := newHostNode(t)
	h.step(beat("a", 10, 1, endpoint.Ready))
	run := 0
	for i := range uint64(5) {
		if _, ok := firstEffect[core.Run](h.step(core.AttemptArrived{Attempt: core.AttemptID{Number: i}, Budget: time.Second})); ok {
			run++
		}
	}
	is.Equal(run, 2)
}
