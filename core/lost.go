package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// rejoinGrace is the time for which a node that has left the tree still counts
// as live: it may serve callers while it looks for another parent.
const rejoinGrace = 5 * time.Second

// laggardAfter is the time for which a child may hold an older version before
// it is reported as a laggard. Shorter delays are normal while a change
// propagates down the tree.
const laggardAfter = 2 * time.Second

// lostChild is a child whose link ended, together with the subtree below it.
type lostChild struct {
	applied uint64    // version that its last report confirmed for its subtree
	until   time.Time // when it stops counting as live
}

// trackLostChild counts a child as live and as a laggard until it rejoins or
// rejoinGrace has passed. A child that has announced Gone is not tracked, since
// it serves no requests.
func (s *State) trackLostChild(l *link) {
	if row, ok := s.table.Get(l.node); ok && row.State == endpoint.Gone {
		return
	}
	s.member.lost[l.node] = lostChild{applied: l.report.Applied, until: s.now.Add(rejoinGrace)}
}

// lostTick removes lost children whose grace period is over, updates laggards
// and schedules a report if either has changed.
func (s *State) lostTick() {
	removed := false
	for node, c := range s.member.lost {
		if !s.now.Before(c.until) {
			delete(s.member.lost, node)
			removed = true
		}
	}
	settled := s.now.Sub(s.member.phaseSince) >= rejoinGrace
	if s.updateLaggards() || removed || settled && !s.member.graceElapsed {
		s.member.graceElapsed = settled
		s.member.reports.lastSent = message.Report{} // send even an equal report: one sent when a link was set up may be outdated
		s.scheduleReport()
	}
}

// updateLaggards updates which children are reported as laggards and returns
// whether that has changed. A child whose report lists laggards itself is not
// one: the nodes that it lists are what it waits for.
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
		isLaggard := !l.behindSince.IsZero() && s.now.Sub(l.behindSince) >= laggardAfter
		changed = changed || isLaggard != l.laggard
		l.laggard = isLaggard
	}
	return changed
}

// addLaggards adds laggards to a report and lowers Applied to their versions:
// children that have not confirmed the version sent, children that left and may
// be live outside the tree, and the members of a data centre whose root is new.
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

// membersUncounted reports whether there may be live nodes of the data centre
// that are in no report yet: this node has not joined the tree, or it has been
// root for less than rejoinGrace after a change of root.
func (s *State) membersUncounted() bool {
	switch s.member.phase {
	case phaseRoot:
		return s.member.lease.Epoch() > 1 && s.now.Sub(s.member.phaseSince) < rejoinGrace
	case phaseJoined:
		return false
	}
	return true
}
