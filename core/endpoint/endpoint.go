// Package endpoint holds the table of backend servers. Each entry is written by
// one node, the one beside the backend server. Versions of an entry are totally
// ordered by incarnation, sequence and suspicion, so they may arrive in any order
// and over any path: the table keeps the greatest.
package endpoint

import "cmp"

// State is the serving state of a backend server.
type State uint8

// The states of a backend server.
const (
	Warming  State = iota + 1 // in slow start: takes a reduced share of requests
	Ready                     // takes its full share of requests
	Draining                  // completes its requests but takes no new ones
	Failed                    // its node can't reach it or has found it unhealthy
	Gone                      // ended; kept as a tombstone so that older entries that arrive late are ignored
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{Warming: "warming", Ready: "ready", Draining: "draining", Failed: "failed", Gone: "gone"}
	if int(s) >= len(names) || s == 0 {
		return "unknown"
	}
	return names[s]
}

// Serves reports whether a backend server in this state takes new requests.
func (s State) Serves() bool { return s == Warming || s == Ready }

// Incarnation identifies one run of a backend server's node, so that successive
// runs at one address can be distinguished.
type Incarnation struct {
	Start  int64 // start time in Unix milliseconds
	Random uint32
}

// Compare orders incarnations by start, then by the random number.
func (i Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Start, o.Start), cmp.Compare(i.Random, o.Random))
}

// Entry describes one backend server and the node beside it.
type Entry struct {
	ID          string // of the node and its backend server
	Service     string
	DataCentre  string
	Peer        string // address of the node for other nodes
	Hop         string // address of the node for requests
	Incarnation Incarnation
	Sequence    uint64 // increased with each change by the entry's own node
	Suspect     bool   // set by another node, refuted by a higher sequence
	State       State
	Slots       int // requests that it runs at once
}

// Compare orders two versions of one entry by age; positive: e is newer.
func (e Entry) Compare(o Entry) int {
	return cmp.Or(e.Incarnation.Compare(o.Incarnation), cmp.Compare(e.Sequence, o.Sequence),
		cmp.Compare(e.suspicionRank(), o.suspicionRank()))
}

// suspicionRank orders the marks that other nodes set on an entry at one
// sequence: none, suspected, removed.
func (e Entry) suspicionRank() int {
	switch {
	case !e.Suspect:
		return 0
	case e.State != Gone:
		return 1
	}
	return 2
}

// Suspected returns the entry marked as suspected by another node.
func (e Entry) Suspected() Entry {
	e.Suspect = true
	return e
}

// Removed returns the entry marked as removed by another node: it was suspected
// for too long, or another process now has its address.
func (e Entry) Removed() Entry {
	e.Suspect, e.State = true, Gone
	return e
}

// Live reports whether the entry's node is presumed to be running.
func (e Entry) Live() bool { return e.State != Gone && !e.Suspect }

// Serves reports whether new requests may be sent to the backend server.
func (e Entry) Serves() bool { return e.State.Serves() && !e.Suspect }
