package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/notice"
)

// publishStep identifies the step of the publisher that a platform call
// belongs to.
type publishStep uint8

const (
	stepReadHead publishStep = iota + 1
	stepListSubmissions
	stepWatchSubmissions
	stepCheckSettled // read the status of the next submission
	stepWriteChunk
	stepWriteManifest
	stepReadExistingPart // a chunk or the manifest
	stepCommit           // update the head
	stepWriteStatus      // of the current submission
	stepDeleteSubmission
	stepReadListedStatus  // of a submission that the head lists
	stepWriteListedStatus // if the previous publisher did not
	stepReadReplacedStatus
	stepWriteProgress // into a status: not yet in force
	stepWriteInForce
	stepListGarbage // candidates of one kind
	stepFenceSweep  // update the head before garbage is deleted
	stepDeleteGarbage
)

// publisher processes submissions in order, validates and publishes them.
// Every decision takes effect by one conditional update of the head, so two
// concurrent publishers can't settle a submission twice or with different
// results.
type publisher struct {
	lease       *lease.Machine
	active      bool
	round       uint64 // increases with each restart; results of older rounds are dropped
	backoff     backoff
	retryAt     time.Time // when to read all state again; zero if no read is due
	headVersion uint64    // version of the head object
	head        config.Head
	headRead    bool
	heldAtRead  uint64 // version that this node held when the read of the head was sent
	watchFrom   uint64 // revision of the platform
	listed      bool   // the submissions have been listed
	watching    bool   // a watch for submissions is in progress
	queue       []queuedSubmission
	job         *job
	recorded    map[string]bool // settled submissions whose status is known to be written
	accepted    []acceptedSubmission
	progressAt  time.Time // last time the progress of accepted submissions was written
	sweep       sweep
}

// publisherFaults disables rules of the publisher. Tests set it to verify
// that their checks can fail.
type publisherFaults struct {
	skipValidation bool // a set is published without validation
	ignoreSettled  bool // a submission is settled even if it was settled before
	ignoreEpoch    bool // the epoch of the head is not compared with that of the lease
	skipCount      bool // InForce is written without counting the nodes that applied the version
	unfencedSweep  bool // garbage is deleted without updating the head first
	refuseAll      bool // every version is refused
}

func newPublisher(cfg Config) publisher {
	return publisher{recorded: map[string]bool{}, lease: lease.New(cfg.lease())}
}

func (s *State) publisherCall(step publishStep, name string) storeCall {
	return storeCall{purpose: forPublisher, step: step, name: name, round: s.publisher.round}
}

func (s *State) publisherTick() {
	p := &s.publisher
	if s.cfg.Source || s.member.phase != phaseRoot && !p.active {
		return
	}
	if w, due := p.lease.Next(s.now, s.canPublish() && s.takesLeases()); due {
		s.storePut(keyspace.PublisherLease, mustJSON(w.Record), w.Base, storeCall{purpose: forPublisherLease})
	}
	held := p.lease.Held(s.now)
	if held && !p.active {
		s.startPublisher()
	}
	if !held && p.active {
		s.stopPublisher()
	}
	if !p.active {
		return
	}
	if !p.retryAt.IsZero() && !s.now.Before(p.retryAt) {
		p.retryAt = time.Time{}
		p.heldAtRead = s.configVersion()
		s.storeList(keyspace.Head, s.publisherCall(stepReadHead, ""))
	}
	if p.listed && !p.watching {
		p.watching = true
		s.storeWatch(keyspace.Submissions, p.watchFrom, s.cfg.WatchWait, s.publisherCall(stepWatchSubmissions, ""))
	}
	s.nextJob()
	s.writeStatuses()
	s.sweepTick()
}

// canPublish reports whether this node may take or keep the publisher's
// lease. A node that refuses the published version, as one with an older
// release may, can't build on that version and leaves publishing to another
// node.
func (s *State) canPublish() bool {
	refuses := s.holder.refused != "" && s.configVersion() < s.member.newestVersion
	return s.member.phase == phaseRoot && !refuses
}

func (s *State) startPublisher() {
	p := &s.publisher
	s.log(notice.LeaseTaken, Attr{"lease", keyspace.PublisherLease}, Attr{"epoch", p.lease.Epoch()})
	p.active, p.backoff = true, backoff{}
	p.recorded, p.accepted = map[string]bool{}, nil
	p.sweep = sweep{nextAt: s.now.Add(s.jitter(s.cfg.SweepEvery)), nextStatusAt: s.now.Add(s.jitter(s.cfg.SweepEvery))}
	s.restartPublisher(s.now)
}

