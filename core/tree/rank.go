// Package tree holds the decisions about places in a tree of nodes that need
// no state of the nodes: the ranking of members for a start without a
// platform, and the limit on joins.
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

// Compare orders two members of a group by rank; negative: a ranks higher.
// Everyone who knows both orders them the same way (rendezvous hashing), and
// a member that leaves changes the order of no others.
func Compare(group, a, b string) int {
	return cmp.Or(cmp.Compare(weight(group, b), weight(group, a)), cmp.Compare(a, b))
}

// Rank returns the members of a group, the highest first.
func Rank(group string, members []string) []string {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int { return Compare(group, a, b) })
	return out
}
