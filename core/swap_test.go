package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// countPartialSwaps publishes three changes and returns the number of steps after
// which a node routes by another version than the one that it holds.
func countPartialSwaps(t *testing.T, fault core.TestFault) int {
	m := newMesh(1, 4, 3)
	partial := 0
	m.OnStep = func(n *coretest.Node, _ core.Event) {
		if n.State.RoutingVersion() != n.State.HeldSet().Version {
			partial++
		}
	}
	for _, n := range m.Nodes() {
		n.State.SetTestFault(fault)
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		submitRoute(t, m, id, "/"+id)
		m.Run(3 * time.Second)
	}
	is.New(t).Equal(m.Node("a1").State.HeldSet().Version, uint64(3)) // all changes were applied
	return partial
}

func TestConfigSwapIsAtomic(t *testing.T) {
	is := is.New(t)
	is.Equal(countPartialSwaps(t, core.NoFault), 0)
	is.True(countPartialSwaps(t, core.SwapUncompiled) > 0) // the check detects the fault
}
