package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
)

// TestRestoredPlatformForgetsLeaving guards against requests for a backend server whose leaving was
// kept by a platform that has been restored from an earlier copy since, after the end of the process.
func TestRestoredPlatformForgetsLeaving(t *testing.T) {
	for name, leave := range map[string]func(h *announcedNode) bool{
		"draining":     func(h *announcedNode) bool { return h.report(heartbeat("b", 20, 9, endpoint.Draining)) },
		"deregistered": func(h *announcedNode) bool { return h.report(ended("b", 20)) },
		"by an answer": func(h *announcedNode) bool {
			h.step(core.BackendAnswered{BackendNotice: core.BackendNotice{Backend: "b", StartMillis: 20, Leaving: true}})
			return true
		},
		"by an operator": func(h *announcedNode) bool { return h.drain() == core.ReportApplied },
	} {
		for _, lost := range []string{"", `{"backend":"a","started":10,"at":1800000000000}`, `{"backend":"b","started":20,"at":1800000000000,"inService":true}`} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				h := newAnnouncedNode(t)
				is.True(h.report(heartbeat("a", 10, 7, endpoint.Draining)))
				is.True(h.report(heartbeat("b", 20, 7, endpoint.Ready)))
				is.True(leave(h))
				h.records.data, h.records.version = []byte(lost), uint64(len(lost)) // zero: no record
				h.step(core.PlatformRestored{Era: 2})
				h.restart()
				is.True(h.report(heartbeat("b", 20, 8, endpoint.Ready)))
				is.Equal(h.runs(), "")
				h.records.reads, h.records.writes = 0, 0
				h.step(core.PlatformRestored{Era: 2}) // as another node tells it, again
				h.step(core.PlatformRestored{Era: 2})
				is.Equal([]int{h.records.reads, h.records.writes}, []int{1, 0})
			})
		}
	}
}

// TestRestoredPlatformBringsBackDrain restores a copy in which an operator has not taken a drain
// back yet.
func TestRestoredPlatformBringsBackDrain(t *testing.T) {
	is := is.New(t)
	h := newAnnouncedNode(t)
	is.True(h.report(heartbeat("a", 10, 7, endpoint.Ready)))
	is.Equal(h.drain(), core.ReportApplied)
	earlier := h.records.data
	is.Equal(h.takeBack(), core.ReportApplied)
	h.records.data, h.records.version = earlier, 1
	h.step(core.PlatformRestored{Era: 2})
	is.True(h.report(heartbeat("a", 10, 8, endpoint.Ready)))
	is.Equal(h.runs(), "a")
	h.restart()
	is.True(h.report(heartbeat("a", 10, 9, endpoint.Ready)))
	is.Equal(h.runs(), "a")
}

// TestRestoreIsToldToAllNodes restores the platform from a copy without a record, which one node
// alone notices: it is another one that has to write it again.
func TestRestoreIsToldToAllNodes(t *testing.T) {
	is := is.New(t)
	m := coretest.New(3)
	for i := range 12 {
		m.Start(fmt.Sprint("a", i+1), core.Config{DataCentre: "a", Service: "orders", Announced: true, Source: true, Fanout: 2})
	}
	m.Start("b1", core.Config{DataCentre: "b", Service: "orders", Announced: true, Source: true, Fanout: 2})
	m.Run(10 * time.Second)
	backup := m.Store.Copy()
	for _, n := range m.Nodes() {
		m.Step(n.Name, core.BackendReported{Backend: n.Name, Service: "orders", StartMillis: 10, Sequence: 1, State: endpoint.Draining, Slots: 2})
	}
	m.Run(time.Second)
	m.Store.Restore(backup)
	m.Step("b1", core.PlatformRestored{Era: 2})
	m.Run(10 * time.Second)
	left, _, err := m.Store.List(t.Context(), keyspace.Leavings)
	is.NoErr(err)
	is.Equal(len(left), 13)
}
