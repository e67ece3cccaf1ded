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
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// TestCrashedRelayIsSuspectedThenRemoved crashes a relay, so that its children
// move to other parents, and restarts it after its entry was removed.
func TestCrashedRelayIsSuspectedThenRemoved(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 7, 2, core.NoFault)
	var leaf, relay string
	for _, n := range m.Nodes() {
		if p := parentOf(n); p != "" && p != roots(m)[0] {
			leaf, relay = n.Name, p
		}
	}
	m.Crash(relay)
	m.Run(time.Second)
	for _, n := range m.Nodes() {
		is.True(!n.Alive || entryOf(n, relay).Suspect) // suspected on every node within a second
		is.True(!n.Alive || entryOf(n, leaf).Live())   // a child that has moved is not suspected
	}
	m.Run(35 * time.Second)
	is.Equal(entryOf(m.Node(leaf), relay).State, endpoint.Gone) // removed within the suspicion limit
	m.Restart(relay)
	m.Run(10 * time.Second)
	is.Equal(entryOf(m.Node(leaf), relay).State, endpoint.Ready)
}

// TestCensusFindsDeadNeighbours crashes a relay and all its children at once, so
// that some have no running neighbour to suspect them.
func TestCensusFindsDeadNeighbours(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 10, 3, core.NoFault)
	root := roots(m)[0]
	var dead []string
	for _, n := range m.Nodes() {
		if p := parentOf(n); p != "" && p != root {
			dead = []string{p}
		}
	}
	for _, n := range m.Nodes() {
		if parentOf(n) == dead[0] {
			dead = append(dead, n.Name)
		}
	}
	is.True(len(dead) > 1)
	for _, name := range dead {
		m.Crash(name)
	}
	m.Run(2 * time.Minute)
	for _, name := range dead {
		is.Equal(entryOf(m.Node(root), name).State, endpoint.Gone)
	}
	is.Equal(m.Node(root).State.Dump().Endpoints[0].State == endpoint.Gone, entryOf(m.Node(root), "a1").State == endpoint.Gone)
}

// TestAbandonedJoinSendsLeaving lets the join of a node time out without a
// Welcome. It must send Leaving, since the other end may have sent its Welcome
// and would suspect the node otherwise.
func TestAbandonedJoinSendsLeaving(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 2, 2, core.NoFault)
	root := roots(m)[0]
	joiner := map[string]string{"a1": "a2", "a2": "a1"}[root]
	m.DropLinkMessages(root, joiner)
	m.Restart(joiner)
	var sentLeaving bool
	m.OnSend = func(from, _ *coretest.Node, msg message.Message) {
		_, ok := msg.(message.Leaving)
		sentLeaving = sentLeaving || ok && from.Name == joiner
	}
	m.Run(5 * time.Second)
	is.True(sentLeaving)
}

// TestStoppedNodeIsNotSuspected stops a root and a leaf: neither suspects its
// neighbours when it ends, nor do they suspect it.
func TestStoppedNodeIsNotSuspected(t *testing.T) {
	for _, tt := range []struct {
		name  string
		which func(m *coretest.Mesh) string
	}{
		{"root", func(m *coretest.Mesh) string { return roots(m)[0] }},
		{"leaf", func(m *coretest.Mesh) string {
			for _, n := range m.Nodes() {
				if n.Name != roots(m)[0] {
					return n.Name
				}
			}
			return ""
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newTree(t, 3, 2, core.NoFault)
			ending, suspicions := tt.which(m), 0
			m.OnEffect = func(n *coretest.Node, e core.Effect) {
				switch e := e.(type) {
				case core.Drained:
					m.After(0, func() { m.Crash(n.Name) })
				case core.Log:
					if e.Code == notice.EndpointSuspected {
						suspicions++
					}
				}
			}
			m.Step(ending, core.Stop{})
			is.True(m.RunUntil(40*time.Second, func() bool { return !m.Node(ending).Alive }))
			m.Run(5 * time.Second)
			is.Equal(suspicions, 0)
			for _, n := range m.Nodes() {
				is.True(!n.Alive || entryOf(n, ending).State == endpoint.Gone)
			}
		})
	}
}

