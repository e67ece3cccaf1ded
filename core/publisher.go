package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/status"
)

// Keys of submissions and their status in the platform.
const (
	submissionPrefix = "submission/"
	statusPrefix     = "status/"
)

// keptSettled bounds the settled submissions that the head names.
const keptSettled = 64

// publishStep is the step of the publisher's work that a platform call
// belongs to.
type publishStep uint8

const (
	stepHead     publishStep = iota + 1 // read the head
	stepList                            // list the submissions
	stepWatch                           // wait for more
	stepSettled                         // read whether the status of the next one exists
	stepChunk                           // write one chunk
	stepManifest                        // write the manifest
	stepCommit                          // update the head
	stepStatus                          // write the status
	stepStatusOf                        // read a status that is to be replaced
	stepRemove                          // delete the submission
	stepInForce                         // write the status anew: in force
)

// publisher takes submissions in order, checks and publishes them. All that
// it decides takes effect by one conditional update of the head, so two
// publishers at once settle no submission twice or in two ways.
type publisher struct {
	lease    *lease.Machine
	active   bool
	round    uint64 // one more with each start; results of older rounds are dropped
	retryAt  time.Time
	headAt   uint64 // version of the head object
	head     config.Head
	haveHead bool
	revision uint64
	listed   bool
	watching bool
	queue    []queued
	job      *job
	waiting  []awaited
}

// queued is a submission that waits for its turn.
type queued struct {
	key     string
	version uint64
	created uint64
	sub     config.Submission
	fault   string // why it can't be read
}

// job is the submission at work.
type job struct {
	queued
	next     *config.Set
	settled  config.Settled
	head     config.Head
	manifest []byte
	chunks   int // writes under way
}

// awaited is an accepted submission not yet in force everywhere.
type awaited struct {
	status  status.Status
	version uint64 // of the status object
	writing bool
}

func newPublisher(cfg Config) publisher {
	return publisher{lease: lease.New(lease.Config{
		Holder: cfg.Node, Address: cfg.Peer, TTL: cfg.LeaseTTL, Renew: cfg.LeaseRenew, Margin: cfg.LeaseMargin,
	})}
}

func (s *State) publisherCall(step publishStep, name string) storeCall {
	return storeCall{purpose: forPublisher, step: step, name: name, round: s.publisher.round}
}

func (s *State) publisherTick() {
	p := &s.publisher
	if s.member.phase != phaseRoot && !p.active {
		return
	}
	if w, due := p.lease.Next(s.now, s.member.phase == phaseRoot); due {
		s.storePut(publisherLeaseKey, mustJSON(w.Record), w.Base, storeCall{purpose: forPublisherLease})
	}
	held := p.lease.Held(s.now)
	switch {
	case held && !p.active:
		s.log(notice.LeaseTaken, Attr{"lease", publisherLeaseKey}, Attr{"epoch", p.lease.Epoch()})
		p.active = true
		s.restartPublisher(0)
	case !held && p.active:
		s.log(notice.LeaseLost, Attr{"lease", publisherLeaseKey})
		p.active = false
		p.round++
		p.job, p.queue, p.waiting = nil, nil, nil
	case !held:
		return
	}
	if !p.retryAt.IsZero() && !s.now.Before(p.retryAt) {
		p.retryAt = time.Time{}
		s.storeList(headKey, s.publisherCall(stepHead, ""))
	}
	if p.listed && !p.watching {
		p.watching = true
		s.storeWatch(submissionPrefix, p.revision, s.cfg.WatchWait, s.publisherCall(stepWatch, ""))
	}
	s.publisherCounted()
}

func (s *State) publisherLeaseWritten(done StoreDone) {
	if done.Err != StoreOK {
		leaseNotWritten(s.publisher.lease, done)
		s.platformFailed(done)
		return
	}
	s.publisher.lease.Written(s.now, done.Version)
}

