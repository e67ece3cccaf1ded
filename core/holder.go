package core

import (
	"fmt"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// maxDeltas is the number of deltas kept for nodes that are a few versions
// behind.
const maxDeltas = 64

// holder is the configuration in force on this node.
type holder struct {
	set      *config.Set
	snapshot *config.Snapshot
	deltas   []config.Delta  // consecutive; the last one leads to set
	refused  string          // why the newest version received was not applied; empty: it was
	encoded  *config.Encoded // stored form of set or of an older set; nil while not needed

	whole   message.ConfigWhole // has the set wholeOf; see State.wholeConfig
	wholeOf *config.Set         // nil: none
}

func newHolder() holder { return holder{set: config.NewSet(0, nil), snapshot: &config.Snapshot{}} }

func (s *State) configVersion() uint64 { return s.holder.set.Version }

// applyIfNewer puts a set in force if it is newer than the held one and has no
// faults; otherwise the held set stays in force.
func (s *State) applyIfNewer(set *config.Set) {
	if set.Version <= s.holder.set.Version && !s.cfg.treeFaults.anyVersion {
		return
	}
	if s.configVersion() == 0 {
		s.applySet(set, config.Delta{}) // nobody is sent the changes from nothing
		return
	}
	s.applySet(set, config.Diff(s.holder.set, set))
}

// applySet compiles a set and, if it has no faults, replaces the held set and
// its compiled form together. The caller has checked that the set is newer. delta
// leads to it from the held set; it is empty for the first set.
func (s *State) applySet(set *config.Set, delta config.Delta) {
	snapshot, faults := config.CompileDelta(s.holder.snapshot, s.holder.set, set, delta)
	if s.cfg.publisherFaults.refuseAll {
		faults = []config.Fault{{Reason: "refused by a test"}}
	}
	if len(faults) > 0 {
		s.refuseConfig(fmt.Sprintf("version %d: %d faults, first: %v", set.Version, len(faults), faults[0]))
		return
	}
	if s.cfg.treeFaults.swapUncompiled {
		snapshot = s.holder.snapshot
	}
	s.updateEncoded(set, delta)
	if snapshot.Limits() != s.holder.snapshot.Limits() {
		s.emit(LimitCallers{Limits: snapshot.Limits()})
	}
	s.holder.set, s.holder.snapshot, s.holder.refused = set, snapshot, ""
	if delta.To == set.Version {
		s.holder.deltas = append(s.holder.deltas, delta)
	}
	if len(s.holder.deltas) > maxDeltas {
		s.holder.deltas = s.holder.deltas[1:]
	}
	s.member.newestVersion = max(s.member.newestVersion, set.Version)
	s.log(notice.ConfigApplied, Attr{"version", set.Version}, Attr{"objects", len(set.Objects)})
	s.sendConfigToChildren()
	s.updateCurrent()
	s.scheduleReport()
}

// encodedSet returns the stored form of the held set. Only roots and publishers
// use it.
func (s *State) encodedSet() (*config.Encoded, error) {
	if e := s.holder.encoded; e != nil && e.Manifest.Version == s.holder.set.Version && e.Manifest.Hash == s.holder.set.Hash() {
		return e, nil
	}
	e, err := config.Encode(s.holder.set)
	if err != nil {
		return nil, fmt.Errorf("held version %d: %w", s.holder.set.Version, err)
	}
	s.holder.encoded = e
	return e, nil
}

// updateEncoded updates the stored form for a set that is about to be held, or
// discards it if it is not needed or can't be derived from the delta.
func (s *State) updateEncoded(set *config.Set, delta config.Delta) {
	e := s.holder.encoded
	switch {
	case e == nil || e.Manifest.Version == set.Version:
		return
	case s.member.phase != phaseRoot || e.Manifest.Version != s.holder.set.Version || delta.To != set.Version:
		s.holder.encoded = nil
		return
	}
	next, err := e.Next(set, delta)
	if err != nil {
		next = nil // encodedSet encodes the whole set and returns its error
	}
	s.holder.encoded = next
}

func (s *State) refuseConfig(reason string) {
	s.holder.refused = reason
	s.log(notice.ConfigRefused, Attr{"reason", reason}, Attr{"held", s.configVersion()})
	s.scheduleReport()
}
