package core

import (
	"cmp"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/lease"
)

// Config holds the settings of a State.
type Config struct {
	Node        string // ID of the node and of its backend server
	DataCentre  string
	Peer        string // address of this node for links from other nodes
	Hop         string // address of this node for requests from other nodes
	Service     string // service of the backend server; empty if the node has none
	Slots       int    // attempts that the backend server runs concurrently
	StatusSlots int    // how many of Slots are reserved for status checks
	MaxQueue    int    // attempts that may wait for a slot
	Fanout      int    // maximum number of children of a node in the tree
	Incarnation endpoint.Incarnation
	Seed        uint64        // seed of the random numbers
	Source      bool          // configuration is read from keyspace.Source, not from a publisher
	FirstStart  bool          // the whole mesh starts for the first time: no process of this node has kept anything before
	Announced   bool          // the backend server sends status reports (BackendReported) and is not probed
	SourceWait  time.Duration // longest wait of one watch of the source
	SilentAfter time.Duration // an announced backend server that sends no report for this long counts as failed
	Seeds       []string      // addresses of other nodes, for a start without the platform
	Favour      Favour

	TickEvery      time.Duration // time between two Ticks
	HeartbeatEvery time.Duration // time between two heartbeats on a link
	MissedLimit    int           // consecutive missed heartbeats after which a link counts as silent
	LeaseTTL       time.Duration // lease.Config.TTL of all leases
	LeaseRenew     time.Duration // lease.Config.Renew of all leases
	LeaseMargin    time.Duration // lease.Config.Margin of all leases
	ProbeEvery     time.Duration // time between two health probes of the backend server
	WatchWait      time.Duration // longest wait of one watch of the head or of submissions
	JoinJitter     time.Duration // upper bound of the random wait before a new search for a parent, which may claim the root lease
	SlowStart      time.Duration // how long a backend server that starts to serve is Warming
	DrainAtLeast   time.Duration // shortest drain, so that senders with stale state learn of a draining backend server
	DrainAtMost    time.Duration // longest drain, after which the process ends in any case
	RetryShare     float64       // retries earned per call
	RerunShare     float64       // reruns earned per call: retries of what a backend server may have seen; zero: RetryShare / (retry.MaxDepth+1)
	RerunReserve   float64       // reserve of reruns for times with few calls, shared by all nodes; zero: a part of the retry reserve
	ReportEvery    time.Duration // shortest time between two reports of one node
	BatchWindow    time.Duration // updates of endpoints that begin to serve are batched for this long; zero: sent at once
	JoinsPerSecond int           // joins that one node accepts per second
	Grace          time.Duration // time that the nodes of a data centre have to find a new root
	SuspectLimit   time.Duration // a suspected entry that is not refuted within this time is removed
	TombstoneFor   time.Duration // how long tombstones of removed entries are kept

	treeFaults treeFaults

	SweepEvery      time.Duration // time between garbage collections in the platform
	StatusKeep      time.Duration // how long the status of a settled submission is kept
	publisherFaults publisherFaults

	QueueMaxWait  time.Duration // longest wait of an attempt for a slot
	QueueTarget   time.Duration // longest wait for a slot once the queue, for status checks that of their own class, has not been empty for QueueInterval
	QueueInterval time.Duration // as in QueueTarget

	QuotaWindow  time.Duration // as Window in quota.Config
	QuotaOverage float64       // as Overage in quota.Config
	QuotaSlack   float64       // as Slack in quota.Config

	KeyKeep         time.Duration // how long a node remembers an Idempotency-Key
	ClaimKeep       time.Duration // how long a claim is kept in the platform
	ClaimsPerSecond float64       // rate at which this node may create claims
}

// Favour selects what the distribution of configuration and endpoints is
// optimized for.
type Favour string

// The values of Favour.
const (
	FavourConvergence Favour = "convergence" // low latency: push at once
	FavourBytes       Favour = "bytes"       // low traffic: batch and compress
)