// stopPublisher stops all work immediately: another node may hold the
// lease.
func (s *State) stopPublisher() {
	p := &s.publisher
	s.log(notice.LeaseLost, Attr{"lease", keyspace.PublisherLease})
	p.active = false
	p.round++
	p.job, p.queue, p.accepted, p.sweep = nil, nil, nil, sweep{}
}

func (s *State) publisherLeaseWritten(done StoreDone) {
	if done.Err != StoreOK {
		leaseWriteFailed(s.publisher.lease, done)
		s.platformFailed(done)
		return
	}
	s.publisher.lease.Written(s.now, done.Version)
}

// restartPublisher schedules a fresh read of all state at the given time.
func (s *State) restartPublisher(at time.Time) {
	p := &s.publisher
	p.round++
	p.job, p.queue = nil, nil
	p.headRead, p.listed, p.watching = false, false, false
	p.retryAt = at
	p.sweep.reset()
	for i := range p.accepted {
		p.accepted[i].interrupted()
	}
}

// retryPublisher schedules a fresh read of all state after a conflicting update or a
// failed call.
func (s *State) retryPublisher() { s.restartPublisher(s.nextTry(&s.publisher.backoff)) }

// publisherStep handles the result of a platform call. Without the lease it
// stops the publisher at once: if the lease were renewed later, the
// publisher would continue without this result.
func (s *State) publisherStep(c storeCall, done StoreDone) {
	p := &s.publisher
	if !p.active {
		return
	}
	if !p.lease.Held(s.now) {
		s.stopPublisher()
		return
	}
	switch done.Err {
	case StoreFailed, StoreThrottled, StoreCompacted, StoreTooLarge:
		s.publisherCallFailed(c, done)
	default:
		s.publisherCallDone(c, done)
	}
	s.nextJob()
}

func (s *State) publisherCallFailed(c storeCall, done StoreDone) {
	s.platformFailed(done)
	switch c.step {
	case stepReadReplacedStatus, stepWriteProgress, stepWriteInForce:
		s.statusWriteFailed(c.name)
	case stepListGarbage, stepDeleteGarbage:
		s.sweepFailed()
	default:
		s.retryPublisher()
	}
}

func (s *State) publisherCallDone(c storeCall, done StoreDone) {
	p := &s.publisher
	switch c.step {
	case stepReadHead:
		s.publisherHeadRead(done)
	case stepListSubmissions:
		p.listed, p.watchFrom = true, done.Revision
		p.backoff.reset()
		s.enqueue(done.Objects)
	case stepWatchSubmissions:
		p.watching, p.watchFrom = false, max(p.watchFrom, done.Revision)
		s.enqueue(done.Objects)
	case stepCheckSettled:
		s.settledRead(done)
	case stepWriteChunk, stepWriteManifest:
		s.partWritten(c, done)
	case stepReadExistingPart:
		s.existingPartRead(c, done)
	case stepCommit:
		s.committed(done)
	case stepWriteStatus:
		s.statusWritten(done)
	case stepDeleteSubmission:
		p.job = nil
	case stepReadListedStatus:
		s.listedStatusRead(c.name, done)
	case stepWriteListedStatus:
		s.listedStatusWritten(c.name, done)
	case stepReadReplacedStatus:
		s.statusRead(c.name, done)
	case stepWriteProgress, stepWriteInForce:
		s.statusReplaced(c, done)
	case stepListGarbage:
		s.garbageListed(c.name, done)
	case stepFenceSweep:
		s.sweepFenced(done)
	case stepDeleteGarbage:
		s.garbageDeleted()
	}
}

func (s *State) publisherHeadRead(done StoreDone) {
	p := &s.publisher
	p.head, p.headVersion, p.headRead = config.Head{}, 0, true
	if len(done.Objects) > 0 {
		p.headVersion = done.Objects[0].Version
		if err := json.Unmarshal(done.Objects[0].Data, &p.head); err != nil {
			s.refuseConfig(fmt.Sprintf("head can't be read: %v", err))
			s.retryPublisher()
			return
		}
		s.headReceived(done.Objects[0].Data)
	}
	if p.head.Epoch > p.lease.Epoch() && !s.cfg.publisherFaults.ignoreEpoch {
		// A later holder has published, or the lease object was deleted and
		// its epochs started again from the beginning.
		p.lease.RaiseEpoch(p.head.Epoch)
		s.retryPublisher()
		return
	}
	if p.head.Version < p.heldAtRead {
		s.publishAgain()
		return
	}
	s.storeList(keyspace.Submissions, s.publisherCall(stepListSubmissions, ""))
	s.recoverStatuses()
}
