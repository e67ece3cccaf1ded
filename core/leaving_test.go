package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
)

// leavingStore is the part of the platform that holds the records of leavings. It outlives the
// processes of a node.
type leavingStore struct {
	data     []byte
	version  uint64 // zero: no record
	revision uint64
	down     bool // calls fail, and nothing is written
	silent   bool // calls get no answer, and nothing is written
	loses    int  // so many writes take effect, but their answers are lost
	reads    int
	writes   int
}

// answer answers an effect that is a call for a record.
func (s *leavingStore) answer(e core.Effect) (core.StoreDone, bool) {
	done := core.StoreDone{}
	switch e := e.(type) {
	case core.StoreGet:
		if !strings.HasPrefix(e.Key, keyspace.Leavings) {
			return done, false
		}
		s.reads++
		done.Call = e.Call
		switch {
		case s.down:
			done.Err = core.StoreFailed
		case s.version == 0:
			done.Err = core.StoreNotFound
		default:
			done.Objects = []core.StoreObject{{Key: e.Key, Version: s.version, Data: s.data}}
		}
	case core.StorePut:
		if !strings.HasPrefix(e.Key, keyspace.Leavings) {
			return done, false
		}
		s.writes++
		done.Call = e.Call
		s.put(e, &done)
	default:
		return done, false
	}
	return done, !s.silent
}

func (s *leavingStore) put(e core.StorePut, done *core.StoreDone) {
	switch {
	case s.down || s.silent:
		done.Err = core.StoreFailed
		return
	case e.Base != s.version:
		done.Err = core.StoreConflict
		return
	}
	s.revision++
	s.data, s.version = e.Data, s.revision
	done.Version = s.revision
	if s.loses > 0 {
		s.loses--
		done.Err = core.StoreFailed
	}
}

// report delivers a report that the sender waits for, for up to a second, and returns whether
// it was acknowledged.
func (h *announcedNode) report(e core.BackendReported) bool {
	h.t.Helper()
	return h.verdict(func(id core.ReportID) core.Event {
		e.Report = id
		return e
	}) == core.ReportApplied
}

// verdict steps an event with a ReportID and returns its answer, which comes within a second.
func (h *announcedNode) verdict(event func(core.ReportID) core.Event) core.ReportVerdict {
	h.t.Helper()
	h.attempts++
	effects := h.step(event(core.ReportID(h.attempts)))
	for range 20 {
		if a, ok := firstEffect[core.AnswerReport](effects); ok {
			return a.Verdict
		}
		h.now = h.now.Add(50 * time.Millisecond)
		effects = h.step(core.Tick{})
	}
	h.t.Fatal("no answer within a second")
	return 0
}

// runs returns the backend server that a request runs at now, empty for none.
func (h *announcedNode) runs() string {
	h.t.Helper()
	h.advance(50 * time.Millisecond)
	backend, refused := h.sendAttempt()
	if backend == "" && refused == "" {
		return "one without a name"
	}
	return backend
}

// ended is the report that an instance deregisters.
func ended(backend string, startMillis int64) core.BackendReported {
	return core.BackendReported{Backend: backend, StartMillis: startMillis, State: endpoint.Gone}
}

// TestStartForgetsAcknowledgedLeaving guards against requests for a backend server whose
// leaving a process acknowledged that has ended since: whichever call said it, however often
// processes end, and whatever of before arrives late.
func TestStartForgetsAcknowledgedLeaving(t *testing.T) {
	const ready, draining = endpoint.Ready, endpoint.Draining
	for _, tt := range []struct {
		name   string
		before []core.BackendReported // all but the last one to the first process
		late   core.BackendReported   // to the last process
		want   string                 // the backend server that runs a request then
	}{
		{"draining", []core.BackendReported{heartbeat("a", 10, 7, ready), heartbeat("a", 10, 9, draining)}, heartbeat("a", 10, 8, ready), ""},
		{"deregistered", []core.BackendReported{heartbeat("a", 10, 7, ready), ended("a", 10)}, heartbeat("a", 10, 8, ready), ""},
		{"deregistered without a start time", []core.BackendReported{heartbeat("a", 10, 7, ready), ended("a", 0)}, heartbeat("a", 10, 8, ready), ""},
		{"deregistered first of all", []core.BackendReported{ended("a", 10)}, heartbeat("a", 10, 8, ready), ""},
		{"first of all without a start time", []core.BackendReported{ended("a", 0)}, heartbeat("a", 10, 8, ready), ""},
		{"both", []core.BackendReported{heartbeat("a", 10, 7, draining), ended("a", 10)}, heartbeat("a", 10, 8, ready), ""},
		{"without start times", []core.BackendReported{heartbeat("a", 0, 7, ready), heartbeat("a", 0, 9, draining)}, heartbeat("a", 0, 8, ready), ""},
		{"an earlier instance comes late", []core.BackendReported{heartbeat("a", 10, 7, ready), heartbeat("b", 20, 1, draining)}, heartbeat("a", 10, 8, ready), ""},
		{"an earlier instance of its name", []core.BackendReported{heartbeat("a", 20, 1, draining)}, heartbeat("a", 10, 8, ready), ""},
		{"next instance", []core.BackendReported{heartbeat("a", 10, 7, draining)}, heartbeat("b", 20, 1, ready), "b"},
		{"next instance of its name", []core.BackendReported{heartbeat("a", 10, 7, draining)}, heartbeat("a", 20, 1, ready), "a"},
		{"next instance of its name, end without a start time", []core.BackendReported{ended("a", 0)}, heartbeat("a", 1_900_000_000_000, 1, ready), "a"},
		{"end of an earlier instance", []core.BackendReported{heartbeat("a", 10, 7, ready), heartbeat("b", 20, 1, ready), ended("a", 10)}, heartbeat("b", 20, 2, ready), "b"},
	} {
		for _, restarts := range []int{1, 3} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				h := newAnnouncedNode(t)
				for _, e := range tt.before {
					is.True(h.report(e))
				}
				for range restarts {
					h.restart()
				}
				is.True(h.report(tt.late))
				is.Equal(h.runs(), tt.want)
				h.advance(10 * time.Second)
				h.step(heartbeat(tt.late.Backend, tt.late.StartMillis, tt.late.Sequence+1, ready))
				is.Equal(h.runs(), tt.want)
			})
		}
	}
}