// treeFaults disables single safeguards of the tree, of the endpoint table
// and of the configuration in force. Only tests set it, to verify that the
// checks of the invariants can fail.
type treeFaults struct {
	anyVersion     bool // any offered version is accepted
	noDigests      bool // endpoint tables are not compared
	noGrace        bool // a root removes the entries of absent nodes without waiting for Grace
	noCycleCheck   bool // a path that contains this node is not detected as a cycle
	noWatchdog     bool // a refused probe is treated like one without an answer
	noSuspicion    bool // neighbours that go silent are not suspected
	noTakeover     bool // a lease whose holder has ended is left to expire
	swapUncompiled bool // the set is replaced without its compiled form
}

// WithDefaults returns the settings with every zero field set to its
// default.
func (c Config) WithDefaults() Config {
	if c.Favour == FavourBytes {
		setDefault(&c.HeartbeatEvery, 2*time.Second)
		setDefault(&c.ReportEvery, time.Second)
		setDefault(&c.BatchWindow, 500*time.Millisecond)
	}
	setDefault(&c.Favour, FavourConvergence)
	setDefault(&c.Slots, 6)
	setDefault(&c.MaxQueue, 8*c.Slots)
	setDefault(&c.Fanout, 8)
	setDefault(&c.TickEvery, 50*time.Millisecond)
	setDefault(&c.HeartbeatEvery, time.Second)
	setDefault(&c.MissedLimit, 3)
	setDefault(&c.LeaseTTL, 5*time.Second)
	setDefault(&c.LeaseRenew, 2*time.Second)
	setDefault(&c.LeaseMargin, time.Second)
	setDefault(&c.ProbeEvery, time.Second)
	setDefault(&c.SilentAfter, 5*time.Second)
	setDefault(&c.WatchWait, 20*time.Second)
	setDefault(&c.SourceWait, time.Second)
	setDefault(&c.JoinJitter, 200*time.Millisecond)
	setDefault(&c.SlowStart, 5*time.Second)
	setDefault(&c.DrainAtLeast, time.Second)
	setDefault(&c.DrainAtMost, 30*time.Second)
	setDefault(&c.RetryShare, 0.1)
	setDefault(&c.ReportEvery, c.TickEvery)
	setDefault(&c.JoinsPerSecond, 100)
	setDefault(&c.Grace, 20*time.Second)
	setDefault(&c.SuspectLimit, 30*time.Second)
	setDefault(&c.TombstoneFor, 10*time.Minute)
	setDefault(&c.SweepEvery, 15*time.Minute)
	setDefault(&c.StatusKeep, 24*time.Hour)
	setDefault(&c.QuotaWindow, 5*time.Second)
	setDefault(&c.QuotaOverage, 0.1)
	setDefault(&c.KeyKeep, 10*time.Minute)
	setDefault(&c.ClaimKeep, 24*time.Hour)
	setDefault(&c.ClaimsPerSecond, 5)
	return c
}

func (c Config) balance() balance.Config {
	b := balance.DefaultConfig(c.DataCentre)
	b.Node, b.SlowStart = c.Node, c.SlowStart
	return b
}

func (c Config) lease() lease.Config {
	return lease.Config{Holder: c.Node, Address: c.Peer, TTL: c.LeaseTTL, Renew: c.LeaseRenew, Margin: c.LeaseMargin}
}

func (c Config) admission() admission.Config {
	a := admission.DefaultConfig(c.Slots)
	setDefault(&c.QueueMaxWait, a.MaxWait)
	setDefault(&c.QueueTarget, a.Target)
	setDefault(&c.QueueInterval, a.Interval)
	a.StatusSlots, a.MaxQueue, a.MaxWait, a.Target, a.Interval = c.StatusSlots, c.MaxQueue, c.QueueMaxWait, c.QueueTarget, c.QueueInterval
	return a
}

func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }
