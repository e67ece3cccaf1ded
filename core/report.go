package core

import (
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/status"
)

// reportState is the state of sending this node's report.
type reportState struct {
	due      bool           // the report may have changed since lastSent
	builtAt  time.Time      // when a report was last built, whether or not it was sent
	lastSent message.Report // empty: the next report is sent in any case
}

// ownReport counts this node alone, with the laggards that it knows of.
func (s *State) ownReport() message.Report {
	own := message.Report{DataCentre: s.cfg.DataCentre, Applied: s.configVersion(), Nodes: 1}
	if s.holder.refused != "" {
		own.Laggards = []message.Laggard{{Node: s.cfg.Node, Applied: own.Applied, Reason: s.holder.refused}}
	}
	s.addLaggards(&own)
	return own
}

// subtreeReport returns the report for this node and all nodes below it. At a
// root it includes the nodes missing from the tree.
func (s *State) subtreeReport() message.Report {
	own := s.ownReport()
	var reports []message.Report
	for _, id := range s.children() {
		reports = append(reports, s.links[id].report)
	}
	sum := status.Aggregate(own, reports)
	if s.member.phase == phaseRoot {
		s.countMissing(&sum)
	}
	return sum
}

// countMissing adds the nodes of the data centre that the endpoint table holds
// as live but that are in no subtree. They are known to have applied the version
// of the last report without missing nodes, so Applied is at most that version.
func (s *State) countMissing(r *message.Report) {
	r.Missing = max(0, s.table.Live(s.cfg.DataCentre)-r.Nodes)
	if r.Missing == 0 {
		s.root.completeVersion = r.Applied
		return
	}
	r.Applied = min(r.Applied, s.root.completeVersion)
	for _, name := range s.root.absent {
		if len(r.Laggards) == message.MaxLaggards {
			return
		}
		r.Laggards = append(r.Laggards, message.Laggard{Node: name, Reason: "not in the tree"})
	}
}

// scheduleReport marks the report as possibly changed. reportTick sends it at
// most once per ReportEvery, so that changes of many children are combined into
// one message.
func (s *State) scheduleReport() { s.member.reports.due = true }

// reportTick sends the report to the parent, or from a root to the other roots,
// if it has changed.
func (s *State) reportTick() {
	p := &s.member.reports
	if !p.due || s.now.Sub(p.builtAt) < s.cfg.ReportEvery {
		return
	}
	p.due, p.builtAt = false, s.now
	r := s.subtreeReport()
	if sameReport(r, p.lastSent) {
		return
	}
	p.lastSent = r
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
		s.scheduleReport()
	case roleRoot:
		s.root.reports[r.DataCentre] = r
		s.writeStatuses()
	}
}
