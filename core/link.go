package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// linkRole says what the node at the other end is to this one.
type linkRole uint8

const (
	roleNew    linkRole = iota // no Hello or Welcome yet
	roleParent                 // the other end is the parent, or is asked to be
	roleChild                  // the other end is a child in the tree
	roleRoot                   // the other end is the root of another data centre
)

func (r linkRole) String() string {
	return [...]string{roleNew: "new", roleParent: "parent", roleChild: "child", roleRoot: "root"}[r]
}

// link is a connection to another node.
type link struct {
	role   linkRole
	open   bool
	node   string
	dc     string
	peer   string
	heard  time.Time
	sent   time.Time
	report message.Report // of a child or another root
	config uint64         // version that the other end is known to hold

	greeted   bool              // Hello and Welcome are exchanged
	told      message.Heartbeat // last one sent
	last      message.Heartbeat // last one received
	sames     int               // empty heartbeats sent since
	differing int               // heartbeats in a row with another digest
	leaving   bool              // the other end said that it lives on
	wanted    time.Time         // when a version was asked for over this link
	behind    time.Time         // since when a child holds less than this node
	named     bool              // reported as a laggard
	batch     map[string]bool   // endpoints to tell when the window has passed
	batchAt   time.Time
}

func (s *State) dial(address string, role linkRole) LinkID {
	s.lastLink += 2
	s.links[s.lastLink] = &link{role: role, peer: address, heard: s.now}
	s.emit(Dial{Link: s.lastLink, Address: address})
	return s.lastLink
}

func (s *State) linkUp(e LinkUp) {
	if !e.Dialled {
		s.links[e.Link] = &link{open: true, heard: s.now, sent: s.now}
		return
	}
	l, ok := s.links[e.Link]
	if !ok {
		s.emit(CloseLink{Link: e.Link, Reason: "no longer wanted"})
		return
	}
	l.open, l.heard, l.sent = true, s.now, s.now
	kind := message.Child
	if l.role == roleRoot {
		kind = message.Root
	}
	s.send(e.Link, s.hello(kind))
}

func (s *State) hello(kind message.LinkKind) message.Hello {
	return message.Hello{
		Self: s.backend.entry,
		Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Peer: s.cfg.Peer, Kind: kind,
		Config: s.holder.set.Version, ConfigHash: s.holder.set.Hash(), Table: s.table.Digest(),
	}
}

// drop closes a link and forgets it. The other end is told that this node
// lives on, also before a Welcome: its own may be on the way.
func (s *State) drop(id LinkID, reason string) {
	l, ok := s.links[id]
	if !ok {
		return
	}
	if l.open {
		s.send(id, message.Leaving{})
	}
	s.emit(CloseLink{Link: id, Reason: reason})
	s.linkDown(id, reason)
}

func (s *State) linkDown(id LinkID, reason string) {
	l, ok := s.links[id]
	if !ok {
		return
	}
	delete(s.links, id)
	s.log(notice.LinkDown, Attr{"peer", l.peer}, Attr{"remote", l.node}, Attr{"role", l.role.String()}, Attr{"reason", reason})
	switch l.role {
	case roleParent:
		s.parentLost(id)
	case roleChild:
		s.childLost(l)
	case roleRoot:
		s.otherRootLost(l)
	}
	s.suspectLater(l)
}

// linksTick sends heartbeats and closes links that have gone silent.
func (s *State) linksTick() {
	limit := time.Duration(s.cfg.MissedLimit) * s.cfg.HeartbeatEvery
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) > limit/2 {
		s.hearAnew() // this process itself stood still: it can't say who was silent
	}
	for _, id := range sortedLinks(s.links) {
		l, ok := s.links[id]
		if !ok {
			continue
		}
		if s.now.Sub(l.heard) > limit {
			s.log(notice.LinkSilent, Attr{"peer", l.peer}, Attr{"remote", l.node})
			s.drop(id, "silent")
			continue
		}
		if l.open && l.greeted && s.now.Sub(l.sent) >= s.cfg.HeartbeatEvery {
			s.sendHeartbeat(id, l)
		}
	}
}

func (s *State) hearAnew() {
	for _, l := range s.links {
		l.heard = s.now
	}
}

func (s *State) heartbeat() message.Heartbeat {
	return message.Heartbeat{
		Path: s.path(), Rooted: s.rooted(), Config: s.configVersion(), Newest: s.member.newest,
		Table: s.table.Digest(), Census: s.member.census, Source: s.sourceAge(),
	}
}

// maxSameHeartbeats is the number of empty heartbeats after which a whole one
// is sent: should one have been lost, the ends agree again after so many.
const maxSameHeartbeats = 4

// sendHeartbeat says how this node stands, or that nothing has changed since
// it last did over this link.
func (s *State) sendHeartbeat(id LinkID, l *link) {
	l.sent = s.now
	h := s.heartbeat()
	if sameHeartbeat(h, l.told) && l.sames < maxSameHeartbeats {
		l.sames++
		s.send(id, message.Heartbeat{Same: true, Source: h.Source})
		return
	}
	l.told, l.sames = h, 0
	s.send(id, h)
}

// tellChildren sends a heartbeat to all children at once: what stands in it
// has changed in a way that they act on.
func (s *State) tellChildren() {
	for _, id := range s.children() {
		if l := s.links[id]; l.greeted {
			s.sendHeartbeat(id, l)
		}
	}
}

func sameHeartbeat(a, b message.Heartbeat) bool {
	return a.Rooted == b.Rooted && a.Config == b.Config && a.Newest == b.Newest && a.Table == b.Table &&
		a.Census == b.Census && slices.Equal(a.Path, b.Path)
}

func (s *State) linkMessage(e LinkMessage) {
	l, ok := s.links[e.Link]
	if !ok {
		return // closed in the meantime
	}
	l.heard = s.now
	switch m := e.Message.(type) {
	case message.Hello:
		s.helloReceived(e.Link, l, m)
	case message.Welcome:
		s.welcomed(e.Link, l, m)
	case message.Redirect:
		s.redirected(e.Link, l, m)
	case message.ComeBack:
		s.toldToComeBack(e.Link, l, m)
	case message.Heartbeat:
		s.heartbeatReceived(e.Link, l, m)
	case message.ConfigDelta:
		s.deltaReceived(e.Link, l, m)
	case message.ConfigWhole:
		s.wholeReceived(l, m)
	case message.ConfigWanted:
		l.config = m.Have
		s.sendConfig(e.Link, l)
	case message.Endpoints:
		s.endpointsReceived(e.Link, m.Entries)
	case message.TableDigests:
		s.digestsReceived(e.Link, m)
	case message.TableBuckets:
		s.bucketsReceived(e.Link, m)
	case message.Leaving:
		l.leaving = true
	case message.Present:
		s.presentReceived(m)
	case message.Report:
		s.reportReceived(l, m)
	}
}

func sortedLinks(links map[LinkID]*link) []LinkID {
	return slices.Sorted(maps.Keys(links))
}

func sortedNames[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
