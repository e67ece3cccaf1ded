package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// newTree starts n nodes a1, a2, … in one data centre and puts one change in
// force.
func newTree(t *testing.T, n, fanout int, fault core.TestFault) *coretest.Mesh {
	m := coretest.New(uint64(n))
	for i := range n {
		m.Start(fmt.Sprintf("a%d", i+1), core.Config{
			DataCentre: "a", Service: "orders", Fanout: fanout, Seeds: []string{"a1", "a2", "a3"},
		}.WithTestFault(fault))
	}
	submitRoute(t, m, "first", "/first")
	m.Run(10 * time.Second)
	return m
}

// roots returns the names of the live nodes that act as root.
func roots(m *coretest.Mesh) (out []string) {
	for _, n := range m.Nodes() {
		if n.Alive && n.State.Dump().Phase == "root" {
			out = append(out, n.Name)
		}
	}
	return out
}

func entryOf(n *coretest.Node, id string) endpoint.Entry {
	for _, e := range n.State.Dump().Endpoints {
		if e.ID == id {
			return e
		}
	}
	return endpoint.Entry{}
}

func countJoined(m *coretest.Mesh) int {
	count := 0
	for _, n := range m.Nodes() {
		if ok, _ := n.State.Ready(); ok && n.Alive && parentOf(n) != "" {
			count++
		}
	}
	return count
}

// TestRootWithoutPlatform crashes the root while the platform is down, then
// restarts members, and then restores the platform.
func TestRootWithoutPlatform(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 6, 2, core.NoFault)
	is.Equal(len(roots(m)), 1)
	m.Faults.PlatformDown = true
	m.Crash(roots(m)[0])
	is.True(m.RunUntil(14*time.Second, func() bool { return len(roots(m)) == 1 && countJoined(m) == 4 })) // all remaining nodes are in one tree
	highest := roots(m)[0]
	for _, n := range m.Nodes() {
		if n.Alive && n.Name != highest {
			m.Restart(n.Name)
		}
	}
	m.Run(14 * time.Second)
	is.Equal(countJoined(m), 4) // the restarted nodes found the root by seeds and rank, and are ready
	for _, n := range m.Nodes() {
		if n.Alive {
			is.Equal(n.State.Dump().ConfigVersion, uint64(1)) // none has an older version
		}
	}
	m.Heal()
	m.Run(14 * time.Second)
	is.Equal(len(roots(m)), 1)
	submitRoute(t, m, "second", "/second")
	m.Run(14 * time.Second)
	for _, n := range m.Nodes() {
		is.True(!n.Alive || n.State.Dump().ConfigVersion == 2) // changes on the platform are applied again
	}
}

// TestColdStartWithoutPlatform starts nodes without a configuration while the
// platform is down: they must report not ready, with a reason, until a version
// is available.
func TestColdStartWithoutPlatform(t *testing.T) {
	is := is.New(t)
	m := coretest.New(1)
	m.Faults.PlatformDown = true
	for i := range 3 {
		m.Start(fmt.Sprintf("a%d", i+1), core.Config{DataCentre: "a", Service: "orders", Seeds: []string{"a1", "a2", "a3"}})
	}
	m.Run(20 * time.Second)
	is.Equal(len(roots(m)), 1)
	for _, n := range m.Nodes() {
		ok, why := n.State.Ready()
		is.True(!ok)
		is.True(why != "")
	}
	m.Heal()
	submitRoute(t, m, "s1", "/x")
	m.Run(14 * time.Second)
	is.Equal(countJoined(m), 2)
}

