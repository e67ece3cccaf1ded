package core

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// sendConfigToChildren sends the held version to the children that hold an older
// one. Other roots read it from the platform at the same time; a root that can't
// read it receives it from this node once its heartbeat shows an older version.
func (s *State) sendConfigToChildren() {
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if l.open && l.role == roleChild && l.established {
			s.sendConfig(id, l)
		}
	}
}

// sendConfig brings the other end from its version to the held one: with deltas
// if they are kept, otherwise with the full set.
func (s *State) sendConfig(id LinkID, l *link) {
	set := s.holder.set
	if l.peerVersion >= set.Version {
		return
	}
	for i, d := range s.holder.deltas {
		if d.From != l.peerVersion || l.peerVersion == 0 {
			continue
		}
		for _, next := range s.holder.deltas[i:] {
			s.send(id, message.ConfigDelta{Delta: next})
		}
		l.peerVersion = set.Version
		return
	}
	s.send(id, s.wholeConfig())
	l.peerVersion = set.Version
}

// wholeConfig returns the message with the held set. It is kept until the next tick, since
// sorting a large set takes long and several children often need it at once.
func (s *State) wholeConfig() message.ConfigWhole {
	h := &s.holder
	if h.wholeOf != h.set {
		h.wholeOf = h.set
		h.whole = message.ConfigWhole{Version: h.set.Version, Hash: h.set.Hash(), Objects: h.set.Sorted()}
	}
	return h.whole
}

// forgetWholeConfig releases the memory of the message with the held set.
func (s *State) forgetWholeConfig() { s.holder.wholeOf, s.holder.whole = nil, message.ConfigWhole{} }

func (s *State) deltaReceived(id LinkID, l *link, m message.ConfigDelta) {
	l.peerVersion = max(l.peerVersion, m.Delta.To)
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
		s.requestConfig(id, l, 0) // the held set differs from the sender's, so request the full set
		return
	}
	s.applySet(set, m.Delta)
	s.configRequestDone(l, m.Delta.To)
}

// configRequestDone allows the next request to be sent at once if a version was
// put in force. If it was refused, the limit on requests stays, since the node
// would otherwise request the same version continuously.
func (s *State) configRequestDone(l *link, version uint64) {
	if s.configVersion() >= version {
		l.requestedAt = time.Time{}
	}
}

func (s *State) fullConfigReceived(l *link, m message.ConfigWhole) {
	l.peerVersion = max(l.peerVersion, m.Version)
	set := config.NewSet(m.Version, m.Objects)
	if set.Hash() != m.Hash {
		s.refuseConfig(fmt.Sprintf("version %d: %v", m.Version, config.ErrHash))
		return
	}
	s.applyIfNewer(set)
	s.configRequestDone(l, m.Version)
}

// requestConfig requests the changes from version have to the newest one, or the
// full set if have is 0. It sends at most one request per HeartbeatEvery, unless
// configRequestDone has ended that limit.
func (s *State) requestConfig(id LinkID, l *link, have uint64) {
	if s.now.Sub(l.requestedAt) < s.cfg.HeartbeatEvery {
		return
	}
	l.requestedAt = s.now
	s.send(id, message.ConfigWanted{Have: have})
}
