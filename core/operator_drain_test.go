package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// newOperatedNode returns a node whose backend server, the instance a that started at 10, sends
// heartbeats or is probed.
func newOperatedNode(t *testing.T, probed bool) *announcedNode {
	h := newAnnouncedNode(t)
	h.probed = probed
	h.restart()
	return h
}

// alive lets the backend server show that it is healthy, and returns whether requests run there.
func (h *announcedNode) alive() bool {
	h.t.Helper()
	if h.probed {
		h.advance(5 * time.Second)
		if h.probes > h.probesAnswered {
			h.probesAnswered = h.probes
			h.step(core.BackendProbed{OK: true})
		}
	} else {
		h.attempts++
		h.step(heartbeat("a", 10, h.attempts, endpoint.Ready))
	}
	return h.runs() != ""
}

func (h *announcedNode) drain() core.ReportVerdict {
	h.t.Helper()
	return h.verdict(func(id core.ReportID) core.Event { return core.BackendDraining{Report: id} })
}

func (h *announcedNode) takeBack() core.ReportVerdict {
	h.t.Helper()
	return h.verdict(func(id core.ReportID) core.Event { return core.BackendDrainCancelled{Report: id} })
}

// TestRestartForgetsOperatorDrain guards against requests for a backend server that an operator
// took out of service, after ends of the process that had said so.
func TestRestartForgetsOperatorDrain(t *testing.T) {
	for name, probed := range map[string]bool{"heartbeats": false, "probes": true} {
		for _, restarts := range []int{1, 3} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				h := newOperatedNode(t, probed)
				is.True(h.alive())
				h.step(core.BackendDraining{})
				is.True(!h.alive())
				for range restarts {
					h.restart()
				}
				for range 3 {
					is.True(!h.alive())
				}
				h.step(core.BackendDrainCancelled{})
				is.True(h.alive())
				for range restarts {
					h.restart()
				}
				is.True(h.alive())
			})
		}
	}
}

// TestForgottenDrainIsNoticed shows that the checks of restarts can fail: a process that ignores what
// is kept serves a backend server that was drained, whoever said so.
func TestForgottenDrainIsNoticed(t *testing.T) {
	for _, fault := range []core.RequestFault{"", core.ForgetNotices} {
		for _, probed := range []bool{false, true} {
			is := is.New(t)
			h := newOperatedNode(t, probed)
			is.True(h.alive())
			is.Equal(h.drain(), core.ReportApplied)
			h.fault = fault
			h.restart()
			is.Equal(h.alive(), fault != "")
		}
		is := is.New(t)
		h := newOperatedNode(t, false)
		is.True(h.report(heartbeat("a", 10, 9, endpoint.Draining)))
		h.fault = fault
		h.restart()
		is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
		is.Equal(h.runs() != "", fault != "")
	}
}

// TestOperatorTakesBackOwnLeaving guards against requests for a backend server that has said
// itself that it leaves, since an operator puts it back into service: in this process or a later one.
func TestOperatorTakesBackOwnLeaving(t *testing.T) {
	for _, leaving := range []core.BackendReported{heartbeat("a", 10, 9, endpoint.Draining), ended("a", 10)} {
		for _, tt := range []struct {
			name                                   string
			drainedBefore, restartedFirst, drained bool
		}{
			{name: "alone"}, {name: "drained before", drainedBefore: true}, {name: "drained after", drained: true},
			{name: "drained by the next process", restartedFirst: true, drained: true}, {name: "next process", restartedFirst: true},
		} {
			t.Run(leaving.State.String()+" "+tt.name, func(t *testing.T) {
				is := is.New(t)
				h := newOperatedNode(t, false)
				is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
				if tt.drainedBefore {
					is.Equal(h.drain(), core.ReportApplied)
				}
				is.True(h.report(leaving))
				if tt.restartedFirst {
					h.restart()
				}
				if tt.drained {
					is.Equal(h.drain(), core.ReportApplied)
				}
				is.Equal(h.takeBack(), core.ReportRefused)
				for range 2 {
					is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
					is.Equal(h.runs(), "")
					h.restart()
				}
				is.True(h.report(heartbeat("b", 20, 1, endpoint.Ready)))
				is.Equal(h.runs(), "b")
			})
		}
	}
}

