package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// backendHeartbeat takes what the own backend server says of itself. It may come
// late: of two lives the one that began later counts, and within one life the
// higher sequence.
func (s *State) backendHeartbeat(e BackendHeard) {
	b := &s.backend
	if !s.cfg.Announced || e.Service != "" && e.Service != s.cfg.Service || b.outdated(e) {
		return
	}
	newInstance := !b.sameInstance(e)
	if e.State == endpoint.Gone {
		s.backendEnded(e, newInstance)
		return
	}
	b.heartbeat, b.heartbeatAt = e, s.now
	b.queue.SetSlots(e.Slots)
	b.entry.Slots = e.Slots
	if newInstance && !b.stopping {
		b.draining, b.missedProbes = false, 0
	}
	if e.State == endpoint.Draining {
		s.beginDrain()
		return
	}
	if b.draining {
		return // it said so before, and does not take it back
	}
	s.announceServing(e, newInstance)
}

// backendEnded takes the last words of a backend server.
func (s *State) backendEnded(e BackendHeard, newInstance bool) {
	if newInstance {
		return // of a life that was never heard of: there is nothing to end
	}
	s.backend.heartbeat.State = endpoint.Gone
	s.beginDrain()
}

// announceServing tells all that the backend server takes requests, when that
// is news.
func (s *State) announceServing(e BackendHeard, newInstance bool) {
	b := &s.backend
	b.slowStartEnd = s.now.Add(e.Cold)
	state := endpoint.Ready
	if e.Cold > 0 {
		state = endpoint.Warming
	}
	if newInstance || b.entry.State != state {
		s.announce(state)
	}
}

// sameInstance reports whether e is of the life that is known.
func (b *backend) sameInstance(e BackendHeard) bool {
	return e.Backend == b.heartbeat.Backend && (e.Born == b.heartbeat.Born || e.Born == 0 || b.heartbeat.Born == 0)
}

// outdated reports whether something newer than e was heard already.
func (b *backend) outdated(e BackendHeard) bool {
	if !b.sameInstance(e) {
		return e.Born < b.heartbeat.Born
	}
	return e.Sequence != 0 && e.Sequence <= b.heartbeat.Sequence
}

// silenceTick notes that the backend server has not told of itself for so long
// that it must have ended, unless requests show that it works.
func (s *State) silenceTick() {
	b := &s.backend
	if !s.cfg.Announced || !b.entry.State.Serves() || s.now.Sub(b.heartbeatAt) < s.cfg.SilentAfter {
		return
	}
	if !b.servedAt.IsZero() && s.now.Sub(b.servedAt) < s.cfg.SilentAfter {
		return
	}
	s.announce(endpoint.Failed)
}
