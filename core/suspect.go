package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// suspicion is a neighbour whose link ended without a word. It is kept until
// this node is in a tree itself: one that is cut off can't say who is dead.
type suspicion struct {
	entry endpoint.Entry // as it was when the link ended
	at    time.Time
}

// suspicionFor bounds the time for which a suspicion waits.
const suspicionFor = time.Minute

// suspectLater notes the end of a link as a sign that the node is dead,
// unless it said that it lives on or has another link to this node.
func (s *State) suspectLater(l *link) {
	if l.leaving || !l.greeted || l.node == "" || s.cfg.testFaults.noSuspicion {
		return
	}
	if row, ok := s.table.Get(l.node); ok && row.Live() {
		s.suspects[l.node] = suspicion{entry: row.Entry, at: s.now}
	}
	s.applySuspicions()
}

func (s *State) suspectTick() {
	s.applySuspicions()
	s.collectTombstones()
	if s.member.phase == phaseRoot {
		s.takeCensus()
		s.removeSuspects()
	}
	s.sendPresent()
}

// applySuspicions marks the entries of lost neighbours at the sequence that
// they had. Whoever lives on somewhere hears of it and refutes it.
func (s *State) applySuspicions() {
	if len(s.suspects) == 0 {
		return
	}
	linked := s.linkedNodes()
	for _, name := range sortedNames(s.suspects) {
		x := s.suspects[name]
		row, ok := s.table.Get(name)
		switch {
		case !ok || !row.Live() || row.Entry.Compare(x.entry) > 0 || linked[name] || s.now.Sub(x.at) > suspicionFor:
			delete(s.suspects, name)
		case s.attached():
			delete(s.suspects, name)
			s.suspect(row.Entry)
		}
	}
}

func (s *State) linkedNodes() map[string]bool {
	linked := map[string]bool{}
	for _, l := range s.links {
		if l.open && l.greeted {
			linked[l.node] = true
		}
	}
	return linked
}

// attached reports whether this node has a path to a root, or is one that
// others are linked with.
func (s *State) attached() bool {
	return s.rooted() && (s.member.phase != phaseRoot || len(s.linkedNodes()) > 0)
}

func (s *State) suspect(e endpoint.Entry) {
	s.log(notice.EndpointSuspected, Attr{"remote", e.ID}, Attr{"incarnation", e.Incarnation.Start})
	s.mark(e.Suspected())
}

// mark takes what this node says of another's entry and tells it to all.
func (s *State) mark(e endpoint.Entry) {
	if s.table.Merge(s.now, e) {
		s.propagate(0, []endpoint.Entry{e})
		s.report()
	}
}

// takeCensus finds entries that no living node stands behind. Neighbours
// suspect each other, so such entries are left only when a node died together
// with all its neighbours. The root notices that its tree holds fewer nodes
// than the table for a whole grace period, asks all to answer, and after
// another suspects those that did not. A change of root begins the grace
// period anew.
func (s *State) takeCensus() {
	r := &s.root
	if s.cfg.testFaults.noGrace && !r.broken {
		r.broken = true
		s.removeAbsent()
	}
	if s.ownReport().Nodes >= s.table.Live(s.cfg.DataCentre) {
		r.fewerSince, r.absent = time.Time{}, nil
		return
	}
	switch {
	case r.fewerSince.IsZero():
		r.fewerSince = s.now
	case !r.censusEnd.IsZero() && !s.now.Before(r.censusEnd):
		r.censusEnd, r.fewerSince = time.Time{}, time.Time{}
		// No more than have answered: with fewer, it is this root that is cut off.
		absent := s.absentEntries()
		for _, e := range absent[:min(len(absent), len(r.present))] {
			s.suspect(e)
		}
	case !r.censusEnd.IsZero() && s.now.Sub(r.absentAt) < s.cfg.HeartbeatEvery:
	case !r.censusEnd.IsZero():
		r.absent, r.absentAt = r.absent[:0], s.now
		for _, e := range s.absentEntries() {
			r.absent = append(r.absent, e.ID)
		}
	case s.now.Sub(r.fewerSince) >= s.cfg.Grace:
		r.censusEnd = s.now.Add(s.cfg.Grace)
		r.present = map[string]bool{s.cfg.Node: true}
		s.member.census = uint64(s.now.UnixMilli())
		s.tellChildren()
	}
}

// absentEntries returns the live entries of the data centre that have not
// answered the census.
func (s *State) absentEntries() []endpoint.Entry {
	var out []endpoint.Entry
	for _, row := range s.table.Rows() {
		if row.Live() && row.DataCentre == s.cfg.DataCentre && !s.root.present[row.ID] {
			out = append(out, row.Entry)
		}
	}
	return out
}

// removeSuspects ends entries that were not refuted within the limit, counted
// from when this node saw them suspected or became root.
func (s *State) removeSuspects() {
	if s.now.Sub(s.root.swept) < s.cfg.HeartbeatEvery {
		return
	}
	s.root.swept = s.now
	for _, row := range s.table.Suspects() {
		if row.DataCentre != s.cfg.DataCentre || row.ID == s.cfg.Node {
			continue
		}
		since := row.Doubt
		if s.root.since.After(since) {
			since = s.root.since
		}
		if s.now.Sub(since) >= s.cfg.SuspectLimit {
			s.mark(row.Removed())
		}
	}
}

// removeAbsent is the deliberate fault of a root without a grace period.
func (s *State) removeAbsent() {
	s.root.present = s.linkedNodes()
	s.root.present[s.cfg.Node] = true
	for _, e := range s.absentEntries() {
		s.mark(e.Removed())
	}
}

// censusSeen answers a census that this node has not answered yet.
func (s *State) censusSeen(number uint64) {
	m := &s.member
	if number == 0 || number == m.census {
		return
	}
	m.census = number
	m.present = append(m.present, s.cfg.Node)
	s.tellChildren()
}

func (s *State) presentReceived(m message.Present) {
	if s.member.phase != phaseRoot {
		s.member.present = append(s.member.present, m.Nodes...)
		return
	}
	if s.root.present == nil {
		return
	}
	for _, name := range m.Nodes {
		s.root.present[name] = true
	}
}

// sendPresent passes what answers have come in up the tree.
func (s *State) sendPresent() {
	m := &s.member
	l, ok := s.links[m.parent]
	if len(m.present) == 0 || m.phase != phaseJoined || !ok || !l.open {
		return
	}
	s.send(m.parent, message.Present{Nodes: m.present})
	m.present = nil
}
