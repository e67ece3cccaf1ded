package core

import (
	"slices"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

func (s *State) helloReceived(id LinkID, l *link, m message.Hello) {
	l.node, l.dc, l.peer, l.peerVersion = m.Node, m.DataCentre, m.Peer, m.Config
	if m.Self.ID == m.Node {
		s.endpointsReceived(0, []endpoint.Entry{m.Self})
	}
	if m.Kind == message.Root {
		s.rootHelloReceived(id, l, m)
		return
	}
	isAncestor := slices.Contains(s.path(), m.Node) && !s.cfg.treeFaults.noCycleCheck
	if isAncestor || m.DataCentre != s.cfg.DataCentre || s.member.phase == phaseSeeking || s.member.phase == phaseJoining {
		s.refuseHello(id, l, isAncestor)
		return
	}
	if to, full := s.redirectTarget(m.Node); full {
		s.send(id, message.Redirect{Peer: to})
		return
	}
	if spread, ok := s.root.joinLimiter.Take(s.now); !ok {
		s.send(id, message.ComeBack{After: s.jitter(spread), Config: s.configVersion()})
		return
	}
	for _, old := range s.children() {
		if s.links[old].node == m.Node {
			s.drop(old, "replaced by a newer link")
		}
	}
	delete(s.member.lost, m.Node)
	l.role, l.report = roleChild, message.Report{DataCentre: m.DataCentre, Applied: m.Config, Nodes: 1}
	s.acceptLink(id, l, m)
	s.scheduleReport()
}

// refuseHello refuses a dialler as a child. While this node has no parent
// itself, it still sends its configuration and endpoints: without platform and
// root the dialler has no other source for them.
func (s *State) refuseHello(id LinkID, l *link, isAncestor bool) {
	if s.member.phase == phaseSeeking || s.member.phase == phaseJoining {
		s.sendConfig(id, l)
		s.send(id, message.Endpoints{Entries: s.table.Entries()})
	}
	s.send(id, message.ComeBack{After: s.jitter(s.cfg.HeartbeatEvery), Config: s.configVersion(), Below: isAncestor})
}

// redirectTarget returns the address to which a joiner is redirected, that of
// the child with the smallest subtree, and true if this node has Fanout children
// and the joiner is not one of them.
func (s *State) redirectTarget(joiner string) (string, bool) {
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
	best.report.Nodes++ // until its next report, so that simultaneous joiners spread over the children
	return best.peer, true
}

// acceptLink sends a Welcome and starts the exchange of what either end lacks of
// the configuration and the endpoint table. Another root is also sent this
// node's report.
func (s *State) acceptLink(id LinkID, l *link, m message.Hello) {
	l.sentAt, l.established, l.sentState = s.now, true, s.heartbeat()
	s.send(id, message.Welcome{Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Heartbeat: l.sentState})
	s.sendConfig(id, l)
	if m.Config > s.configVersion() {
		s.requestConfig(id, l, s.configVersion())
	}
	if m.Table != l.sentState.Table {
		s.sendDigests(id)
	}
	if l.role == roleRoot {
		s.send(id, s.subtreeReport())
	}
}

func (s *State) welcomeReceived(id LinkID, l *link, m message.Welcome) {
	l.node, l.dc, l.peerVersion = m.Node, m.DataCentre, m.Config
	if l.role == roleRoot {
		s.rootWelcomeReceived(id, l, m)
		return
	}
	if id != s.member.parent {
		return
	}
	if s.member.phase == phaseRoot && !s.root.withoutLease {
		s.member.parent = 0
		s.drop(id, "took the lease in the meantime")
		return
	}
	if s.member.phase == phaseRoot {
		s.leaveRoot()
	}
	l.established, l.receivedState = true, m.Heartbeat
	s.sourceAgeReceived(m.Source, m.Config)
	s.setPhase(phaseJoined)
	s.member.unresponsiveHolder = ""
	s.member.candidates, s.member.inFallback, s.member.rootBypassed = nil, false, false
	s.member.reports.lastSent = message.Report{}
	s.log(notice.JoinedParent, Attr{"parent", m.Node}, Attr{"path", m.Path})
	s.scheduleReport()
	s.parentHeartbeat(id, l)
}

func (s *State) redirectReceived(id LinkID, l *link, m message.Redirect) {
	if l.role == roleRoot {
		s.rootRedirectReceived(id, l, m.Peer)
		return
	}
	if id != s.member.parent {
		return
	}
	s.member.parent = 0
	s.drop(id, "redirected")
	s.dialParent(m.Peer)
}

func (s *State) comeBackReceived(id LinkID, l *link, m message.ComeBack) {
	if l.role == roleRoot {
		s.drop(id, "told to come back")
		return
	}
	if id != s.member.parent {
		return
	}
	t := &s.member
	t.newestVersion = max(t.newestVersion, m.Config)
	t.higherAnswered = t.higherAnswered || !m.Below
	t.parent = 0
	s.drop(id, "told to come back")
	if len(t.candidates) > 0 || t.inFallback || t.rootBypassed {
		s.candidateFailed()
		return
	}
	if t.phase != phaseRoot {
		s.restartSeeking(0)
		t.retryAt = s.now.Add(m.After)
	}
}
