package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/notice"
)

// TestNodeAddedDuringOutageIsKnownLate starts a node while the platform answers no call of
// it. The others must know its backend server soon after the first of its calls
// that is answered.
func TestNodeAddedDuringOutageIsKnownLate(t *testing.T) {
	const added = "a9"
	const limit = 650 * time.Millisecond // a call that is in flight fails within 500 ms; a tick, and the messages of a join
	for seed := range uint64(24) {
		is := is.New(t)
		m := newSourceMesh(t, seed)
		m.PartitionStore(added)
		m.Start(added, m.Node("a1").Config)
		m.Step(added, core.BackendReported{Backend: added, Service: "orders", StartMillis: 1, Sequence: 1, State: endpoint.Ready, Slots: 8})
		m.Run(5 * time.Second)
		var reached time.Time
		m.OnEffect = func(n *coretest.Node, e core.Effect) {
			if l, ok := e.(core.Log); ok && n.Name == added && l.Code == notice.PlatformReachable && reached.IsZero() {
				reached = m.Now
			}
		}
		m.HealStore(added)
		known := m.RunUntil(10*time.Second, func() bool {
			return slices.ContainsFunc(m.Node("b5").State.Dump().Endpoints, func(e endpoint.Entry) bool { return e.ID == added })
		})
		t.Logf("seed %d: known %v after the platform was reached", seed, m.Now.Sub(reached))
		is.True(known && !reached.IsZero())
		is.True(m.Now.Sub(reached) < limit)
	}
}