// restartPublisher reads everything anew: after a start, a lost race or an
// answer that did not come.
func (s *State) restartPublisher(wait time.Duration) {
	p := &s.publisher
	p.round++
	p.job, p.queue = nil, nil
	p.haveHead, p.listed, p.watching = false, false, false
	p.retryAt = s.now.Add(s.jitter(wait))
}

func (s *State) publisherStep(c storeCall, done StoreDone) {
	p := &s.publisher
	if !p.active || !p.lease.Held(s.now) {
		return
	}
	if done.Err == StoreFailed || done.Err == StoreThrottled || done.Err == StoreCompacted {
		s.platformFailed(done)
		if c.step == stepInForce || c.step == stepStatusOf {
			s.awaitedFailed(c.name)
			return
		}
		s.restartPublisher(storeRetryAfter)
		return
	}
	switch c.step {
	case stepHead:
		s.publisherHead(done)
	case stepList:
		p.listed, p.revision = true, done.Revision
		s.enqueue(done.Objects)
	case stepWatch:
		p.watching, p.revision = false, max(p.revision, done.Revision)
		s.enqueue(done.Objects)
	case stepSettled:
		s.settledRead(done)
	case stepChunk, stepManifest, stepCommit:
		s.published(c.step, done)
	case stepStatus:
		s.statusWritten(done)
	case stepStatusOf:
		s.statusRead(c.name, done)
	case stepRemove:
		s.publisher.job = nil
	case stepInForce:
		s.inForceWritten(c.name, done)
	}
	s.nextJob()
}

func (s *State) publisherHead(done StoreDone) {
	p := &s.publisher
	p.head, p.headAt, p.haveHead = config.Head{}, 0, true
	if len(done.Objects) > 0 {
		p.headAt = done.Objects[0].Version
		if err := json.Unmarshal(done.Objects[0].Data, &p.head); err != nil {
			s.refuse(fmt.Sprintf("head can't be read: %v", err))
			s.restartPublisher(storeRetryAfter)
			return
		}
		s.headSeen(done.Objects[0].Data)
	}
	if p.head.Epoch > p.lease.Epoch() {
		s.restartPublisher(storeRetryAfter) // fenced: a later holder has published
		return
	}
	s.storeList(submissionPrefix, s.publisherCall(stepList, ""))
}

func (s *State) enqueue(objects []StoreObject) {
	p := &s.publisher
	for _, o := range objects {
		if o.Deleted || p.job != nil && p.job.key == o.Key ||
			slices.ContainsFunc(p.queue, func(q queued) bool { return q.key == o.Key }) {
			continue
		}
		q := queued{key: o.Key, version: o.Version, created: o.Created}
		if err := json.Unmarshal(o.Data, &q.sub); err != nil {
			q.fault = fmt.Sprintf("submission can't be read: %v", err)
		}
		q.sub.ID = o.Key[len(submissionPrefix):]
		p.queue = append(p.queue, q)
	}
	slices.SortStableFunc(p.queue, func(a, b queued) int { return int(int64(a.created) - int64(b.created)) })
}

// nextJob takes the next submission if none is at work and this node holds
// the set that the head names.
func (s *State) nextJob() {
	p := &s.publisher
	if p.job != nil || len(p.queue) == 0 || !p.listed || !p.haveHead || s.configVersion() < p.head.Version {
		return
	}
	p.job = &job{queued: p.queue[0]}
	p.queue = p.queue[1:]
	s.storeGet(statusPrefix+p.job.sub.ID, s.publisherCall(stepSettled, p.job.sub.ID))
}

// settledRead begins with a submission, unless it is known to be settled: a
// repeat of one that was settled and removed, or one whose removal failed.
func (s *State) settledRead(done StoreDone) {
	j := s.publisher.job
	if settled, ok := s.publisher.head.Settled(j.sub.ID); ok {
		j.settled = settled
		s.writeStatus(done)
		return
	}
	if done.Err == StoreOK {
		s.storeDelete(j.key, j.version, s.publisherCall(stepRemove, j.sub.ID))
		return
	}
	s.check(j)
}