// TestFallbackRootWaitsForNewest restarts the highest-ranking member while the
// platform is down: it must not be ready before it holds the version that the
// others hold.
func TestFallbackRootWaitsForNewest(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 4, 3, core.NoFault)
	m.Faults.PlatformDown = true
	readyGeneration := map[string]int{}
	m.OnStep = func(n *coretest.Node, _ core.Event) {
		if ok, _ := n.State.Ready(); ok && n.Generation > readyGeneration[n.Name] {
			readyGeneration[n.Name] = n.Generation
			is.Equal(n.State.Dump().ConfigVersion, uint64(1)) // a ready node holds the version of the others
		}
	}
	m.Crash(roots(m)[0])
	for range 3 {
		m.Run(12 * time.Second)
		is.Equal(len(roots(m)), 1)
		m.Restart(roots(m)[0])
	}
	m.Run(20 * time.Second)
	is.Equal(countJoined(m), 2)
}

// TestNoCycleWithoutPlatform crashes the root of a chain of nodes while the
// platform is down: a node must not join a higher-ranking node below itself.
func TestNoCycleWithoutPlatform(t *testing.T) {
	lastingCycle := func(fault core.TestFault) error {
		for n := 4; n <= 9; n++ {
			m := newTree(t, n, 1, fault)
			m.Faults.PlatformDown = true
			m.Crash(roots(m)[0])
			m.Run(14 * time.Second)
			if err := (&history{m: m}).cycle(); err != nil {
				return err
			}
		}
		return nil
	}
	is := is.New(t)
	is.NoErr(lastingCycle(core.NoFault))
	is.True(lastingCycle(core.NoCycleCheck) != nil) // the check detects the fault
}

// TestOlderVersionIsDropped delivers a full set of an older version to nodes.
func TestOlderVersionIsDropped(t *testing.T) {
	after := func(fault core.TestFault) uint64 {
		m := newTree(t, 2, 2, fault)
		old := m.Node(roots(m)[0]).State.HeldSet()
		submitRoute(t, m, "second", "/second")
		m.Run(3 * time.Second)
		for _, n := range m.Nodes() {
			for _, l := range n.State.Dump().Links {
				m.Step(n.Name, core.LinkMessage{Link: l.ID, Message: message.ConfigWhole{
					Version: old.Version, Hash: old.Hash(), Objects: old.Sorted(),
				}})
			}
		}
		return min(m.Node("a1").State.HeldSet().Version, m.Node("a2").State.HeldSet().Version)
	}
	is := is.New(t)
	is.Equal(after(core.NoFault), uint64(2))
	is.Equal(after(core.AnyVersion), uint64(1)) // the check detects the fault
}

// TestChangeOfRootLosesNoEntry crashes the root and checks after each step that
// no table has removed the entry of a running node.
func TestChangeOfRootLosesNoEntry(t *testing.T) {
	lost := func(fault core.TestFault) (err error) {
		m := newTree(t, 7, 2, fault)
		dead := roots(m)[0]
		m.OnStep = func(n *coretest.Node, _ core.Event) {
			for _, e := range n.State.Dump().Endpoints {
				if e.ID != dead && e.State == endpoint.Gone {
					err = fmt.Errorf("%s has lost the entry of %s", n.Name, e.ID)
				}
			}
		}
		m.Crash(dead)
		m.Run(90 * time.Second)
		for _, n := range m.Nodes() {
			if n.Alive && entryOf(n, dead).State != endpoint.Gone {
				t.Errorf("%s still holds the crashed root's entry as %+v", n.Name, entryOf(n, dead))
			}
		}
		return err
	}
	is := is.New(t)
	is.NoErr(lost(core.NoFault))
	is.True(lost(core.NoGrace) != nil) // the check detects the fault
}

// TestNodeJoinsBelowMemberIfRootIsUnreachable cuts the connection between one
// node and its root: the node must join below a node that reaches the root.
func TestNodeJoinsBelowMemberIfRootIsUnreachable(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 4, 3, core.NoFault)
	root := roots(m)[0]
	cut := "a4"
	if root == cut {
		cut = "a3"
	}
	m.Partition(root, cut)
	m.Run(14 * time.Second)
	is.Equal(countJoined(m), 3)
	is.Equal(len(m.Node(cut).State.Dump().Path), 3)
	submitRoute(t, m, "second", "/second")
	m.Run(3 * time.Second)
	is.Equal(m.Node(cut).State.Dump().ConfigVersion, uint64(2))
}

