package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/status"
)

// progressEvery is the time between two writes of progress, regardless of
// the number of accepted submissions.
const progressEvery = time.Second

// acceptedSubmission is an accepted submission that is not yet in force on
// all nodes.
type acceptedSubmission struct {
	status     status.Status
	version    uint64 // version of the status object
	acceptedAt time.Time
	writing    bool
	needsRead  bool // the status has to be read from the platform before the next write
	retryAt    time.Time
	backoff    backoff
}

// interrupted records that the result of the current call will not be
// received.
func (a *acceptedSubmission) interrupted() {
	a.needsRead = a.needsRead || a.writing
	a.writing = false
}

func (s *State) trackAccepted(st status.Status, version uint64) {
	if s.acceptedIndex(st.ID) >= 0 {
		return
	}
	s.publisher.accepted = append(s.publisher.accepted, acceptedSubmission{status: st, version: version, acceptedAt: s.now})
	s.writeStatuses()
}

func (s *State) acceptedIndex(id string) int {
	return slices.IndexFunc(s.publisher.accepted, func(a acceptedSubmission) bool { return a.status.ID == id })
}

// meshPart is a part of the mesh whose nodes are counted together.
type meshPart struct {
	name     string
	report   message.Report
	noReport bool // it sent no report
}

// meshParts returns this node, the subtrees below it, the nodes missing from
// its data centre's tree, and the other data centres. A data centre is
// represented by the root that holds its lease: another node that claims to be
// its root may have lost its members.
func (s *State) meshParts() []meshPart {
	parts := []meshPart{{name: s.cfg.Node, report: s.ownReport()}}
	roots := map[string]message.Report{}
	for _, id := range sortedLinks(s.links) {
		switch l := s.links[id]; l.role {
		case roleChild:
			parts = append(parts, meshPart{name: l.node, report: l.report})
		case roleRoot:
			if l.open && l.report.Nodes > 0 {
				roots[l.node] = l.report
			}
		}
	}
	if all := s.subtreeReport(); all.Missing > 0 {
		missing := message.Report{Applied: min(all.Applied, s.root.completeVersion), Nodes: all.Missing, Laggards: all.Laggards}
		parts = append(parts, meshPart{name: "data centre " + s.cfg.DataCentre, report: missing})
	}
	for _, dc := range sortedNames(s.root.otherRoots) {
		r, ok := roots[s.root.otherRoots[dc].Holder]
		parts = append(parts, meshPart{name: "data centre " + dc, report: r, noReport: !ok})
	}
	return parts
}

// progressOf counts the nodes that have applied a version. done is true if
// all live nodes have applied it.
func progressOf(st status.Status, parts []meshPart) (counted status.Status, done bool) {
	st.Nodes, st.Applied, st.Laggards = 0, 0, nil
	done = true
	for _, p := range parts {
		st.Nodes += p.report.Nodes
		if !p.noReport && p.report.Applied >= st.Version {
			st.Applied += p.report.Nodes
			continue
		}
		done = false
		for _, l := range p.laggards(st.Version) {
			if len(st.Laggards) < message.MaxLaggards {
				st.Laggards = append(st.Laggards, l)
			}
		}
	}
	return st, done
}

// lowestApplied returns the highest version that every part has applied.
func lowestApplied(parts []meshPart) uint64 {
	lowest := parts[0].report.Applied
	for _, p := range parts {
		if p.noReport {
			return 0
		}
		lowest = min(lowest, p.report.Applied)
	}
	return lowest
}

// laggards returns the nodes of a part that are behind a version, or the
// part itself if its report lists none.
func (p meshPart) laggards(version uint64) []message.Laggard {
	if p.noReport {
		return []message.Laggard{{Node: p.name, Reason: "its root does not report: it is gone or parted"}}
	}
	var out []message.Laggard
	for _, l := range p.report.Laggards {
		if l.Applied < version {
			out = append(out, l)
		}
	}
	if len(out) > 0 {
		return out
	}
	return []message.Laggard{{
		Node: p.name, Applied: p.report.Applied, Reason: fmt.Sprintf("has not reported version %d", version),
	}}
}

