package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
)

// death is what followed on the death of a backend server whose node lives.
type death struct {
	wrong int           // requests sent to it while it was dead
	last  time.Duration // from its death to the last of them
	told  bool          // the others learnt that it had ended
}

// dieFor lets a backend server be dead for a time while requests come in.
func dieFor(t *testing.T, dead time.Duration, b core.Break) (total death) {
	const runs = 10
	total.told = true
	for seed := range uint64(runs) {
		s := newSteadyMesh(t, seed+1, 5*time.Millisecond)
		s.Run(time.Duration(seed) * 97 * time.Millisecond) // anywhere between two probes
		for _, n := range s.Nodes() {
			n.State.Break(b)
		}
		died, before := s.Now, entryOf(s.Node("a1"), "a2").Sequence
		s.Node("a2").BackendUp = false
		s.Traffic.OnSent = func(f core.Forward) {
			if f.Target == "a2" && !s.Node("a2").BackendUp {
				total.wrong++
				total.last = max(total.last, s.Now.Sub(died))
			}
		}
		s.Run(dead)
		s.Node("a2").BackendUp = true
		s.Run(5 * time.Second)
		total.told = total.told && entryOf(s.Node("a1"), "a2").Sequence > before
	}
	return total
}

// TestWatchdog compares the announcement of a refused probe with waiting for
// missed probes.
func TestWatchdog(t *testing.T) {
	is := is.New(t)
	with, without := dieFor(t, 10*time.Second, core.BreakNone), dieFor(t, 10*time.Second, core.BreakWatchdog)
	t.Logf("dead for 10 s: with the watchdog %d requests sent to it, the last after %v; without %d, %v", with.wrong, with.last, without.wrong, without.last)
	is.True(with.wrong < without.wrong)
	is.True(with.last < without.last)
	with, without = dieFor(t, 1500*time.Millisecond, core.BreakNone), dieFor(t, 1500*time.Millisecond, core.BreakWatchdog)
	t.Logf("back after 1.5 s: with the watchdog %d requests sent to it, its end told %v; without %d, %v", with.wrong, with.told, without.wrong, without.told)
	is.True(with.told)
	is.True(!without.told) // a restart faster than the limit is missed by silence alone
}
