package balance

import "fmt"

// CheckInvariants reports what does not fit together in a group.
func (g *Group) CheckInvariants() error {
	for _, s := range []*set{&g.local, &g.remote} {
		for i, p := range s.peers {
			switch {
			case p.group != g || p.set != s || p.index != i:
				return fmt.Errorf("%s is at %d and says %d", p.Row.ID, i, p.index)
			case (i >= s.healthy) != p.Excluded():
				return fmt.Errorf("%s is at %d of %d in use, and left out: %v", p.Row.ID, i, s.healthy, p.Excluded())
			}
		}
	}
	return nil
}
