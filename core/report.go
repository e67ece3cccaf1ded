package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/status"
)

// reports is what a node knows of the report it owes.
type reports struct {
	due  bool
	at   time.Time // of the last one
	last message.Report
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
	sum := status.Count(own, below)
	if s.member.phase == phaseRoot {
		s.countMissing(&sum)
	}
	return sum
}

// countMissing adds the nodes of the data centre that are thought to be live
// but are in no subtree now. What they hold was counted when they were last
// there, so the version of that time bounds what is told.
func (s *State) countMissing(r *message.Report) {
	r.Missing = max(0, s.table.Live(s.cfg.DataCentre)-r.Nodes)
	if r.Missing == 0 {
		s.root.complete = r.Applied
		return
	}
	r.Applied = min(r.Applied, s.root.complete)
	for _, name := range s.root.absent {
		if len(r.Laggards) == message.MaxLaggards {
			return
		}
		r.Laggards = append(r.Laggards, message.Laggard{Node: name, Reason: "not in the tree"})
	}
}

// report notes that the count may have changed; it is sent with the next
// tick that is due, so that the changes of many children make one message.
func (s *State) report() { s.member.reports.due = true }

// reportTick sends the count up, or from a root to the other roots, if it
// has changed.
func (s *State) reportTick() {
	p := &s.member.reports
	if !p.due || s.now.Sub(p.at) < s.cfg.ReportEvery {
		return
	}
	p.due, p.at = false, s.now
	r := s.ownReport()
	if sameReport(r, p.last) {
		return
	}
	p.last = r
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if l.open && (l.role == roleRoot || id == s.member.parent && s.member.phase == phaseJoined) {
			s.send(id, r)
		}
	}
	s.writeStatuses()
}

func sameReport(a, b message.Report) bool {
	return a.Applied == b.Applied && a.Nodes == b.Nodes && a.Missing == b.Missing && a.DataCentre == b.DataCentre &&
		slices.Equal(a.Laggards, b.Laggards)
}

func (s *State) reportReceived(l *link, r message.Report) {
	l.report = r
	switch l.role {
	case roleChild:
		s.report()
	case roleRoot:
		s.root.reports[r.DataCentre] = r
		s.writeStatuses()
	}
}
