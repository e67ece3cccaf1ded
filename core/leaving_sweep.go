package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/keyspace"
)

const (
	// leavingKeep is how long the record of a leaving stays in the platform. What is said of an
	// instance arrives seconds late, and hosts are replaced every day.
	leavingKeep = 24 * time.Hour
	// leavingSweepBatch bounds the deletes after one list, one per tick.
	leavingSweepBatch = 600
)

// leavingSweep deletes the old records of leavings of a root's data centre.
type leavingSweep struct {
	nextAt  time.Time
	expired []expiredLeaving // to be deleted, one per tick
}

type expiredLeaving struct {
	key     string
	version uint64
}

func (s *State) sweepLeavings() {
	w := &s.root.leavings
	if w.nextAt.IsZero() {
		w.nextAt = s.now.Add(s.cfg.SweepEvery)
	}
	if n := len(w.expired); n > 0 {
		last := w.expired[n-1]
		w.expired = w.expired[:n-1]
		s.storeDelete(last.key, last.version, storeCall{purpose: forLeavingDelete})
	}
	if !s.now.Before(w.nextAt) {
		w.nextAt = s.now.Add(s.cfg.SweepEvery)
		s.storeList(keyspace.Leavings+s.cfg.DataCentre+"/", storeCall{purpose: forLeavingSweep})
	}
}

// leavingsListed collects the old records. One that can't be read counts as old; a node whose
// record is deleted writes the next one anew. What an operator said holds until it is taken back.
func (s *State) leavingsListed(done StoreDone) {
	w := &s.root.leavings
	if done.Err != StoreOK || s.member.phase != phaseRoot || len(w.expired) > 0 {
		return
	}
	for _, o := range done.Objects {
		r := s.parseLeaving(o.Data)
		age := time.Duration(s.now.UnixMilli()-r.AtMillis) * time.Millisecond
		if !r.Operator && age >= leavingKeep && len(w.expired) < leavingSweepBatch {
			w.expired = append(w.expired, expiredLeaving{key: o.Key, version: o.Version})
		}
	}
}
