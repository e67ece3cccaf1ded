package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/internal/testseed"
)

// newMesh starts nodes named a1, a2, …, b1, b2, … in data centres a and b.
func newMesh(seed uint64, a, b int) *coretest.Mesh {
	m := coretest.New(seed)
	for i := range max(a, b) {
		for _, dc := range []struct {
			name  string
			nodes int
		}{{"a", a}, {"b", b}} {
			if i < dc.nodes {
				m.Start(fmt.Sprintf("%s%d", dc.name, i+1), core.Config{DataCentre: dc.name, Service: "orders", Fanout: 2})
			}
		}
	}
	m.Run(time.Second)
	return m
}

// submitRoute submits one service and a route to it.
func submitRoute(t testingT, m *coretest.Mesh, id, prefix string) {
	t.Helper()
	submitObjects(t, m, id,
		object(config.KindService, "orders", `{}`),
		object(config.KindRoute, "orders", fmt.Sprintf(`{"pathPrefix":%q,"service":"orders"}`, prefix)))
}

// submitObjects submits objects, whatever version of them is published.
func submitObjects(t testingT, m *coretest.Mesh, id string, objects ...config.Object) {
	t.Helper()
	if err := m.CreateObject("submission/"+id, encodeSubmission(t, id, objects)); err != nil {
		t.Fatal(err)
	}
}

func encodeSubmission(t testingT, id string, objects []config.Object) []byte {
	t.Helper()
	sub := config.Submission{ID: id}
	for _, o := range objects {
		sub.Puts = append(sub.Puts, config.Put{Object: o, AnyBase: true})
	}
	data, err := json.Marshal(sub)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func readStatus(t testingT, m *coretest.Mesh, id string) status.Status {
	t.Helper()
	o, err := m.Store.Get(context.Background(), "status/"+id)
	if err != nil {
		return status.Status{ID: id, Phase: status.Pending}
	}
	var st status.Status
	if err := json.Unmarshal(o.Data, &st); err != nil {
		t.Fatal(err)
	}
	return st
}

func TestMain(m *testing.M) { testseed.Main(m) }

func TestChangeReachesEveryNode(t *testing.T) {
	is := is.New(t)
	m := newMesh(1, 7, 4) // at fanout 2 the tree of 7 nodes has three levels
	m.Run(5 * time.Second)
	submitRoute(t, m, "s1", "/orders")
	is.True(m.RunUntil(5*time.Second, func() bool { return readStatus(t, m, "s1").Phase == status.InForce }))
	st := readStatus(t, m, "s1")
	is.Equal(st.Nodes, 11)
	for _, n := range m.Nodes() {
		is.Equal(n.State.Dump().ConfigVersion, uint64(1)) // InForce means applied by every node
		is.Equal(len(n.State.Dump().Endpoints), 11)       // every table holds every endpoint
	}
}

// TestVersionsUnderFaults publishes changes while nodes restart, pause and lose
// messages. It checks that no node returns to an older version and that the
// newest version is in force on all nodes within a minute of the last fault.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(rapid.Uint64().Draw(t, "seed"), 4, 3)
		applied := map[string]uint64{}
		m.OnStep = func(n *coretest.Node, _ core.Event) {
			key := fmt.Sprintf("%s/%d", n.Name, n.Generation)
			v := n.State.Dump().ConfigVersion
			if v < applied[key] {
				t.Fatalf("%s returned from version %d to older version %d", key, applied[key], v)
			}
			applied[key] = v
		}
		names := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}
		name := rapid.SampledFrom(names)
		steps := rapid.IntRange(3, 12).Draw(t, "steps")
		for i := range steps {
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				m.Restart(name.Draw(t, "restart"))
			case 1:
				m.Pause(name.Draw(t, "pause"), rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(t, "for"))
			case 2:
				m.Partition(name.Draw(t, "cut"), name.Draw(t, "from"))
			case 3:
				m.Faults.PlatformDown = !m.Faults.PlatformDown
			case 4:
				m.Faults.LoseAnswer = 0.2
			case 5:
				m.FailWatches()
			default:
				submitRoute(t, m, fmt.Sprintf("s%d", i), fmt.Sprintf("/orders%d", i))
			}
			m.Run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
		}
		m.Heal()
		submitRoute(t, m, "last", "/last")
		if !m.RunUntil(time.Minute, func() bool { return readStatus(t, m, "last").Phase == status.InForce }) {
			for _, n := range m.Nodes() {
				d := n.State.Dump()
				t.Logf("%s phase %s path %v version %d publisher %v ready %v", n.Name, d.Phase, d.Path, d.ConfigVersion, d.Publisher, d.Ready)
			}
			t.Fatalf("last submission is not in force a minute after the faults ended: %+v", readStatus(t, m, "last"))
		}
	})
}

// testingT holds the methods of *testing.T and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}
