package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// maxRelease is the longest time for which an idle node may wait for the platform before it
// ends: half a second, and a tick before and after.
const maxRelease = 500*time.Millisecond + 2*100*time.Millisecond

// TestGivingUpLeasesDelaysEndOfStop guards against a stop that waits for the platform beyond
// its end, or by more than half a second if nothing else is to be waited for.
func TestGivingUpLeasesDelaysEndOfStop(t *testing.T) {
	const atLeast = time.Second
	environments := map[string]func(m *coretest.Mesh, ending string){
		"calm":          func(*coretest.Mesh, string) {},
		"platform down": func(m *coretest.Mesh, _ string) { m.Faults.PlatformDown = true },
		"node cut off":  func(m *coretest.Mesh, ending string) { m.PartitionStore(ending) },
		"platform slow": func(m *coretest.Mesh, _ string) { m.Faults.PlatformDelay = 20 * time.Second },
		"answers lost":  func(m *coretest.Mesh, _ string) { m.Faults.LoseAnswer = 1 },
		"calls fail":    func(m *coretest.Mesh, _ string) { m.Faults.FailBefore = 1 },
		"calls throttled": func(m *coretest.Mesh, _ string) {
			m.Store.SetFaults(storetest.Faults{Throttle: func(string, string) bool { return true }})
		},
	}
	for name, disturb := range environments {
		for _, tt := range []struct {
			name   string
			atMost time.Duration
			busy   bool          // a call is in flight to the end
			before time.Duration // from the disturbance to the stop
		}{
			{"idle", 10 * time.Second, false, 0},
			{"busy", 3 * time.Second, true, 0},
			{"busy, disturbed before", 3 * time.Second, true, 2 * time.Second},
			{"as short as it can be", atLeast, true, 0},
			{"idle, disturbed as it ends", 10 * time.Second, false, -atLeast + 50*time.Millisecond},
			{"busy, disturbed as it ends", 3 * time.Second, true, -2450 * time.Millisecond},
		} {
			t.Run(name+", "+tt.name, func(t *testing.T) {
				is := is.New(t)
				m := coretest.New(8)
				for _, node := range []string{"a1", "a2", "a3"} {
					m.Start(node, core.Config{
						DataCentre: "a", Service: "orders", Fanout: 2, Seeds: []string{"a1"}, DrainAtLeast: atLeast, DrainAtMost: tt.atMost,
					})
				}
				submitRoute(t, m, "first", "/first")
				m.Run(10 * time.Second)
				ending := roots(m)[0]
				tr := coretest.NewTraffic(m)
				tr.RunTime = func(string, *coretest.Call) time.Duration { return time.Hour }
				if tt.busy {
					tr.Call(ending, core.CallArrived{Method: "GET", Path: "/first", Replayable: true})
				}
				if tt.before >= 0 {
					disturb(m, ending)
					m.Run(tt.before)
				} else {
					m.After(-tt.before, func() { disturb(m, ending) })
				}
				m.Step(ending, core.Stop{})
				began := m.Now
				is.True(m.RunUntil(time.Minute, func() bool { return !m.Node(ending).Alive }))
				took, tick := m.Now.Sub(began), m.Node(ending).Config.TickEvery
				is.True(took <= tt.atMost+tick)
				is.True(tt.busy || took <= atLeast+maxRelease)
			})
		}
	}
}
