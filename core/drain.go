package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/notice"
)

// stop drains and ends the process; beginDrain only takes the backend server
// out of service.
func (s *State) stop() {
	if s.backend.stopping {
		return
	}
	s.backend.stopping = true
	s.log(notice.NodeStopping)
	s.beginDrain()
}

func (s *State) beginDrain() {
	if s.backend.leaving {
		return
	}
	s.backend.leaving, s.backend.stopSince = true, s.now
	s.announce(endpoint.Draining)
}

func (s *State) drainTick() {
	b := &s.backend
	if !b.stopping || b.drained {
		return
	}
	running, waiting := b.queue.Load()
	since := s.now.Sub(b.stopSince)
	idle := running == 0 && waiting == 0 && len(s.requests.calls) == 0
	if since < s.cfg.DrainAtLeast || !idle && since < s.cfg.DrainAtMost {
		return
	}
	b.drained = true
	s.announce(endpoint.Gone)
	s.emit(Drained{})
}
