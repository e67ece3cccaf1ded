package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/status"
)

// queuedSubmission is a submission waiting to be processed.
type queuedSubmission struct {
	key     string
	version uint64
	created uint64
	sub     config.Submission
	fault   string // reason why it can't be read; empty if it can
}

// job is the submission being processed.
type job struct {
	queuedSubmission
	republish bool // there is no submission: next was published before, and the platform has lost it
	next      *config.Set
	delta     config.Delta
	encoded   *config.Encoded
	settled   config.SubmissionResult
	head      config.Head
	parts     map[string][]byte // chunks and the manifest, by key
	writes    int               // parts not yet written
}

func (s *State) enqueue(objects []StoreObject) {
	p := &s.publisher
	for _, o := range objects {
		if o.Deleted || p.job != nil && p.job.key == o.Key ||
			slices.ContainsFunc(p.queue, func(q queuedSubmission) bool { return q.key == o.Key }) {
			continue
		}
		q := queuedSubmission{key: o.Key, version: o.Version, created: o.Created}
		if err := json.Unmarshal(o.Data, &q.sub); err != nil {
			q.fault = fmt.Sprintf("submission can't be read: %v", err)
		}
		q.sub.ID = o.Key[len(keyspace.Submissions):]
		p.queue = append(p.queue, q)
	}
	slices.SortStableFunc(p.queue, func(a, b queuedSubmission) int { return cmp.Compare(a.created, b.created) })
}

// nextJob starts the next submission if none is being processed and this
// node holds the set that the head refers to. A pending update of the head
// for garbage collection goes first.
func (s *State) nextJob() {
	p := &s.publisher
	if !p.active || p.job != nil || p.sweep.fencing || !p.listed || !p.headRead || s.configVersion() < p.head.Version {
		return
	}
	if s.beginFence() {
		return
	}
	if len(p.queue) == 0 {
		return
	}
	p.job = &job{queuedSubmission: p.queue[0]}
	p.queue = p.queue[1:]
	s.storeGet(keyspace.Statuses+p.job.sub.ID, s.publisherCall(stepCheckSettled, p.job.sub.ID))
}

// settledRead starts processing a submission, unless it was settled before:
// it may be a repeat of a settled and removed one, or one that could not be
// removed. The status is read after the head, and an entry is dropped from
// the head only once its status is known to be written, so at least one of
// the two shows that the submission was settled.
func (s *State) settledRead(done StoreDone) {
	j := s.publisher.job
	settled, ok := s.publisher.head.ResultOf(j.sub.ID)
	switch {
	case s.cfg.publisherFaults.ignoreSettled:
		s.process(j)
	case done.Err == StoreOK:
		s.listedStatusRead(j.sub.ID, done)
		s.removeJob()
	case ok:
		j.settled = settled
		s.writeStatus(j)
	default:
		s.process(j)
	}
}

// writeStatus writes the result of the current submission.
func (s *State) writeStatus(j *job) {
	st := s.statusOf(j.settled)
	s.storePut(keyspace.Statuses+st.ID, mustJSON(st), 0, s.publisherCall(stepWriteStatus, st.ID))
}

func (s *State) statusOf(settled config.SubmissionResult) status.Status {
	st := status.Status{ID: settled.ID, Phase: status.Accepted, Version: settled.Version, Settled: s.now.UTC()}
	if settled.Rejected {
		st.Phase, st.Faults = status.Rejected, settled.Faults
	}
	return st
}

func (s *State) statusWritten(done StoreDone) {
	s.listedStatusWritten(s.publisher.job.sub.ID, done)
	s.removeJob()
}

func (s *State) removeJob() {
	j := s.publisher.job
	s.storeDelete(j.key, j.version, s.publisherCall(stepDeleteSubmission, j.sub.ID))
}

// recoverStatuses ensures that every settled submission listed in the head
// has a status, and resumes tracking those that are not in force yet: the
// previous publisher may have stopped between any two writes.
func (s *State) recoverStatuses() {
	p := &s.publisher
	for _, settled := range p.head.Recent {
		if !p.recorded[settled.ID] {
			s.storeGet(keyspace.Statuses+settled.ID, s.publisherCall(stepReadListedStatus, settled.ID))
		}
	}
}

// listedStatusRead handles the status of a submission that the head lists: it writes a
// missing one, and tracks one that is not in force yet.
func (s *State) listedStatusRead(id string, done StoreDone) {
	if done.Err != StoreOK || len(done.Objects) == 0 {
		if settled, ok := s.publisher.head.ResultOf(id); ok {
			s.storePut(keyspace.Statuses+id, mustJSON(s.statusOf(settled)), 0, s.publisherCall(stepWriteListedStatus, id))
		}
		return
	}
	s.publisher.recorded[id] = true
	var st status.Status
	if json.Unmarshal(done.Objects[0].Data, &st) == nil && st.Phase == status.Accepted {
		s.trackAccepted(st, done.Objects[0].Version)
	}
}

// listedStatusWritten handles the result of the first write of a status. A
// conflict means that the status already exists.
func (s *State) listedStatusWritten(id string, done StoreDone) {
	p := &s.publisher
	settled, ok := p.head.ResultOf(id)
	if done.Err != StoreOK || !ok {
		s.storeGet(keyspace.Statuses+id, s.publisherCall(stepReadListedStatus, id))
		return
	}
	p.recorded[id] = true
	s.logSettled(settled)
	if !settled.Rejected {
		s.trackAccepted(s.statusOf(settled), done.Version)
	}
}
