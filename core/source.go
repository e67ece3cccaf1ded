package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// source is the state of following a configuration that is maintained outside
// the publisher. Each version is read as a complete set, checked as the
// publisher would check it, and put in force or refused.
//
// Only roots normally read the source; other nodes receive its versions through
// the tree. Every heartbeat carries the time since the sender's configuration
// was known to be the newest, so each node knows the age of its own, whatever
// path the configuration took. The age is an upper bound under any fault on that
// path. A node whose age exceeds maxSourceAge reads the source itself until the
// tree has kept the age below that for treeFreshTime.
type source struct {
	callPending bool      // a list or a watch is in progress
	listed      bool      // a list has succeeded, and no watch has failed since
	everListed  bool      // a list has succeeded since the process started
	watchFrom   uint64    // revision of the platform
	retryAt     time.Time // when the next read may be sent after a failure
	backoff     backoff
	refused     uint64 // newest version that was refused

	confirmedAt     time.Time // when a read by this node last confirmed the newest version
	treeConfirmedAt time.Time // the same as confirmed by heartbeats of other nodes
	treeStaleAt     time.Time // when treeConfirmedAt was last older than maxSourceAge
}

// treeFreshTime is the time for which heartbeats must have confirmed the
// configuration again before a node stops reading the source itself, so that it
// does not rely on a tree that is still being rebuilt.
const treeFreshTime = 3 * time.Second

// maxSourceAge is the age of the configuration above which a node reads the
// source itself: the longest watch of a root plus two heartbeat intervals for
// the path through the tree.
func (c Config) maxSourceAge() time.Duration { return c.SourceWait + 2*c.HeartbeatEvery }

// readsSource reports whether this node has to read the source itself. A node that has
// just started relies on the tree from the first heartbeat on that confirms what it
// listed: until the tree was seen to fail, waiting for it to prove itself would cost each
// start several calls.
func (s *State) readsSource() bool {
	src := &s.source
	inTree := !src.treeConfirmedAt.IsZero()
	if inTree && s.now.Sub(src.treeConfirmedAt) > s.cfg.maxSourceAge() {
		src.treeStaleAt = s.now
	}
	return s.member.phase == phaseRoot || !src.everListed || !inTree || s.now.Sub(src.treeStaleAt) < treeFreshTime
}

// whySourceRead names the reason for which this node reads the source: it is a root, it
// has just started, the tree does not confirm that its configuration is the newest, or
// the tree has confirmed that for less than treeFreshTime.
func (s *State) whySourceRead() string {
	switch {
	case s.member.phase == phaseRoot:
		return "root"
	case s.source.confirmedAt.IsZero():
		return "start"
	case s.now.Sub(s.source.treeConfirmedAt) <= s.cfg.maxSourceAge():
		return "settling"
	}
	return "unconfirmed"
}

// sourceTick keeps one read of the source in progress while this node has to
// read it: a list until one succeeds, then watches from watchFrom on.
func (s *State) sourceTick() {
	src := &s.source
	if !s.cfg.Source || src.callPending {
		return
	}
	if !s.readsSource() {
		src.listed = false // the history since watchFrom may be compacted by the next read
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
	s.storeWatch(keyspace.Source, src.watchFrom, s.cfg.SourceWait, storeCall{purpose: forSourceWatch})
}

// sourceReadDone handles the result of a list or a watch. The next call is sent
// at once, since a change may have been made while this one was answered.
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
	src.watchFrom = max(src.watchFrom, done.Revision)
	for _, o := range done.Objects {
		if !o.Deleted {
			s.sourceReceived(o)
		}
	}
	src.confirmedAt = s.now
	s.updateCurrent()
	s.sourceTick()
}

// sourceReceived puts a configuration that was read in force if it is newer.
func (s *State) sourceReceived(o StoreObject) {
	p, err := o.sourceSet()
	if err != nil {
		s.refuseConfig(fmt.Sprintf("the source can't be read: %v", err))
		return
	}
	held := s.configVersion()
	s.applySource(p)
	s.log(notice.SourceRead, Attr{"why", s.whySourceRead()}, Attr{"objects", len(p.Objects)}, Attr{"applied", s.configVersion() > held})
}

// sourceSet returns the configuration that an object holds.
func (o StoreObject) sourceSet() (*config.SourceSet, error) {
	if o.Source != nil {
		return o.Source, nil
	}
	var p config.SourceSet
	err := json.Unmarshal(o.Data, &p)
	return &p, err
}

// applySource puts a newer configuration in force. One that is refused is logged once,
// and the held one stays in force.
func (s *State) applySource(p *config.SourceSet) {
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

// sourceAge returns the time since the held configuration was last known to be
// the newest, or nil if it never was.
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

// sourceAgeReceived applies the source age from another node's message. It is
// ignored unless this node holds at least the version of the other one.
func (s *State) sourceAgeReceived(age *message.Age, version uint64) {
	if age == nil || version > s.configVersion() {
		return
	}
	if at := s.now.Add(-time.Duration(*age)); at.After(s.source.treeConfirmedAt) {
		s.source.treeConfirmedAt = at
	}
}
