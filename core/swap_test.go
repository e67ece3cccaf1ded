package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// halfApplied publishes three changes and returns the number of steps after
// which a node routed by another version than the one it says it holds.
func halfApplied(t *testing.T, b core.Break) int {
	m := newMesh(1, 4, 3)
	half := 0
	m.OnStep = func(n *coretest.Node, _ core.Event) {
		if n.State.RoutesBy() != n.State.HeldSet().Version {
			half++
		}
	}
	for _, n := range m.Nodes() {
		n.State.Break(b)
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		submitRoute(t, m, id, "/"+id)
		m.Run(3 * time.Second)
	}
	is.New(t).Equal(m.Node("a1").State.HeldSet().Version, uint64(3)) // the changes came through
	return half
}

func TestVersionIsNeverAppliedInPart(t *testing.T) {
	is := is.New(t)
	is.Equal(halfApplied(t, core.BreakNone), 0)
	is.True(halfApplied(t, core.BreakHalfSwap) > 0) // the check can fail
}
