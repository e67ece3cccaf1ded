package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id, address string, incarnation int64, seq uint64) Entry {
	return Entry{
		ID: id, Service: "orders", DataCentre: "a", Peer: address, Hop: address,
		Incarnation: Incarnation{Start: incarnation}, Sequence: seq, State: Ready,
	}
}

func tableOf(entries ...Entry) *Table {
	t := NewTable()
	for _, e := range entries {
		t.Merge(start, e)
	}
	return t
}

func TestMergeKeepsTheNewer(t *testing.T) {
	base := entry("x", "1", 5, 3)
	for _, c := range []struct {
		name  string
		other Entry
		taken bool
	}{
		{"same", base, false},
		{"older sequence", entry("x", "1", 5, 2), false},
		{"newer sequence", entry("x", "1", 5, 4), true},
		{"older incarnation, newer sequence", entry("x", "1", 4, 9), false},
		{"newer incarnation, older sequence", entry("x", "1", 6, 1), true},
		{"suspected", base.Suspected(), true},
		{"suspected at an older sequence", entry("x", "1", 5, 2).Suspected(), false},
		{"removed", base.Removed(), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tableOf(base).Merge(start, c.other), c.taken)
			is.Equal(tableOf(base, c.other).Digest(), tableOf(c.other, base).Digest()) // independent of the order of arrival
		})
	}
}

func TestRefutationOutranksSuspicion(t *testing.T) {
	is := is.New(t)
	table := tableOf(entry("x", "1", 5, 3).Suspected())
	is.Equal(len(table.Serving("orders")), 0)
	is.Equal(table.Live("a"), 0)
	is.True(table.Merge(start, entry("x", "1", 5, 4)))
	is.Equal(len(table.Serving("orders")), 1)
	is.Equal(table.Live("a"), 1)
}

func TestLaterIncarnationAtAnAddressRemovesTheOther(t *testing.T) {
	is := is.New(t)
	old, later := entry("x", "1", 5, 3), entry("y", "1", 6, 1)
	for _, table := range []*Table{tableOf(old, later), tableOf(later, old)} {
		x, _ := table.Get("x")
		y, _ := table.Get("y")
		is.Equal(x.State, Gone)
		is.Equal(y.State, Ready)
		is.Equal(table.Digest(), tableOf(later).Digest())
	}
}

// TestDigestDistinguishesSuspectedEntries checks that two tables with the same two
// entries, but with a different one suspected or updated, have different digests.
func TestDigestDistinguishesSuspectedEntries(t *testing.T) {
	is := is.New(t)
	x, y := entry("x", "1", 5, 3), entry("y", "2", 5, 3)
	is.True(tableOf(x.Suspected(), y).Digest() != tableOf(x, y.Suspected()).Digest())
	is.True(tableOf(entry("x", "1", 5, 4), y).Digest() != tableOf(x, entry("y", "2", 5, 4)).Digest())
}

func TestDifferingFindsTheChangedBucket(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	for i := range 1000 {
		e := entry(fmt.Sprintf("n%d", i), fmt.Sprint(i), 1, 1)
		a.Merge(start, e)
		b.Merge(start, e)
	}
	n := a.BucketCount()
	is.Equal(n, 128) // the power of two above the square root of 8 * 1000
	numbers, ok := b.Differing(a.Buckets(n))
	is.True(ok)
	is.Equal(len(numbers), 0)
	a.Merge(start, entry("n7", "7", 1, 2))
	numbers, _ = b.Differing(a.Buckets(n))
	is.Equal(len(numbers), 1)
	is.True(len(a.InBuckets(n, numbers)) < 30) // entries of one bucket, not of the whole table
	_, ok = b.Differing(make([]uint64, 3))
	is.True(!ok) // not a power of two
}

func TestGoneEntriesAreCollectedWithoutChangingTheDigest(t *testing.T) {
	is := is.New(t)
	table := tableOf(entry("x", "1", 5, 3).Removed(), entry("y", "2", 5, 3))
	before := table.Digest()
	table.Collect(start.Add(time.Second))
	is.Equal(table.Len(), 1)
	is.Equal(table.Digest(), before)
}

func TestCollectRemovesAddresses(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for run := range int64(100) { // a host that restarts with a new address each time
		table.Merge(start, entry(fmt.Sprint("x", run), fmt.Sprint("address ", run), run, 1))
		gone := entry(fmt.Sprint("x", run), fmt.Sprint("address ", run), run, 2)
		gone.State = Gone
		table.Merge(start, gone)
	}
	is.Equal(table.Addresses(), 200)
	table.Collect(start.Add(time.Minute))
	is.Equal(table.Len(), 0)
	is.Equal(table.Addresses(), 0)
}

func TestSuspectsOmitsRefutedAndRemoved(t *testing.T) {
	is := is.New(t)
	x, y := entry("x", "1", 5, 3), entry("y", "2", 5, 3)
	table := tableOf(x, y, x.Suspected(), y.Suspected())
	is.Equal(len(table.Suspects()), 2)
	table.Merge(start, entry("x", "1", 5, 4)) // refuted
	is.Equal(len(table.Suspects()), 1)
	is.Equal(table.Suspects()[0].ID, "y")
	table.Merge(start, table.Suspects()[0].Removed())
	is.Equal(len(table.Suspects()), 0)
}
