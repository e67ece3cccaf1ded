// Package message defines what nodes say to each other over a link. The
// values are data: a receiver never changes them.
package message

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// Message is one of the types below.
type Message interface{ isMessage() }

// LinkKind says what a dialled link is for.
type LinkKind uint8

// The kinds of links.
const (
	Child LinkKind = iota + 1 // the dialler asks to become a child in the tree
	Root                      // the dialler is the root of another data centre
)

// Hello is the first message on a link, sent by the dialler.
type Hello struct {
	Node       string
	DataCentre string
	Peer       string // address of the dialler for other nodes
	Kind       LinkKind
	Config     uint64 // configuration version held, zero: none
	ConfigHash uint64
	Table      uint64 // digest of the endpoint table held
	Self       endpoint.Entry
}

// Welcome accepts the dialler.
type Welcome struct {
	Node       string
	DataCentre string
	Heartbeat
}

// Redirect asks the dialler to join another node.
type Redirect struct{ Peer string }

// ComeBack asks the dialler to try again later.
type ComeBack struct {
	After  time.Duration
	Config uint64 // version held by the answering node
	Below  bool   // the answering node is below the dialler in the tree
}

// Heartbeat shows that the sender is alive. Parents tell their path, so that
// a cycle in the tree is found by its members.
type Heartbeat struct {
	Same   bool     // all but Source is as in the last one on this link; the rest is empty
	Source *Age     // of what the sender knows of the configuration's source; nil: nothing
	Path   []string // node IDs from the sender up to its root
	Rooted bool     // the path ends in a root, and every node of it has caught up
	Config uint64   // version held by the sender
	Newest uint64   // newest version that the root knows of
	Table  uint64   // digest of the sender's endpoint table
	Census uint64   // number of the root's newest census, zero: none
}

// Age is a time that has passed. It is sent instead of a time of day, since
// clocks differ.
type Age time.Duration

// Leaving says that the sender closes the link and lives on.
type Leaving struct{}

// Present answers a census with the nodes of the sender's subtree.
type Present struct{ Nodes []string }

// ConfigDelta leads from one version to a later one.
type ConfigDelta struct{ Delta config.Delta }

// ConfigWhole carries a whole set.
type ConfigWhole struct {
	Version uint64
	Hash    uint64
	Objects []config.Object
}

// ConfigWanted asks for whatever leads from the version held to the newest.
type ConfigWanted struct{ Have uint64 }

// Endpoints carries entries that are new to the sender.
type Endpoints struct{ Entries []endpoint.Entry }

// TableDigests compares endpoint tables: the receiver answers with its
// entries of each bucket whose digest differs.
type TableDigests struct{ Digests []uint64 }

// TableBuckets carries all entries of some buckets; the receiver answers with
// those of its own that the sender lacks.
type TableBuckets struct {
	Of      int // number of buckets in all
	Numbers []uint32
	Entries []endpoint.Entry
}

// Report counts what the sender and all below it have applied.
type Report struct {
	DataCentre string
	Applied    uint64    // smallest version applied by any of them
	Nodes      int       // live nodes counted
	Missing    int       // nodes thought to be live that are not in the tree; Applied is a bound for them too
	Laggards   []Laggard // at most MaxLaggards
}

// MaxLaggards bounds the list of laggards in a report.
const MaxLaggards = 16

// Laggard names a node that has not applied the newest version.
type Laggard struct {
	Node    string `json:"node"`
	Applied uint64 `json:"applied"`
	Reason  string `json:"reason,omitempty"`
}

func (Hello) isMessage()        {}
func (Welcome) isMessage()      {}
func (Redirect) isMessage()     {}
func (ComeBack) isMessage()     {}
func (Heartbeat) isMessage()    {}
func (ConfigDelta) isMessage()  {}
func (ConfigWhole) isMessage()  {}
func (ConfigWanted) isMessage() {}
func (Endpoints) isMessage()    {}
func (TableDigests) isMessage() {}
func (TableBuckets) isMessage() {}
func (Leaving) isMessage()      {}
func (Present) isMessage()      {}
func (Report) isMessage()       {}
