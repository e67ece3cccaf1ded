package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// linkRole is the role of the node at the other end of a link.
type linkRole uint8

const (
	roleNew    linkRole = iota // no Hello or Welcome yet
	roleParent                 // the other end is the parent, or has been dialled to become it
	roleChild                  // the other end is a child in the tree
	roleRoot                   // the other end is the root of another data centre
)

func (r linkRole) String() string {
	return [...]string{roleNew: "new", roleParent: "parent", roleChild: "child", roleRoot: "root"}[r]
}

// link is a connection to another node.
type link struct {
	role        linkRole
	open        bool
	node        string
	dc          string
	peer        string
	receivedAt  time.Time      // of the last message
	sentAt      time.Time      // of the last heartbeat or Welcome
	report      message.Report // last report of a child or of another root
	peerVersion uint64         // newest configuration known to be held at the other end

	established      bool              // Hello and Welcome have been exchanged
	sentState        message.Heartbeat // last full heartbeat sent
	receivedState    message.Heartbeat // last full heartbeat received
	unchangedSent    int               // heartbeats without content sent since sentState
	digestMismatches int               // consecutive heartbeats whose table digest differs from this node's
	leaving          bool              // Leaving was received: the end of the link is no sign of a failure
	requestedAt      time.Time         // when a configuration version was last requested over this link
	behindSince      time.Time         // since when a child has held an older version than this node; zero: it does not
	laggard          bool              // the child is reported as a laggard
	batch            map[string]bool   // IDs of endpoints to send once the batch window has passed
	batchDue         time.Time         // when batch is sent
	quotaStamp       time.Duration     // clock of the other end in its last heartbeat
	quotaStampAt     time.Time         // when that arrived; zero: none has
	quotaPassesOn    bool              // message.QuotaHeartbeat.PassesOn of that
}

func (s *State) dial(address string, role linkRole) LinkID {
	s.lastLink += 2
	s.links[s.lastLink] = &link{role: role, peer: address, receivedAt: s.now}
	s.emit(Dial{Link: s.lastLink, Address: address})
	return s.lastLink
}

func (s *State) linkUp(e LinkUp) {
	if !e.Dialled {
		s.links[e.Link] = &link{open: true, receivedAt: s.now, sentAt: s.now}
		return
	}
	l, ok := s.links[e.Link]
	if !ok {
		s.emit(CloseLink{Link: e.Link, Reason: "no longer wanted"})
		return
	}
	l.open, l.receivedAt, l.sentAt = true, s.now, s.now
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

// drop closes a link and removes it. It first sends Leaving, so that the other
// end does not suspect this node. This is done before a Welcome has arrived as
// well, since the other end may already have sent it.
func (s *State) drop(id LinkID, reason string) {
	l, ok := s.links[id]
	if !ok {
		return
	}
	if l.open {
		s.send(id, message.Leaving{ReturnsShares: s.returnsShares()})
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
	s.quotaLinkDown(id, l)
	s.log(notice.LinkDown, Attr{"peer", l.peer}, Attr{"remote", l.node}, Attr{"role", l.role.String()}, Attr{"reason", reason})
	switch l.role {
	case roleParent:
		s.parentLost(id)
	case roleChild:
		s.childLost(l)
	case roleRoot:
		s.otherRootLost(l)
	}
	s.recordSuspicion(l)
}

// linksTick sends heartbeats that are due and closes links over which nothing
// was received for MissedLimit heartbeat intervals.
func (s *State) linksTick() {
	limit := time.Duration(s.cfg.MissedLimit) * s.cfg.HeartbeatEvery
	if !s.lastTick.IsZero() && s.now.Sub(s.lastTick) > limit/2 {
		s.resetReceiveTimes() // this process itself was paused, so it can't tell which links were silent
	}
	for _, id := range sortedLinks(s.links) {
		l, ok := s.links[id]
		if !ok {
			continue
		}
		if s.now.Sub(l.receivedAt) > limit {
			s.log(notice.LinkSilent, Attr{"peer", l.peer}, Attr{"remote", l.node})
			s.drop(id, "silent")
			continue
		}
		if l.open && l.established && s.now.Sub(l.sentAt) >= s.cfg.HeartbeatEvery {
			s.sendHeartbeat(id, l)
		}
	}
}

func (s *State) resetReceiveTimes() {
	for _, l := range s.links {
		l.receivedAt = s.now
	}
}

func (s *State) linkMessage(e LinkMessage) {
	l, ok := s.links[e.Link]
	if !ok {
		return // the link has been closed since
	}
	l.receivedAt = s.now
	switch m := e.Message.(type) {
	case message.Hello:
		s.helloReceived(e.Link, l, m)
	case message.Welcome:
		s.welcomeReceived(e.Link, l, m)
	case message.Redirect:
		s.redirectReceived(e.Link, l, m)
	case message.ComeBack:
		s.comeBackReceived(e.Link, l, m)
	case message.Heartbeat:
		s.heartbeatReceived(e.Link, l, m)
	case message.ConfigDelta:
		s.deltaReceived(e.Link, l, m)
	case message.ConfigWhole:
		s.fullConfigReceived(l, m)
	case message.ConfigWanted:
		l.peerVersion = m.Have
		s.sendConfig(e.Link, l)
	case message.Endpoints:
		s.endpointsReceived(e.Link, m.Entries)
	case message.TableDigests:
		s.digestsReceived(e.Link, m)
	case message.TableBuckets:
		s.bucketsReceived(e.Link, m)
	case message.Leaving:
		l.leaving = true
		s.quotaSharesReturned(e.Link, m)
	case message.Present:
		s.presentReceived(m)
	case message.Report:
		s.reportReceived(l, m)
	case message.QuotaAsk:
		s.quotaAsked(e.Link, l, m)
	case message.QuotaGrant:
		s.quotaGranted(e.Link, m)
	}
}

func sortedLinks(links map[LinkID]*link) []LinkID {
	return slices.Sorted(maps.Keys(links))
}

func sortedNames[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
