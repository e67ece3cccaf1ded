package core

import (
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// backendHeard takes what the own backend server says of itself. It may come
// late: of two lives the one that began later counts, and within one life the
// higher sequence.
func (s *State) backendHeard(e BackendReported) {
	b := &s.backend
	if !s.cfg.Announced || e.Service != "" && e.Service != s.cfg.Service || b.outdated(e) {
		return
	}
	another := !b.sameLife(e)
	if e.State == endpoint.Gone {
		s.backendEnded(e, another)
		return
	}
	b.heard, b.heardAt = e, s.now
	b.queue.SetSlots(e.Slots)
	b.entry.Slots = e.Slots
	if another && !b.stopping {
		b.leaving, b.misses = false, 0
	}
	if e.State == endpoint.Draining {
		s.beginDrain()
		return
	}
	if b.leaving {
		return // it said so before, and does not take it back
	}
	s.announceServing(e, another)
}

// backendEnded takes the last words of a backend server.
func (s *State) backendEnded(e BackendReported, another bool) {
	if another {
		return // of a life that was never heard of: there is nothing to end
	}
	s.backend.heard.State = endpoint.Gone
	s.beginDrain()
}

// announceServing tells all that the backend server takes requests, when that
// is news.
func (s *State) announceServing(e BackendReported, another bool) {
	b := &s.backend
	b.readyAt = s.now.Add(e.ColdRemaining)
	state := endpoint.Ready
	if e.ColdRemaining > 0 {
		state = endpoint.Warming
	}
	if another || b.entry.State != state {
		s.announce(state)
	}
}

// sameLife reports whether e is of the life that is known.
func (b *backend) sameLife(e BackendReported) bool {
	return e.Backend == b.heard.Backend && (e.StartMillis == b.heard.StartMillis || e.StartMillis == 0 || b.heard.StartMillis == 0)
}

// outdated reports whether something newer than e was heard already.
func (b *backend) outdated(e BackendReported) bool {
	if !b.sameLife(e) {
		return e.StartMillis < b.heard.StartMillis
	}
	return e.Sequence != 0 && e.Sequence <= b.heard.Sequence
}

// silenceTick notes that the backend server has not told of itself for so long
// that it must have ended, unless requests show that it works.
func (s *State) silenceTick() {
	b := &s.backend
	if !s.cfg.Announced || !b.entry.State.Serves() || s.now.Sub(b.heardAt) < s.cfg.SilentAfter {
		return
	}
	if !b.servedAt.IsZero() && s.now.Sub(b.servedAt) < s.cfg.SilentAfter {
		return
	}
	s.announce(endpoint.Failed)
}
