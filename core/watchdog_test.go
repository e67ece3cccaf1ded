package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
)

// outage is the effect of a backend server's failure while its node keeps
// running.
type outage struct {
	misrouted int           // requests sent to it while it was down
	lastAfter time.Duration // from its failure to the last of them
	announced bool          // the failure was announced to the other nodes
}

// runOutages stops a backend server for a time while requests arrive, in ten runs
// with the stop at different times between two probes, and sums the effects.
func runOutages(t *testing.T, down time.Duration, fault core.TestFault) (total outage) {
	const runs = 10
	total.announced = true
	for seed := range uint64(runs) {
		s := newSteadyMesh(t, seed+1, 5*time.Millisecond)
		s.Run(time.Duration(seed) * 97 * time.Millisecond) // starts each run at another time between two probes
		for _, n := range s.Nodes() {
			n.State.SetTestFault(fault)
		}
		died, before := s.Now, entryOf(s.Node("a1"), "a2").Sequence
		s.Node("a2").BackendUp = false
		s.Traffic.OnSent = func(f core.Forward) {
			if f.Target == "a2" && !s.Node("a2").BackendUp {
				total.misrouted++
				total.lastAfter = max(total.lastAfter, s.Now.Sub(died))
			}
		}
		s.Run(down)
		s.Node("a2").BackendUp = true
		s.Run(5 * time.Second)
		total.announced = total.announced && entryOf(s.Node("a1"), "a2").Sequence > before
	}
	return total
}

// TestRefusedProbeIsAnnouncedAtOnce compares announcing a failure at the first
// refused probe with waiting for several missed probes.
func TestRefusedProbeIsAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	with, without := runOutages(t, 10*time.Second, core.NoFault), runOutages(t, 10*time.Second, core.NoWatchdog)
	t.Logf("down for 10 s: with the watchdog %d requests misrouted, the last after %v; without the watchdog %d, %v", with.misrouted, with.lastAfter, without.misrouted, without.lastAfter)
	is.True(with.misrouted < without.misrouted)
	is.True(with.lastAfter < without.lastAfter)
	with, without = runOutages(t, 1500*time.Millisecond, core.NoFault), runOutages(t, 1500*time.Millisecond, core.NoWatchdog)
	t.Logf("down for 1.5 s: with the watchdog %d requests misrouted, failure announced: %v; without the watchdog %d, %v", with.misrouted, with.announced, without.misrouted, without.announced)
	is.True(with.announced)
	is.True(!without.announced) // missed probes alone don't detect a restart this fast
}
