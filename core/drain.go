package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// stop drains and ends the process; beginDrain only takes the backend server
// out of service. What waits for a slot when a drain begins still runs: it was
// admitted, and waits for QueueMaxWait at most. What comes later is refused as
// not run, so that senders that have not heard of it move on at once.
func (s *State) stop() {
	if s.backend.stopping {
		return
	}
	s.backend.stopping = true
	s.log(notice.NodeStopping)
	s.emit(DrainStarted{})
	s.beginDrain()
	s.backend.stopSince = s.now
}

func (s *State) beginDrain() {
	if s.backend.leaving {
		return
	}
	s.backend.leaving, s.backend.stopSince = true, s.now
	s.announce(endpoint.Draining)
}

// cancelDrain takes the backend server back into service, by way of a probe and
// slow start, unless the process is to end.
func (s *State) cancelDrain() {
	if s.backend.stopping || !s.backend.leaving {
		return
	}
	s.backend.leaving, s.backend.misses = false, 0
	s.announce(endpoint.Failed)
}

// probedWhileDraining looks at the probe of a backend server that is leaving. Once
// nothing listens any more, what answers next is another process.
func (s *State) probedWhileDraining(e BackendProbed) {
	if e.Refused {
		s.cancelDrain()
	}
}

// acceptsCalls reports whether a call that arrives is carried, and if not, why. For
// DrainAtLeast after a stop it still is: callers learn of it from readiness,
// which is looked at from time to time only.
func (s *State) acceptsCalls() (bool, string) {
	ok, why := s.Ready()
	if !ok && s.backend.stopping && s.hasCurrentConfig() && s.now.Sub(s.backend.stopSince) < s.cfg.DrainAtLeast {
		return true, ""
	}
	return ok, why
}

func (s *State) hasCurrentConfig() bool { return s.configVersion() != 0 && s.member.current }

func (s *State) drainTick() {
	b := &s.backend
	if !b.stopping || b.drained {
		return
	}
	running, waiting := b.queue.Load()
	since := s.now.Sub(b.stopSince)
	idle := running == 0 && waiting == 0 && len(s.requests.calls) == 0 || s.requestFaults.skipDrainWait
	if since < s.cfg.DrainAtLeast || !idle && since < s.cfg.DrainAtMost {
		return
	}
	b.drained = true
	s.announce(endpoint.Gone)
	s.closeLinks()
	s.emit(Drained{})
}

// closeLinks closes all links of a node that is about to end, without looking
// for others in their place. What was sent before, that the backend server is
// gone, arrives first.
func (s *State) closeLinks() {
	for _, id := range sortedLinks(s.links) {
		if s.links[id].open {
			s.send(id, message.Leaving{})
			s.emit(CloseLink{Link: id, Reason: "the process ends"})
		}
		delete(s.links, id)
	}
}
