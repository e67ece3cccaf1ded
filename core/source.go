package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
)

// source follows a configuration that something else than the publisher
// keeps: it is read whole, checked as the publisher would, and put in force or
// refused.
//
// Roots read it; the others hear of it over the tree. Every heartbeat tells
// how long ago its sender's configuration was known to be the newest, so each
// node knows that of its own, whatever path it came by: a bound that holds for
// any fault on the way. A node for which it has grown past feedLimit reads the
// source itself until the tree has fed it for a while.
type source struct {
	callPending bool // a list or a watch is under way
	listed      bool // a list has succeeded, and no watch failed since
	everListed  bool // a list has succeeded in this life of the node
	revision    uint64
	retryAt     time.Time
	backoff     backoff
	refused     uint64 // newest version that was refused

	confirmedAt     time.Time // when a read of this node last showed the newest version
	treeConfirmedAt time.Time // the same of what other nodes told
	treeStaleAt     time.Time // when what they told was last too old
}

// treeFreshTime is how long other nodes must have fed a node before it stops to read
// the source itself, so that a tree that is being built is not relied on.
const treeFreshTime = 3 * time.Second

// maxSourceAge is the age of its configuration at which a node reads the source
// itself: a root's wait for a change, and two heartbeats on the way.
func (c Config) maxSourceAge() time.Duration { return c.SourceWait + 2*c.HeartbeatEvery }

// readsSource reports whether this node is to read the source.
func (s *State) readsSource() bool {
	src := &s.source
	if s.now.Sub(src.treeConfirmedAt) > s.cfg.maxSourceAge() {
		src.treeStaleAt = s.now
	}
	return s.member.phase == phaseRoot || !src.everListed || s.now.Sub(src.treeStaleAt) < treeFreshTime
}

// sourceTick keeps one read of the source under way while this node is to
// follow it: a list until one succeeds, then watches from where it left off.
func (s *State) sourceTick() {
	src := &s.source
	if !s.cfg.Source || src.callPending {
		return
	}
	if !s.readsSource() {
		src.listed = false // the history from there may be gone by the next time
		return
	}
	if s.now.Before(src.retryAt) {
		return
	}
	src.callPending = true
	if !src.listed {
		s.storeList(keyspace.Source, storeCall{purpose: forSourceRead})
		return
	}
	s.storeWatch(keyspace.Source, src.revision, s.cfg.SourceWait, storeCall{purpose: forSourceWatch})
}

// sourceReadDone takes the result of a list or a watch. The next call goes out
// at once, since a change may have come while this one was answered.
func (s *State) sourceReadDone(done StoreDone) {
	src := &s.source
	src.callPending = false
	if done.Err != StoreOK {
		src.listed = false
		if done.Err != StoreCompacted {
			s.platformFailed(done)
			src.retryAt = s.nextTry(&src.backoff)
		}
		s.sourceTick()
		return
	}
	src.backoff.reset()
	src.listed, src.everListed = true, true
	src.revision = max(src.revision, done.Revision)
	for _, o := range done.Objects {
		if !o.Deleted {
			s.sourceReceived(o.Data)
		}
	}
	src.confirmedAt = s.now
	s.updateCurrent()
	s.sourceTick()
}

// sourceReceived puts a newer configuration in force. One that is refused is told
// once, and the held one stays.
func (s *State) sourceReceived(data []byte) {
	var p config.SourceSet
	if err := json.Unmarshal(data, &p); err != nil {
		s.refuseConfig(fmt.Sprintf("the source can't be read: %v", err))
		return
	}
	if p.Version <= max(s.configVersion(), s.source.refused) {
		return
	}
	if p.Fault != "" {
		s.source.refused = p.Version
		s.refuseConfig(fmt.Sprintf("version %d of the source: %s", p.Version, p.Fault))
		return
	}
	s.applyIfNewer(config.NewSet(p.Version, p.Objects))
	if s.configVersion() < p.Version {
		s.source.refused = p.Version
	}
}

// sourceAge returns how long ago the held configuration was known to be the
// newest, or nil if it never was.
func (s *State) sourceAge() *message.Age {
	at := s.source.confirmedAt
	if s.source.treeConfirmedAt.After(at) {
		at = s.source.treeConfirmedAt
	}
	if !s.cfg.Source || at.IsZero() {
		return nil
	}
	age := message.Age(s.now.Sub(at))
	return &age
}

// sourceAgeReceived takes what another node knows of the source. It counts only if
// this node holds what the other one does.
func (s *State) sourceAgeReceived(age *message.Age, version uint64) {
	if age == nil || version > s.configVersion() {
		return
	}
	if at := s.now.Add(-time.Duration(*age)); at.After(s.source.treeConfirmedAt) {
		s.source.treeConfirmedAt = at
	}
}
