package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
)

// outage is what followed on the outage of a backend server whose node lives.
type outage struct {
	misrouted int           // requests sent to it while it was dead
	lastAfter time.Duration // from its death to the last of them
	announced bool          // the others learnt that it had ended
}

// runOutages lets a backend server be dead for a time while requests come in.
func runOutages(t *testing.T, dead time.Duration, b core.Break) (total outage) {
	const runs = 10
	total.announced = true
	for seed := range uint64(runs) {
		s := newSteadyMesh(t, seed+1, 5*time.Millisecond)
		s.Run(time.Duration(seed) * 97 * time.Millisecond) // anywhere between two probes
		for _, n := range s.Nodes() {
			n.State.Break(b)
		}
		died, before := s.Now, entryOf(s.Node("a1"), "a2").Sequence
		s.Node("a2").Backend = false
		s.Traffic.Sent = func(f core.Forward) {
			if f.Target == "a2" && !s.Node("a2").Backend {
				total.misrouted++
				total.lastAfter = max(total.lastAfter, s.Now.Sub(died))
			}
		}
		s.Run(dead)
		s.Node("a2").Backend = true
		s.Run(5 * time.Second)
		total.announced = total.announced && entryOf(s.Node("a1"), "a2").Sequence > before
	}
	return total
}

// TestWatchdog compares the announcement of a refused probe with waiting for
// missed probes.
func TestWatchdog(t *testing.T) {
	is := is.New(t)
	with, without := runOutages(t, 10*time.Second, core.BreakNone), runOutages(t, 10*time.Second, core.BreakWatchdog)
	t.Logf("dead for 10 s: with the watchdog %d requests sent to it, the last after %v; without %d, %v", with.misrouted, with.lastAfter, without.misrouted, without.lastAfter)
	is.True(with.misrouted < without.misrouted)
	is.True(with.lastAfter < without.lastAfter)
	with, without = runOutages(t, 1500*time.Millisecond, core.BreakNone), runOutages(t, 1500*time.Millisecond, core.BreakWatchdog)
	t.Logf("back after 1.5 s: with the watchdog %d requests sent to it, its end told %v; without %d, %v", with.misrouted, with.announced, without.misrouted, without.announced)
	is.True(with.announced)
	is.True(!without.announced) // a restart faster than the limit is missed by silence alone
}