// check merges and checks the whole set, then begins to publish the result.
func (s *State) check(j *job) {
	p := &s.publisher
	if p.head.Version != s.configVersion() {
		s.restartPublisher(s.cfg.LeaseRenew) // this node knows more than the head it read
		return
	}
	faults := []config.Fault{{Reason: j.fault}}
	if j.fault == "" {
		j.next, faults = config.Merge(s.holder.set, j.sub)
	}
	if len(faults) == 0 {
		_, faults = config.Compile(j.next)
	}
	j.head = p.head
	j.head.Epoch = p.lease.Epoch()
	if len(faults) > 0 {
		j.next = nil
		j.settled = config.Settled{ID: j.sub.ID, Version: p.head.Version, Rejected: true, Faults: boundFaults(faults)}
		s.commit(j)
		return
	}
	j.settled = config.Settled{ID: j.sub.ID, Version: j.next.Version}
	manifest, chunks, err := config.EncodeSet(j.next)
	if err != nil {
		j.next = nil
		j.settled = config.Settled{ID: j.sub.ID, Version: p.head.Version, Rejected: true, Faults: []config.Fault{{Reason: err.Error()}}}
		s.commit(j)
		return
	}
	s.writeChunks(j, manifest, chunks)
}

// maxFaults bounds the faults kept with a rejected submission.
const maxFaults = 32

func boundFaults(faults []config.Fault) []config.Fault {
	if len(faults) <= maxFaults {
		return faults
	}
	more := config.Fault{Reason: fmt.Sprintf("and %d more faults", len(faults)-maxFaults)}
	return append(slices.Clone(faults[:maxFaults]), more)
}

func (s *State) writeChunks(j *job, m config.Manifest, chunks []config.Chunk) {
	j.manifest = mustJSON(m)
	j.head.Version, j.head.Hash, j.head.Manifest = j.next.Version, m.Hash, config.ContentName(j.manifest)
	held := s.heldChunks()
	for _, c := range chunks {
		if _, ok := held[c.Name]; ok && s.publisher.head.Version > 0 {
			continue
		}
		j.chunks++
		s.storePut(chunkPrefix+c.Name, c.Data, 0, s.publisherCall(stepChunk, c.Name))
	}
	if j.chunks == 0 {
		s.writeManifest(j)
	}
}

func (s *State) writeManifest(j *job) {
	s.storePut(manifestPrefix+j.head.Manifest, j.manifest, 0, s.publisherCall(stepManifest, j.head.Manifest))
}

func (s *State) commit(j *job) {
	j.head.Recent = append(slices.Clone(s.publisher.head.Recent), j.settled)
	if extra := len(j.head.Recent) - keptSettled; extra > 0 {
		j.head.Recent = j.head.Recent[extra:]
	}
	s.storePut(headKey, mustJSON(j.head), s.publisher.headAt, s.publisherCall(stepCommit, ""))
}

// published goes on after a write of a chunk, the manifest or the head. A
// chunk or manifest that exists already is as good: its name is its content.
func (s *State) published(step publishStep, done StoreDone) {
	j := s.publisher.job
	switch {
	case done.Err != StoreOK && (done.Err != StoreConflict || step == stepCommit):
		s.restartPublisher(storeRetryAfter)
	case step == stepChunk:
		j.chunks--
		if j.chunks == 0 {
			s.writeManifest(j)
		}
	case step == stepManifest:
		s.commit(j)
	case step == stepCommit:
		s.publisher.head, s.publisher.headAt = j.head, done.Version
		if j.next != nil {
			s.take(j.next)
		}
		s.writeStatus(StoreDone{Err: StoreNotFound})
	}
}

// writeStatus writes what became of the submission at work.
func (s *State) writeStatus(existing StoreDone) {
	j := s.publisher.job
	if existing.Err == StoreOK {
		s.storeDelete(j.key, j.version, s.publisherCall(stepRemove, j.sub.ID))
		if !j.settled.Rejected {
			s.await(j, existing.Objects[0].Version)
		}
		return
	}
	s.storePut(statusPrefix+j.sub.ID, mustJSON(j.status()), 0, s.publisherCall(stepStatus, j.sub.ID))
}

