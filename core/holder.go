package core

import (
	"fmt"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/notice"
)

// keptDeltas bounds the deltas kept for nodes that are a few versions behind.
const keptDeltas = 64

// holder holds the configuration in force on this node.
type holder struct {
	set      *config.Set
	snapshot *config.Snapshot
	deltas   []config.Delta  // consecutive, the last leads to set
	refused  string          // why the newest version seen was not applied
	encoded  *config.Encoded // the stored form of set or of an older one; nil while not needed
}

func newHolder() holder { return holder{set: config.NewSet(0, nil), snapshot: &config.Snapshot{}} }

func (s *State) configVersion() uint64 { return s.holder.set.Version }

// take checks a newer set and puts it in force. An older or equal one is
// dropped; a faulty one leaves the held one in force.
func (s *State) take(set *config.Set) {
	if set.Version <= s.holder.set.Version && !s.cfg.testFaults.anyVersion {
		return
	}
	s.adopt(set, config.Diff(s.holder.set, set))
}

// adopt compiles a set beside the held one and swaps it in. The caller has
// made sure that it is newer.
func (s *State) adopt(set *config.Set, delta config.Delta) {
	snapshot, faults := config.CompileDelta(s.holder.snapshot, s.holder.set, set, delta)
	if s.cfg.publisherFaults.refuseAll {
		faults = []config.Fault{{Reason: "refused by a test"}}
	}
	if len(faults) > 0 {
		s.refuse(fmt.Sprintf("version %d: %d faults, first: %v", set.Version, len(faults), faults[0]))
		return
	}
	if s.cfg.testFaults.swapUncompiled {
		snapshot = s.holder.snapshot
	}
	s.keepEncoded(set, delta)
	if snapshot.Limits() != s.holder.snapshot.Limits() {
		s.emit(LimitCallers{Limits: snapshot.Limits()})
	}
	s.holder.set, s.holder.snapshot, s.holder.refused = set, snapshot, ""
	s.holder.deltas = append(s.holder.deltas, delta)
	if len(s.holder.deltas) > keptDeltas {
		s.holder.deltas = s.holder.deltas[1:]
	}
	s.member.newest = max(s.member.newest, set.Version)
	s.log(notice.ConfigApplied, Attr{"version", set.Version}, Attr{"objects", len(set.Objects)})
	s.spreadConfig()
	s.caughtUp()
	s.report()
}

// heldEncoded returns the stored form of the held set. Roots and publishers
// alone ask for it.
func (s *State) heldEncoded() (*config.Encoded, error) {
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

// keepEncoded brings the stored form up to the set that is about to be held.
func (s *State) keepEncoded(set *config.Set, delta config.Delta) {
	e := s.holder.encoded
	switch {
	case e == nil || e.Manifest.Version == set.Version:
		return
	case s.member.phase != phaseRoot || e.Manifest.Version != s.holder.set.Version:
		s.holder.encoded = nil
		return
	}
	next, err := e.Next(set, delta)
	if err != nil {
		next = nil // the next one who asks finds out
	}
	s.holder.encoded = next
}

func (s *State) refuse(reason string) {
	s.holder.refused = reason
	s.log(notice.ConfigRefused, Attr{"reason", reason}, Attr{"held", s.configVersion()})
	s.report()
}
