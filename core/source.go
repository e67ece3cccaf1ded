package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
)

// source follows a configuration that something else than the publisher
// keeps: it is read whole, checked as the publisher would, and put in force or
// refused.
type source struct {
	busy     bool // a list or a watch is under way
	read     bool // a list has succeeded, and no watch failed since
	known    bool // a list has succeeded in this life of the node
	revision uint64
	retryAt  time.Time
	backoff  backoff
	refused  uint64 // newest version that was refused
}

// sourceTick keeps one read of the source under way at any time: a list until
// one succeeds, then watches from where it left off.
func (s *State) sourceTick() {
	src := &s.source
	if !s.cfg.Source || src.busy || s.now.Before(src.retryAt) {
		return
	}
	src.busy = true
	if !src.read {
		s.storeList(keyspace.Source, storeCall{purpose: forSourceRead})
		return
	}
	s.storeWatch(keyspace.Source, src.revision, s.cfg.WatchWait, storeCall{purpose: forSourceWatch})
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
	s.caughtUp()
	s.sourceTick()
}

// sourceSeen puts a newer configuration in force. One that is refused is told
// once, and the held one stays.
func (s *State) sourceSeen(data []byte) {
	var p config.Published
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
