package balance

import (
	"fmt"
	"time"
)

// CheckInvariants reports the first inconsistency in a group's indexes and exclusions.
func (g *Group) CheckInvariants() error {
	for _, s := range []*set{&g.local, &g.remote} {
		for i, e := range s.endpoints {
			switch {
			case e.group != g || e.set != s || e.index != i:
				return fmt.Errorf("endpoint %s at index %d has a wrong group, set or index (%d)", e.Row.ID, i, e.index)
			case (i >= s.healthy) != e.Excluded():
				return fmt.Errorf("endpoint %s at index %d (%d in use) has Excluded() = %v", e.Row.ID, i, s.healthy, e.Excluded())
			}
		}
	}
	return nil
}

// UsualLatency returns the smoothed latency of a kind of request, zero if it is unknown.
func (g *Group) UsualLatency(name string) time.Duration { return g.kinds[g.kindName(name)].latency }
