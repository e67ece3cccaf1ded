package balance

import "fmt"

// CheckInvariants reports the first inconsistency in a group's indexes and exclusions.
func (g *Group) CheckInvariants() error {
	for _, s := range []*set{&g.local, &g.remote} {
		for i, p := range s.peers {
			switch {
			case p.group != g || p.set != s || p.index != i:
				return fmt.Errorf("peer %s at index %d has a wrong group, set or index (%d)", p.Row.ID, i, p.index)
			case (i >= s.healthy) != p.Excluded():
				return fmt.Errorf("peer %s at index %d (%d in use) has Excluded() = %v", p.Row.ID, i, s.healthy, p.Excluded())
			}
		}
	}
	return nil
}
