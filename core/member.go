package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/status"
)

// memberPhase is where a node stands in the tree of its data centre.
type memberPhase uint8

const (
	phaseSeeking memberPhase = iota // looks for a parent
	phaseJoining                    // has dialled one
	phaseJoined                     // has one
	phaseRoot                       // is the root
)

func (p memberPhase) String() string {
	return [...]string{phaseSeeking: "seeking", phaseJoining: "joining", phaseJoined: "joined", phaseRoot: "root"}[p]
}

// Prefixes of the lease objects.
const (
	rootLeasePrefix   = "lease/root/"
	publisherLeaseKey = "lease/publisher"
)

// joinTimeout bounds the time from a dial to a Welcome.
const joinTimeout = 3 * time.Second

// member is the node's place in the tree of its data centre.
type member struct {
	phase    memberPhase
	since    time.Time // of the phase
	retryAt  time.Time
	reading  bool // a read of the root lease is under way
	lease    *lease.Machine
	parent   LinkID
	path     []string // parent first, root last
	rooted   bool     // the path ends in a root
	target   uint64   // version to hold before the node serves
	current  bool     // it has held target once
	reported message.Report
	lost     map[string]lostChild // by node
	settled  bool                 // the phase has lasted for rejoinGrace
}

func newMember(cfg Config) member {
	return member{lost: map[string]lostChild{}, lease: lease.New(lease.Config{
		Holder: cfg.Node, Address: cfg.Peer, TTL: cfg.LeaseTTL, Renew: cfg.LeaseRenew, Margin: cfg.LeaseMargin,
	})}
}

func (s *State) setPhase(p memberPhase) {
	if s.member.phase == p {
		return
	}
	s.member.phase, s.member.since, s.member.settled = p, s.now, false
}

// path returns the nodes from this one to its root.
func (s *State) path() []string {
	return append([]string{s.cfg.Node}, s.member.path...)
}

func (s *State) rooted() bool { return s.member.phase == phaseRoot || s.member.rooted }

func (s *State) memberTick() {
	m := &s.member
	s.lostTick()
	switch m.phase {
	case phaseSeeking:
		if !m.reading && !s.now.Before(m.retryAt) {
			m.reading = true
			s.storeGet(rootLeasePrefix+s.cfg.DataCentre, storeCall{purpose: forRootLeaseRead})
		}
	case phaseJoining:
		if s.now.Sub(m.since) > joinTimeout {
			s.drop(m.parent, "no answer to Hello")
		}
	}
}

// seekAgain looks for a parent after a random wait.
func (s *State) seekAgain(limit time.Duration) {
	s.setPhase(phaseSeeking)
	s.member.parent, s.member.path, s.member.rooted = 0, nil, false
	s.member.retryAt = s.now.Add(s.jitter(limit))
}

