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
	busy     bool // a list or a watch is under way
	read     bool // a list has succeeded, and no watch failed since
	known    bool // a list has succeeded in this life of the node
	revision uint64
	retryAt  time.Time
	backoff  backoff
	refused  uint64 // newest version that was refused

	readAt  time.Time // when a read of this node last showed the newest version
	fedAt   time.Time // the same of what other nodes told
	unfedAt time.Time // when what they told was last too old
}

// fedFor is how long other nodes must have fed a node before it stops to read
// the source itself, so that a tree that is being built is not relied on.
const fedFor = 3 * time.Second

// feedLimit is the age of its configuration at which a node reads the source
// itself: a root's wait for a change, and two heartbeats on the way.
func (c Config) feedLimit() time.Duration { return c.SourceWait + 2*c.HeartbeatEvery }

// follows reports whether this node is to read the source.
func (s *State) follows() bool {
	src := &s.source
	if s.now.Sub(src.fedAt) > s.cfg.feedLimit() {
		src.unfedAt = s.now
	}
	return s.member.phase == phaseRoot || !src.known || s.now.Sub(src.unfedAt) < fedFor
}

// sourceTick keeps one read of the source under way while this node is to
// follow it: a list until one succeeds, then watches from where it left off.
func (s *State) sourceTick() {
	src := &s.source
	if !s.cfg.Source || src.busy {
		return
	}
	if !s.follows() {
		src.read = false // the history from there may be gone by the next time
		return
	}
	if s.now.Before(src.retryAt) {
		return
	}
	src.busy = true
	if !src.read {
		s.storeList(keyspace.Source, storeCall{purpose: forSourceRead})
		return
	}
	s.storeWatch(keyspace.Source, src.revision, s.cfg.SourceWait, storeCall{purpose: forSourceWatch})
}

// sourceAnswered takes the result of a list or a watch. The next call goes out
// at once, since a change may have come while this one was answered.
func (s *State) sourceAnswered(done StoreDone) {
	src := &s.source
	src.busy = false
	if done.Err != StoreOK {
		src.read = false
		if done.Err != StoreCompacted {
			s.platformFailed(done)
			src.retryAt = s.after(&src.backoff)
		}
		s.sourceTick()
		return
	}
	src.backoff.succeeded()
	src.read, src.known = true, true
	src.revision = max(src.revision, done.Revision)
	for _, o := range done.Objects {
		if !o.Deleted {
			s.sourceSeen(o.Data)
		}
	}
	src.readAt = s.now
	s.caughtUp()
	s.sourceTick()
}

// sourceSeen puts a newer configuration in force. One that is refused is told
// once, and the held one stays.
func (s *State) sourceSeen(data []byte) {
	var p config.SourceSet
	if err := json.Unmarshal(data, &p); err != nil {
		s.refuse(fmt.Sprintf("the source can't be read: %v", err))
		return
	}
	if p.Version <= max(s.configVersion(), s.source.refused) {
		return
	}
	if p.Fault != "" {
		s.source.refused = p.Version
		s.refuse(fmt.Sprintf("version %d of the source: %s", p.Version, p.Fault))
		return
	}
	s.take(config.NewSet(p.Version, p.Objects))
	if s.configVersion() < p.Version {
		s.source.refused = p.Version
	}
}

// sourceAge returns how long ago the held configuration was known to be the
// newest, or nil if it never was.
func (s *State) sourceAge() *message.Age {
	at := s.source.readAt
	if s.source.fedAt.After(at) {
		at = s.source.fedAt
	}
	if !s.cfg.Source || at.IsZero() {
		return nil
	}
	age := message.Age(s.now.Sub(at))
	return &age
}

// sourceTold takes what another node knows of the source. It counts only if
// this node holds what the other one does.
func (s *State) sourceTold(age *message.Age, version uint64) {
	if age == nil || version > s.configVersion() {
		return
	}
	if at := s.now.Add(-time.Duration(*age)); at.After(s.source.fedAt) {
		s.source.fedAt = at
	}
}
