package core

import (
	"slices"

	"github.com/agatekeel/agatekeel/core/message"
)

func (s *State) heartbeat() message.Heartbeat {
	return message.Heartbeat{
		Path: s.path(), Rooted: s.rooted(), Config: s.configVersion(), Newest: s.member.newestVersion,
		Table: s.table.Digest(), Census: s.member.census, Source: s.sourceAge(), Restored: s.platform.restored,
	}
}

// maxSameHeartbeats is the number of consecutive heartbeats without content
// after which a full one is sent. It bounds the time for which the ends
// disagree after a full heartbeat was lost.
const maxSameHeartbeats = 4

// sendHeartbeat sends the state of this node, or a heartbeat with Same set if
// the state is unchanged since the last full heartbeat on this link.
func (s *State) sendHeartbeat(id LinkID, l *link) {
	l.sentAt = s.now
	h := s.heartbeat()
	if sameHeartbeat(h, l.sentState) && l.unchangedSent < maxSameHeartbeats {
		l.unchangedSent++
		s.send(id, message.Heartbeat{Same: true, Source: h.Source, Quota: s.quotaHeartbeat(id, l)})
		return
	}
	l.sentState, l.unchangedSent = h, 0
	h.Quota = s.quotaHeartbeat(id, l)
	s.send(id, h)
}

// notifyChildren sends a heartbeat to all children without waiting for the next
// interval, because its content changed in a way that they act on.
func (s *State) notifyChildren() {
	for _, id := range s.children() {
		if l := s.links[id]; l.established {
			s.sendHeartbeat(id, l)
		}
	}
}

func sameHeartbeat(a, b message.Heartbeat) bool {
	return a.Rooted == b.Rooted && a.Config == b.Config && a.Newest == b.Newest && a.Table == b.Table &&
		a.Census == b.Census && a.Restored == b.Restored && slices.Equal(a.Path, b.Path)
}

func (s *State) heartbeatReceived(id LinkID, l *link, m message.Heartbeat) {
	if !l.established {
		return
	}
	if !m.Same {
		l.receivedState = m
	}
	l.peerVersion = max(l.peerVersion, l.receivedState.Config)
	s.sourceAgeReceived(m.Source, l.receivedState.Config)
	s.platformRestored(l.receivedState.Restored)
	s.quotaHeartbeatReceived(id, l, m.Quota)
	switch {
	case id == s.member.parent:
		s.parentHeartbeat(id, l)
	case l.peerVersion < s.configVersion():
		s.sendConfig(id, l)
	default:
		s.requestIfBehind(id, l)
	}
	if id == s.member.parent || l.role == roleRoot {
		s.compareTables(id, l)
	}
}

// requestIfBehind requests the configuration if the other end holds a newer
// version.
func (s *State) requestIfBehind(id LinkID, l *link) {
	if l.receivedState.Config > s.configVersion() {
		s.requestConfig(id, l, s.configVersion())
	}
}

// parentHeartbeat applies the parent's last heartbeat and notifies the children
// of changes that they act on.
func (s *State) parentHeartbeat(id LinkID, l *link) {
	m, h := &s.member, l.receivedState
	if slices.Contains(h.Path, s.cfg.Node) && !s.cfg.treeFaults.noCycleCheck {
		s.drop(id, "the tree has a cycle")
		return
	}
	changed := m.rooted != h.Rooted && m.current || !slices.Equal(m.path, h.Path)
	m.path, m.rooted = h.Path, h.Rooted
	m.newestVersion = max(m.newestVersion, h.Newest, h.Config)
	s.requestIfBehind(id, l)
	s.updateCurrent()
	if changed {
		s.notifyChildren()
	}
	s.answerCensus(h.Census)
}
