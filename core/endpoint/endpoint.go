// Package endpoint holds the table of backend servers. Each entry has one
// writer, the node beside the backend server, and a total order (incarnation,
// sequence, suspicion), so that entries may arrive in any order and over any
// path: the larger stays.
package endpoint

import "cmp"

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
		cmp.Compare(e.suspicionRank(), o.suspicionRank()))
}

// suspicionRank orders what others say of an entry at one sequence: nothing, that it
// is suspected, that it was removed.
func (e Entry) suspicionRank() int {
	switch {
	case !e.Suspect:
		return 0
	case e.State != Gone:
		return 1
	}
	return 2
}

// Suspected returns the entry as marked by another node than its own.
func (e Entry) Suspected() Entry {
	e.Suspect = true
	return e
}

// Removed returns the entry as ended by another node than its own: it was
// suspected for too long, or another process has its address.
func (e Entry) Removed() Entry {
	e.Suspect, e.State = true, Gone
	return e
}

// Live reports whether the entry is that of a node thought to be running.
func (e Entry) Live() bool { return e.State != Gone && !e.Suspect }

// Serves reports whether new requests may be sent to the backend server.
func (e Entry) Serves() bool { return e.State.Serves() && !e.Suspect }