// TestOperatorDrainHoldsForItsInstance starts the next instance of a backend server that an operator
// took out of service.
func TestOperatorDrainHoldsForItsInstance(t *testing.T) {
	is := is.New(t)
	h := newOperatedNode(t, false)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	is.Equal(h.drain(), core.ReportApplied)
	is.True(h.report(heartbeat("a", 20, 1, endpoint.Ready)))
	is.Equal(h.runs(), "a")
	h.restart()
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
	is.Equal(h.runs(), "")
	is.True(h.report(heartbeat("a", 20, 2, endpoint.Ready)))
	is.Equal(h.runs(), "a")
}

// TestTakenBackDrainKeepsEarlierLeaving takes back the drain of an instance whose predecessor had
// left, and delivers a late heartbeat of that one to the next process.
func TestTakenBackDrainKeepsEarlierLeaving(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		is := is.New(t)
		h := newOperatedNode(t, false)
		is.True(h.report(heartbeat("a", 10, 9, endpoint.Draining)))
		is.True(h.report(heartbeat("b", 20, 1, endpoint.Ready)))
		is.Equal(h.drain(), core.ReportApplied)
		if restarted {
			h.restart()
		}
		is.Equal(h.takeBack(), core.ReportApplied)
		is.True(h.report(heartbeat("b", 20, 2, endpoint.Ready)))
		is.Equal(h.runs(), "b")
		h.restart()
		is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
		is.Equal(h.runs(), "")
		is.True(h.report(heartbeat("b", 20, 3, endpoint.Ready)))
		is.Equal(h.runs(), "b")
		is.True(h.report(heartbeat("b", 20, 4, endpoint.Draining))) // its own word counts as ever
		h.restart()
		is.True(h.report(heartbeat("b", 20, 3, endpoint.Ready)))
		is.Equal(h.runs(), "")
	}
}

// TestOperatorDrainWithoutPlatform says that a drain is not kept, which is in force all the same.
func TestOperatorDrainWithoutPlatform(t *testing.T) {
	for name, probed := range map[string]bool{"heartbeats": false, "probes": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newOperatedNode(t, probed)
			is.True(h.alive())
			h.records.down = true
			is.Equal(h.drain(), core.ReportNotKept)
			is.True(!h.alive())
			h.records.down = false
			h.advance(10 * time.Second)
			is.Equal(h.drain(), core.ReportApplied)
			h.records.down = true
			is.Equal(h.takeBack(), core.ReportNotKept)
			is.True(h.alive())
			h.records.down = false
			h.advance(10 * time.Second)
			is.Equal(h.takeBack(), core.ReportApplied)
			h.restart()
			is.True(h.alive())
		})
	}
}

// TestProbedServerWithoutPlatform starts a process that is not told whether an operator took the
// backend server out of service: it serves, until it is told.
func TestProbedServerWithoutPlatform(t *testing.T) {
	for name, away := range map[string]func(*leavingStore, bool){
		"down":   func(s *leavingStore, is bool) { s.down = is },
		"silent": func(s *leavingStore, is bool) { s.silent = is },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newOperatedNode(t, true)
			is.True(h.alive())
			is.Equal(h.drain(), core.ReportApplied)
			away(h.records, true)
			probes := h.probes
			h.restart()
			is.Equal(h.probes, probes) // it waits for the platform first
			is.True(h.alive())
			if h.records.silent {
				return // the call is not answered any more
			}
			away(h.records, false)
			h.advance(10 * time.Second)
			is.True(!h.alive())
		})
	}
}

// TestRestartedServerEndsOperatorDrain starts another process at the address of a probed backend
// server that an operator took out of service.
func TestRestartedServerEndsOperatorDrain(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		is := is.New(t)
		h := newOperatedNode(t, true)
		is.True(h.alive())
		is.Equal(h.drain(), core.ReportApplied)
		if restarted {
			h.restart()
		}
		h.step(core.BackendProbed{Refused: true})
		is.True(h.alive())
		h.restart()
		is.True(h.alive())
	}
}

// TestCallsOfOperatorDrain counts the platform calls of a drain that is asked for twice and taken
// back twice.
func TestCallsOfOperatorDrain(t *testing.T) {
	for name, probed := range map[string]bool{"heartbeats": false, "probes": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newOperatedNode(t, probed)
			is.True(h.alive())
			h.records.reads = 0
			for range 2 {
				is.Equal(h.drain(), core.ReportApplied)
			}
			is.Equal([]int{h.records.reads, h.records.writes}, []int{0, 1})
			for range 2 {
				is.Equal(h.takeBack(), core.ReportApplied)
			}
			is.Equal([]int{h.records.reads, h.records.writes}, []int{0, 2})
		})
	}
}
