package core

import (
	"encoding/json"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/status"
)

// sweep is the collection of garbage: chunks and manifests that the head does
// not lead to, and old statuses.
//
// Safety does not rest on the lease. A publisher that writes a chunk which
// exists already gives it a new version, and garbage is deleted by the
// version that was listed. Between the list and the deletes the head is
// updated, so that a publisher which began before can't commit any more.
// Garbage is deleted only when the sweep before has seen it too, so that a
// reader has at least SweepEvery to finish.
type sweep struct {
	nextAt       time.Time
	nextStatusAt time.Time // the next sweep that looks at statuses too
	running      bool
	fencing      bool
	allListed    bool              // all lists are read, the head is to be updated
	listed       map[string]uint64 // chunks and manifests with their versions
	garbage      map[string]uint64 // what the sweep before found unreferenced
	deletes      int               // under way
}

// sweepsPerStatusSweep is the number of sweeps for one look at all statuses.
const sweepsPerStatusSweep = 4

// reset ends a sweep. What the sweep before found is kept.
func (w *sweep) reset() {
	w.running, w.fencing, w.allListed, w.listed, w.deletes = false, false, false, nil, 0
}

func (s *State) sweepTick() {
	w := &s.publisher.sweep
	if w.running || !s.publisher.listed || s.now.Before(w.nextAt) {
		return
	}
	w.running, w.listed = true, map[string]uint64{}
	s.storeList(keyspace.Chunks, s.publisherCall(stepGarbage, keyspace.Chunks))
}

// sweepFailed gives a sweep up; the next one finds what this one left.
func (s *State) sweepFailed() {
	w := &s.publisher.sweep
	w.reset()
	w.nextAt = s.now.Add(s.cfg.SweepEvery)
}

func (s *State) garbageListed(prefix string, done StoreDone) {
	w := &s.publisher.sweep
	if !w.running || w.listed == nil {
		return // given up in the meantime
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
		s.storeList(keyspace.Manifests, s.publisherCall(stepGarbage, keyspace.Manifests))
	case !s.now.Before(w.nextStatusAt):
		s.storeList(keyspace.Statuses, s.publisherCall(stepGarbage, keyspace.Statuses))
	default:
		w.allListed = true
	}
}

// statusesListed takes up accepted submissions that nobody follows and
// removes settled ones that are old. One that the head names is kept: without
// its status it would be recorded anew.
func (s *State) statusesListed(objects []StoreObject) {
	for _, o := range objects {
		var st status.Status
		id := o.Key[len(keyspace.Statuses):]
		if json.Unmarshal(o.Data, &st) != nil {
			continue
		}
		_, recent := s.publisher.head.Settled(id)
		switch {
		case st.Phase == status.Accepted:
			s.trackAccepted(st, o.Version)
		case !recent && s.now.Sub(st.Settled) > s.cfg.StatusKeep:
			s.collect(o.Key, o.Version)
		}
	}
}

func (s *State) collect(key string, version uint64) {
	s.publisher.sweep.deletes++
	s.storeDelete(key, version, s.publisherCall(stepCollect, key))
}

// beginFence updates the head if garbage is to be deleted, and reports
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
		s.fenced(StoreDone{Version: p.headVersion})
		return true
	}
	s.storePut(keyspace.Head, mustJSON(p.head), p.headVersion, s.publisherCall(stepFence, ""))
	return true
}

// referenced returns the keys that the head leads to. It fails when this node
// stores the set in another form than the publisher before it did.
func (s *State) referenced() (map[string]bool, bool) {
	p := &s.publisher
	if p.head.Version == 0 {
		return nil, true
	}
	e, err := s.heldEncoded()
	if err != nil || config.ContentName(mustJSON(e.Manifest)) != p.head.Manifest {
		return nil, false
	}
	live := map[string]bool{keyspace.Manifests + p.head.Manifest: true}
	for _, name := range e.Manifest.Chunks {
		live[keyspace.Chunks+name] = true
	}
	return live, true
}

// collectable returns what two sweeps have found unreferenced at one version.
func (w *sweep) collectable(live map[string]bool) []string {
	var keys []string
	for _, key := range sortedNames(w.garbage) {
		if v, ok := w.listed[key]; ok && v == w.garbage[key] && !live[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *State) fenced(done StoreDone) {
	p, w := &s.publisher, &s.publisher.sweep
	if done.Err != StoreOK {
		s.restartPublisher(s.after(&p.backoff))
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
		s.collect(key, w.listed[key])
	}
	s.sweepDone(live)
}

// sweepDone remembers what is garbage now and ends the sweep once its deletes
// are done.
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

func (s *State) collected() {
	w := &s.publisher.sweep
	w.deletes = max(w.deletes-1, 0)
	w.running = w.running && (w.deletes > 0 || w.listed != nil)
}