// TestStoppedRootIsReplacedAtOnce stops a root that holds its lease. The nodes that it
// leaves must be in one tree again long before that lease would have expired, while the
// platform answers; and after it has expired if the platform is away.
func TestStoppedRootIsReplacedAtOnce(t *testing.T) {
	for _, platformDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %v", platformDown), func(t *testing.T) {
			is := is.New(t)
			m := newTree(t, 8, 2, core.NoFault)
			m.OnEffect = func(n *coretest.Node, e core.Effect) {
				if _, ended := e.(core.Drained); ended {
					m.After(0, func() { m.Crash(n.Name) })
				}
			}
			ending := roots(m)[0]
			m.Faults.PlatformDown = platformDown
			m.Step(ending, core.Stop{})
			is.True(m.RunUntil(10*time.Second, func() bool { return !m.Node(ending).Alive }))
			took, whole := time.Duration(0), func() bool { return len(roots(m)) == 1 && countJoined(m) == 6 }
			for ; took < 20*time.Second && !whole(); took += 50 * time.Millisecond {
				m.Run(50 * time.Millisecond)
			}
			t.Logf("in one tree after %v", took)
			is.True(whole())
			is.True(platformDown || took <= 1500*time.Millisecond)
		})
	}
}

// TestEndedRootLeavesNodesAlone kills the process of a root, or those of a whole data centre of
// which all but the root come back. The nodes must be in one tree long before the root's lease
// expires.
func TestEndedRootLeavesNodesAlone(t *testing.T) {
	const limit = time.Second // the lease lasts for 5 s
	takes := func(restartAll bool, fault core.TestFault) time.Duration {
		m := newTree(t, 8, 2, fault)
		ended := roots(m)[0]
		m.Crash(ended)
		for _, n := range m.Nodes() {
			if restartAll && n.Name != ended {
				m.Restart(n.Name)
			}
		}
		took, whole := time.Duration(0), func() bool { return len(roots(m)) == 1 && countJoined(m) == 6 }
		for ; took < 20*time.Second && !whole(); took += 50 * time.Millisecond {
			m.Run(50 * time.Millisecond)
		}
		return took
	}
	for _, restartAll := range []bool{false, true} {
		t.Run(fmt.Sprintf("all restarted %v", restartAll), func(t *testing.T) {
			is := is.New(t)
			took := takes(restartAll, core.NoFault)
			t.Logf("in one tree after %v", took)
			is.True(took <= limit)
			is.True(takes(restartAll, core.NoTakeover) > limit) // the check detects the fault
		})
	}
}

// TestUnreadableLeaseLeavesDataCentreWithoutRoot has another program replace the record of a
// root lease while its root runs, and again when that has ended.
func TestUnreadableLeaseLeavesDataCentreWithoutRoot(t *testing.T) {
	key := keyspace.RootLeases + "a"
	for _, odd := range []string{`[]`, `"x"`, `{"epoch":1e400}`, `{"holder":7}`, `{"epoch":-1}`, `{"epoch":18446744073709551615}`, ``} {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			m := newTree(t, 5, 2, core.NoFault)
			for range 2 {
				o, err := m.Store.Get(t.Context(), key)
				is.NoErr(err)
				_, err = m.Store.Put(t.Context(), key, []byte(odd), o.Version)
				is.NoErr(err)
				m.Run(15 * time.Second)
				is.Equal(len(roots(m)), 1)
				o, err = m.Store.Get(t.Context(), key)
				is.NoErr(err)
				is.True(strings.Contains(string(o.Data), roots(m)[0])) // the lease is held again
				if m.Node("a5").Alive {
					m.Crash(roots(m)[0])
				}
			}
		})
	}
}