// TestLeavingBeforeStartIsKnown delivers heartbeats to a process that has not read yet what the
// one before it kept.
func TestLeavingBeforeStartIsKnown(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 9, endpoint.Draining)))
	h.records.silent = true
	h.restart()
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	is.Equal(h.runs(), "")
	h.records.silent = false
	h.restart()
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
	is.Equal(h.runs(), "")
	is.True(h.report(heartbeat("a", 20, 1, endpoint.Ready)))
	is.Equal(h.runs(), "a")
}

// TestLeavingIsAcknowledgedUnkept guards against an acknowledgement that only this process knows
// of: while the platform is away or its answers are lost. Requests end at once all the same.
func TestLeavingIsAcknowledgedUnkept(t *testing.T) {
	for _, report := range []core.BackendReported{heartbeat("a", 10, 9, endpoint.Draining), ended("a", 10)} {
		t.Run(report.State.String(), func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
			h.records.down = true
			is.True(!h.report(report))
			is.Equal(h.runs(), "")
			h.records.down = false
			h.advance(10 * time.Second)
			is.True(h.report(report))
			h.records.silent = true // a process that knows needs no call
			is.True(h.report(report))
			h.records.silent = false
			h.restart()
			is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
			is.Equal(h.runs(), "")
		})
	}
}

// TestLeavingBehindHigherSequence guards against a leaving that is acknowledged and dropped
// since a report with a higher sequence came before it, be it another writer's or the sender's own.
func TestLeavingBehindHigherSequence(t *testing.T) {
	for _, leaving := range []core.BackendReported{heartbeat("a", 10, 8, endpoint.Draining), ended("a", 10)} {
		t.Run(leaving.State.String(), func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
			is.True(h.report(heartbeat("a", 10, 4000, endpoint.Ready)))
			is.True(h.report(leaving))
			is.Equal(h.runs(), "")
			is.True(h.report(heartbeat("a", 10, 4001, endpoint.Ready)))
			is.Equal(h.runs(), "")
		})
	}
}

// TestLostAnswerToLeavingIsSettled loses the platform's answer to the write.
func TestLostAnswerToLeavingIsSettled(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	h.records.loses = 1
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Draining)))
	is.Equal(h.records.writes, 1)
}

// TestStoppingProcessAcknowledgesKeptLeaving has the backend server leave during a planned stop.
func TestStoppingProcessAcknowledgesKeptLeaving(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	h.step(core.Stop{})
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Draining)))
	h.restart()
	is.True(h.report(heartbeat("a", 10, 9, endpoint.Ready)))
	is.Equal(h.runs(), "")
}

// TestCallsOfLeaving counts the platform calls of a leaving that is told three times, with an
// answer that says it too, and those of a start.
func TestCallsOfLeaving(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.Equal([]int{h.records.reads, h.records.writes}, []int{1, 0})
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	h.step(core.BackendAnswered{BackendNotice: core.BackendNotice{Backend: "a", StartMillis: 10, Leaving: true}})
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Draining)))
	is.True(h.report(heartbeat("a", 10, 9, endpoint.Draining)))
	is.True(h.report(ended("a", 10)))
	is.Equal([]int{h.records.reads, h.records.writes}, []int{1, 1})
	is.True(h.report(heartbeat("a", 20, 1, endpoint.Ready)))
	is.True(h.report(heartbeat("a", 20, 2, endpoint.Draining)))
	is.Equal([]int{h.records.reads, h.records.writes}, []int{1, 2})
}

