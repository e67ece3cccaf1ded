// Package message defines the messages that nodes exchange over a link. Neither the
// sender nor a receiver may modify what has been sent: it is encoded later, and for
// several links at once.
package message

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/quota"
)

// Message is implemented by the message types of this package.
type Message interface{ isMessage() }

// LinkKind is the purpose of a link, as declared by the dialler.
type LinkKind uint8

// The kinds of links.
const (
	Child LinkKind = iota + 1 // the dialler requests to become a child in the tree
	Root                      // the dialler is the root of another data centre
)

// Hello is the first message on a link, sent by the dialler.
type Hello struct {
	Node       string
	DataCentre string
	Peer       string // address at which other nodes reach the dialler
	Kind       LinkKind
	Config     uint64         // configuration version held; zero: none
	ConfigHash uint64         // hash of that version
	Table      uint64         // digest of the endpoint table held
	Self       endpoint.Entry // the dialler's own entry in the endpoint table
}

// Welcome accepts the dialler and contains a first heartbeat.
type Welcome struct {
	Node       string
	DataCentre string
	Heartbeat
}

// Redirect refers the dialler to another node, given by its address.
type Redirect struct{ Peer string }

// ComeBack refuses the dialler for now and gives the delay before it may retry.
type ComeBack struct {
	After  time.Duration
	Config uint64 // configuration version held by the answering node
	Below  bool   // the answering node is a descendant of the dialler in the tree
}

// Heartbeat shows that the sender is alive. It includes the sender's path to its root, so
// that the members of a cycle in the tree detect it.
type Heartbeat struct {
	Same   bool     // all fields but Source and Quota are as in the previous heartbeat on this link and are omitted
	Source *Age     // age of the sender's last information from the configuration source; nil: none
	Path   []string // IDs of the nodes from the sender up to its root
	Rooted bool     // the path ends at a root, and all of its nodes have caught up
	Config uint64   // configuration version held by the sender
	Newest uint64   // newest version known to the root
	Table  uint64   // digest of the sender's endpoint table
	Census uint64   // number of the root's latest census, which all nodes of its tree answer with Present; zero: none

	// Restored is the highest era of the platform that began, as far as the sender knows, since
	// any of the nodes has run: it was restored from a copy then. Zero: none.
	Restored uint64

	Quota *QuotaHeartbeat // nil: there are no client accounts
}

// QuotaHeartbeat is the part of a heartbeat about the quotas of client accounts.
type QuotaHeartbeat struct {
	Stamp time.Duration // the sender's clock, from its start on
	Loan  quota.Loan    // what the sender lends to the receiver, its parent

	PassesOn bool // the sender lends what it borrows to a parent of its own
}

// QuotaAsk asks the parent for tokens of client accounts.
type QuotaAsk struct{ quota.Ask }

// QuotaGrant answers a QuotaAsk.
type QuotaGrant struct{ quota.Grant }

// Age is an elapsed time. It is sent instead of a timestamp, since the nodes' clocks
// differ.
type Age time.Duration

// Leaving announces that the sender closes the link on purpose, either while it
// keeps running or because it exits after a drain. The receiver must not take the
// end of the link as a sign that the sender has failed.
type Leaving struct {
	ReturnsShares bool // the sender no longer uses the shares of quotas that the receiver lent it, nor does another node
}

// Present answers a census with the IDs of the nodes in the sender's subtree.
type Present struct{ Nodes []string }

// ConfigDelta carries the changes from one configuration version to a later one.
type ConfigDelta struct{ Delta config.Delta }

// ConfigWhole carries a complete configuration set.
type ConfigWhole struct {
	Version uint64
	Hash    uint64
	Objects []config.Object
}

// ConfigWanted requests what is needed to get from version Have, which the sender holds,
// to the newest one.
type ConfigWanted struct{ Have uint64 }

// Endpoints carries endpoint entries that are new to the sender.
type Endpoints struct{ Entries []endpoint.Entry }

// TableDigests carries the digests of the sender's endpoint table by bucket. The receiver
// answers with its entries of each bucket whose digest differs.
type TableDigests struct{ Digests []uint64 }

// TableBuckets carries all entries of some buckets. The receiver answers with the entries
// of these buckets that the sender lacks.
type TableBuckets struct {
	Of      int      // total number of buckets
	Numbers []uint32 // numbers of the buckets included
	Entries []endpoint.Entry
}

// Report aggregates the versions applied by the sender and its subtree.
type Report struct {
	DataCentre string
	Applied    uint64    // smallest version applied by any of the nodes
	Nodes      int       // number of live nodes counted
	Missing    int       // nodes believed to be live but not in the tree; Applied is a lower bound for them too
	Laggards   []Laggard // at most MaxLaggards nodes that are behind
}

// MaxLaggards is the maximum length of the list of laggards in a report.
const MaxLaggards = 16

// Laggard is a node that has not applied the newest version.
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
func (QuotaAsk) isMessage()     {}
func (QuotaGrant) isMessage()   {}