// writeStatuses writes InForce for accepted submissions that every live node
// has applied, and the progress of the others when it is due. For InForce, the
// list of data centres must have been read after the submission was accepted:
// the nodes of a data centre that joined later started with the new version.
func (s *State) writeStatuses() {
	p := &s.publisher
	if !p.active || !p.lease.Held(s.now) || len(p.accepted) == 0 || s.member.phase != phaseRoot {
		return
	}
	parts := s.meshParts()
	lowest, progressDue := lowestApplied(parts), s.now.Sub(p.progressAt) >= progressEvery
	for i := range p.accepted {
		a := &p.accepted[i]
		if a.writing || s.now.Before(a.retryAt) {
			continue
		}
		if a.needsRead {
			a.writing = true
			s.storeGet(keyspace.Statuses+a.status.ID, s.publisherCall(stepReadReplacedStatus, a.status.ID))
			continue
		}
		if a.status.Version > lowest && !progressDue && !s.cfg.publisherFaults.skipCount {
			continue // not in force, and no progress is due
		}
		st, done := progressOf(a.status, parts)
		fresh := !s.root.listedAsOf.Before(a.acceptedAt)
		if done && !fresh {
			s.root.nextList = s.now
		}
		if done && fresh || s.cfg.publisherFaults.skipCount {
			st.Phase = status.InForce
			s.replaceStatus(a, st, stepWriteInForce)
			continue
		}
		s.writeProgress(a, st)
	}
	if progressDue {
		p.progressAt = s.now // restart the interval, whether or not a status was written
	}
}

// writeProgress writes which nodes are behind, for operators, at a bounded
// rate.
func (s *State) writeProgress(a *acceptedSubmission, st status.Status) {
	p := &s.publisher
	if s.now.Sub(p.progressAt) < progressEvery || s.now.Sub(a.acceptedAt) < progressEvery || sameProgress(st, a.status) {
		return
	}
	p.progressAt = s.now
	s.replaceStatus(a, st, stepWriteProgress)
}

func sameProgress(a, b status.Status) bool {
	return a.Nodes == b.Nodes && a.Applied == b.Applied && slices.Equal(a.Laggards, b.Laggards)
}

func (s *State) replaceStatus(a *acceptedSubmission, st status.Status, step publishStep) {
	a.writing = true
	a.status = st
	s.storePut(keyspace.Statuses+st.ID, mustJSON(st), a.version, s.publisherCall(step, st.ID))
}

// statusWriteFailed schedules a read of a status whose write failed or may
// have failed, before it is written again.
func (s *State) statusWriteFailed(id string) {
	i := s.acceptedIndex(id)
	if i < 0 {
		return
	}
	a := &s.publisher.accepted[i]
	a.writing, a.needsRead, a.retryAt = false, true, s.nextTry(&a.backoff)
}

func (s *State) statusRead(id string, done StoreDone) {
	i := s.acceptedIndex(id)
	if i < 0 {
		return
	}
	if done.Err != StoreOK || len(done.Objects) == 0 {
		s.publisher.untrackAccepted(i) // deleted in the meantime
		return
	}
	var st status.Status
	if json.Unmarshal(done.Objects[0].Data, &st) != nil || st.Phase != status.Accepted {
		s.publisher.untrackAccepted(i)
		return
	}
	a := &s.publisher.accepted[i]
	a.status, a.version, a.writing, a.needsRead = st, done.Objects[0].Version, false, false
	s.writeStatuses()
}

func (s *State) statusReplaced(c storeCall, done StoreDone) {
	i := s.acceptedIndex(c.name)
	if i < 0 {
		return
	}
	a := &s.publisher.accepted[i]
	switch {
	case done.Err != StoreOK:
		s.statusWriteFailed(c.name)
	case c.step == stepWriteProgress:
		a.version, a.writing = done.Version, false
		a.backoff.reset()
	default:
		s.log(notice.ConfigInForce, Attr{"id", c.name}, Attr{"version", a.status.Version})
		s.publisher.untrackAccepted(i)
	}
}
