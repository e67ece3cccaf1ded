package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/notice"
)

// purpose identifies the part of the state that a platform call belongs to.
type purpose uint8

const (
	forRootLeaseRead purpose = iota + 1
	forRootLeaseWrite
	forLeaseList
	forHeadRead
	forHeadWatch
	forManifest
	forChunk
	forPublisherLease
	forPublisher
	forSourceRead
	forSourceWatch
	forClaimWrite
	forClaimRead
	forClaimEnd
	forClaimSweep
	forLeavingRead
	forLeavingWrite
	forLeavingSweep
	forLeavingDelete
)

// storeCall is the context kept for a platform call until its result
// arrives.
type storeCall struct {
	purpose purpose
	name    string // name of the object, if the purpose has several
	version uint64 // configuration version that a chunk is read for
	step    publishStep
	request CallID        // call that a claim belongs to
	leaving LeavingRecord // that is written
	round   uint64        // round of the publisher; results of an older round are dropped
}

// platformState tracks outages of the platform, so that each is logged once
// and not for every call, and holds the calls that are to be sent later.
type platformState struct {
	down     bool
	restored uint64  // highest era that began with a restore from a copy, as far as known; zero: none
	backoff  backoff // for reads that are retried
	retries  []delayedList
	limit    callLimit
}

// delayedList is a list call that is sent after a delay.
type delayedList struct {
	at     time.Time
	prefix string
	call   storeCall
}

func (s *State) nextCall(c storeCall) StoreCallID {
	s.lastCall++
	s.calls[s.lastCall] = c
	return s.lastCall
}

func (s *State) storeGet(key string, c storeCall) {
	s.callPlatform(c, StoreGet{Call: s.nextCall(c), Key: key})
}

func (s *State) storeList(prefix string, c storeCall) {
	s.callPlatform(c, StoreList{Call: s.nextCall(c), Prefix: prefix})
}

func (s *State) storePut(key string, data []byte, base uint64, c storeCall) {
	s.callPlatform(c, StorePut{Call: s.nextCall(c), Key: key, Data: data, Base: base})
}

func (s *State) storeDelete(key string, base uint64, c storeCall) {
	s.callPlatform(c, StoreDelete{Call: s.nextCall(c), Key: key, Base: base})
}

func (s *State) storeWatch(prefix string, after uint64, wait time.Duration, c storeCall) {
	s.callPlatform(c, StoreWatch{Call: s.nextCall(c), Prefix: prefix, After: after, Wait: wait})
}

// storeListLater lists after a random delay, which grows while calls fail.
func (s *State) storeListLater(prefix string, c storeCall) {
	s.platform.retries = append(s.platform.retries, delayedList{at: s.nextTry(&s.platform.backoff), prefix: prefix, call: c})
}

func (s *State) storeTick() {
	var later []delayedList
	for _, r := range s.platform.retries {
		if s.now.Before(r.at) {
			later = append(later, r)
			continue
		}
		s.storeList(r.prefix, r.call)
	}
	s.platform.retries = later
	s.releaseCalls()
}

func (s *State) platformFailed(done StoreDone) {
	if s.platform.down || done.Err != StoreFailed {
		return
	}
	s.platform.down = true
	s.log(notice.PlatformUnreachable, Attr{"detail", done.Detail})
}

func (s *State) storeDone(done StoreDone) {
	c, ok := s.calls[done.Call]
	if !ok {
		return
	}
	delete(s.calls, done.Call)
	s.platformAnswered(done)
	if done.Err != StoreFailed && s.platform.down {
		s.platform.down = false
		s.log(notice.PlatformReachable)
		s.searchRootAtOnce()
	}
	switch c.purpose {
	case forRootLeaseRead:
		s.rootLeaseRead(done)
	case forRootLeaseWrite:
		s.rootLeaseWritten(done)
	case forLeaseList:
		if s.member.phase == phaseRoot {
			s.leasesListed(done)
		}
	case forHeadRead:
		s.headReadDone(done)
	case forHeadWatch:
		s.headWatched(done)
	case forSourceRead, forSourceWatch:
		s.sourceReadDone(done)
	case forManifest:
		s.manifestRead(c, done)
	case forChunk:
		s.chunkRead(c, done)
	case forPublisherLease:
		s.publisherLeaseWritten(done)
	case forClaimWrite:
		s.claimWritten(c.request, c, done)
	case forClaimRead:
		s.claimRead(c.request, done)
	case forClaimSweep:
		s.claimsListed(done)
	case forLeavingRead:
		s.leavingRead(done)
	case forLeavingWrite:
		s.leavingWritten(c, done)
	case forLeavingSweep:
		s.leavingsListed(done)
	case forPublisher:
		if c.round == s.publisher.round {
			s.publisherStep(c, done)
		}
	}
}

// readLease returns the record read by a get; version zero means that none
// exists. A record that can't be read, as another program may leave it, is that of a lease
// that nobody holds: it is replaced at its version by the next holder.
func readLease(done StoreDone) (lease.Record, uint64, error) {
	switch {
	case done.Err == StoreNotFound:
		return lease.Record{}, 0, nil
	case done.Err != StoreOK || len(done.Objects) != 1:
		return lease.Record{}, 0, fmt.Errorf("read lease: %s", done.Detail)
	}
	return parseLease(done.Objects[0].Data), done.Objects[0].Version, nil
}

// maxEpoch is the highest epoch of a lease that is taken for one: no holder gets there, and
// those after it have to be higher.
const maxEpoch = 1 << 53

// parseLease returns the record of a lease, the zero Record if it can't be read.
func parseLease(data []byte) lease.Record {
	var rec lease.Record
	if json.Unmarshal(data, &rec) != nil || rec.Epoch > maxEpoch {
		return lease.Record{}
	}
	return rec
}

// leaseWriteFailed passes the result of a failed write to the lease's state
// machine.
func leaseWriteFailed(m *lease.Machine, done StoreDone) {
	if done.Err == StoreConflict {
		m.Refused()
		return
	}
	m.WriteUnknown()
}
