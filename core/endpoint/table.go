package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// Row is an entry together with times recorded by this process.
type Row struct {
	Entry
	Since        time.Time // when this process received the entry's state or incarnation
	SuspectSince time.Time // when this process received the entry as suspected
}

// Table holds the newest entry of each backend server. Of two entries with the
// same address the one with the earlier incarnation is marked as removed.
type Table struct {
	rows      map[string]*Row
	byService map[string][]*Row     // rows that take new requests, in order of ID
	byAddress map[addressKey]string // ID of the entry that has the address
	suspects  map[string]*Row       // suspected and not gone
	live      map[string]int        // live entries by data centre
	digests   [MaxBuckets]uint64    // sums of row hashes, by bucket
	changes   uint64                // number of changes to rows
}

// addressKey is one of the two addresses of a node: that for requests (hop) or
// that for other nodes.
type addressKey struct {
	hop     bool
	address string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[string]*Row{}, byService: map[string][]*Row{},
		byAddress: map[addressKey]string{}, suspects: map[string]*Row{}, live: map[string]int{},
	}
}

// Merge stores an entry if it is newer than the one held, and reports whether it
// was stored.
func (t *Table) Merge(now time.Time, e Entry) bool {
	row, ok := t.rows[e.ID]
	if ok && e.Compare(row.Entry) <= 0 {
		return false
	}
	if !ok {
		row = &Row{}
		t.rows[e.ID] = row
	} else {
		t.unindex(row)
	}
	if !ok || row.State != e.State || row.Incarnation != e.Incarnation {
		row.Since = now
	}
	if e.Suspect && !row.Suspect {
		row.SuspectSince = now
	}
	row.Entry = e
	t.index(row)
	t.resolveAddressConflict(now, row, addressKey{address: e.Peer})
	t.resolveAddressConflict(now, row, addressKey{hop: true, address: e.Hop})
	return true
}

// resolveAddressConflict marks the older of two entries with the same address as
// removed.
func (t *Table) resolveAddressConflict(now time.Time, r *Row, key addressKey) {
	if key.address == "" || r.State == Gone {
		return
	}
	other, ok := t.rows[t.byAddress[key]]
	switch {
	case !ok || other.ID == r.ID || other.State == Gone || other.Peer != r.Peer && other.Hop != r.Hop:
		t.byAddress[key] = r.ID
	case other.Incarnation.Compare(r.Incarnation) < 0:
		t.byAddress[key] = r.ID
		t.Merge(now, other.Removed())
	default:
		t.Merge(now, r.Removed())
	}
}

func (t *Table) index(r *Row) {
	t.changes++
	if r.State != Gone {
		t.digests[bucketOf(r.ID)] += r.hash()
	}
	if r.Live() {
		t.live[r.DataCentre]++
	}
	if r.Suspect && r.State != Gone {
		t.suspects[r.ID] = r
	}
	if !r.Serves() {
		return
	}
	rows := t.byService[r.Service]
	i, _ := slices.BinarySearchFunc(rows, r.ID, func(x *Row, id string) int { return cmp.Compare(x.ID, id) })
	t.byService[r.Service] = slices.Insert(rows, i, r)
}

func (t *Table) unindex(r *Row) {
	if r.State != Gone {
		t.digests[bucketOf(r.ID)] -= r.hash()
	}
	if r.Live() {
		t.live[r.DataCentre]--
	}
	delete(t.suspects, r.ID)
	rows := t.byService[r.Service]
	if i := slices.Index(rows, r); i >= 0 {
		t.byService[r.Service] = slices.Delete(rows, i, i+1)
	}
}

// Collect deletes entries that have been Gone since before a time.
func (t *Table) Collect(before time.Time) {
	for id, r := range t.rows {
		if r.State == Gone && r.Since.Before(before) {
			delete(t.rows, id)
			t.freeAddress(id, addressKey{address: r.Peer})
			t.freeAddress(id, addressKey{hop: true, address: r.Hop})
		}
	}
}

func (t *Table) freeAddress(id string, key addressKey) {
	if t.byAddress[key] == id {
		delete(t.byAddress, key)
	}
}

// Get returns the row of a backend server by its ID, and whether there is one.
func (t *Table) Get(id string) (Row, bool) {
	if r, ok := t.rows[id]; ok {
		return *r, true
	}
	return Row{}, false
}

// Serving returns the rows of a service that take new requests, in order of ID.
// The slice belongs to the table and is valid until the next Merge.
func (t *Table) Serving(service string) []*Row { return t.byService[service] }

// Changes returns a counter of changes to entries. While it is unchanged, so are
// all results of Serving.
func (t *Table) Changes() uint64 { return t.changes }

// Rows returns all rows in order of ID.
func (t *Table) Rows() []Row {
	return sorted(t.rows)
}

func sorted(rows map[string]*Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Suspects returns the rows that are suspected and not gone, in order of ID.
func (t *Table) Suspects() []Row { return sorted(t.suspects) }

// Entries returns all entries in order of ID.
func (t *Table) Entries() []Entry {
	rows := t.Rows()
	out := make([]Entry, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.Entry)
	}
	return out
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.rows) }

// Live returns the number of live entries of a data centre.
func (t *Table) Live(dataCentre string) int { return t.live[dataCentre] }

// DataCentres returns the names of the data centres with live entries.
func (t *Table) DataCentres() []string {
	var out []string
	for dc, n := range t.live {
		if n > 0 {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}
