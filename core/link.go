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
	behind time.Time      // since when a child has reported less than is held here
	named  bool           // a child that is reported as a laggard for it
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
		Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Peer: s.cfg.Peer, Kind: kind,
		Config: s.holder.set.Version, ConfigHash: s.holder.set.Hash(), Table: s.table.Digest(),
	}
}

// drop closes a link and forgets it.
func (s *State) drop(id LinkID, reason string) {
	if _, ok := s.links[id]; !ok {
		return
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
	s.log(notice.LinkDown, Attr{"peer", l.peer}, Attr{"node", l.node}, Attr{"role", l.role.String()}, Attr{"reason", reason})
	switch l.role {
	case roleParent:
		s.parentLost(id)
	case roleChild:
		s.childLost(l)
	case roleRoot:
		delete(s.root.reports, l.dc)
	}
}

// linksTick sends heartbeats and closes links that have gone silent.
func (s *State) linksTick() {
	limit := time.Duration(s.cfg.MissedLimit) * s.cfg.HeartbeatEvery
	for _, id := range sortedLinks(s.links) {
		l, ok := s.links[id]
		if !ok {
			continue
		}
		if s.now.Sub(l.heard) > limit {
			s.log(notice.LinkSilent, Attr{"peer", l.peer}, Attr{"node", l.node})
			s.drop(id, "silent")
			continue
		}
		if l.open && l.role != roleNew && s.now.Sub(l.sent) >= s.cfg.HeartbeatEvery {
			l.sent = s.now
			s.send(id, s.heartbeat())
		}
	}
}

func (s *State) heartbeat() message.Heartbeat {
	return message.Heartbeat{
		Path: s.path(), Rooted: s.rooted(), Config: s.configVersion(), Table: s.table.Digest(),
	}
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
		s.endpointsReceived(e.Link, l, m.Entries)
	case message.TableWanted:
		s.send(e.Link, message.Endpoints{Entries: s.table.Entries()})
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
