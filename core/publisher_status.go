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

// progressEvery is the time between two writes of statuses that wait,
// whatever their number.
const progressEvery = time.Second

// awaited is an accepted submission not yet in force everywhere.
type awaited struct {
	status  status.Status
	version uint64 // of the status object
	since   time.Time
	writing bool
	unsure  bool // what stands in the platform is read before the next write
	retryAt time.Time
	backoff backoff
}

// interrupted notes that the result of a call under way will be missed.
func (a *awaited) interrupted() {
	a.unsure = a.unsure || a.writing
	a.writing = false
}

func (s *State) await(st status.Status, version uint64) {
	if s.awaitedIndex(st.ID) >= 0 {
		return
	}
	s.publisher.waiting = append(s.publisher.waiting, awaited{status: st, version: version, since: s.now})
	s.publisherCounted()
}

func (s *State) awaitedIndex(id string) int {
	return slices.IndexFunc(s.publisher.waiting, func(a awaited) bool { return a.status.ID == id })
}

// part is a part of the mesh that was counted as one.
type part struct {
	name   string
	report message.Report
	gone   bool // no report came from it
}

// parts returns this node, what is below it, and the other data centres. A
// data centre counts by the root that holds its lease: another one that says
// it is a root may have lost its nodes.
func (s *State) parts() []part {
	own := message.Report{DataCentre: s.cfg.DataCentre, Applied: s.configVersion(), Nodes: 1}
	if s.holder.refused != "" {
		own.Laggards = []message.Laggard{{Node: s.cfg.Node, Applied: own.Applied, Reason: s.holder.refused}}
	}
	s.addLaggards(&own)
	parts := []part{{name: s.cfg.Node, report: own}}
	roots := map[string]message.Report{}
	for _, id := range sortedLinks(s.links) {
		switch l := s.links[id]; l.role {
		case roleChild:
			parts = append(parts, part{name: l.node, report: l.report})
		case roleRoot:
			if l.open && l.report.Nodes > 0 {
				roots[l.node] = l.report
			}
		}
	}
	if all := s.subtreeReport(); all.Missing > 0 {
		missing := message.Report{Applied: min(all.Applied, s.root.completeVersion), Nodes: all.Missing, Laggards: all.Laggards}
		parts = append(parts, part{name: "data centre " + s.cfg.DataCentre, report: missing})
	}
	for _, dc := range sortedNames(s.root.otherRoots) {
		r, ok := roots[s.root.otherRoots[dc].Holder]
		parts = append(parts, part{name: "data centre " + dc, report: r, gone: !ok})
	}
	return parts
}

// progressOf says how far a version has come. done is set when every live
// node has applied it.
func progressOf(st status.Status, parts []part) (counted status.Status, done bool) {
	st.Nodes, st.Applied, st.Laggards = 0, 0, nil
	done = true
	for _, p := range parts {
		st.Nodes += p.report.Nodes
		if !p.gone && p.report.Applied >= st.Version {
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

// lowestApplied returns the version that every part has applied.
func lowestApplied(parts []part) uint64 {
	lowest := parts[0].report.Applied
	for _, p := range parts {
		if p.gone {
			return 0
		}
		lowest = min(lowest, p.report.Applied)
	}
	return lowest
}

// laggards names the nodes of a part that are behind a version, or the part
// itself when it names none.
func (p part) laggards(version uint64) []message.Laggard {
	if p.gone {
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

// publisherCounted writes the status of submissions that are now in force on
// every live node. The list of data centres has to be newer than the
// acceptance: a node of one that came later began with the new version.
func (s *State) publisherCounted() {
	p := &s.publisher
	if !p.active || !p.lease.Held(s.now) || len(p.waiting) == 0 || s.member.phase != phaseRoot {
		return
	}
	parts := s.parts()
	lowest, tell := lowestApplied(parts), s.now.Sub(p.progress) >= progressEvery
	for i := range p.waiting {
		a := &p.waiting[i]
		if a.writing || s.now.Before(a.retryAt) {
			continue
		}
		if a.unsure {
			a.writing = true
			s.storeGet(keyspace.Statuses+a.status.ID, s.publisherCall(stepStatusOf, a.status.ID))
			continue
		}
		if a.status.Version > lowest && !tell && !s.cfg.faults.hasty {
			continue // not in force, and nothing to be told yet
		}
		st, done := progressOf(a.status, parts)
		fresh := !s.root.listedAsOf.Before(a.since)
		if done && !fresh {
			s.root.nextList = s.now
		}
		if done && fresh || s.cfg.faults.hasty {
			st.Phase = status.InForce
			s.replaceStatus(a, st, stepInForce)
			continue
		}
		s.writeProgress(a, st)
	}
	if tell {
		p.progress = s.now // the next look at all of them is as far away, whether one was written or not
	}
}

// writeProgress tells operators who is behind, at a bounded rate.
func (s *State) writeProgress(a *awaited, st status.Status) {
	p := &s.publisher
	if s.now.Sub(p.progress) < progressEvery || s.now.Sub(a.since) < progressEvery || sameProgress(st, a.status) {
		return
	}
	p.progress = s.now
	s.replaceStatus(a, st, stepProgress)
}

func sameProgress(a, b status.Status) bool {
	return a.Nodes == b.Nodes && a.Applied == b.Applied && slices.Equal(a.Laggards, b.Laggards)
}

func (s *State) replaceStatus(a *awaited, st status.Status, step publishStep) {
	a.writing = true
	a.status = st
	s.storePut(keyspace.Statuses+st.ID, mustJSON(st), a.version, s.publisherCall(step, st.ID))
}

// awaitedFailed reads a status whose write failed or may have failed, before
// it is written again.
func (s *State) awaitedFailed(id string) {
	i := s.awaitedIndex(id)
	if i < 0 {
		return
	}
	a := &s.publisher.waiting[i]
	a.writing, a.unsure, a.retryAt = false, true, s.nextTry(&a.backoff)
}

func (s *State) statusRead(id string, done StoreDone) {
	i := s.awaitedIndex(id)
	if i < 0 {
		return
	}
	if done.Err != StoreOK || len(done.Objects) == 0 {
		s.publisher.dropWaiting(i) // removed in the meantime
		return
	}
	var st status.Status
	if json.Unmarshal(done.Objects[0].Data, &st) != nil || st.Phase != status.Accepted {
		s.publisher.dropWaiting(i)
		return
	}
	a := &s.publisher.waiting[i]
	a.status, a.version, a.writing, a.unsure = st, done.Objects[0].Version, false, false
	s.publisherCounted()
}

func (s *State) awaitedWritten(c storeCall, done StoreDone) {
	i := s.awaitedIndex(c.name)
	if i < 0 {
		return
	}
	a := &s.publisher.waiting[i]
	switch {
	case done.Err != StoreOK:
		s.awaitedFailed(c.name)
	case c.step == stepProgress:
		a.version, a.writing = done.Version, false
		a.backoff.reset()
	default:
		s.log(notice.ConfigInForce, Attr{"id", c.name}, Attr{"version", a.status.Version})
		s.publisher.dropWaiting(i)
	}
}
