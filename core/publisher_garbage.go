package core

import (
	"encoding/json"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/status"
)

// sweep is the state of garbage collection, which deletes chunks and
// manifests that the head does not refer to, and old statuses.
//
// Safety does not depend on the lease. A publisher that writes a chunk
// which already exists gives it a new version, and garbage is deleted only
// at the version that was listed. The head is updated between listing and
// deleting, so a publisher that read the head before can't commit any more.
// An object is deleted only if the previous sweep also found it
// unreferenced, which gives readers at least SweepEvery to finish.
type sweep struct {
	nextAt       time.Time
	nextStatusAt time.Time         // the first sweep at or after this time also covers statuses
	running      bool              // a sweep is in progress
	fencing      bool              // the update of the head is in progress
	allListed    bool              // all lists are read, and the head is to be updated
	listed       map[string]uint64 // versions of all chunks and manifests
	garbage      map[string]uint64 // versions of the objects that the previous sweep found unreferenced
	deletes      int               // in progress
}

// sweepsPerStatusSweep is the number of sweeps of which one covers
// statuses.
const sweepsPerStatusSweep = 4

// reset ends a sweep. The result of the previous sweep is kept.
func (w *sweep) reset() {
	w.running, w.fencing, w.allListed, w.listed, w.deletes = false, false, false, nil, 0
}

func (s *State) sweepTick() {
	w := &s.publisher.sweep
	if w.running || !s.publisher.listed || s.now.Before(w.nextAt) {
		return
	}
	w.running, w.listed = true, map[string]uint64{}
	s.storeList(keyspace.Chunks, s.publisherCall(stepListGarbage, keyspace.Chunks))
}

// sweepFailed aborts a sweep; the next one collects what is left.
func (s *State) sweepFailed() {
	w := &s.publisher.sweep
	w.reset()
	w.nextAt = s.now.Add(s.cfg.SweepEvery)
}

func (s *State) garbageListed(prefix string, done StoreDone) {
	w := &s.publisher.sweep
	if !w.running || w.listed == nil {
		return // the sweep was aborted in the meantime
	}
	if prefix == keyspace.Statuses {
		s.statusesListed(done.Objects)
		w.nextStatusAt = s.now.Add(sweepsPerStatusSweep * s.cfg.SweepEvery)
		w.allListed = true
		return
	}
	for _, o := range done.Objects {
		w.listed[o.Key] = o.Version
	}
	switch {
	case prefix == keyspace.Chunks:
		s.storeList(keyspace.Manifests, s.publisherCall(stepListGarbage, keyspace.Manifests))
	case !s.now.Before(w.nextStatusAt):
		s.storeList(keyspace.Statuses, s.publisherCall(stepListGarbage, keyspace.Statuses))
	default:
		w.allListed = true
	}
}

// statusesListed starts tracking accepted submissions that are not tracked
// yet, and deletes old statuses of settled ones. A status whose submission
// the head lists is kept: if it were missing, it would be written again.
func (s *State) statusesListed(objects []StoreObject) {
	for _, o := range objects {
		var st status.Status
		id := o.Key[len(keyspace.Statuses):]
		if json.Unmarshal(o.Data, &st) != nil {
			continue
		}
		_, recent := s.publisher.head.ResultOf(id)
		switch {
		case st.Phase == status.Accepted:
			s.trackAccepted(st, o.Version)
		case !recent && s.now.Sub(st.Settled) > s.cfg.StatusKeep:
			s.deleteGarbage(o.Key, o.Version)
		}
	}
}

func (s *State) deleteGarbage(key string, version uint64) {
	s.publisher.sweep.deletes++
	s.storeDelete(key, version, s.publisherCall(stepDeleteGarbage, key))
}

// beginFence updates the head if there is garbage to delete, and reports
// whether it did. It runs between two submissions.
func (s *State) beginFence() bool {
	p, w := &s.publisher, &s.publisher.sweep
	if !w.allListed {
		return false
	}
	w.allListed = false
	live, ok := s.referenced()
	if !ok {
		s.sweepFailed()
		return false
	}
	if len(w.collectable(live)) == 0 || p.headVersion == 0 {
		s.sweepDone(live)
		return false
	}
	w.fencing = true
	p.head.Epoch = p.lease.Epoch()
	p.head.Sweep++
	if s.cfg.publisherFaults.unfencedSweep {
		s.sweepFenced(StoreDone{Version: p.headVersion})
		return true
	}
	s.storePut(keyspace.Head, mustJSON(p.head), p.headVersion, s.publisherCall(stepFenceSweep, ""))
	return true
}

// referenced returns the keys that the head refers to. It fails if this
// node encodes the set in a different form than the publisher that wrote
// the head.
func (s *State) referenced() (map[string]bool, bool) {
	p := &s.publisher
	if p.head.Version == 0 {
		return nil, true
	}
	e, err := s.encodedSet()
	if err != nil || config.ContentName(mustJSON(e.Manifest)) != p.head.Manifest {
		return nil, false
	}
	live := map[string]bool{keyspace.Manifests + p.head.Manifest: true}
	for _, name := range e.Manifest.Chunks {
		live[keyspace.Chunks+name] = true
	}
	return live, true
}

// collectable returns the keys that two sweeps found unreferenced at the
// same version.
func (w *sweep) collectable(live map[string]bool) []string {
	var keys []string
	for _, key := range sortedNames(w.garbage) {
		if v, ok := w.listed[key]; ok && v == w.garbage[key] && !live[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *State) sweepFenced(done StoreDone) {
	p, w := &s.publisher, &s.publisher.sweep
	if done.Err != StoreOK {
		s.retryPublisher()
		return
	}
	w.fencing = false
	p.headVersion = done.Version
	live, ok := s.referenced()
	if !ok {
		s.sweepFailed()
		return
	}
	for _, key := range w.collectable(live) {
		s.deleteGarbage(key, w.listed[key])
	}
	s.sweepDone(live)
}

// sweepDone records what is garbage now, and ends the sweep once its
// deletes are done.
func (s *State) sweepDone(live map[string]bool) {
	w := &s.publisher.sweep
	w.garbage = map[string]uint64{}
	for key, version := range w.listed {
		if !live[key] {
			w.garbage[key] = version
		}
	}
	w.listed = nil
	w.nextAt = s.now.Add(s.cfg.SweepEvery)
	w.running = w.deletes > 0
}

func (s *State) garbageDeleted() {
	w := &s.publisher.sweep
	w.deletes = max(w.deletes-1, 0)
	w.running = w.running && (w.deletes > 0 || w.listed != nil)
}
