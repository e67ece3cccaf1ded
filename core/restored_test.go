package core_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/status"
)

// rootLease returns the record of the root lease of a data centre in the store.
func rootLease(m *coretest.Mesh, dc string) (rec lease.Record, exists bool) {
	o, err := m.Store.Get(context.Background(), keyspace.RootLeases+dc)
	if err != nil {
		return lease.Record{}, false
	}
	return rec, json.Unmarshal(o.Data, &rec) == nil
}

// rootsOf returns the names of the live nodes of a data centre that act as root.
func rootsOf(m *coretest.Mesh, dc string) []string {
	return slices.DeleteFunc(roots(m), func(name string) bool { return m.Node(name).Config.DataCentre != dc })
}

// completeTables reports whether every live node knows every live node's backend server
// as live.
func completeTables(m *coretest.Mesh) bool {
	alive := map[string]bool{}
	for _, n := range m.Nodes() {
		if n.Alive {
			alive[n.Name] = true
		}
	}
	for _, n := range m.Nodes() {
		if !n.Alive {
			continue
		}
		known := 0
		for _, e := range n.State.Dump().Endpoints {
			if alive[e.ID] && e.Serves() {
				known++
			}
		}
		if known != len(alive) {
			return false
		}
	}
	return true
}

// checkRestoredLeases starts a mesh in two data centres, makes its store come back from a
// copy that the given function makes while the mesh starts, and kills a root some time
// later.
func checkRestoredLeases(t *testing.T, seed uint64, makeCopy func(m *coretest.Mesh) func()) {
	t.Helper()
	is := is.New(t)
	m := coretest.New(seed)
	restore := makeCopy(m)
	m.Run(10 * time.Second)
	is.True(completeTables(m))
	restore()
	m.Run(20 * time.Second)
	for _, dc := range []string{"a", "b"} {
		rec, exists := rootLease(m, dc)
		is.True(exists)                                // the lease is written again
		is.Equal(rootsOf(m, dc), []string{rec.Holder}) // by the only root
	}
	m.Restart(rootsOf(m, "b")[0])
	m.Run(30 * time.Second)
	is.Equal(len(rootsOf(m, "b")), 1)
	is.True(completeTables(m)) // the roots have found each other
}

func startTwoDataCentres(m *coretest.Mesh) {
	for _, name := range []string{"a1", "b1", "a2", "b2", "a3", "b3"} {
		m.Start(name, core.Config{DataCentre: name[:1], Service: "orders", Fanout: 2})
	}
}

// TestLostRootLeaseIsNeverWrittenAgain restores the store from a copy that is older than
// the leases.
func TestLostRootLeaseIsNeverWrittenAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		checkRestoredLeases(t, seed, func(m *coretest.Mesh) func() {
			empty := m.Store.Copy()
			startTwoDataCentres(m)
			return func() { m.Store.Restore(empty) }
		})
	}
}

// TestRestoredLeaseOfEarlierHolder restores the store from a copy in which an earlier
// holder has the lease, which is alive and a child of the present one.
func TestRestoredLeaseOfEarlierHolder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		checkRestoredLeases(t, seed, func(m *coretest.Mesh) func() {
			startTwoDataCentres(m)
			m.Run(10 * time.Second)
			earlier := m.Store.Copy()
			first := rootsOf(m, "b")[0]
			m.Crash(first)
			m.Run(20 * time.Second)
			m.Start(first, m.Node(first).Config)
			return func() {
				before := rootsOf(m, "b")
				m.Store.Restore(earlier)
				for range 40 {
					m.Run(100 * time.Millisecond)
					is.New(t).Equal(rootsOf(m, "b"), before) // nobody steps back for a holder of the past
				}
			}
		})
	}
}

// TestPublisherStallsAfterRestore restores the store from a copy that is older than the
// last published version.
func TestPublisherStallsAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := newMesh(1, 3, 3)
	submitRoute(t, m, "s1", "/one")
	m.Run(20 * time.Second)
	backup := m.Store.Copy()
	submitRoute(t, m, "s2", "/two")
	m.Run(10 * time.Second)
	is.Equal(readStatus(t, m, "s2").Phase, status.InForce)
	m.Store.Restore(backup)
	m.Run(5 * time.Second)
	submitRoute(t, m, "s3", "/three")
	m.Run(time.Minute)
	st := readStatus(t, m, "s3")
	is.Equal(st.Phase, status.InForce)
	is.Equal(st.Version, uint64(3)) // not a version that nodes hold with other contents
}