func (j *job) status() status.Status {
	st := status.Status{ID: j.sub.ID, Phase: status.Accepted, Version: j.settled.Version}
	if j.settled.Rejected {
		st.Phase, st.Faults = status.Rejected, j.settled.Faults
	}
	return st
}

func (s *State) statusWritten(done StoreDone) {
	j := s.publisher.job
	if j.settled.Rejected {
		s.log(notice.SubmissionRejected, Attr{"id", j.sub.ID}, Attr{"faults", len(j.settled.Faults)})
	} else {
		s.log(notice.SubmissionAccepted, Attr{"id", j.sub.ID}, Attr{"version", j.settled.Version})
		if done.Err == StoreOK {
			s.await(j, done.Version)
		}
	}
	s.storeDelete(j.key, j.version, s.publisherCall(stepRemove, j.sub.ID))
}

func (s *State) await(j *job, version uint64) {
	s.publisher.waiting = append(s.publisher.waiting, awaited{status: j.status(), version: version})
	s.publisherCounted()
}

// totals adds the reports of all data centres. ok is false while a data
// centre that has a root has not reported.
func (s *State) totals() (total message.Report, ok bool) {
	total, ok = s.ownReport(), true
	var others []message.Report
	for _, dc := range sortedNames(s.root.others) {
		r, reported := s.root.reports[dc]
		if !reported {
			ok = false
			continue
		}
		others = append(others, r)
	}
	return status.Count(total, others), ok
}

// publisherCounted writes the status of submissions that are now in force on
// every live node.
func (s *State) publisherCounted() {
	p := &s.publisher
	if !p.active || len(p.waiting) == 0 {
		return
	}
	total, ok := s.totals()
	if !ok {
		return
	}
	for i := range p.waiting {
		a := &p.waiting[i]
		if a.writing || total.Applied < a.status.Version {
			continue
		}
		a.writing = true
		st := a.status
		st.Phase, st.Nodes, st.Applied = status.InForce, total.Nodes, total.Nodes
		s.storePut(statusPrefix+st.ID, mustJSON(st), a.version, s.publisherCall(stepInForce, st.ID))
	}
}

func (s *State) awaitedIndex(id string) int {
	return slices.IndexFunc(s.publisher.waiting, func(a awaited) bool { return a.status.ID == id })
}

// awaitedFailed reads a status whose write failed or may have failed, before
// it is written again.
func (s *State) awaitedFailed(id string) {
	if s.awaitedIndex(id) >= 0 {
		s.storeGet(statusPrefix+id, s.publisherCall(stepStatusOf, id))
	}
}

func (s *State) statusRead(id string, done StoreDone) {
	i := s.awaitedIndex(id)
	if i < 0 {
		return
	}
	a := &s.publisher.waiting[i]
	if done.Err != StoreOK || len(done.Objects) == 0 {
		s.publisher.waiting = slices.Delete(s.publisher.waiting, i, i+1)
		return
	}
	var st status.Status
	if json.Unmarshal(done.Objects[0].Data, &st) == nil && st.Phase == status.InForce {
		s.publisher.waiting = slices.Delete(s.publisher.waiting, i, i+1)
		return
	}
	a.version, a.writing = done.Objects[0].Version, false
	s.publisherCounted()
}

func (s *State) inForceWritten(id string, done StoreDone) {
	i := s.awaitedIndex(id)
	if i < 0 {
		return
	}
	if done.Err != StoreOK {
		s.awaitedFailed(id)
		return
	}
	s.log(notice.ConfigInForce, Attr{"id", id}, Attr{"version", s.publisher.waiting[i].status.Version})
	s.publisher.waiting = slices.Delete(s.publisher.waiting, i, i+1)
}
