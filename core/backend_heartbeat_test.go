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

// announcedNode drives the reducer of a node whose backend server announces
// itself with heartbeats.
type announcedNode struct {
	t          *testing.T
	state      *core.State
	now        time.Time
	attempts   uint64
	starts     int64 // processes so far
	firstStart bool
	probed     bool              // the backend server sends no heartbeats, and is probed
	fault      core.RequestFault // of the processes that are started
	probes     int               // of the backend server

	probesAnswered int // those that were asked for before
	records        *leavingStore
}

func newAnnouncedNode(t *testing.T) *announcedNode {
	t.Helper()
	h := &announcedNode{t: t, now: time.Unix(1_800_000_000, 0), records: &leavingStore{}}
	h.restart()
	return h
}

// restart replaces the node's process, which ends without a word.
func (h *announcedNode) restart() {
	h.starts++
	h.probesAnswered = h.probes
	h.state = core.New(core.Config{
		Node: "n", DataCentre: "dc", Peer: "n", Hop: "n", Service: "orders", Announced: !h.probed, FirstStart: h.firstStart, Source: true, SilentAfter: 6 * time.Second,
		Incarnation: endpoint.Incarnation{Start: h.starts, Random: uint32(100 + h.starts)}, Seed: 1,
	})
	h.state.InjectRequestFault(h.fault)
	h.step(core.Tick{})
}

// step processes an event and answers the calls for the records of leavings that follow. It
// returns all effects.
func (h *announcedNode) step(e core.Event) []core.Effect {
	var all []core.Effect
	for events := []core.Event{e}; len(events) > 0; events = events[1:] {
		effects := append([]core.Effect(nil), h.state.Reduce(h.now, events[0])...)
		all = append(all, effects...)
		for _, effect := range effects {
			if _, ok := effect.(core.ProbeBackend); ok {
				h.probes++
			}
			if done, ok := h.records.answer(effect); ok {
				events = append(events, done)
			}
		}
	}
	return all
}

// advance moves the clock forward and ticks once.
func (h *announcedNode) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(core.Tick{})
}

// sendAttempt delivers an attempt to the node and returns the backend server that
// it is to run at, or the reason for which it is refused.
func (h *announcedNode) sendAttempt() (backend string, refused admission.Reason) {
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
		h.t.Fatalf("attempt is neither run nor refused as not run: %v", effects)
	}
	return "", refuse.Reason
}

func heartbeat(backend string, startMillis int64, sequence uint64, state endpoint.State) core.BackendReported {
	return core.BackendReported{Backend: backend, Service: "orders", StartMillis: startMillis, Sequence: sequence, State: state, Slots: 2}
}

func TestNewestBackendHeartbeatDecides(t *testing.T) {
	const ready, draining, gone = endpoint.Ready, endpoint.Draining, endpoint.Gone
	for _, tt := range []struct {
		name       string
		heartbeats []core.BackendReported
		runs       string // the backend server that gets an attempt; empty: refused
	}{
		{"no heartbeat", nil, ""},
		{"ready", []core.BackendReported{heartbeat("a", 10, 1, ready)}, "a"},
		{"draining", []core.BackendReported{heartbeat("a", 10, 1, ready), heartbeat("a", 10, 2, draining)}, ""},
		{"late heartbeat of a draining instance", []core.BackendReported{heartbeat("a", 10, 1, ready), heartbeat("a", 10, 3, draining), heartbeat("a", 10, 2, ready)}, ""},
		{"ready after draining", []core.BackendReported{heartbeat("a", 10, 1, draining), heartbeat("a", 10, 2, ready)}, ""},
		{"ended", []core.BackendReported{heartbeat("a", 10, 1, ready), heartbeat("a", 10, 0, gone)}, ""},
		{"ended without a start time", []core.BackendReported{heartbeat("a", 10, 1, ready), heartbeat("a", 0, 0, gone)}, ""},
		{"next instance", []core.BackendReported{heartbeat("a", 10, 8, draining), heartbeat("b", 20, 1, ready)}, "b"},
		{"next instance of the same name", []core.BackendReported{heartbeat("a", 10, 8, draining), heartbeat("a", 20, 1, ready)}, "a"},
		{"late heartbeat of the previous instance", []core.BackendReported{heartbeat("a", 10, 8, ready), heartbeat("b", 20, 1, draining), heartbeat("a", 10, 9, ready)}, ""},
		{"end of the previous instance", []core.BackendReported{heartbeat("a", 10, 8, ready), heartbeat("b", 20, 1, ready), heartbeat("a", 10, 0, gone)}, "b"},
		{"another service", []core.BackendReported{{Backend: "a", Service: "books", StartMillis: 10, Sequence: 1, State: ready, Slots: 1}}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			for _, b := range tt.heartbeats {
				h.step(b)
			}
			runs, refused := h.sendAttempt()
			is.Equal(runs, tt.runs)
			if tt.runs == "" {
				is.Equal(refused, admission.NotServing)
			}
		})
	}
}

