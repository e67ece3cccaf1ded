package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// suspicion is a neighbour whose link ended without a Leaving message. It is
// pending until this node is in a tree itself, because an isolated node can't
// tell which nodes have failed.
type suspicion struct {
	entry endpoint.Entry // as it was when the link ended
	at    time.Time
}

// maxSuspicionAge is the age at which a pending suspicion is discarded.
const maxSuspicionAge = time.Minute

// recordSuspicion treats the end of a link as a sign that the node at the other
// end has failed, unless it sent Leaving. applySuspicions discards the suspicion
// if there is another link to the node.
func (s *State) recordSuspicion(l *link) {
	if l.leaving || !l.established || l.node == "" || s.cfg.treeFaults.noSuspicion {
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
		s.censusTick()
		s.removeSuspects()
	}
	s.sendPresent()
}

// applySuspicions marks the entries of lost neighbours as suspected, at the
// sequence that they had when the link ended. A neighbour that is still running
// receives its marked entry and refutes it with a higher sequence.
func (s *State) applySuspicions() {
	if len(s.suspects) == 0 {
		return
	}
	linked := s.linkedNodes()
	for _, name := range sortedNames(s.suspects) {
		pending := s.suspects[name]
		row, ok := s.table.Get(name)
		switch {
		case !ok || !row.Live() || row.Entry.Compare(pending.entry) > 0 || linked[name] || s.now.Sub(pending.at) > maxSuspicionAge:
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
		if l.open && l.established {
			linked[l.node] = true
		}
	}
	return linked
}

// attached reports whether this node has a path to a root, or is a root with
// links to other nodes.
func (s *State) attached() bool {
	return s.rooted() && (s.member.phase != phaseRoot || len(s.linkedNodes()) > 0)
}

func (s *State) suspect(e endpoint.Entry) {
	s.log(notice.EndpointSuspected, Attr{"remote", e.ID}, Attr{"incarnation", e.Incarnation.Start})
	s.markEntry(e.Suspected())
}

// markEntry merges another node's entry as marked by this node, and sends it to
// all links.
func (s *State) markEntry(e endpoint.Entry) {
	if s.table.Merge(s.now, e) {
		s.propagate(0, []endpoint.Entry{e})
		s.scheduleReport()
	}
}

// censusTick finds live entries whose node no longer runs. Neighbours suspect
// each other, so such entries remain only if a node failed together with all its
// neighbours. When the tree has had fewer nodes than the table for Grace, the
// root starts a census that all nodes answer; after another Grace it suspects
// those that did not. A change of root restarts the first period.
func (s *State) censusTick() {
	r := &s.root
	if s.cfg.treeFaults.noGrace && !r.removedAbsent {
		r.removedAbsent = true
		s.removeAbsent()
	}
	if s.subtreeReport().Nodes >= s.table.Live(s.cfg.DataCentre) {
		r.missingSince, r.absent = time.Time{}, nil
		return
	}
	switch {
	case r.missingSince.IsZero():
		r.missingSince = s.now
	case !r.censusEnd.IsZero() && !s.now.Before(r.censusEnd):
		r.censusEnd, r.missingSince = time.Time{}, time.Time{}
		// At most as many as have answered: if more are absent, this root itself may be isolated.
		absent := s.absentEntries()
		for _, e := range absent[:min(len(absent), len(r.censusAnswered))] {
			s.suspect(e)
		}
	case !r.censusEnd.IsZero() && s.now.Sub(r.absentAt) < s.cfg.HeartbeatEvery:
	case !r.censusEnd.IsZero():
		r.absent, r.absentAt = r.absent[:0], s.now
		for _, e := range s.absentEntries() {
			r.absent = append(r.absent, e.ID)
		}
	case s.now.Sub(r.missingSince) >= s.cfg.Grace:
		r.censusEnd = s.now.Add(s.cfg.Grace)
		r.censusAnswered = map[string]bool{s.cfg.Node: true}
		s.member.census = uint64(s.now.UnixMilli())
		s.notifyChildren()
	}
}

// absentEntries returns the live entries of the data centre that have not
// answered the census.
func (s *State) absentEntries() []endpoint.Entry {
	var out []endpoint.Entry
	for _, row := range s.table.Rows() {
		if row.Live() && row.DataCentre == s.cfg.DataCentre && !s.root.censusAnswered[row.ID] {
			out = append(out, row.Entry)
		}
	}
	return out
}

// removeSuspects removes entries whose suspicion was not refuted within
// SuspectLimit, counted from when this node received the suspicion or became
// root, whichever is later.
func (s *State) removeSuspects() {
	if s.now.Sub(s.root.sweptAt) < s.cfg.HeartbeatEvery {
		return
	}
	s.root.sweptAt = s.now
	for _, row := range s.table.Suspects() {
		if row.DataCentre != s.cfg.DataCentre || row.ID == s.cfg.Node {
			continue
		}
		since := row.SuspectSince
		if s.root.since.After(since) {
			since = s.root.since
		}
		if s.now.Sub(since) >= s.cfg.SuspectLimit {
			s.markEntry(row.Removed())
		}
	}
}

// removeAbsent implements the deliberate fault testFaults.noGrace: a root that
// removes the entries of all nodes to which it has no link, without waiting for
// Grace.
func (s *State) removeAbsent() {
	s.root.censusAnswered = s.linkedNodes()
	s.root.censusAnswered[s.cfg.Node] = true
	for _, e := range s.absentEntries() {
		s.markEntry(e.Removed())
	}
}

// answerCensus answers a census that this node has not answered yet and passes
// it on to the children.
func (s *State) answerCensus(number uint64) {
	m := &s.member
	if number == 0 || number == m.census {
		return
	}
	m.census = number
	m.present = append(m.present, s.cfg.Node)
	s.notifyChildren()
}

func (s *State) presentReceived(m message.Present) {
	if s.member.phase != phaseRoot {
		s.member.present = append(s.member.present, m.Nodes...)
		return
	}
	if s.root.censusAnswered == nil {
		return
	}
	for _, name := range m.Nodes {
		s.root.censusAnswered[name] = true
	}
}

// sendPresent sends the collected census answers to the parent.
func (s *State) sendPresent() {
	m := &s.member
	l, ok := s.links[m.parent]
	if len(m.present) == 0 || m.phase != phaseJoined || !ok || !l.open {
		return
	}
	s.send(m.parent, message.Present{Nodes: m.present})
	m.present = nil
}
