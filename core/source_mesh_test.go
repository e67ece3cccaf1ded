package core_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/keyspace"
)

// sourceInForceWithin is the time within which the users' platform requires an
// accepted configuration to be in force on every node.
const sourceInForceWithin = 2 * time.Second

// sourceMesh is a mesh of two data centres that follows a source.
type sourceMesh struct {
	*coretest.Mesh
	t       *testing.T
	base    uint64
	version uint64
	reads   map[string]int // reads of the source, by node
}

func newSourceMesh(t *testing.T, seed uint64) *sourceMesh {
	t.Helper()
	m := &sourceMesh{Mesh: coretest.New(seed), t: t, reads: map[string]int{}}
	m.OnStore = func(n *coretest.Node, e core.Effect) {
		switch e := e.(type) {
		case core.StoreWatch:
			m.reads[n.Name]++
		case core.StoreList:
			if e.Prefix == keyspace.Source {
				m.reads[n.Name]++
			}
		}
	}
	m.write()
	for _, dc := range []string{"a", "b"} {
		for i := range 5 {
			m.Start(fmt.Sprint(dc, i+1), core.Config{
				DataCentre: dc, Service: "orders", Announced: true, Source: true, Fanout: 2,
				SourceWait: 800 * time.Millisecond, HeartbeatEvery: 300 * time.Millisecond, MissedLimit: 4,
			})
		}
	}
	m.Run(15 * time.Second)
	return m
}

// write writes the next version to the source.
func (m *sourceMesh) write() {
	m.t.Helper()
	m.version++
	data := published(m.t, m.version, ordersObjects(fmt.Sprintf(`{"timeoutMillis":%d}`, m.version))...)
	base, err := m.Store.Put(context.Background(), keyspace.Source+"main", data, m.base)
	is.New(m.t).NoErr(err)
	m.base = base
}

func (m *sourceMesh) roots() []string {
	var out []string
	for _, n := range m.Nodes() {
		if n.State.Dump().Phase == "root" {
			out = append(out, n.Name)
		}
	}
	return out
}

// TestOnlyRootsReadSource checks that without failures only the roots read the
// source, so that the number of reads does not grow with the number of nodes.
func TestOnlyRootsReadSource(t *testing.T) {
	is := is.New(t)
	m := newSourceMesh(t, 1)
	clear(m.reads)
	m.Run(10 * time.Second)
	is.Equal(len(m.roots()), 2)
	is.Equal(len(m.reads), 2)
	for _, root := range m.roots() {
		is.True(m.reads[root] <= 15)
	}
}

// TestStartReadsSourceTwice restarts nodes of a calm mesh, which may list the source and
// watch it once each.
func TestStartReadsSourceTwice(t *testing.T) {
	is := is.New(t)
	m := newSourceMesh(t, 1)
	roots := m.roots()
	clear(m.reads)
	for _, n := range m.Nodes() {
		if !slices.Contains(roots, n.Name) {
			m.Restart(n.Name)
			m.Run(10 * time.Second)
		}
	}
	is.Equal(len(m.roots()), 2)
	restarted := 0
	for name, reads := range m.reads {
		if !slices.Contains(roots, name) {
			restarted++
			is.True(reads <= 2)
		}
	}
	is.Equal(restarted, 8)
}

// TestSourceChangeIsInForceInTime causes a failure at the roots and changes the
// source up to 3 s later: every node that runs and can reach the platform must
// hold the change within sourceInForceWithin.
func TestSourceChangeIsInForceInTime(t *testing.T) {
	everyOther := func(m *sourceMesh, name string, do func(other string)) {
		for _, n := range m.Nodes() {
			if n.Name != name {
				do(n.Name)
			}
		}
	}
	for _, fault := range []struct {
		name string
		do   func(m *sourceMesh, root string)
	}{
		{"none", func(*sourceMesh, string) {}},
		{"crash", func(m *sourceMesh, root string) { m.Crash(root) }},
		{"pause", func(m *sourceMesh, root string) { m.Pause(root, time.Minute) }},
		{"cut off from the platform", func(m *sourceMesh, root string) { m.PartitionStore(root) }},
		{"cut off from all", func(m *sourceMesh, root string) {
			m.PartitionStore(root)
			everyOther(m, root, func(other string) { m.Partition(root, other) })
		}},
		{"silent links", func(m *sourceMesh, root string) {
			everyOther(m, root, func(other string) { m.BlackholeOpenLinks(root, other) })
		}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			for seed := range uint64(8) {
				m := newSourceMesh(t, seed)
				excused := map[string]bool{}
				for _, root := range m.roots() {
					excused[root] = fault.name != "none"
					fault.do(m, root)
				}
				m.Run(time.Duration(m.Rand.Int64N(int64(3 * time.Second))))
				m.write()
				m.Run(sourceInForceWithin)
				for _, n := range m.Nodes() {
					if v := n.State.ConfigVersion(); v != m.version && !excused[n.Name] {
						t.Errorf("seed %d: node %s holds version %d, not %d", seed, n.Name, v, m.version)
					}
				}
			}
		})
	}
}

// TestFaultySourceVersionKeepsNodesReady checks that nodes which refuse a version
// stay ready with the one that they hold and apply the next correct one in time.
func TestFaultySourceVersionKeepsNodesReady(t *testing.T) {
	is := is.New(t)
	m := newSourceMesh(t, 1)
	m.version++
	faulty := published(t, m.version, config.Object{Kind: config.KindRoute, Name: "r", Spec: []byte(`{"pathPrefix":"/","service":"gone"}`)})
	base, err := m.Store.Put(context.Background(), keyspace.Source+"main", faulty, m.base)
	is.NoErr(err)
	m.base = base
	m.Run(5 * time.Second)
	for _, n := range m.Nodes() {
		ready, why := n.State.Ready()
		is.Equal(why, "")
		is.True(ready)
		is.Equal(n.State.ConfigVersion(), uint64(1))
	}
	m.write()
	m.Run(sourceInForceWithin)
	for _, n := range m.Nodes() {
		is.Equal(n.State.ConfigVersion(), m.version)
	}
}