// TestSilentBackendServerFails checks that a backend server which has neither sent
// a heartbeat nor answered a request for SilentAfter gets no more attempts, and
// that an answer counts as a sign of health.
func TestSilentBackendServerFails(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	h.step(heartbeat("a", 10, 1, endpoint.Ready))
	h.advance(5 * time.Second)
	runs, _ := h.sendAttempt()
	is.Equal(runs, "a")
	h.advance(5 * time.Second) // no heartbeat for 10 s, but it has answered
	runs, _ = h.sendAttempt()
	is.Equal(runs, "a")
	h.advance(7 * time.Second)
	_, refused := h.sendAttempt()
	is.Equal(refused, admission.NotServing)
	h.step(heartbeat("a", 10, 2, endpoint.Ready))
	runs, _ = h.sendAttempt()
	is.Equal(runs, "a")
}

// TestOddSequenceSilencesServer guards against a report of another writer, whole but for its
// sequence, after which those of the backend server itself never count again. A single late one
// still counts for nothing.
func TestOddSequenceSilencesServer(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	h.step(heartbeat("a", 10, 1, endpoint.Ready))
	h.step(heartbeat("a", 10, 1<<53, endpoint.Ready))
	for sequence := range uint64(20) {
		h.advance(1500 * time.Millisecond)
		h.step(heartbeat("a", 10, 2+sequence, endpoint.Ready))
	}
	is.Equal(h.runs(), "a")
	late := heartbeat("a", 10, 3, endpoint.Ready)
	late.Slots = 99
	h.step(late)
	is.Equal(h.runsAtOnce(5), 2)
}

// runsAtOnce sends attempts and returns how many of them run.
func (h *announcedNode) runsAtOnce(attempts int) (run int) {
	for range attempts {
		h.attempts++
		id := core.AttemptID{Origin: 2, Number: h.attempts}
		if _, ok := firstEffect[core.Run](h.step(core.AttemptArrived{Attempt: id, Budget: time.Second})); ok {
			run++
		}
	}
	return run
}

// TestBackendHeartbeatSetsSlots checks that as many attempts run at once as the
// heartbeat has slots.
func TestBackendHeartbeatSetsSlots(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	h.step(heartbeat("a", 10, 1, endpoint.Ready))
	is.Equal(h.runsAtOnce(5), 2)
}

// TestNextBackendServerInheritsLimit checks that what a backend server said of itself
// ends with it.
func TestNextBackendServerInheritsLimit(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	report := core.BackendReported{Backend: "i-1", Service: "orders", StartMillis: 1, Sequence: 1, State: endpoint.Ready, Slots: 4}
	h.step(report)
	h.step(core.BackendAnswered{BackendNotice: core.BackendNotice{Backend: "i-1", StartMillis: 1, Limited: true}})
	_, refused := h.sendAttempt()
	for refused == "" { // one is let through from time to time
		_, refused = h.sendAttempt()
	}
	is.Equal(refused, admission.RateLimited)
	report.Backend, report.StartMillis = "i-2", 2
	h.step(report)
	for range 20 {
		backend, refused := h.sendAttempt()
		is.Equal(refused, admission.Reason(""))
		is.Equal(backend, "i-2")
	}
}

// TestLateHeartbeatBringsBackEndedServer lets a process that has received no heartbeat learn that its
// backend server has ended, and then deliver one that was sent before.
func TestLateHeartbeatBringsBackEndedServer(t *testing.T) {
	tests := []struct {
		name     string
		before   []core.BackendReported
		ended    core.BackendReported
		late     core.BackendReported
		wantsRun string // backend server that an attempt runs at afterwards; empty: none
	}{
		{"no heartbeat before", nil, core.BackendReported{Backend: "i-1", StartMillis: 5, State: endpoint.Gone},
			heartbeat("i-1", 5, 7, endpoint.Ready), ""},
		{"no start time", nil, core.BackendReported{Backend: "i-1", State: endpoint.Gone},
			heartbeat("i-1", 5, 7, endpoint.Ready), ""},
		{"earlier instance in service", []core.BackendReported{heartbeat("i-0", 4, 9, endpoint.Ready)},
			core.BackendReported{Backend: "i-1", StartMillis: 5, State: endpoint.Gone}, heartbeat("i-1", 5, 7, endpoint.Ready), ""},
		{"later instance in service", []core.BackendReported{heartbeat("i-2", 6, 1, endpoint.Ready)},
			core.BackendReported{Backend: "i-1", StartMillis: 5, State: endpoint.Gone}, heartbeat("i-2", 6, 2, endpoint.Ready), "i-2"},
		{"next instance comes", nil, core.BackendReported{Backend: "i-1", StartMillis: 5, State: endpoint.Gone},
			heartbeat("i-2", 6, 1, endpoint.Ready), "i-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			for _, e := range append(tt.before, tt.ended) {
				h.step(e)
			}
			h.advance(2 * time.Second)
			h.step(tt.late)
			h.advance(time.Second)
			run, _ := h.sendAttempt()
			is.Equal(run, tt.wantsRun)
		})
	}
}

// TestRestartForgetsLeavingServer restarts the node's process after its backend server has said
// that it leaves, and then delivers a heartbeat that was sent before.
func TestRestartForgetsLeavingServer(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	h.step(heartbeat("i-1", 5, 7, endpoint.Ready))
	h.step(heartbeat("i-1", 5, 9, endpoint.Draining))
	h.restart()
	h.step(heartbeat("i-1", 5, 8, endpoint.Ready))
	h.advance(time.Second)
	run, _ := h.sendAttempt()
	is.Equal(run, "")
}
