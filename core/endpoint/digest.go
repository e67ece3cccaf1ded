package endpoint

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxBuckets is the number of buckets for which a table keeps digests.
const MaxBuckets = 256

// entryDigestRatio is the size of an encoded entry divided by that of a digest.
const entryDigestRatio = 8

// Digest returns a hash over all entries that are not Gone; equal tables have
// equal digests. Gone entries are left out, since processes delete them at
// different times.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, d := range t.digests {
		sum += d
	}
	return sum
}

// BucketCount returns the number of buckets into which to divide this table so
// that the digests and the entries of one differing bucket together need few
// bytes.
func (t *Table) BucketCount() int {
	n := 1
	for n < MaxBuckets && n*n < entryDigestRatio*len(t.rows) {
		n *= 2
	}
	return n
}

// Buckets returns the digests of n buckets; n must be a power of two up to
// MaxBuckets.
func (t *Table) Buckets(n int) []uint64 {
	out := make([]uint64, n)
	for i, d := range t.digests {
		out[i%n] += d
	}
	return out
}

// Differing returns the numbers of the buckets whose digest differs from that of
// this table, or false if digests has a length that Buckets can't return.
func (t *Table) Differing(digests []uint64) ([]uint32, bool) {
	n := len(digests)
	if n == 0 || n > MaxBuckets || n&(n-1) != 0 {
		return nil, false
	}
	var out []uint32
	for i, d := range t.Buckets(n) {
		if d != digests[i] {
			out = append(out, uint32(i))
		}
	}
	return out, true
}

// InBuckets returns the entries that are not Gone in the given ones of n buckets,
// in order of ID.
func (t *Table) InBuckets(n int, numbers []uint32) []Entry {
	var out []Entry
	for _, r := range t.rows {
		if r.State != Gone && slices.Contains(numbers, uint32(bucketOf(r.ID)%n)) {
			out = append(out, r.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % MaxBuckets) }

// hash hashes the ID together with all fields that order versions of an entry, so
// that the sums of tables that differ in several rows differ as well.
func (r *Row) hash() uint64 {
	var num [29]byte
	binary.LittleEndian.PutUint64(num[0:], xxhash.Sum64String(r.ID))
	binary.LittleEndian.PutUint64(num[8:], uint64(r.Incarnation.Start))
	binary.LittleEndian.PutUint32(num[16:], r.Incarnation.Random)
	binary.LittleEndian.PutUint64(num[20:], r.Sequence)
	num[28] = byte(r.suspicionRank())
	return xxhash.Sum64(num[:])
}
