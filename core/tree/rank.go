// Package tree holds the decisions about the tree of nodes that do not depend
// on the state of a node: the ranking of members for a start without a platform,
// and the rate limit on joins.
package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight is the rendezvous weight of a member within its group.
func weight(group, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Compare orders two members of a group by rank; negative: a ranks higher. All
// processes order the same members the same way (rendezvous hashing), and a
// member that leaves does not change the order of the others.
func Compare(group, a, b string) int {
	return cmp.Or(cmp.Compare(weight(group, b), weight(group, a)), cmp.Compare(a, b))
}

// Rank returns the members of a group in order of rank, the highest first.
func Rank(group string, members []string) []string {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int { return Compare(group, a, b) })
	return out
}