func (s *State) rootLeaseRead(done StoreDone) {
	m := &s.member
	m.reading = false
	rec, version, err := readLease(done)
	if err != nil {
		s.platformFailed(done)
		if m.phase == phaseSeeking {
			s.seekAgain(s.cfg.LeaseRenew)
		}
		return
	}
	m.lease.Observe(s.now, rec, version)
	if m.phase != phaseSeeking {
		return
	}
	if w, due := m.lease.Next(s.now, true); due {
		s.storePut(rootLeasePrefix+s.cfg.DataCentre, mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
		return
	}
	if rec.Holder == s.cfg.Node {
		s.seekAgain(s.cfg.JoinJitter)
		return
	}
	s.setPhase(phaseJoining)
	m.parent = s.dial(rec.Address, roleParent)
}

func (s *State) rootLeaseWritten(done StoreDone) {
	m := &s.member
	if done.Err != StoreOK {
		leaseNotWritten(m.lease, done)
		if done.Err == StoreFailed {
			s.platformFailed(done)
		}
		if m.phase == phaseSeeking {
			s.seekAgain(s.cfg.JoinJitter)
		}
		return
	}
	m.lease.Written(s.now, done.Version)
	if m.phase != phaseRoot {
		s.becomeRoot()
	}
}

func (s *State) parentLost(id LinkID) {
	if s.member.parent != id {
		return
	}
	s.seekAgain(s.cfg.JoinJitter)
}

func (s *State) childLost(l *link) {
	s.childLeft(l)
	s.report()
}

func (s *State) children() []LinkID {
	var out []LinkID
	for _, id := range sortedLinks(s.links) {
		if s.links[id].role == roleChild {
			out = append(out, id)
		}
	}
	return out
}

func (s *State) helloReceived(id LinkID, l *link, m message.Hello) {
	l.node, l.dc, l.peer, l.config = m.Node, m.DataCentre, m.Peer, m.Config
	if m.Kind == message.Root {
		l.role = roleRoot
		s.greet(id, l, m)
		return
	}
	if slices.Contains(s.path(), m.Node) || s.member.phase == phaseSeeking || s.member.phase == phaseJoining {
		s.send(id, message.ComeBack{After: s.jitter(s.cfg.HeartbeatEvery)})
		return
	}
	if to, full := s.placement(m.Node); full {
		s.send(id, message.Redirect{Peer: to})
		return
	}
	for _, old := range s.children() {
		if s.links[old].node == m.Node {
			s.drop(old, "replaced by a newer link")
		}
	}
	delete(s.member.lost, m.Node)
	l.role, l.report = roleChild, message.Report{DataCentre: m.DataCentre, Applied: m.Config, Nodes: 1}
	s.greet(id, l, m)
	s.report()
}

// placement returns where a joiner is to go when this node has no room: to
// the child with the fewest nodes below it.
func (s *State) placement(joiner string) (string, bool) {
	children := s.children()
	if len(children) < s.cfg.Fanout {
		return "", false
	}
	var best *link
	for _, id := range children {
		c := s.links[id]
		if c.node == joiner {
			return "", false
		}
		if best == nil || c.report.Nodes < best.report.Nodes {
			best = c
		}
	}
	best.report.Nodes++ // until its next report: a herd spreads over the children
	return best.peer, true
}

// greet welcomes the dialler and brings it up to date.
func (s *State) greet(id LinkID, l *link, m message.Hello) {
	l.sent = s.now
	s.send(id, message.Welcome{
		Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Path: s.path(), Config: s.configVersion(), Rooted: s.rooted(),
	})
	s.sendConfig(id, l)
	if m.Table != s.table.Digest() {
		s.send(id, message.Endpoints{Entries: s.table.Entries()})
		s.send(id, message.TableWanted{})
	}
	if l.role == roleRoot {
		s.send(id, s.ownReport())
	}
}

func (s *State) welcomed(id LinkID, l *link, m message.Welcome) {
	l.node, l.dc, l.config = m.Node, m.DataCentre, m.Config
	if l.role == roleRoot {
		s.send(id, s.ownReport())
		s.sendConfig(id, l)
		return
	}
	if id != s.member.parent {
		return
	}
	s.setPhase(phaseJoined)
	s.member.path, s.member.rooted = m.Path, m.Rooted
	s.member.target = max(s.member.target, m.Config)
	s.member.reported = message.Report{}
	s.caughtUp()
	s.log(notice.JoinedParent, Attr{"parent", m.Node}, Attr{"path", m.Path})
	s.send(id, message.Endpoints{Entries: s.table.Entries()})
	s.report()
}

// caughtUp notes when the node holds what its root held as it joined.
func (s *State) caughtUp() {
	if s.member.current || s.configVersion() < s.member.target || !s.rooted() {
		return
	}
	s.member.current = true
	s.log(notice.NodeReady, Attr{"version", s.configVersion()})
}

func (s *State) redirected(id LinkID, _ *link, m message.Redirect) {
	if id != s.member.parent {
		return
	}
	s.member.parent = 0
	s.drop(id, "redirected")
	s.setPhase(phaseSeeking)
	s.setPhase(phaseJoining)
	s.member.parent = s.dial(m.Peer, roleParent)
}

func (s *State) toldToComeBack(id LinkID, _ *link, m message.ComeBack) {
	if id != s.member.parent {
		return
	}
	s.drop(id, "told to come back")
	s.member.retryAt = s.now.Add(m.After)
}

func (s *State) heartbeatReceived(id LinkID, l *link, m message.Heartbeat) {
	l.config = max(l.config, m.Config)
	if l.role != roleParent || id != s.member.parent {
		if l.config < s.configVersion() && l.role != roleParent {
			s.sendConfig(id, l)
		}
		return
	}
	if slices.Contains(m.Path, s.cfg.Node) {
		s.drop(id, "the tree has a cycle")
		return
	}
	s.member.path, s.member.rooted = m.Path, m.Rooted
	if m.Config > s.configVersion() {
		s.send(id, message.ConfigWanted{Have: s.configVersion()})
	}
	if m.Table != s.table.Digest() {
		s.send(id, message.TableWanted{})
		s.send(id, message.Endpoints{Entries: s.table.Entries()})
	}
	s.caughtUp()
}

// ownReport counts this node and all below it.
func (s *State) ownReport() message.Report {
	own := message.Report{DataCentre: s.cfg.DataCentre, Applied: s.configVersion(), Nodes: 1}
	if s.holder.refused != "" {
		own.Laggards = []message.Laggard{{Node: s.cfg.Node, Applied: own.Applied, Reason: s.holder.refused}}
	}
	s.countLost(&own)
	var below []message.Report
	for _, id := range s.children() {
		below = append(below, s.links[id].report)
	}
	return status.Count(own, below)
}

// report sends the count up, or from a root to the other roots, if it has
// changed.
func (s *State) report() {
	r := s.ownReport()
	if sameReport(r, s.member.reported) {
		return
	}
	s.member.reported = r
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if l.open && (l.role == roleRoot || id == s.member.parent && s.member.phase == phaseJoined) {
			s.send(id, r)
		}
	}
	s.publisherCounted()
}

func sameReport(a, b message.Report) bool {
	return a.Applied == b.Applied && a.Nodes == b.Nodes && a.DataCentre == b.DataCentre && slices.Equal(a.Laggards, b.Laggards)
}

func (s *State) reportReceived(l *link, r message.Report) {
	l.report = r
	switch l.role {
	case roleChild:
		s.report()
	case roleRoot:
		s.root.reports[r.DataCentre] = r
		s.publisherCounted()
	}
}
