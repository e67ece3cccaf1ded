package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/platform/platformtest"
)

// TestCallsDuringAnOutage counts what nodes ask of a platform that refuses
// every call at once.
func TestCallsDuringAnOutage(t *testing.T) {
	const outage = 2 * time.Minute
	tests := []struct {
		name   string
		begin  func(*coretest.Mesh)
		end    func(*coretest.Mesh)
		logged bool // as unreachable
	}{
		{"no answer", func(m *coretest.Mesh) { m.Faults.FailBefore = 1 }, func(m *coretest.Mesh) { m.Heal() }, true},
		{"rate refused", func(m *coretest.Mesh) {
			m.Store.SetFaults(platformtest.Faults{Throttle: func(string, string) bool { return true }})
		}, func(m *coretest.Mesh) { m.Store.SetFaults(platformtest.Faults{}) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(3, 5, 4)
			submitRoute(t, m, "before", "/before")
			m.Run(5 * time.Second)
			calls, codes := map[string]int{}, map[notice.Code]int{}
			m.OnStore = func(n *coretest.Node, _ core.Effect) { calls[n.Name]++ }
			m.OnEffect = func(n *coretest.Node, e core.Effect) {
				if l, ok := e.(core.Log); ok {
					codes[l.Code]++
				}
			}
			submitRoute(t, m, "during", "/during")
			tt.begin(m)
			m.Restart("a5")
			m.Restart("b4")
			m.Run(outage)
			for name, n := range calls {
				t.Logf("%s: %.2f calls a second", name, float64(n)/outage.Seconds())
				is.True(n < int(3*outage.Seconds())) // a node that fails at once asks no more often
			}
			is.Equal(codes[notice.PlatformUnreachable] > 0, tt.logged)
			is.Equal(m.Node("a1").State.Dump().ConfigVersion, uint64(1)) // what is in force stays so
			tt.end(m)
			is.True(m.RunUntil(20*time.Second, func() bool { return readStatus(t, m, "during").Phase == status.InForce }))
			is.Equal(codes[notice.PlatformReachable] > 0, tt.logged)
			is.True(m.RunUntil(20*time.Second, func() bool { return allReady(m) }))
		})
	}
}

func allReady(m *coretest.Mesh) bool {
	for _, n := range m.Nodes() {
		if ready, _ := n.State.Ready(); n.Alive && !ready {
			return false
		}
	}
	return true
}