// TestFirstStartReadsNothing starts the whole mesh for the first time, where no process has kept
// anything before. What it keeps itself is read by the next one.
func TestFirstStartReadsNothing(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	h.records.reads = 0
	h.firstStart = true
	h.restart()
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	is.Equal(h.runs(), "a")
	is.Equal(h.records.reads, 0)
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Draining)))
	is.Equal([]int{h.records.reads, h.records.writes}, []int{0, 1})
	h.firstStart = false
	h.restart()
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	is.Equal(h.runs(), "")
	h.firstStart = true // wrongly: the write meets the record, which is read then
	h.restart()
	is.True(h.report(heartbeat("b", 20, 1, endpoint.Ready)))
	is.True(h.report(heartbeat("b", 20, 2, endpoint.Draining)))
	is.Equal([]int{h.records.reads, h.records.writes}, []int{2, 3})
}

// TestReportForAnotherServiceIsAcknowledged guards against an acknowledgement of a report that names
// another service and is not applied.
func TestReportForAnotherServiceIsAcknowledged(t *testing.T) {
	for _, state := range []endpoint.State{endpoint.Ready, endpoint.Draining} {
		is := is.New(t)
		h := newAnnouncedNode(t)
		is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
		other := heartbeat("a", 10, 8, state)
		other.Service, other.Report = "books", 1000
		answer, ok := firstEffect[core.AnswerReport](h.step(other))
		is.True(ok)
		is.Equal(answer.Verdict, core.ReportRefused)
		is.Equal(h.runs(), "a")
	}
}

// TestServerLeavingInAnswerIsForgotten lets an answer alone say that the backend server leaves.
func TestServerLeavingInAnswerIsForgotten(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	h.step(core.BackendAnswered{BackendNotice: core.BackendNotice{Backend: "a", StartMillis: 10, Leaving: true}})
	h.restart()
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
	is.Equal(h.runs(), "")
}

// TestDeletedRecordOfLeaving deletes the record of a leaving, as the sweep of old ones does, and
// has the next instance leave.
func TestDeletedRecordOfLeaving(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Draining)))
	h.records.data, h.records.version = nil, 0
	is.True(h.report(heartbeat("b", 20, 1, endpoint.Ready)))
	is.True(h.report(heartbeat("b", 20, 2, endpoint.Draining)))
	h.restart()
	is.True(h.report(heartbeat("b", 20, 1, endpoint.Ready)))
	is.Equal(h.runs(), "")
}

// TestOddLeavingRecord starts a process whose record another program has overwritten.
func TestOddLeavingRecord(t *testing.T) {
	for name, data := range map[string]string{"no JSON": "][", "other types": `{"backend":7}`, "empty": `{}`, "null": `null`,
		"started too late": `{"backend":"a","started":9000000000000000000,"at":1800000000000}`, "said too late": `{"backend":"a","at":9000000000000000000}`,
		"drained too late": `{"operator":true,"at":9000000000000000000}`, "number too large": `{"backend":"a","started":1e400}`,
		"deeply nested": `{"backend":"a","at":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newAnnouncedNode(t)
			h.records.data, h.records.version, h.records.revision = []byte(data), 9, 9
			h.restart()
			is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
			is.Equal(h.runs(), "a")
			is.True(h.report(heartbeat("a", 10, 8, endpoint.Draining)))
			h.restart()
			is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
			is.Equal(h.runs(), "")
		})
	}
}

// TestSweepOfLeavings has a root delete the old records of its data centre, and no others.
func TestSweepOfLeavings(t *testing.T) {
	is := is.New(t)
	m := coretest.New(1)
	record := func(age time.Duration) []byte {
		return fmt.Appendf(nil, `{"backend":"i","started":7,"at":%d}`, m.Now.Add(-age).UnixMilli())
	}
	for key, data := range map[string][]byte{
		"a/young": record(23 * time.Hour), "a/old": record(25 * time.Hour), "a/older": record(250 * time.Hour), "a/odd": []byte("]["),
		"a/operator": fmt.Appendf(nil, `{"backend":"i","started":7,"at":%d,"operator":true}`, m.Now.Add(-250*time.Hour).UnixMilli()),
		"b/old":      record(25 * time.Hour), // of a data centre without a root
	} {
		_, err := m.Store.Put(t.Context(), keyspace.Leavings+key, data, 0)
		is.NoErr(err)
	}
	for i := range 3 {
		m.Start(fmt.Sprint("a", i+1), core.Config{DataCentre: "a", Service: "orders", Announced: true, Source: true, SweepEvery: 20 * time.Second})
	}
	m.Run(time.Minute)
	left, _, err := m.Store.List(t.Context(), keyspace.Leavings)
	is.NoErr(err)
	var keys []string
	for _, o := range left {
		keys = append(keys, o.Key)
	}
	is.Equal(keys, []string{keyspace.Leavings + "a/operator", keyspace.Leavings + "a/young", keyspace.Leavings + "b/old"})
}