// TestMessagesLostOnAnOpenLink loses a change and the heartbeat that announces it
// on a link that works again afterwards: both ends must hold the change then.
func TestMessagesLostOnAnOpenLink(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 2, 2, core.NoFault)
	m.Run(7 * time.Second)
	m.Partition("a1", "a2")
	submitRoute(t, m, "second", "/second")
	m.Run(1500 * time.Millisecond)
	m.Heal()
	m.Run(14 * time.Second)
	is.Equal(m.Node("a1").State.Dump().ConfigVersion, uint64(2))
	is.Equal(m.Node("a2").State.Dump().ConfigVersion, uint64(2))
}

// TestDataCentresAgreeAfterPartition partitions two data centres for an hour, in
// which a change is published and a node restarts: all nodes must agree within
// agreementLimit after the partition ends.
func TestDataCentresAgreeAfterPartition(t *testing.T) {
	is := is.New(t)
	h := newHistory(t, 5, core.NoFault)
	h.m.PartitionDataCentres("a", "b")
	h.m.Run(20 * time.Minute)
	h.submit(t)
	h.m.Restart("b2")
	h.m.Run(40 * time.Minute)
	is.NoErr(h.healAndCheck(t))
}

// TestSimultaneousRestart restarts all nodes of a data centre at once: they must
// all join within 20 s, with few platform calls and into a tree that keeps the
// fanout.
func TestSimultaneousRestart(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 40, 4, core.NoFault)
	calls := 0
	m.OnStore = func(*coretest.Node, core.Effect) { calls++ }
	for _, n := range m.Nodes() {
		m.Restart(n.Name)
	}
	is.True(m.RunUntil(20*time.Second, func() bool { return countJoined(m) == 39 }))
	is.True(calls < 40*20) // one lease read per attempt to join, not one per message
	deepest := 0
	for _, n := range m.Nodes() {
		deepest = max(deepest, len(n.State.Dump().Path))
		children := 0
		for _, l := range n.State.Dump().Links {
			if l.Role == "child" {
				children++
			}
		}
		is.True(children <= 4) // at most fanout children
	}
	is.True(deepest <= 5) // 40 nodes at fanout 4 need 4 levels
}

// TestClockSetBack restarts a node after its clock was set back: its new
// incarnation must not be taken for an older one.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 3, 2, core.NoFault)
	name := "a2"
	cfg := m.Node(name).Config
	m.Crash(name)
	n := m.Start(name, cfg)
	back := n.Config
	back.Incarnation.Start -= time.Hour.Milliseconds()
	n.State = core.New(back)
	m.Run(10 * time.Second)
	is.Equal(entryOf(m.Node("a1"), name).State, endpoint.Ready)
	is.True(entryOf(m.Node("a1"), name).Incarnation.Compare(cfg.Incarnation) > 0)
}

// TestFaultyDeltaRequestsFullConfig delivers a delta whose result does not match
// its hash: the node must request the full set.
func TestFaultyDeltaRequestsFullConfig(t *testing.T) {
	is := is.New(t)
	m := newTree(t, 2, 2, core.NoFault)
	child := m.Nodes()[0]
	if child.Name == roots(m)[0] {
		child = m.Nodes()[1]
	}
	var fullConfigRequested bool
	m.OnSend = func(from, _ *coretest.Node, msg message.Message) {
		w, ok := msg.(message.ConfigWanted)
		fullConfigRequested = fullConfigRequested || ok && from == child && w.Have == 0
	}
	m.Step(child.Name, core.LinkMessage{Link: child.State.Dump().Links[0].ID, Message: message.ConfigDelta{
		Delta: config.Delta{From: 1, To: 2, Hash: 7},
	}})
	is.True(fullConfigRequested)
	is.Equal(child.State.HeldSet().Version, uint64(1))
}
