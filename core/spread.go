package core

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// sendConfigToChildren sends the held version to the children that hold less. Other
// roots learn of it from the platform at the same time; those that can't are
// found behind by their heartbeat.
func (s *State) sendConfigToChildren() {
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if l.open && l.role == roleChild && l.established {
			s.sendConfig(id, l)
		}
	}
}

// sendConfig sends what leads from the version at the other end to the held
// one: deltas where they are kept, else the whole.
func (s *State) sendConfig(id LinkID, l *link) {
	set := s.holder.set
	if l.config >= set.Version {
		return
	}
	for i, d := range s.holder.deltas {
		if d.From != l.config || l.config == 0 {
			continue
		}
		for _, next := range s.holder.deltas[i:] {
			s.send(id, message.ConfigDelta{Delta: next})
		}
		l.config = set.Version
		return
	}
	s.send(id, message.ConfigWhole{Version: set.Version, Hash: set.Hash(), Objects: set.Sorted()})
	l.config = set.Version
}

func (s *State) deltaReceived(id LinkID, l *link, m message.ConfigDelta) {
	l.config = max(l.config, m.Delta.To)
	if m.Delta.To <= s.holder.set.Version {
		return
	}
	if m.Delta.From != s.holder.set.Version {
		s.requestConfig(id, l, s.configVersion())
		return
	}
	set, err := s.holder.set.Apply(m.Delta)
	if err != nil {
		s.refuseConfig(err.Error())
		s.requestConfig(id, l, 0) // the held set differs from the sender's: only the whole can help
		return
	}
	s.applySet(set, m.Delta)
	s.configRequestDone(l, m.Delta.To)
}

// configRequestDone lets the next request go out at once if a version was put in
// force. A node that refuses one would ask for it again and again.
func (s *State) configRequestDone(l *link, version uint64) {
	if s.configVersion() >= version {
		l.requestedAt = time.Time{}
	}
}

func (s *State) fullConfigReceived(l *link, m message.ConfigWhole) {
	l.config = max(l.config, m.Version)
	set := config.NewSet(m.Version, m.Objects)
	if set.Hash() != m.Hash {
		s.refuseConfig(fmt.Sprintf("version %d: %v", m.Version, config.ErrHash))
		return
	}
	s.applyIfNewer(set)
	s.configRequestDone(l, m.Version)
}

// requestConfig asks for what leads from a version to the newest, once until it
// is answered or a heartbeat has passed.
func (s *State) requestConfig(id LinkID, l *link, have uint64) {
	if s.now.Sub(l.requestedAt) < s.cfg.HeartbeatEvery {
		return
	}
	l.requestedAt = s.now
	s.send(id, message.ConfigWanted{Have: have})
}
