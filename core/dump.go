package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/status"
)

// Dump is the state of a node in a form for people and scripts.
type Dump struct {
	Node          string           `json:"node"`
	DataCentre    string           `json:"dataCentre"`
	Time          time.Time        `json:"time"`
	Ready         bool             `json:"ready"`
	NotReady      string           `json:"notReady,omitempty"`
	Phase         string           `json:"phase"` // "seeking", "joining", "joined" or "root"
	Path          []string         `json:"path"`  // IDs of the nodes from this one up to its root
	ConfigVersion uint64           `json:"configVersion"`
	ConfigHash    uint64           `json:"configHash"`
	ConfigAge     time.Duration    `json:"configAge,omitempty"` // time since the version was last confirmed to be the newest of its source
	Routes        int              `json:"routes"`
	Publisher     bool             `json:"publisher"` // this node holds the publisher's lease
	Links         []DumpLink       `json:"links"`
	Reports       []message.Report `json:"reports,omitempty"`
	Endpoints     []endpoint.Entry `json:"endpoints"`
	Backend       DumpBackend      `json:"backend"`
	Calls         int              `json:"calls"`       // callers' requests in progress
	RetryTokens   float64          `json:"retryTokens"` // retries saved in the retry budget

	DumpRoles
}

// DumpLink describes one link in a Dump.
type DumpLink struct {
	ID        LinkID    `json:"id"`
	Role      string    `json:"role"`
	Node      string    `json:"node"`
	Peer      string    `json:"peer"`
	LastHeard time.Time `json:"lastHeard"` // time of the last message received
}

