package core

import (
	"slices"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

func (s *State) helloReceived(id LinkID, l *link, m message.Hello) {
	l.node, l.dc, l.peer, l.config = m.Node, m.DataCentre, m.Peer, m.Config
	if m.Self.ID == m.Node {
		s.endpointsReceived(0, []endpoint.Entry{m.Self})
	}
	if m.Kind == message.Root {
		s.rootHello(id, l, m)
		return
	}
	below := slices.Contains(s.path(), m.Node) && !s.cfg.testFaults.noCycleCheck
	if below || m.DataCentre != s.cfg.DataCentre || s.member.phase == phaseSeeking || s.member.phase == phaseJoining {
		s.refuseHello(id, l, below)
		return
	}
	if to, full := s.placement(m.Node); full {
		s.send(id, message.Redirect{Peer: to})
		return
	}
	if spread, ok := s.root.joins.Take(s.now); !ok {
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
	s.greet(id, l, m)
	s.report()
}

// refuseHello gives the dialler no place, but tells it what this node knows:
// with neither platform nor root that is all that it can learn.
func (s *State) refuseHello(id LinkID, l *link, below bool) {
	if s.member.phase == phaseSeeking || s.member.phase == phaseJoining {
		s.sendConfig(id, l)
		s.send(id, message.Endpoints{Entries: s.table.Entries()})
	}
	s.send(id, message.ComeBack{After: s.jitter(s.cfg.HeartbeatEvery), Config: s.configVersion(), Below: below})
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
	l.sent, l.greeted, l.told = s.now, true, s.heartbeat()
	s.send(id, message.Welcome{Node: s.cfg.Node, DataCentre: s.cfg.DataCentre, Heartbeat: l.told})
	s.sendConfig(id, l)
	if m.Config > s.configVersion() {
		s.wantConfig(id, l, s.configVersion())
	}
	if m.Table != l.told.Table {
		s.sendDigests(id)
	}
	if l.role == roleRoot {
		s.send(id, s.ownReport())
	}
}

func (s *State) welcomed(id LinkID, l *link, m message.Welcome) {
	l.node, l.dc, l.config = m.Node, m.DataCentre, m.Config
	if l.role == roleRoot {
		s.rootWelcomed(id, l, m)
		return
	}
	if id != s.member.parent {
		return
	}
	if s.member.phase == phaseRoot && !s.root.fallback {
		s.member.parent = 0
		s.drop(id, "took the lease in the meantime")
		return
	}
	if s.member.phase == phaseRoot {
		s.leaveRoot()
	}
	l.greeted, l.last = true, m.Heartbeat
	s.sourceTold(m.Source, m.Config)
	s.setPhase(phaseJoined)
	s.member.unanswered = ""
	s.member.candidates, s.member.ranked, s.member.besideRoot = nil, false, false
	s.member.reports.last = message.Report{}
	s.log(notice.JoinedParent, Attr{"parent", m.Node}, Attr{"path", m.Path})
	s.report()
	s.parentTold(id, l)
}

func (s *State) redirected(id LinkID, l *link, m message.Redirect) {
	if l.role == roleRoot {
		s.rootRedirected(id, l, m.Peer)
		return
	}
	if id != s.member.parent {
		return
	}
	s.member.parent = 0
	s.drop(id, "redirected")
	s.dialParent(m.Peer)
}

func (s *State) toldToComeBack(id LinkID, l *link, m message.ComeBack) {
	if l.role == roleRoot {
		s.drop(id, "told to come back")
		return
	}
	if id != s.member.parent {
		return
	}
	t := &s.member
	t.newest = max(t.newest, m.Config)
	t.waitForHigher = t.waitForHigher || !m.Below
	t.parent = 0
	s.drop(id, "told to come back")
	if len(t.candidates) > 0 || t.ranked || t.besideRoot {
		s.candidateFailed()
		return
	}
	if t.phase != phaseRoot {
		s.seekAgain(0)
		t.retryAt = s.now.Add(m.After)
	}
}
