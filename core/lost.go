package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// rejoinGrace is how long a node that has left the tree still counts as live:
// it may serve callers while it looks for another parent.
const rejoinGrace = 5 * time.Second

// laggardAfter is how long a child may be behind before it is named. Shorter
// delays are the ordinary way of a change down the tree.
const laggardAfter = 2 * time.Second

// lostChild is a child that has left, with all that was below it.
type lostChild struct {
	applied uint64
	until   time.Time
}

// trackLostChild counts a child as live, and behind, until it is back or its time
// is up. One that has announced its end serves nobody any more.
func (s *State) trackLostChild(l *link) {
	if row, ok := s.table.Get(l.node); ok && row.State == endpoint.Gone {
		return
	}
	s.member.lost[l.node] = lostChild{applied: l.report.Applied, until: s.now.Add(rejoinGrace)}
}

// lostTick forgets the children that did not come back.
func (s *State) lostTick() {
	forgotten := false
	for node, c := range s.member.lost {
		if !s.now.Before(c.until) {
			delete(s.member.lost, node)
			forgotten = true
		}
	}
	settled := s.now.Sub(s.member.phaseSince) >= rejoinGrace
	if s.updateLaggards() || forgotten || settled && !s.member.graceElapsed {
		s.member.graceElapsed = settled
		s.member.reports.lastSent = message.Report{} // what was greeted with is outdated
		s.scheduleReport()
	}
}

// updateLaggards notes which children are behind and reports whether other
// ones are to be named than before. One that names nodes itself is not: they
// are the ones that wait.
func (s *State) updateLaggards() bool {
	changed := false
	for _, l := range s.links {
		if l.role != roleChild {
			continue
		}
		switch {
		case l.report.Applied >= s.configVersion() || len(l.report.Laggards) > 0:
			l.behindSince = time.Time{}
		case l.behindSince.IsZero():
			l.behindSince = s.now
		}
		named := !l.behindSince.IsZero() && s.now.Sub(l.behindSince) >= laggardAfter
		changed = changed || named != l.laggard
		l.laggard = named
	}
	return changed
}

// addLaggards adds to a report who is behind: children that do not follow, those
// that left and may be live outside of the tree, and the members of a data
// centre whose root is new.
func (s *State) addLaggards(r *message.Report) {
	add := func(l message.Laggard) {
		r.Applied = min(r.Applied, l.Applied)
		if len(r.Laggards) < message.MaxLaggards {
			r.Laggards = append(r.Laggards, l)
		}
	}
	for _, id := range s.children() {
		if l := s.links[id]; l.laggard {
			add(message.Laggard{Node: l.node, Applied: l.report.Applied, Reason: "has not confirmed the version sent to it"})
		}
	}
	for _, node := range sortedNames(s.member.lost) {
		add(message.Laggard{Node: node, Applied: s.member.lost[node].applied, Reason: "has left the tree, may be joining again"})
	}
	if s.membersUncounted() {
		add(message.Laggard{Node: "data centre " + s.cfg.DataCentre, Reason: "has no root or a new one, its members are joining"})
	}
}

// membersUncounted reports whether nodes of the data centre may be live that
// have not had the time to join this one, its root.
func (s *State) membersUncounted() bool {
	switch s.member.phase {
	case phaseRoot:
		return s.member.lease.Epoch() > 1 && s.now.Sub(s.member.phaseSince) < rejoinGrace
	case phaseJoined:
		return false
	}
	return true
}