// DumpBackend describes the local backend server in a Dump.
type DumpBackend struct {
	Service  string `json:"service,omitempty"`
	State    string `json:"state"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Slots    int    `json:"slots"`
	Stopping bool   `json:"stopping"` // this process is shutting down

	LimitPerSecond *float64 `json:"limitPerSecond,omitempty"` // requests per second that it says it takes; nil: it names no limit
	Leaving        bool     `json:"leaving,omitempty"`        // it says that it takes no new requests
}

// DumpRoles is the part of a Dump that describes the roles of a node and
// its operations in progress.
type DumpRoles struct {
	Leases           []DumpLease             `json:"leases"`
	OtherRoots       map[string]lease.Record `json:"otherRoots,omitempty"` // by data centre; only known to a root
	RootWithoutLease bool                    `json:"rootWithoutLease,omitempty"`
	Suspects         []string                `json:"suspects,omitempty"` // nodes whose links ended, neither suspected yet nor reconnected
	Fetching         uint64                  `json:"fetching,omitempty"` // version that is being read from the platform
	Publishing       *DumpPublisher          `json:"publishing,omitempty"`
	StoreCalls       int                     `json:"storeCalls"` // platform calls in progress
	Platform         DumpPlatform            `json:"platform"`
	Requests         []DumpCall              `json:"requests"`
	Balance          []balance.View          `json:"balance"`
	Attempts         DumpAttempts            `json:"attempts"`
	Settings         Config                  `json:"settings"`
}

// DumpLease is a lease as last read by this node.
type DumpLease struct {
	Name    string       `json:"name"`
	Record  lease.Record `json:"record"`
	Known   bool         `json:"known"`   // the object exists
	Held    bool         `json:"held"`    // by this node
	Expired bool         `json:"expired"` // this node may take it
}

// DumpPublisher is the state of the publisher.
type DumpPublisher struct {
	Version  uint64          `json:"version"` // version of the head
	Epoch    uint64          `json:"epoch"`
	Listed   bool            `json:"listed"`           // the submissions have been listed
	Watching bool            `json:"watching"`         // a watch for submissions is in progress
	AtWork   string          `json:"atWork,omitempty"` // ID of the submission being processed
	Queue    []string        `json:"queue"`            // IDs of submissions waiting to be processed
	Awaited  []status.Status `json:"awaited"`          // accepted, but not yet in force
}

// DumpPlatform is this node's view of the platform.
type DumpPlatform struct {
	Down    bool `json:"down"`
	Retries int  `json:"retries"` // reads scheduled for a retry
	Held    int  `json:"held"`    // calls held back by this node's rate limit
}

// DumpCall is one caller's request in progress.
type DumpCall struct {
	Call     CallID    `json:"call"`
	Method   string    `json:"method"`
	Route    string    `json:"route"`
	Target   string    `json:"target"`
	Attempts int       `json:"attempts"`
	Deadline time.Time `json:"deadline"`
}

// DumpAttempts describes the attempts and keys that the node remembers.
type DumpAttempts struct {
	Remembered int `json:"remembered"` // attempt IDs of which a late copy would be refused
	Origins    int `json:"origins"`    // processes that sent them
	Keys       int `json:"keys"`       // idempotency keys remembered by this node
	Claims     int `json:"claims"`     // calls whose claim is being written
}

// maxDumpedCalls bounds the requests in a Dump.
const maxDumpedCalls = 1000

// Dump returns a copy of the state for display.
func (s *State) Dump() Dump {
	ready, why := s.Ready()
	d := Dump{
		Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Time: s.now, Ready: ready, NotReady: why,
		Phase: s.member.phase.String(), Path: s.path(), Publisher: s.publisher.lease.Held(s.now),
		Endpoints: s.table.Entries(), Calls: len(s.requests.calls), RetryTokens: s.retryTokens(),
		Backend:       s.backend.dump(s.cfg),
		ConfigVersion: s.holder.set.Version, ConfigHash: s.holder.set.Hash(), Routes: s.holder.snapshot.Routes(),
	}
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		d.Links = append(d.Links, DumpLink{ID: id, Role: l.role.String(), Node: l.node, Peer: l.peer, LastHeard: l.receivedAt})
	}
	if age := s.sourceAge(); age != nil {
		d.ConfigAge = time.Duration(*age)
	}
	d.DumpRoles = s.dumpRoles()
	for _, dc := range sortedNames(s.root.reports) {
		d.Reports = append(d.Reports, s.root.reports[dc])
	}
	return d
}

func (s *State) dumpRoles() DumpRoles {
	d := DumpRoles{
		Leases: []DumpLease{
			s.dumpLease(s.rootLeaseKey(), s.member.lease), s.dumpLease(keyspace.PublisherLease, s.publisher.lease),
		},
		OtherRoots: s.root.otherRoots, StoreCalls: len(s.calls),
		Platform: DumpPlatform{Down: s.platform.down, Retries: len(s.platform.retries)},
		Requests: []DumpCall{}, Balance: s.requests.balancer.Views(),
		Settings: s.cfg, RootWithoutLease: s.root.withoutLease, Suspects: sortedNames(s.suspects),
	}
	d.Attempts.Remembered, d.Attempts.Origins = s.backend.dedup.Len()
	for _, waiting := range s.platform.limit.waiting {
		d.Platform.Held += len(waiting)
	}
	d.Attempts.Keys, d.Attempts.Claims = s.backend.keys.Len(), len(s.requests.claims.pending)
	if f := s.root.fetch; f != nil {
		d.Fetching = f.head.Version
	}
	if s.publisher.active {
		d.Publishing = s.publisher.dump()
	}
	ids := sortedNames(s.requests.calls)
	for _, id := range ids[:min(len(ids), maxDumpedCalls)] {
		c := s.requests.calls[id]
		d.Requests = append(d.Requests, DumpCall{
			Call: id, Method: c.method, Route: c.route.Name, Target: c.targetID(), Attempts: c.attempts, Deadline: c.deadline,
		})
	}
	return d
}

func (s *State) dumpLease(name string, m *lease.Machine) DumpLease {
	record, known := m.Record()
	return DumpLease{Name: name, Record: record, Known: known, Held: m.Held(s.now), Expired: m.Expired(s.now)}
}

func (p *publisher) dump() *DumpPublisher {
	d := &DumpPublisher{
		Version: p.head.Version, Epoch: p.head.Epoch, Listed: p.listed, Watching: p.watching,
		Queue: []string{}, Awaited: []status.Status{},
	}
	if p.job != nil {
		d.AtWork = p.job.sub.ID
	}
	for _, q := range p.queue {
		d.Queue = append(d.Queue, q.sub.ID)
	}
	for _, a := range p.accepted {
		d.Awaited = append(d.Awaited, a.status)
	}
	return d
}

// Children returns the number of links below this node in the tree.
func (d Dump) Children() int {
	n := 0
	for _, l := range d.Links {
		if l.Role == roleChild.String() {
			n++
		}
	}
	return n
}

// Depth returns the number of links from this node to its root.
func (d Dump) Depth() int { return max(len(d.Path)-1, 0) }
