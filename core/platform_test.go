package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// outageSeeds is the number of plays of an outage.
const outageSeeds = 10

// TestCallsDuringAnOutage bounds the calls that nodes make while every
// platform call fails immediately, and checks that they recover.
func TestCallsDuringAnOutage(t *testing.T) {
	const outage = 2 * time.Minute
	tests := []struct {
		name   string
		begin  func(*coretest.Mesh)
		end    func(*coretest.Mesh)
		logged bool // whether the outage is logged as unreachable
	}{
		{"no answer", func(m *coretest.Mesh) { m.Faults.FailBefore = 1 }, func(m *coretest.Mesh) { m.Heal() }, true},
		{"throttled", func(m *coretest.Mesh) {
			m.Store.SetFaults(storetest.Faults{Throttle: func(string, string) bool { return true }})
		}, func(m *coretest.Mesh) { m.Store.SetFaults(storetest.Faults{}) }, false},
	}
	for i := range len(tests) * outageSeeds {
		tt := tests[i/outageSeeds]
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(uint64(1+i%outageSeeds), 5, 4)
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
				t.Logf("%s: %.2f calls per second", name, float64(n)/outage.Seconds())
				is.True(n < int(3*outage.Seconds())) // fast failures do not increase the rate of calls
			}
			is.Equal(codes[notice.PlatformUnreachable] > 0, tt.logged)
			is.Equal(m.Node("a1").State.Dump().ConfigVersion, uint64(1)) // the version in force stays in force
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

// callsOfChange counts the platform calls from a submission to InForce,
// except those for leases and pending watches.
func callsOfChange(t *testing.T, a, b, objects int) (writes, reads int) {
	m := newMesh(11, a, b)
	m.Run(12 * time.Second)
	submitRoute(t, m, "first", "/first")
	m.Run(5 * time.Second)
	m.OnStore = func(_ *coretest.Node, e core.Effect) {
		switch e := e.(type) {
		case core.StorePut:
			if !strings.HasPrefix(e.Key, "lease/") {
				writes++
			}
		case core.StoreDelete:
			writes++
		case core.StoreGet:
			reads++
		}
	}
	sub := config.Submission{ID: "second"}
	for i := range objects {
		o := config.Object{Kind: config.KindService, Name: fmt.Sprintf("s%d", i), Spec: json.RawMessage(`{}`)}
		sub.Puts = append(sub.Puts, config.Put{Object: o})
	}
	data, err := json.Marshal(sub)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Store.Put(context.Background(), "submission/second", data, 0); err != nil {
		t.Fatal(err)
	}
	if !m.RunUntil(20*time.Second, func() bool { return readStatus(t, m, "second").Phase == status.InForce }) {
		t.Fatal("submission not in force within 20 s")
	}
	return writes, reads
}

// TestCallsOfAChange checks that the platform load of a change does not
// grow with the number of nodes or of changed objects.
func TestCallsOfAChange(t *testing.T) {
	is := is.New(t)
	const writes = 6      // chunk, manifest, head, two statuses, removal of the submission
	const reads = 1 + 2*2 // one status; at most a manifest and a chunk for each of two roots
	for _, size := range []struct{ a, b, objects int }{{2, 1, 1}, {8, 6, 1}, {20, 20, 1}, {2, 1, 100}} {
		w, r := callsOfChange(t, size.a, size.b, size.objects)
		t.Logf("%d nodes, %d objects: %d writes and %d reads", size.a+size.b, size.objects, w, r)
		is.Equal(w, writes)
		is.True(r <= reads)
	}
}
