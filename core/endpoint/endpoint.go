// Package endpoint holds the table of backend servers. Each entry has one
// writer, the node beside the backend server, and a total order (incarnation,
// sequence, suspicion), so that entries may arrive in any order and over any
// path: the larger stays.
package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a backend server can do for callers.
type State uint8

// The states of a backend server.
const (
	Warming  State = iota + 1 // answers, but is to get little at first
	Ready                     // takes its full share
	Draining                  // finishes what it has, takes nothing new
	Failed                    // its node can't reach it
	Gone                      // ended; kept so that late news of it is dropped
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{Warming: "warming", Ready: "ready", Draining: "draining", Failed: "failed", Gone: "gone"}
	if int(s) >= len(names) || s == 0 {
		return "unknown"
	}
	return names[s]
}

// Serves reports whether new requests may be sent to this state.
func (s State) Serves() bool { return s == Warming || s == Ready }

// Incarnation tells the lives of one backend server at one address apart.
type Incarnation struct {
	Start  int64 // Unix milliseconds
	Random uint32
}

// Compare orders incarnations by start, then by the random number.
func (i Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Start, o.Start), cmp.Compare(i.Random, o.Random))
}

// Entry announces one backend server and the node beside it.
type Entry struct {
	ID          string // of the node and its backend server
	Service     string
	DataCentre  string
	Peer        string // address of the node for other nodes
	Hop         string // address of the node for requests
	Incarnation Incarnation
	Sequence    uint64
	Suspect     bool // set by a parent, refuted by a higher sequence
	State       State
	Slots       int
}

// Compare orders two entries of one ID by age; positive: e is newer.
func (e Entry) Compare(o Entry) int {
	return cmp.Or(e.Incarnation.Compare(o.Incarnation), cmp.Compare(e.Sequence, o.Sequence),
		cmp.Compare(boolInt(e.Suspect), boolInt(o.Suspect)))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Serves reports whether new requests may be sent to the backend server.
func (e Entry) Serves() bool { return e.State.Serves() && !e.Suspect }

// Row is an entry with what this process knows about it.
type Row struct {
	Entry
	Since time.Time // when this process first saw the entry's state
}

// Table holds the newest entry of each backend server.
type Table struct {
	rows      map[string]*Row
	byService map[string][]*Row // serving only, in order of ID
	digest    uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*Row{}, byService: map[string][]*Row{}}
}

// Merge takes an entry if it is newer than the one held, and reports whether
// it was taken.
func (t *Table) Merge(now time.Time, e Entry) bool {
	row, ok := t.rows[e.ID]
	if ok && e.Compare(row.Entry) <= 0 {
		return false
	}
	if !ok {
		row = &Row{}
		t.rows[e.ID] = row
	}
	if ok {
		t.digest -= row.hash()
		t.unindex(row)
	}
	if !ok || row.State != e.State || row.Incarnation != e.Incarnation {
		row.Since = now
	}
	row.Entry = e
	t.digest += row.hash()
	t.index(row)
	return true
}

func (t *Table) index(r *Row) {
	if !r.Serves() {
		return
	}
	rows := t.byService[r.Service]
	i, _ := slices.BinarySearchFunc(rows, r.ID, func(x *Row, id string) int { return cmp.Compare(x.ID, id) })
	t.byService[r.Service] = slices.Insert(rows, i, r)
}

func (t *Table) unindex(r *Row) {
	rows := t.byService[r.Service]
	if i := slices.Index(rows, r); i >= 0 {
		t.byService[r.Service] = slices.Delete(rows, i, i+1)
	}
}

// Get returns the row of a backend server.
func (t *Table) Get(id string) (Row, bool) {
	if r, ok := t.rows[id]; ok {
		return *r, true
	}
	return Row{}, false
}

// Serving returns the rows of a service that take new requests. The slice
// belongs to the table and is valid until the next Merge.
func (t *Table) Serving(service string) []*Row { return t.byService[service] }

// Entries returns all entries in order of ID.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.rows) }

// Digest returns a hash over all entries, equal for equal tables.
func (t *Table) Digest() uint64 { return t.digest }

func (r *Row) hash() uint64 {
	h := xxhash.Sum64String(r.ID)
	h = h*31 + uint64(r.Incarnation.Start)
	h = h*31 + uint64(r.Incarnation.Random)
	h = h*31 + r.Sequence
	return h*31 + uint64(boolInt(r.Suspect))
}
